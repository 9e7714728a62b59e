package cacheproxy.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SlidingSumTest {

    private final SlidingSum sum = new SlidingSum();

    @Test
    void windowIncludesItsStart() {
        sum.add(10, 1);
        sum.add(20, 2);
        sum.add(30, 4);
        assertEquals(7, sum.sumSince(10));
        assertEquals(6, sum.sumSince(Math.nextUp(10.0)));
        assertEquals(0, sum.sumSince(31));
    }

    @Test
    void clearResetsTheSum() {
        sum.add(10, 0.1);
        sum.add(10, 0.2);
        sum.clear();
        sum.add(11, 1);
        assertEquals(1, sum.sumSince(0));
    }
}
