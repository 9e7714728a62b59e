package cacheproxy.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IncarnationTest {

    private static final double NOW_MS = 50_000_000;
    private static final double MAX_DELAY_MS = Incarnation.MAX_NOTIFICATION_DELAY_MS;

    private final Incarnation incarnation = new Incarnation();

    private double ageOf(double statedMs, boolean firstList) {
        assertTrue(incarnation.recordStatedStart(NOW_MS, statedMs, firstList));
        return incarnation.ageMs(NOW_MS);
    }

    @Test
    void startNotifiedWithinMaxDelayHasStatedAge() {
        assertEquals(MAX_DELAY_MS, ageOf(NOW_MS - MAX_DELAY_MS, false));
    }

    @Test
    void ageOfLateNotifiedStartIsCappedAtMaxDelay() {
        assertEquals(MAX_DELAY_MS, ageOf(NOW_MS - MAX_DELAY_MS - 1, false));
        double earliest = NOW_MS - Incarnation.MAX_DISCOVERY_OUTAGE_MS;
        assertEquals(MAX_DELAY_MS, new IncarnationTest().ageOf(earliest, false));
    }

    @Test
    void startBeforeLongestDiscoveryOutageCountsFromNotification() {
        assertEquals(0, ageOf(NOW_MS - Incarnation.MAX_DISCOVERY_OUTAGE_MS - 1, false));
    }

    @Test
    void startInTheFutureCountsFromNotification() {
        assertEquals(0, ageOf(NOW_MS + 1, true));
        assertEquals(1000, incarnation.ageMs(NOW_MS + 1000));
    }

    @Test
    void firstListMayStateAnyAge() {
        assertEquals(1e6, ageOf(NOW_MS - 1e6, true));
    }

    @Test
    void startStatedAsNaNCountsFromNotification() {
        assertEquals(0, ageOf(Double.NaN, true));
        assertFalse(incarnation.recordStatedStart(NOW_MS, Double.NaN, true));
    }

    @Test
    void earlierStatedStartIsNewIncarnation() {
        ageOf(NOW_MS, false);
        assertTrue(incarnation.recordStatedStart(NOW_MS + 9000, NOW_MS - 3_600_000, false));
        assertEquals(0, incarnation.ageMs(NOW_MS + 9000));
    }

    @Test
    void incarnationStartsNoEarlierThanItsPredecessor() {
        ageOf(NOW_MS, false);
        assertTrue(incarnation.recordStatedStart(NOW_MS + 2000, NOW_MS - 1000, false));
        assertEquals(2000, incarnation.ageMs(NOW_MS + 2000));
    }

    @Test
    void sameZeroAndPreviousStartsAreNotNewIncarnations() {
        ageOf(NOW_MS - 2000, false);
        ageOf(NOW_MS - 1000, false);
        for (double stated : new double[] {NOW_MS - 1000, NOW_MS - 2000, 0}) {
            assertFalse(
                    incarnation.recordStatedStart(NOW_MS + 500, stated, false), "stated " + stated);
        }
        assertEquals(1500, incarnation.ageMs(NOW_MS + 500));
    }

    @Test
    void unlistedNodeHasInfiniteAge() {
        assertEquals(Double.POSITIVE_INFINITY, incarnation.ageMs(NOW_MS));
        assertFalse(incarnation.recordStatedStart(NOW_MS, 0, true));
        assertEquals(Double.POSITIVE_INFINITY, incarnation.ageMs(NOW_MS));
    }

    @Test
    void replacementResetsAgeOfEarlierIncarnationsOnly() {
        ageOf(NOW_MS, false);
        incarnation.markReplacedSince(NOW_MS + 5000, NOW_MS);
        assertEquals(5000, incarnation.ageMs(NOW_MS + 5000));
        incarnation.markReplacedSince(NOW_MS + 5000, NOW_MS + 1);
        assertEquals(0, incarnation.ageMs(NOW_MS + 5000));
    }

    @Test
    void firstListPeriodEndsWithDiscoveryUpdateOrMaxDelay() {
        Incarnations incarnations = new Incarnations();
        incarnations.started(NOW_MS);
        assertTrue(
                incarnations.isFirstList(NOW_MS + 10 * MAX_DELAY_MS), "no list has been received");
        incarnations.of("saved");
        assertTrue(incarnations.isFirstList(NOW_MS + MAX_DELAY_MS));
        assertFalse(incarnations.isFirstList(NOW_MS + MAX_DELAY_MS + 1));
        incarnations.markNodesReceived();
        assertFalse(incarnations.isFirstList(NOW_MS));
    }

    @Test
    void oldestNodesAreForgottenBeyondTheLimit() {
        Incarnations incarnations = new Incarnations();
        Incarnation first = incarnations.of("n0");
        for (int i = 1; i < Incarnations.MAX_NODES; i++) {
            incarnations.of("n" + i);
        }
        assertSame(first, incarnations.of("n0"));
        Incarnation second = incarnations.of("n1");
        incarnations.of("one more");
        assertSame(second, incarnations.of("n1"));
        assertFalse(first == incarnations.of("n0"), "the oldest was forgotten");
    }
}
