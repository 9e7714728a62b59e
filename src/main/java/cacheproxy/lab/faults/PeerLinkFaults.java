package cacheproxy.lab.faults;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Faults on the links between proxies: cuts in one or both directions, partitions, and links that
 * lose, duplicate and delay packets. Both drivers apply it to the packets that they carry.
 */
public final class PeerLinkFaults {

    /** Number of proxies, counted from proxy-0, that are gossip seeds of all. */
    public static final int SEED_COUNT = 3;

    private static final double MAX_EXTRA_DELAY_MS = 400;
    private static final double[] NO_COPIES = {};

    /** Until a time, proxies in {@code to} receive nothing from proxies in {@code from}. */
    private record DirectionalCut(boolean[] to, boolean[] from, double until) {}

    private final RandomGenerator random;
    private final int proxies;
    private final List<DirectionalCut> directionalCuts = new ArrayList<>();
    private final double[] cutUntil;
    private final int[] partition;
    private double splitUntil;
    private double lossyUntil;
    private double lossShare;

    public PeerLinkFaults(int proxies, RandomGenerator random) {
        this.random = random;
        this.proxies = proxies;
        // One more than the number of proxies: a lying member that is not a proxy has links too.
        cutUntil = new double[proxies + 1];
        partition = new int[proxies + 1];
    }

    /** Begins a fault; returns false if it does not affect these links. */
    public boolean begin(Fault fault) {
        boolean[] affected = affectedProxies(fault);
        switch (fault.kind()) {
            case GOSSIP_LOSS -> {
                lossShare = fault.share();
                lossyUntil = fault.endMs();
            }
            case GOSSIP_SPLIT -> splitUntil = fault.endMs();
            case GOSSIP_DEAF, GOSSIP_MUTE, GOSSIP_ONEWAY -> {
                boolean[] others = new boolean[proxies + 1];
                for (int i = 0; i <= proxies; i++) {
                    others[i] =
                            fault.kind() == Fault.Kind.GOSSIP_ONEWAY
                                    ? fault.affectsPeer(i, proxies)
                                    : !affected[i];
                }
                boolean mute = fault.kind() == Fault.Kind.GOSSIP_MUTE;
                directionalCuts.add(
                        new DirectionalCut(
                                mute ? others : affected, mute ? affected : others, fault.endMs()));
                return true;
            }
            case GOSSIP_CUT -> {}
            default -> {
                return false;
            }
        }
        for (int i = 0; i < proxies; i++) {
            if (fault.kind() == Fault.Kind.GOSSIP_CUT && affected[i]) {
                cutUntil[i] = fault.endMs();
            } else if (fault.kind() == Fault.Kind.GOSSIP_SPLIT) {
                partition[i] = affected[i] ? 1 : 0;
            }
        }
        return true;
    }

    private boolean[] affectedProxies(Fault fault) {
        boolean[] affected = new boolean[proxies + 1];
        for (int i = 0; i < proxies; i++) {
            affected[i] = !fault.target().isEmpty() && fault.affects("proxy-", i, proxies);
        }
        return affected;
    }

    /** Whether nothing gets through from one proxy to another at a time. */
    public boolean isCut(int from, int to, double now) {
        return now < cutUntil[from]
                || now < cutUntil[to]
                || now < splitUntil && partition[from] != partition[to]
                || directionalCuts.stream()
                        .anyMatch(d -> now < d.until() && d.to()[to] && d.from()[from]);
    }

    /** Whether links lose packets at a time; streams are slow then. */
    public boolean isLossy(double now) {
        return now < lossyUntil;
    }

    /**
     * Returns the additional delay of each copy of a packet, in ms; empty if the packet is lost.
     */
    public double[] copyDelaysMs(int from, int to, double now) {
        boolean lossyNow = isLossy(now);
        if (isCut(from, to, now) || lossyNow && random.nextDouble() < lossShare) {
            return NO_COPIES;
        }
        double[] delaysMs = new double[lossyNow && random.nextDouble() < lossShare ? 2 : 1];
        for (int i = 0; i < delaysMs.length; i++) {
            delaysMs[i] =
                    lossyNow && random.nextDouble() < lossShare
                            ? random.nextDouble() * MAX_EXTRA_DELAY_MS
                            : 0;
        }
        return delaysMs;
    }
}
