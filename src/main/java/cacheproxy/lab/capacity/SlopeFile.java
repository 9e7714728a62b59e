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
 * The file of measured slopes: TOML, one {@code [[slope]]} each, written by experiments and read by
 * whoever plans a size.
 */
public final class SlopeFile {

    private static final String HEAD =
            "# Written by the experiments that each slope names; see docs/operate/lab.md.\n";
    private static final MathContext DIGITS = new MathContext(6);
    private static final double MOST = 1e15;
    private static final int MOST_RUNS = 1000;

    private SlopeFile() {}

    /** Reads a file; what is wrong is named with file, line and key. */
    public static List<Slope> read(Path file) throws BadFileException {
        Toml.Table root = Toml.read(file).root();
        List<Slope> slopes = new ArrayList<>();
        for (Toml.Table t : root.tables("slope")) {
            List<Double> sizes = t.numbers("sizes", 0, MOST);
            if (sizes.size() < 2) {
                throw t.bad("sizes", sizes.toString(), "two numbers or more");
            }
            slopes.add(
                    new Slope(
                            t.choice("role", null, Slope.Role.class),
                            named(t, "figure"),
                            named(t, "unit"),
                            named(t, "against"),
                            sizes,
                            asMany(t, "means", -MOST, sizes),
                            asMany(t, "spreads", 0, sizes),
                            t.whole("runs", 1, 1, MOST_RUNS),
                            line(t, "fixed", -MOST, MOST),
                            line(t, "per_unit", -MOST, MOST),
                            line(t, "r2", 0, 1),
                            named(t, "experiment"),
                            t.text("beside", "nothing")));
            t.done();
        }
        root.done();
        return slopes;
    }

    private static String named(Toml.Table t, String key) throws BadFileException {
        String found = t.text(key, null);
        if (found == null) {
            throw t.bad(key, "nothing", "a text");
        }
        return found;
    }

    private static double line(Toml.Table t, String key, double least, double most)
            throws BadFileException {
        if (!t.has(key)) {
            throw t.bad(key, "nothing", "a number");
        }
        return t.number(key, 0, least, most);
    }

    private static List<Double> asMany(Toml.Table t, String key, double least, List<Double> sizes)
            throws BadFileException {
        List<Double> found = t.numbers(key, least, MOST);
        if (found.size() != sizes.size()) {
            throw t.bad(key, found.size() + " numbers", sizes.size() + ", one a size");
        }
        return found;
    }

    /**
     * Puts an experiment's slopes into a file, in the place of what that experiment wrote there
     * before; the others' stay as they are.
     */
    public static void put(Path file, String experiment, List<Slope> slopes)
            throws BadFileException, IOException {
        List<Slope> all = new ArrayList<>(Files.exists(file) ? read(file) : List.of());
        all.removeIf(s -> s.experiment().equals(experiment));
        all.addAll(slopes);
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(
                fresh, HEAD + all.stream().map(SlopeFile::text).collect(Collectors.joining()));
        Files.move(
                fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String text(Slope s) {
        return "\n[[slope]]\n"
                + words("role", s.role().name().toLowerCase(Locale.ROOT).replace('_', '-'))
                + words("figure", s.figure())
                + words("unit", s.unit())
                + words("against", s.against())
                + numbers("sizes", s.sizes())
                + numbers("means", s.means())
                + numbers("spreads", s.spreads())
                + "runs = "
                + s.runs()
                + "\nfixed = "
                + number(s.fixed())
                + "\nper_unit = "
                + number(s.perUnit())
                + "\nr2 = "
                + number(s.r2())
                + "\n"
                + words("experiment", s.experiment())
                + words("beside", s.beside());
    }

    private static String words(String key, String text) {
        return key
                + " = \""
                + text.replace("\\", "\\\\").replace("\"", "\\\"").replace('\n', ' ')
                + "\"\n";
    }

    private static String numbers(String key, List<Double> numbers) {
        return key
                + " = "
                + numbers.stream()
                        .map(SlopeFile::number)
                        .collect(Collectors.joining(", ", "[", "]"))
                + "\n";
    }

    /** To six digits, without an exponent. */
    private static String number(double number) {
        BigDecimal rounded = new BigDecimal(number).round(DIGITS);
        return rounded.signum() == 0 ? "0" : rounded.stripTrailingZeros().toPlainString();
    }
}
