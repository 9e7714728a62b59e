package cacheproxy.lab.ledger;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Reply;
import cacheproxy.lab.ledger.Ledger.Told;
import cacheproxy.lab.ledger.Ledger.Try;
import cacheproxy.lab.world.World.Health;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The rules that a fleet of proxies owes, each proved or disproved from a ledger. */
public final class Rules {

    /** The rules' names, as they stand in results. */
    public enum Rule {
        /** Exactly one final answer for all that was taken. */
        ONE_ANSWER,
        /** It comes before the client gives up, and the slack. */
        IN_TIME,
        /** What was served was made by a machine for this request. */
        MADE_FOR_IT,
        /** No attempt and no refusal that the class does not allow once it may have run. */
        DUPLICATE,
        /** No new work to a machine that drains or is gone, from a while after that was told. */
        DRAIN,
        /** No cold node is sent more than its allowance by the sum of all proxies. */
        COLD_NODE,
        /** Misses at cold nodes make no large part of a load that stops the origin. */
        COLD_ORIGIN,
        /** A refusal says when to come again, and comes at once. */
        REFUSAL,
        /** Every attempt carries an id that a client sent. */
        KNOWN_ID,
        /**
         * A peer that sends no proper request has an error or a close in time, and is never served.
         */
        BAD_INPUT,
        /** No proxy ends that was not told to. */
        CRASH,
        /**
         * No two proxies count themselves current at different epochs of the policy, and what was
         * refused takes hold nowhere.
         */
        POLICY,
        /** The load was sent when it was planned: a late generator measures itself. */
        GENERATOR
    }

    /** A broken rule with what proves it. */
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

    /** Part of the load of a cold machine that must come from proxies that knew of its start. */
    private static final double KNEW = 2.0 / 3;

    /** Part of what a stopping origin was sent that cold nodes' misses may make. */
    private static final double COLD_PART = 0.3;

    /**
     * Two attempts to connect that never came up: no machine sees them, so they stand in no ledger.
     */
    private static final double UNSEEN_MS = 200;

    private static final int HTTP_OK = 200;
    private static final int HTTP_MANY = 429;
    private static final int HTTP_UNAVAILABLE = 503;

    private final Ledger ledger;
    private final Experiment experiment;
    private final double fallMs;
    private final List<Violation> found = new ArrayList<>();

    /** Fetches of each key by each proxy: a read may wait for one that another read has begun. */
    private final Map<String, List<Attempt>> fetches = new HashMap<>();

    private Rules(Ledger ledger, Experiment experiment) {
        this.ledger = ledger;
        this.experiment = experiment;
        this.fallMs = experiment.origin().fallS() * 1000;
        for (Attempt a : ledger.attempts()) {
            Try t = ledger.find(a.call);
            if (a.origin && t != null) {
                fetches.computeIfAbsent(a.proxy + " " + t.key, k -> new ArrayList<>()).add(a);
            }
        }
    }

    /** Every violation in the ledger, in the order of time. */
    public static List<Violation> check(Ledger ledger, Experiment experiment) {
        Rules rules = new Rules(ledger, experiment);
        ledger.tries().forEach(rules::tried);
        ledger.strangers()
                .forEach(
                        a ->
                                rules.broken(
                                        Rule.KNOWN_ID,
                                        a.call,
                                        a.lastByteAt,
                                        "came to " + a.machine + ", and no client sent it"));
        rules.drains();
        rules.cold();
        ledger.stops().forEach(s -> rules.originStop(s.at()));
        rules.found.sort(Comparator.comparingDouble(Violation::atMs));
        return List.copyOf(rules.found);
    }

    private void broken(Rule rule, String request, double at, String proof) {
        found.add(new Violation(rule, request, at, proof));
    }

    private static boolean refused(Reply reply) {
        return reply.status() == HTTP_MANY || reply.status() == HTTP_UNAVAILABLE;
    }

    private void tried(Try t) {
        boolean excused =
                ledger.excused(
                        t.proxy,
                        t.sentAt,
                        Math.min(
                                t.endedAt(), t.sentAt + t.budgetMs + experiment.rules().slackMs()));
        double due = t.sentAt + t.budgetMs + experiment.rules().slackMs();
        List<Attempt> attempts =
                t.attempts.stream().sorted(Comparator.comparingDouble(a -> a.firstByteAt)).toList();
        if (t.replies.size() > 1) {
            broken(
                    Rule.ONE_ANSWER,
                    t.id,
                    t.replies.get(1).at(),
                    t.replies.size() + " final answers: " + t.replies);
        }
        boolean turnedAway = t.fresh && t.lostAt < t.gaveUpAt && attempts.isEmpty();
        if (t.replies.isEmpty() && !excused && !t.begun && !turnedAway) {
            broken(
                    Rule.ONE_ANSWER,
                    t.id,
                    Math.min(t.lostAt, t.gaveUpAt),
                    "sent at "
                            + ms(t.sentAt)
                            + " to proxy-"
                            + t.proxy
                            + " and "
                            + (t.lostAt < t.gaveUpAt
                                    ? "closed at " + ms(t.lostAt) + " without an answer"
                                    : "not answered by " + ms(due))
                            + ", attempts "
                            + listed(attempts));
        } else if (!t.replies.isEmpty() && t.replies.get(0).at() > due && !excused) {
            broken(Rule.IN_TIME, t.id, t.replies.get(0).at(), "due at " + ms(due));
        }
        for (Reply reply : t.replies) {
            if (reply.status() == HTTP_OK) {
                served(t, reply, attempts);
            } else if (refused(reply)) {
                refusal(t, reply, attempts, excused);
            }
        }
        repeats(t, attempts);
    }

