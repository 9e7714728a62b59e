/**
 * Plays the same experiments in virtual time: an event queue over the laboratory's world, many
 * routers in one process, no thread, no wall clock, and no order that a hash table could sway.
 * Start reading at {@link cacheproxy.lab.virtual.VirtualRun}.
 */
package cacheproxy.lab.virtual;
