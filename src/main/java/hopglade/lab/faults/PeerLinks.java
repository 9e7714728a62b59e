package hopglade.lab.faults;

import org.apache.commons.math3.random.RandomGenerator;

/** What becomes of the packets between proxies: cuts, parts, and links that lose, double and delay. Both drivers carry by it. */
public final class PeerLinks {

    /** So many of the first proxies are the seeds of all. */
    public static final int SEEDS = 3;
    private static final double LATE_MS = 400;
    private static final double[] LOST = {};

    private final RandomGenerator random;
    private final int proxies;
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
        switch (fault.what()) {
            case GOSSIP_LOSS -> {
                lossy = fault.share();
                lossyUntil = fault.endMs();
            }
            case GOSSIP_SPLIT -> splitUntil = fault.endMs();
            case GOSSIP_CUT -> { }
            default -> {
                return false;
            }
        }
        for (int i = 0; i < proxies; i++) {
            boolean struck = !fault.target().isEmpty() && fault.strikes("proxy-", i, proxies);
            if (fault.what() == Fault.Kind.GOSSIP_CUT && struck) {
                cutUntil[i] = fault.endMs();
            } else if (fault.what() == Fault.Kind.GOSSIP_SPLIT) {
                part[i] = struck ? 1 : 0;
            }
        }
        return true;
    }

    /** By how many ms each copy of a packet comes later than usual; none where it is lost. */
    public double[] copies(int from, int to, double now) {
        boolean cut = now < cutUntil[from] || now < cutUntil[to] || now < splitUntil && part[from] != part[to];
        boolean trouble = now < lossyUntil;
        if (cut || trouble && random.nextDouble() < lossy) {
            return LOST;
        }
        double[] late = new double[trouble && random.nextDouble() < lossy ? 2 : 1];
        for (int i = 0; i < late.length; i++) {
            late[i] = trouble && random.nextDouble() < lossy ? random.nextDouble() * LATE_MS : 0;
        }
        return late;
    }
}
