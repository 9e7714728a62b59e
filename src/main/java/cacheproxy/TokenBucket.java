package cacheproxy;

/**
 * Token bucket whose refill rate changes with the hysteresis level. Times are milliseconds of the
 * caller's clock and never decrease.
 */
final class TokenBucket {

    private static final double MS_PER_S = 1000;

    private final double capacity;
    double tokens;

    /** Tokens per second; infinite while fetches are not throttled. */
    double ratePerS = Double.POSITIVE_INFINITY;

    /** Failed calls of {@link #tryTake} since the rate was last set. */
    int failedTakes;

    private double refilledAt;

    /** Creates a full bucket. */
    TokenBucket(double capacity) {
        this.capacity = capacity;
        this.tokens = capacity;
    }

    /** Sets the refill rate and resets the count of failed takes. */
    void setRate(double now, double perS) {
        refill(now);
        ratePerS = perS;
        failedTakes = 0;
    }

    /** Takes a token if there is one. A request of low priority leaves the last token. */
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
