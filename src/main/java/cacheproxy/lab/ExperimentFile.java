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

/** Reads an experiment's TOML. Everything is checked before anything starts. */
public final class ExperimentFile {

    private static final double DAY_S = 86_400;
    private static final Pattern PART = Pattern.compile("[1-9]\\d?%");

    /**
     * What an origin takes at once and lets wait, by its cores, where a file does not say: as the
     * smallest has with four.
     */
    private static final int SLOTS_A_CORE = 16;

    private static final int ROOM_A_CORE = 50;

    /** Cache nodes, and as many spares, that a file may name; a fleet has 3,200 at most. */
    private static final int MOST_NODES = 4000;

    private static final double MOST_RATE = 200_000;
    private static final double MOST_MS = 600_000;
    private static final int MOST_VOTERS = 7;
    private static final int GOSSIP_BYTES = 4096;
    private static final int LEAST_GOSSIP_BYTES = 4096;
    private static final int MOST_GOSSIP_BYTES = 1 << 20;

    /** How long a node that is replaced drains before it is gone. */
    private static final double LEAVES_S = 2;

    private static final Pattern FIGURE = Pattern.compile("[a-z0-9_]+(\\.[A-Za-z0-9_-]+)+");

    private final Toml toml;

    private ExperimentFile(Toml toml) {
        this.toml = toml;
    }

