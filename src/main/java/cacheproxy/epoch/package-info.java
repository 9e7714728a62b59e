/**
 * The fleet's policy as numbered epochs: the state machine of the replicated log, the leases by
 * which a proxy counts itself current, and the activation of a change. Depends on the JDK only and
 * has no I/O, clock or threads; {@code cacheproxy.raft} provides the consensus. Start reading at
 * {@link PolicyMember}.
 */
package cacheproxy.epoch;
