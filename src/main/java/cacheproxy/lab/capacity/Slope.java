package cacheproxy.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Dependence of one cost figure of a role on a size: the measured means, and the least-squares line
 * through them.
 *
 * @param role the role that has the cost
 * @param figure name of the measured figure, as {@code gossip-rest-bytes-s}
 * @param unit unit of the figure, as {@code bytes/s}
 * @param against the quantity that the sizes count, as {@code proxies}
 * @param sizes the measured sizes, ascending
 * @param means mean over the runs, one per size
 * @param spreads standard deviation over the runs, one per size; 0 with one run
 * @param runs number of runs per size
 * @param fixed intercept: value of the line at size 0, in the figure's unit
 * @param perUnit slope: increase per unit of size, in the figure's unit
 * @param r2 coefficient of determination of the line, 0 to 1; 1 if all means are the same
 * @param experiment file of the experiment that measured it
 * @param beside what else ran on the machine during the measurement
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

    /** Below this coefficient of determination the means are not considered linear. */
    public static final double MIN_LINEAR_R2 = 0.95;

    /** The part of the system that has a cost. The names are keywords of files and of the page. */
    public enum Role {
        PROXY,
        CONTROL,
        CACHE_NODE,
        DISCOVERY,
        ORIGIN,
        MODULE
    }

    /** The components of a slope that are not measured: name, unit and origin of the figure. */
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
                    figure + ": at least two sizes needed, each with a mean and a spread");
        }
    }

    /**
     * Fits a line through the means.
     *
     * @param measured for each size a list with the value of each run, all of the same length
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
     * The value of the line at a size, in the figure's unit; an extrapolation beyond the largest
     * measured size.
     */
    public double valueAt(double size) {
        return fixed + perUnit * size;
    }

    public double largestMeasuredSize() {
        return sizes.get(sizes.size() - 1);
    }

    /** Whether the means are close enough to the line to extrapolate along it. */
    public boolean isLinear() {
        return r2 >= MIN_LINEAR_R2;
    }
}
