package cacheproxy.lab.capacity;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One line of the page: what a role has to bear, where its figure comes from, and what carries it.
 *
 * @param role whose it is
 * @param what what it is, in words
 * @param unit the figure's unit
 * @param slopes the slopes it is worked out from, by figure or as {@code experiment/figure}, added
 *     up; none where it is arithmetic or not measured
 * @param at the quantity of {@link Target} to take the slopes at; empty for each slope's own
 * @param quantity the quantity that it is itself, by arithmetic; empty where it is measured
 * @param budget the budget of {@link Target} that it is held to; empty where the target names none
 * @param carriedBy the class or package that carries it; empty for nothing
 * @param note what the figure leaves out; may be empty
 */
public record Row(
        Slope.Role role,
        String what,
        String unit,
        List<String> slopes,
        String at,
        String quantity,
        String budget,
        String carriedBy,
        String note) {

    /** Reads the rows in their order; names that nobody knows are refused. */
    public static List<Row> read(Path file, Target target) throws BadFileException {
        Toml.Table root = Toml.read(file).root();
        List<Row> rows = new ArrayList<>();
        for (Toml.Table t : root.tables("row")) {
            Row row =
                    new Row(
                            t.choice("role", null, Slope.Role.class),
                            t.text("what", ""),
                            t.text("unit", ""),
                            t.texts("slopes", List.of()),
                            t.text("at", ""),
                            t.text("quantity", ""),
                            t.text("budget", ""),
                            t.text("carried_by", ""),
                            t.text("note", ""));
            known(t, "at", row.at, target.quantities().keySet());
            known(t, "quantity", row.quantity, target.quantities().keySet());
            known(t, "budget", row.budget, target.budgets().keySet());
            t.done();
            rows.add(row);
        }
        root.done();
        return rows;
    }

    private static void known(Toml.Table t, String key, String found, java.util.Set<String> words)
            throws BadFileException {
        if (!found.isEmpty() && !words.contains(found)) {
            throw t.bad(
                    key,
                    '"' + found + '"',
                    "one of " + String.join(", ", new java.util.TreeSet<>(words)));
        }
    }
}
