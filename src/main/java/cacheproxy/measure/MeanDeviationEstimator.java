package cacheproxy.measure;

/**
 * Running mean and mean deviation of response times, as TCP keeps them for its retransmission
 * timeout.
 */
public final class MeanDeviationEstimator {

    private final double weight;
    private double mean;
    private double deviation;

    /** Creates an estimator in which a new time has the given weight. */
    public MeanDeviationEstimator(double weight) {
        this.weight = weight;
    }

    /** Adds a time; a negative one is ignored. */
    public void add(double time) {
        if (time >= 0) {
            deviation += weight * (Math.abs(time - mean) - deviation);
            mean += weight * (time - mean);
        }
    }

    /** The mean plus the given number of mean deviations: the latest time that is not late. */
    public double upperBound(double deviations) {
        return mean + deviations * deviation;
    }
}
