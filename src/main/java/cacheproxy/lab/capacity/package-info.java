/**
 * Capacity planning: lines fitted to the costs that experiments measured at several sizes, the file
 * that stores them, and the plan that evaluates them at a target size. The package reads and writes
 * files and does not measure anything itself. Start reading at {@link
 * cacheproxy.lab.capacity.Slope}.
 */
package cacheproxy.lab.capacity;
