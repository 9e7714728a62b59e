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
public record PlanRow(
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
    public static List<PlanRow> read(Path file, Target target) throws BadFileException {
        Toml.Table root = Toml.read(file).root();
        List<PlanRow> rows = new ArrayList<>();
        for (Toml.Table table : root.tables("row")) {
            PlanRow row =
                    new PlanRow(
                            table.enumValue("role", null, Slope.Role.class),
                            table.string("what", ""),
                            table.string("unit", ""),
                            table.strings("slopes", List.of()),
                            table.string("at", ""),
                            table.string("quantity", ""),
                            table.string("budget", ""),
                            table.string("carried_by", ""),
                            table.string("note", ""));
            checkName(table, "at", row.at, target.quantities().keySet());
            checkName(table, "quantity", row.quantity, target.quantities().keySet());
            checkName(table, "budget", row.budget, target.budgets().keySet());
            table.rejectUnknownKeys();
            rows.add(row);
        }
        root.rejectUnknownKeys();
        return rows;
    }

    private static void checkName(
            Toml.Table table, String key, String name, java.util.Set<String> allowedNames)
            throws BadFileException {
        if (!name.isEmpty() && !allowedNames.contains(name)) {
            throw table.invalidValue(
                    key,
                    '"' + name + '"',
                    "one of " + String.join(", ", new java.util.TreeSet<>(allowedNames)));
        }
    }
}
