/**
 * Runs the testbed's experiments in virtual time: an event queue drives the simulated machines and
 * many routers in one process, without threads or a wall clock, and no order of events depends on
 * the iteration order of a hash table. The entry point is {@link
 * cacheproxy.lab.virtual.VirtualRun}.
 */
package cacheproxy.lab.virtual;
