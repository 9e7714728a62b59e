package cacheproxy.measure;

/** A running mean of times and of how far they lie from it, as TCP keeps for its time-outs. */
public final class MeanDeviationEstimator {

    private final double weight;
    private double mean;
    private double deviation;

    /** {@code weight} is that of a new time. */
    public MeanDeviationEstimator(double weight) {
        this.weight = weight;
    }

    /** Takes in a time; a negative one is none. */
    public void add(double time) {
        if (time >= 0) {
            deviation += weight * (Math.abs(time - mean) - deviation);
            mean += weight * (time - mean);
        }
    }

    /** The latest that is still usual: so many mean deviations past the mean. */
    public double upperBound(double deviations) {
        return mean + deviations * deviation;
    }
}
