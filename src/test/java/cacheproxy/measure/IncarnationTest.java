package cacheproxy.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IncarnationTest {

    private static final double NOW = 50_000_000;
    private static final double LATEST = Incarnation.LATEST_NOTICE_MS;

    private final Incarnation incarnation = new Incarnation();

    private double ageOf(double statedMs, boolean firstList) {
        assertTrue(incarnation.notified(NOW, statedMs, firstList));
        return incarnation.ageMs(NOW);
    }

    @Test
    void aStartThatIsToldWithinTheTermHasTheStatedAge() {
        assertEquals(LATEST, ageOf(NOW - LATEST, false));
    }

    @Test
    void aStartThatIsToldLaterThanTheTermIsAsOldAsTheTermAllows() {
        assertEquals(LATEST, ageOf(NOW - LATEST - 1, false));
        double furthest = NOW - Incarnation.LONGEST_OUTAGE_MS;
        assertEquals(LATEST, new IncarnationTest().ageOf(furthest, false));
    }

    @Test
    void aStartFurtherBackThanAnyOutageCountsFromTheNotification() {
        assertEquals(0, ageOf(NOW - Incarnation.LONGEST_OUTAGE_MS - 1, false));
    }

    @Test
    void aStartInOurFutureCountsFromTheNotification() {
        assertEquals(0, ageOf(NOW + 1, true));
        assertEquals(1000, incarnation.ageMs(NOW + 1000));
    }

    @Test
    void aFirstListMayTellOfAnyAge() {
        assertEquals(1e6, ageOf(NOW - 1e6, true));
    }

    @Test
    void aStatedTimeThatIsNoNumberCountsFromTheNotification() {
        assertEquals(0, ageOf(Double.NaN, true));
        assertFalse(incarnation.notified(NOW, Double.NaN, true));
    }

    @Test
    void anEarlierStatedStartIsAnotherIncarnation() {
        ageOf(NOW, false);
        assertTrue(incarnation.notified(NOW + 9000, NOW - 3_600_000, false));
        assertEquals(0, incarnation.ageMs(NOW + 9000));
    }

    @Test
    void anIncarnationDoesNotBeginBeforeTheOneThatItFollows() {
        ageOf(NOW, false);
        assertTrue(incarnation.notified(NOW + 2000, NOW - 1000, false));
        assertEquals(2000, incarnation.ageMs(NOW + 2000));
    }

    @Test
    void theSameStartALongAgoAndTheOneBeforeAreNoNewIncarnation() {
        ageOf(NOW - 2000, false);
        ageOf(NOW - 1000, false);
        for (double stated : new double[] {NOW - 1000, NOW - 2000, 0}) {
            assertFalse(incarnation.notified(NOW + 500, stated, false), "stated " + stated);
        }
        assertEquals(1500, incarnation.ageMs(NOW + 500));
    }

    @Test
    void oneThatNoListHasToldOfRunsForEver() {
        assertEquals(Double.POSITIVE_INFINITY, incarnation.ageMs(NOW));
        assertFalse(incarnation.notified(NOW, 0, true));
        assertEquals(Double.POSITIVE_INFINITY, incarnation.ageMs(NOW));
    }

    @Test
    void whatBeganBeforeAReplacementCountsFromNowAndWhatBeganSinceKeepsItsAge() {
        ageOf(NOW, false);
        incarnation.replacedSince(NOW + 5000, NOW);
        assertEquals(5000, incarnation.ageMs(NOW + 5000));
        incarnation.replacedSince(NOW + 5000, NOW + 1);
        assertEquals(0, incarnation.ageMs(NOW + 5000));
    }

    @Test
    void aListIsTheFirstUntilDiscoveryHasSpokenOrHadItsTimeTo() {
        Incarnations all = new Incarnations();
        all.started(NOW);
        assertTrue(all.isFirstList(NOW + 10 * LATEST), "none has come");
        all.of("saved");
        assertTrue(all.isFirstList(NOW + LATEST));
        assertFalse(all.isFirstList(NOW + LATEST + 1));
        all.notified();
        assertFalse(all.isFirstList(NOW));
    }

    @Test
    void nodesAreRememberedUpToABoundAndTheOldestGoFirst() {
        Incarnations all = new Incarnations();
        Incarnation first = all.of("n0");
        for (int i = 1; i < Incarnations.REMEMBERED; i++) {
            all.of("n" + i);
        }
        assertSame(first, all.of("n0"));
        Incarnation second = all.of("n1");
        all.of("one more");
        assertSame(second, all.of("n1"));
        assertFalse(first == all.of("n0"), "the oldest was forgotten");
    }
}
