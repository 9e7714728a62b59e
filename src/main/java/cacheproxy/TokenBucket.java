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
    int failedTakes;

    private double refilledAt;

    /** A full one. */
    TokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Sets the refill rate and counts refusals anew. */
    void setRate(double now, double perS) {
        refill(now);
        ratePerS = perS;
        failedTakes = 0;
    }

    /** Takes a token; a request of low priority only while more than one is there. */
    boolean tryTake(double now, boolean lowPriority) {
        refill(now);
        if (tokens < (lowPriority ? 2 : 1)) {
            failedTakes++;
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(double now) {
        double gained =
                ratePerS == Double.POSITIVE_INFINITY
                        ? capacity
                        : (now - refilledAt) * ratePerS / MS_PER_S;
        tokens = Math.min(capacity, tokens + gained);
        refilledAt = now;
    }
}
