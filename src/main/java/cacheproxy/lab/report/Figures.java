package cacheproxy.lab.report;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Verdict;
import cacheproxy.lab.ledger.Rules;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.ledger.SlowStartLoad;
import cacheproxy.lab.load.RequestRecord;
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
 * Computes the figures of a run from its ledger and request records. The operator's page on the
 * testbed describes each figure.
 */
public final class Figures {

    private static final double US_PER_MS = 1000;
    private static final double MS_PER_S = 1000;
    private static final int WORST_WINDOW_S = 10;
    private static final int HISTOGRAM_DIGITS = 3;

    /** A key that was requested at least this often and never served counts as starved. */
    private static final int STARVED_KEY_MIN_REQUESTS = 10;

    /**
     * Service counts as recovered when the served share of priority weight reaches this fraction of
     * its value before the first fault for {@link #RECOVERED_S} seconds.
     */
    private static final double RECOVERED_FRACTION = 0.95;

    private static final int RECOVERED_S = 2;

    private final Experiment experiment;
    private final Installation installation;
    private final List<RequestRecord> records;
    private final Ledger ledger;
    private final Map<String, Integer> zoneByMachine;
    private final Map<String, Double> figures = new TreeMap<>();

    private Figures(
            Experiment experiment,
            Installation installation,
            List<RequestRecord> records,
            Ledger ledger) {
        this.experiment = experiment;
        this.installation = installation;
        this.records = records;
        this.ledger = ledger;
        this.zoneByMachine = installation == null ? Map.of() : installation.zoneByMachine();
    }

    /** Returns the figures that both drivers have. */
    public static Map<String, Double> of(
            Experiment experiment,
            Installation installation,
            List<RequestRecord> records,
            Ledger ledger,
            List<Violation> violations,
            List<Window> timeline) {
        Figures counted = new Figures(experiment, installation, records, ledger);
        counted.weight();
        counted.latency();
        counted.attempts();
        counted.slowStarts();
        counted.timeline(timeline);
        for (Rules.Rule rule : Rules.Rule.values()) {
            counted.put(
                    "violations." + rule.name().toLowerCase(Locale.ROOT),
                    violations.stream().filter(v -> v.rule() == rule).count());
        }
        counted.put("violations.all", violations.size());
        return counted.figures;
    }

    private void put(String name, double value) {
        figures.put(name, value);
    }

    private static double ratio(double part, double whole) {
        return whole == 0 ? 0 : part / whole;
    }

    private double weight(RequestRecord record) {
        return experiment.load().classes().get(record.request().classIndex()).worth()
                * record.request().workMs();
    }

    /**
     * Returns the priority weight that a request counts as served: all of it within the latency
     * objective, none after it.
     */
    private double servedWeight(RequestRecord record) {
        return record.served()
                        && record.latencyMs()
                                <= experiment
                                        .load()
                                        .classes()
                                        .get(record.request().classIndex())
                                        .aimMs()
                ? weight(record)
                : 0;
    }

