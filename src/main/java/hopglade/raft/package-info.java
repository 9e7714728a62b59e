/**
 * Carries {@code hopglade.epoch} between processes: consensus by MicroRaft, its messages as signed frames on TCP, its log in a file, and
 * the socket that operators ask. Decides nothing about epochs. Start reading at {@link PolicyService}.
 */
package hopglade.raft;
