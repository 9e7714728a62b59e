package cacheproxy.lab.report;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.ColdStarts;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Verdict;
import cacheproxy.lab.ledger.Rules;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.Story;
import cacheproxy.lab.report.Results.Window;
import cacheproxy.lab.world.Installation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import org.HdrHistogram.Histogram;

/**
 * Counts a run's figures from its ledger and stories. The operator's page on the laboratory says
 * what each one means.
 */
public final class Figures {

    private static final double US_PER_MS = 1000;
    private static final double MS_PER_S = 1000;
    private static final int WORST_S = 10;
    private static final int DIGITS = 3;

    /** A key that was asked for so often and never served is starved. */
    private static final int OFTEN = 10;

    /**
     * Service counts as back when this part of what was usual before is served again for {@link
     * #BACK_S} seconds.
     */
    private static final double BACK = 0.95;

    private static final int BACK_S = 2;

    private final Experiment experiment;
    private final Installation plan;
    private final List<Story> stories;
    private final Ledger ledger;
    private final Map<String, Integer> zones;
    private final Map<String, Double> figures = new TreeMap<>();

    private Figures(Experiment experiment, Installation plan, List<Story> stories, Ledger ledger) {
        this.experiment = experiment;
        this.plan = plan;
        this.stories = stories;
        this.ledger = ledger;
        this.zones = plan == null ? Map.of() : plan.machineZones();
    }

    /** Every figure that both drivers have. */
    public static Map<String, Double> of(
            Experiment experiment,
            Installation plan,
            List<Story> stories,
            Ledger ledger,
            List<Violation> violations,
            List<Window> timeline) {
        Figures f = new Figures(experiment, plan, stories, ledger);
        f.worth();
        f.latency();
        f.attempts();
        f.cold();
        f.timeline(timeline);
        for (Rules.Rule rule : Rules.Rule.values()) {
            f.put(
                    "violations." + rule.name().toLowerCase(Locale.ROOT),
                    violations.stream().filter(v -> v.rule() == rule).count());
        }
        f.put("violations.all", violations.size());
        return f.figures;
    }

    private void put(String name, double value) {
        figures.put(name, value);
    }

    private static double share(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }

    private double worth(Story s) {
        return experiment.load().classes().get(s.first().type()).worth() * s.first().workMs();
    }

    /** Worth counts in full within the aim and for nothing after it. */
    private double earned(Story s) {
        return s.served()
                        && s.latencyMs()
                                <= experiment.load().classes().get(s.first().type()).aimMs()
                ? worth(s)
                : 0;
    }

    private void worth() {
        double asked = stories.stream().mapToDouble(this::worth).sum();
        put("served.worth", share(stories.stream().mapToDouble(this::earned).sum(), asked));
        put("served.share", share(stories.stream().filter(Story::served).count(), stories.size()));
        put(
                "served.late_or_not_share",
                share(
                        stories.stream().filter(s -> !s.served() || earned(s) == 0).count(),
                        stories.size()));
        put(
                "served.late_share",
                share(
                        stories.stream().filter(s -> s.served() && earned(s) == 0).count(),
                        stories.size()));
        put(
                "refused.share",
                share(stories.stream().filter(Story::refused).count(), stories.size()));
        put(
                "failed.share",
                share(
                        stories.stream().filter(s -> !s.served() && !s.refused()).count(),
                        stories.size()));
        put(
                "failed.turned_away_share",
                share(
                        ledger.tries().stream()
                                .filter(
                                        t ->
                                                t.fresh
                                                        && t.replies.isEmpty()
                                                        && t.attempts.isEmpty()
                                                        && t.lostAt < t.gaveUpAt)
                                .count(),
                        stories.size()));
        Map<Long, int[]> keys = new HashMap<>();
        stories.forEach(
                s -> {
                    int[] counts = keys.computeIfAbsent(s.first().key(), k -> new int[2]);
                    counts[0]++;
                    counts[1] += s.served() ? 1 : 0;
                });
        put(
                "served.starved_keys",
                keys.values().stream().filter(c -> c[0] >= OFTEN && c[1] == 0).count());
        put("load.requests", stories.size());
        put("load.rate", stories.size() / experiment.durationS());
        double capacity =
                plan.nodes().stream()
                                .mapToDouble(n -> n.machine().cores() * n.machine().speed())
                                .sum()
                        * MS_PER_S;
        put(
                "load.over_capacity",
                stories.stream().mapToDouble(s -> s.first().workMs()).sum()
                        / experiment.durationS()
                        / capacity);
        put("load.worth_per_s", asked / experiment.durationS());
        put(
                "load.tries_per_request",
                share(stories.stream().mapToInt(Story::tries).sum(), stories.size()));
        for (int i = 0; i < experiment.load().classes().size(); i++) {
            int type = i;
            String name = "class." + experiment.load().classes().get(i).name();
            List<Story> mine = stories.stream().filter(s -> s.first().type() == type).toList();
            put(
                    name + ".worth",
                    share(
                            mine.stream().mapToDouble(this::earned).sum(),
                            mine.stream().mapToDouble(this::worth).sum()));
            put(
                    name + ".refused_share",
                    share(mine.stream().filter(Story::refused).count(), mine.size()));
            put(name + ".requests", mine.size());
        }
    }

