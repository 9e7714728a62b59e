package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests the reaction to suspicions of peers: a suspicion alone moves no request, a failed probe by
 * this proxy does.
 */
class PeerSuspicionTest {

    private static RouterHarness harness(boolean probes) {
        Settings plain = RouterHarness.settings(true, false);
        var limits = new Router.Limits(6, true, probes, false, true, 500, false, 150);
        RouterHarness harness =
                new RouterHarness(
                        new Settings(
                                0,
                                2,
                                "z",
                                5,
                                plain.classes(),
                                List.of(),
                                1,
                                false,
                                limits,
                                plain.rules(),
                                false,
                                Router.Weights.NONE,
                                "origin"));
        harness.sendSnapshot(5);
        return harness;
    }

    private static long sentToC0(RouterHarness harness, int requests) {
        long before = harness.actions.sentTo("c0");
        for (int i = 0; i < requests; i++) {
            harness.endAttempt(harness.request("dear", 5000 + i), Outcome.OK);
        }
        return harness.actions.sentTo("c0") - before;
    }

    private static long probesOfC0(RouterHarness harness) {
        return harness.actions.log.stream().filter("probe c0"::equals).count();
    }

    private static void completeProbe(RouterHarness harness, Outcome outcome) {
        harness.router.probeCompleted(harness.now, "c0", outcome, 10, Map.of(), harness.actions);
    }

    @Test
    void suspicionMovesNoRequestsAndStartsOneProbe() {
        RouterHarness suspecting = harness(true);
        RouterHarness unsuspecting = harness(true);
        suspecting.router.suspicionChanged(suspecting.now, "c0", true, suspecting.actions);
        suspecting.router.suspicionChanged(suspecting.now, "c0", true, suspecting.actions);
        suspecting.router.suspicionChanged(suspecting.now, "db", true, suspecting.actions);
        suspecting.router.suspicionChanged(suspecting.now, "unknown", true, suspecting.actions);
        assertEquals(1, probesOfC0(suspecting));
        assertEquals(
                1,
                suspecting.actions.log.stream().filter(l -> l.startsWith("probe")).count(),
                "only known cache nodes are probed");
        long usual = sentToC0(unsuspecting, 300);
        assertTrue(usual > 20);
        assertEquals(usual, sentToC0(suspecting, 300));
        completeProbe(suspecting, Outcome.OK);
        assertEquals(sentToC0(unsuspecting, 300), sentToC0(suspecting, 300));
        // If probes are not allowed, a suspicion only shortens timeouts.
        RouterHarness withoutProbes = harness(false);
        withoutProbes.router.suspicionChanged(withoutProbes.now, "c0", true, withoutProbes.actions);
        assertEquals(0, probesOfC0(withoutProbes));
        assertEquals(usual, sentToC0(withoutProbes, 300));
    }

    @Test
    void failedProbeEjectsNodeUntilProbeIsAnswered() {
        RouterHarness harness = harness(true);
        harness.router.suspicionChanged(harness.now, "c0", true, harness.actions);
        for (int i = 0; i < 10; i++) {
            completeProbe(harness, Outcome.TIMEOUT);
            assertEquals(0, sentToC0(harness, 200));
            harness.advance(DecisionModule.REPROBE_DELAY_MS);
            assertEquals(i + 2, probesOfC0(harness));
        }
        // The suspicion ends, but this proxy's own probes still fail.
        harness.router.suspicionChanged(harness.now, "c0", false, harness.actions);
        completeProbe(harness, Outcome.CONNECT_FAILED);
        assertEquals(0, sentToC0(harness, 200));
        harness.advance(DecisionModule.REPROBE_DELAY_MS);
        completeProbe(harness, Outcome.OK);
        assertTrue(sentToC0(harness, 200) > 10);
        long probesBefore = probesOfC0(harness);
        harness.advance(20 * DecisionModule.REPROBE_DELAY_MS);
        assertEquals(
                probesBefore, probesOfC0(harness), "a node that has recovered is not probed again");
    }

    @Test
    void atMostAThirdOfTheNodesIsEjectedOnSuspicion() {
        RouterHarness harness = harness(true);
        for (int i = 0; i < 5; i++) {
            harness.router.suspicionChanged(harness.now, "c" + i, true, harness.actions);
            harness.router.probeCompleted(
                    harness.now, "c" + i, Outcome.TIMEOUT, 200, Map.of(), harness.actions);
        }
        long before = harness.actions.sent.size();
        List<String> used = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String id = harness.request("dear", 9000 + i);
            used.add(harness.lastNodeOf(id));
            harness.endAttempt(id, Outcome.OK);
        }
        assertEquals(before + 200, harness.actions.sent.size());
        assertEquals(4, used.stream().distinct().count());
    }

    @Test
    void failedProbeMovesReadsButNotUnsafeWrites() {
        RouterHarness harness = harness(true);
        String read = null;
        String write = null;
        for (int i = 0; i < 100 && write == null; i++) {
            // Requests at other nodes stay in flight too, or c0 would be the busier of each pair.
            String id = harness.request(read == null ? "dear" : "unsafe", 100 + i);
            if (harness.lastNodeOf(id).equals("c0")) {
                write = read == null ? null : id;
                read = read == null ? id : read;
            }
        }
        harness.router.suspicionChanged(harness.now, "c0", true, harness.actions);
        harness.advance(200);
        completeProbe(harness, Outcome.TIMEOUT);
        assertEquals(List.of(read), harness.actions.cancelled);
        harness.endAttempt(read, Outcome.CANCELLED);
        assertNotEquals("c0", harness.lastNodeOf(read));
        assertEquals(2, harness.attemptCount(read));
        assertEquals(1, harness.attemptCount(write));
        assertFalse(harness.actions.rejected.contains(read));
    }

    @Test
    void suspicionEndsWhenTheNodeLeavesTheList() {
        RouterHarness harness = harness(true);
        harness.router.suspicionChanged(harness.now, "c0", true, harness.actions);
        completeProbe(harness, Outcome.TIMEOUT);
        harness.sendDelta(RouterHarness.node("c0", 0, Availability.GONE));
        assertEquals(0, sentToC0(harness, 100));
        harness.advance(3 * DecisionModule.REPROBE_DELAY_MS);
        long probesBefore = probesOfC0(harness);
        harness.advance(10 * DecisionModule.REPROBE_DELAY_MS);
        assertEquals(probesBefore, probesOfC0(harness), "a node that left the list is not probed");
        harness.sendDelta(RouterHarness.node("c0", harness.now - 60_000, Availability.UP));
        // Whatever start is stated, the node may be in slow start when it is listed; wait until
        // that is over.
        harness.advance(RouterHarness.RULES.slowStartMs());
        assertEquals(probesBefore, probesOfC0(harness), "the new incarnation is not suspected");
        assertTrue(sentToC0(harness, 200) > 10);
    }
}
