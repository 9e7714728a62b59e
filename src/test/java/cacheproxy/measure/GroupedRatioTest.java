package cacheproxy.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class GroupedRatioTest {

    private final GroupedRatio ratios = new GroupedRatio();

    @Test
    void additionCountsInItsGroupAndInTotal() {
        ratios.add("small", 2, 1);
        ratios.add("small", 4, 2);
        ratios.add("large", 12, 3);
        assertEquals(2, ratios.of("small"));
        assertEquals(4, ratios.of("large"));
        assertEquals(3, ratios.ofAll());
        assertEquals(List.of("small", "large"), List.copyOf(ratios.groups()));
    }

    @Test
    void isNaNIfNothingWasAdded() {
        ratios.add("small", 2, 1);
        assertEquals(Double.NaN, ratios.of("large"));
        ratios.clear();
        assertEquals(Double.NaN, ratios.of("small"));
        assertEquals(Double.NaN, ratios.ofAll());
        assertEquals(0, ratios.groups().size());
    }
}
