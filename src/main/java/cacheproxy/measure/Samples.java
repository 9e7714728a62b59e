package cacheproxy.measure;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/**
 * What samples tell: the middle of many values, and how far a count is from what chance explains.
 */
public final class Samples {

    private Samples() {}

    /** The lower of the two in the middle where their number is even; 0 of none. */
    public static double median(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    /**
     * How many of a count are left when so many were expected and chance may have added so many
     * deviations.
     */
    public static int excessOverChance(int count, double expected, double deviations) {
        return (int) Math.ceil(Math.max(0, count - expected - deviations * Math.sqrt(expected)));
    }

    /**
     * Values as multiples of their median, none over {@code span} or under its inverse; 1 for what
     * is no size at all.
     */
    public static double[] clampedMedianRatios(double[] values, double span) {
        double[] sizes =
                Arrays.stream(values)
                        .filter(v -> v > 0 && v < Double.POSITIVE_INFINITY)
                        .sorted()
                        .toArray();
        double median = sizes.length == 0 ? 1 : sizes[sizes.length / 2];
        return Arrays.stream(values)
                .map(v -> Math.min(span, Math.max(1 / span, v > 0 ? v / median : 1)))
                .toArray();
    }
}
