package cacheproxy.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * What one figure of one role comes to as a size grows: measured means, and the least-squares line
 * through them.
 *
 * @param figure what was measured, as {@code gossip-rest-bytes-s}
 * @param unit the figure's unit, as {@code bytes/s}
 * @param against what the sizes count, as {@code proxies}
 * @param sizes where it was measured, rising
 * @param means the mean over the runs, one a size
 * @param spreads the standard deviation over the runs, one a size; 0 with one run
 * @param runs at each size
 * @param fixed the line at size 0, in the figure's unit
 * @param perUnit what one more adds, in the figure's unit
 * @param r2 the line's coefficient of determination, 0 to 1; 1 where all means are the same
 * @param experiment the file that measured it
 * @param beside what else ran on the machine
 */
public record Slope(
        Role role,
        String figure,
        String unit,
        String against,
        List<Double> sizes,
        List<Double> means,
        List<Double> spreads,
        int runs,
        double fixed,
        double perUnit,
        double r2,
        String experiment,
        String beside) {

    /** Under this the means lie on no straight line. */
    public static final double MIN_LINEAR_R2 = 0.95;

    /** Whose cost it is. */
    public enum Role {
        PROXY,
        CONTROL,
        CACHE_NODE,
        DISCOVERY,
        ORIGIN,
        MODULE
    }

    /** A figure's name and where it comes from: all of a slope that is not measured. */
    public record SlopeMetadata(
            Role role,
            String figure,
            String unit,
            String against,
            String experiment,
            String beside) {}

    public Slope {
        sizes = List.copyOf(sizes);
        means = List.copyOf(means);
        spreads = List.copyOf(spreads);
        if (sizes.size() < 2 || means.size() != sizes.size() || spreads.size() != sizes.size()) {
            throw new IllegalArgumentException(
                    figure + ": two sizes or more, each with a mean and a spread");
        }
    }

    /**
     * Fits a line through the means.
     *
     * @param measured one list of values a size, one value a run, as many for each
     */
    public static Slope fit(
            SlopeMetadata metadata, List<Double> sizes, List<List<Double>> measured) {
        List<Double> means = new ArrayList<>();
        List<Double> spreads = new ArrayList<>();
        SimpleRegression line = new SimpleRegression();
        for (int i = 0; i < sizes.size(); i++) {
            SummaryStatistics runs = new SummaryStatistics();
            measured.get(i).forEach(runs::addValue);
            means.add(runs.getMean());
            spreads.add(runs.getStandardDeviation());
            line.addData(sizes.get(i), runs.getMean());
        }
        double r2 = line.getTotalSumSquares() == 0 ? 1 : line.getRSquare();
        return new Slope(
                metadata.role,
                metadata.figure,
                metadata.unit,
                metadata.against,
                sizes,
                means,
                spreads,
                measured.get(0).size(),
                line.getIntercept(),
                line.getSlope(),
                r2,
                metadata.experiment,
                metadata.beside);
    }

    /**
     * What the line gives at a size, in the figure's unit; beyond the largest size measured it is
     * extrapolated.
     */
    public double valueAt(double size) {
        return fixed + perUnit * size;
    }

    /** The largest size that was measured. */
    public double largestMeasuredSize() {
        return sizes.get(sizes.size() - 1);
    }

    public boolean isLinear() {
        return r2 >= MIN_LINEAR_R2;
    }
}
