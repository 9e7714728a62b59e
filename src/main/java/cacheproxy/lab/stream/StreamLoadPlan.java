package cacheproxy.lab.stream;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Plan of a change stream load test: its fleet, load and fault, and the bounds for its results.
 * {@code killAtS} and {@code restartAtS} are the times at which the leading control machine is
 * killed and restarted, in seconds since the load began; 0 means never.
 */
record StreamLoadPlan(
        String name,
        long seed,
        int proxies,
        int processes,
        int controls,
        double durationS,
        double purgesPerS,
        double epochsPerS,
        int epochBytes,
        double killAtS,
        double restartAtS,
        Bounds bounds) {

    /**
     * Upper bounds for the results: the 99.9th percentile of the time until all proxies have an
     * entry, in ms; bytes per second of one proxy in both directions; CPU cores of one control
     * machine.
     */
    record Bounds(double everywhereMs, double proxyBytesPerS, double controlCores) {}

    static StreamLoadPlan read(Path file, Map<String, String> overrides) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> override : overrides.entrySet()) {
            toml.set(override.getKey(), override.getValue());
        }
        Toml.Table root = toml.root();
        Toml.Table fleet = root.table("fleet");
        Toml.Table load = root.table("load");
        Toml.Table fault = root.table("fault");
        Toml.Table bounds = root.table("bounds");
        root.string("about", "");
        StreamLoadPlan plan =
                new StreamLoadPlan(
                        root.string("name", "stream"),
                        root.integer("seed", 1, 0, Integer.MAX_VALUE),
                        fleet.integer("proxies", 780, 1, 2000),
                        fleet.integer("processes", 8, 1, 32),
                        fleet.integer("controls", 4, 1, 8),
                        root.number("duration_s", 60, 1, 3600),
                        load.number("purges_per_s", 3.9, 0, 1000),
                        load.number("epochs_per_s", 0.0255, 0, 100),
                        load.integer("epoch_bytes", 2000, 0, 16_384),
                        fault.number("kill_s", 0, 0, 3600),
                        fault.number("back_s", 0, 0, 3600),
                        new Bounds(
                                bounds.number("everywhere_ms", 2600, 1, 1e6),
                                bounds.number("proxy_bytes_per_s", 5000, 1, 1e9),
                                bounds.number("control_cores", 1, 0.001, 64)));
        for (Toml.Table table : List.of(root, fleet, load, fault, bounds)) {
            table.rejectUnknownKeys();
        }
        return plan;
    }
}
