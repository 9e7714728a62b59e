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
public record ColdAllowance(
        double multiple, double windowMs, double coldFrom, double coldMs, double meanWorkMs) {

    /** Deviations of a Poisson count that are put down to chance, and requests beyond them. */
    private static final double CHANCE = 2;

    /** The same where N is small. */
    private static final double CHANCE_OF_FEW = 3;

    /** N is small below this. */
    private static final double FEW = 30;

    /**
     * N: reads of mean work in the window that ends so long after the start, by a node's warm
     * capacity in core-milliseconds a millisecond.
     */
    public double calls(double capacity, double ageMs) {
        // By its middle, as the capacity grows meanwhile.
        double warmth =
                Math.min(1, coldFrom + (1 - coldFrom) * Math.max(0, ageMs - windowMs / 2) / coldMs);
        return multiple * capacity * warmth * windowMs / meanWorkMs;
    }

    /** N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 where N is below 30: beyond this it falls. */
    public double most(double capacity, double ageMs) {
        double calls = calls(capacity, ageMs);
        double chance = calls < FEW ? CHANCE_OF_FEW : CHANCE;
        return multiple <= 0
                ? Double.POSITIVE_INFINITY
                : calls + chance * Math.sqrt(calls) + chance;
    }
}
