package cacheproxy.lab;

import cacheproxy.Router.Effect;
import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.faults.Fault;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/** Reads an experiment from TOML and validates the whole file before anything starts. */
public final class ExperimentFile {

    private static final double DAY_S = 86_400;
    private static final Pattern PERCENTAGE = Pattern.compile("[1-9]\\d?%");

    /**
     * Default concurrency limit and queue capacity of the origin per core; they match the defaults
     * of the smallest origin, which has four cores.
     */
    private static final int ORIGIN_SLOTS_PER_CORE = 16;

    private static final int ORIGIN_QUEUE_PER_CORE = 50;

    /** Maximum of cache nodes, and of spares; the largest fleet has 3,200. */
    private static final int MAX_NODES = 4000;

    private static final double MAX_REQUESTS_PER_S = 200_000;
    private static final double MAX_MS = 600_000;
    private static final int MAX_VOTERS = 7;
    private static final int DEFAULT_GOSSIP_BYTES_PER_S = 4096;
    private static final int MIN_GOSSIP_BYTES_PER_S = 4096;
    private static final int MAX_GOSSIP_BYTES_PER_S = 1 << 20;

    /** How long a replaced node drains before it stops, in seconds. */
    private static final double REPLACEMENT_DRAIN_S = 2;

    private static final Pattern FIGURE_NAME = Pattern.compile("[a-z0-9_]+(\\.[A-Za-z0-9_-]+)+");

    private final Toml toml;

    private ExperimentFile(Toml toml) {
        this.toml = toml;
    }

