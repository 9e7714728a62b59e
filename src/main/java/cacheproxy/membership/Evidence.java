package cacheproxy.membership;

import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What this proxy and others saw of the nodes, and how far others are believed. Claims only ever
 * accuse, so praise can hide nothing. A node is doubted when a quorum says the same; what follows
 * from a doubt is for the module to find out by its own probe. Whoever accuses nodes that answer us
 * loses weight, and regains it slowly. All claims fade, by our own clock alone.
 */
final class Evidence {

    /** How a doubt began or ended, with who claims what. */
    record SuspicionChange(String node, boolean suspected, String evidence) {}

    /**
     * Attempts, over all that accuse a node, below which chance explains them; one alone is lost
     * every day.
     */
    private static final int MIN_FAILED_ATTEMPTS = 3;

    /**
     * An attempt that is out for so many times its node's usual time, and mean deviations beyond
     * it, counts as unanswered, unless the node has answered anything since it went out. Waiting
     * for its end would cost most of what can be saved.
     */
    private static final double OVERDUE_FACTOR = 3;

    private static final double OVERDUE_DEVIATIONS = 8;
    private static final double OVERDUE_MIN_MS = 120;
    private static final double OVERDUE_DEFAULT_MS = 400;

    /** How long a claim counts after it was last renewed, and how often its observer renews it. */
    static final double CLAIM_LIFETIME_MS = 6000;

    static final double CLAIM_RENEWAL_MS = 2000;

    /** How long own bad attempts are held against a node that was not tried again. */
    private static final double OWN_FAILURE_LIFETIME_MS = 5000;

    /**
     * Weight left after a claim that our own attempts contradict, what each second gives back, and
     * what agreement does.
     */
    private static final double CONTRADICTION_FACTOR = 0.6;

    private static final double WEIGHT_RECOVERY_PER_S = 0.01;
    private static final double AGREEMENT_GAIN = 0.05;

    /** Weight below which a peer's claims are worth a word in the log. */
    private static final double DISTRUST_THRESHOLD = 0.5;

    /**
     * What the times of two proxies may be apart when one's answer is held against the other's
     * claim.
     */
    private static final double TIMING_MARGIN_MS = 250;

    /**
     * Times its usual time, and mean deviations beyond it, from which an answer is slow; and slow
     * ones in a row that tell.
     */
    private static final double SLOW_FACTOR = 3;

    private static final double SLOW_DEVIATIONS = 6;
    private static final int SLOW_ANSWERS = 6;
    private static final double SMOOTHING_WEIGHT = 0.1;
    private static final int MAX_ATTEMPTS = 255;

    /**
     * What the claims of a proxy that is suspected weigh, of what they would: it may be the one
     * that is cut off.
     */
    private static final double SUSPECTED_OBSERVER_FACTOR = 0.5;

    private final Set<String> suspectedObservers = new TreeSet<>();

    private static final class ReceivedClaim {
        Claim claim;

        /** When it was made, by our clock and what those who passed it on say of its age. */
        double statedAt;

        /** Our own attempts said the same since it came. */
        boolean confirmed;
    }

    private static final class NodeState {
        final long startedAtMs;
        int consecutiveFailures;
        int consecutiveSlow;

        /** When each attempt that is out was sent, and how many of them are overdue. */
        final List<Double> pendingSentAt = new ArrayList<>();

        int overdue;

        /**
         * The latest answers, those before it a little apart: the very latest may be too new to
         * contradict anyone.
         */
        final double[] answerTimes = {
            Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY
        };

        Claim.Kind failureKind = Claim.Kind.SILENT;
        double failingSince;
        double lastFailureAt;
        double meanMs;
        double deviationMs;
        boolean suspected;
        final Map<String, ReceivedClaim> claims = new TreeMap<>();

        NodeState(long startedAtMs) {
            this.startedAtMs = startedAtMs;
        }

        double lastAnswerAt() {
            return answerTimes[0];
        }

        void recordAnswer(double now) {
            if (answerTimes[0] - answerTimes[1] >= TIMING_MARGIN_MS) {
                answerTimes[2] = answerTimes[1];
                answerTimes[1] = answerTimes[0];
            }
            answerTimes[0] = now;
            consecutiveFailures = 0;
        }

        boolean answeredBetween(double from, double to) {
            return java.util.Arrays.stream(answerTimes)
                    .anyMatch(at -> at > from + TIMING_MARGIN_MS && at < to - TIMING_MARGIN_MS);
        }

        int failedAttempts() {
            return Math.min(MAX_ATTEMPTS, consecutiveFailures + overdue);
        }

