package cacheproxy.membership;

import java.util.List;

/**
 * What a packet says beside its envelope.
 *
 * @param number of the probe that it belongs to; 0 without
 * @param about whom a probe on another's behalf is for; null without
 * @param digest of the sender's table of members
 */
record Message(
        Kind kind,
        int number,
        Member target,
        long digest,
        List<Member> members,
        List<RelayedStatement> statements) {

    enum Kind {
        /** Shows the receiver what its packets must carry, to prove that they are no replay. */
        WELCOME,
        PING,
        ACK,
        /** Asks for a ping of {@code about}. */
        ASK,
        NEWS,
        /** A relay's word that the member that it was asked to ping did not answer it in time. */
        NACK
    }

    /**
     * A statement and its age so far, as summed up by those that passed it on, each by its own
     * clock.
     */
    record RelayedStatement(Statement statement, int ageMs) {}
}
