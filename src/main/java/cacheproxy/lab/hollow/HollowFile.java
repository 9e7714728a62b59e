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

/** Reads a scale test's TOML. Everything is checked before anything starts. */
final class HollowFile {

    private static final int MOST_PROXIES = 2000;
    private static final int MOST_PROCESSES = 16;

    /** Two entries each; the log refuses changes after 19,000. */
    private static final int MOST_PAST = 9500;

    private static final double MOST_S = 600;
    private static final double MOST_MS = 60_000;
    private static final int LEAST_BYTES = 4096;
    private static final int MOST_BYTES = 1 << 20;
    private static final String AREA = "\\*|(site|zone|region|proxy|control)-\\d{1,4}";

    private HollowFile() {}

    static HollowExperiment read(Path file, Map<String, String> set) throws BadFileException {
        Toml toml = Toml.read(file);
        for (Map.Entry<String, String> e : set.entrySet()) {
            toml.set(e.getKey(), e.getValue());
        }
        Toml.Table root = toml.root();
        String name = root.text("name", null);
        if (name == null || !name.matches("[a-z0-9-]{1,60}")) {
            throw root.bad(
                    "name",
                    name == null ? "nothing" : '"' + name + '"',
                    "1 to 60 of a to z, 0 to 9 and -");
        }
        double durationS = root.number("duration_s", 20, 1, MOST_S);
        HollowExperiment.Fleet fleet = fleet(root.table("fleet"));
        Toml.Table talk = root.table("gossip");
        HollowExperiment.Gossip gossip =
                new HollowExperiment.Gossip(
                        talk.flag("enabled", true),
                        talk.whole("bytes_per_s", LEAST_BYTES, LEAST_BYTES, MOST_BYTES),
                        talk.whole("verifications_per_s", 200, 10, 10_000));
        talk.done();
        Toml.Table change = root.table("policy");
        HollowExperiment.Policy policy =
                new HollowExperiment.Policy(
                        change.flag("enabled", false),
                        change.whole("changes", 0, 0, 10_000),
                        change.number("every_ms", 100, 0, MOST_MS),
                        change.whole("past_epochs", 0, 0, MOST_PAST));
        if (policy.enabled() && !Set.of(3, 5, 7).contains(fleet.control())) {
            throw change.bad(
                    "enabled",
                    "true with " + fleet.control() + " control machines",
                    "true with 3, 5 or 7, as all of them vote");
        }
        if (!policy.enabled() && policy.changes() + policy.pastEpochs() > 0) {
            throw change.bad(
                    policy.changes() > 0 ? "changes" : "past_epochs",
                    "some",
                    "none without policy.enabled");
        }
        change.done();
        Toml.Table way = root.table("links");
        HollowExperiment.Links links =
                new HollowExperiment.Links(four(way, "delay_ms", MOST_MS), four(way, "loss", 1));
        way.done();
        List<HollowExperiment.Fault> faults = new ArrayList<>();
        for (Toml.Table t : root.tables("fault")) {
            faults.add(fault(t, durationS, fleet));
        }
        List<HollowExperiment.Measure> slopes = new ArrayList<>();
        for (Toml.Table t : root.tables("slope")) {
            slopes.add(
                    new HollowExperiment.Measure(
                            figures(t),
                            t.number("times", 1, 1e-9, 1e9),
                            t.choice("role", null, Slope.Role.class),
                            named(t, "name"),
                            named(t, "unit")));
            t.done();
        }
        List<Experiment.Expect> expects = new ArrayList<>();
        for (Toml.Table t : root.tables("expect")) {
            expects.add(ExperimentFile.expect(t));
        }
        HollowExperiment experiment =
                new HollowExperiment(
                        file.toString(),
                        name,
                        root.text("about", ""),
                        root.whole("seed", 1, 0, Integer.MAX_VALUE),
                        root.number("settle_s", 20, 0, MOST_S),
                        root.number("calm_s", 0, 0, MOST_S),
                        durationS,
                        root.whole("runs", 1, 1, 10),
                        fleet,
                        gossip,
                        policy,
                        links,
                        List.copyOf(faults),
                        List.copyOf(slopes),
                        List.copyOf(expects));
        root.done();
        return experiment;
    }

    private static List<String> figures(Toml.Table t) throws BadFileException {
        List<String> figures = t.texts("figures", List.of());
        if (figures.isEmpty()) {
            throw t.bad("figures", "none", "a list of one or more figures' dotted names");
        }
        return figures;
    }

    private static HollowExperiment.Fleet fleet(Toml.Table t) throws BadFileException {
        List<Integer> sizes =
                t.numbers("proxies", 1, MOST_PROXIES).stream().map(Double::intValue).toList();
        for (int i = 1; i < sizes.size(); i++) {
            if (sizes.get(i) <= sizes.get(i - 1)) {
                throw t.bad("proxies", sizes.toString(), "sizes that rise");
            }
        }
        if (sizes.isEmpty()) {
            throw t.bad("proxies", "[]", "one size or more");
        }
        HollowExperiment.Fleet fleet =
                new HollowExperiment.Fleet(
                        sizes,
                        t.whole("processes", 8, 1, MOST_PROCESSES),
                        t.whole("control", 3, 0, 7),
                        t.whole("sites", 36, 1, MOST_PROXIES),
                        t.whole("zones", 14, 1, MOST_PROXIES),
                        t.whole("regions", 4, 1, MOST_PROXIES));
        t.done();
        return fleet;
    }

    /** One number for each distance; all 0 where there is none. */
    private static List<Double> four(Toml.Table t, String key, double most)
            throws BadFileException {
        if (!t.has(key)) {
            return List.of(0.0, 0.0, 0.0, 0.0);
        }
        List<Double> found = t.numbers(key, 0, most);
        if (found.size() != Place.Distance.values().length) {
            throw t.bad(
                    key,
                    found.toString(),
                    "four numbers: for the same site, zone and region, and between regions");
        }
        return found;
    }

    private static HollowExperiment.Fault fault(
            Toml.Table t, double durationS, HollowExperiment.Fleet fleet) throws BadFileException {
        HollowExperiment.Kind what = t.choice("what", null, HollowExperiment.Kind.class);
        double atS = t.number("at_s", 0, 0, durationS);
        double forS = t.number("for_s", durationS - atS, 0.1, MOST_S);
        boolean kill = what == HollowExperiment.Kind.CONTROL_KILL;
        boolean cut = what == HollowExperiment.Kind.CUT;
        HollowExperiment.Fault fault =
                new HollowExperiment.Fault(
                        what,
                        atS,
                        forS,
                        kill ? t.whole("control", 0, 0, Math.max(0, fleet.control() - 1)) : 0,
                        what == HollowExperiment.Kind.PROXY_REPLACE
                                ? t.whole("count", 1, 1, MOST_PROXIES)
                                : 0,
                        cut ? area(t, "from") : "",
                        cut ? area(t, "to") : "",
                        cut && t.flag("both", true));
        t.done();
        return fault;
    }

    private static String area(Toml.Table t, String key) throws BadFileException {
        String found = named(t, key);
        if (!found.matches(AREA)) {
            throw t.bad(
                    key,
                    '"' + found + '"',
                    "*, or site-, zone-, region-, proxy- or control- and a number");
        }
        return found;
    }

    private static String named(Toml.Table t, String key) throws BadFileException {
        String found = t.text(key, null);
        if (found == null) {
            throw t.bad(key, "nothing", "a text");
        }
        return found;
    }
}