        void countOverdue(double now) {
            double thresholdMs =
                    meanMs == 0
                            ? OVERDUE_DEFAULT_MS
                            : Math.max(
                                    OVERDUE_MIN_MS,
                                    Math.max(
                                            OVERDUE_FACTOR * meanMs,
                                            meanMs + OVERDUE_DEVIATIONS * deviationMs));
            overdue = 0;
            for (double sentAt : pendingSentAt) {
                overdue += sentAt >= lastAnswerAt() && now - sentAt > thresholdMs ? 1 : 0;
            }
            if (overdue > 0 && consecutiveFailures == 0) {
                failureKind = Claim.Kind.SILENT;
                failingSince = now;
                lastFailureAt = now;
            }
        }

        /**
         * One that was sent at this time has ended; the clock may have changed its pace, so the
         * nearest is taken.
         */
        void removePending(double sentAt) {
            int nearest = -1;
            for (int i = 0; i < pendingSentAt.size(); i++) {
                nearest =
                        nearest < 0
                                        || Math.abs(pendingSentAt.get(i) - sentAt)
                                                < Math.abs(pendingSentAt.get(nearest) - sentAt)
                                ? i
                                : nearest;
            }
            if (nearest >= 0) {
                pendingSentAt.remove(nearest);
            }
        }
    }

    private static final class Trust {
        double weight = 1;
        double updatedAt;
        boolean distrusted;
    }

    private final Map<String, NodeState> nodes = new TreeMap<>();
    private final Map<String, Trust> trustByObserver = new HashMap<>();

    /** Nodes of which anything is held against: all others need no look. */
    private final Set<String> accused = new TreeSet<>();

    /** Nodes with attempts out. */
    private final Set<String> nodesWithPending = new TreeSet<>();

    private List<Claim> published = List.of();
    private double publishedAt = Double.NEGATIVE_INFINITY;

    /** How much weight must agree, this proxy's own included, in a fleet of so many proxies. */
    static double quorum(int proxies) {
        return proxies < 8 ? 2 : proxies < 64 ? 3 : 4;
    }

    /**
     * The nodes of the server list. One that started anew has nothing held against it; one that
     * left is forgotten. Returns those that are new here: what was said of them before was not
     * taken in.
     */
    Set<String> updateNodes(Collection<Node> endpoints) {
        Map<String, NodeState> next = new TreeMap<>();
        Set<String> added = new TreeSet<>();
        for (Node node : endpoints) {
            long startedAtMs = (long) node.startedAtMs();
            NodeState known = nodes.get(node.id());
            if (known == null || known.startedAtMs != startedAtMs) {
                added.add(node.id());
                known = new NodeState(startedAtMs);
            }
            next.put(node.id(), known);
        }
        nodes.clear();
        nodes.putAll(next);
        nodesWithPending.removeIf(
                id -> !nodes.containsKey(id) || nodes.get(id).pendingSentAt.isEmpty());
        accused.removeIf(
                id ->
                        !nodes.containsKey(id)
                                || nodes.get(id).failedAttempts() == 0
                                        && nodes.get(id).claims.isEmpty()
                                        && !nodes.get(id).suspected);
        return added;
    }

    /** An own attempt goes out. */
    void attemptStarted(double now, String node) {
        NodeState state = nodes.get(node);
        if (state != null) {
            state.pendingSentAt.add(now);
            nodesWithPending.add(node);
        }
    }

    /** An own attempt has ended. */
    void attemptEnded(double now, String node, Outcome outcome, double elapsedMs) {
        NodeState state = nodes.get(node);
        if (state != null && outcome != Outcome.NEVER_SENT) {
            state.removePending(now - elapsedMs);
            recordOutcome(now, node, state, outcome, elapsedMs);
        }
    }

    private void recordOutcome(
            double now, String node, NodeState state, Outcome outcome, double elapsedMs) {
        switch (outcome) {
            case OK, MISS -> recordAnswer(now, node, state, elapsedMs);
            case TIMEOUT -> recordFailure(now, node, state, Claim.Kind.SILENT);
            // One that is full says so: it lives, and how much it is sent is the module's own
            // affair.
            case CONNECT_FAILED, RESET -> recordFailure(now, node, state, Claim.Kind.REFUSING);
            case ERROR -> recordFailure(now, node, state, Claim.Kind.ERRING);
            default -> {}
        }
    }

    private void recordAnswer(double now, String node, NodeState state, double elapsedMs) {
        boolean slow =
                state.meanMs > 0
                        && elapsedMs > SLOW_FACTOR * state.meanMs
                        && elapsedMs > state.meanMs + SLOW_DEVIATIONS * state.deviationMs;
        state.recordAnswer(now);
        state.consecutiveSlow = slow ? state.consecutiveSlow + 1 : 0;
        if (state.consecutiveSlow >= SLOW_ANSWERS) {
            recordFailure(now, node, state, Claim.Kind.SLOW);
        } else {
            double weight = state.meanMs == 0 ? 1 : SMOOTHING_WEIGHT;
            state.deviationMs += weight * (Math.abs(elapsedMs - state.meanMs) - state.deviationMs);
            state.meanMs += weight * (elapsedMs - state.meanMs);
        }
    }

