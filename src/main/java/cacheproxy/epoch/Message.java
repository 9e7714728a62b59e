package cacheproxy.epoch;

import cacheproxy.epoch.Epochs.Epoch;
import java.util.List;

/** The messages about epochs between proxies and voters. */
public sealed interface Message
        permits Message.Hello, Message.Welcome, Message.Propose, Message.Proposed {

    /**
     * A proxy's query to a voter, which also requests a lease.
     *
     * @param seq sequence number of this proxy's query
     * @param epoch the epoch in force at the proxy
     * @param fenced the highest epoch that the proxy knows to be prepared; if it is above {@code
     *     epoch}, the proxy does not count itself current and never again will at {@code epoch}
     */
    record Hello(long seq, long epoch, long fenced) implements Message {}

    /**
     * A voter's answer to a {@link Hello}.
     *
     * @param seq the sequence number of the query
     * @param granted whether the proxy may count itself current at the epoch that it named
     * @param inForce the epoch in force, as far as this voter knows the log to be committed
     * @param prepared the prepared epoch, or 0
     * @param olderLeasesExpired whether no proxy holds a lease of this voter on an epoch before the
     *     prepared one
     * @param next the epochs that follow the proxy's, oldest first, a few per message
     * @param leader the log's leader as known to the voter; empty if unknown
     * @param term the log's term at the voter
     * @param appliedIndex the log index up to which the voter has applied entries
     * @param leadershipConfirmed whether the voter leads and a majority has confirmed that in this
     *     term
     */
    record Welcome(
            long seq,
            boolean granted,
            long inForce,
            long prepared,
            boolean olderLeasesExpired,
            List<Epoch> next,
            String leader,
            int term,
            long appliedIndex,
            boolean leadershipConfirmed)
            implements Message {

        public Welcome {
            next = List.copyOf(next);
        }
    }

    /** A request to the leader to put this content in force after epoch {@code base}. */
    record Propose(String id, long base, String content) implements Message {}

    /** The outcome of a proposal; the names are sent between proxies. */
    enum ProposalStatus {
        IN_FORCE,
        REFUSED,
        NO_MAJORITY,
        UNKNOWN
    }

    /**
     * The leader's answer to a {@link Propose}: the prepared epoch, or why none was prepared. After
     * {@link ProposalStatus#UNKNOWN} the proposal may still take effect.
     */
    record Proposed(String id, ProposalStatus status, long epoch, String text) implements Message {}
}
