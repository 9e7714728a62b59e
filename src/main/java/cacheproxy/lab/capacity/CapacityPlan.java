package cacheproxy.lab.capacity;

import java.math.BigDecimal;
import java.math.MathContext;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Computes the cost of each row at the target size from the slopes, and formats the tables of the
 * capacity page in Markdown. A cost that follows neither from a slope nor from arithmetic on the
 * target stays empty and is never guessed.
 */
public final class CapacityPlan {

    /** How the value of a row was obtained. The names are printed on the page. */
    public enum State {
        MEASURED,
        EXTRAPOLATED,
        ARITHMETIC,
        PARTLY_MEASURED,
        NO_LINE,
        NOT_MEASURED,
        MISSING
    }

    /**
     * A row evaluated at the target.
     *
     * @param value in the row's unit; NaN if there is none
     * @param fittedSlopes the slopes that the value was computed from
     * @param budget in the row's unit; NaN if the target has none
     */
    public record PlanEntry(
            PlanRow row, double value, List<Slope> fittedSlopes, double budget, State state) {

        /** Budget divided by value; below 1 the row is over budget. NaN without either. */
        public double budgetFactor() {
            return budget / value;
        }
    }

    private static final MathContext PRECISION = new MathContext(4);
    private static final int MIN_GROUPED_NUMBER = 10_000;
    private static final double MIN_DECIMAL_NUMBER = 1e-4;

    /** Means that differ by less than this fraction of the largest count as constant. */
    private static final double MAX_FLAT_SPREAD = 0.1;

    private final Target target;
    private final List<Slope> slopes;
    private final List<PlanEntry> entries = new ArrayList<>();

    /** Evaluates the rows; each slope that no row refers to gets a row of its own after them. */
    public CapacityPlan(Target target, List<PlanRow> rows, List<Slope> slopes) {
        this.target = target;
        this.slopes = List.copyOf(slopes);
        Set<Slope> named = new HashSet<>();
        for (PlanRow row : rows) {
            entries.add(evaluate(row));
            row.slopes().forEach(name -> findSlope(name).ifPresent(named::add));
        }
        for (Slope slope : slopes) {
            if (!named.contains(slope)) {
                entries.add(
                        evaluate(
                                new PlanRow(
                                        slope.role(),
                                        slope.figure(),
                                        slope.unit(),
                                        List.of(experimentName(slope) + "/" + slope.figure()),
                                        "",
                                        "",
                                        "",
                                        "not named",
                                        "")));
            }
        }
    }

    public List<PlanEntry> entries() {
        return List.copyOf(entries);
    }

    /**
     * Finds a slope by its figure or, if several experiments measure that figure, by {@code
     * EXPERIMENT/FIGURE}, as {@code gossip-rest/bytes-s}.
     */
    private Optional<Slope> findSlope(String name) {
        return slopes.stream()
                .filter(
                        s ->
                                name.equals(s.figure())
                                        || name.equals(experimentName(s) + "/" + s.figure()))
                .findFirst();
    }

    private static String experimentName(Slope slope) {
        return slope.experiment().replaceAll(".*/|\\.toml$", "");
    }

    private PlanEntry evaluate(PlanRow row) {
        double budget = target.budgets().getOrDefault(row.budget(), Double.NaN);
        if (!row.quantity().isEmpty()) {
            double value = target.quantities().get(row.quantity());
            return new PlanEntry(
                    row,
                    value,
                    List.of(),
                    budget,
                    row.carriedBy().isEmpty() ? State.MISSING : State.ARITHMETIC);
        }
        List<Slope> fittedSlopes =
                row.slopes().stream()
                        .flatMap(name -> findSlope(name).stream())
                        .filter(s -> sizeFor(row, s) != null)
                        .toList();
        if (row.carriedBy().isEmpty()) {
            return new PlanEntry(row, Double.NaN, List.of(), budget, State.MISSING);
        }
        if (fittedSlopes.isEmpty()) {
            return new PlanEntry(row, Double.NaN, List.of(), budget, State.NOT_MEASURED);
        }
        double value = fittedSlopes.stream().mapToDouble(s -> estimate(s, sizeFor(row, s))).sum();
        State state =
                Double.isNaN(value)
                        ? State.NO_LINE
                        : fittedSlopes.size() < row.slopes().size()
                                ? State.PARTLY_MEASURED
                                : fittedSlopes.stream()
                                                .allMatch(
                                                        s ->
                                                                s.largestMeasuredSize()
                                                                        >= sizeFor(row, s))
                                        ? State.MEASURED
                                        : State.EXTRAPOLATED;
        return new PlanEntry(row, value, fittedSlopes, budget, state);
    }

