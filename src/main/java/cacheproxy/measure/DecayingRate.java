package cacheproxy.measure;

/** Exponentially decaying rate. Times are in milliseconds and never decrease. */
public final class DecayingRate {
    /** Time constant of the decay. */
    private static final double TIME_CONSTANT_MS = 3000;

    private double firstUpdateMs = -1, sum, lastUpdateMs;

    /** Counts {@code amount} events; a negative amount takes back events counted before. */
    public void add(double now, double amount) {
        perS(now);
        sum = Math.max(0, sum + amount);
    }

    /** The current rate per second. */
    public double perS(double now) {
        return perS(now, 0);
    }

    /**
     * The current rate per second without the {@code excluded} latest events, which early on weigh
     * far more than later.
     */
    public double perS(double now, long excluded) {
        sum *= Math.exp(-(now - lastUpdateMs) / TIME_CONSTANT_MS);
        lastUpdateMs = now;
        firstUpdateMs = firstUpdateMs < 0 ? now : firstUpdateMs;
        double counted = Math.max(0, sum - excluded);
        return counted
                / TIME_CONSTANT_MS
                * 1000
                / (1 - Math.exp(-Math.max(500, now - firstUpdateMs) / TIME_CONSTANT_MS));
    }
}
