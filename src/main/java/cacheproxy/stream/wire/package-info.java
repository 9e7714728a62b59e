/**
 * Transports the messages of {@code cacheproxy.stream} between a control machine and its proxies:
 * frames over TCP, one connection per proxy. It contains no logic about entries, and the classes
 * that {@code serve} loads do not depend on it. Start reading at {@link StreamClient}; {@code
 * cacheproxy.raft.StreamService} is the other end.
 */
package cacheproxy.stream.wire;
