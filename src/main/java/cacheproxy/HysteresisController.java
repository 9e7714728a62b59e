package cacheproxy;

import static cacheproxy.measure.Samples.excessOverChance;

/**
 * Hysteresis controller for fetch admission. It keeps the level and the base rate; the token
 * bucket's refill rate is a multiple of the base rate. Fetch outcomes are counted over a control
 * interval and evaluated at its end: the level rises if many were bad and falls if few were. Rates
 * are fetches per second.
 */
final class HysteresisController {

    /** Share of bad fetches above which the level rises. */
    static final double RISE_THRESHOLD = 0.10;

    /** Share of bad fetches below which the level falls. */
    static final double FALL_THRESHOLD = 0.05;

    /** Fewer outcomes than this in an interval are too small a sample. */
    static final int MIN_SAMPLE_SIZE = 4;

    /**
     * Standard deviations by which failed fetches must exceed the number expected from the cache
     * nodes' failure rate.
     */
    static final double CHANCE_DEVIATIONS = 2;

    /**
     * Intervals over which a small sample with a bad fetch is accumulated if there are more proxies
     * than nodes.
     */
    static final int MAX_ACCUMULATED_INTERVALS = 6;

    /** Refill rates of levels 1 and up, as multiples of the base rate. */
    static final double[] RATE_MULTIPLES = {1.25, 1.0, 0.8, 0.6, 0.45, 0.3};

    /** Factor on the base rate after an interval at level 0 that did not reach it. */
    static final double BASE_DECAY = 0.98;

    /**
     * Factor on the base rate after an interval that could return to level 0 but in which the token
     * bucket still rejected requests: level 0 would admit all of them at once and throttle again.
     * Delays recovery if the origin recovers abruptly.
     */
    static final double BASE_GROWTH = 1.15;

    /**
     * Intervals with a sufficient sample that the base rate is learned from before the level may
     * rise for the first time. A base rate learned from fewer is far too low: a start with a few
     * late fetches then rejected most misses for half a minute. Delays throttling if a proxy starts
     * while the origin is slow.
     */
    static final int MIN_LEARNING_INTERVALS = 4;

    /**
     * Smoothing of the rate whose peak is the base rate, as the peak of a single interval is mostly
     * chance.
     */
    static final double RATE_SMOOTHING = 0.3;

    /**
     * Smallest base rate in fetches per second: a proxy that has seen little traffic must still
     * fetch.
     */
    static final double MIN_BASE_RATE = 1;

    int level;

    /**
     * The smallest base rate in effect; below {@link #MIN_BASE_RATE} if there are more proxies than
     * nodes.
     */
    double minBaseRate = MIN_BASE_RATE;

    double baseRate = MIN_BASE_RATE;

    /**
     * Fetches of this interval whose connection broke, and those answered with an error; {@link
     * #countUnexplainedFailures} determines how many of them are bad.
     */
    int brokenFetches, errorFetches;

    private double smoothedRate = -1;
    private int good, bad, accumulatedIntervals, learnedIntervals;

    /** Counts a fetch whose outcome depends on the origin's load. */
    void count(boolean wasGood) {
        good += wasGood ? 1 : 0;
        bad += wasGood ? 0 : 1;
    }

    /**
     * Counts as bad those broken and failed fetches that are explained neither by the cache nodes'
     * failure rates nor by chance. A network that breaks connections or answers says nothing about
     * the origin's load, but an origin that closes connections it cannot serve must be throttled.
     * If origin and caches are overloaded alike, only late answers and time-outs throttle.
     */
    void countUnexplainedFailures(double medianBreakRate, double medianErrorRate) {
        int all = good + bad + brokenFetches + errorFetches;
        bad +=
                excessOverChance(brokenFetches, medianBreakRate * all, CHANCE_DEVIATIONS)
                        + excessOverChance(errorFetches, medianErrorRate * all, CHANCE_DEVIATIONS);
        brokenFetches = 0;
        errorFetches = 0;
    }

    /** Ends a control interval in which the token bucket rejected {@code failedTakes} requests. */
    void endInterval(double intervalMs, int failedTakes) {
        int all = good + bad;
        if (level == 0) {
            double perS = good * 1000 / intervalMs;
            smoothedRate =
                    smoothedRate < 0 ? perS : smoothedRate + RATE_SMOOTHING * (perS - smoothedRate);
            baseRate = Math.max(minBaseRate, Math.max(baseRate * BASE_DECAY, smoothedRate));
            learnedIntervals += all >= MIN_SAMPLE_SIZE ? 1 : 0;
        }
        if (minBaseRate < MIN_BASE_RATE
                && all < MIN_SAMPLE_SIZE
                && bad > 0
                && ++accumulatedIntervals < MAX_ACCUMULATED_INTERVALS) {
            return;
        }
        accumulatedIntervals = 0;
        if (all >= MIN_SAMPLE_SIZE
                && bad > RISE_THRESHOLD * all
                && (level > 0 || learnedIntervals >= MIN_LEARNING_INTERVALS)) {
            level = Math.min(level + 1, RATE_MULTIPLES.length);
        } else if (all < MIN_SAMPLE_SIZE || bad < FALL_THRESHOLD * all) {
            if (level == 1 && failedTakes > 0) {
                baseRate *= BASE_GROWTH;
            } else {
                level = Math.max(level - 1, 0);
            }
        }
        good = 0;
        bad = 0;
    }

    /** The refill rate of the token bucket in tokens per second; infinite at level 0. */
    double refillRate() {
        return level == 0 ? Double.POSITIVE_INFINITY : baseRate * RATE_MULTIPLES[level - 1];
    }
}
