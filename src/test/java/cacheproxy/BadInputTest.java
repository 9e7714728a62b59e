package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that malformed or contradictory input breaks neither a rule nor the decision module. */
class BadInputTest {

    @Test
    void contradictorySnapshotIsAppliedEntryByEntry() {
        RouterHarness harness = RouterHarness.withCaches(2);
        harness.router.endpointListReceived(
                harness.now,
                EndpointListKind.SNAPSHOT,
                -5,
                List.of(
                        RouterHarness.node("c0", 0, Availability.UP),
                        RouterHarness.node("c0", 0, Availability.DRAINING),
                        RouterHarness.node("c1", 0, Availability.UP),
                        RouterHarness.origin()),
                harness.actions);
        for (int key = 0; key < 20; key++) {
            harness.endAttempt(harness.request("dear", key), Outcome.OK);
        }
        assertEquals(0, harness.actions.sentTo("c0"));
        harness.sendDelta(RouterHarness.node("c0", harness.now, Availability.UP));
        for (int key = 0; key < 50; key++) {
            harness.endAttempt(harness.request("dear", key), Outcome.OK);
            harness.advance(100);
        }
        assertTrue(harness.actions.sentTo("c0") > 0, "c0 is used again once it is listed as up");
    }

    @Test
    void invalidWeightsDoNotExcludeANode() {
        var settings = RouterHarness.settings(true, false);
        RouterHarness harness =
                new RouterHarness(
                        new Router.Settings(
                                0,
                                2,
                                "z",
                                5,
                                settings.classes(),
                                List.of(),
                                1,
                                false,
                                settings.limits(),
                                settings.rules(),
                                false,
                                Router.Weights.SIZE,
                                "origin"));
        harness.sendDelta(
                RouterHarness.origin(),
                weighted("c0", 0),
                weighted("c1", -3),
                weighted("c2", Double.NaN),
                weighted("c3", Double.POSITIVE_INFINITY),
                weighted("c4", 1e300));
        for (int key = 0; key < 200; key++) {
            harness.endAttempt(harness.request("dear", key), Outcome.OK);
        }
        for (int i = 0; i < 5; i++) {
            assertTrue(harness.actions.sentTo("c" + i) > 10, "c" + i);
        }
    }

    @Test
    void eventsForUnknownRequestsNodesAndTimersAreIgnored() {
        RouterHarness harness = RouterHarness.withCaches(2);
        int before = harness.actions.log.size();
        harness.router.attemptEnded(
                harness.now,
                new AttemptEnd("no", 0, "nowhere", Outcome.OK, 5, true, 0, Map.of()),
                harness.actions);
        harness.router.attemptEnded(
                harness.now,
                new AttemptEnd(
                        "no",
                        3,
                        "c0",
                        Outcome.MISS,
                        Double.NaN,
                        false,
                        9,
                        Map.of("backlog", Double.NaN)),
                harness.actions);
        harness.router.clientDisconnected(harness.now, "no", harness.actions);
        harness.router.streamStarted(harness.now, "no", 0, "c0", harness.actions);
        harness.router.timerFired(harness.now, "rno", harness.actions);
        harness.router.timerFired(harness.now, "whatever", harness.actions);
        harness.router.probeCompleted(
                harness.now, "nowhere", Outcome.ERROR, -1, Map.of(), harness.actions);
        harness.router.peerMessageReceived(harness.now, 99, new byte[300], harness.actions);
        assertEquals(before, harness.actions.log.size());
        assertEquals(1, harness.attemptCount(harness.request("dear", 1)));
    }

    @Test
    void clockJumpLosesNoRequest() {
        RouterHarness harness = RouterHarness.withCaches(2);
        String id = harness.request("dear", 1);
        harness.now += 60_000;
        harness.router.timerFired(harness.now, "r" + id, harness.actions);
        harness.router.timerFired(harness.now, "step", harness.actions);
        assertEquals(1, harness.actions.finalAnswers(id));
        assertEquals(1, harness.attemptCount(harness.request("dear", 2)));
    }

    @Test
    void unknownClassIsHandledAsUnsafe() {
        RouterHarness harness = RouterHarness.withCaches(2);
        String id = harness.request("never heard of", 1, true);
        harness.endAttempt(id, Outcome.ERROR);
        assertEquals(1, harness.attemptCount(id));
        assertEquals(List.of(id), harness.actions.failed);
    }

    private static Node weighted(String id, double weight) {
        return new Node(id, "cache", "z", 0, weight, 0, Availability.UP);
    }
}
