/**
 * The fleet's policy as numbered epochs: what the replicated log means, who may count itself
 * current, and when a change takes hold. JDK alone; no I/O, no clock, no threads, and no consensus,
 * which {@code cacheproxy.raft} brings. Start reading at {@link PolicyMember}.
 */
package cacheproxy.epoch;
