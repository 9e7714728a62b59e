package cacheproxy.lab.ledger;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.ClientTry;
import cacheproxy.lab.ledger.Ledger.FinalAnswer;
import cacheproxy.lab.ledger.Ledger.ListNotification;
import cacheproxy.lab.world.World.Health;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The rules that a fleet of proxies must obey. Each is checked against the ledger of a run. */
public final class Rules {

    /** The rules. Their names are written to results. */
    public enum Rule {
        /** Every accepted request gets exactly one final answer. */
        ONE_ANSWER,
        /** The final answer arrives within the client's time budget plus the tolerance. */
        IN_TIME,
        /** A served answer was produced by an attempt for this request. */
        MADE_FOR_IT,
        /**
         * Once a request may have been executed, there is no further attempt and no rejection that
         * its class does not allow.
         */
        DUPLICATE,
        /**
         * A draining or removed machine gets no new work, beginning a limited time after the proxy
         * was notified.
         */
        DRAIN,
        /** All proxies together send a node that is warming up no more than its allowed load. */
        COLD_NODE,
        /**
         * Misses at nodes that are warming up are no large share of a load that stops the origin.
         */
        COLD_ORIGIN,
        /** A rejection has a Retry-After header and is sent without delay. */
        REFUSAL,
        /** Every attempt carries an id that a client sent. */
        KNOWN_ID,
        /**
         * A client that sends no valid request gets an error or a close in time, and is never
         * served.
         */
        BAD_INPUT,
        /** No proxy exits unless it was ordered to. */
        CRASH,
        /**
         * No two proxies consider themselves current at different epochs of the policy, and a
         * rejected proposal becomes effective nowhere.
         */
        POLICY,
        /**
         * The load was sent at the planned times; otherwise the figures would measure the load
         * generator.
         */
        GENERATOR
    }