    private void served(Try t, Reply reply, List<Attempt> attempts) {
        if (attempts.stream()
                .noneMatch(
                        a -> a.number == reply.made() && a.ran && a.answeredAt <= reply.at() + 1)) {
            broken(
                    Rule.MADE_FOR_IT,
                    t.id,
                    reply.at(),
                    "its body names attempt "
                            + reply.made()
                            + ", and its own are "
                            + listed(attempts));
        }
    }

    private void refusal(Try t, Reply reply, List<Attempt> attempts, boolean excused) {
        Effect effect = experiment.load().classes().get(t.type).effect();
        for (Attempt a : attempts) {
            if (effect == Effect.UNSAFE && !provedBy(a, reply.at())) {
                broken(
                        Rule.DUPLICATE,
                        t.id,
                        reply.at(),
                        "refused as harmless to repeat though "
                                + listed(List.of(a))
                                + " may have run");
            }
        }
        if (Double.isNaN(reply.retryAfterMs())) {
            broken(Rule.REFUSAL, t.id, reply.at(), "no Retry-After");
        }
        double idleSince = t.sentAt;
        for (Attempt a : attempts) {
            idleSince =
                    Math.max(idleSince, Math.min(Math.min(a.answeredAt, a.closedAt), reply.at()));
        }
        for (Attempt a : fetches.getOrDefault(t.proxy + " " + t.key, List.of())) {
            boolean meanwhile =
                    a.firstByteAt <= reply.at() && Math.min(a.answeredAt, a.closedAt) >= t.sentAt;
            idleSince =
                    meanwhile
                            ? Math.max(
                                    idleSince,
                                    Math.min(Math.min(a.answeredAt, a.closedAt), reply.at()))
                            : idleSince;
        }
        double share = experiment.rules().refusalIdleShare();
        if (!excused
                && reply.at() - idleSince
                        > share * t.budgetMs + experiment.rules().slackMs() + UNSEEN_MS) {
            broken(
                    Rule.REFUSAL,
                    t.id,
                    reply.at(),
                    "held back: nothing was out for it since " + ms(idleSince));
        }
    }

    /** Whether by a time the proxy had proof that an attempt did not run. */
    private static boolean provedBy(Attempt a, double at) {
        return a.verdict.provesNotRun() && a.answeredAt <= at;
    }

    private void repeats(Try t, List<Attempt> attempts) {
        Experiment.Class type = experiment.load().classes().get(t.type);
        if (attempts.size() > experiment.rules().attempts()) {
            broken(
                    Rule.DUPLICATE,
                    t.id,
                    t.sentAt,
                    attempts.size() + " attempts: " + listed(attempts));
        }
        if (attempts.stream().filter(a -> a.ran).count() > 1 && type.effect() == Effect.UNSAFE) {
            broken(Rule.DUPLICATE, t.id, t.sentAt, "ran twice: " + listed(attempts));
        }
        Attempt mayHaveRun = null;
        for (Attempt a : attempts) {
            if (mayHaveRun != null && type.effect() == Effect.UNSAFE) {
                broken(
                        Rule.DUPLICATE,
                        t.id,
                        a.firstByteAt,
                        "sent again though it may have run: " + listed(attempts));
            } else if (mayHaveRun != null
                    && type.effect() == Effect.KEYED
                    && a.firstByteAt
                            > mayHaveRun.lastByteAt
                                    + type.repeatWindowMs()
                                    + experiment.rules().slackMs()) {
                broken(
                        Rule.DUPLICATE,
                        t.id,
                        a.firstByteAt,
                        "sent again past the window of "
                                + ms(type.repeatWindowMs())
                                + ": "
                                + listed(attempts));
            }
            double at = a.firstByteAt;
            Attempt before = mayHaveRun;
            if (!experiment.rules().secondCopies()
                    && before != null
                    && Math.min(before.answeredAt, before.closedAt)
                            > at + experiment.rules().slackMs()) {
                broken(
                        Rule.DUPLICATE,
                        t.id,
                        at,
                        "a second copy while the first is out: " + listed(attempts));
            }
            // The next one begins after this: what is proved by then decides.
            double next =
                    attempts.stream()
                            .filter(b -> b.firstByteAt > at)
                            .mapToDouble(b -> b.firstByteAt)
                            .min()
                            .orElse(Double.POSITIVE_INFINITY);
            if (mayHaveRun == null && !provedBy(a, next)) {
                mayHaveRun = a;
            }
        }
    }

