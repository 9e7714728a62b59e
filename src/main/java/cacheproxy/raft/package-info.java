/**
 * Connects {@code cacheproxy.epoch} and {@code cacheproxy.stream} to other processes and to the
 * disk: consensus by MicroRaft, its messages as authenticated frames over TCP, its log in a file,
 * and the operators' socket. Rules about epochs and about what is sent to which subscriber are not
 * here. Start reading at {@link PolicyService} and {@link StreamService}.
 */
package cacheproxy.raft;
