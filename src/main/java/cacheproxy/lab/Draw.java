package cacheproxy.lab;

import cacheproxy.lab.world.ColdAllowance;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.Installation.NodeMake;
import cacheproxy.lab.world.Machine;
import cacheproxy.lab.world.World;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Draws one installation from an experiment's ranges. Each matter has a generator of its own, so
 * that a change of one leaves the others.
 */
public final class Draw {

    private static final double S = 1000;

    /** Numbers of the streams that one seed is split into. */
    public enum Stream {
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

    private Draw() {}

    public static RandomGenerator generator(long seed, Stream stream) {
        return new Well19937c(new int[] {(int) seed, (int) (seed >>> 32), stream.ordinal()});
    }

    static double within(double[] range, RandomGenerator random) {
        return range[0] + (range[1] - range[0]) * random.nextDouble();
    }

    /** The installation of a seed; the same for the same experiment and seed. */
    public static Installation installation(Experiment e) {
        RandomGenerator random = generator(e.seed(), Stream.FLEET);
        Experiment.Fleet fleet = e.fleet();
        int zones = fleet.zones().size();
        double[][] links = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            links[a][a] = fleet.localMs();
            for (int b = 0; b < a; b++) {
                links[a][b] = within(fleet.linkMs(), random);
                links[b][a] = links[a][b];
            }
        }
        // All copies of one pooled cache's worth: the nodes together hold this part of all bytes.
        double bytes = 0.5 * (fleet.bytes()[0] + fleet.bytes()[1]) * fleet.keys();
        long memory = (long) Math.max(1, fleet.kept() * bytes / fleet.nodes());
        List<NodeMake> nodes = new ArrayList<>();
        for (int i = 0; i < fleet.nodes() + fleet.spares(); i++) {
            Experiment.Kind kind = kind(fleet.kinds(), random.nextDouble());
            nodes.add(
                    new NodeMake(
                            "node-" + i,
                            kind.name(),
                            fleet.zone(i),
                            machine(kind, random),
                            memory,
                            fleet.missWorkMs(),
                            fleet.handshakeMs(),
                            fleet.connections(),
                            fleet.errorShare()));
        }
        Experiment.Origin o = e.origin();
        Installation.OriginMake origin =
                new Installation.OriginMake(
                        "origin",
                        0,
                        new Machine.Make(o.cores(), o.speed(), o.slots(), o.room(), 1, 0, 0),
                        o.fetchShare(),
                        o.writeTimes(),
                        o.fallMultiple(),
                        o.fallS() * S,
                        ms(o.downS()),
                        fleet.handshakeMs(),
                        o.connections());
        List<Integer> proxyZones = new ArrayList<>();
        for (int i = 0; i < e.proxies().count(); i++) {
            proxyZones.add(i % zones);
        }
        return new Installation(
                fleet.zones(),
                links,
                nodes.subList(0, fleet.nodes()),
                nodes.subList(fleet.nodes(), nodes.size()),
                origin,
                proxyZones,
                new Installation.Roster(
                        ms(e.discovery().delayS()),
                        ms(e.discovery().weightS()),
                        S / e.discovery().listsPerS()),
                new Installation.Storing(fleet.keys(), fleet.bytes(), fleet.ttlS() * S));
    }

    /** What the world does with a cold node, by the load's {@code meanReadMs}. */
    public static World.Limits limits(Experiment e, double meanReadMs) {
        Experiment.Rules rules = e.rules();
        return new World.Limits(
                new ColdAllowance(
                        rules.coldMultiple(),
                        rules.coldWindowMs(),
                        e.fleet().coldFrom(),
                        e.fleet().coldMs(),
                        meanReadMs),
                rules.coldFalls());
    }

    private static double[] ms(double[] seconds) {
        return new double[] {seconds[0] * S, seconds[1] * S};
    }

    private static Experiment.Kind kind(List<Experiment.Kind> kinds, double u) {
        double all = kinds.stream().mapToDouble(Experiment.Kind::share).sum();
        double passed = 0;
        for (Experiment.Kind kind : kinds) {
            passed += kind.share() / all;
            if (u < passed) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private static Machine.Make machine(Experiment.Kind kind, RandomGenerator random) {
        return new Machine.Make(
                kind.cores(),
                within(kind.speed(), random),
                kind.slots(),
                kind.room(),
                within(kind.coldFrom(), random),
                kind.coldS() * S,
                kind.crowding());
    }
}
