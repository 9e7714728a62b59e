/**
 * The change stream: one ordered stream of purges and epochs from the control machines to every
 * proxy. This package contains the logic of both ends, the encoding of entries, and the tracking of
 * acknowledgements. It depends on the JDK only and has no I/O, clock or threads. {@code
 * cacheproxy.stream.wire} adds the sockets, {@code cacheproxy.raft} the order of the entries and
 * the replicated log. Start reading at {@link Publisher} and {@link Subscriber}.
 */
package cacheproxy.stream;