    private void weight() {
        double offeredWeight = records.stream().mapToDouble(this::weight).sum();
        put(
                "served.worth",
                ratio(records.stream().mapToDouble(this::servedWeight).sum(), offeredWeight));
        put(
                "served.share",
                ratio(records.stream().filter(RequestRecord::served).count(), records.size()));
        put(
                "served.late_or_not_share",
                ratio(
                        records.stream()
                                .filter(record -> !record.served() || servedWeight(record) == 0)
                                .count(),
                        records.size()));
        put(
                "served.late_share",
                ratio(
                        records.stream()
                                .filter(record -> record.served() && servedWeight(record) == 0)
                                .count(),
                        records.size()));
        put(
                "refused.share",
                ratio(records.stream().filter(RequestRecord::refused).count(), records.size()));
        put(
                "failed.share",
                ratio(
                        records.stream()
                                .filter(record -> !record.served() && !record.refused())
                                .count(),
                        records.size()));
        put(
                "failed.turned_away_share",
                ratio(
                        ledger.tries().stream()
                                .filter(
                                        t ->
                                                t.firstOnConnection
                                                        && t.replies.isEmpty()
                                                        && t.attempts.isEmpty()
                                                        && t.connectionLostAt < t.gaveUpAt)
                                .count(),
                        records.size()));
        Map<Long, int[]> countsByKey = new HashMap<>();
        records.forEach(
                record -> {
                    int[] counts =
                            countsByKey.computeIfAbsent(record.request().key(), k -> new int[2]);
                    counts[0]++;
                    counts[1] += record.served() ? 1 : 0;
                });
        put(
                "served.starved_keys",
                countsByKey.values().stream()
                        .filter(c -> c[0] >= STARVED_KEY_MIN_REQUESTS && c[1] == 0)
                        .count());
        put("load.requests", records.size());
        put("load.rate", records.size() / experiment.durationS());
        double capacity =
                installation.nodes().stream()
                                .mapToDouble(n -> n.machine().cores() * n.machine().speed())
                                .sum()
                        * MS_PER_S;
        put(
                "load.over_capacity",
                records.stream().mapToDouble(record -> record.request().workMs()).sum()
                        / experiment.durationS()
                        / capacity);
        put("load.worth_per_s", offeredWeight / experiment.durationS());
        put(
                "load.tries_per_request",
                ratio(records.stream().mapToInt(RequestRecord::tries).sum(), records.size()));
        for (int i = 0; i < experiment.load().classes().size(); i++) {
            int classIndex = i;
            String name = "class." + experiment.load().classes().get(i).name();
            List<RequestRecord> classRecords =
                    records.stream()
                            .filter(record -> record.request().classIndex() == classIndex)
                            .toList();
            put(
                    name + ".worth",
                    ratio(
                            classRecords.stream().mapToDouble(this::servedWeight).sum(),
                            classRecords.stream().mapToDouble(this::weight).sum()));
            put(
                    name + ".refused_share",
                    ratio(
                            classRecords.stream().filter(RequestRecord::refused).count(),
                            classRecords.size()));
            put(name + ".requests", classRecords.size());
        }
    }

    private void latency() {
        Histogram latency = new Histogram(HISTOGRAM_DIGITS);
        records.stream()
                .filter(RequestRecord::served)
                .forEach(s -> latency.recordValue((long) Math.max(0, s.latencyMs() * US_PER_MS)));
        Histogram sendDelay = new Histogram(HISTOGRAM_DIGITS);
        records.forEach(
                s -> sendDelay.recordValue((long) Math.max(0, s.sendDelayMs() * US_PER_MS)));
        double[] points = {50, 90, 99, 99.9};
        String[] names = {"p50_ms", "p90_ms", "p99_ms", "p999_ms"};
        for (int i = 0; i < points.length; i++) {
            put("latency." + names[i], latency.getValueAtPercentile(points[i]) / US_PER_MS);
            put(
                    "generator.late_" + names[i],
                    sendDelay.getValueAtPercentile(points[i]) / US_PER_MS);
        }
        put("latency.max_ms", latency.getMaxValue() / US_PER_MS);
        put("generator.late_max_ms", sendDelay.getMaxValue() / US_PER_MS);
    }