    private void recordFailure(double now, String node, NodeState state, Claim.Kind kind) {
        state.failingSince = state.consecutiveFailures == 0 ? now : state.failingSince;
        state.consecutiveFailures = Math.min(MAX_ATTEMPTS, state.consecutiveFailures + 1);
        state.failureKind = kind;
        state.lastFailureAt = now;
        accused.add(node);
        state.claims.forEach(
                (observer, received) -> {
                    if (!received.confirmed) {
                        received.confirmed = true;
                        Trust trust = currentTrust(now, observer);
                        trust.weight = Math.min(1, trust.weight + AGREEMENT_GAIN);
                    }
                });
    }

    /** An own probe has ended; one that is answered outweighs all that was said before it. */
    void probeEnded(double now, String node, Outcome outcome) {
        NodeState state = nodes.get(node);
        if (state != null && (outcome == Outcome.OK || outcome == Outcome.MISS)) {
            state.recordAnswer(now);
        } else if (state != null) {
            recordOutcome(now, node, state, outcome, 0);
        }
    }

    private void reduceWeight(double now, String observer, List<String> newlyDistrusted) {
        Trust trust = currentTrust(now, observer);
        trust.weight *= CONTRADICTION_FACTOR;
        if (trust.weight < DISTRUST_THRESHOLD && !trust.distrusted) {
            trust.distrusted = true;
            newlyDistrusted.add(observer);
        }
    }

    private Trust currentTrust(double now, String observer) {
        Trust trust = trustByObserver.computeIfAbsent(observer, o -> new Trust());
        trust.weight =
                Math.min(
                        1,
                        trust.weight
                                + Math.max(0, now - trust.updatedAt)
                                        / 1000
                                        * WEIGHT_RECOVERY_PER_S);
        trust.updatedAt = now;
        trust.distrusted &= trust.weight < 1;
        return trust;
    }

    /** How far a peer is believed now, 0 to 1. */
    double weight(double now, String observer) {
        return currentTrust(now, observer).weight;
    }

    /**
     * What an observer holds against nodes; it replaces all that it said before. Names observers
     * that lost much of their weight.
     */
    void applyStatement(
            double now,
            String observer,
            List<Claim> claims,
            double ageMs,
            List<String> newlyDistrusted) {
        double statedAt = now - ageMs;
        removeWithdrawnClaims(
                now,
                statedAt,
                observer,
                claims.stream().map(Claim::node).toList(),
                newlyDistrusted);
        for (Claim claim : claims) {
            NodeState state = nodes.get(claim.node());
            if (state == null
                    || state.startedAtMs != claim.startedAtMs()
                    || ageMs >= CLAIM_LIFETIME_MS) {
                continue;
            }
            // The node answered us while it is said to have answered nothing: one of us is wrong,
            // and it is not we.
            if (state.answeredBetween(statedAt - claim.failingForMs(), statedAt)
                    && claim.attempts() > 1
                    && claim.kind() != Claim.Kind.SLOW) {
                reduceWeight(now, observer, newlyDistrusted);
            }
            addClaim(observer, claim, statedAt);
        }
    }

    /**
     * Takes in a claim alone; one about another life of the node, or a node that is not listed,
     * says nothing.
     */
    void addClaim(String observer, Claim claim, double statedAt) {
        NodeState state = nodes.get(claim.node());
        if (state != null && state.startedAtMs == claim.startedAtMs()) {
            ReceivedClaim received =
                    state.claims.computeIfAbsent(observer, o -> new ReceivedClaim());
            received.claim = claim;
            received.statedAt = statedAt;
            accused.add(claim.node());
        }
    }

    /** One that accuses and withdraws in turns is contradicted by answers in between. */
    private void removeWithdrawnClaims(
            double now,
            double statedAt,
            String observer,
            List<String> stillAccused,
            List<String> newlyDistrusted) {
        for (String node : accused) {
            NodeState state = nodes.get(node);
            ReceivedClaim received =
                    state == null || stillAccused.contains(node)
                            ? null
                            : state.claims.remove(observer);
            if (received != null
                    && received.claim.attempts() > 1
                    && state.answeredBetween(received.statedAt, statedAt)) {
                reduceWeight(now, observer, newlyDistrusted);
            }
        }
    }

    /** A member is suspected, or no longer. */
    void setObserverSuspected(String observer, boolean suspected) {
        if (suspected) {
            suspectedObservers.add(observer);
        } else {
            suspectedObservers.remove(observer);
        }
    }

