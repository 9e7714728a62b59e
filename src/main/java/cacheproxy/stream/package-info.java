/**
 * One ordered stream of purges and epochs from the control machines to every proxy: what each end
 * decides, how entries are written, and who has which. JDK alone; no I/O, no clock, no threads:
 * {@code cacheproxy.stream.wire} brings sockets, {@code cacheproxy.raft} the order of the entries
 * and their log. Start reading at {@link Publisher} and {@link Subscriber}.
 */
package cacheproxy.stream;
