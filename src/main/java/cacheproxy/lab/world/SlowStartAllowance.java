package cacheproxy.lab.world;

/**
 * What a node that has just started may be sent by all proxies together. What it can do by then is
 * taken as the settings state it, the least share and the longest warm-up of any kind, as nobody is
 * told a node's own.
 *
 * @param multiple of what it can do that it may be sent; 0 for no bound
 * @param windowMs over which that counts
 * @param coldFrom share of its capacity at its start
 * @param coldMs until it is warm
 * @param meanWorkMs core-milliseconds of a read of mean work that is a hit
 */
public record SlowStartAllowance(
        double loadMultiple,
        double windowMs,
        double initialFraction,
        double slowStartMs,
        double meanWorkMs) {

    /** Deviations of a Poisson count that are put down to chance, and requests beyond them. */
    private static final double DEVIATIONS = 2;

    /** The same where N is small. */
    private static final double SMALL_COUNT_DEVIATIONS = 3;

    /** N is small below this. */
    private static final double SMALL_COUNT = 30;

    /**
     * N: reads of mean work in the window that ends so long after the start, by a node's warm
     * capacity in core-milliseconds a millisecond.
     */
    public double allowedReads(double capacity, double ageMs) {
        // By its middle, as the capacity grows meanwhile.
        double capacityFraction =
                Math.min(
                        1,
                        initialFraction
                                + (1 - initialFraction)
                                        * Math.max(0, ageMs - windowMs / 2)
                                        / slowStartMs);
        return loadMultiple * capacity * capacityFraction * windowMs / meanWorkMs;
    }

    /** N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 where N is below 30: beyond this it falls. */
    public double maxReads(double capacity, double ageMs) {
        double reads = allowedReads(capacity, ageMs);
        double deviations = reads < SMALL_COUNT ? SMALL_COUNT_DEVIATIONS : DEVIATIONS;
        return loadMultiple <= 0
                ? Double.POSITIVE_INFINITY
                : reads + deviations * Math.sqrt(reads) + deviations;
    }
}
