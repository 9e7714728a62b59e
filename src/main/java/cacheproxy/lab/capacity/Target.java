package cacheproxy.lab.capacity;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The size of the system to plan for, as defined in {@code deploy/target.toml}.
 *
 * @param quantities the size parameters, by the names that {@code against} of a slope refers to;
 *     those that the file does not contain are computed from those it does
 * @param budgets the upper limits of costs, by the names that {@code budget} of a row refers to
 */
public record Target(Map<String, Double> quantities, Map<String, Double> budgets) {

    private static final double MAX_VALUE = 1e15;
    private static final double DAY_S = 86_400;
    private static final double MS_PER_S = 1000;
    private static final int BITS_PER_BYTE = 8;

    /** Reads a file, with the values of some keys overridden; every key is required. */
    public static Target read(Path file, Map<String, String> overrides) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> entry : overrides.entrySet()) {
            toml.set(entry.getKey(), entry.getValue());
        }
        Toml.Table root = toml.root();
        Map<String, Double> quantities = new LinkedHashMap<>();
        Map<String, Double> budgets = new LinkedHashMap<>();
        Toml.Table fleet = root.table("fleet");
        double proxies = requiredCount(fleet, "proxies");
        double sites = requiredCount(fleet, "sites");
        double nodes = requiredCount(fleet, "cache_nodes");
        double zones = requiredCount(fleet, "zones");
        quantities.put("proxies", proxies);
        quantities.put("sites", sites);
        quantities.put("proxies a site", proxies / sites);
        quantities.put("cache nodes", nodes);
        quantities.put("regions", requiredCount(fleet, "regions"));
        quantities.put("zones", zones);
        fleet.rejectUnknownKeys();
        Toml.Table load = root.table("load");
        double requestsPerS = requiredNumber(load, "requests_per_s");
        double bytesPerS = requiredNumber(load, "bits_per_s") / BITS_PER_BYTE;
        double busiestOverMean = requiredNumber(load, "busiest_over_mean");
        double objects = requiredNumber(load, "objects");
        quantities.put("requests/s", requestsPerS);
        quantities.put("requests/s a proxy", requestsPerS / proxies);
        quantities.put("requests/s a busy proxy", busiestOverMean * requestsPerS / proxies);
        quantities.put("bytes/s", bytesPerS);
        quantities.put("bytes/s a proxy", bytesPerS / proxies);
        quantities.put("bytes an answer", requestsPerS == 0 ? 0 : bytesPerS / requestsPerS);
        quantities.put("objects", objects);
        quantities.put("objects a cache node", objects * requiredNumber(load, "homes") / nodes);
        quantities.put("objects a zone", objects * requiredNumber(load, "homes") / zones);
        quantities.put("requests/s a cache node", requestsPerS / nodes);
        load.rejectUnknownKeys();
        Toml.Table purges = root.table("purges");
        quantities.put("purges/s", requiredNumber(purges, "per_s"));
        budgets.put("purges.everywhere_ms", MS_PER_S * requiredNumber(purges, "everywhere_s"));
        purges.rejectUnknownKeys();
        Toml.Table changes = root.table("changes");
        quantities.put("changes a day", requiredNumber(changes, "a_day"));
        budgets.put("changes.everywhere_ms", MS_PER_S * requiredNumber(changes, "everywhere_s"));
        changes.rejectUnknownKeys();
        Toml.Table control = root.table("control");
        budgets.put("control.core_share", requiredNumber(control, "core_share"));
        budgets.put("control.memory_mb", requiredNumber(control, "memory_mb"));
        budgets.put("control.bytes_per_s", requiredNumber(control, "bytes_per_s"));
        // A limit of the program and not a user requirement: a proxy has one event loop.
        budgets.put("proxy.loop_cores", 1.0);
        double machines = requiredCount(control, "machines");
        quantities.put("control machines", machines);
        quantities.put("proxies a control machine", proxies / machines);
        control.rejectUnknownKeys();
        Toml.Table day = root.table("day");
        quantities.put("failures a day", requiredNumber(day, "failures"));
        quantities.put("replacements a day", requiredNumber(day, "replacements"));
        double regionsApartS = requiredNumber(day, "regions_apart_s");
        quantities.put(
                "purges while regions are apart", quantities.get("purges/s") * regionsApartS);
        quantities.put(
                "changes while regions are apart",
                quantities.get("changes a day") * regionsApartS / DAY_S);
        quantities.put(
                "purge messages/s at a control machine",
                quantities.get("purges/s") * proxies / machines);
        day.rejectUnknownKeys();
        root.rejectUnknownKeys();
        return new Target(Map.copyOf(quantities), Map.copyOf(budgets));
    }

    private static double requiredCount(Toml.Table table, String key) throws BadFileException {
        requiredNumber(table, key);
        return table.integer(key, 1, 1, Integer.MAX_VALUE);
    }

    private static double requiredNumber(Toml.Table table, String key) throws BadFileException {
        if (!table.has(key)) {
            throw table.invalidValue(key, "nothing", "a number");
        }
        return table.number(key, 0, 0, MAX_VALUE);
    }
}
