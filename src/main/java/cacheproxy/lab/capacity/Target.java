package cacheproxy.lab.capacity;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The size to plan for, as {@code deploy/target.toml} states it.
 *
 * @param quantities what grows, by the words that a slope's {@code against} uses; what the file
 *     does not say itself is arithmetic on what it says
 * @param budgets what may be spent, by the words that a row's {@code budget} uses
 */
public record Target(Map<String, Double> quantities, Map<String, Double> budgets) {

    private static final double MOST = 1e15;
    private static final double DAY_S = 86_400;
    private static final double MS_PER_S = 1000;
    private static final int BITS = 8;

    /** Reads a file with some keys set from outside; every key must be there. */
    public static Target read(Path file, Map<String, String> set) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> entry : set.entrySet()) {
            toml.set(entry.getKey(), entry.getValue());
        }
        Toml.Table root = toml.root();
        Map<String, Double> quantities = new LinkedHashMap<>();
        Map<String, Double> budgets = new LinkedHashMap<>();
        Toml.Table fleet = root.table("fleet");
        double proxies = many(fleet, "proxies");
        double sites = many(fleet, "sites");
        double nodes = many(fleet, "cache_nodes");
        double zones = many(fleet, "zones");
        quantities.put("proxies", proxies);
        quantities.put("sites", sites);
        quantities.put("proxies a site", proxies / sites);
        quantities.put("cache nodes", nodes);
        quantities.put("regions", many(fleet, "regions"));
        quantities.put("zones", zones);
        fleet.done();
        Toml.Table load = root.table("load");
        double requests = given(load, "requests_per_s");
        double bytes = given(load, "bits_per_s") / BITS;
        double busiest = given(load, "busiest_over_mean");
        double objects = given(load, "objects");
        quantities.put("requests/s", requests);
        quantities.put("requests/s a proxy", requests / proxies);
        quantities.put("requests/s a busy proxy", busiest * requests / proxies);
        quantities.put("bytes/s", bytes);
        quantities.put("bytes/s a proxy", bytes / proxies);
        quantities.put("bytes an answer", requests == 0 ? 0 : bytes / requests);
        quantities.put("objects", objects);
        quantities.put("objects a cache node", objects * given(load, "homes") / nodes);
        quantities.put("objects a zone", objects * given(load, "homes") / zones);
        quantities.put("requests/s a cache node", requests / nodes);
        load.done();
        Toml.Table purges = root.table("purges");
        quantities.put("purges/s", given(purges, "per_s"));
        budgets.put("purges.everywhere_ms", MS_PER_S * given(purges, "everywhere_s"));
        purges.done();
        Toml.Table changes = root.table("changes");
        quantities.put("changes a day", given(changes, "a_day"));
        budgets.put("changes.everywhere_ms", MS_PER_S * given(changes, "everywhere_s"));
        changes.done();
        Toml.Table control = root.table("control");
        budgets.put("control.core_share", given(control, "core_share"));
        budgets.put("control.memory_mb", given(control, "memory_mb"));
        budgets.put("control.bytes_per_s", given(control, "bytes_per_s"));
        // Not the users' but the program's: a proxy has one event loop.
        budgets.put("proxy.loop_cores", 1.0);
        double machines = many(control, "machines");
        quantities.put("control machines", machines);
        quantities.put("proxies a control machine", proxies / machines);
        control.done();
        Toml.Table day = root.table("day");
        quantities.put("failures a day", given(day, "failures"));
        quantities.put("replacements a day", given(day, "replacements"));
        double apartS = given(day, "regions_apart_s");
        quantities.put("purges while regions are apart", quantities.get("purges/s") * apartS);
        quantities.put(
                "changes while regions are apart",
                quantities.get("changes a day") * apartS / DAY_S);
        quantities.put(
                "purge messages/s at a control machine",
                quantities.get("purges/s") * proxies / machines);
        day.done();
        root.done();
        return new Target(Map.copyOf(quantities), Map.copyOf(budgets));
    }

    private static double many(Toml.Table t, String key) throws BadFileException {
        given(t, key);
        return t.whole(key, 1, 1, Integer.MAX_VALUE);
    }

    private static double given(Toml.Table t, String key) throws BadFileException {
        if (!t.has(key)) {
            throw t.bad(key, "nothing", "a number");
        }
        return t.number(key, 0, 0, MOST);
    }
}