    /** Reads a file, with some keys overridden as by {@code --set}. */
    public static Experiment read(Path file, Map<String, String> overrides)
            throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> entry : overrides.entrySet()) {
            toml.set(entry.getKey(), entry.getValue());
        }
        return parse(toml);
    }

    /** Reads an experiment from parsed TOML. */
    public static Experiment parse(Toml toml) throws BadFileException {
        return new ExperimentFile(toml).experiment();
    }

    private Experiment experiment() throws BadFileException {
        Toml.Table root = toml.root();
        String name = root.string("name", null);
        if (name == null || !name.matches("[a-z0-9-]{1,60}")) {
            throw root.invalidValue(
                    "name",
                    name == null ? "nothing" : '"' + name + '"',
                    "1 to 60 of a to z, 0 to 9 and -");
        }
        double duration = root.number("duration_s", 20, 1, DAY_S);
        Experiment.Fleet fleet = fleet(root.table("fleet"));
        Experiment.Origin origin = origin(root.table("origin"), fleet.connections());
        Toml.Table discoveryTable = root.table("discovery");
        Experiment.Discovery discovery =
                new Experiment.Discovery(
                        discoveryTable.range("delay_s", new double[] {0.5, 2}, 0, 60),
                        discoveryTable.range("weight_s", new double[] {0.5, 1.5}, 0.05, 60),
                        discoveryTable.number("lists_per_s", 1000, 0.01, 100_000));
        discoveryTable.rejectUnknownKeys();
        Experiment.Proxies proxies = proxies(root.table("proxies"));
        Toml.Table gossipTable = root.table("gossip");
        Experiment.Gossip gossip =
                new Experiment.Gossip(
                        gossipTable.bool("enabled", false),
                        gossipTable.integer(
                                "bytes_per_s",
                                DEFAULT_GOSSIP_BYTES_PER_S,
                                MIN_GOSSIP_BYTES_PER_S,
                                MAX_GOSSIP_BYTES_PER_S),
                        gossipTable.bool("health", true));
        gossipTable.rejectUnknownKeys();
        Toml.Table policyTable = root.table("policy");
        Experiment.Policy policy =
                new Experiment.Policy(policyTable.integer("voters", 0, 0, MAX_VOTERS));
        if (policy.voters() > proxies.count() || policy.voters() > 0 && !gossip.enabled()) {
            throw policyTable.invalidValue(
                    "voters",
                    String.valueOf(policy.voters()),
                    "at most proxies.count, and 0 unless gossip.enabled, as proxies identify one another by their gossip keys");
        }
        policyTable.rejectUnknownKeys();
        Experiment.Load load = load(root.table("load"));
        Experiment.Rules rules = rules(root.table("rules"));
        Toml.Table pricesTable = root.table("prices");
        Experiment.Prices prices =
                new Experiment.Prices(
                        pricesTable.number("connection", 0, 0, 100),
                        pricesTable.number("crossing", 0, 0, 100),
                        pricesTable.number("waste", 0, 0, 100));
        pricesTable.rejectUnknownKeys();
        List<Fault> faults = new ArrayList<>();
        for (Toml.Table fault : root.tables("fault")) {
            Fault read = fault(fault, duration, fleet, proxies, load);
            faults.addAll(
                    read.kind() == Fault.Kind.NODE_REPLACE
                            ? expandReplacement(fault, read, fleet)
                            : List.of(read));
        }
        List<Experiment.Expect> expects = new ArrayList<>();
        for (Toml.Table expect : root.tables("expect")) {
            expects.add(expect(expect));
        }
        Experiment experiment =
                new Experiment(
                        name,
                        root.string("about", ""),
                        root.integer("seed", 1, 0, Integer.MAX_VALUE),
                        duration,
                        fleet,
                        origin,
                        discovery,
                        proxies,
                        gossip,
                        policy,
                        load,
                        rules,
                        prices,
                        List.copyOf(faults),
                        List.copyOf(expects));
        SizeSweep.read(root);
        root.rejectUnknownKeys();
        return experiment;
    }

    private static Experiment.Fleet fleet(Toml.Table table) throws BadFileException {
        List<Experiment.Kind> kinds = new ArrayList<>();
        for (Toml.Table kindTable : table.tables("kind")) {
            kinds.add(
                    new Experiment.Kind(
                            kindTable.string("name", "std"),
                            kindTable.number("share", 1, 0, 1000),
                            kindTable.integer("cores", 2, 1, 256),
                            kindTable.range("speed", new double[] {1, 1}, 0.01, 100),
                            kindTable.integer("slots", 32, 1, 100_000),
                            kindTable.integer("room", 64, 0, 1_000_000),
                            kindTable.range("cold_from", new double[] {0.15, 0.3}, 0.01, 1),
                            kindTable.number("cold_s", 15, 0, 600),
                            kindTable.number("crowding", 0.005, 0, 1)));
            kindTable.rejectUnknownKeys();
        }
        if (kinds.isEmpty()) {
            kinds.add(
                    new Experiment.Kind(
                            "wide",
                            1,
                            3,
                            new double[] {1, 1.4},
                            32,
                            64,
                            new double[] {0.15, 0.3},
                            15,
                            0.005));
            kinds.add(
                    new Experiment.Kind(
                            "small",
                            1,
                            2,
                            new double[] {0.7, 0.9},
                            24,
                            48,
                            new double[] {0.15, 0.3},
                            15,
                            0.005));
            kinds.add(
                    new Experiment.Kind(
                            "std",
                            1,
                            2,
                            new double[] {1.7, 2.3},
                            24,
                            48,
                            new double[] {0.15, 0.3},
                            15,
                            0.005));
        }
        List<String> zones = table.strings("zones", List.of("bogota-1", "medellin-1", "cali-1"));
        if (zones.isEmpty() || zones.stream().distinct().count() < zones.size()) {
            throw table.invalidValue("zones", zones.toString(), "one or more names, each once");
        }
        Experiment.Fleet fleet =
                new Experiment.Fleet(
                        table.integer("nodes", 9, 1, MAX_NODES),
                        table.integer("spares", 0, 0, MAX_NODES),
                        zones,
                        table.range("link_ms", new double[] {5.6, 10}, 0, 1000),
                        table.number("local_ms", 0.2, 0, 100),
                        List.copyOf(kinds),
                        table.number("miss_work_ms", 0.5, 0, 1000),
                        table.number("handshake_ms", 0.5, 0, 1000),
                        table.integer("connections", 400, 1, 100_000),
                        table.number("error_share", 0.001, 0, 1),
                        table.number("ttl_s", 120, 0.1, DAY_S),
                        table.integer("keys", 4000, 1, 10_000_000),
                        table.range(
                                "bytes", new double[] {300, 6000}, 50, Experiment.MAX_VALUE_BYTES),
                        table.number("kept", 1.2, 0.001, 100));
        table.rejectUnknownKeys();
        return fleet;
    }

    private static Experiment.Origin origin(Toml.Table table, int connections)
            throws BadFileException {
        int cores = table.integer("cores", 4, 1, 4096);
        Experiment.Origin origin =
                new Experiment.Origin(
                        cores,
                        table.number("speed", 1, 0.01, 100),
                        table.integer(
                                "slots", Math.max(64, ORIGIN_SLOTS_PER_CORE * cores), 1, 100_000),
                        table.integer(
                                "room", Math.max(200, ORIGIN_QUEUE_PER_CORE * cores), 0, 1_000_000),
                        table.integer("connections", connections, 1, 100_000),
                        table.number("fetch_share", 0.6, 0.01, 100),
                        table.number("write_times", 1.5, 0.1, 100),
                        table.number("fall_multiple", 2.5, 0, 1000),
                        table.number("fall_s", 3, 0.1, 600),
                        table.range("down_s", new double[] {3, 6}, 0, 600));
        table.rejectUnknownKeys();
        return origin;
    }

    private static Experiment.Proxies proxies(Toml.Table table) throws BadFileException {
        Experiment.Proxies proxies =
                new Experiment.Proxies(
                        table.integer("count", 3, 1, 1000),
                        table.string("run", ""),
                        table.integer("memory_mb", 128, 32, 65_536),
                        table.integer("sockets", 512, 64, 65_536),
                        table.number("notice_s", 1.5, 0, 60));
        table.rejectUnknownKeys();
        return proxies;
    }

    private static Experiment.Load load(Toml.Table table) throws BadFileException {
        List<Experiment.Class> classes = new ArrayList<>();
        for (Toml.Table classTable : table.tables("class")) {
            String name = classTable.string("name", null);
            if (name == null || !name.matches("[a-z0-9-]{1,40}")) {
                throw classTable.invalidValue(
                        "name",
                        name == null ? "nothing" : '"' + name + '"',
                        "1 to 40 of a to z, 0 to 9 and -");
            }
            Experiment.Class requestClass =
                    new Experiment.Class(
                            name,
                            classTable.number("share", 1, 0, 1e6),
                            classTable.range("work_ms", new double[] {20, 30}, 0.01, MAX_MS),
                            classTable.number("aim_ms", 500, 1, MAX_MS),
                            classTable.number("deadline_ms", 1200, 1, MAX_MS),
                            classTable.number("worth", 1, 0, 1e6),
                            classTable.enumValue("effect", Effect.SAFE, Effect.class),
                            classTable.bool("write", false),
                            classTable.number("repeat_window_ms", 1500, 0, MAX_MS));
            if (requestClass.aimMs() > requestClass.deadlineMs()) {
                throw classTable.invalidValue(
                        "aim_ms",
                        String.valueOf(requestClass.aimMs()),
                        "at most deadline_ms, which is " + requestClass.deadlineMs());
            }
            if (requestClass.effect() != Effect.SAFE && !requestClass.write()) {
                throw classTable.invalidValue(
                        "effect",
                        Effect.class.getSimpleName() + " on a read",
                        "safe, or write = true");
            }
            if (classes.stream().anyMatch(o -> o.name().equals(name))) {
                throw classTable.invalidValue(
                        "name", '"' + name + "\" a second time", "each name once");
            }
            classes.add(requestClass);
            classTable.rejectUnknownKeys();
        }
        if (classes.isEmpty()) {
            classes.add(
                    new Experiment.Class(
                            "view-agenda",
                            0.95,
                            new double[] {25, 45},
                            500,
                            1200,
                            5,
                            Effect.SAFE,
                            false,
                            0));
            classes.add(
                    new Experiment.Class(
                            "book-slot",
                            0.029,
                            new double[] {25, 45},
                            250,
                            600,
                            5,
                            Effect.UNSAFE,
                            true,
                            0));
            classes.add(
                    new Experiment.Class(
                            "bill-plan",
                            0.021,
                            new double[] {45, 75},
                            500,
                            1000,
                            10,
                            Effect.KEYED,
                            true,
                            1500));
        }
        Experiment.Load load =
                new Experiment.Load(
                        table.number("rate", 300, 0.1, MAX_REQUESTS_PER_S),
                        table.number("zipf", 0.95, 0.01, 3),
                        table.number("drift", 0.002, 0, 1),
                        table.integer("retries", 1, 0, 10),
                        table.range("retry_wait_ms", new double[] {100, 300}, 0, MAX_MS),
                        table.number("honours", 0.7, 0, 1),
                        table.bool("marks_retries", true),
                        table.range("patience", new double[] {0.7, 1}, 0.05, 1),
                        table.number("cost_hint_error", 0.3, 0, 10),
                        table.number("max_retry_after_ms", 1200, 0, MAX_MS),
                        table.number("lateness_ms", 50, 0.1, MAX_MS),
                        table.range("proxy_shares", new double[] {1, 1}, 0.001, 1000),
                        List.copyOf(classes));
        table.rejectUnknownKeys();
        return load;
    }

    private static Experiment.Rules rules(Toml.Table table) throws BadFileException {
        Experiment.Rules rules =
                new Experiment.Rules(
                        table.number("slack_ms", 70, 0, MAX_MS),
                        table.number("drain_ms", 2000, 0, MAX_MS),
                        table.number("cold_multiple", 3, 0, 1000),
                        table.number("cold_window_ms", 1500, 1, MAX_MS),
                        table.bool("cold_falls", true),
                        table.number("refusal_idle_share", 0.5, 0, 1),
                        table.integer("attempts", 5, 1, 100),
                        table.bool("second_copies", false));
        table.rejectUnknownKeys();
        return rules;
    }

    private static Fault fault(
            Toml.Table table,
            double durationS,
            Experiment.Fleet fleet,
            Experiment.Proxies proxies,
            Experiment.Load load)
            throws BadFileException {
        Fault.Kind kind = table.enumValue("what", null, Fault.Kind.class);
        if (!table.has("at_s")) {
            throw table.invalidValue("at_s", "nothing", "a number from 0 to " + durationS);
        }
        double atS = table.number("at_s", 0, 0, durationS);
        double forS = 0;
        String target = "";
        String peer = "";
        double share = 0;
        double factor = 0;
        int keys = 0;
        for (Fault.Key key : kind.keys()) {
            String keyName = key.name().toLowerCase(java.util.Locale.ROOT);
            if (!table.has(keyName)) {
                throw table.invalidValue(
                        keyName, "nothing", "a value, as " + kind.configName() + " needs it");
            }
            switch (key) {
                case FOR_S -> forS = table.number(keyName, 0, 0.01, DAY_S);
                case SHARE -> share = table.number(keyName, 0, 0, 1);
                case FACTOR -> factor = table.number(keyName, 1, 0.01, 1000);
                case KEYS -> keys = table.integer(keyName, 1, 1, 1000);
                case ZONE -> target = oneOf(table, keyName, fleet.zones());
                case CLASS ->
                        target =
                                oneOf(
                                        table,
                                        keyName,
                                        load.classes().stream()
                                                .map(Experiment.Class::name)
                                                .toList());
                case NODE ->
                        target =
                                kind == Fault.Kind.NODE_START
                                        ? spareName(table, keyName, fleet)
                                        : nodeTarget(table, keyName, fleet);
                case PROXY ->
                        target = numberedTarget(table, keyName, "proxy-", proxies.count(), false);
                case PEER ->
                        peer = numberedTarget(table, keyName, "proxy-", proxies.count(), false);
            }
        }
        table.rejectUnknownKeys();
        return new Fault(kind, atS, forS, target, share, factor, keys, peer);
    }

    private static String oneOf(Toml.Table table, String key, List<String> allowed)
            throws BadFileException {
        String value = table.string(key, "");
        if (!allowed.contains(value)) {
            throw table.invalidValue(
                    key, '"' + value + '"', "one of " + String.join(", ", allowed));
        }
        return value;
    }

    /** Reads the target of a fault on cache nodes; a zone's name means all its nodes. */
    private static String nodeTarget(Toml.Table table, String key, Experiment.Fleet fleet)
            throws BadFileException {
        String value = table.string(key, "");
        return fleet.zones().contains(value)
                ? value
                : numberedTarget(table, key, "node-", fleet.nodes(), true);
    }

    private static String spareName(Toml.Table table, String key, Experiment.Fleet fleet)
            throws BadFileException {
        String value = table.string(key, "");
        int machineCount = fleet.nodes() + fleet.spares();
        if (!isNumberedName(value, "node-", fleet.nodes(), machineCount)) {
            throw table.invalidValue(
                    key,
                    '"' + value + '"',
                    fleet.spares() == 0
                            ? "nothing, as fleet.spares is 0"
                            : "node-" + fleet.nodes() + " to node-" + (machineCount - 1));
        }
        return value;
    }

    /**
     * Expands a {@code node-replace} fault: at even intervals over its duration, a spare starts and
     * the node that it replaces drains.
     */
    private static List<Fault> expandReplacement(
            Toml.Table table, Fault replacement, Experiment.Fleet fleet) throws BadFileException {
        List<Integer> targets =
                IntStream.range(0, fleet.nodes())
                        .filter(
                                i ->
                                        replacement.affectsNode(
                                                i,
                                                fleet.zones().get(fleet.zoneIndex(i)),
                                                fleet.nodes()))
                        .boxed()
                        .toList();
        if (targets.size() > fleet.spares()) {
            throw table.invalidValue(
                    "node",
                    replacement.label(),
                    "at most fleet.spares nodes, which is " + fleet.spares());
        }
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < targets.size(); i++) {
            double atS = replacement.atS() + replacement.forS() * i / targets.size();
            faults.add(
                    new Fault(
                            Fault.Kind.NODE_START, atS, 0, "node-" + (fleet.nodes() + i), 0, 0, 0));
            faults.add(
                    new Fault(
                            Fault.Kind.NODE_DRAIN,
                            atS,
                            REPLACEMENT_DRAIN_S,
                            "node-" + targets.get(i),
                            0,
                            0,
                            0));
        }
        return faults;
    }

    private static String numberedTarget(
            Toml.Table table, String key, String prefix, int count, boolean originAllowed)
            throws BadFileException {
        String value = table.string(key, "");
        boolean valid =
                value.equals("*")
                        || PERCENTAGE.matcher(value).matches()
                        || originAllowed && value.equals("origin");
        if (!valid && !isNumberedName(value, prefix, 0, count)) {
            throw table.invalidValue(
                    key,
                    '"' + value + '"',
                    "*, 1% to 99%, "
                            + (originAllowed ? "origin, " : "")
                            + prefix
                            + "0 to "
                            + prefix
                            + (count - 1));
        }
        return value;
    }

    private static boolean isNumberedName(String value, String prefix, int from, int to) {
        return IntStream.range(from, to).anyMatch(i -> value.equals(prefix + i));
    }

    /** Reads one {@code [[expect]]} table: a figure and its bounds. */
    public static Experiment.Expect expect(Toml.Table table) throws BadFileException {
        String figure = table.string("figure", "");
        if (!FIGURE_NAME.matcher(figure).matches()) {
            throw table.invalidValue(
                    "figure", '"' + figure + '"', "a dotted figure name such as served.worth");
        }
        if (!table.has("min") && !table.has("max")) {
            throw table.invalidValue("min", "nothing", "min, max or both");
        }
        double min =
                table.has("min") ? table.number("min", 0, -1e12, 1e12) : Double.NEGATIVE_INFINITY;
        double max =
                table.has("max") ? table.number("max", 0, -1e12, 1e12) : Double.POSITIVE_INFINITY;
        if (min > max) {
            throw table.invalidValue("min", String.valueOf(min), "at most max, which is " + max);
        }
        table.rejectUnknownKeys();
        return new Experiment.Expect(figure, min, max);
    }
}
