package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.measure.Incarnation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Slow start where the wall clocks of the cache nodes, of discovery and of the proxy disagree. */
class IncarnationAgeTest {

    private static final double HOUR_MS = 3_600_000;
    private static final double TEN_MINUTES_MS = 600_000;
    private static final int NODES = 4;
    private static final int READS = 400;
    private static final double GAP_MS = 5;

    /** A node's part of the reads if all are warm. */
    private static final double USUAL = READS / (double) NODES;

    private long nextKey;

    /** A proxy that has no list yet; by its clock a time of an hour ago is not negative. */
    private static Bench proxy() {
        Bench b = new Bench(Bench.settings(true, false));
        b.advance(3 * HOUR_MS);
        return b;
    }

    private static Node started(double statedMs) {
        return Bench.node("c0", statedMs, Availability.UP);
    }

    /** The whole list: c0 with its stated start, and others that are warm. */
    private static void list(Bench b, ListKind kind, double statedMs) {
        List<Node> nodes =
                List.of(
                        started(statedMs),
                        Bench.node("c1", 0, Availability.UP),
                        Bench.node("c2", 0, Availability.UP),
                        Bench.node("c3", 0, Availability.UP),
                        Bench.origin());
        b.router.nodes(b.now, kind, 1, nodes, b.out);
    }

    private static Bench proxyThatKnows(double statedAgeMs) {
        Bench b = proxy();
        list(b, ListKind.FULL, b.now - statedAgeMs);
        return b;
    }

    /** How many of some reads go to c0; they take two of the ten seconds of slow start. */
    private long sentToC0(Bench b) {
        long before = b.out.sentTo("c0");
        for (int i = 0; i < READS; i++) {
            b.end(b.ask("dear", nextKey++), Outcome.OK);
            b.advance(GAP_MS);
        }
        return b.out.sentTo("c0") - before;
    }

    private void assertCold(Bench b) {
        long sent = sentToC0(b);
        assertTrue(sent > 0 && sent < 0.5 * USUAL, "cold: " + sent + " of " + READS);
    }

    private void assertWarm(Bench b) {
        long sent = sentToC0(b);
        assertTrue(sent > 0.8 * USUAL, "warm: " + sent + " of " + READS);
    }

    private static void passSlowStart(Bench b) {
        b.advance(Bench.RULES.coldMs());
    }

    private void assertColdThenWarm(Bench b) {
        assertCold(b);
        passSlowStart(b);
        assertWarm(b);
    }

    @Test
    void aRestartAfterAStepBackOfAnHourIsCold() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        assertWarm(b);
        b.change(started(b.now - HOUR_MS));
        assertColdThenWarm(b);
    }

    @Test
    void aRestartAfterAStepForwardOfAnHourIsWarmOnceItsSlowStartHasPassed() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        b.change(started(b.now + HOUR_MS));
        assertColdThenWarm(b);
    }

    @Test
    void aProxyWhoseClockIsAnHourFastTakesARestartForCold() {
        Bench b = proxyThatKnows(HOUR_MS + TEN_MINUTES_MS);
        assertWarm(b);
        b.change(started(b.now - HOUR_MS));
        assertColdThenWarm(b);
    }

    @Test
    void aProxyWhoseClockIsAnHourSlowTakesNodesOfItsFirstListForColdOnlyOnce() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS - HOUR_MS);
        assertColdThenWarm(b);
        b.change(started(b.now + HOUR_MS));
        assertColdThenWarm(b);
    }

    @Test
    void theSameStatedStartIsTheSameIncarnationAlsoAfterItHasLeftTheList() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        double stated = b.now + HOUR_MS;
        b.change(started(stated));
        passSlowStart(b);
        list(b, ListKind.FULL, stated);
        assertWarm(b);
        b.change(Bench.node("c0", stated, Availability.GONE));
        b.advance(60_000);
        b.change(started(stated));
        assertWarm(b);
    }

    @Test
    void aStartToldLaterThanTheTermAllowsIsNoOlderThanThat() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        b.change(started(b.now - 5 * Incarnation.LATEST_NOTICE_MS));
        Bench atTheTerm = proxyThatKnows(TEN_MINUTES_MS);
        atTheTerm.change(started(atTheTerm.now - Incarnation.LATEST_NOTICE_MS));
        long sent = sentToC0(b);
        nextKey = 0;
        assertEquals(sentToC0(atTheTerm), sent);
        assertTrue(sent < 0.6 * USUAL, "in slow start: " + sent + " of " + READS);
    }

    /** The whole of the router's actions is compared, so the age is the same to the last digit. */
    @Test
    void aStartToldTwoSecondsLateHasTheAgeOfOneToldAtOnce() {
        Bench atOnce = proxyThatKnows(TEN_MINUTES_MS);
        Bench late = proxyThatKnows(TEN_MINUTES_MS);
        double start = atOnce.now;
        atOnce.change(started(start));
        atOnce.advance(2000);
        late.advance(2000);
        late.change(started(start));
        sentToC0(atOnce);
        nextKey = 0;
        sentToC0(late);
        assertEquals(atOnce.out.log, late.out.log);
    }

    @Test
    void aNodeBackFromMaintenanceIsColdFromThenAlsoIfItsStatedStartIsInOurFuture() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        b.change(started(b.now + HOUR_MS));
        passSlowStart(b);
        b.router.maintain(b.now, "c0", true, b.out);
        b.advance(5000);
        b.router.maintain(b.now, "c0", false, b.out);
        assertColdThenWarm(b);
    }

    @Test
    void aRestartDuringMaintenanceCountsFromItsNotificationAlsoAfterAStepBack() {
        Bench b = proxyThatKnows(TEN_MINUTES_MS);
        b.router.maintain(b.now, "c0", true, b.out);
        b.advance(5000);
        b.change(started(b.now - HOUR_MS));
        passSlowStart(b);
        b.router.maintain(b.now, "c0", false, b.out);
        assertWarm(b);
    }

    @Test
    void whatDiscoverySaysFirstOfNodesThatTheSavedListDidNotNameMayBeLongAgo() {
        Bench b = new Bench(Bench.settings(true, false));
        b.now += HOUR_MS;
        b.router.started(b.now, b.out);
        list(b, ListKind.REMEMBERED, b.now - 3 * TEN_MINUTES_MS);
        b.advance(500);
        b.change(started(b.now - TEN_MINUTES_MS));
        assertWarm(b);
    }

    @Test
    void aRestartAfterTheTimeForFirstNewsIsColdThoughDiscoveryHadNothingToTellBefore() {
        Bench b = proxy();
        list(b, ListKind.REMEMBERED, b.now - HOUR_MS - TEN_MINUTES_MS);
        b.advance(Incarnation.LATEST_NOTICE_MS + 500);
        b.change(started(b.now - HOUR_MS));
        assertColdThenWarm(b);
    }
}
