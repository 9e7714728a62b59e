package cacheproxy.epoch;

import cacheproxy.epoch.Epochs.Activate;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Epochs.Outcome;
import cacheproxy.epoch.Epochs.Prepare;
import cacheproxy.epoch.Message.Hello;
import cacheproxy.epoch.Message.ProposalStatus;
import cacheproxy.epoch.Message.Propose;
import cacheproxy.epoch.Message.Proposed;
import cacheproxy.epoch.Message.Welcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One proxy's part in the fleet's policy protocol, whether it is a voter or not. It queries every
 * voter a few times a second, applies the epochs in force that it lacks, in order, and counts
 * itself current while it has leases on its epoch from a majority of voters. Any two majorities
 * share a voter, and a prepared epoch is put in force only when a majority grants no more leases on
 * the older one and all those that it granted have expired or been released. So no two proxies
 * count themselves current at different epochs, regardless of partitions, pauses and restarts.
 *
 * <p>{@code now} is this proxy's own monotonic clock in milliseconds; it is never compared with
 * another process's clock. Not thread-safe: all calls are made on one thread.
 */
public final class PolicyMember {

    /** Interval between queries to the voters while this proxy is current and no change is due. */
    private static final double QUERY_INTERVAL_MS = 250;

    /** Interval between queries while a change is in progress or this proxy is not current. */
    private static final double FAST_QUERY_INTERVAL_MS = 100;

    /** Length of a voter's lease, from when the proxy sent the query. */
    private static final double LEASE_MS = 1000;

    /** A voter counts as reachable for this long after its last answer. */
    private static final double VOTER_TIMEOUT_MS = 2000;

    /** How long a proposal may take before its outcome is reported as unknown. */
    private static final double PROPOSAL_TIMEOUT_MS = 10_000;

    private static final int MAX_EPOCHS_PER_ANSWER = 8;
    private static final int MAX_SENT_QUERIES_PER_VOTER = 16;

    /** A voter's view of the replicated log. */
    public interface Log {
        boolean isLeader();

        /**
         * Whether this voter leads and a majority has confirmed that in this term, so that it has
         * applied everything that earlier leaders committed.
         */
        boolean isLeadershipConfirmed();

        /** Returns the leader as known to this voter; empty if unknown. */
        String leader();

        int term();

        /** Returns the log index up to which this voter has applied entries. */
        long appliedIndex();

        /**
         * Asks a majority whether this voter still leads; {@code callback} receives the answer when
         * it is known.
         */
        void confirmLeadership(Consumer<Boolean> callback);

        /**
         * Appends a change; {@code callback} receives the result of applying it, or null if the
         * result can't be known.
         */
        void append(Epochs.Change change, Consumer<Outcome> callback);
    }

    /** An event for the operators' log, which is written under the constant's name. */
    public enum PolicyEvent {
        /** An epoch has come into force at this proxy. */
        APPLIED,
        /** This proxy counts itself current from {@code atMs} on. */
        CURRENT,
        /** This proxy counted itself current until {@code atMs}. */
        NOT_CURRENT,
        /** A newer epoch is prepared, so this proxy's epoch will be replaced. */
        FENCED,
        /** A voter reported a higher epoch than this proxy has applied, without sending it. */
        BEHIND
    }

    /** Receives the messages, epochs and events that this member produces. */
    public interface Out {
        void send(String to, Message message);

        /** Puts an epoch in force on this proxy. */
        void apply(Epoch epoch);

        void event(PolicyEvent event, long epoch, double atMs);
    }

    /**
     * The result of a proposal: its status and the epoch that is in force, if any; {@code text}
     * explains the result to the operator.
     */
    public record ProposalResult(ProposalStatus status, long epoch, String text) {}

    /** A proxy's last query to this voter: the epoch in force there, and when the query arrived. */
    public record ProxyReport(long epoch, boolean fenced, double atMs) {}

    private record SentQuery(long seq, double sentAt) {}

    /** A proposal of this proxy; {@code epoch} is the number it was prepared as, 0 before that. */
    private record PendingProposal(
            Consumer<ProposalResult> callback, double deadline, long epoch) {}

