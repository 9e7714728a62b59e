package cacheproxy.lab.world;

/**
 * The load that all proxies together may send to a node that is warming up. Its capacity during
 * warm-up is assumed as in the settings: the smallest initial fraction and the longest warm-up of
 * any kind of node, because proxies do not know the values of a particular node.
 *
 * @param loadMultiple multiple of its capacity that the node may be sent; 0 for no limit
 * @param windowMs length of the window over which the load is counted
 * @param initialFraction fraction of its capacity at its start
 * @param slowStartMs time from its start until it has its full capacity
 * @param meanWorkMs work of an average read that is a hit, in core-milliseconds
 */
public record SlowStartAllowance(
        double loadMultiple,
        double windowMs,
        double initialFraction,
        double slowStartMs,
        double meanWorkMs) {

    /**
     * Standard deviations of a Poisson count that are attributed to chance, and also the number of
     * requests allowed beyond them.
     */
    private static final double DEVIATIONS = 2;

    /** The same for a small N, at which the Poisson distribution is more skewed. */
    private static final double SMALL_COUNT_DEVIATIONS = 3;

    /** N below this is small. */
    private static final double SMALL_COUNT = 30;

    /**
     * Returns N, the allowed number of average reads in a window.
     *
     * @param capacity the full capacity of the node, in core-milliseconds per millisecond
     * @param ageMs time from the start of the node to the end of the window
     */
    public double allowedReads(double capacity, double ageMs) {
        // Uses the capacity at the middle of the window, as it grows during the window.
        double capacityFraction =
                Math.min(
                        1,
                        initialFraction
                                + (1 - initialFraction)
                                        * Math.max(0, ageMs - windowMs / 2)
                                        / slowStartMs);
        return loadMultiple * capacity * capacityFraction * windowMs / meanWorkMs;
    }

    /**
     * Returns the number of average reads above which the node fails: N + 2 sqrt(N) + 2, or N + 3
     * sqrt(N) + 3 if N is below 30. The terms beyond N allow for chance.
     */
    public double maxReads(double capacity, double ageMs) {
        double reads = allowedReads(capacity, ageMs);
        double deviations = reads < SMALL_COUNT ? SMALL_COUNT_DEVIATIONS : DEVIATIONS;
        return loadMultiple <= 0
                ? Double.POSITIVE_INFINITY
                : reads + deviations * Math.sqrt(reads) + deviations;
    }
}