    private void latency() {
        Histogram latency = new Histogram(DIGITS);
        stories.stream()
                .filter(Story::served)
                .forEach(s -> latency.recordValue((long) Math.max(0, s.latencyMs() * US_PER_MS)));
        Histogram late = new Histogram(DIGITS);
        stories.forEach(s -> late.recordValue((long) Math.max(0, s.lateMs() * US_PER_MS)));
        double[] points = {50, 90, 99, 99.9};
        String[] names = {"p50_ms", "p90_ms", "p99_ms", "p999_ms"};
        for (int i = 0; i < points.length; i++) {
            put("latency." + names[i], latency.getValueAtPercentile(points[i]) / US_PER_MS);
            put("generator.late_" + names[i], late.getValueAtPercentile(points[i]) / US_PER_MS);
        }
        put("latency.max_ms", latency.getMaxValue() / US_PER_MS);
        put("generator.late_max_ms", late.getMaxValue() / US_PER_MS);
    }

    private void attempts() {
        List<Attempt> all = ledger.attempts();
        List<Attempt> lookUps = all.stream().filter(a -> !a.origin).toList();
        List<Attempt> fetches = all.stream().filter(a -> a.origin).toList();
        put("attempts.per_request", share(all.size(), stories.size()));
        put(
                "attempts.crossing_share",
                share(all.stream().filter(this::crosses).count(), stories.size()));
        put(
                "cache.hit_share",
                share(
                        lookUps.stream().filter(a -> a.verdict == Verdict.RAN).count(),
                        lookUps.stream()
                                .filter(
                                        a ->
                                                a.verdict == Verdict.RAN
                                                        || a.verdict == Verdict.MISSED)
                                .count()));
        put("origin.fetches_per_s", fetches.size() / experiment.durationS());
        double capacity =
                plan.origin().machine().cores() * plan.origin().machine().speed() * MS_PER_S;
        put(
                "origin.load",
                share(
                        fetches.stream().mapToDouble(a -> a.workMs).sum() / experiment.durationS(),
                        capacity));
        Map<Integer, Double> bySecond = new HashMap<>();
        fetches.forEach(
                a -> bySecond.merge((int) (a.lastByteAt / MS_PER_S), a.workMs, Double::sum));
        put(
                "origin.fetches_peak_per_s",
                fetches.stream()
                        .collect(
                                Collectors.groupingBy(
                                        a -> (int) (a.lastByteAt / MS_PER_S),
                                        Collectors.counting()))
                        .values()
                        .stream()
                        .mapToDouble(n -> n)
                        .max()
                        .orElse(0));
        put(
                "origin.load_peak",
                bySecond.values().stream().mapToDouble(w -> w).max().orElse(0) / capacity);
        Map<String, Double> byNode = new HashMap<>();
        plan.machines().forEach(n -> byNode.put(n.id(), 0.0));
        lookUps.forEach(a -> byNode.merge(a.machine, 1.0, Double::sum));
        put("routing.busiest_over_mean", busiest(byNode));
        // Of a node's own capacity: machines differ, and a count would blame the large ones.
        Map<String, Double> use = new HashMap<>();
        Map<String, Double> sizes = new HashMap<>();
        plan.machines().forEach(n -> use.put(n.id(), 0.0));
        plan.machines().forEach(n -> sizes.put(n.id(), n.machine().cores() * n.machine().speed()));
        lookUps.forEach(a -> use.merge(a.machine, a.workMs / sizes.get(a.machine), Double::sum));
        put("routing.busiest_use_over_mean", busiest(use));
        double wasted =
                all.stream()
                        .filter(a -> a.ran && a.closedAt < Double.POSITIVE_INFINITY)
                        .mapToDouble(a -> a.workMs)
                        .sum();
        put(
                "attempts.abandoned_work_share",
                share(wasted, all.stream().mapToDouble(a -> a.workMs).sum()));
    }

    private void cold() {
        List<ColdStarts.Window> windows = ColdStarts.windows(ledger);
        over("calls", windows.stream().mapToDouble(ColdStarts.Window::calls));
        over("work", windows.stream().mapToDouble(ColdStarts.Window::work));
        put(
                "cold.starts",
                windows.stream().map(w -> w.machine() + " " + w.startedAt()).distinct().count());
        put(
                "cold.over_allowed",
                windows.stream()
                        .filter(w -> w.work() > 1)
                        .map(w -> w.machine() + " " + w.startedAt())
                        .distinct()
                        .count());
    }