    private final String name;
    private final List<String> voters;

    /** Null if this proxy is not a voter. */
    private final Log log;

    private final Epochs epochs;
    private final Leases leases;
    private final int startTerm;

    /**
     * The log index that this voter has to apply after its start before it grants leases; -1 until
     * a confirmed leader has reported it. The log that it restores may lack committed entries.
     */
    private long catchUpIndex = -1;

    private long inForce;
    private double inForceSince;
    private long fenced;
    private long seq;
    private double lastQueryAt = Double.NEGATIVE_INFINITY;
    private boolean reportedCurrent;
    private double reportedCurrentUntil;
    private final Map<String, List<SentQuery>> sentQueries = new HashMap<>();
    private final Map<String, Double> grantedUntil = new HashMap<>();
    private final Map<String, Double> lastAnswerAt = new HashMap<>();
    private final Map<String, Welcome> lastAnswers = new HashMap<>();
    private final Map<String, ProxyReport> proxyReports = new TreeMap<>();
    private final Map<String, PendingProposal> pendingProposals = new TreeMap<>();
    private boolean activating;
    private int proposalCount;

    /**
     * @param log null if this proxy is not a voter
     * @param epochs the log's state machine; the caller applies committed entries to it and then
     *     calls {@link #entriesCommitted}
     * @param lastEpoch the epoch in force when the previous process of this proxy ended, or null
     */
    public PolicyMember(
            String name, List<String> voters, Log log, Epochs epochs, Epoch lastEpoch, double now) {
        this.name = name;
        this.voters = List.copyOf(voters);
        this.log = log;
        this.epochs = epochs;
        this.leases = new Leases(LEASE_MS, now);
        this.startTerm = log == null ? 0 : log.term();
        this.inForce = lastEpoch == null ? 0 : lastEpoch.number();
        this.inForceSince = now;
    }

    private int majority() {
        return voters.size() / 2 + 1;
    }

    public long inForce() {
        return inForce;
    }

    public double inForceSince() {
        return inForceSince;
    }

    /** Returns the highest epoch known here or reported by any voter, in force or prepared. */
    public long highestKnownEpoch() {
        return lastAnswers.values().stream()
                .mapToLong(w -> Math.max(w.inForce(), w.prepared()))
                .reduce(Math.max(inForce, fenced), Math::max);
    }

    /** Returns the number of voters that have answered within {@link #VOTER_TIMEOUT_MS}. */
    public long reachableVoters(double now) {
        return lastAnswerAt.values().stream().filter(t -> now - t < VOTER_TIMEOUT_MS).count();
    }

    /** Returns the log's leader as reported by reachable voters; empty if unknown. */
    public String leader(double now) {
        if (log != null && log.isLeader()) {
            return name;
        }
        return lastAnswers.entrySet().stream()
                .filter(
                        entry ->
                                now - lastAnswerAt.get(entry.getKey()) < VOTER_TIMEOUT_MS
                                        && !entry.getValue().leader().isEmpty())
                .max(Comparator.comparingInt(entry -> entry.getValue().term()))
                .map(entry -> entry.getValue().leader())
                .orElse("");
    }

    /** Returns the last query of every proxy that has queried this voter, by proxy name. */
    public Map<String, ProxyReport> proxyReports() {
        return Map.copyOf(proxyReports);
    }

    /** Returns the time until which a majority's leases are valid. */
    private double currentUntil() {
        if (fenced > inForce || grantedUntil.size() < majority()) {
            return Double.NEGATIVE_INFINITY;
        }
        return grantedUntil.values().stream()
                .sorted(Comparator.reverseOrder())
                .skip(majority() - 1)
                .findFirst()
                .orElseThrow();
    }

    /** Whether this proxy runs the fleet's epoch, by valid leases from a majority of voters. */
    public boolean isCurrent(double now) {
        return now < currentUntil();
    }

