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
public final class Hunt {

    /** A bad day at its smallest: what is wrong with it, and the file that plays it. */
    public record Found(int number, String wrong, Day day, String toml) {}

    /** How long after the last fault the level may stay up. */
    private static final double LEVEL_BACK_S = 10;

    /** Offered load, as a share of capacity, below which everything has to come back by itself. */
    private static final double LIGHT = 0.6;

    private static final double STARVED = 0.2;
    private static final int MOST_STEPS = 60;

    /**
     * Timers that a router may hold with nothing to do: its step and a few that look after lists.
     */
    private static final double TIMERS = 4;

    /** Requests of a class from which on its share tells something. */
    private static final double MANY = 20;

    /**
     * The busiest node's work over the mean, by capacity, on a day without faults that empty or
     * shut nodes.
     */
    private static final double FAVOURITE = 2;

    private static final Set<Kind> UNEVEN =
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
    private final Function<Experiment, Results> play;

    public Hunt(long seed) {
        this(seed, e -> new VirtualRun(e).play());
    }

    /**
     * {@code play} stands in for the driver, so that a search can be shown to find what is there.
     */
    Hunt(long seed, Function<Experiment, Results> play) {
        this.seed = seed;
        this.play = play;
    }

    /** The day of a number. */
    Day day(int number) {
        RandomGenerator random =
                new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), number});
        return Day.draw(random);
    }

    /**
     * Plays days in turn while {@code more} holds; {@code looked} hears of each day's number and
     * what was wrong with it, or "".
     */
    public List<Found> search(
            BooleanSupplier more, java.util.function.BiConsumer<Integer, String> looked) {
        List<Found> found = new ArrayList<>();
        for (int number = 1; more.getAsBoolean(); number++) {
            Day day = day(number);
            String wrong = wrong(day);
            looked.accept(number, wrong);
            String kind = kind(wrong);
            if (!kind.isEmpty() && found.stream().noneMatch(f -> kind(f.wrong()).equals(kind))) {
                found.add(smallest(number, day, wrong));
            }
        }
        return found;
    }

    private Found smallest(int number, Day day, String wrong) {
        Day best = day;
        String why = wrong;
        int steps = 0;
        for (boolean smaller = true; smaller && steps < MOST_STEPS; ) {
            smaller = false;
            for (Day next : best.smaller()) {
                String found = wrong(next);
                steps++;
                if (kind(found).equals(kind(wrong))) {
                    best = next;
                    why = found;
                    smaller = true;
                    break;
                }
            }
        }
        String name = kind(wrong) + "-" + seed + "-" + number;
        return new Found(
                number,
                why,
                best,
                best.toml(name, "Found by seed " + seed + ", day " + number + "."));
    }

    /** The rule or invariant, without what proves it. */
    private static String kind(String wrong) {
        return wrong.isEmpty() ? "" : wrong.split(" ")[0];
    }

    /**
     * What is wrong with a day, beginning with the rule's or invariant's name; empty if nothing is.
     */
    String wrong(Day day) {
        Experiment experiment;
        try {
            experiment = ExperimentFile.of(Toml.parse("day", day.toml("day", "drawn")));
        } catch (BadFileException e) {
            throw new IllegalStateException("a drawn day is a good file", e);
        }
        Results results;
        try {
            results = play.apply(experiment);
        } catch (RuntimeException e) {
            return "threw " + e;
        }
        if (!results.violations().isEmpty()) {
            return results.violations().get(0);
        }
        // A proxy that was stopped answers late what its router had no chance to.
        double forgotten = results.figures().getOrDefault("proxy.backstops", 0.0);
        if (forgotten > 0 && day.faults().stream().noneMatch(f -> f.what() == Kind.PROXY_STOP)) {
            return "forgotten: "
                    + Results.plain(forgotten)
                    + " requests that the proxy had to answer in its router's place";
        }
        String grown = grown(results.figures());
        if (!grown.isEmpty()) {
            return grown;
        }
        double last = day.faults().stream().mapToDouble(f -> f.atS() + f.forS()).max().orElse(0);
        boolean light = results.figures().get("load.over_capacity") < LIGHT;
        if (light) {
            String unfair = unfair(day, results.figures());
            if (!unfair.isEmpty()) {
                return unfair;
            }
        }
        if (light && day.durationS() > last + LEVEL_BACK_S + 1) {
            List<Results.Window> calm =
                    results.timeline().stream().filter(w -> w.s() > last + LEVEL_BACK_S).toList();
            if (calm.isEmpty()) {
                return "";
            }
            Results.Window end = calm.get(calm.size() - 1);
            if (calm.stream().allMatch(w -> w.level() > 0)) {
                return "level-stays at "
                        + end.level()
                        + " from "
                        + LEVEL_BACK_S
                        + " s after the last fault to the end";
            }
            double asked = calm.stream().mapToDouble(Results.Window::worthAsked).sum();
            double served = calm.stream().mapToDouble(Results.Window::worthServed).sum();
            if (served < STARVED * asked) {
                return "starved: "
                        + Results.plain(served / asked)
                        + " of the worth is served from "
                        + LEVEL_BACK_S
                        + " s after the last fault";
            }
        }
        return "";
    }

    /** What is still kept when every request is over. */
    private static String grown(Map<String, Double> figures) {
        double entries = figures.getOrDefault("proxy.entries_left", 0.0);
        double timers = figures.getOrDefault("proxy.timers_left", 0.0);
        return entries > 0
                ? "leak of "
                        + Results.plain(entries)
                        + " entries that a router keeps when all requests are over"
                : timers > TIMERS
                        ? "timers: "
                                + Results.plain(timers)
                                + " are still to come when all requests are over"
                        : "";
    }

    /** A class, a key or a node that the others live at the cost of. */
    private static String unfair(Day day, Map<String, Double> figures) {
        for (Map.Entry<String, Double> f : figures.entrySet()) {
            if (f.getKey().matches("class\\..*\\.worth")
                    && f.getValue() < STARVED
                    && figures.get(f.getKey().replace(".worth", ".requests")) >= MANY) {
                return "class-starved " + f.getKey() + " is " + Results.plain(f.getValue());
            }
        }
        double keys = figures.getOrDefault("served.starved_keys", 0.0);
        if (keys > 0) {
            return "keys-starved: "
                    + Results.plain(keys)
                    + " keys were asked for again and again and never served";
        }
        boolean even =
                day.nodes() >= 4 && day.faults().stream().noneMatch(f -> UNEVEN.contains(f.what()));
        double busiest = figures.getOrDefault("routing.busiest_use_over_mean", 0.0);
        return even && busiest > FAVOURITE
                ? "favourite: the busiest node has " + Results.plain(busiest) + " times the mean"
                : "";
    }
}