    /** It is gone: what it said goes with it. */
    void removeObserver(String observer) {
        accused.forEach(node -> nodes.get(node).claims.remove(observer));
    }

    /** Ages everything; returns the doubts that began or ended. */
    List<SuspicionChange> evaluate(double now, int proxies) {
        List<SuspicionChange> changes = new ArrayList<>();
        for (String node : List.copyOf(nodesWithPending)) {
            NodeState state = nodes.get(node);
            state.countOverdue(now);
            if (state.overdue > 0) {
                accused.add(node);
            } else if (state.pendingSentAt.isEmpty()) {
                nodesWithPending.remove(node);
            }
        }
        for (String node : List.copyOf(accused)) {
            NodeState state = nodes.get(node);
            state.claims
                    .values()
                    .removeIf(received -> now >= received.statedAt + CLAIM_LIFETIME_MS);
            state.consecutiveFailures =
                    state.consecutiveFailures > 0
                                    && now - state.lastFailureAt > OWN_FAILURE_LIFETIME_MS
                            ? 0
                            : state.consecutiveFailures;
            boolean suspected = isSuspected(now, state, proxies);
            if (suspected != state.suspected) {
                state.suspected = suspected;
                changes.add(new SuspicionChange(node, suspected, describeEvidence(state)));
            }
            if (state.failedAttempts() == 0 && state.claims.isEmpty() && !state.suspected) {
                accused.remove(node);
            }
        }
        return changes;
    }

    private boolean isSuspected(double now, NodeState state, int proxies) {
        double weight = state.failedAttempts() > 0 ? 1 : 0;
        int attempts = state.failedAttempts();
        boolean accusedByOthers = false;
        for (Map.Entry<String, ReceivedClaim> entry : state.claims.entrySet()) {
            // What was said before it last answered us is overtaken.
            if (entry.getValue().statedAt >= state.lastAnswerAt()) {
                weight +=
                        weight(now, entry.getKey())
                                * (suspectedObservers.contains(entry.getKey())
                                        ? SUSPECTED_OBSERVER_FACTOR
                                        : 1);
                attempts += entry.getValue().claim.attempts();
                accusedByOthers = true;
            }
        }
        // A doubt that stands ends a little later than it began, or it would flicker at the bound.
        double requiredWeight = state.suspected ? quorum(proxies) - 1 : quorum(proxies);
        return accusedByOthers && weight >= requiredWeight && attempts >= MIN_FAILED_ATTEMPTS;
    }

    private static String describeEvidence(NodeState state) {
        StringBuilder evidence =
                new StringBuilder(
                        state.failedAttempts() > 0
                                ? "self:" + state.failureKind + "*" + state.failedAttempts()
                                : "");
        state.claims.forEach(
                (observer, received) ->
                        evidence.append(evidence.isEmpty() ? "" : " ")
                                .append(observer)
                                .append(':')
                                .append(received.claim.kind())
                                .append('*')
                                .append(received.claim.attempts()));
        return evidence.toString().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * What this proxy has to say now, or null if that is no news: its own claims alone, the worst
     * first. A node that a quorum accuses already needs no further voice; in a large fleet this is
     * what bounds the traffic.
     */
    List<Claim> claimsToPublish(double now, int proxies) {
        List<Claim> claims = new ArrayList<>();
        for (String node : accused) {
            NodeState state = nodes.get(node);
            boolean alreadyPublished = published.stream().anyMatch(c -> c.node().equals(node));
            boolean needed = alreadyPublished || state.claims.size() < quorum(proxies);
            if (state.failedAttempts()
                            >= (state.failureKind == Claim.Kind.ERRING ? MIN_FAILED_ATTEMPTS : 1)
                    && needed) {
                claims.add(
                        new Claim(
                                node,
                                state.startedAtMs,
                                state.failureKind,
                                state.failedAttempts(),
                                (int) Math.min(Integer.MAX_VALUE, now - state.failingSince)));
            }
        }
        claims.sort(Comparator.comparingInt((Claim c) -> -c.attempts()).thenComparing(Claim::node));
        List<Claim> worst =
                claims.size() > Statement.MAX_CLAIMS
                        ? List.copyOf(claims.subList(0, Statement.MAX_CLAIMS))
                        : claims;
        boolean changed =
                !worst.stream()
                        .map(Claim::node)
                        .toList()
                        .equals(published.stream().map(Claim::node).toList());
        boolean due = !worst.isEmpty() && now - publishedAt >= CLAIM_RENEWAL_MS;
        if (!changed && !due) {
            return null;
        }
        published = worst;
        publishedAt = now;
        return worst;
    }
}
