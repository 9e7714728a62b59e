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
 * Generates a random installation within an experiment's ranges. Each aspect has its own random
 * stream, so that changing how one aspect is generated leaves the others unchanged.
 */
public final class ScenarioGenerator {

    private static final double MS_PER_S = 1000;

    /**
     * The independent random streams derived from one seed. The ordinal is part of each stream's
     * seed: append new constants at the end.
     */
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

    /** Returns a new generator for one stream of a seed. */
    public static RandomGenerator randomGenerator(long seed, RandomStream stream) {
        return new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), stream.ordinal()});
    }

    static double uniform(double[] range, RandomGenerator random) {
        return range[0] + (range[1] - range[0]) * random.nextDouble();
    }

    /** Returns the installation for the experiment's seed; equal experiments give equal results. */
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
        // fleet.kept is the total memory of all nodes as a fraction of the bytes of all values.
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

    /**
     * Returns the limits on the load of nodes that are warming up.
     *
     * @param meanReadMs mean work of a read of the planned load, in core-milliseconds
     */
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
