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
 * Collects failure reports about cache nodes, from this proxy and from others, and the weight that
 * each observer's reports have. Claims only report failures, so a false claim of health cannot hide
 * a failure. A node is suspected when a quorum of observers reports it; the decision module then
 * verifies the suspicion by its own probe. An observer that accuses nodes which answer this proxy
 * loses weight and recovers it slowly. All claims expire, by this proxy's own clock alone.
 */
final class Evidence {

    /** The start or end of a node's suspicion, with the observers and their claims. */
    record SuspicionChange(String node, boolean suspected, String evidence) {}

    /**
     * Minimum number of failed attempts over all observers of a node. Fewer can be due to chance;
     * single attempts are lost every day.
     */
    private static final int MIN_FAILED_ATTEMPTS = 3;

    /**
     * A pending attempt counts as unanswered once it has taken this multiple of the node's mean
     * response time and also exceeds the mean by {@code OVERDUE_DEVIATIONS} mean deviations, unless
     * the node has answered anything since the attempt was sent. Waiting for the attempt to end
     * would forfeit most of the benefit of early detection.
     */
    private static final double OVERDUE_FACTOR = 3;

    private static final double OVERDUE_DEVIATIONS = 8;
    private static final double OVERDUE_MIN_MS = 120;

    /** The bound for a node without a known response time. */
    private static final double OVERDUE_DEFAULT_MS = 400;

    /** How long a claim is valid after its last renewal. */
    static final double CLAIM_LIFETIME_MS = 6000;

    /** Interval at which an observer renews its claims. */
    static final double CLAIM_RENEWAL_MS = 2000;

    /** How long this proxy's own failures count against a node without a further failure. */
    private static final double OWN_FAILURE_LIFETIME_MS = 5000;

    /** Factor applied to an observer's weight for each claim that our own attempts contradict. */
    private static final double CONTRADICTION_FACTOR = 0.6;

    /** Weight that an observer recovers per second, up to 1. */
    private static final double WEIGHT_RECOVERY_PER_S = 0.01;

    /** Weight that an observer gains when our own attempts confirm its claim, up to 1. */
    private static final double AGREEMENT_GAIN = 0.05;

    /** Weight below which an observer is reported in the log as distrusted. */
    private static final double DISTRUST_THRESHOLD = 0.5;

    /**
     * Timing error allowed between two proxies when an answer seen by one is compared with the
     * period of silence claimed by the other.
     */
    private static final double TIMING_MARGIN_MS = 250;

    /**
     * An answer is slow if it takes more than this multiple of the node's mean response time and
     * also exceeds the mean by {@code SLOW_DEVIATIONS} mean deviations.
     */
    private static final double SLOW_FACTOR = 3;

    private static final double SLOW_DEVIATIONS = 6;

    /** Consecutive slow answers from which each further one counts as a failure. */
    private static final int SLOW_ANSWERS = 6;

    /** Weight of a new response time in the moving averages of the mean and the deviation. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** A claim carries its number of attempts in one byte. */
    private static final int MAX_ATTEMPTS = 255;

    /**
     * Factor applied to the weight of an observer that is itself suspected, as it may be the one
     * that is disconnected.
     */
    private static final double SUSPECTED_OBSERVER_FACTOR = 0.5;

    private final Set<String> suspectedObservers = new TreeSet<>();

    private static final class ReceivedClaim {
        Claim claim;

        /** Time of the statement by our clock: its time of arrival less the age it arrived with. */
        double statedAt;

        /** Whether an attempt of our own has failed since the observer first accused the node. */
        boolean confirmed;
    }

    private static final class NodeState {
        final long startedAtMs;
        int consecutiveFailures;
        int consecutiveSlow;

        /** Send times of the pending attempts. */
        final List<Double> pendingSentAt = new ArrayList<>();

        /** Number of pending attempts that are overdue. */
        int overdue;

