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
 * One proxy's part in the fleet's policy, voter or not. It asks every voter a few times a second,
 * applies the epochs in force that it lacks, in order, and counts itself current while a majority
 * of voters grants it the epoch that it runs. Any two majorities share a voter, and a prepared
 * epoch goes in force only once a majority grants the older one no more and nobody can still rely
 * on it, so no two proxies count themselves current at different epochs, however they are cut off,
 * paused or restarted.
 *
 * <p>{@code now} is this proxy's own clock in milliseconds, which never runs back; no other is
 * compared with it. Used by one thread.
 */
public final class PolicyMember {

    /** How often voters are asked; more often while a change is under way. */
    private static final double QUERY_INTERVAL_MS = 250;

    private static final double FAST_QUERY_INTERVAL_MS = 100;

    /** How long a grant lasts. */
    private static final double LEASE_MS = 1000;

    /** A voter counts as reachable for so long after its last answer. */
    private static final double VOTER_TIMEOUT_MS = 2000;

    /** How long a proposal is waited for. */
    private static final double PROPOSAL_TIMEOUT_MS = 10_000;

    private static final int MAX_EPOCHS_PER_ANSWER = 8;
    private static final int MAX_SENT_QUERIES_PER_VOTER = 16;

    /** What a voter sees of the log that consensus keeps. */
    public interface Log {
        boolean isLeader();

        /**
         * Whether it leads and a majority has confirmed that in this term, so that it has applied
         * all that any earlier one committed.
         */
        boolean isLeadershipConfirmed();

        /** Whom it takes for the leader; empty if for nobody. */
        String leader();

        int term();

        /** The index up to which it has applied the log. */
        long appliedIndex();

        /** Asks a majority whether this still leads; {@code then} is told once that is known. */
        void confirmLeadership(Consumer<Boolean> callback);

        /**
         * Appends; {@code then} is told what applying it came to, or null where that can't be
         * known.
         */
        void append(Epochs.Change change, Consumer<Outcome> callback);
    }

    /** What an operator may want to know. */
    public enum PolicyEvent {
        /** An epoch is in force here. */
        APPLIED,
        /** This proxy counts itself current from {@code atMs} on. */
        CURRENT,
        /** It did so until {@code atMs}. */
        NOT_CURRENT,
        /** A newer epoch is prepared, so that this one is on its way out. */
        FENCED,
        /** A voter told of a higher epoch than runs here. */
        BEHIND
    }

    /** Where the wishes go. */
    public interface Out {
        void send(String to, Message message);

        /** Puts an epoch in force on this proxy. */
        void apply(Epoch epoch);

        void event(PolicyEvent event, long epoch, double atMs);
    }

    /**
     * How a proposal ended: the epoch that is in force, or why none is; {@code text} is for people.
     */
    public record ProposalResult(ProposalStatus status, long epoch, String text) {}

    /** A proxy as a voter last heard it: the epoch in force there, and when it said so. */
    public record ProxyReport(long epoch, boolean fenced, double atMs) {}

    private record SentQuery(long seq, double sentAt) {}

    /** {@code epoch} is what it was prepared as; 0 before. */
    private record PendingProposal(
            Consumer<ProposalResult> callback, double deadline, long epoch) {}

    private final String name;
    private final List<String> voters;

    /** Null where this proxy is no voter. */
    private final Log log;

    private final Epochs epochs;
    private final Leases leases;
    private final int startTerm;
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
     * @param log null where this proxy does not vote
     * @param epochs what the log amounts to; the caller applies committed entries to it and then
     *     calls {@link #committed}
     * @param last what was in force here when the last process ended, or null
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

    /** The highest epoch that any voter has called in force or prepared. */
    public long highestKnownEpoch() {
        return lastAnswers.values().stream()
                .mapToLong(w -> Math.max(w.inForce(), w.prepared()))
                .reduce(Math.max(inForce, fenced), Math::max);
    }

    /** Voters that answered lately. */
    public long reachableVoters(double now) {
        return lastAnswerAt.values().stream().filter(t -> now - t < VOTER_TIMEOUT_MS).count();
    }

    /** Who leads the log, as far as told; empty if nobody is known to. */
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

    /** Every proxy that has asked this voter, as it last spoke. */
    public Map<String, ProxyReport> proxyReports() {
        return Map.copyOf(proxyReports);
    }

    /** The time until which a majority's grants hold. */
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

    /** Whether this proxy runs what the fleet runs, and a majority of voters stands for that. */
    public boolean isCurrent(double now) {
        return now < currentUntil();
    }

    private void updateCurrent(double now, Out out) {
        double until = currentUntil();
        if (reportedCurrent && now >= reportedCurrentUntil && now < until) {
            // It lapsed and came back between two looks.
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
     * Ends it, as another takes its place: it counts itself current no more, and how the proposals
     * that it waits for end is not known.
     */
    public void close(double now, Out out) {
        markNotCurrent(now, out);
        for (PendingProposal proposal : pendingProposals.values()) {
            proposal.callback()
                    .accept(
                            new ProposalResult(
                                    ProposalStatus.UNKNOWN,
                                    0,
                                    "the voter's storage failed meanwhile: the change may still take hold; "
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
                                                                + " and not in force"
                                                        : "no answer")
                                                + " after "
                                                + Math.round(PROPOSAL_TIMEOUT_MS / 1000)
                                                + " s: the change may still take hold; see policy status"));
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

    /** A message of another proxy, whose name is proven. */
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

    /** One that is prepared has ended once it is in force here. */
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

    // As a voter.

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

    /** The log has been applied further; the epochs say how far. */
    public void entriesCommitted(double now, Out out) {
        applyEpochs(now, epochs.after(inForce, Epochs.MAX_RETAINED_EPOCHS), out);
        fence(now, epochs.prepared(), out);
    }

    /** A leader puts a prepared epoch in force once a majority relies on nothing older. */
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

    // As a proxy.

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
            // Told at once, voters need not wait for the lease to run out.
            queryVoters(now, out);
        }
    }

    private void applyEpochs(double now, List<Epoch> next, Out out) {
        for (Epoch epoch : next) {
            // The first may be the oldest that is kept, as a snapshot; else each follows the one
            // before.
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
     * Proposes a policy for the epoch after the one in force; {@code then} is told once how it
     * ended.
     */
    public void propose(double now, String content, Out out, Consumer<ProposalResult> callback) {
        String id = name + "-" + Math.round(now) + "-" + ++proposalCount;
        if (content.length() > Epochs.MAX_CONTENT_CHARS) {
            callback.accept(
                    new ProposalResult(
                            ProposalStatus.REFUSED,
                            0,
                            "longer than "
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
                            "only "
                                    + reachableVoters(now)
                                    + " of "
                                    + voters.size()
                                    + " voters can be reached"
                                    + (leader.isEmpty() ? ", and none leads" : "")
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
     * At the leader; before anything is appended a majority has confirmed that it leads, so that a
     * refusal is final.
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
                                                    "the leader was lost meanwhile: the change may still take hold; see policy status"));
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
