package cacheproxy.epoch;

import cacheproxy.epoch.Epochs.Epoch;
import java.util.List;

/** What proxies and voters say to one another about epochs. */
public sealed interface Message
        permits Message.Hello, Message.Welcome, Message.Propose, Message.Proposed {

    /**
     * A proxy asks a voter.
     *
     * @param seq counts this proxy's questions
     * @param epoch the epoch in force at it
     * @param fenced the highest epoch that it knows to be prepared; above {@code epoch}, it does
     *     not count itself current and never will again at {@code epoch}
     */
    record Hello(long seq, long epoch, long fenced) implements Message {}

    /**
     * A voter's answer.
     *
     * @param granted whether the proxy may count itself current at the epoch that it named
     * @param inForce the epoch in force by what this voter knows to be committed
     * @param prepared the epoch that is prepared, or 0
     * @param clear whether nobody relies on this voter for an epoch before the prepared one
     * @param next epochs after the proxy's, in order, a few at a time
     * @param leader whom the voter takes for the log's leader; empty if for nobody
     * @param term the log's term here
     * @param applied how far this voter has applied the log
     * @param led whether the voter itself leads and has proved that to a majority in this term
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

    /** To the leader: put this content in force after {@code base}. */
    record Propose(String id, long base, String content) implements Message {}

    /** How a proposal ended. */
    enum ProposalStatus {
        IN_FORCE,
        REFUSED,
        NO_MAJORITY,
        UNKNOWN
    }

    /**
     * The leader's answer: the epoch that was prepared, or why not; after {@link Ending#UNKNOWN} it
     * may yet take hold.
     */
    record Proposed(String id, ProposalStatus status, long epoch, String text) implements Message {}
}