        /**
         * Times of the latest answers, newest first. A new answer replaces the first entry unless
         * that is at least {@code TIMING_MARGIN_MS} later than the second; then all entries move
         * down. The older entries are needed because the newest answer may be too recent to
         * contradict a claim.
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
         * Removes the pending attempt whose send time is nearest to {@code sentAt}. The send time
         * is computed from the elapsed time and may differ from the recorded one if the clock rate
         * has changed meanwhile.
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

    /** Nodes with own failures, received claims or a suspicion; only these need evaluation. */
    private final Set<String> accused = new TreeSet<>();

    /** Nodes with pending attempts. */
    private final Set<String> nodesWithPending = new TreeSet<>();

    private List<Claim> published = List.of();
    private double publishedAt = Double.NEGATIVE_INFINITY;

    /**
     * Returns the total weight of observers, this proxy included, that is required to suspect a
     * node in a fleet of {@code proxies} proxies.
     */
    static double quorum(int proxies) {
        return proxies < 8 ? 2 : proxies < 64 ? 3 : 4;
    }

    /**
     * Replaces the set of known nodes by the endpoint list. A restarted node begins without
     * evidence; a removed node is discarded. Returns the added and restarted nodes: claims about
     * them that arrived earlier were ignored.
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

    /** Records that this proxy has sent an attempt to a node. */
    void attemptStarted(double now, String node) {
        NodeState state = nodes.get(node);
        if (state != null) {
            state.pendingSentAt.add(now);
            nodesWithPending.add(node);
        }
    }

    /** Records the outcome of one of this proxy's attempts. */
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
            case CONNECT_FAILED, RESET -> recordFailure(now, node, state, Claim.Kind.REFUSING);
            case ERROR -> recordFailure(now, node, state, Claim.Kind.ERRING);
            // A node that rejects a request because of overload is alive; the decision module
            // controls how much it is sent.
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

    /**
     * Records the outcome of one of this proxy's probes. An answered probe invalidates all claims
     * made before it.
     */
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

    /** Returns the weight of an observer's claims now, 0 to 1. */
    double weight(double now, String observer) {
        return currentTrust(now, observer).weight;
    }

    /**
     * Applies an observer's statement, which replaces all its earlier claims. Adds the observer to
     * {@code newlyDistrusted} if its weight falls below the distrust threshold.
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
            // The node answered us during the period in which the observer claims that it was
            // silent, so the claim is false.
            if (state.answeredBetween(statedAt - claim.failingForMs(), statedAt)
                    && claim.attempts() > 1
                    && claim.kind() != Claim.Kind.SLOW) {
                reduceWeight(now, observer, newlyDistrusted);
            }
            addClaim(observer, claim, statedAt);
        }
    }

    /**
     * Adds a single claim without checking it against own answers. Claims about another incarnation
     * of the node or about a node that is not in the endpoint list are ignored.
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

    /**
     * Removes the observer's claims that its new statement no longer contains. An observer that
     * repeatedly accuses and withdraws is contradicted by the answers that we received in between.
     */
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

    /** Records whether the member with this name is suspected. */
    void setObserverSuspected(String observer, boolean suspected) {
        if (suspected) {
            suspectedObservers.add(observer);
        } else {
            suspectedObservers.remove(observer);
        }
    }

    /** Removes all claims of a member that has died or left. */
    void removeObserver(String observer) {
        accused.forEach(node -> nodes.get(node).claims.remove(observer));
    }

    /**
     * Expires old claims, re-evaluates all accused nodes, and returns the suspicions that began or
     * ended.
     */
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
            // A claim made before the node last answered us is obsolete.
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
        // Hysteresis: an existing suspicion ends at a lower weight than it needs to begin;
        // otherwise it would flap at the threshold.
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
     * Returns this proxy's own claims, those with the most attempts first, or null if the set of
     * accused nodes is unchanged and no renewal is due. A node that a quorum of other proxies
     * already accuses needs no further claim; in a large fleet this bounds the traffic.
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