    /** A broken rule with its proof. */
    public record Violation(Rule rule, String request, double atMs, String proof) {

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%s %s at %.1f ms: %s",
                    rule.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                    request,
                    atMs,
                    proof);
        }
    }

    /**
     * Minimum share of an excessive load of a node that must come from proxies notified of its
     * start for the rule to be broken.
     */
    private static final double MIN_NOTIFIED_SHARE = 2.0 / 3;

    /**
     * Maximum share of the load of an origin that stops which may come from misses at nodes that
     * are warming up.
     */
    private static final double MAX_COLD_MISS_SHARE = 0.3;

    /**
     * Time allowed for two connection attempts that failed, in ms. No machine sees these, so they
     * are not in the ledger.
     */
    private static final double UNSEEN_CONNECT_MS = 200;

    private static final int HTTP_OK = 200;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_UNAVAILABLE = 503;

    private final Ledger ledger;
    private final Experiment experiment;
    private final double originOverloadWindowMs;
    private final List<Violation> violations = new ArrayList<>();

    /** Fetches of each key by each proxy: a read may wait for a fetch that another read started. */
    private final Map<String, List<Attempt>> fetches = new HashMap<>();

    private Rules(Ledger ledger, Experiment experiment) {
        this.ledger = ledger;
        this.experiment = experiment;
        this.originOverloadWindowMs = experiment.origin().fallS() * 1000;
        for (Attempt attempt : ledger.attempts()) {
            ClientTry clientTry = ledger.find(attempt.callId);
            if (attempt.origin && clientTry != null) {
                fetches.computeIfAbsent(attempt.proxy + " " + clientTry.key, k -> new ArrayList<>())
                        .add(attempt);
            }
        }
    }

    /** Returns all violations in the ledger, ordered by time. */
    public static List<Violation> check(Ledger ledger, Experiment experiment) {
        Rules rules = new Rules(ledger, experiment);
        ledger.tries().forEach(rules::checkTry);
        ledger.unmatchedAttempts()
                .forEach(
                        attempt ->
                                rules.addViolation(
                                        Rule.KNOWN_ID,
                                        attempt.callId,
                                        attempt.lastByteAt,
                                        "reached "
                                                + attempt.machine
                                                + " with an id no client sent"));
        rules.checkDrains();
        rules.checkColdNodes();
        ledger.originStops().forEach(s -> rules.checkOriginStop(s.at()));
        rules.violations.sort(Comparator.comparingDouble(Violation::atMs));
        return List.copyOf(rules.violations);
    }

    private void addViolation(Rule rule, String request, double at, String proof) {
        violations.add(new Violation(rule, request, at, proof));
    }

    private static boolean isRefusal(FinalAnswer reply) {
        return reply.status() == HTTP_TOO_MANY_REQUESTS || reply.status() == HTTP_UNAVAILABLE;
    }

    private void checkTry(ClientTry clientTry) {
        boolean excused =
                ledger.isExcused(
                        clientTry.proxy,
                        clientTry.sentAt,
                        Math.min(
                                clientTry.endedAt(),
                                clientTry.sentAt
                                        + clientTry.budgetMs
                                        + experiment.rules().slackMs()));
        double dueAt = clientTry.sentAt + clientTry.budgetMs + experiment.rules().slackMs();
        List<Attempt> attempts =
                clientTry.attempts.stream()
                        .sorted(Comparator.comparingDouble(attempt -> attempt.firstByteAt))
                        .toList();
        if (clientTry.replies.size() > 1) {
            addViolation(
                    Rule.ONE_ANSWER,
                    clientTry.id,
                    clientTry.replies.get(1).at(),
                    clientTry.replies.size() + " final answers: " + clientTry.replies);
        }
        boolean connectionRejected =
                clientTry.firstOnConnection
                        && clientTry.connectionLostAt < clientTry.gaveUpAt
                        && attempts.isEmpty();
        if (clientTry.replies.isEmpty()
                && !excused
                && !clientTry.answerBegun
                && !connectionRejected) {
            addViolation(
                    Rule.ONE_ANSWER,
                    clientTry.id,
                    Math.min(clientTry.connectionLostAt, clientTry.gaveUpAt),
                    "sent at "
                            + formatMs(clientTry.sentAt)
                            + " to proxy-"
                            + clientTry.proxy
                            + " and "
                            + (clientTry.connectionLostAt < clientTry.gaveUpAt
                                    ? "closed at "
                                            + formatMs(clientTry.connectionLostAt)
                                            + " without an answer"
                                    : "not answered by " + formatMs(dueAt))
                            + ", attempts "
                            + describe(attempts));
        } else if (!clientTry.replies.isEmpty()
                && clientTry.replies.get(0).at() > dueAt
                && !excused) {
            addViolation(
                    Rule.IN_TIME,
                    clientTry.id,
                    clientTry.replies.get(0).at(),
                    "due at " + formatMs(dueAt));
        }
        for (FinalAnswer reply : clientTry.replies) {
            if (reply.status() == HTTP_OK) {
                checkServed(clientTry, reply, attempts);
            } else if (isRefusal(reply)) {
                checkRefusal(clientTry, reply, attempts, excused);
            }
        }
        checkRepeats(clientTry, attempts);
    }

    private void checkServed(ClientTry clientTry, FinalAnswer reply, List<Attempt> attempts) {
        if (attempts.stream()
                .noneMatch(
                        attempt ->
                                attempt.number == reply.attemptNumber()
                                        && attempt.executed
                                        && attempt.answeredAt <= reply.at() + 1)) {
            addViolation(
                    Rule.MADE_FOR_IT,
                    clientTry.id,
                    reply.at(),
                    "its body names attempt "
                            + reply.attemptNumber()
                            + ", but its attempts are "
                            + describe(attempts));
        }
    }

    private void checkRefusal(
            ClientTry clientTry, FinalAnswer reply, List<Attempt> attempts, boolean excused) {
        Effect effect = experiment.load().classes().get(clientTry.classIndex).effect();
        for (Attempt attempt : attempts) {
            if (effect == Effect.UNSAFE && !provedNotRunBy(attempt, reply.at())) {
                addViolation(
                        Rule.DUPLICATE,
                        clientTry.id,
                        reply.at(),
                        "rejected as safe to retry although "
                                + describe(List.of(attempt))
                                + " may have been executed");
            }
        }
        if (Double.isNaN(reply.retryAfterMs())) {
            addViolation(Rule.REFUSAL, clientTry.id, reply.at(), "no Retry-After");
        }
        double idleSince = clientTry.sentAt;
        for (Attempt attempt : attempts) {
            idleSince =
                    Math.max(
                            idleSince,
                            Math.min(Math.min(attempt.answeredAt, attempt.closedAt), reply.at()));
        }
        for (Attempt attempt :
                fetches.getOrDefault(clientTry.proxy + " " + clientTry.key, List.of())) {
            boolean overlaps =
                    attempt.firstByteAt <= reply.at()
                            && Math.min(attempt.answeredAt, attempt.closedAt) >= clientTry.sentAt;
            idleSince =
                    overlaps
                            ? Math.max(
                                    idleSince,
                                    Math.min(
                                            Math.min(attempt.answeredAt, attempt.closedAt),
                                            reply.at()))
                            : idleSince;
        }
        double share = experiment.rules().refusalIdleShare();
        if (!excused
                && reply.at() - idleSince
                        > share * clientTry.budgetMs
                                + experiment.rules().slackMs()
                                + UNSEEN_CONNECT_MS) {
            addViolation(
                    Rule.REFUSAL,
                    clientTry.id,
                    reply.at(),
                    "rejection delayed: no attempt was in flight since " + formatMs(idleSince));
        }
    }

    /** Whether the proxy had proof by a time that an attempt was not executed. */
    private static boolean provedNotRunBy(Attempt attempt, double at) {
        return attempt.verdict.provesNotRun() && attempt.answeredAt <= at;
    }

    private void checkRepeats(ClientTry clientTry, List<Attempt> attempts) {
        Experiment.Class requestClass = experiment.load().classes().get(clientTry.classIndex);
        if (attempts.size() > experiment.rules().attempts()) {
            addViolation(
                    Rule.DUPLICATE,
                    clientTry.id,
                    clientTry.sentAt,
                    attempts.size() + " attempts: " + describe(attempts));
        }
        if (attempts.stream().filter(attempt -> attempt.executed).count() > 1
                && requestClass.effect() == Effect.UNSAFE) {
            addViolation(
                    Rule.DUPLICATE,
                    clientTry.id,
                    clientTry.sentAt,
                    "executed more than once: " + describe(attempts));
        }
        Attempt mayHaveRun = null;
        for (Attempt attempt : attempts) {
            if (mayHaveRun != null && requestClass.effect() == Effect.UNSAFE) {
                addViolation(
                        Rule.DUPLICATE,
                        clientTry.id,
                        attempt.firstByteAt,
                        "sent again although it may have been executed: " + describe(attempts));
            } else if (mayHaveRun != null
                    && requestClass.effect() == Effect.KEYED
                    && attempt.firstByteAt
                            > mayHaveRun.lastByteAt
                                    + requestClass.repeatWindowMs()
                                    + experiment.rules().slackMs()) {
                addViolation(
                        Rule.DUPLICATE,
                        clientTry.id,
                        attempt.firstByteAt,
                        "sent again after the repeat window of "
                                + formatMs(requestClass.repeatWindowMs())
                                + ": "
                                + describe(attempts));
            }
            double at = attempt.firstByteAt;
            Attempt before = mayHaveRun;
            if (!experiment.rules().secondCopies()
                    && before != null
                    && Math.min(before.answeredAt, before.closedAt)
                            > at + experiment.rules().slackMs()) {
                addViolation(
                        Rule.DUPLICATE,
                        clientTry.id,
                        at,
                        "second attempt while the first is in flight: " + describe(attempts));
            }
            // What is proved by the time of the next attempt counts.
            double next =
                    attempts.stream()
                            .filter(b -> b.firstByteAt > at)
                            .mapToDouble(b -> b.firstByteAt)
                            .min()
                            .orElse(Double.POSITIVE_INFINITY);
            if (mayHaveRun == null && !provedNotRunBy(attempt, next)) {
                mayHaveRun = attempt;
            }
        }
    }

    /** What one proxy knows about one machine, from its notifications in order. */
    private static final class KnownState {
        private ListNotification latest;
        private double unavailableSince;
        private double startedAt = Double.NEGATIVE_INFINITY;

        void apply(ListNotification notification) {
            // A delayed notification of an earlier end does not override a later start.
            if (notification.health() == Health.UP) {
                latest = notification;
                startedAt = Math.max(startedAt, notification.startedAt());
            } else if (notification.startedAt() >= startedAt
                    && (latest == null || latest.health() == Health.UP)) {
                latest = notification;
                unavailableSince = notification.at();
            }
        }
    }

    private void checkDrains() {
        List<ListNotification> notifications = new ArrayList<>(ledger.notified());
        for (ListNotification change : ledger.changes()) {
            for (int proxy = 0; proxy < experiment.proxies().count(); proxy++) {
                notifications.add(
                        new ListNotification(
                                proxy,
                                change.machine(),
                                change.health(),
                                change.startedAt(),
                                change.at() + SlowStartLoad.MAX_NOTIFICATION_DELAY_MS));
            }
        }
        notifications.sort(Comparator.comparingDouble(ListNotification::at));
        List<Attempt> sent =
                ledger.attempts().stream()
                        .sorted(Comparator.comparingDouble(attempt -> attempt.firstByteAt))
                        .toList();
        List<Map<String, KnownState>> known = new ArrayList<>();
        for (int proxy = 0; proxy < experiment.proxies().count(); proxy++) {
            known.add(new HashMap<>());
        }
        double limitMs = experiment.rules().drainMs() + experiment.rules().slackMs();
        int applied = 0;
        for (Attempt attempt : sent) {
            for (;
                    applied < notifications.size()
                            && notifications.get(applied).at() <= attempt.firstByteAt;
                    applied++) {
                known.get(notifications.get(applied).proxy())
                        .computeIfAbsent(
                                notifications.get(applied).machine(), m -> new KnownState())
                        .apply(notifications.get(applied));
            }
            KnownState state = known.get(attempt.proxy).get(attempt.machine);
            if (state != null
                    && state.latest.health() != Health.UP
                    && attempt.firstByteAt > state.unavailableSince + limitMs) {
                addViolation(
                        Rule.DRAIN,
                        attempt.callId,
                        attempt.firstByteAt,
                        "sent to "
                                + attempt.machine
                                + " by proxy-"
                                + attempt.proxy
                                + ", notified "
                                + state.latest.health()
                                + " at "
                                + formatMs(state.unavailableSince));
            }
        }
    }

    /**
     * The rule is broken by a window over the allowed load of a node if at least two thirds of the
     * load came from proxies notified of its start. Each start is reported once.
     */
    private void checkColdNodes() {
        Set<String> reported = new HashSet<>();
        for (SlowStartLoad.LoadWindow window : SlowStartLoad.windows(ledger)) {
            if (window.workRatio() > 1
                    && window.notifiedShare() >= MIN_NOTIFIED_SHARE
                    && reported.add(window.machine() + " " + window.startedAt())) {
                addViolation(
                        Rule.COLD_NODE,
                        window.machine(),
                        window.at(),
                        String.format(
                                Locale.ROOT,
                                "sent %.2f times the allowed load %.0f ms after its start, %.0f%% of it by proxies notified of the start",
                                window.workRatio(),
                                window.at() - window.startedAt(),
                                100 * window.notifiedShare()));
            }
        }
    }

    private void checkOriginStop(double at) {
        List<Attempt> sent =
                ledger.attempts().stream()
                        .filter(
                                attempt ->
                                        attempt.origin
                                                && attempt.lastByteAt > at - originOverloadWindowMs
                                                && attempt.lastByteAt <= at)
                        .toList();
        double workMs = sent.stream().mapToDouble(attempt -> attempt.workMs).sum();
        double coldMissWorkMs =
                sent.stream()
                        .filter(
                                attempt ->
                                        ledger.find(attempt.callId) != null
                                                && ledger.find(attempt.callId).attempts.stream()
                                                        .anyMatch(
                                                                b ->
                                                                        b.atWarmingNode
                                                                                && b.verdict
                                                                                        == Ledger
                                                                                                .Verdict
                                                                                                .MISSED))
                        .mapToDouble(attempt -> attempt.workMs)
                        .sum();
        if (workMs > 0 && coldMissWorkMs > MAX_COLD_MISS_SHARE * workMs) {
            addViolation(
                    Rule.COLD_ORIGIN,
                    "origin",
                    at,
                    String.format(
                            Locale.ROOT,
                            "stopped, and %.0f%% of its load was from misses at nodes warming up",
                            100 * coldMissWorkMs / workMs));
        }
    }

    private static String formatMs(double at) {
        return String.format(Locale.ROOT, "%.1f ms", at);
    }

    private static String describe(List<Attempt> attempts) {
        StringBuilder text = new StringBuilder("[");
        for (Attempt attempt : attempts) {
            text.append(text.length() > 1 ? ", " : "")
                    .append(attempt.machine)
                    .append(" at ")
                    .append(formatMs(attempt.firstByteAt))
                    .append(' ')
                    .append(attempt.verdict.name().toLowerCase(Locale.ROOT));
        }
        return text.append(']').toString();
    }
}
