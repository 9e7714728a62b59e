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
 * Works out from slopes what each row costs at the target, and writes the page's tables in
 * Markdown. No figure is ever made up.
 */
public final class Plan {

    /** How a row's figure came about. */
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
     * A row at the target.
     *
     * @param value in the row's unit; NaN where there is none
     * @param from the slopes behind it
     * @param budget NaN where the target names none
     */
    public record Entry(Row row, double value, List<Slope> from, double budget, State state) {

        /** Budget over cost; below 1 it does not fit. NaN without either. */
        public double factorLeft() {
            return budget / value;
        }
    }

    private static final MathContext DIGITS = new MathContext(4);
    private static final int GROUPED = 10_000;
    private static final double SMALL = 1e-4;

    /** Means that differ by less than this part of the largest have no slope to speak of. */
    private static final double FLAT = 0.1;

    private final Target target;
    private final List<Slope> slopes;
    private final List<Entry> entries = new ArrayList<>();

    /** Slopes that no row names follow the rows, each a row of its own. */
    public Plan(Target target, List<Row> rows, List<Slope> slopes) {
        this.target = target;
        this.slopes = List.copyOf(slopes);
        Set<Slope> named = new HashSet<>();
        for (Row row : rows) {
            entries.add(entry(row));
            row.slopes().forEach(name -> find(name).ifPresent(named::add));
        }
        for (Slope s : slopes) {
            if (!named.contains(s)) {
                entries.add(
                        entry(
                                new Row(
                                        s.role(),
                                        s.figure(),
                                        s.unit(),
                                        List.of(stem(s) + "/" + s.figure()),
                                        "",
                                        "",
                                        "",
                                        "not named",
                                        "")));
            }
        }
    }

    public List<Entry> entries() {
        return List.copyOf(entries);
    }

    /**
     * By its figure, or by experiment and figure where several experiments measure one, as {@code
     * gossip-rest/bytes-s}.
     */
    private Optional<Slope> find(String name) {
        return slopes.stream()
                .filter(s -> name.equals(s.figure()) || name.equals(stem(s) + "/" + s.figure()))
                .findFirst();
    }

    private static String stem(Slope s) {
        return s.experiment().replaceAll(".*/|\\.toml$", "");
    }

    private Entry entry(Row row) {
        double budget = target.budgets().getOrDefault(row.budget(), Double.NaN);
        if (!row.quantity().isEmpty()) {
            double value = target.quantities().get(row.quantity());
            return new Entry(
                    row,
                    value,
                    List.of(),
                    budget,
                    row.carriedBy().isEmpty() ? State.MISSING : State.ARITHMETIC);
        }
        List<Slope> from =
                row.slopes().stream()
                        .flatMap(name -> find(name).stream())
                        .filter(s -> quantity(row, s) != null)
                        .toList();
        if (row.carriedBy().isEmpty()) {
            return new Entry(row, Double.NaN, List.of(), budget, State.MISSING);
        }
        if (from.isEmpty()) {
            return new Entry(row, Double.NaN, List.of(), budget, State.NOT_MEASURED);
        }
        double value = from.stream().mapToDouble(s -> at(s, quantity(row, s))).sum();
        State state =
                Double.isNaN(value)
                        ? State.NO_LINE
                        : from.size() < row.slopes().size()
                                ? State.PARTLY_MEASURED
                                : from.stream().allMatch(s -> s.measuredTo() >= quantity(row, s))
                                        ? State.MEASURED
                                        : State.EXTRAPOLATED;
        return new Entry(row, value, from, budget, state);
    }

    private Double quantity(Row row, Slope slope) {
        return target.quantities().get(row.at().isEmpty() ? slope.against() : row.at());
    }

    /**
     * Whether what was measured is the same at all sizes; noise read far beyond them as a slope
     * would be a made-up figure.
     */
    private static boolean flat(Slope s) {
        double most = s.means().stream().mapToDouble(m -> m).max().orElse(0);
        double least = s.means().stream().mapToDouble(m -> m).min().orElse(0);
        return least > 0 && most - least < FLAT * most;
    }

    /**
     * Along the line where there is one; where the means lie on none, between those measured and
     * nowhere else.
     */
    private static double at(Slope s, double size) {
        if (flat(s)) {
            return mean(s);
        }
        if (s.straight()) {
            return s.at(size);
        }
        for (int i = 1; i < s.sizes().size(); i++) {
            double from = s.sizes().get(i - 1);
            double to = s.sizes().get(i);
            if (size >= from && size <= to) {
                return s.means().get(i - 1)
                        + (s.means().get(i) - s.means().get(i - 1)) * (size - from) / (to - from);
            }
        }
        return Double.NaN;
    }

    private static double mean(Slope s) {
        return s.means().stream().mapToDouble(m -> m).average().orElse(Double.NaN);
    }

    private static String fit(Slope s) {
        return flat(s)
                ? number(mean(s)) + " at every size measured"
                : s.straight()
                        ? number(s.fixed())
                                + (s.perUnit() < 0 ? " - " : " + ")
                                + number(Math.abs(s.perUnit()))
                                + " × "
                                + s.against()
                        : "no straight line against " + s.against();
    }

