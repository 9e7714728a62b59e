/**
 * The schedule of faults. This package contains only their data and times; drivers inject the
 * faults. Start reading at {@link cacheproxy.lab.faults.Fault}.
 */
package cacheproxy.lab.faults;