    private Double sizeFor(PlanRow row, Slope slope) {
        return target.quantities().get(row.at().isEmpty() ? slope.against() : row.at());
    }

    /**
     * Whether the means are practically the same at all sizes. Their noise must not be extrapolated
     * as a slope far beyond the measured sizes.
     */
    private static boolean isFlat(Slope slope) {
        double max = slope.means().stream().mapToDouble(m -> m).max().orElse(0);
        double min = slope.means().stream().mapToDouble(m -> m).min().orElse(0);
        return min > 0 && max - min < MAX_FLAT_SPREAD * max;
    }

    /**
     * Estimates the value at a size: the mean if the slope is flat, the fitted line if it is
     * linear, else a linear interpolation between the measured sizes, and NaN outside of them.
     */
    private static double estimate(Slope slope, double size) {
        if (isFlat(slope)) {
            return meanOfMeans(slope);
        }
        if (slope.isLinear()) {
            return slope.valueAt(size);
        }
        for (int i = 1; i < slope.sizes().size(); i++) {
            double lowerSize = slope.sizes().get(i - 1);
            double upperSize = slope.sizes().get(i);
            if (size >= lowerSize && size <= upperSize) {
                return slope.means().get(i - 1)
                        + (slope.means().get(i) - slope.means().get(i - 1))
                                * (size - lowerSize)
                                / (upperSize - lowerSize);
            }
        }
        return Double.NaN;
    }

    private static double meanOfMeans(Slope slope) {
        return slope.means().stream().mapToDouble(m -> m).average().orElse(Double.NaN);
    }

    private static String describeFit(Slope slope) {
        return isFlat(slope)
                ? formatNumber(meanOfMeans(slope)) + " at every size measured"
                : slope.isLinear()
                        ? formatNumber(slope.fixed())
                                + (slope.perUnit() < 0 ? " - " : " + ")
                                + formatNumber(Math.abs(slope.perUnit()))
                                + " × "
                                + slope.against()
                        : "no straight line against " + slope.against();
    }

    /**
     * The rows that no part of the program handles, followed by the rows over budget, those
     * furthest over budget first.
     */
    public List<PlanEntry> missingThenOverBudget() {
        List<PlanEntry> first =
                new ArrayList<>(entries.stream().filter(e -> e.state() == State.MISSING).toList());
        entries.stream()
                .filter(e -> e.state() != State.MISSING && e.budgetFactor() < 1)
                .sorted(Comparator.comparingDouble(PlanEntry::budgetFactor))
                .forEach(first::add);
        return first;
    }

