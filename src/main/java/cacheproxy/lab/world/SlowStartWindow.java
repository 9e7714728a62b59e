package cacheproxy.lab.world;

import cacheproxy.measure.SlidingSum;

/**
 * The load sent to a node since its start, over a sliding window. Times are milliseconds of the run
 * and must not decrease.
 */
public final class SlowStartWindow {

    private final SlowStartAllowance allowance;
    private final double startedAt;
    private final double capacity;
    private final SlidingSum reads = new SlidingSum();

    /** {@code capacity} is the full capacity of the node. */
    public SlowStartWindow(SlowStartAllowance allowance, double startedAt, double capacity) {
        this.allowance = allowance;
        this.startedAt = startedAt;
        this.capacity = capacity;
    }

    /** Whether the node is warming up at a time, according to the settings. */
    public boolean isWarmingUp(double at) {
        return at >= startedAt && at - startedAt < allowance.slowStartMs();
    }

    /**
     * Adds a request and returns the load in the window as a fraction of the allowed load.
     *
     * @param relativeWork work of the request relative to an average read
     */
    public double add(double at, double relativeWork) {
        reads.add(at, relativeWork);
        return reads.sumSince(at - allowance.windowMs())
                / allowance.maxReads(capacity, at - startedAt);
    }
}
