/**
 * What goes wrong and when: a schedule of typed faults. It holds data and times alone; drivers
 * carry the faults out. Start reading at {@link cacheproxy.lab.faults.Fault}.
 */
package cacheproxy.lab.faults;
