package cacheproxy.lab.world;

import cacheproxy.measure.SlidingSum;

/**
 * What a node was sent since it started, over the latest window. Times are milliseconds of the run
 * and never run back.
 */
public final class SlowStartWindow {

    private final SlowStartAllowance allowance;
    private final double startedAt;
    private final double capacity;
    private final SlidingSum reads = new SlidingSum();

    /** {@code capacity} is the node's when it is warm. */
    public SlowStartWindow(SlowStartAllowance allowance, double startedAt, double capacity) {
        this.allowance = allowance;
        this.startedAt = startedAt;
        this.capacity = capacity;
    }

    /** Whether the settings call it cold at a time. */
    public boolean isWarmingUp(double at) {
        return at >= startedAt && at - startedAt < allowance.slowStartMs();
    }

    /**
     * Adds a call that weighs {@code size} of a call of mean work, and returns all in the window
     * over what is allowed.
     */
    public double add(double at, double relativeWork) {
        reads.add(at, relativeWork);
        return reads.sumSince(at - allowance.windowMs())
                / allowance.maxReads(capacity, at - startedAt);
    }
}
