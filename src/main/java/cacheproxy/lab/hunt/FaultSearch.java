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
 * Fault search: runs random scenarios until it is stopped. A scenario fails if the driver throws an
 * exception, if a rule is broken, if the proxy had to answer requests that its decision module did
 * not, if the decision module leaks entries or timers, or if under light load the service is unfair
 * or does not recover within some seconds after the last fault. Scenario {@code n} of a seed does
 * not depend on the results of the scenarios before it.
 */
public final class FaultSearch {

    /** A failed scenario after reduction: its failure, and the experiment file that runs it. */
    public record Finding(int number, String failure, Scenario scenario, String toml) {}

    /** Time after the last fault in which the control level has to return to 0. */
    private static final double LEVEL_RECOVERY_S = 10;

    /** Offered load, as a fraction of capacity, below which the service has to recover. */
    private static final double LIGHT_LOAD = 0.6;

    private static final double STARVED_SHARE = 0.2;
    private static final int MAX_REDUCTION_STEPS = 60;

    /**
     * Maximum of timers of an idle decision module: its control interval and a few for the endpoint
     * list.
     */
    private static final double MAX_IDLE_TIMERS = 4;

    /** Minimum of requests of a class for its served share to be significant. */
    private static final double MIN_CLASS_REQUESTS = 20;

    /**
     * Maximum ratio of the busiest node's utilization to the mean, in scenarios without faults that
     * cause an uneven load.
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

    /** Creates a search with another driver, so that tests can check that it finds failures. */
    FaultSearch(long seed, Function<Experiment, Results> driver) {
        this.seed = seed;
        this.driver = driver;
    }

    /** Returns the scenario of a number. */
    Scenario scenario(int number) {
        RandomGenerator random =
                new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), number});
        return Scenario.generate(random);
    }

    /**
     * Runs scenarios one after the other while {@code proceed} returns true, and returns one
     * reduced scenario per kind of failure.
     *
     * @param progress called with the number and the failure of each scenario; "" if it passed
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
                smallest.toml(name, "Found by seed " + seed + ", scenario " + number + "."));
    }

    /** Returns the name of the rule or invariant of a failure, without the proof. */
    private static String failureKind(String failure) {
        return failure.isEmpty() ? "" : failure.split(" ")[0];
    }

    /**
     * Runs a scenario and returns its failure, which begins with the name of the rule or invariant;
     * empty if it passes.
     */
    String failureOf(Scenario scenario) {
        Experiment experiment;
        try {
            experiment = ExperimentFile.parse(Toml.parse("day", scenario.toml("day", "drawn")));
        } catch (BadFileException e) {
            throw new IllegalStateException("generated an invalid experiment file", e);
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
        // A proxy that was paused answers requests that its decision module could not answer in
        // time.
        double backstops = results.figures().getOrDefault("proxy.backstops", 0.0);
        if (backstops > 0
                && scenario.faults().stream().noneMatch(f -> f.kind() == Kind.PROXY_STOP)) {
            return "forgotten: "
                    + Results.formatNumber(backstops)
                    + " requests that the proxy had to answer instead of its decision module";
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
                        + " of the priority weight is served from "
                        + LEVEL_RECOVERY_S
                        + " s after the last fault";
            }
        }
        return "";
    }

    /** Returns a failure if entries or timers remain after all requests have ended. */
    private static String leftOver(Map<String, Double> figures) {
        double entries = figures.getOrDefault("proxy.entries_left", 0.0);
        double timers = figures.getOrDefault("proxy.timers_left", 0.0);
        return entries > 0
                ? "leak of "
                        + Results.formatNumber(entries)
                        + " entries of a decision module after all requests have ended"
                : timers > MAX_IDLE_TIMERS
                        ? "timers: "
                                + Results.formatNumber(timers)
                                + " are pending after all requests have ended"
                        : "";
    }

    /** Returns a failure if a class or a key is starved, or a node gets far more than its share. */
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
                    + " keys were requested repeatedly and never served";
        }
        boolean even =
                scenario.nodes() >= 4
                        && scenario.faults().stream()
                                .noneMatch(figure -> UNEVEN_LOAD_KINDS.contains(figure.kind()));
        double busiest = figures.getOrDefault("routing.busiest_use_over_mean", 0.0);
        return even && busiest > MAX_BUSIEST_OVER_MEAN
                ? "favourite: the busiest node has "
                        + Results.formatNumber(busiest)
                        + " times the mean utilization"
                : "";
    }
}
