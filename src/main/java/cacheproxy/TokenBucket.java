package cacheproxy;

/**
 * A token bucket whose refill rate changes with the hysteresis level. Times are milliseconds of the
 * caller's clock and never run back.
 */
final class TokenBucket {

    private static final double MS_PER_S = 1000;

    private final double capacity;
    double tokens;

    /** Tokens a second; infinite where nothing is limited. */
    double ratePerS = Double.POSITIVE_INFINITY;

    /** Draws that were refused since the rate was last set. */
    int refusals;

    private double filledAt;

    /** A full one. */
    TokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Sets the refill rate and counts refusals anew. */
    void rate(double now, double perS) {
        fill(now);
        ratePerS = perS;
        refusals = 0;
    }

    /** Takes a token; a request of low priority only while more than one is there. */
    boolean draw(double now, boolean lowPriority) {
        fill(now);
        if (tokens < (lowPriority ? 2 : 1)) {
            refusals++;
            return false;
        }
        tokens--;
        return true;
    }

    private void fill(double now) {
        double gained =
                ratePerS == Double.POSITIVE_INFINITY
                        ? capacity
                        : (now - filledAt) * ratePerS / MS_PER_S;
        tokens = Math.min(capacity, tokens + gained);
        filledAt = now;
    }
}