    private void updateCurrent(double now, Out out) {
        double until = currentUntil();
        if (reportedCurrent && now >= reportedCurrentUntil && now < until) {
            // The leases expired and were renewed between two calls.
            out.event(PolicyEvent.NOT_CURRENT, inForce, reportedCurrentUntil);
            reportedCurrent = false;
        }
        if (!reportedCurrent && now < until) {
            reportedCurrent = true;
            out.event(PolicyEvent.CURRENT, inForce, now);
        } else if (reportedCurrent && now >= until) {
            markNotCurrent(now, out);
        }
        reportedCurrentUntil = reportedCurrent ? Math.max(reportedCurrentUntil, until) : until;
    }

    private void markNotCurrent(double now, Out out) {
        if (reportedCurrent) {
            reportedCurrent = false;
            out.event(PolicyEvent.NOT_CURRENT, inForce, Math.min(now, reportedCurrentUntil));
        }
    }

    /**
     * Closes this member because another replaces it: it no longer counts itself current, and its
     * pending proposals end as {@link ProposalStatus#UNKNOWN}.
     */
    public void close(double now, Out out) {
        markNotCurrent(now, out);
        for (PendingProposal proposal : pendingProposals.values()) {
            proposal.callback()
                    .accept(
                            new ProposalResult(
                                    ProposalStatus.UNKNOWN,
                                    0,
                                    "the voter's storage failed: the change may still take effect; "
                                            + "see policy status"));
        }
        pendingProposals.clear();
    }

    public void tick(double now, Out out) {
        updateCurrent(now, out);
        boolean fast = fenced > inForce || epochs.prepared() > 0 || !reportedCurrent;
        if (now - lastQueryAt >= (fast ? FAST_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS)) {
            queryVoters(now, out);
        }
        activatePrepared(now, out);
        for (Map.Entry<String, PendingProposal> entry : List.copyOf(pendingProposals.entrySet())) {
            if (now >= entry.getValue().deadline()) {
                pendingProposals.remove(entry.getKey());
                entry.getValue()
                        .callback()
                        .accept(
                                new ProposalResult(
                                        ProposalStatus.UNKNOWN,
                                        0,
                                        (entry.getValue().epoch() > 0
                                                        ? "prepared as epoch "
                                                                + entry.getValue().epoch()
                                                                + " but not in force"
                                                        : "no answer")
                                                + " after "
                                                + Math.round(PROPOSAL_TIMEOUT_MS / 1000)
                                                + " s: it may still take effect; see policy status"));
            }
        }
    }

    private void queryVoters(double now, Out out) {
        lastQueryAt = now;
        seq++;
        Hello hello = new Hello(seq, inForce, fenced);
        for (String voter : voters) {
            List<SentQuery> queries = sentQueries.computeIfAbsent(voter, v -> new ArrayList<>());
            queries.add(new SentQuery(seq, now));
            if (queries.size() > MAX_SENT_QUERIES_PER_VOTER) {
                queries.remove(0);
            }
            if (voter.equals(name)) {
                received(now, name, hello, out);
            } else {
                out.send(voter, hello);
            }
        }
    }

    /** Handles a message from another proxy whose name has been authenticated. */
    public void received(double now, String from, Message message, Out out) {
        if (message instanceof Hello hello && log != null) {
            answerHello(now, from, hello, out);
        } else if (message instanceof Welcome welcome && voters.contains(from)) {
            handleWelcome(now, from, welcome, out);
        } else if (message instanceof Propose proposal && log != null) {
            handleProposal(
                    now,
                    proposal,
                    a ->
                            out.send(
                                    from,
                                    new Proposed(proposal.id(), a.status(), a.epoch(), a.text())));
        } else if (message instanceof Proposed proposal && voters.contains(from)) {
            completeProposal(
                    proposal.id(),
                    new ProposalResult(proposal.status(), proposal.epoch(), proposal.text()));
        }
    }

    /** Ends a proposal; one that has been prepared stays pending until it is in force here. */
    private void completeProposal(String id, ProposalResult result) {
        PendingProposal pending = pendingProposals.remove(id);
        if (pending != null
                && result.status() == ProposalStatus.IN_FORCE
                && result.epoch() > inForce) {
            pendingProposals.put(
                    id,
                    new PendingProposal(pending.callback(), pending.deadline(), result.epoch()));
        } else if (pending != null) {
            pending.callback().accept(result);
        }
    }

