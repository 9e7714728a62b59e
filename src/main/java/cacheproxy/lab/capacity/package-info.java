/**
 * What a size costs: straight lines fitted to what experiments measured at several sizes, and the
 * file that keeps them. It reads and writes files and measures nothing itself. Start reading at
 * {@link cacheproxy.lab.capacity.Slope}.
 */
package cacheproxy.lab.capacity;