    private void over(String what, DoubleStream parts) {
        double[] sorted = parts.sorted().toArray();
        put(
                "cold." + what + "_over_allowed_max",
                sorted.length == 0 ? 0 : sorted[sorted.length - 1]);
        put(
                "cold." + what + "_over_allowed_p99",
                sorted.length == 0 ? 0 : sorted[(int) Math.ceil(0.99 * sorted.length) - 1]);
    }

    private static double busiest(Map<String, Double> byNode) {
        double mean = byNode.values().stream().mapToDouble(w -> w).average().orElse(0);
        return share(byNode.values().stream().mapToDouble(w -> w).max().orElse(0), mean);
    }

    private boolean crosses(Attempt a) {
        return plan.proxyZones().get(a.proxy) != zones.get(a.machine);
    }

    private void timeline(List<Window> windows) {
        put("control.level_max", windows.stream().mapToInt(Window::level).max().orElse(0));
        put("control.throttled_s", windows.stream().filter(w -> w.level() > 0).count());
        double worst = 1;
        int span = Math.min(WORST_S, windows.size());
        for (int i = 0; i + span <= windows.size(); i++) {
            List<Window> part = windows.subList(i, i + span);
            worst =
                    Math.min(
                            worst,
                            share(
                                    part.stream().mapToDouble(Window::worthServed).sum(),
                                    part.stream().mapToDouble(Window::worthAsked).sum()));
        }
        put("served.worst_10s_worth", worst);
        put("recovery.s", recovery(windows));
    }

    /**
     * Seconds from the end of the last fault until service was back; the rest of the run if it
     * never was, 0 without a fault.
     */
    private double recovery(List<Window> windows) {
        double first =
                experiment.faults().stream().mapToDouble(f -> f.atS()).min().orElse(Double.NaN);
        double last =
                experiment.faults().stream()
                        .mapToDouble(f -> f.atS() + f.forS())
                        .max()
                        .orElse(Double.NaN);
        List<Window> before =
                windows.stream().filter(w -> w.s() + 1 <= first && w.s() >= 1).toList();
        if (Double.isNaN(first) || before.isEmpty()) {
            return 0;
        }
        double usual =
                share(
                        before.stream().mapToDouble(Window::worthServed).sum(),
                        before.stream().mapToDouble(Window::worthAsked).sum());
        int good = 0;
        for (Window w : windows) {
            if (w.s() < last) {
                continue;
            }
            good = share(w.worthServed(), w.worthAsked()) >= BACK * usual ? good + 1 : 0;
            if (good == BACK_S) {
                return Math.max(0, w.s() + 1 - BACK_S - last);
            }
        }
        return Math.max(0, experiment.durationS() - last);
    }

    /**
     * A window a second, by when requests were meant to go out; {@code levels} is the highest level
     * seen in each.
     */
    public static List<Window> windows(Experiment experiment, List<Story> stories, int[] levels) {
        Figures f = new Figures(experiment, null, stories, null);
        List<List<Story>> bySecond = new ArrayList<>();
        for (int s = 0; s < Math.ceil(experiment.durationS()); s++) {
            bySecond.add(new ArrayList<>());
        }
        stories.forEach(
                s ->
                        bySecond.get(
                                        Math.min(
                                                bySecond.size() - 1,
                                                (int) (s.first().atMs() / MS_PER_S)))
                                .add(s));
        List<Window> windows = new ArrayList<>();
        for (int s = 0; s < bySecond.size(); s++) {
            List<Story> mine = bySecond.get(s);
            Histogram latency = new Histogram(DIGITS);
            mine.stream()
                    .filter(Story::served)
                    .forEach(
                            x ->
                                    latency.recordValue(
                                            (long) Math.max(0, x.latencyMs() * US_PER_MS)));
            int served = (int) mine.stream().filter(Story::served).count();
            int refused = (int) mine.stream().filter(Story::refused).count();
            windows.add(
                    new Window(
                            s,
                            mine.size(),
                            served,
                            refused,
                            mine.size() - served - refused,
                            mine.stream().mapToDouble(f::worth).sum(),
                            mine.stream().mapToDouble(f::earned).sum(),
                            latency.getValueAtPercentile(50) / US_PER_MS,
                            latency.getValueAtPercentile(99) / US_PER_MS,
                            s < levels.length ? levels[s] : 0,
                            mine.stream().mapToDouble(Story::lateMs).max().orElse(0)));
        }
        return windows;
    }
}
