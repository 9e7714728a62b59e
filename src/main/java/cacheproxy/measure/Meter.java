package cacheproxy.measure;

/** An exponentially forgetting rate; times are in milliseconds and never run back. */
public final class Meter {
    private static final double MEMORY_MS = 3000;
    private double since = -1, sum, at;

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
    public double perS(double now, long latest) {
        sum *= Math.exp(-(now - at) / MEMORY_MS);
        at = now;
        since = since < 0 ? now : since;
        double counted = Math.max(0, sum - latest);
        return counted / MEMORY_MS * 1000 / (1 - Math.exp(-Math.max(500, now - since) / MEMORY_MS));
    }
}
