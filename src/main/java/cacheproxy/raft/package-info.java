/**
 * Carries {@code cacheproxy.epoch} and {@code cacheproxy.stream} between processes: consensus by
 * MicroRaft, its messages as sealed frames on TCP, its log in a file, and the socket that operators
 * ask. Decides nothing about epochs or who is sent what. Start reading at {@link PolicyService} and
 * {@link StreamService}.
 */
package cacheproxy.raft;
