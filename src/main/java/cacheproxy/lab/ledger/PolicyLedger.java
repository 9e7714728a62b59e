package cacheproxy.lab.ledger;

import cacheproxy.epoch.Message;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.faults.PeerLinks;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * What proxies ran and when they counted themselves current, and what became of each proposal.
 * Times are milliseconds of the run on one clock; a proxy tells of the end of its being current
 * with the time at which that ended, also where it tells late. Drivers may tell from several
 * threads.
 */
public final class PolicyLedger {

    /** A proxy counted itself current at an epoch. */
    private static final class Span {
        final int proxy;
        final long epoch;
        final double from;
        double to = Double.POSITIVE_INFINITY;

        Span(int proxy, long epoch, double from) {
            this.proxy = proxy;
            this.epoch = epoch;
            this.from = from;
        }
    }

    private static final class Proposal {
        final double at;
        double answeredAt = Double.NaN;
        Message.Ending ending = Message.Ending.UNKNOWN;

        Proposal(double at) {
            this.at = at;
        }

        boolean refused() {
            return ending == Message.Ending.REFUSED || ending == Message.Ending.NO_MAJORITY;
        }
    }

    private final int proxies;
    private final List<Span> spans = new ArrayList<>();
    private final Span[] open;
    private final long[] running;
    private final boolean[] alive;
    private final double[] stoppedUntil;
    private final int voters;
    private final PeerLinks links;
    private final Map<Long, String> contents = new TreeMap<>();
    private final Map<String, Proposal> proposals = new TreeMap<>();
    private final Map<Long, Map<Integer, Double>> appliedAt = new TreeMap<>();
    private final double[] backAt;
    private final List<Double> back = new ArrayList<>();
    private final List<Violation> found = new ArrayList<>();
    private int fences;

    /** {@code links} are those between the proxies. */
    public PolicyLedger(Experiment experiment, PeerLinks links) {
        this.links = links;
        proxies = experiment.proxies().count();
        voters = experiment.policy().voters();
        stoppedUntil = new double[proxies];
        open = new Span[proxies];
        running = new long[proxies];
        alive = new boolean[proxies];
        backAt = new double[proxies];
        Arrays.fill(alive, true);
        Arrays.fill(backAt, Double.NaN);
    }

    public synchronized void ended(int proxy, double at) {
        alive[proxy] = false;
        close(proxy, at);
        backAt[proxy] = Double.NaN;
    }

    /** A new process; what it keeps on its disk it will tell of. */
    public synchronized void started(int proxy) {
        alive[proxy] = true;
    }

    /** A process stands still until then. */
    public synchronized void stopped(int proxy, double until) {
        stoppedUntil[proxy] = until;
    }

    /**
     * Something that may have kept a proxy from the others is over; if a majority of voters is
     * there for it, it should be current soon.
     */
    public synchronized void back(int proxy, double at) {
        long there =
                IntStream.range(0, voters)
                        .filter(
                                v ->
                                        alive[v]
                                                && at >= stoppedUntil[v]
                                                && !links.cut(v, proxy, at)
                                                && !links.cut(proxy, v, at))
                        .count();
        if (alive[proxy] && open[proxy] == null && 2 * there > voters) {
            backAt[proxy] = at;
        }
    }

    /** A proposal that is known by its content, which no other has. */
    public synchronized void proposed(String content, double at) {
        proposals.put(content, new Proposal(at));
    }

    /** How it ended. */
    public synchronized void answered(String content, Message.Ending ending, double at) {
        Proposal p = proposals.get(content);
        p.answeredAt = at;
        p.ending = ending;
    }

    /** A proxy runs an epoch from now on; {@code content} is null where it could not say it. */
    public synchronized void applied(int proxy, long epoch, String content, double at) {
        String known = content == null ? null : contents.putIfAbsent(epoch, content);
        if (known != null && !known.equals(content)) {
            broken(proxy, at, "runs other content as epoch " + epoch + " than another proxy");
        }
        if (epoch > 1 && !contents.containsKey(epoch - 1)) {
            broken(proxy, at, "runs epoch " + epoch + " and nobody ever ran " + (epoch - 1));
        }
        if (epoch < running[proxy] && appliedAt.getOrDefault(epoch, Map.of()).containsKey(proxy)) {
            broken(proxy, at, "went back from epoch " + running[proxy] + " to " + epoch);
        }
        close(proxy, at);
        running[proxy] = epoch;
        appliedAt.computeIfAbsent(epoch, e -> new HashMap<>()).putIfAbsent(proxy, at);
    }