    /** What one proxy knows of one machine as its news comes in, in order. */
    private static final class Knowledge {
        private Told news;
        private double unfitSince;
        private double startedAt = Double.NEGATIVE_INFINITY;

        void hear(Told told) {
            // What is known of a later start stands against late news of an earlier end.
            if (told.health() == Health.UP) {
                news = told;
                startedAt = Math.max(startedAt, told.startedAt());
            } else if (told.startedAt() >= startedAt
                    && (news == null || news.health() == Health.UP)) {
                news = told;
                unfitSince = told.at();
            }
        }
    }

    private void drains() {
        List<Told> all = new ArrayList<>(ledger.told());
        for (Told change : ledger.changes()) {
            for (int proxy = 0; proxy < experiment.proxies().count(); proxy++) {
                all.add(
                        new Told(
                                proxy,
                                change.machine(),
                                change.health(),
                                change.startedAt(),
                                change.at() + ColdStarts.TOLD_MS));
            }
        }
        all.sort(Comparator.comparingDouble(Told::at));
        List<Attempt> sent =
                ledger.attempts().stream()
                        .sorted(Comparator.comparingDouble(a -> a.firstByteAt))
                        .toList();
        List<Map<String, Knowledge>> known = new ArrayList<>();
        for (int proxy = 0; proxy < experiment.proxies().count(); proxy++) {
            known.add(new HashMap<>());
        }
        double limit = experiment.rules().drainMs() + experiment.rules().slackMs();
        int heard = 0;
        for (Attempt a : sent) {
            for (; heard < all.size() && all.get(heard).at() <= a.firstByteAt; heard++) {
                known.get(all.get(heard).proxy())
                        .computeIfAbsent(all.get(heard).machine(), m -> new Knowledge())
                        .hear(all.get(heard));
            }
            Knowledge k = known.get(a.proxy).get(a.machine);
            if (k != null && k.news.health() != Health.UP && a.firstByteAt > k.unfitSince + limit) {
                broken(
                        Rule.DRAIN,
                        a.call,
                        a.firstByteAt,
                        "sent to "
                                + a.machine
                                + " by proxy-"
                                + a.proxy
                                + ", told "
                                + k.news.health()
                                + " at "
                                + ms(k.unfitSince));
            }
        }
    }

    /**
     * A cold node falls at the first window over what is allowed; the rule is broken if two thirds
     * of it came from those that knew.
     */
    private void cold() {
        Set<String> seen = new HashSet<>();
        for (ColdStarts.Window w : ColdStarts.windows(ledger)) {
            if (w.work() > 1 && w.told() >= KNEW && seen.add(w.machine() + " " + w.startedAt())) {
                broken(
                        Rule.COLD_NODE,
                        w.machine(),
                        w.at(),
                        String.format(
                                Locale.ROOT,
                                "sent %.2f of what is allowed %.0f ms after its start, %.0f%% of it by proxies that knew",
                                w.work(),
                                w.at() - w.startedAt(),
                                100 * w.told()));
            }
        }
    }

    private void originStop(double at) {
        List<Attempt> sent =
                ledger.attempts().stream()
                        .filter(a -> a.origin && a.lastByteAt > at - fallMs && a.lastByteAt <= at)
                        .toList();
        double work = sent.stream().mapToDouble(a -> a.workMs).sum();
        double cold =
                sent.stream()
                        .filter(
                                a ->
                                        ledger.find(a.call) != null
                                                && ledger.find(a.call).attempts.stream()
                                                        .anyMatch(
                                                                b ->
                                                                        b.atColdNode
                                                                                && b.verdict
                                                                                        == Ledger
                                                                                                .Verdict
                                                                                                .MISSED))
                        .mapToDouble(a -> a.workMs)
                        .sum();
        if (work > 0 && cold > COLD_PART * work) {
            broken(
                    Rule.COLD_ORIGIN,
                    "origin",
                    at,
                    String.format(
                            Locale.ROOT,
                            "stopped, and %.0f%% of what it was sent were misses at cold nodes",
                            100 * cold / work));
        }
    }

    private static String ms(double at) {
        return String.format(Locale.ROOT, "%.1f ms", at);
    }

    private static String listed(List<Attempt> attempts) {
        StringBuilder text = new StringBuilder("[");
        for (Attempt a : attempts) {
            text.append(text.length() > 1 ? ", " : "")
                    .append(a.machine)
                    .append(" at ")
                    .append(ms(a.firstByteAt))
                    .append(' ')
                    .append(a.verdict.name().toLowerCase(Locale.ROOT));
        }
        return text.append(']').toString();
    }
}