    private void attempts() {
        List<Attempt> all = ledger.attempts();
        List<Attempt> lookUps = all.stream().filter(a -> !a.origin).toList();
        List<Attempt> fetches = all.stream().filter(a -> a.origin).toList();
        put("attempts.per_request", ratio(all.size(), records.size()));
        put(
                "attempts.crossing_share",
                ratio(all.stream().filter(this::crossesZones).count(), records.size()));
        put(
                "cache.hit_share",
                ratio(
                        lookUps.stream().filter(a -> a.verdict == Verdict.RAN).count(),
                        lookUps.stream()
                                .filter(
                                        a ->
                                                a.verdict == Verdict.RAN
                                                        || a.verdict == Verdict.MISSED)
                                .count()));
        put("origin.fetches_per_s", fetches.size() / experiment.durationS());
        double capacity =
                installation.origin().machine().cores()
                        * installation.origin().machine().speed()
                        * MS_PER_S;
        put(
                "origin.load",
                ratio(
                        fetches.stream().mapToDouble(a -> a.workMs).sum() / experiment.durationS(),
                        capacity));
        Map<Integer, Double> workBySecond = new HashMap<>();
        fetches.forEach(
                a -> workBySecond.merge((int) (a.lastByteAt / MS_PER_S), a.workMs, Double::sum));
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
                workBySecond.values().stream().mapToDouble(w -> w).max().orElse(0) / capacity);
        Map<String, Double> countByNode = new HashMap<>();
        installation.allNodes().forEach(n -> countByNode.put(n.id(), 0.0));
        lookUps.forEach(a -> countByNode.merge(a.machine, 1.0, Double::sum));
        put("routing.busiest_over_mean", maxOverMean(countByNode));
        // Relative to each node's capacity, as larger nodes rightly get more requests.
        Map<String, Double> useByNode = new HashMap<>();
        Map<String, Double> capacityByNode = new HashMap<>();
        installation.allNodes().forEach(n -> useByNode.put(n.id(), 0.0));
        installation
                .allNodes()
                .forEach(
                        n -> capacityByNode.put(n.id(), n.machine().cores() * n.machine().speed()));
        lookUps.forEach(
                a ->
                        useByNode.merge(
                                a.machine, a.workMs / capacityByNode.get(a.machine), Double::sum));
        put("routing.busiest_use_over_mean", maxOverMean(useByNode));
        double abandonedWorkMs =
                all.stream()
                        .filter(a -> a.executed && a.closedAt < Double.POSITIVE_INFINITY)
                        .mapToDouble(a -> a.workMs)
                        .sum();
        put(
                "attempts.abandoned_work_share",
                ratio(abandonedWorkMs, all.stream().mapToDouble(a -> a.workMs).sum()));
    }

    private void slowStarts() {
        List<SlowStartLoad.LoadWindow> windows = SlowStartLoad.windows(ledger);
        putMaxAndP99("calls", windows.stream().mapToDouble(SlowStartLoad.LoadWindow::callRatio));
        putMaxAndP99("work", windows.stream().mapToDouble(SlowStartLoad.LoadWindow::workRatio));
        put(
                "cold.starts",
                windows.stream().map(w -> w.machine() + " " + w.startedAt()).distinct().count());
        put(
                "cold.over_allowed",
                windows.stream()
                        .filter(w -> w.workRatio() > 1)
                        .map(w -> w.machine() + " " + w.startedAt())
                        .distinct()
                        .count());
    }

    private void putMaxAndP99(String unit, DoubleStream ratios) {
        double[] sorted = ratios.sorted().toArray();
        put(
                "cold." + unit + "_over_allowed_max",
                sorted.length == 0 ? 0 : sorted[sorted.length - 1]);
        put(
                "cold." + unit + "_over_allowed_p99",
                sorted.length == 0 ? 0 : sorted[(int) Math.ceil(0.99 * sorted.length) - 1]);
    }

    private static double maxOverMean(Map<String, Double> valueByNode) {
        double mean = valueByNode.values().stream().mapToDouble(w -> w).average().orElse(0);
        return ratio(valueByNode.values().stream().mapToDouble(w -> w).max().orElse(0), mean);
    }

    private boolean crossesZones(Attempt attempt) {
        return installation.proxyZones().get(attempt.proxy) != zoneByMachine.get(attempt.machine);
    }

    private void timeline(List<Window> windows) {
        put("control.level_max", windows.stream().mapToInt(Window::level).max().orElse(0));
        put("control.throttled_s", windows.stream().filter(w -> w.level() > 0).count());
        double worst = 1;
        int span = Math.min(WORST_WINDOW_S, windows.size());
        for (int i = 0; i + span <= windows.size(); i++) {
            List<Window> part = windows.subList(i, i + span);
            worst =
                    Math.min(
                            worst,
                            ratio(
                                    part.stream().mapToDouble(Window::worthServed).sum(),
                                    part.stream().mapToDouble(Window::worthAsked).sum()));
        }
        put("served.worst_10s_worth", worst);
        put("recovery.s", recovery(windows));
    }

    /**
     * Returns the seconds from the end of the last fault until service recovered; the rest of the
     * run if it did not recover, 0 without a fault.
     */
    private double recovery(List<Window> windows) {
        double firstFaultS =
                experiment.faults().stream().mapToDouble(f -> f.atS()).min().orElse(Double.NaN);
        double lastFaultEndS =
                experiment.faults().stream()
                        .mapToDouble(f -> f.atS() + f.forS())
                        .max()
                        .orElse(Double.NaN);
        List<Window> before =
                windows.stream().filter(w -> w.s() + 1 <= firstFaultS && w.s() >= 1).toList();
        if (Double.isNaN(firstFaultS) || before.isEmpty()) {
            return 0;
        }
        double usualShare =
                ratio(
                        before.stream().mapToDouble(Window::worthServed).sum(),
                        before.stream().mapToDouble(Window::worthAsked).sum());
        int recoveredWindows = 0;
        for (Window w : windows) {
            if (w.s() < lastFaultEndS) {
                continue;
            }
            recoveredWindows =
                    ratio(w.worthServed(), w.worthAsked()) >= RECOVERED_FRACTION * usualShare
                            ? recoveredWindows + 1
                            : 0;
            if (recoveredWindows == RECOVERED_S) {
                return Math.max(0, w.s() + 1 - RECOVERED_S - lastFaultEndS);
            }
        }
        return Math.max(0, experiment.durationS() - lastFaultEndS);
    }

    /**
     * Returns one window per second, by the planned time of the requests.
     *
     * @param levels the highest control level observed in each second
     */
    public static List<Window> windows(
            Experiment experiment, List<RequestRecord> records, int[] levels) {
        Figures weights = new Figures(experiment, null, records, null);
        List<List<RequestRecord>> bySecond = new ArrayList<>();
        for (int s = 0; s < Math.ceil(experiment.durationS()); s++) {
            bySecond.add(new ArrayList<>());
        }
        records.forEach(
                s ->
                        bySecond.get(
                                        Math.min(
                                                bySecond.size() - 1,
                                                (int) (s.request().atMs() / MS_PER_S)))
                                .add(s));
        List<Window> windows = new ArrayList<>();
        for (int s = 0; s < bySecond.size(); s++) {
            List<RequestRecord> secondRecords = bySecond.get(s);
            Histogram latency = new Histogram(HISTOGRAM_DIGITS);
            secondRecords.stream()
                    .filter(RequestRecord::served)
                    .forEach(
                            x ->
                                    latency.recordValue(
                                            (long) Math.max(0, x.latencyMs() * US_PER_MS)));
            int served = (int) secondRecords.stream().filter(RequestRecord::served).count();
            int refused = (int) secondRecords.stream().filter(RequestRecord::refused).count();
            windows.add(
                    new Window(
                            s,
                            secondRecords.size(),
                            served,
                            refused,
                            secondRecords.size() - served - refused,
                            secondRecords.stream().mapToDouble(weights::weight).sum(),
                            secondRecords.stream().mapToDouble(weights::servedWeight).sum(),
                            latency.getValueAtPercentile(50) / US_PER_MS,
                            latency.getValueAtPercentile(99) / US_PER_MS,
                            s < levels.length ? levels[s] : 0,
                            secondRecords.stream()
                                    .mapToDouble(RequestRecord::sendDelayMs)
                                    .max()
                                    .orElse(0)));
        }
        return windows;
    }
}
