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
public record SizeSweep(Driver driver, String quantity, List<Step> steps, List<Measure> measures) {

    /** One size, and the experiment's keys that make it. */
    public record Step(double size, Map<String, String> overrides) {}

    /**
     * A slope to find: {@code figure} and {@code unit} name it, {@code of} is the run's figure,
     * taken a second and a proxy where that is said.
     */
    public record Measure(
            Slope.Role role,
            String figure,
            String sourceFigure,
            String unit,
            boolean perSecond,
            boolean perProxy) {

        /** The measured value of one run. */
        public double value(Map<String, Double> figures, Experiment experiment) {
            return figures.getOrDefault(sourceFigure, Double.NaN)
                    / (perSecond ? experiment.durationS() : 1)
                    / (perProxy ? experiment.proxies().count() : 1);
        }
    }

    /** What plays it: real proxies, virtual time, or the module alone. */
    public enum Driver {
        SOCKETS,
        VIRTUAL,
        MODULE
    }

    private static final double MAX_FACTOR = 1e12;

    /** Two points lie on a line whatever is measured. */
    private static final int MIN_STEPS = 3;

    private static final String NAME = "[a-z0-9-]{1,60}";

    /** Reads both parts; without them there are no steps. */
    public static SizeSweep read(Toml.Table root) throws BadFileException {
        Toml.Table table = root.table("sizes");
        Driver driver = table.enumValue("driver", Driver.SOCKETS, Driver.class);
        double factor = table.number("factor", 1, 0, MAX_FACTOR);
        String quantity = table.string("against", "");
        List<Step> steps = steps(table, table.strings("over", List.of()), factor);
        List<Measure> measures = new ArrayList<>();
        for (Toml.Table measureTable : root.tables("measure")) {
            measures.add(
                    new Measure(
                            measureTable.enumValue("role", null, Slope.Role.class),
                            name(measureTable, "figure"),
                            measureTable.string("of", ""),
                            measureTable.string("unit", ""),
                            measureTable.bool("per_s", false),
                            measureTable.bool("per_proxy", false)));
            measureTable.rejectUnknownKeys();
        }
        table.rejectUnknownKeys();
        if (steps.isEmpty() != measures.isEmpty() || steps.isEmpty() != quantity.isEmpty()) {
            throw table.invalidValue(
                    "over",
                    steps.size()
                            + " sizes against \""
                            + quantity
                            + "\" and "
                            + measures.size()
                            + " [[measure]]",
                    "all of them or none");
        }
        return new SizeSweep(driver, quantity, steps, List.copyOf(measures));
    }

    private static List<Step> steps(Toml.Table table, List<String> lines, double factor)
            throws BadFileException {
        List<Step> steps = new ArrayList<>();
        for (String line : lines) {
            String[] sides = line.split("=", 2);
            String[] values =
                    sides.length < 2 ? new String[0] : sides[1].strip().split("\\s*,\\s*");
            if (!sides[0].strip().matches("[a-z_.]+")
                    || values.length < MIN_STEPS
                    || !steps.isEmpty() && values.length != steps.size()
                    || !Arrays.stream(values).allMatch(v -> v.matches("\\d{1,9}(\\.\\d{1,9})?"))) {
                throw table.invalidValue(
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
                steps.get(i).overrides().put(sides[0].strip(), values[i]);
            }
        }
        return List.copyOf(steps);
    }

    private static String name(Toml.Table table, String key) throws BadFileException {
        String name = table.string(key, "");
        if (!name.matches(NAME)) {
            throw table.invalidValue(key, '"' + name + '"', "1 to 60 of a to z, 0 to 9 and -");
        }
        return name;
    }
}