    private void completeProposalsInForce() {
        for (Map.Entry<String, PendingProposal> entry : List.copyOf(pendingProposals.entrySet())) {
            if (entry.getValue().epoch() > 0 && entry.getValue().epoch() <= inForce) {
                completeProposal(
                        entry.getKey(),
                        new ProposalResult(
                                ProposalStatus.IN_FORCE,
                                entry.getValue().epoch(),
                                "epoch " + entry.getValue().epoch() + " is in force"));
            }
        }
    }

    // Voter.

    private boolean isCaughtUp() {
        return log.isLeadershipConfirmed()
                || catchUpIndex >= 0 && log.appliedIndex() >= catchUpIndex;
    }

    private void answerHello(double now, String from, Hello hello, Out out) {
        proxyReports.put(from, new ProxyReport(hello.epoch(), hello.fenced() > hello.epoch(), now));
        if (hello.fenced() > hello.epoch()) {
            leases.release(from);
        }
        boolean granted =
                hello.fenced() <= hello.epoch()
                        && epochs.prepared() == 0
                        && epochs.inForce() == hello.epoch()
                        && isCaughtUp();
        if (granted) {
            leases.grant(now, from);
        }
        Welcome answer =
                new Welcome(
                        hello.seq(),
                        granted,
                        epochs.inForce(),
                        epochs.prepared(),
                        epochs.prepared() > 0 && leases.allExpired(now),
                        epochs.after(hello.epoch(), MAX_EPOCHS_PER_ANSWER),
                        log.isLeader() ? name : log.leader(),
                        log.term(),
                        log.appliedIndex(),
                        log.isLeadershipConfirmed());
        if (from.equals(name)) {
            handleWelcome(now, name, answer, out);
        } else {
            out.send(from, answer);
        }
    }

    /** Handles newly committed log entries, which the caller has applied to the epochs. */
    public void entriesCommitted(double now, Out out) {
        applyEpochs(now, epochs.after(inForce, Epochs.MAX_RETAINED_EPOCHS), out);
        fence(now, epochs.prepared(), out);
    }

    /**
     * As the leader, puts the prepared epoch in force once a majority of voters has no valid lease
     * on an older one.
     */
    private void activatePrepared(double now, Out out) {
        long prepared = epochs.prepared();
        if (log == null || prepared == 0 || activating || !log.isLeadershipConfirmed()) {
            return;
        }
        long votersWithoutOlderLeases =
                voters.stream()
                        .filter(
                                voter ->
                                        voter.equals(name)
                                                ? leases.allExpired(now)
                                                : lastAnswers.containsKey(voter)
                                                        && lastAnswers.get(voter).prepared()
                                                                == prepared
                                                        && lastAnswers
                                                                .get(voter)
                                                                .olderLeasesExpired())
                        .count();
        if (votersWithoutOlderLeases >= majority()) {
            activating = true;
            log.append(new Activate(prepared), o -> activating = false);
        }
    }

    // Proxy.

    private void handleWelcome(double now, String from, Welcome welcome, Out out) {
        lastAnswerAt.put(from, now);
        lastAnswers.put(from, welcome);
        if (log != null
                && welcome.leadershipConfirmed()
                && welcome.term() >= startTerm
                && catchUpIndex < 0) {
            catchUpIndex = welcome.appliedIndex();
        }
        double sentAt =
                this.sentQueries.getOrDefault(from, List.of()).stream()
                        .filter(a -> a.seq() == welcome.seq())
                        .mapToDouble(SentQuery::sentAt)
                        .findFirst()
                        .orElse(Double.NEGATIVE_INFINITY);
        if (welcome.granted() && welcome.inForce() == inForce) {
            grantedUntil.merge(from, sentAt + LEASE_MS, Math::max);
        }
        if (welcome.inForce() > inForce && welcome.next().isEmpty()) {
            out.event(PolicyEvent.BEHIND, welcome.inForce(), now);
        }
        applyEpochs(now, welcome.next(), out);
        fence(now, welcome.prepared(), out);
        updateCurrent(now, out);
    }

