package cacheproxy.lab.hunt;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.faults.Fault.Kind;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.virtual.VirtualRun;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Plays drawn days until it is told to stop. A day is bad if its ledger proves a broken rule, or if
 * with the load below capacity the control level is not back at 0 or a class still starves some
 * seconds after the last fault has ended. Day {@code n} of a seed is the same whatever came of the
 * days before it.
 */
public final class FaultSearch {

    /** A bad day at its smallest: what is wrong with it, and the file that plays it. */
    public record Finding(int number, String failure, Scenario scenario, String toml) {}

    /** How long after the last fault the level may stay up. */
    private static final double LEVEL_RECOVERY_S = 10;

    /** Offered load, as a share of capacity, below which everything has to come back by itself. */
    private static final double LIGHT_LOAD = 0.6;

    private static final double STARVED_SHARE = 0.2;
    private static final int MAX_REDUCTION_STEPS = 60;

    /**
     * Timers that a router may hold with nothing to do: its step and a few that look after lists.
     */
    private static final double MAX_IDLE_TIMERS = 4;

    /** Requests of a class from which on its share tells something. */
    private static final double MIN_CLASS_REQUESTS = 20;

    /**
     * The busiest node's work over the mean, by capacity, on a day without faults that empty or
     * shut nodes.
     */
    private static final double MAX_BUSIEST_OVER_MEAN = 2;

    private static final Set<Kind> UNEVEN_LOAD_KINDS =
            EnumSet.of(
                    Kind.HOT_KEY,
                    Kind.NODE_KILL,
                    Kind.NODE_RESTART,
                    Kind.NODE_DRAIN,
                    Kind.NODE_SILENT,
                    Kind.NODE_SLOW,
                    Kind.NODE_ERRORS,
                    Kind.ZONE_CUT);

    private final long seed;
    private final Function<Experiment, Results> driver;

    public FaultSearch(long seed) {
        this(seed, e -> new VirtualRun(e).run());
    }

    /**
     * {@code play} stands in for the driver, so that a search can be shown to find what is there.
     */
    FaultSearch(long seed, Function<Experiment, Results> driver) {
        this.seed = seed;
        this.driver = driver;
    }

