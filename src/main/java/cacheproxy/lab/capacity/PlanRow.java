package cacheproxy.lab.capacity;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One row of the capacity page: a load of one role, the source of its figure, and the code that
 * handles it. Most component names are the keys of the row file.
 *
 * @param role the role that has the load
 * @param what description of the load
 * @param unit unit of the figure
 * @param slopes the slopes whose sum is the figure, by figure or as {@code experiment/figure};
 *     empty if the figure is a quantity of the target or is not measured
 * @param at the quantity of {@link Target} at which the slopes are evaluated; empty for the one
 *     that each slope was measured against
 * @param quantity the quantity of {@link Target} that is the figure; empty if the figure comes from
 *     slopes
 * @param budget the budget of {@link Target} that limits the figure; empty if there is none
 * @param carriedBy the classes or packages that handle the load; empty if there are none
 * @param note what the figure does not include; may be empty
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

    /** Reads the rows in file order; rejects names that the target does not have. */
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
