package cacheproxy.measure;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import org.junit.jupiter.api.Test;

class SamplesTest {

    @Test
    void sizesAreClampedMultiplesOfTheirMedian() {
        assertArrayEquals(
                new double[] {0.5, 1, 2}, Samples.clampedMedianRatios(new double[] {2, 4, 8}, 4));
        assertArrayEquals(
                new double[] {0.25, 1, 4},
                Samples.clampedMedianRatios(new double[] {0.001, 4, 1e9}, 4));
        assertArrayEquals(
                new double[] {1, 1, 1, 4, 1},
                Samples.clampedMedianRatios(
                        new double[] {0, -3, Double.NaN, Double.POSITIVE_INFINITY, 7}, 4));
        assertArrayEquals(new double[] {1, 1}, Samples.clampedMedianRatios(new double[] {0, 0}, 4));
        assertArrayEquals(new double[0], Samples.clampedMedianRatios(new double[0], 4));
    }
}
