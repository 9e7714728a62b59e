/**
 * The model of an installation: machines that share their cores among requests, caches, the origin,
 * discovery and zones. Each event is one call that reports its effects. There is no I/O, clock or
 * thread here, so that the socket driver and the virtual-time driver run the same code. Start
 * reading at {@link cacheproxy.lab.world.World}.
 */
package cacheproxy.lab.world;
