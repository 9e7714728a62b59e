package cacheproxy.measure;

import java.util.Arrays;
import java.util.stream.DoubleStream;

/** Statistics of samples: the median, and how far a count exceeds what chance explains. */
public final class Samples {

    private Samples() {}

    /** The lower of the two middle values if their number is even; 0 if there are none. */
    public static double median(DoubleStream values) {
        double[] sorted = values.sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
    }

    /**
     * How much of a count remains after subtracting the expected count and {@code deviations}
     * standard deviations of it, assuming a Poisson distribution.
     */
    public static int excessOverChance(int count, double expected, double deviations) {
        return (int) Math.ceil(Math.max(0, count - expected - deviations * Math.sqrt(expected)));
    }

    /**
     * The values as multiples of their median, limited to the range from {@code 1 / span} to {@code
     * span}; 1 for a value that is not a positive number.
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
