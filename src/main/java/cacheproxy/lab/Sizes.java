package cacheproxy.lab;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.capacity.Slope;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The sizes that an experiment is played at to find slopes, and the figures that are fitted over
 * them; in its file {@code [sizes]} and {@code [[measure]]}, which a single run leaves aside.
 *
 * @param driver what plays it
 * @param against what grows, in the words of {@code cacheproxy.lab.capacity.Target}
 * @param steps the sizes in their order
 * @param measures what is fitted
 */
public record Sizes(Driver driver, String against, List<Step> steps, List<Measure> measures) {

    /** One size, and the experiment's keys that make it. */
    public record Step(double size, Map<String, String> set) {}

    /**
     * A slope to find: {@code figure} and {@code unit} name it, {@code of} is the run's figure,
     * taken a second and a proxy where that is said.
     */
    public record Measure(
            Slope.Role role,
            String figure,
            String of,
            String unit,
            boolean perS,
            boolean perProxy) {

        /** The measured value of one run. */
        public double value(Map<String, Double> figures, Experiment run) {
            return figures.getOrDefault(of, Double.NaN)
                    / (perS ? run.durationS() : 1)
                    / (perProxy ? run.proxies().count() : 1);
        }
    }

    /** What plays it: real proxies, virtual time, or the module alone. */
    public enum Driver {
        SOCKETS,
        VIRTUAL,
        MODULE
    }

    private static final double MOST = 1e12;

    /** Two points lie on a line whatever is measured. */
    private static final int LEAST = 3;

    private static final String WORD = "[a-z0-9-]{1,60}";

    /** Reads both parts; without them there are no steps. */
    public static Sizes read(Toml.Table root) throws BadFileException {
        Toml.Table t = root.table("sizes");
        Driver driver = t.choice("driver", Driver.SOCKETS, Driver.class);
        double factor = t.number("factor", 1, 0, MOST);
        String against = t.text("against", "");
        List<Step> steps = steps(t, t.texts("over", List.of()), factor);
        List<Measure> measures = new ArrayList<>();
        for (Toml.Table m : root.tables("measure")) {
            measures.add(
                    new Measure(
                            m.choice("role", null, Slope.Role.class),
                            word(m, "figure"),
                            m.text("of", ""),
                            m.text("unit", ""),
                            m.flag("per_s", false),
                            m.flag("per_proxy", false)));
            m.done();
        }
        t.done();
        if (steps.isEmpty() != measures.isEmpty() || steps.isEmpty() != against.isEmpty()) {
            throw t.bad(
                    "over",
                    steps.size()
                            + " sizes against \""
                            + against
                            + "\" and "
                            + measures.size()
                            + " [[measure]]",
                    "all of them or none");
        }
        return new Sizes(driver, against, steps, List.copyOf(measures));
    }

    private static List<Step> steps(Toml.Table t, List<String> over, double factor)
            throws BadFileException {
        List<Step> steps = new ArrayList<>();
        for (String line : over) {
            String[] sides = line.split("=", 2);
            String[] values =
                    sides.length < 2 ? new String[0] : sides[1].strip().split("\\s*,\\s*");
            if (!sides[0].strip().matches("[a-z_.]+")
                    || values.length < LEAST
                    || !steps.isEmpty() && values.length != steps.size()
                    || !Arrays.stream(values).allMatch(v -> v.matches("\\d{1,9}(\\.\\d{1,9})?"))) {
                throw t.bad(
                        "over",
                        '"' + line + '"',
                        "KEY = V, V, V, ..., three values at least and as many in each line");
            }
            for (int i = 0; i < values.length; i++) {
                if (steps.size() <= i) {
                    steps.add(
                            new Step(
                                    Double.parseDouble(values[i]) * factor, new LinkedHashMap<>()));
                }
                steps.get(i).set().put(sides[0].strip(), values[i]);
            }
        }
        return List.copyOf(steps);
    }

    private static String word(Toml.Table t, String key) throws BadFileException {
        String word = t.text(key, "");
        if (!word.matches(WORD)) {
            throw t.bad(key, '"' + word + '"', "1 to 60 of a to z, 0 to 9 and -");
        }
        return word;
    }
}