    private void fence(double now, long prepared, Out out) {
        if (prepared > fenced && prepared > inForce) {
            markNotCurrent(now, out);
            fenced = prepared;
            out.event(PolicyEvent.FENCED, prepared, now);
            // Voters that are notified at once need not wait for the lease to expire.
            queryVoters(now, out);
        }
    }

    private void applyEpochs(double now, List<Epoch> next, Out out) {
        for (Epoch epoch : next) {
            // The first may skip numbers: it is then the oldest retained epoch, as a snapshot. Each
            // other epoch has to follow the one before.
            if (epoch.number() == inForce + 1 || epoch == next.get(0) && epoch.number() > inForce) {
                markNotCurrent(now, out);
                grantedUntil.clear();
                if (log == null) {
                    epochs.recordInForce(epoch);
                }
                inForce = epoch.number();
                inForceSince = now;
                out.apply(epoch);
                out.event(PolicyEvent.APPLIED, epoch.number(), now);
                lastQueryAt = Double.NEGATIVE_INFINITY;
            }
        }
        completeProposalsInForce();
    }

    // Proposals.

    /**
     * Proposes a policy for the epoch after the one in force; {@code callback} receives the result
     * once.
     */
    public void propose(double now, String content, Out out, Consumer<ProposalResult> callback) {
        String id = name + "-" + Math.round(now) + "-" + ++proposalCount;
        if (content.length() > Epochs.MAX_CONTENT_CHARS) {
            callback.accept(
                    new ProposalResult(
                            ProposalStatus.REFUSED,
                            0,
                            "policy is longer than "
                                    + Epochs.MAX_CONTENT_CHARS
                                    + " characters; nothing was changed"));
            return;
        }
        String leader = leader(now);
        if (reachableVoters(now) < majority() || leader.isEmpty()) {
            callback.accept(
                    new ProposalResult(
                            ProposalStatus.NO_MAJORITY,
                            0,
                            "cannot propose: reached "
                                    + reachableVoters(now)
                                    + " of "
                                    + voters.size()
                                    + " voters"
                                    + (leader.isEmpty() ? ", leader unknown" : "")
                                    + "; nothing was changed"));
            return;
        }
        pendingProposals.put(id, new PendingProposal(callback, now + PROPOSAL_TIMEOUT_MS, 0));
        if (leader.equals(name)) {
            handleProposal(now, new Propose(id, inForce, content), a -> completeProposal(id, a));
        } else {
            out.send(leader, new Propose(id, inForce, content));
        }
    }

    /**
     * Handles a proposal at the leader. A majority has to confirm the leadership before anything is
     * appended, so that a rejection is final.
     */
    private void handleProposal(double now, Propose proposal, Consumer<ProposalResult> callback) {
        if (!log.isLeader()) {
            callback.accept(
                    new ProposalResult(
                            ProposalStatus.REFUSED,
                            0,
                            "the leader has changed; nothing was changed, try again"));
            return;
        }
        log.confirmLeadership(
                confirmed -> {
                    if (!confirmed) {
                        callback.accept(
                                new ProposalResult(
                                        ProposalStatus.NO_MAJORITY,
                                        0,
                                        "the leader can't reach a majority of voters; nothing was changed"));
                        return;
                    }
                    log.append(
                            new Prepare(proposal.id(), proposal.base(), proposal.content()),
                            outcome -> {
                                if (outcome == null) {
                                    callback.accept(
                                            new ProposalResult(
                                                    ProposalStatus.UNKNOWN,
                                                    0,
                                                    "the leader was lost: the change may still take effect; see policy status"));
                                } else if (outcome.rejectionReason() != null) {
                                    callback.accept(
                                            new ProposalResult(
                                                    ProposalStatus.REFUSED,
                                                    0,
                                                    outcome.rejectionReason()));
                                } else {
                                    callback.accept(
                                            new ProposalResult(
                                                    ProposalStatus.IN_FORCE,
                                                    outcome.epoch(),
                                                    "prepared as epoch " + outcome.epoch()));
                                }
                            });
                });
    }
}
