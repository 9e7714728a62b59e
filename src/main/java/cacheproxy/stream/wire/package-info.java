/**
 * Carries {@code cacheproxy.stream} between a control machine and its proxies: frames on TCP, one
 * connection a proxy. Decides nothing about entries, and what {@code serve} loads knows nothing of
 * it. Start reading at {@link StreamClient}; {@code cacheproxy.raft.StreamService} is the other
 * end.
 */
package cacheproxy.stream.wire;
