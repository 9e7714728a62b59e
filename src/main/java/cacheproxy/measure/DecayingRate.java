package cacheproxy.measure;

/** An exponentially forgetting rate; times are in milliseconds and never run back. */
public final class DecayingRate {
    private static final double TIME_CONSTANT_MS = 3000;
    private double firstUpdateMs = -1, sum, lastUpdateMs;

    /** Counts so many; a negative amount takes back what was counted before. */
    public void add(double now, double amount) {
        perS(now);
        sum = Math.max(0, sum + amount);
    }

    /** The rate by now, a second. */
    public double perS(double now) {
        return perS(now, 0);
    }

    /** The rate without so many of the latest; early on each of them weighs far more than later. */
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
