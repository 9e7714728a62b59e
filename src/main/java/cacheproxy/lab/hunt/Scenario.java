package cacheproxy.lab.hunt;

import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.Fault.Kind;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;

/** A random scenario, small enough to be written to a file and to be reduced step by step. */
public record Scenario(
        int nodes,
        int zones,
        int proxies,
        double loadFactor,
        int durationS,
        int seed,
        List<Fault> faults) {

    /** Kinds of fault to generate: those that change the installation and run in virtual time. */
    private static final List<Kind> KINDS =
            List.of(
                    Kind.NODE_KILL,
                    Kind.NODE_RESTART,
                    Kind.NODE_DRAIN,
                    Kind.NODE_SILENT,
                    Kind.NODE_SLOW,
                    Kind.NODE_ERRORS,
                    Kind.RESET_BEFORE,
                    Kind.RESET_AFTER,
                    Kind.HALF_ANSWER,
                    Kind.SPOILT_ANSWER,
                    Kind.ORIGIN_STALL,
                    Kind.ORIGIN_SLOW,
                    Kind.ZONE_CUT,
                    Kind.DISCOVERY_SILENT,
                    Kind.DISCOVERY_STALE,
                    Kind.MASS_VOIDING,
                    Kind.HOT_KEY,
                    Kind.BURST,
                    Kind.PROXY_KILL,
                    Kind.PROXY_TERM,
                    Kind.PROXY_STOP);

    /** Kinds that may affect the origin's connections and answers as well as a node's. */
    private static final Set<Kind> ORIGIN_KINDS =
            EnumSet.of(Kind.RESET_BEFORE, Kind.RESET_AFTER, Kind.HALF_ANSWER, Kind.SPOILT_ANSWER);

    private static final List<String> ZONES = List.of("a", "b", "c");

    /**
     * Requests per second that a node can serve: the core-milliseconds per second of two cores of
     * speed 1, divided by the mean work of a request.
     */
    private static final double REQUESTS_PER_S_PER_NODE = 2000 / 35.0;

    /** One in this many scenarios has overload. */
    private static final int SCENARIOS_PER_OVERLOAD = 6;

    private static final int FIRST_FAULT_S = 4;

    /** Time without faults at the end, in which service has to recover. */
    static final int RECOVERY_S = 14;

    public Scenario {
        faults = List.copyOf(faults);
    }

    static Scenario generate(RandomGenerator random) {
        int nodes = 2 + random.nextInt(9);
        int zones = 1 + random.nextInt(ZONES.size());
        int proxies = 1 + random.nextInt(4);
        int durationS = FIRST_FAULT_S + RECOVERY_S + 4 + random.nextInt(10);
        List<Fault> faults = new ArrayList<>();
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            Kind kind = KINDS.get(random.nextInt(KINDS.size()));
            double atS = FIRST_FAULT_S + random.nextInt(durationS - FIRST_FAULT_S - RECOVERY_S);
            double lengthS = 0.5 + random.nextInt(16) / 2.0;
            double share = (1 + random.nextInt(10)) / 10.0;
            double factor = kind == Kind.BURST ? 1.5 + random.nextInt(3) : 2 + random.nextInt(8);
            boolean atOrigin = random.nextInt(4) == 0 && ORIGIN_KINDS.contains(kind);
            String target =
                    atOrigin
                            ? "origin"
                            : kind.keys().contains(Fault.Key.NODE)
                                    ? "node-" + random.nextInt(nodes)
                                    : kind.keys().contains(Fault.Key.PROXY)
                                            ? "proxy-" + random.nextInt(proxies)
                                            : kind.keys().contains(Fault.Key.ZONE)
                                                    ? ZONES.get(random.nextInt(zones))
                                                    : "";
            faults.add(
                    new Fault(
                            kind,
                            atS,
                            Math.min(lengthS, durationS - RECOVERY_S - atS),
                            target,
                            share,
                            factor,
                            1 + random.nextInt(3)));
        }
        // Some scenarios offer far more than the capacity for their whole duration.
        double loadFactor =
                random.nextInt(SCENARIOS_PER_OVERLOAD) == 0
                        ? 1.5 + random.nextInt(4) / 2.0
                        : (2 + random.nextInt(7)) / 10.0;
        return new Scenario(
                nodes, zones, proxies, loadFactor, durationS, random.nextInt(1_000_000), faults);
    }

    /** Returns the number of requests per second, without retries. */
    double requestsPerS() {
        return Math.max(5, loadFactor * nodes * REQUESTS_PER_S_PER_NODE);
    }

    /** Returns an experiment file that runs this scenario. */
    String toml(String name, String about) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                """
                name = "%s"
                about = "%s"
                seed = %d
                duration_s = %d

                [fleet]
                nodes = %d
                zones = [%s]
                keys = 1000
                [[fleet.kind]]
                name = "std"
                cores = 2
                speed = 1

                [origin]
                cores = %d

                [proxies]
                count = %d

                [load]
                rate = %.1f
                """,
                                name,
                                about,
                                seed,
                                durationS,
                                nodes,
                                ZONES.subList(0, zones).stream()
                                        .map(z -> '"' + z + '"')
                                        .collect(java.util.stream.Collectors.joining(", ")),
                                Math.max(1, nodes / 2),
                                proxies,
                                requestsPerS()));
        for (Fault fault : faults) {
            text.append("\n[[fault]]\nwhat = \"")
                    .append(fault.kind().configName())
                    .append("\"\nat_s = ")
                    .append(fault.atS())
                    .append('\n');
            for (Fault.Key key : fault.kind().keys()) {
                text.append(key.name().toLowerCase(Locale.ROOT))
                        .append(" = ")
                        .append(
                                switch (key) {
                                    case FOR_S -> String.valueOf(Math.max(0.1, fault.forS()));
                                    case SHARE -> String.valueOf(fault.share());
                                    case FACTOR -> String.valueOf(fault.factor());
                                    case KEYS -> String.valueOf(fault.keys());
                                    case NODE, PROXY, ZONE, CLASS -> '"' + fault.target() + '"';
                                    case PEER -> '"' + fault.peer() + '"';
                                })
                        .append('\n');
            }
        }
        return text.toString();
    }

    /**
     * Returns scenarios that are reduced by one step, the largest steps first. Faults whose target
     * no longer exists are removed.
     */
    List<Scenario> reductions() {
        List<Scenario> reductions = new ArrayList<>();
        for (int i = 0; i < faults.size(); i++) {
            List<Fault> rest = new ArrayList<>(faults);
            rest.remove(i);
            reductions.add(new Scenario(nodes, zones, proxies, loadFactor, durationS, seed, rest));
        }
        for (int fewer : new int[] {nodes / 2, nodes - 1}) {
            if (fewer >= 1 && fewer < nodes) {
                reductions.add(
                        new Scenario(
                                fewer,
                                zones,
                                proxies,
                                loadFactor,
                                durationS,
                                seed,
                                faultsBelow("node-", fewer)));
            }
        }
        for (int fewer : new int[] {1, proxies - 1}) {
            if (fewer >= 1 && fewer < proxies) {
                reductions.add(
                        new Scenario(
                                nodes,
                                zones,
                                fewer,
                                loadFactor,
                                durationS,
                                seed,
                                faultsBelow("proxy-", fewer)));
            }
        }
        if (zones > 1 && faults.stream().noneMatch(f -> f.target().equals(ZONES.get(zones - 1)))) {
            reductions.add(
                    new Scenario(nodes, zones - 1, proxies, loadFactor, durationS, seed, faults));
        }
        int endS =
                (int)
                                Math.ceil(
                                        faults.stream()
                                                .mapToDouble(f -> f.atS() + f.forS())
                                                .max()
                                                .orElse(FIRST_FAULT_S))
                        + 1;
        for (int shorterS : new int[] {endS, durationS - 2}) {
            if (shorterS >= endS && shorterS < durationS) {
                reductions.add(
                        new Scenario(nodes, zones, proxies, loadFactor, shorterS, seed, faults));
            }
        }
        if (loadFactor > 0.1) {
            reductions.add(
                    new Scenario(
                            nodes,
                            zones,
                            proxies,
                            Math.round(5 * loadFactor) / 10.0,
                            durationS,
                            seed,
                            faults));
        }
        return reductions;
    }

    private List<Fault> faultsBelow(String prefix, int count) {
        return faults.stream()
                .filter(
                        f ->
                                !f.target().startsWith(prefix)
                                        || Integer.parseInt(f.target().substring(prefix.length()))
                                                < count)
                .toList();
    }
}
