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
    record Change(String node, boolean doubted, String by) {}

    /**
     * Attempts, over all that accuse a node, below which chance explains them; one alone is lost
     * every day.
     */
    private static final int ATTEMPTS = 3;

    /**
     * An attempt that is out for so many times its node's usual time, and mean deviations beyond
     * it, counts as unanswered, unless the node has answered anything since it went out. Waiting
     * for its end would cost most of what can be saved.
     */
    private static final double OVERDUE_TIMES = 3;

    private static final double OVERDUE_DEVIATIONS = 8;
    private static final double OVERDUE_LEAST_MS = 120;
    private static final double OVERDUE_UNKNOWN_MS = 400;

    /** How long a claim counts after it was last renewed, and how often its observer renews it. */
    static final double FADE_MS = 6000;

    static final double RENEW_MS = 2000;

    /** How long own bad attempts are held against a node that was not tried again. */
    private static final double KEEP_MS = 5000;

    /**
     * Weight left after a claim that our own attempts contradict, what each second gives back, and
     * what agreement does.
     */
    private static final double DISAGREED = 0.6;

    private static final double REGAINED_PER_S = 0.01;
    private static final double AGREED = 0.05;

    /** Weight below which a peer's claims are worth a word in the log. */
    private static final double DISTRUSTED = 0.5;

    /**
     * What the times of two proxies may be apart when one's answer is held against the other's
     * claim.
     */
    private static final double MARGIN_MS = 250;

    /**
     * Times its usual time, and mean deviations beyond it, from which an answer is slow; and slow
     * ones in a row that tell.
     */
    private static final double SLOW_TIMES = 3;

    private static final double SLOW_DEVIATIONS = 6;
    private static final int SLOW_RUN = 6;
    private static final double SMOOTH = 0.1;
    private static final int MOST_ATTEMPTS = 255;

    /**
     * What the claims of a proxy that is suspected weigh, of what they would: it may be the one
     * that is cut off.
     */
    private static final double SUSPECTED_WEIGHT = 0.5;

    private final Set<String> suspected = new TreeSet<>();

    private static final class Heard {
        Claim claim;

        /** When it was made, by our clock and what those who passed it on say of its age. */
        double statedAt;

        /** Our own attempts said the same since it came. */
        boolean agreed;
    }

    private static final class Seen {
        final long born;
        int run;
        int slow;

        /** When each attempt that is out was sent, and how many of them are overdue. */
        final List<Double> out = new ArrayList<>();

        int overdue;

        /**
         * The latest answers, those before it a little apart: the very latest may be too new to
         * contradict anyone.
         */
        final double[] answers = {
            Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY
        };

        Claim.Kind kind = Claim.Kind.SILENT;
        double since;
        double lastBad;
        double usualMs;
        double deviationMs;
        boolean doubted;
        final Map<String, Heard> heard = new TreeMap<>();

        Seen(long born) {
            this.born = born;
        }

        double answeredAt() {
            return answers[0];
        }

        void answered(double now) {
            if (answers[0] - answers[1] >= MARGIN_MS) {
                answers[2] = answers[1];
                answers[1] = answers[0];
            }
            answers[0] = now;
            run = 0;
        }

        boolean answeredBetween(double from, double to) {
            return java.util.Arrays.stream(answers)
                    .anyMatch(at -> at > from + MARGIN_MS && at < to - MARGIN_MS);
        }

        int unanswered() {
            return Math.min(MOST_ATTEMPTS, run + overdue);
        }

        void countOverdue(double now) {
            double patience =
                    usualMs == 0
                            ? OVERDUE_UNKNOWN_MS
                            : Math.max(
                                    OVERDUE_LEAST_MS,
                                    Math.max(
                                            OVERDUE_TIMES * usualMs,
                                            usualMs + OVERDUE_DEVIATIONS * deviationMs));
            overdue = 0;
            for (double sentAt : out) {
                overdue += sentAt >= answeredAt() && now - sentAt > patience ? 1 : 0;
            }
            if (overdue > 0 && run == 0) {
                kind = Claim.Kind.SILENT;
                since = now;
                lastBad = now;
            }
        }

        /**
         * One that was sent at this time has ended; the clock may have changed its pace, so the
         * nearest is taken.
         */
        void over(double sentAt) {
            int nearest = -1;
            for (int i = 0; i < out.size(); i++) {
                nearest =
                        nearest < 0
                                        || Math.abs(out.get(i) - sentAt)
                                                < Math.abs(out.get(nearest) - sentAt)
                                ? i
                                : nearest;
            }
            if (nearest >= 0) {
                out.remove(nearest);
            }
        }
    }

    private static final class Trust {
        double weight = 1;
        double at;
        boolean distrusted;
    }

    private final Map<String, Seen> nodes = new TreeMap<>();
    private final Map<String, Trust> trusts = new HashMap<>();

    /** Nodes of which anything is held against: all others need no look. */
    private final Set<String> accused = new TreeSet<>();

    /** Nodes with attempts out. */
    private final Set<String> waiting = new TreeSet<>();

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
    Set<String> listed(Collection<Node> list) {
        Map<String, Seen> next = new TreeMap<>();
        Set<String> fresh = new TreeSet<>();
        for (Node n : list) {
            long born = (long) n.startedAtMs();
            Seen known = nodes.get(n.id());
            if (known == null || known.born != born) {
                fresh.add(n.id());
                known = new Seen(born);
            }
            next.put(n.id(), known);
        }
        nodes.clear();
        nodes.putAll(next);
        waiting.removeIf(id -> !nodes.containsKey(id) || nodes.get(id).out.isEmpty());
        accused.removeIf(
                id ->
                        !nodes.containsKey(id)
                                || nodes.get(id).unanswered() == 0
                                        && nodes.get(id).heard.isEmpty()
                                        && !nodes.get(id).doubted);
        return fresh;
    }

    /** An own attempt goes out. */
    void sent(double now, String node) {
        Seen s = nodes.get(node);
        if (s != null) {
            s.out.add(now);
            waiting.add(node);
        }
    }

    /** An own attempt has ended. */
    void ended(double now, String node, Outcome outcome, double elapsedMs) {
        Seen s = nodes.get(node);
        if (s != null && outcome != Outcome.NEVER_SENT) {
            s.over(now - elapsedMs);
            judge(now, node, s, outcome, elapsedMs);
        }
    }

    private void judge(double now, String node, Seen s, Outcome outcome, double elapsedMs) {
        switch (outcome) {
            case OK, MISS -> answered(now, node, s, elapsedMs);
            case TIMEOUT -> bad(now, node, s, Claim.Kind.SILENT);
            // One that is full says so: it lives, and how much it is sent is the module's own
            // affair.
            case CONNECT_FAILED, RESET -> bad(now, node, s, Claim.Kind.REFUSING);
            case ERROR -> bad(now, node, s, Claim.Kind.ERRING);
            default -> {}
        }
    }

    private void answered(double now, String node, Seen s, double elapsedMs) {
        boolean slow =
                s.usualMs > 0
                        && elapsedMs > SLOW_TIMES * s.usualMs
                        && elapsedMs > s.usualMs + SLOW_DEVIATIONS * s.deviationMs;
        s.answered(now);
        s.slow = slow ? s.slow + 1 : 0;
        if (s.slow >= SLOW_RUN) {
            bad(now, node, s, Claim.Kind.SLOW);
        } else {
            double weight = s.usualMs == 0 ? 1 : SMOOTH;
            s.deviationMs += weight * (Math.abs(elapsedMs - s.usualMs) - s.deviationMs);
            s.usualMs += weight * (elapsedMs - s.usualMs);
        }
    }

    private void bad(double now, String node, Seen s, Claim.Kind kind) {
        s.since = s.run == 0 ? now : s.since;
        s.run = Math.min(MOST_ATTEMPTS, s.run + 1);
        s.kind = kind;
        s.lastBad = now;
        accused.add(node);
        s.heard.forEach(
                (observer, h) -> {
                    if (!h.agreed) {
                        h.agreed = true;
                        Trust t = trust(now, observer);
                        t.weight = Math.min(1, t.weight + AGREED);
                    }
                });
    }

    /** An own probe has ended; one that is answered outweighs all that was said before it. */
    void probed(double now, String node, Outcome outcome) {
        Seen s = nodes.get(node);
        if (s != null && (outcome == Outcome.OK || outcome == Outcome.MISS)) {
            s.answered(now);
        } else if (s != null) {
            judge(now, node, s, outcome, 0);
        }
    }

    private void disagree(double now, String observer, List<String> distrusted) {
        Trust t = trust(now, observer);
        t.weight *= DISAGREED;
        if (t.weight < DISTRUSTED && !t.distrusted) {
            t.distrusted = true;
            distrusted.add(observer);
        }
    }

    private Trust trust(double now, String observer) {
        Trust t = trusts.computeIfAbsent(observer, o -> new Trust());
        t.weight = Math.min(1, t.weight + Math.max(0, now - t.at) / 1000 * REGAINED_PER_S);
        t.at = now;
        t.distrusted &= t.weight < 1;
        return t;
    }

    /** How far a peer is believed now, 0 to 1. */
    double weight(double now, String observer) {
        return trust(now, observer).weight;
    }

    /**
     * What an observer holds against nodes; it replaces all that it said before. Names observers
     * that lost much of their weight.
     */
    void stated(
            double now,
            String observer,
            List<Claim> claims,
            double ageMs,
            List<String> distrusted) {
        double statedAt = now - ageMs;
        withdraw(now, statedAt, observer, claims.stream().map(Claim::node).toList(), distrusted);
        for (Claim c : claims) {
            Seen s = nodes.get(c.node());
            if (s == null || s.born != c.born() || ageMs >= FADE_MS) {
                continue;
            }
            // The node answered us while it is said to have answered nothing: one of us is wrong,
            // and it is not we.
            if (s.answeredBetween(statedAt - c.sinceMs(), statedAt)
                    && c.attempts() > 1
                    && c.kind() != Claim.Kind.SLOW) {
                disagree(now, observer, distrusted);
            }
            hear(observer, c, statedAt);
        }
    }

    /**
     * Takes in a claim alone; one about another life of the node, or a node that is not listed,
     * says nothing.
     */
    void hear(String observer, Claim claim, double statedAt) {
        Seen s = nodes.get(claim.node());
        if (s != null && s.born == claim.born()) {
            Heard h = s.heard.computeIfAbsent(observer, o -> new Heard());
            h.claim = claim;
            h.statedAt = statedAt;
            accused.add(claim.node());
        }
    }

    /** One that accuses and withdraws in turns is contradicted by answers in between. */
    private void withdraw(
            double now,
            double statedAt,
            String observer,
            List<String> but,
            List<String> distrusted) {
        for (String node : accused) {
            Seen s = nodes.get(node);
            Heard h = s == null || but.contains(node) ? null : s.heard.remove(observer);
            if (h != null && h.claim.attempts() > 1 && s.answeredBetween(h.statedAt, statedAt)) {
                disagree(now, observer, distrusted);
            }
        }
    }

    /** A member is suspected, or no longer. */
    void suspected(String observer, boolean is) {
        if (is) {
            suspected.add(observer);
        } else {
            suspected.remove(observer);
        }
    }

    /** It is gone: what it said goes with it. */
    void gone(String observer) {
        accused.forEach(node -> nodes.get(node).heard.remove(observer));
    }

    /** Ages everything; returns the doubts that began or ended. */
    List<Change> age(double now, int proxies) {
        List<Change> changes = new ArrayList<>();
        for (String node : List.copyOf(waiting)) {
            Seen s = nodes.get(node);
            s.countOverdue(now);
            if (s.overdue > 0) {
                accused.add(node);
            } else if (s.out.isEmpty()) {
                waiting.remove(node);
            }
        }
        for (String node : List.copyOf(accused)) {
            Seen s = nodes.get(node);
            s.heard.values().removeIf(h -> now >= h.statedAt + FADE_MS);
            s.run = s.run > 0 && now - s.lastBad > KEEP_MS ? 0 : s.run;
            boolean doubted = doubted(now, s, proxies);
            if (doubted != s.doubted) {
                s.doubted = doubted;
                changes.add(new Change(node, doubted, account(s)));
            }
            if (s.unanswered() == 0 && s.heard.isEmpty() && !s.doubted) {
                accused.remove(node);
            }
        }
        return changes;
    }

    private boolean doubted(double now, Seen s, int proxies) {
        double weight = s.unanswered() > 0 ? 1 : 0;
        int attempts = s.unanswered();
        boolean heard = false;
        for (Map.Entry<String, Heard> e : s.heard.entrySet()) {
            // What was said before it last answered us is overtaken.
            if (e.getValue().statedAt >= s.answeredAt()) {
                weight +=
                        weight(now, e.getKey())
                                * (suspected.contains(e.getKey()) ? SUSPECTED_WEIGHT : 1);
                attempts += e.getValue().claim.attempts();
                heard = true;
            }
        }
        // A doubt that stands ends a little later than it began, or it would flicker at the bound.
        double enough = s.doubted ? quorum(proxies) - 1 : quorum(proxies);
        return heard && weight >= enough && attempts >= ATTEMPTS;
    }

    private static String account(Seen s) {
        StringBuilder by =
                new StringBuilder(
                        s.unanswered() > 0 ? "self:" + s.kind + "*" + s.unanswered() : "");
        s.heard.forEach(
                (observer, h) ->
                        by.append(by.isEmpty() ? "" : " ")
                                .append(observer)
                                .append(':')
                                .append(h.claim.kind())
                                .append('*')
                                .append(h.claim.attempts()));
        return by.toString().toLowerCase(java.util.Locale.ROOT);
    }

    /**
     * What this proxy has to say now, or null if that is no news: its own claims alone, the worst
     * first. A node that a quorum accuses already needs no further voice; in a large fleet this is
     * what bounds the traffic.
     */
    List<Claim> toTell(double now, int proxies) {
        List<Claim> claims = new ArrayList<>();
        for (String node : accused) {
            Seen s = nodes.get(node);
            boolean known = published.stream().anyMatch(c -> c.node().equals(node));
            boolean needed = known || s.heard.size() < quorum(proxies);
            if (s.unanswered() >= (s.kind == Claim.Kind.ERRING ? ATTEMPTS : 1) && needed) {
                claims.add(
                        new Claim(
                                node,
                                s.born,
                                s.kind,
                                s.unanswered(),
                                (int) Math.min(Integer.MAX_VALUE, now - s.since)));
            }
        }
        claims.sort(Comparator.comparingInt((Claim c) -> -c.attempts()).thenComparing(Claim::node));
        List<Claim> worst =
                claims.size() > Statement.MOST_CLAIMS
                        ? List.copyOf(claims.subList(0, Statement.MOST_CLAIMS))
                        : claims;
        boolean changed =
                !worst.stream()
                        .map(Claim::node)
                        .toList()
                        .equals(published.stream().map(Claim::node).toList());
        boolean due = !worst.isEmpty() && now - publishedAt >= RENEW_MS;
        if (!changed && !due) {
            return null;
        }
        published = worst;
        publishedAt = now;
        return worst;
    }
}
