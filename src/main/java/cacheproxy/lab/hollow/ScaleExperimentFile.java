package cacheproxy.lab.hollow;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.capacity.Slope;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads the TOML file of a scale test and validates it completely before anything starts. */
final class ScaleExperimentFile {

    private static final int MAX_PROXIES = 2000;
    private static final int MAX_PROCESSES = 16;

    /** Each epoch takes two log entries, and the log rejects changes after 19,000 entries. */
    private static final int MAX_PAST_EPOCHS = 9500;

    private static final double MAX_S = 600;
    private static final double MAX_MS = 60_000;
    private static final int MIN_GOSSIP_BYTES_PER_S = 4096;
    private static final int MAX_GOSSIP_BYTES_PER_S = 1 << 20;
    private static final String AREA_PATTERN = "\\*|(site|zone|region|proxy|control)-\\d{1,4}";

    private ScaleExperimentFile() {}

    static ScaleExperiment read(Path file, Map<String, String> overrides) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> override : overrides.entrySet()) {
            toml.set(override.getKey(), override.getValue());
        }
        Toml.Table root = toml.root();
        String name = root.string("name", null);
        if (name == null || !name.matches("[a-z0-9-]{1,60}")) {
            throw root.invalidValue(
                    "name",
                    name == null ? "nothing" : '"' + name + '"',
                    "1 to 60 of a to z, 0 to 9 and -");
        }
        double durationS = root.number("duration_s", 20, 1, MAX_S);
        ScaleExperiment.Fleet fleet = fleet(root.table("fleet"));
        Toml.Table gossipTable = root.table("gossip");
        ScaleExperiment.Gossip gossip =
                new ScaleExperiment.Gossip(
                        gossipTable.bool("enabled", true),
                        gossipTable.integer(
                                "bytes_per_s",
                                MIN_GOSSIP_BYTES_PER_S,
                                MIN_GOSSIP_BYTES_PER_S,
                                MAX_GOSSIP_BYTES_PER_S),
                        gossipTable.integer("verifications_per_s", 200, 10, 10_000));
        gossipTable.rejectUnknownKeys();
        Toml.Table policyTable = root.table("policy");
        ScaleExperiment.Policy policy =
                new ScaleExperiment.Policy(
                        policyTable.bool("enabled", false),
                        policyTable.integer("changes", 0, 0, 10_000),
                        policyTable.number("every_ms", 100, 0, MAX_MS),
                        policyTable.integer("past_epochs", 0, 0, MAX_PAST_EPOCHS));
        if (policy.enabled() && !Set.of(3, 5, 7).contains(fleet.control())) {
            throw policyTable.invalidValue(
                    "enabled",
                    "true with " + fleet.control() + " control machines",
                    "true with 3, 5 or 7 control machines, as each is a voter");
        }
        if (!policy.enabled() && policy.changes() + policy.pastEpochs() > 0) {
            throw policyTable.invalidValue(
                    policy.changes() > 0 ? "changes" : "past_epochs",
                    "a number above 0",
                    "0 unless policy.enabled is true");
        }
        policyTable.rejectUnknownKeys();
        Toml.Table linksTable = root.table("links");
        ScaleExperiment.Links links =
                new ScaleExperiment.Links(
                        numbersPerDistance(linksTable, "delay_ms", MAX_MS),
                        numbersPerDistance(linksTable, "loss", 1));
        linksTable.rejectUnknownKeys();
        List<ScaleExperiment.Fault> faults = new ArrayList<>();
        for (Toml.Table table : root.tables("fault")) {
            faults.add(fault(table, durationS, fleet));
        }
        List<ScaleExperiment.SlopeDefinition> slopes = new ArrayList<>();
        for (Toml.Table table : root.tables("slope")) {
            slopes.add(
                    new ScaleExperiment.SlopeDefinition(
                            figures(table),
                            table.number("times", 1, 1e-9, 1e9),
                            table.enumValue("role", null, Slope.Role.class),
                            requiredString(table, "name"),
                            requiredString(table, "unit")));
            table.rejectUnknownKeys();
        }
        List<Experiment.Expect> expects = new ArrayList<>();
        for (Toml.Table table : root.tables("expect")) {
            expects.add(ExperimentFile.expect(table));
        }
        ScaleExperiment experiment =
                new ScaleExperiment(
                        file.toString(),
                        name,
                        root.string("about", ""),
                        root.integer("seed", 1, 0, Integer.MAX_VALUE),
                        root.number("settle_s", 20, 0, MAX_S),
                        root.number("calm_s", 0, 0, MAX_S),
                        durationS,
                        root.integer("runs", 1, 1, 10),
                        fleet,
                        gossip,
                        policy,
                        links,
                        List.copyOf(faults),
                        List.copyOf(slopes),
                        List.copyOf(expects));
        root.rejectUnknownKeys();
        return experiment;
    }

    private static List<String> figures(Toml.Table table) throws BadFileException {
        List<String> figures = table.strings("figures", List.of());
        if (figures.isEmpty()) {
            throw table.invalidValue(
                    "figures", "none", "a list of at least one dotted figure name");
        }
        return figures;
    }

    private static ScaleExperiment.Fleet fleet(Toml.Table table) throws BadFileException {
        List<Integer> sizes =
                table.numbers("proxies", 1, MAX_PROXIES).stream().map(Double::intValue).toList();
        for (int i = 1; i < sizes.size(); i++) {
            if (sizes.get(i) <= sizes.get(i - 1)) {
                throw table.invalidValue("proxies", sizes.toString(), "sizes in ascending order");
            }
        }
        if (sizes.isEmpty()) {
            throw table.invalidValue("proxies", "[]", "at least one size");
        }
        ScaleExperiment.Fleet fleet =
                new ScaleExperiment.Fleet(
                        sizes,
                        table.integer("processes", 8, 1, MAX_PROCESSES),
                        table.integer("control", 3, 0, 7),
                        table.integer("sites", 36, 1, MAX_PROXIES),
                        table.integer("zones", 14, 1, MAX_PROXIES),
                        table.integer("regions", 4, 1, MAX_PROXIES));
        table.rejectUnknownKeys();
        return fleet;
    }

    /** Reads one number for each distance; all are 0 if the key is absent. */
    private static List<Double> numbersPerDistance(Toml.Table table, String key, double max)
            throws BadFileException {
        if (!table.has(key)) {
            return List.of(0.0, 0.0, 0.0, 0.0);
        }
        List<Double> numbers = table.numbers(key, 0, max);
        if (numbers.size() != PlaneLocation.Distance.values().length) {
            throw table.invalidValue(
                    key,
                    numbers.toString(),
                    "four numbers: for the same site, zone and region, and between regions");
        }
        return numbers;
    }

    private static ScaleExperiment.Fault fault(
            Toml.Table table, double durationS, ScaleExperiment.Fleet fleet)
            throws BadFileException {
        ScaleExperiment.Kind kind = table.enumValue("what", null, ScaleExperiment.Kind.class);
        double atS = table.number("at_s", 0, 0, durationS);
        double faultDurationS = table.number("for_s", durationS - atS, 0.1, MAX_S);
        boolean kill = kind == ScaleExperiment.Kind.CONTROL_KILL;
        boolean cut = kind == ScaleExperiment.Kind.CUT;
        ScaleExperiment.Fault fault =
                new ScaleExperiment.Fault(
                        kind,
                        atS,
                        faultDurationS,
                        kill ? table.integer("control", 0, 0, Math.max(0, fleet.control() - 1)) : 0,
                        kind == ScaleExperiment.Kind.PROXY_REPLACE
                                ? table.integer("count", 1, 1, MAX_PROXIES)
                                : 0,
                        cut ? area(table, "from") : "",
                        cut ? area(table, "to") : "",
                        cut && table.bool("both", true));
        table.rejectUnknownKeys();
        return fault;
    }

    private static String area(Toml.Table table, String key) throws BadFileException {
        String area = requiredString(table, key);
        if (!area.matches(AREA_PATTERN)) {
            throw table.invalidValue(
                    key,
                    '"' + area + '"',
                    "*, or site-, zone-, region-, proxy- or control- and a number");
        }
        return area;
    }

    private static String requiredString(Toml.Table table, String key) throws BadFileException {
        String value = table.string(key, null);
        if (value == null) {
            throw table.invalidValue(key, "nothing", "a text");
        }
        return value;
    }
}