    /**
     * What the target names and nothing carries, then what is over its budget, the largest factor
     * first.
     */
    public List<Entry> firstMissing() {
        List<Entry> first =
                new ArrayList<>(entries.stream().filter(e -> e.state() == State.MISSING).toList());
        entries.stream()
                .filter(e -> e.state() != State.MISSING && e.factorLeft() < 1)
                .sorted(Comparator.comparingDouble(Entry::factorLeft))
                .forEach(first::add);
        return first;
    }

    /** The generated part of {@code docs/CAPACITY.md}. */
    public String markdown() {
        StringBuilder page =
                new StringBuilder(
                        "| role | what | at the target | fixed + slope | measured up to | experiment | budget | factor left | carried by | state |\n"
                                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        entries.forEach(e -> page.append(line(e)));
        page.append(
                "\n**First missing.** Carried by nothing, then over budget by the largest factor:\n\n");
        int place = 1;
        for (Entry e : firstMissing()) {
            page.append(place++)
                    .append(". ")
                    .append(role(e.row().role()))
                    .append(", ")
                    .append(e.row().what())
                    .append(": ")
                    .append(
                            e.state() == State.MISSING
                                    ? "nothing carries it"
                                    : number(e.value())
                                            + " "
                                            + e.row().unit()
                                            + ", budget "
                                            + number(e.budget())
                                            + ", "
                                            + number(e.value() / e.budget())
                                            + " times too much")
                    .append('\n');
        }
        if (place == 1) {
            page.append("nothing.\n");
        }
        page.append(
                "\n**Slopes.** Means over the runs and their standard deviation, in the figure's unit:\n\n"
                        + "| figure | against | size: mean ± spread | runs | r2 | beside |\n| --- | --- | --- | --- | --- | --- |\n");
        slopes.forEach(s -> page.append(line(s)));
        return page.toString();
    }

    private String line(Entry e) {
        Row row = e.row();
        String lines = e.from().stream().map(Plan::fit).collect(Collectors.joining("; "));
        String upTo =
                e.from().stream()
                        .map(s -> number(s.measuredTo()) + " " + s.against())
                        .distinct()
                        .collect(Collectors.joining("; "));
        String files =
                e.from().stream()
                        .map(s -> s.experiment().replaceAll(".*/", ""))
                        .distinct()
                        .collect(Collectors.joining(", "));
        return "| "
                + String.join(
                        " | ",
                        role(row.role()),
                        row.what() + (row.note().isEmpty() ? "" : " (" + row.note() + ")"),
                        Double.isNaN(e.value())
                                ? "-"
                                : (e.state() == State.PARTLY_MEASURED ? "at least " : "")
                                        + number(e.value())
                                        + " "
                                        + row.unit(),
                        dash(lines),
                        dash(upTo),
                        dash(files),
                        Double.isNaN(e.budget()) ? "none named" : number(e.budget()),
                        Double.isNaN(e.factorLeft()) ? "-" : number(e.factorLeft()),
                        row.carriedBy().isEmpty()
                                ? "nothing"
                                : "`" + row.carriedBy().replace(", ", "`, `") + "`",
                        state(e))
                + " |\n";
    }

    private String line(Slope s) {
        List<String> points = new ArrayList<>();
        for (int i = 0; i < s.sizes().size(); i++) {
            points.add(
                    number(s.sizes().get(i))
                            + ": "
                            + number(s.means().get(i))
                            + " ± "
                            + number(s.spreads().get(i)));
        }
        return "| "
                + String.join(
                        " | ",
                        s.figure(),
                        s.against(),
                        String.join("; ", points),
                        String.valueOf(s.runs()),
                        String.format(Locale.ROOT, "%.3f", s.r2())
                                + (flat(s) ? ", flat" : s.straight() ? "" : ", not straight"),
                        s.beside())
                + " |\n";
    }

    private String state(Entry e) {
        String word = e.state().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        double beyond =
                e.from().stream()
                        .mapToDouble(s -> quantity(e.row(), s) / s.measuredTo())
                        .max()
                        .orElse(0);
        return e.state() == State.EXTRAPOLATED
                ? word + " to " + number(beyond) + " times the size"
                : word;
    }

    private static String role(Slope.Role role) {
        return role.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private static String dash(String text) {
        return text.isEmpty() ? "-" : text;
    }

    /** Four digits that count; large ones grouped. */
    static String number(double number) {
        BigDecimal rounded = new BigDecimal(number).round(DIGITS);
        if (rounded.signum() == 0) {
            return "0";
        }
        if (Math.abs(number) < SMALL) {
            return String.format(Locale.ROOT, "%.3e", number);
        }
        return Math.abs(number) >= GROUPED
                ? String.format(Locale.ROOT, "%,d", rounded.longValue())
                : rounded.stripTrailingZeros().toPlainString();
    }
}
