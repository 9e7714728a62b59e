package cacheproxy.membership;

import java.util.List;

/**
 * The content of a packet without its envelope.
 *
 * @param number the number of the probe that the message belongs to; 0 if none
 * @param target the member that an indirect probe is for; null if none
 * @param digest a digest of the sender's member table
 */
record Message(
        Kind kind,
        int number,
        Member target,
        long digest,
        List<Member> members,
        List<RelayedStatement> statements) {

    /** The kind of message. The ordinals are part of the packet format. */
    enum Kind {
        /** Carries the challenge that the receiver's packets must repeat to prove freshness. */
        WELCOME,
        PING,
        ACK,
        /** Requests a ping of {@code target} on the sender's behalf. */
        ASK,
        /** Carries updates only and needs no answer. */
        NEWS,
        /** A relay's report that the member that it was asked to ping did not answer in time. */
        NACK
    }

    /**
     * A statement and its age, the sum of the times that each forwarding member measured by its own
     * clock.
     */
    record RelayedStatement(Statement statement, int ageMs) {}
}