    public synchronized void current(int proxy, long epoch, double at) {
        close(proxy, at);
        open[proxy] = new Span(proxy, epoch, at);
        spans.add(open[proxy]);
        if (!Double.isNaN(backAt[proxy])) {
            back.add(at - backAt[proxy]);
            backAt[proxy] = Double.NaN;
        }
    }

    public synchronized void notCurrent(int proxy, double at) {
        close(proxy, at);
    }

    public synchronized void fenced() {
        fences++;
    }

    private void close(int proxy, double at) {
        if (open[proxy] != null) {
            open[proxy].to = Math.min(open[proxy].to, at);
            open[proxy] = null;
        }
    }

    private void broken(int proxy, double at, String proof) {
        found.add(new Violation(Rule.POLICY, "proxy-" + proxy, at, proof));
    }

    /**
     * Every violation: two that counted themselves current at different epochs at one moment, and
     * refusals that took hold.
     */
    public synchronized List<Violation> violations() {
        List<Violation> all = new ArrayList<>(found);
        for (int i = 0; i < spans.size(); i++) {
            for (int j = i + 1; j < spans.size(); j++) {
                Span a = spans.get(i);
                Span b = spans.get(j);
                double from = Math.max(a.from, b.from);
                if (a.epoch != b.epoch && a.proxy != b.proxy && from < Math.min(a.to, b.to)) {
                    all.add(
                            new Violation(
                                    Rule.POLICY,
                                    "proxy-" + a.proxy,
                                    from,
                                    String.format(
                                            Locale.ROOT,
                                            "current at epoch %d until %.1f ms while proxy-%d is at %d from %.1f ms on",
                                            a.epoch,
                                            a.to,
                                            b.proxy,
                                            b.epoch,
                                            b.from)));
                }
            }
        }
        proposals.forEach(
                (content, p) -> {
                    if (p.refused() && contents.containsValue(content)) {
                        all.add(
                                new Violation(
                                        Rule.POLICY,
                                        "proposal",
                                        p.answeredAt,
                                        "was refused and took hold"));
                    }
                });
        return all;
    }

    /** What it came to by the end of the run. */
    public synchronized Map<String, Double> figures() {
        List<Double> took = new ArrayList<>();
        int refused = 0;
        int unknown = 0;
        for (Proposal p : proposals.values()) {
            refused += p.refused() ? 1 : 0;
            unknown += p.ending == Message.Ending.UNKNOWN ? 1 : 0;
        }
        proposals.forEach(
                (content, p) ->
                        contents.forEach(
                                (epoch, c) -> {
                                    Map<Integer, Double> at =
                                            appliedAt.getOrDefault(epoch, Map.of());
                                    if (c.equals(content) && at.size() == proxies) {
                                        took.add(
                                                at.values().stream()
                                                                .mapToDouble(d -> d)
                                                                .max()
                                                                .orElse(0)
                                                        - p.at);
                                    }
                                }));
        took.sort(null);
        long highest = contents.keySet().stream().mapToLong(e -> e).max().orElse(0);
        int behind = 0;
        int notCurrent = 0;
        for (int i = 0; i < proxies; i++) {
            behind += alive[i] && running[i] < highest ? 1 : 0;
            notCurrent += alive[i] && open[i] == null ? 1 : 0;
        }
        Map<String, Double> figures = new TreeMap<>();
        figures.put("policy.epochs", (double) highest);
        figures.put("policy.proposals", (double) proposals.size());
        figures.put("policy.refused", (double) refused);
        figures.put("policy.unknown", (double) unknown);
        figures.put(
                "policy.everywhere_ms_p50", took.isEmpty() ? 0 : took.get((took.size() - 1) / 2));
        figures.put("policy.everywhere_ms_max", took.isEmpty() ? 0 : took.get(took.size() - 1));
        figures.put("policy.back_ms_max", back.stream().mapToDouble(d -> d).max().orElse(0));
        figures.put("policy.behind_at_end", (double) behind);
        figures.put("policy.not_current_at_end", (double) notCurrent);
        figures.put("policy.fences", (double) fences);
        return figures;
    }
}
