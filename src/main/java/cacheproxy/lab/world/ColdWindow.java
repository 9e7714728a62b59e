package cacheproxy.lab.world;

import cacheproxy.measure.SlidingSum;

/**
 * What a node was sent since it started, over the latest window. Times are milliseconds of the run
 * and never run back.
 */
public final class ColdWindow {

    private final ColdAllowance allowance;
    private final double startedAt;
    private final double capacity;
    private final SlidingSum calls = new SlidingSum();

    /** {@code capacity} is the node's when it is warm. */
    public ColdWindow(ColdAllowance allowance, double startedAt, double capacity) {
        this.allowance = allowance;
        this.startedAt = startedAt;
        this.capacity = capacity;
    }

    /** Whether the settings call it cold at a time. */
    public boolean cold(double at) {
        return at >= startedAt && at - startedAt < allowance.coldMs();
    }

    /**
     * Adds a call that weighs {@code size} of a call of mean work, and returns all in the window
     * over what is allowed.
     */
    public double add(double at, double size) {
        calls.add(at, size);
        return calls.from(at - allowance.windowMs()) / allowance.most(capacity, at - startedAt);
    }
}
