package cacheproxy.lab.faults;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * What becomes of what proxies tell one another: cuts, both ways or one, parts, and links that
 * lose, double and delay. Both drivers carry by it.
 */
public final class PeerLinks {

    /** So many of the first proxies are the seeds of all. */
    public static final int SEEDS = 3;

    private static final double LATE_MS = 400;
    private static final double[] LOST = {};

    /** Which of these proxies hear nothing of which, and until when. */
    private record Deaf(boolean[] to, boolean[] from, double until) {}

    private final RandomGenerator random;
    private final int proxies;
    private final List<Deaf> deaf = new ArrayList<>();
    private final double[] cutUntil;
    private final int[] part;
    private double splitUntil;
    private double lossyUntil;
    private double lossy;

    public PeerLinks(int proxies, RandomGenerator random) {
        this.random = random;
        this.proxies = proxies;
        // One more than there are: a liar that is no proxy has links too.
        cutUntil = new double[proxies + 1];
        part = new int[proxies + 1];
    }

    /** Takes a fault in; returns whether it is one of these links. */
    public boolean begin(Fault fault) {
        boolean[] struck = struck(fault);
        switch (fault.what()) {
            case GOSSIP_LOSS -> {
                lossy = fault.share();
                lossyUntil = fault.endMs();
            }
            case GOSSIP_SPLIT -> splitUntil = fault.endMs();
            case GOSSIP_DEAF, GOSSIP_MUTE, GOSSIP_ONEWAY -> {
                boolean[] others = new boolean[proxies + 1];
                for (int i = 0; i <= proxies; i++) {
                    others[i] =
                            fault.what() == Fault.Kind.GOSSIP_ONEWAY
                                    ? fault.strikesPeer(i, proxies)
                                    : !struck[i];
                }
                boolean mute = fault.what() == Fault.Kind.GOSSIP_MUTE;
                deaf.add(new Deaf(mute ? others : struck, mute ? struck : others, fault.endMs()));
                return true;
            }
            case GOSSIP_CUT -> {}
            default -> {
                return false;
            }
        }
        for (int i = 0; i < proxies; i++) {
            if (fault.what() == Fault.Kind.GOSSIP_CUT && struck[i]) {
                cutUntil[i] = fault.endMs();
            } else if (fault.what() == Fault.Kind.GOSSIP_SPLIT) {
                part[i] = struck[i] ? 1 : 0;
            }
        }
        return true;
    }

    private boolean[] struck(Fault fault) {
        boolean[] struck = new boolean[proxies + 1];
        for (int i = 0; i < proxies; i++) {
            struck[i] = !fault.target().isEmpty() && fault.strikes("proxy-", i, proxies);
        }
        return struck;
    }

    /** Whether nothing at all goes from one to another now. */
    public boolean cut(int from, int to, double now) {
        return now < cutUntil[from]
                || now < cutUntil[to]
                || now < splitUntil && part[from] != part[to]
                || deaf.stream().anyMatch(d -> now < d.until() && d.to()[to] && d.from()[from]);
    }

    /** Whether links lose packets now; streams are slow then. */
    public boolean lossy(double now) {
        return now < lossyUntil;
    }

    /** By how many ms each copy of a packet comes later than usual; none where it is lost. */
    public double[] copies(int from, int to, double now) {
        boolean trouble = lossy(now);
        if (cut(from, to, now) || trouble && random.nextDouble() < lossy) {
            return LOST;
        }
        double[] late = new double[trouble && random.nextDouble() < lossy ? 2 : 1];
        for (int i = 0; i < late.length; i++) {
            late[i] = trouble && random.nextDouble() < lossy ? random.nextDouble() * LATE_MS : 0;
        }
        return late;
    }
}
