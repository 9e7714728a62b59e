package cacheproxy.lab.capacity;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Reads and writes files of measured slopes: TOML with one {@code [[slope]]} table per slope,
 * written by experiments and read by the capacity plan.
 */
public final class SlopeFile {

    private static final String HEADER =
            "# Written by the experiments that each slope names; see docs/operate/lab.md.\n";
    private static final MathContext PRECISION = new MathContext(6);
    private static final double MAX_VALUE = 1e15;
    private static final int MAX_RUNS = 1000;

    private SlopeFile() {}

    /** Reads a file; errors are reported with file, line and key. */
    public static List<Slope> read(Path file) throws BadFileException {
        Toml.Table root = Toml.read(file).root();
        List<Slope> slopes = new ArrayList<>();
        for (Toml.Table table : root.tables("slope")) {
            List<Double> sizes = table.numbers("sizes", 0, MAX_VALUE);
            if (sizes.size() < 2) {
                throw table.invalidValue("sizes", sizes.toString(), "at least two numbers");
            }
            slopes.add(
                    new Slope(
                            table.enumValue("role", null, Slope.Role.class),
                            requiredString(table, "figure"),
                            requiredString(table, "unit"),
                            requiredString(table, "against"),
                            sizes,
                            numberPerSize(table, "means", -MAX_VALUE, sizes),
                            numberPerSize(table, "spreads", 0, sizes),
                            table.integer("runs", 1, 1, MAX_RUNS),
                            requiredNumber(table, "fixed", -MAX_VALUE, MAX_VALUE),
                            requiredNumber(table, "per_unit", -MAX_VALUE, MAX_VALUE),
                            requiredNumber(table, "r2", 0, 1),
                            requiredString(table, "experiment"),
                            table.string("beside", "nothing")));
            table.rejectUnknownKeys();
        }
        root.rejectUnknownKeys();
        return slopes;
    }

    private static String requiredString(Toml.Table table, String key) throws BadFileException {
        String value = table.string(key, null);
        if (value == null) {
            throw table.invalidValue(key, "nothing", "a text");
        }
        return value;
    }

    private static double requiredNumber(Toml.Table table, String key, double min, double max)
            throws BadFileException {
        if (!table.has(key)) {
            throw table.invalidValue(key, "nothing", "a number");
        }
        return table.number(key, 0, min, max);
    }

    private static List<Double> numberPerSize(
            Toml.Table table, String key, double min, List<Double> sizes) throws BadFileException {
        List<Double> numbers = table.numbers(key, min, MAX_VALUE);
        if (numbers.size() != sizes.size()) {
            throw table.invalidValue(
                    key, numbers.size() + " numbers", sizes.size() + ", one per size");
        }
        return numbers;
    }

    /**
     * Replaces the slopes of one experiment in a file, atomically; the slopes of other experiments
     * are kept. Creates the file if it does not exist.
     */
    public static void replaceSlopes(Path file, String experiment, List<Slope> slopes)
            throws BadFileException, IOException {
        List<Slope> all = new ArrayList<>(Files.exists(file) ? read(file) : List.of());
        all.removeIf(s -> s.experiment().equals(experiment));
        all.addAll(slopes);
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(
                newFile,
                HEADER + all.stream().map(SlopeFile::toToml).collect(Collectors.joining()));
        Files.move(
                newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String toToml(Slope slope) {
        return "\n[[slope]]\n"
                + stringLine("role", slope.role().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                + stringLine("figure", slope.figure())
                + stringLine("unit", slope.unit())
                + stringLine("against", slope.against())
                + numbersLine("sizes", slope.sizes())
                + numbersLine("means", slope.means())
                + numbersLine("spreads", slope.spreads())
                + "runs = "
                + slope.runs()
                + "\nfixed = "
                + formatNumber(slope.fixed())
                + "\nper_unit = "
                + formatNumber(slope.perUnit())
                + "\nr2 = "
                + formatNumber(slope.r2())
                + "\n"
                + stringLine("experiment", slope.experiment())
                + stringLine("beside", slope.beside());
    }

    private static String stringLine(String key, String text) {
        return key
                + " = \""
                + text.replace("\\", "\\\\").replace("\"", "\\\"").replace('\n', ' ')
                + "\"\n";
    }

    private static String numbersLine(String key, List<Double> numbers) {
        return key
                + " = "
                + numbers.stream()
                        .map(SlopeFile::formatNumber)
                        .collect(Collectors.joining(", ", "[", "]"))
                + "\n";
    }

    /** Formats with six significant digits and without an exponent. */
    private static String formatNumber(double number) {
        BigDecimal rounded = new BigDecimal(number).round(PRECISION);
        return rounded.signum() == 0 ? "0" : rounded.stripTrailingZeros().toPlainString();
    }
}
