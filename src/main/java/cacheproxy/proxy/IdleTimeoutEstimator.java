package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Estimates from which idle time on reused connections turn out to be dead. Hosts and middleboxes
 * may close idle connections long before the documented timeout; the close then crosses the next
 * request, which ends as a reset. An idle time at which reused connections fail clearly more often
 * than new ones is too long. This also covers hosts that restart unnoticed and address translators
 * that drop their mappings. If requests rather than connections fail, chance can make one idle time
 * look bad, which costs handshakes; therefore idle times below a minimum are always accepted, and
 * past observations decay.
 */
final class IdleTimeoutEstimator {

    private static final double FIRST_BUCKET_MS = 10;
    private static final double BUCKET_RATIO = 1.4;
    private static final int BUCKETS = 32;

    /** Shorter idle times are always accepted: a handshake costs more than an occasional reset. */
    private static final double MIN_TIMEOUT_MS = 40;

    /**
     * Successful uses that each bucket is assumed to have had already, so that a single failure is
     * not significant.
     */
    private static final double PRIOR_USES = 10;

    /**
     * By how much the failure rate of reused connections may exceed that of new ones, in return for
     * the handshake that reuse saves.
     */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.1;

    private static final double TIME_CONSTANT_MS = 20_000;

    /** Uses and failures by idle time; bucket 0 is for new connections. */
    private final double[] uses = new double[BUCKETS + 1];

    private final double[] failures = new double[BUCKETS + 1];
    private double timeoutMs = Double.POSITIVE_INFINITY;
    private long updatedNanos;

    /**
     * Records the end of an attempt.
     *
     * @param idleMs how long its connection had been idle, or 0 if the connection was new
     */
    void recordUse(double idleMs, boolean failed, long nowNanos) {
        decay(nowNanos);
        int bucket = idleMs <= 0 ? 0 : bucketOf(idleMs);
        uses[bucket]++;
        failures[bucket] += failed ? 1 : 0;
    }

    /** The idle time from which on a connection must not be reused; infinite if there is none. */
    double timeoutMs(long nowNanos) {
        if (nowNanos - updatedNanos > TimeUnit.MILLISECONDS.toNanos(100)) {
            decay(nowNanos);
        }
        return timeoutMs;
    }

    private void decay(long nowNanos) {
        double factor = Math.exp(-Math.max(0, nowNanos - updatedNanos) / 1e6 / TIME_CONSTANT_MS);
        updatedNanos = nowNanos;
        for (int i = 0; i < uses.length; i++) {
            uses[i] *= factor;
            failures[i] *= factor;
        }
        timeoutMs = Double.POSITIVE_INFINITY;
        for (int i = BUCKETS; i > 0 && lowerBoundMs(i) >= MIN_TIMEOUT_MS; i--) {
            if (failureRate(i) > failureRate(0) + MAX_EXCESS_FAILURE_RATE) {
                timeoutMs = lowerBoundMs(i);
            }
        }
    }

    private double failureRate(int bucket) {
        return failures[bucket] / (uses[bucket] + PRIOR_USES);
    }

    private static int bucketOf(double idleMs) {
        return (int)
                Math.max(
                        1,
                        Math.min(
                                BUCKETS,
                                2
                                        + Math.floor(
                                                Math.log(idleMs / FIRST_BUCKET_MS)
                                                        / Math.log(BUCKET_RATIO))));
    }

    /** The shortest idle time of a bucket. */
    private static double lowerBoundMs(int bucket) {
        return bucket == 1 ? 0 : FIRST_BUCKET_MS * Math.pow(BUCKET_RATIO, bucket - 2);
    }
}
