package cacheproxy;

import static cacheproxy.measure.Samples.excessOverChance;

/**
 * The hysteresis level of admission and the base rate that its refill rates are multiples of. Fetch
 * outcomes are counted over an interval and judged at its end: the level rises where many were bad
 * and falls where few were. Rates are fetches a second.
 */
final class HysteresisController {

    /** Shares of bad fetches above which the level rises and below which it falls. */
    static final double RISE_THRESHOLD = 0.10;

    static final double FALL_THRESHOLD = 0.05;

    /** Fewer outcomes than this in an interval are a thin sample. */
    static final int MIN_SAMPLE_SIZE = 4;

    /** Standard deviations by which broken fetches may exceed what breaks elsewhere. */
    static final double CHANCE_DEVIATIONS = 2;

    /**
     * Intervals that a thin sample with a bad fetch waits to grow where balancers outnumber nodes.
     */
    static final int MAX_ACCUMULATED_INTERVALS = 6;

    /** Refill rates of levels 1 and up, as multiples of the base. */
    static final double[] RATE_MULTIPLES = {1.25, 1.0, 0.8, 0.6, 0.45, 0.3};

    /** What is left of the base after an interval at level 0 that did not reach it. */
    static final double BASE_DECAY = 0.98;

    /**
     * Growth of the base in an interval that could go to level 0 but in which the bank still
     * refused: level 0 would let all that in at once and throttle again. Could harm where the
     * origin recovers at a bound.
     */
    static final double BASE_GROWTH = 1.15;

    /**
     * Intervals with a sample that the base is learned from before the level may rise for the first
     * time. A base that has seen little is far too low: a start with a few late fetches then
     * refused most misses for half a minute. Could harm where a balancer starts while the origin is
     * slow.
     */
    static final int MIN_LEARNING_INTERVALS = 4;

    /** Smoothing of the rate whose peak the base is: one interval's peak is mostly luck. */
    static final double RATE_SMOOTHING = 0.3;

    /** No base is lower, in fetches a second: a balancer that saw little must still try. */
    static final double MIN_BASE_RATE = 1;

    int level;
    double minBaseRate = MIN_BASE_RATE;
    double baseRate = MIN_BASE_RATE;

    /**
     * Fetches of this interval that were cut off, and those answered with an error; {@link #judge}
     * says how many count as bad.
     */
    int brokenFetches, errorFetches;

    private double smoothedRate = -1;
    private int good, bad, accumulatedIntervals, learnedIntervals;

    /** Counts a fetch that tells of the origin's load. */
    void count(boolean wasGood) {
        good += wasGood ? 1 : 0;
        bad += wasGood ? 0 : 1;
    }

    /**
     * Of broken and of spoilt fetches only those count, as bad, that neither the share which the
     * caches have too nor chance explains: a network that breaks connections or answers says
     * nothing of the origin's load, while an origin that cuts off what it can't take must still be
     * throttled. Could harm where origin and caches are overrun alike: late answers and time-outs
     * alone then throttle.
     */
    void countUnexplainedFailures(double medianBreakRate, double medianErrorRate) {
        int all = good + bad + brokenFetches + errorFetches;
        bad +=
                excessOverChance(brokenFetches, medianBreakRate * all, CHANCE_DEVIATIONS)
                        + excessOverChance(errorFetches, medianErrorRate * all, CHANCE_DEVIATIONS);
        brokenFetches = 0;
        errorFetches = 0;
    }

    /** Ends an interval in which the token bucket refused so many. */
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

    /** The refill rate of the token bucket; infinite at level 0. */
    double refillRate() {
        return level == 0 ? Double.POSITIVE_INFINITY : baseRate * RATE_MULTIPLES[level - 1];
    }
}
