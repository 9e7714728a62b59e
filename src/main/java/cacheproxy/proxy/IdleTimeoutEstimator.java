package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Learns at what idle age kept connections turn out to be dead. Hosts and middleboxes close them
 * long before the time that is stated, and the news of it crosses the next request, which then ends
 * as a reset. An age at which connections break clearly more often than new ones do is too old.
 * Also guards against hosts that restart unseen and address translators that forget. Could do harm
 * where a request and not its connection is what breaks, at one age by chance: it costs handshakes,
 * so ages under a floor are never too old, and what was learned fades.
 */
final class IdleTimeoutEstimator {

    private static final double FIRST_BUCKET_MS = 10;
    private static final double BUCKET_RATIO = 1.4;
    private static final int BUCKETS = 32;

    /** No younger connection is too old: each handshake costs more than a reset now and then. */
    private static final double MIN_TIMEOUT_MS = 40;

    /**
     * Uses that every age is taken to have had and to have gone well, so that one break proves
     * nothing.
     */
    private static final double PRIOR_USES = 10;

    /**
     * By how much a kept connection may break more often than a new one, for the handshake that it
     * saves.
     */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.1;

    private static final double TIME_CONSTANT_MS = 20_000;

    /** Uses and breaks by age; the first place is for new connections. */
    private final double[] uses = new double[BUCKETS + 1];

    private final double[] failures = new double[BUCKETS + 1];
    private double timeoutMs = Double.POSITIVE_INFINITY;
    private long updatedNanos;

    /** An exchange on a connection that had been idle for so long, or 0 on a new one, ended. */
    void recordUse(double idleMs, boolean failed, long nowNanos) {
        decay(nowNanos);
        int bucket = idleMs <= 0 ? 0 : bucketOf(idleMs);
        uses[bucket]++;
        failures[bucket] += failed ? 1 : 0;
    }

    /** The idle time from which on a connection is not used any more. */
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

    /** The shortest idle time of an age. */
    private static double lowerBoundMs(int bucket) {
        return bucket == 1 ? 0 : FIRST_BUCKET_MS * Math.pow(BUCKET_RATIO, bucket - 2);
    }
}