    /** The day of a number. */
    Scenario scenario(int number) {
        RandomGenerator random =
                new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), number});
        return Scenario.generate(random);
    }

    /**
     * Plays days in turn while {@code more} holds; {@code looked} hears of each day's number and
     * what was wrong with it, or "".
     */
    public List<Finding> search(
            BooleanSupplier proceed, java.util.function.BiConsumer<Integer, String> progress) {
        List<Finding> findings = new ArrayList<>();
        for (int number = 1; proceed.getAsBoolean(); number++) {
            Scenario scenario = scenario(number);
            String failure = failureOf(scenario);
            progress.accept(number, failure);
            String kind = failureKind(failure);
            if (!kind.isEmpty()
                    && findings.stream().noneMatch(f -> failureKind(f.failure()).equals(kind))) {
                findings.add(reduce(number, scenario, failure));
            }
        }
        return findings;
    }

    private Finding reduce(int number, Scenario scenario, String originalFailure) {
        Scenario smallest = scenario;
        String failure = originalFailure;
        int steps = 0;
        for (boolean reduced = true; reduced && steps < MAX_REDUCTION_STEPS; ) {
            reduced = false;
            for (Scenario candidate : smallest.reductions()) {
                String candidateFailure = failureOf(candidate);
                steps++;
                if (failureKind(candidateFailure).equals(failureKind(originalFailure))) {
                    smallest = candidate;
                    failure = candidateFailure;
                    reduced = true;
                    break;
                }
            }
        }
        String name = failureKind(originalFailure) + "-" + seed + "-" + number;
        return new Finding(
                number,
                failure,
                smallest,
                smallest.toml(name, "Found by seed " + seed + ", day " + number + "."));
    }

    /** The rule or invariant, without what proves it. */
    private static String failureKind(String failure) {
        return failure.isEmpty() ? "" : failure.split(" ")[0];
    }

    /**
     * What is wrong with a day, beginning with the rule's or invariant's name; empty if nothing is.
     */
    String failureOf(Scenario scenario) {
        Experiment experiment;
        try {
            experiment = ExperimentFile.parse(Toml.parse("day", scenario.toml("day", "drawn")));
        } catch (BadFileException e) {
            throw new IllegalStateException("a drawn day is a good file", e);
        }
        Results results;
        try {
            results = driver.apply(experiment);
        } catch (RuntimeException e) {
            return "threw " + e;
        }
        if (!results.violations().isEmpty()) {
            return results.violations().get(0);
        }
        // A proxy that was stopped answers late what its router had no chance to.
        double backstops = results.figures().getOrDefault("proxy.backstops", 0.0);
        if (backstops > 0
                && scenario.faults().stream().noneMatch(f -> f.kind() == Kind.PROXY_STOP)) {
            return "forgotten: "
                    + Results.formatNumber(backstops)
                    + " requests that the proxy had to answer in its router's place";
        }
        String leftOver = leftOver(results.figures());
        if (!leftOver.isEmpty()) {
            return leftOver;
        }
        double lastFaultEndS =
                scenario.faults().stream().mapToDouble(f -> f.atS() + f.forS()).max().orElse(0);
        boolean lightLoad = results.figures().get("load.over_capacity") < LIGHT_LOAD;
        if (lightLoad) {
            String unfairness = unfairness(scenario, results.figures());
            if (!unfairness.isEmpty()) {
                return unfairness;
            }
        }
        if (lightLoad && scenario.durationS() > lastFaultEndS + LEVEL_RECOVERY_S + 1) {
            List<Results.Window> calm =
                    results.timeline().stream()
                            .filter(w -> w.s() > lastFaultEndS + LEVEL_RECOVERY_S)
                            .toList();
            if (calm.isEmpty()) {
                return "";
            }
            Results.Window end = calm.get(calm.size() - 1);
            if (calm.stream().allMatch(w -> w.level() > 0)) {
                return "level-stays at "
                        + end.level()
                        + " from "
                        + LEVEL_RECOVERY_S
                        + " s after the last fault to the end";
            }
            double asked = calm.stream().mapToDouble(Results.Window::worthAsked).sum();
            double served = calm.stream().mapToDouble(Results.Window::worthServed).sum();
            if (served < STARVED_SHARE * asked) {
                return "starved: "
                        + Results.formatNumber(served / asked)
                        + " of the worth is served from "
                        + LEVEL_RECOVERY_S
                        + " s after the last fault";
            }
        }
        return "";
    }

    /** What is still kept when every request is over. */
    private static String leftOver(Map<String, Double> figures) {
        double entries = figures.getOrDefault("proxy.entries_left", 0.0);
        double timers = figures.getOrDefault("proxy.timers_left", 0.0);
        return entries > 0
                ? "leak of "
                        + Results.formatNumber(entries)
                        + " entries that a router keeps when all requests are over"
                : timers > MAX_IDLE_TIMERS
                        ? "timers: "
                                + Results.formatNumber(timers)
                                + " are still to come when all requests are over"
                        : "";
    }

    /** A class, a key or a node that the others live at the cost of. */
    private static String unfairness(Scenario scenario, Map<String, Double> figures) {
        for (Map.Entry<String, Double> figure : figures.entrySet()) {
            if (figure.getKey().matches("class\\..*\\.worth")
                    && figure.getValue() < STARVED_SHARE
                    && figures.get(figure.getKey().replace(".worth", ".requests"))
                            >= MIN_CLASS_REQUESTS) {
                return "class-starved "
                        + figure.getKey()
                        + " is "
                        + Results.formatNumber(figure.getValue());
            }
        }
        double keys = figures.getOrDefault("served.starved_keys", 0.0);
        if (keys > 0) {
            return "keys-starved: "
                    + Results.formatNumber(keys)
                    + " keys were asked for again and again and never served";
        }
        boolean even =
                scenario.nodes() >= 4
                        && scenario.faults().stream()
                                .noneMatch(figure -> UNEVEN_LOAD_KINDS.contains(figure.kind()));
        double busiest = figures.getOrDefault("routing.busiest_use_over_mean", 0.0);
        return even && busiest > MAX_BUSIEST_OVER_MEAN
                ? "favourite: the busiest node has "
                        + Results.formatNumber(busiest)
                        + " times the mean"
                : "";
    }
}