    /** The generated part of {@code docs/CAPACITY.md}. */
    public String markdown() {
        StringBuilder page =
                new StringBuilder(
                        "| role | what | at the target | fixed + slope | measured up to | experiment | budget | factor left | carried by | state |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        entries.forEach(entry -> page.append(tableRow(entry)));
        page.append(
                "\n**First missing.** Carried by nothing, then over budget by the largest factor:\n\n");
        int rank = 1;
        for (PlanEntry entry : missingThenOverBudget()) {
            page.append(rank++)
                    .append(". ")
                    .append(roleName(entry.row().role()))
                    .append(", ")
                    .append(entry.row().what())
                    .append(": ")
                    .append(
                            entry.state() == State.MISSING
                                    ? "nothing carries it"
                                    : formatNumber(entry.value())
                                            + " "
                                            + entry.row().unit()
                                            + ", budget "
                                            + formatNumber(entry.budget())
                                            + ", "
                                            + formatNumber(entry.value() / entry.budget())
                                            + " times too much")
                    .append('\n');
        }
        if (rank == 1) {
            page.append("nothing.\n");
        }
        page.append(
                "\n**Slopes.** Means over the runs and their standard deviation, in the figure's unit:\n\n"
                        + "| figure | against | size: mean ± spread | runs | r2 | beside |\n| --- | --- | --- | --- | --- | --- |\n");
        slopes.forEach(s -> page.append(tableRow(s)));
        return page.toString();
    }

    private String tableRow(PlanEntry entry) {
        PlanRow row = entry.row();
        String fits =
                entry.fittedSlopes().stream()
                        .map(CapacityPlan::describeFit)
                        .collect(Collectors.joining("; "));
        String measuredUpTo =
                entry.fittedSlopes().stream()
                        .map(
                                slope ->
                                        formatNumber(slope.largestMeasuredSize())
                                                + " "
                                                + slope.against())
                        .distinct()
                        .collect(Collectors.joining("; "));
        String files =
                entry.fittedSlopes().stream()
                        .map(slope -> slope.experiment().replaceAll(".*/", ""))
                        .distinct()
                        .collect(Collectors.joining(", "));
        return "| "
                + String.join(
                        " | ",
                        roleName(row.role()),
                        row.what() + (row.note().isEmpty() ? "" : " (" + row.note() + ")"),
                        Double.isNaN(entry.value())
                                ? "-"
                                : (entry.state() == State.PARTLY_MEASURED ? "at least " : "")
                                        + formatNumber(entry.value())
                                        + " "
                                        + row.unit(),
                        orDash(fits),
                        orDash(measuredUpTo),
                        orDash(files),
                        Double.isNaN(entry.budget()) ? "none named" : formatNumber(entry.budget()),
                        Double.isNaN(entry.budgetFactor())
                                ? "-"
                                : formatNumber(entry.budgetFactor()),
                        row.carriedBy().isEmpty()
                                ? "nothing"
                                : "`" + row.carriedBy().replace(", ", "`, `") + "`",
                        describeState(entry))
                + " |\n";
    }

    private String tableRow(Slope slope) {
        List<String> points = new ArrayList<>();
        for (int i = 0; i < slope.sizes().size(); i++) {
            points.add(
                    formatNumber(slope.sizes().get(i))
                            + ": "
                            + formatNumber(slope.means().get(i))
                            + " ± "
                            + formatNumber(slope.spreads().get(i)));
        }
        return "| "
                + String.join(
                        " | ",
                        slope.figure(),
                        slope.against(),
                        String.join("; ", points),
                        String.valueOf(slope.runs()),
                        String.format(Locale.ROOT, "%.3f", slope.r2())
                                + (isFlat(slope)
                                        ? ", flat"
                                        : slope.isLinear() ? "" : ", not straight"),
                        slope.beside())
                + " |\n";
    }

    private String describeState(PlanEntry entry) {
        String stateName = entry.state().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        double extrapolationFactor =
                entry.fittedSlopes().stream()
                        .mapToDouble(s -> sizeFor(entry.row(), s) / s.largestMeasuredSize())
                        .max()
                        .orElse(0);
        return entry.state() == State.EXTRAPOLATED
                ? stateName + " to " + formatNumber(extrapolationFactor) + " times the size"
                : stateName;
    }

    private static String roleName(Slope.Role role) {
        return role.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String orDash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** Formats with four significant digits, and large numbers with digit grouping. */
    static String formatNumber(double number) {
        BigDecimal rounded = new BigDecimal(number).round(PRECISION);
        if (rounded.signum() == 0) {
            return "0";
        }
        if (Math.abs(number) < MIN_DECIMAL_NUMBER) {
            return String.format(Locale.ROOT, "%.3e", number);
        }
        return Math.abs(number) >= MIN_GROUPED_NUMBER
                ? String.format(Locale.ROOT, "%,d", rounded.longValue())
                : rounded.stripTrailingZeros().toPlainString();
    }
}
