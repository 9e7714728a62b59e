package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.measure.Incarnation;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests slow start if the wall clocks of cache nodes, discovery and the proxy disagree. */
class IncarnationAgeTest {

    private static final double HOUR_MS = 3_600_000;
    private static final double TEN_MINUTES_MS = 600_000;
    private static final int NODES = 4;
    private static final int READS = 400;
    private static final double READ_INTERVAL_MS = 5;

    /** Reads per node if all nodes are warm. */
    private static final double READS_PER_WARM_NODE = READS / (double) NODES;

    private long nextKey;

    /**
     * Returns a proxy that has no endpoint list yet. Its clock is advanced so that a time of an
     * hour ago is not negative.
     */
    private static RouterHarness proxyWithoutNodes() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        harness.advance(3 * HOUR_MS);
        return harness;
    }

    /** Returns a list entry of c0 with the given stated start. */
    private static Node c0StartedAt(double statedMs) {
        return RouterHarness.node("c0", statedMs, Availability.UP);
    }

    /** Delivers a complete endpoint list: c0 with its stated start and three warm nodes. */
    private static void sendList(RouterHarness harness, EndpointListKind kind, double statedMs) {
        List<Node> nodes =
                List.of(
                        c0StartedAt(statedMs),
                        RouterHarness.node("c1", 0, Availability.UP),
                        RouterHarness.node("c2", 0, Availability.UP),
                        RouterHarness.node("c3", 0, Availability.UP),
                        RouterHarness.origin());
        harness.router.endpointListReceived(harness.now, kind, 1, nodes, harness.actions);
    }

    /** Returns a proxy whose first endpoint list states that c0 started so long ago. */
    private static RouterHarness proxyWithC0OfAge(double statedAgeMs) {
        RouterHarness harness = proxyWithoutNodes();
        sendList(harness, EndpointListKind.SNAPSHOT, harness.now - statedAgeMs);
        return harness;
    }

    /** Sends reads for 2 s, of the 10 s of slow start, and returns how many were sent to c0. */
    private long sentToC0(RouterHarness harness) {
        long before = harness.actions.sentTo("c0");
        for (int i = 0; i < READS; i++) {
            harness.endAttempt(harness.request("dear", nextKey++), Outcome.OK);
            harness.advance(READ_INTERVAL_MS);
        }
        return harness.actions.sentTo("c0") - before;
    }

    private void assertInSlowStart(RouterHarness harness) {
        long sent = sentToC0(harness);
        assertTrue(
                sent > 0 && sent < 0.5 * READS_PER_WARM_NODE,
                "in slow start: " + sent + " of " + READS);
    }

    private void assertWarm(RouterHarness harness) {
        long sent = sentToC0(harness);
        assertTrue(sent > 0.8 * READS_PER_WARM_NODE, "warm: " + sent + " of " + READS);
    }

    private static void passSlowStart(RouterHarness harness) {
        harness.advance(RouterHarness.RULES.slowStartMs());
    }

    private void assertInSlowStartThenWarm(RouterHarness harness) {
        assertInSlowStart(harness);
        passSlowStart(harness);
        assertWarm(harness);
    }

    @Test
    void restartAfterClockStepBackGetsSlowStart() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        assertWarm(harness);
        harness.sendDelta(c0StartedAt(harness.now - HOUR_MS));
        assertInSlowStartThenWarm(harness);
    }

    @Test
    void restartAfterClockStepForwardIsWarmAfterSlowStart() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        harness.sendDelta(c0StartedAt(harness.now + HOUR_MS));
        assertInSlowStartThenWarm(harness);
    }

    @Test
    void proxyWithFastClockGivesRestartedNodeSlowStart() {
        RouterHarness harness = proxyWithC0OfAge(HOUR_MS + TEN_MINUTES_MS);
        assertWarm(harness);
        harness.sendDelta(c0StartedAt(harness.now - HOUR_MS));
        assertInSlowStartThenWarm(harness);
    }

    @Test
    void proxyWithSlowClockGivesEachIncarnationOneSlowStart() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS - HOUR_MS);
        assertInSlowStartThenWarm(harness);
        harness.sendDelta(c0StartedAt(harness.now + HOUR_MS));
        assertInSlowStartThenWarm(harness);
    }

    @Test
    void sameStatedStartIsSameIncarnationAfterNodeLeftTheList() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        double stated = harness.now + HOUR_MS;
        harness.sendDelta(c0StartedAt(stated));
        passSlowStart(harness);
        sendList(harness, EndpointListKind.SNAPSHOT, stated);
        assertWarm(harness);
        harness.sendDelta(RouterHarness.node("c0", stated, Availability.GONE));
        harness.advance(60_000);
        harness.sendDelta(c0StartedAt(stated));
        assertWarm(harness);
    }

    @Test
    void ageOfLateNotifiedStartIsCappedAtMaxNotificationDelay() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        harness.sendDelta(c0StartedAt(harness.now - 5 * Incarnation.MAX_NOTIFICATION_DELAY_MS));
        RouterHarness atMaxDelay = proxyWithC0OfAge(TEN_MINUTES_MS);
        atMaxDelay.sendDelta(c0StartedAt(atMaxDelay.now - Incarnation.MAX_NOTIFICATION_DELAY_MS));
        long sent = sentToC0(harness);
        nextKey = 0;
        assertEquals(sentToC0(atMaxDelay), sent);
        assertTrue(sent < 0.6 * READS_PER_WARM_NODE, "in slow start: " + sent + " of " + READS);
    }

    /** Compares all actions of the two routers, which include times, so the ages are equal. */
    @Test
    void notificationDelayDoesNotChangeAge() {
        RouterHarness atOnce = proxyWithC0OfAge(TEN_MINUTES_MS);
        RouterHarness late = proxyWithC0OfAge(TEN_MINUTES_MS);
        double start = atOnce.now;
        atOnce.sendDelta(c0StartedAt(start));
        atOnce.advance(2000);
        late.advance(2000);
        late.sendDelta(c0StartedAt(start));
        sentToC0(atOnce);
        nextKey = 0;
        sentToC0(late);
        assertEquals(atOnce.actions.log, late.actions.log);
    }

    @Test
    void slowStartAfterMaintenanceBeginsAtItsEndIfStatedStartIsInFuture() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        harness.sendDelta(c0StartedAt(harness.now + HOUR_MS));
        passSlowStart(harness);
        harness.router.setMaintenance(harness.now, "c0", true, harness.actions);
        harness.advance(5000);
        harness.router.setMaintenance(harness.now, "c0", false, harness.actions);
        assertInSlowStartThenWarm(harness);
    }

    @Test
    void ageOfRestartDuringMaintenanceCountsFromNotification() {
        RouterHarness harness = proxyWithC0OfAge(TEN_MINUTES_MS);
        harness.router.setMaintenance(harness.now, "c0", true, harness.actions);
        harness.advance(5000);
        harness.sendDelta(c0StartedAt(harness.now - HOUR_MS));
        passSlowStart(harness);
        harness.router.setMaintenance(harness.now, "c0", false, harness.actions);
        assertWarm(harness);
    }

    @Test
    void firstUpdateAfterStoredSnapshotMayStateEarlierStart() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        harness.now += HOUR_MS;
        harness.router.started(harness.now, harness.actions);
        sendList(harness, EndpointListKind.STORED_SNAPSHOT, harness.now - 3 * TEN_MINUTES_MS);
        harness.advance(500);
        harness.sendDelta(c0StartedAt(harness.now - TEN_MINUTES_MS));
        assertWarm(harness);
    }

    @Test
    void restartNotifiedAfterFirstListPeriodGetsSlowStart() {
        RouterHarness harness = proxyWithoutNodes();
        sendList(harness, EndpointListKind.STORED_SNAPSHOT, harness.now - HOUR_MS - TEN_MINUTES_MS);
        harness.advance(Incarnation.MAX_NOTIFICATION_DELAY_MS + 500);
        harness.sendDelta(c0StartedAt(harness.now - HOUR_MS));
        assertInSlowStartThenWarm(harness);
    }
}
