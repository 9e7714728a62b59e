package cacheproxy.lab;

import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.Installation.NodeSpec;
import cacheproxy.lab.world.Machine;
import cacheproxy.lab.world.SlowStartAllowance;
import cacheproxy.lab.world.World;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Draws one installation from an experiment's ranges. Each matter has a generator of its own, so
 * that a change of one leaves the others.
 */
public final class ScenarioGenerator {

    private static final double MS_PER_S = 1000;

    /** Numbers of the streams that one seed is split into. */
    public enum RandomStream {
        FLEET,
        ARRIVALS,
        KEYS,
        WORK,
        CLIENTS,
        WORLD,
        HOSTILE,
        STORES,
        FAULTS,
        GOSSIP,
        POOLS,
        POLICY,
        SHARES
    }

    private ScenarioGenerator() {}

    public static RandomGenerator randomGenerator(long seed, RandomStream stream) {
        return new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), stream.ordinal()});
    }

    static double uniform(double[] range, RandomGenerator random) {
        return range[0] + (range[1] - range[0]) * random.nextDouble();
    }

    /** The installation of a seed; the same for the same experiment and seed. */
    public static Installation installation(Experiment experiment) {
        RandomGenerator random = randomGenerator(experiment.seed(), RandomStream.FLEET);
        Experiment.Fleet fleet = experiment.fleet();
        int zones = fleet.zones().size();
        double[][] links = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            links[a][a] = fleet.localMs();
            for (int b = 0; b < a; b++) {
                links[a][b] = uniform(fleet.linkMs(), random);
                links[b][a] = links[a][b];
            }
        }
        // All copies of one pooled cache's worth: the nodes together hold this part of all bytes.
        double dataBytes = 0.5 * (fleet.bytes()[0] + fleet.bytes()[1]) * fleet.keys();
        long memoryBytes = (long) Math.max(1, fleet.kept() * dataBytes / fleet.nodes());
        List<NodeSpec> nodes = new ArrayList<>();
        for (int i = 0; i < fleet.nodes() + fleet.spares(); i++) {
            Experiment.Kind kind = pickKind(fleet.kinds(), random.nextDouble());
            nodes.add(
                    new NodeSpec(
                            "node-" + i,
                            kind.name(),
                            fleet.zoneIndex(i),
                            machineSpec(kind, random),
                            memoryBytes,
                            fleet.missWorkMs(),
                            fleet.handshakeMs(),
                            fleet.connections(),
                            fleet.errorShare()));
        }
        Experiment.Origin originRanges = experiment.origin();
        Installation.OriginSpec origin =
                new Installation.OriginSpec(
                        "origin",
                        0,
                        new Machine.MachineSpec(
                                originRanges.cores(),
                                originRanges.speed(),
                                originRanges.slots(),
                                originRanges.room(),
                                1,
                                0,
                                0),
                        originRanges.fetchShare(),
                        originRanges.writeTimes(),
                        originRanges.fallMultiple(),
                        originRanges.fallS() * MS_PER_S,
                        toMs(originRanges.downS()),
                        fleet.handshakeMs(),
                        originRanges.connections());
        List<Integer> proxyZones = new ArrayList<>();
        for (int i = 0; i < experiment.proxies().count(); i++) {
            proxyZones.add(i % zones);
        }
        return new Installation(
                fleet.zones(),
                links,
                nodes.subList(0, fleet.nodes()),
                nodes.subList(fleet.nodes(), nodes.size()),
                origin,
                proxyZones,
                new Installation.DiscoverySpec(
                        toMs(experiment.discovery().delayS()),
                        toMs(experiment.discovery().weightS()),
                        MS_PER_S / experiment.discovery().listsPerS()),
                new Installation.DataSpec(fleet.keys(), fleet.bytes(), fleet.ttlS() * MS_PER_S));
    }

    /** What the world does with a cold node, by the load's {@code meanReadMs}. */
    public static World.Limits limits(Experiment experiment, double meanReadMs) {
        Experiment.Rules rules = experiment.rules();
        return new World.Limits(
                new SlowStartAllowance(
                        rules.coldMultiple(),
                        rules.coldWindowMs(),
                        experiment.fleet().slowStartInitialFraction(),
                        experiment.fleet().slowStartMs(),
                        meanReadMs),
                rules.coldFalls());
    }

    private static double[] toMs(double[] seconds) {
        return new double[] {seconds[0] * MS_PER_S, seconds[1] * MS_PER_S};
    }

    private static Experiment.Kind pickKind(List<Experiment.Kind> kinds, double uniform) {
        double totalShare = kinds.stream().mapToDouble(Experiment.Kind::share).sum();
        double cumulativeShare = 0;
        for (Experiment.Kind kind : kinds) {
            cumulativeShare += kind.share() / totalShare;
            if (uniform < cumulativeShare) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static Machine.MachineSpec machineSpec(Experiment.Kind kind, RandomGenerator random) {
        return new Machine.MachineSpec(
                kind.cores(),
                uniform(kind.speed(), random),
                kind.slots(),
                kind.room(),
                uniform(kind.coldFrom(), random),
                kind.coldS() * MS_PER_S,
                kind.crowding());
    }
}
