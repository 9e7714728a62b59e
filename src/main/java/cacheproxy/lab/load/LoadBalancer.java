package cacheproxy.lab.load;

import cacheproxy.lab.Experiment;
import cacheproxy.lab.ScenarioGenerator;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The load balancer in front of the proxies. It distributes requests over the proxies in service in
 * the client's zone, or over all proxies in service if that zone has none: round-robin, or at
 * random by weight if the proxies have unequal shares.
 */
public final class LoadBalancer {

    private final List<Integer> zones;
    private final boolean[] inService;

    /** Relative share of traffic of each proxy; empty for round-robin. */
    private final double[] shares;

    private final RandomGenerator random;
    private int nextIndex;

    private LoadBalancer(List<Integer> zones, double[] shares, RandomGenerator random) {
        this.zones = zones;
        this.inService = new boolean[zones.size()];
        this.shares = shares;
        this.random = random;
    }

    /**
     * Creates the load balancer of an experiment. Unequal shares are distributed uniformly on a
     * logarithmic scale.
     *
     * @param zones the zone index of each proxy, by its number
     */
    public static LoadBalancer of(Experiment experiment, List<Integer> zones) {
        double[] range = experiment.load().proxyShares();
        RandomGenerator random =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.SHARES);
        double[] shares =
                range[0] == range[1]
                        ? new double[0]
                        : zones.stream()
                                .mapToDouble(
                                        z ->
                                                range[0]
                                                        * Math.pow(
                                                                range[1] / range[0],
                                                                random.nextDouble()))
                                .toArray();
        return new LoadBalancer(zones, shares, random);
    }

    public void setInService(int proxy, boolean on) {
        inService[proxy] = on;
    }

    /** Returns the next proxy for a client in a zone, or -1 if none is in service. */
    public int pick(int zone) {
        if (shares.length > 0) {
            int near = draw(zone, false);
            return near >= 0 ? near : draw(zone, true);
        }
        for (boolean anywhere : new boolean[] {false, true}) {
            for (int i = 0; i < inService.length; i++) {
                int proxy = Math.floorMod(nextIndex + i, inService.length);
                if (inService[proxy] && (anywhere || zones.get(proxy) == zone)) {
                    nextIndex = proxy + 1;
                    return proxy;
                }
            }
        }
        return -1;
    }

    private int draw(int zone, boolean anywhere) {
        double totalShare = 0;
        int chosen = -1;
        for (int i = 0; i < shares.length; i++) {
            if (inService[i] && (anywhere || zones.get(i) == zone)) {
                totalShare += shares[i];
                // Weighted reservoir sampling: replaces the choice with probability share / total.
                chosen = random.nextDouble() * totalShare < shares[i] ? i : chosen;
            }
        }
        return chosen;
    }
}
