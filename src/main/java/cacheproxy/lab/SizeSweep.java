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
 * The sizes at which an experiment is run to determine slopes, and the figures that are fitted
 * against the size. They are read from the {@code [sizes]} and {@code [[measure]]} tables, which a
 * single run ignores.
 *
 * @param driver what runs the experiment
 * @param quantity the quantity that grows, named as in {@code cacheproxy.lab.capacity.Target}
 * @param steps the sizes in order
 * @param measures the figures to fit
 */
public record SizeSweep(Driver driver, String quantity, List<Step> steps, List<Measure> measures) {

    /** One size, and the experiment keys to override for it. */
    public record Step(double size, Map<String, String> overrides) {}

    /**
     * A slope to determine. {@code figure} and {@code unit} name it; {@code sourceFigure} is the
     * figure of the run, divided by the duration in seconds if {@code perSecond} and by the number
     * of proxies if {@code perProxy}.
     */
    public record Measure(
            Slope.Role role,
            String figure,
            String sourceFigure,
            String unit,
            boolean perSecond,
            boolean perProxy) {

        /** Returns the measured value of one run; NaN if the run does not have the figure. */
        public double value(Map<String, Double> figures, Experiment experiment) {
            return figures.getOrDefault(sourceFigure, Double.NaN)
                    / (perSecond ? experiment.durationS() : 1)
                    / (perProxy ? experiment.proxies().count() : 1);
        }
    }

    /** What runs the experiment: real proxies, virtual time, or the decision module alone. */
    public enum Driver {
        SOCKETS,
        VIRTUAL,
        MODULE
    }

    private static final double MAX_FACTOR = 1e12;

    /** Minimum number of sizes: two points always lie on a line, whatever is measured. */
    private static final int MIN_STEPS = 3;

    private static final String NAME = "[a-z0-9-]{1,60}";

    /** Reads both tables; if they are missing, there are no steps. */
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
                        "KEY = V, V, V, ..., at least three values and the same number in each line");
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
