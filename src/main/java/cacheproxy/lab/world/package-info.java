/**
 * The model of an installation: machines that share their cores among requests, caches, the origin,
 * discovery and zones. One event, one call, one list of effects; no I/O, no clock and no threads,
 * so that sockets and virtual time drive the same code. Start reading at {@link
 * cacheproxy.lab.world.World}.
 */
package cacheproxy.lab.world;