    /** Reads a file with some keys set from outside, as by {@code --set}. */
    public static Experiment read(Path file, Map<String, String> set) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> entry : set.entrySet()) {
            toml.set(entry.getKey(), entry.getValue());
        }
        return of(toml);
    }

    public static Experiment of(Toml toml) throws BadFileException {
        return new ExperimentFile(toml).experiment();
    }

    private Experiment experiment() throws BadFileException {
        Toml.Table root = toml.root();
        String name = root.text("name", null);
        if (name == null || !name.matches("[a-z0-9-]{1,60}")) {
            throw root.bad(
                    "name",
                    name == null ? "nothing" : '"' + name + '"',
                    "1 to 60 of a to z, 0 to 9 and -");
        }
        double duration = root.number("duration_s", 20, 1, DAY_S);
        Experiment.Fleet fleet = fleet(root.table("fleet"));
        Experiment.Origin origin = origin(root.table("origin"), fleet.connections());
        Toml.Table list = root.table("discovery");
        Experiment.Discovery discovery =
                new Experiment.Discovery(
                        list.range("delay_s", new double[] {0.5, 2}, 0, 60),
                        list.range("weight_s", new double[] {0.5, 1.5}, 0.05, 60),
                        list.number("lists_per_s", 1000, 0.01, 100_000));
        list.done();
        Experiment.Proxies proxies = proxies(root.table("proxies"));
        Toml.Table talk = root.table("gossip");
        Experiment.Gossip gossip =
                new Experiment.Gossip(
                        talk.flag("enabled", false),
                        talk.whole(
                                "bytes_per_s", GOSSIP_BYTES, LEAST_GOSSIP_BYTES, MOST_GOSSIP_BYTES),
                        talk.flag("health", true));
        talk.done();
        Toml.Table change = root.table("policy");
        Experiment.Policy policy = new Experiment.Policy(change.whole("voters", 0, 0, MOST_VOTERS));
        if (policy.voters() > proxies.count() || policy.voters() > 0 && !gossip.enabled()) {
            throw change.bad(
                    "voters",
                    String.valueOf(policy.voters()),
                    "at most proxies.count, with gossip.enabled, as proxies know one another by their gossip keys");
        }
        change.done();
        Experiment.Load load = load(root.table("load"));
        Experiment.Rules rules = rules(root.table("rules"));
        Toml.Table points = root.table("prices");
        Experiment.Prices prices =
                new Experiment.Prices(
                        points.number("connection", 0, 0, 100),
                        points.number("crossing", 0, 0, 100),
                        points.number("waste", 0, 0, 100));
        points.done();
        List<Fault> faults = new ArrayList<>();
        for (Toml.Table fault : root.tables("fault")) {
            Fault read = fault(fault, duration, fleet, proxies, load);
            faults.addAll(
                    read.what() == Fault.Kind.NODE_REPLACE
                            ? replacements(fault, read, fleet)
                            : List.of(read));
        }
        List<Experiment.Expect> expects = new ArrayList<>();
        for (Toml.Table expect : root.tables("expect")) {
            expects.add(expect(expect));
        }
        Experiment experiment =
                new Experiment(
                        name,
                        root.text("about", ""),
                        root.whole("seed", 1, 0, Integer.MAX_VALUE),
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
        Sizes.read(root);
        root.done();
        return experiment;
    }

    private static Experiment.Fleet fleet(Toml.Table t) throws BadFileException {
        List<Experiment.Kind> kinds = new ArrayList<>();
        for (Toml.Table k : t.tables("kind")) {
            kinds.add(
                    new Experiment.Kind(
                            k.text("name", "std"),
                            k.number("share", 1, 0, 1000),
                            k.whole("cores", 2, 1, 256),
                            k.range("speed", new double[] {1, 1}, 0.01, 100),
                            k.whole("slots", 32, 1, 100_000),
                            k.whole("room", 64, 0, 1_000_000),
                            k.range("cold_from", new double[] {0.15, 0.3}, 0.01, 1),
                            k.number("cold_s", 15, 0, 600),
                            k.number("crowding", 0.005, 0, 1)));
            k.done();
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
        List<String> zones = t.texts("zones", List.of("bogota-1", "medellin-1", "cali-1"));
        if (zones.isEmpty() || zones.stream().distinct().count() < zones.size()) {
            throw t.bad("zones", zones.toString(), "one or more names, each once");
        }
        Experiment.Fleet fleet =
                new Experiment.Fleet(
                        t.whole("nodes", 9, 1, MOST_NODES),
                        t.whole("spares", 0, 0, MOST_NODES),
                        zones,
                        t.range("link_ms", new double[] {5.6, 10}, 0, 1000),
                        t.number("local_ms", 0.2, 0, 100),
                        List.copyOf(kinds),
                        t.number("miss_work_ms", 0.5, 0, 1000),
                        t.number("handshake_ms", 0.5, 0, 1000),
                        t.whole("connections", 400, 1, 100_000),
                        t.number("error_share", 0.001, 0, 1),
                        t.number("ttl_s", 120, 0.1, DAY_S),
                        t.whole("keys", 4000, 1, 10_000_000),
                        t.range("bytes", new double[] {300, 6000}, 50, Experiment.MOST_BYTES),
                        t.number("kept", 1.2, 0.001, 100));
        t.done();
        return fleet;
    }

    private static Experiment.Origin origin(Toml.Table t, int connections) throws BadFileException {
        int cores = t.whole("cores", 4, 1, 4096);
        Experiment.Origin origin =
                new Experiment.Origin(
                        cores,
                        t.number("speed", 1, 0.01, 100),
                        t.whole("slots", Math.max(64, SLOTS_A_CORE * cores), 1, 100_000),
                        t.whole("room", Math.max(200, ROOM_A_CORE * cores), 0, 1_000_000),
                        t.whole("connections", connections, 1, 100_000),
                        t.number("fetch_share", 0.6, 0.01, 100),
                        t.number("write_times", 1.5, 0.1, 100),
                        t.number("fall_multiple", 2.5, 0, 1000),
                        t.number("fall_s", 3, 0.1, 600),
                        t.range("down_s", new double[] {3, 6}, 0, 600));
        t.done();
        return origin;
    }

    private static Experiment.Proxies proxies(Toml.Table t) throws BadFileException {
        Experiment.Proxies proxies =
                new Experiment.Proxies(
                        t.whole("count", 3, 1, 1000),
                        t.text("run", ""),
                        t.whole("memory_mb", 128, 32, 65_536),
                        t.whole("sockets", 512, 64, 65_536),
                        t.number("notice_s", 1.5, 0, 60));
        t.done();
        return proxies;
    }

    private static Experiment.Load load(Toml.Table t) throws BadFileException {
        List<Experiment.Class> classes = new ArrayList<>();
        for (Toml.Table c : t.tables("class")) {
            String name = c.text("name", null);
            if (name == null || !name.matches("[a-z0-9-]{1,40}")) {
                throw c.bad(
                        "name",
                        name == null ? "nothing" : '"' + name + '"',
                        "1 to 40 of a to z, 0 to 9 and -");
            }
            Experiment.Class made =
                    new Experiment.Class(
                            name,
                            c.number("share", 1, 0, 1e6),
                            c.range("work_ms", new double[] {20, 30}, 0.01, MOST_MS),
                            c.number("aim_ms", 500, 1, MOST_MS),
                            c.number("deadline_ms", 1200, 1, MOST_MS),
                            c.number("worth", 1, 0, 1e6),
                            c.choice("effect", Effect.SAFE, Effect.class),
                            c.flag("write", false),
                            c.number("repeat_window_ms", 1500, 0, MOST_MS));
            if (made.aimMs() > made.deadlineMs()) {
                throw c.bad(
                        "aim_ms",
                        String.valueOf(made.aimMs()),
                        "at most deadline_ms, which is " + made.deadlineMs());
            }
            if (made.effect() != Effect.SAFE && !made.write()) {
                throw c.bad(
                        "effect",
                        Effect.class.getSimpleName() + " on a read",
                        "safe, or write = true");
            }
            if (classes.stream().anyMatch(o -> o.name().equals(name))) {
                throw c.bad("name", '"' + name + "\" a second time", "each name once");
            }
            classes.add(made);
            c.done();
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
                        t.number("rate", 300, 0.1, MOST_RATE),
                        t.number("zipf", 0.95, 0.01, 3),
                        t.number("drift", 0.002, 0, 1),
                        t.whole("retries", 1, 0, 10),
                        t.range("retry_wait_ms", new double[] {100, 300}, 0, MOST_MS),
                        t.number("honours", 0.7, 0, 1),
                        t.flag("marks_retries", true),
                        t.range("patience", new double[] {0.7, 1}, 0.05, 1),
                        t.number("cost_hint_error", 0.3, 0, 10),
                        t.number("max_retry_after_ms", 1200, 0, MOST_MS),
                        t.number("lateness_ms", 50, 0.1, MOST_MS),
                        t.range("proxy_shares", new double[] {1, 1}, 0.001, 1000),
                        List.copyOf(classes));
        t.done();
        return load;
    }

    private static Experiment.Rules rules(Toml.Table t) throws BadFileException {
        Experiment.Rules rules =
                new Experiment.Rules(
                        t.number("slack_ms", 70, 0, MOST_MS),
                        t.number("drain_ms", 2000, 0, MOST_MS),
                        t.number("cold_multiple", 3, 0, 1000),
                        t.number("cold_window_ms", 1500, 1, MOST_MS),
                        t.flag("cold_falls", true),
                        t.number("refusal_idle_share", 0.5, 0, 1),
                        t.whole("attempts", 5, 1, 100),
                        t.flag("second_copies", false));
        t.done();
        return rules;
    }

    private static Fault fault(
            Toml.Table t,
            double durationS,
            Experiment.Fleet fleet,
            Experiment.Proxies proxies,
            Experiment.Load load)
            throws BadFileException {
        Fault.Kind what = t.choice("what", null, Fault.Kind.class);
        if (!t.has("at_s")) {
            throw t.bad("at_s", "nothing", "a number from 0 to " + durationS);
        }
        double at = t.number("at_s", 0, 0, durationS);
        double forS = 0;
        String target = "";
        String peer = "";
        double share = 0;
        double factor = 0;
        int keys = 0;
        for (Fault.Key key : what.keys()) {
            String word = key.name().toLowerCase(java.util.Locale.ROOT);
            if (!t.has(word)) {
                throw t.bad(word, "nothing", "a value, as " + what.word() + " needs it");
            }
            switch (key) {
                case FOR_S -> forS = t.number(word, 0, 0.01, DAY_S);
                case SHARE -> share = t.number(word, 0, 0, 1);
                case FACTOR -> factor = t.number(word, 1, 0.01, 1000);
                case KEYS -> keys = t.whole(word, 1, 1, 1000);
                case ZONE -> target = among(t, word, fleet.zones());
                case CLASS ->
                        target =
                                among(
                                        t,
                                        word,
                                        load.classes().stream()
                                                .map(Experiment.Class::name)
                                                .toList());
                case NODE ->
                        target =
                                what == Fault.Kind.NODE_START
                                        ? spare(t, word, fleet)
                                        : node(t, word, fleet);
                case PROXY -> target = numbered(t, word, "proxy-", proxies.count(), false);
                case PEER -> peer = numbered(t, word, "proxy-", proxies.count(), false);
            }
        }
        t.done();
        return new Fault(what, at, forS, target, share, factor, keys, peer);
    }

    private static String among(Toml.Table t, String key, List<String> words)
            throws BadFileException {
        String found = t.text(key, "");
        if (!words.contains(found)) {
            throw t.bad(key, '"' + found + '"', "one of " + String.join(", ", words));
        }
        return found;
    }

    /** A zone's name stands for all its nodes. */
    private static String node(Toml.Table t, String key, Experiment.Fleet fleet)
            throws BadFileException {
        String found = t.text(key, "");
        return fleet.zones().contains(found)
                ? found
                : numbered(t, key, "node-", fleet.nodes(), true);
    }

    private static String spare(Toml.Table t, String key, Experiment.Fleet fleet)
            throws BadFileException {
        String found = t.text(key, "");
        int all = fleet.nodes() + fleet.spares();
        if (!named(found, "node-", fleet.nodes(), all)) {
            throw t.bad(
                    key,
                    '"' + found + '"',
                    fleet.spares() == 0
                            ? "nothing, as fleet.spares is 0"
                            : "node-" + fleet.nodes() + " to node-" + (all - 1));
        }
        return found;
    }

    /** Evenly over the fault's time, a spare starts and the node whose place it takes drains. */
    private static List<Fault> replacements(Toml.Table t, Fault all, Experiment.Fleet fleet)
            throws BadFileException {
        List<Integer> struck =
                IntStream.range(0, fleet.nodes())
                        .filter(
                                i ->
                                        all.strikesNode(
                                                i, fleet.zones().get(fleet.zone(i)), fleet.nodes()))
                        .boxed()
                        .toList();
        if (struck.size() > fleet.spares()) {
            throw t.bad(
                    "node", all.label(), "at most fleet.spares nodes, which is " + fleet.spares());
        }
        List<Fault> made = new ArrayList<>();
        for (int i = 0; i < struck.size(); i++) {
            double at = all.atS() + all.forS() * i / struck.size();
            made.add(
                    new Fault(
                            Fault.Kind.NODE_START, at, 0, "node-" + (fleet.nodes() + i), 0, 0, 0));
            made.add(
                    new Fault(
                            Fault.Kind.NODE_DRAIN, at, LEAVES_S, "node-" + struck.get(i), 0, 0, 0));
        }
        return made;
    }

    private static String numbered(
            Toml.Table t, String key, String prefix, int count, boolean origin)
            throws BadFileException {
        String found = t.text(key, "");
        boolean good =
                found.equals("*")
                        || PART.matcher(found).matches()
                        || origin && found.equals("origin");
        if (!good && !named(found, prefix, 0, count)) {
            throw t.bad(
                    key,
                    '"' + found + '"',
                    "*, 1% to 99%, "
                            + (origin ? "origin, " : "")
                            + prefix
                            + "0 to "
                            + prefix
                            + (count - 1));
        }
        return found;
    }

    private static boolean named(String found, String prefix, int from, int to) {
        return IntStream.range(from, to).anyMatch(i -> found.equals(prefix + i));
    }

    /** One {@code [[expect]]}: a figure and its bounds. */
    public static Experiment.Expect expect(Toml.Table t) throws BadFileException {
        String figure = t.text("figure", "");
        if (!FIGURE.matcher(figure).matches()) {
            throw t.bad("figure", '"' + figure + '"', "a figure's dotted name, as served.worth");
        }
        if (!t.has("min") && !t.has("max")) {
            throw t.bad("min", "nothing", "min, max or both");
        }
        double min = t.has("min") ? t.number("min", 0, -1e12, 1e12) : Double.NEGATIVE_INFINITY;
        double max = t.has("max") ? t.number("max", 0, -1e12, 1e12) : Double.POSITIVE_INFINITY;
        if (min > max) {
            throw t.bad("min", String.valueOf(min), "at most max, which is " + max);
        }
        t.done();
        return new Experiment.Expect(figure, min, max);
    }
}
