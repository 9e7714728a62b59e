package cacheproxy.lab.load;

import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The plain front: deals requests out over the proxies in service in a zone, or over all where that
 * zone has none; in turn, or by chance where they have uneven shares.
 */
public final class Front {

    private final List<Integer> zones;
    private final boolean[] inService;

    /** What each proxy gets in relation to the others; empty where they take turns. */
    private final double[] shares;

    private final RandomGenerator random;
    private int turn;

    private Front(List<Integer> zones, double[] shares, RandomGenerator random) {
        this.zones = zones;
        this.inService = new boolean[zones.size()];
        this.shares = shares;
        this.random = random;
    }

    /**
     * {@code zones} holds each proxy's zone, by its number. Shares are drawn evenly on a
     * logarithmic scale.
     */
    public static Front of(Experiment experiment, List<Integer> zones) {
        double[] range = experiment.load().proxyShares();
        RandomGenerator random = Draw.generator(experiment.seed(), Draw.Stream.SHARES);
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
        return new Front(zones, shares, random);
    }

    public void inService(int proxy, boolean on) {
        inService[proxy] = on;
    }

    /** The next proxy for a client of a zone, or -1 where none is in service. */
    public int pick(int zone) {
        if (shares.length > 0) {
            int near = draw(zone, false);
            return near >= 0 ? near : draw(zone, true);
        }
        for (boolean anywhere : new boolean[] {false, true}) {
            for (int i = 0; i < inService.length; i++) {
                int proxy = Math.floorMod(turn + i, inService.length);
                if (inService[proxy] && (anywhere || zones.get(proxy) == zone)) {
                    turn = proxy + 1;
                    return proxy;
                }
            }
        }
        return -1;
    }

    private int draw(int zone, boolean anywhere) {
        double all = 0;
        int drawn = -1;
        for (int i = 0; i < shares.length; i++) {
            if (inService[i] && (anywhere || zones.get(i) == zone)) {
                all += shares[i];
                // Each in turn takes the place of those before it by its part of all so far.
                drawn = random.nextDouble() * all < shares[i] ? i : drawn;
            }
        }
        return drawn;
    }
}
