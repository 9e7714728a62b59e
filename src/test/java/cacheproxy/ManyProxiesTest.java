package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Tests a router that is one of hundreds, each with a few requests per second. */
class ManyProxiesTest {

    private static final int PROXIES = 600;

    private static Settings settings(boolean peers, Router.Connections connections) {
        var limits = new Router.Limits(6, true, false, peers, true, 500, false, 150);
        return new Settings(
                0,
                PROXIES,
                "z",
                5,
                RouterHarness.serviceClasses(),
                List.of(),
                1,
                false,
                limits,
                RouterHarness.RULES,
                false,
                Router.Weights.NONE,
                "origin",
                connections);
    }

    private static RouterHarness harness(boolean peers, int caches) {
        RouterHarness harness = new RouterHarness(settings(peers, Router.Connections.FREE));
        harness.sendSnapshot(caches);
        return harness;
    }

    @Test
    void idleConnectionIsClosedIfKeepingCostsMoreThanReopening() {
        RouterHarness harness =
                new RouterHarness(settings(false, new Router.Connections(60_000, 0.03, 0.03)));
        harness.sendSnapshot(4);
        String id = harness.request("dear", 1);
        harness.endAttempt(id, Outcome.OK);
        assertEquals(List.of(harness.lastNodeOf(id)), harness.actions.closed);
    }

    @Test
    void connectionsStayOpenIfTheyCostNothing() {
        RouterHarness harness = harness(false, 4);
        harness.endAttempt(harness.request("dear", 1), Outcome.OK);
        harness.advance(5000);
        assertEquals(List.of(), harness.actions.closed);
    }

    @Test
    void hotKeyIsSpreadOverMoreThanFourNodes() {
        RouterHarness harness = harness(false, 40);
        var hot = new TreeSet<String>();
        for (int i = 0; i < 400; i++) {
            String id = harness.request("dear", i % 4 == 0 ? 42 : 1000 + i);
            if (i % 4 == 0) {
                hot.add(harness.lastNodeOf(id));
            }
            harness.endAttempt(id, Outcome.OK);
            harness.advance(400);
        }
        assertTrue(hot.size() > 4, hot.toString());
    }

    @Test
    void hotKeyIsLearnedFromPeers() {
        RouterHarness notified = harness(true, 40);
        RouterHarness notNotified = harness(true, 40);
        RouterHarness sender = harness(true, 40);
        for (int i = 0; i < 4000; i++) {
            sender.endAttempt(sender.request("dear", i % 4 == 0 ? 42 : 1000 + i), Outcome.OK);
            sender.advance(100);
        }
        assertTrue(
                !sender.actions.peerMessages.isEmpty() && sender.actions.peerMessages.size() < 200,
                "number of peer messages for 4000 requests: " + sender.actions.peerMessages.size());
        for (int round = 0; round < 6; round++) {
            for (byte[] message : sender.actions.peerMessages) {
                notified.router.peerMessageReceived(notified.now, 5, message, notified.actions);
            }
        }
        assertEquals(1, nodesOfKey42(notNotified, 3).size());
        assertTrue(nodesOfKey42(notified, 30).size() > 2);
    }

    private static TreeSet<String> nodesOfKey42(RouterHarness harness, int times) {
        var nodes = new TreeSet<String>();
        for (int i = 0; i < times; i++) {
            String id = harness.request("dear", 42);
            nodes.add(harness.lastNodeOf(id));
            harness.endAttempt(id, Outcome.OK);
            harness.advance(2000);
        }
        return nodes;
    }

    @Test
    void randomShareOfRequestsIsRejectedIfFewAreAnswered() {
        RouterHarness harness = harness(false, 40);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            String id = harness.request("dear", i);
            if (harness.attemptCount(id) > 0) {
                sent++;
                harness.endAttempt(id, Outcome.TIMEOUT, 300);
            }
            harness.advance(200);
        }
        assertTrue(sent < 100, sent + " of 200 sent while no node answers");
        harness.advance(20_000);
        int sentAfterRecovery = 0;
        for (int i = 0; i < 100; i++) {
            String id = harness.request("dear", 5000 + i);
            if (harness.attemptCount(id) > 0) {
                sentAfterRecovery++;
                harness.endAttempt(id, Outcome.OK);
            }
            harness.advance(200);
        }
        assertTrue(
                sentAfterRecovery > 60, sentAfterRecovery + " of 100 sent once the nodes answer");
    }

    @Test
    void recentAttemptsCauseNoRejectionsAtLowRate() {
        RouterHarness harness = harness(false, 40);
        for (int i = 0; i < 20; i++) {
            String id = harness.request("dear", i);
            assertEquals(1, harness.attemptCount(id), "request " + i);
            harness.advance(100);
            harness.endAttempt(id, Outcome.OK);
            harness.advance(4850);
        }
    }

    @Test
    void allRoutersTogetherStayWithinSlowStartBudget() {
        int routers = 60;
        double requestIntervalMs = 400;
        var fleet = new ArrayList<RouterHarness>();
        for (int i = 0; i < routers; i++) {
            fleet.add(harness(false, 10));
        }
        long requestCount = 0;
        int sentInSlowStart = 0;
        for (double elapsedMs = 0; elapsedMs < 24_000; elapsedMs += requestIntervalMs) {
            boolean restarted = elapsedMs >= 20_000;
            for (int i = 0; i < routers; i++) {
                RouterHarness harness = fleet.get(i);
                if (elapsedMs == 20_000) {
                    harness.sendDelta(
                            new Node("c0", "cache", "z", 0, 1, harness.now, Availability.UP));
                }
                // Half of the requests are for one key, each of the others for a different key.
                String id = "f" + i + "n" + requestCount++;
                harness.router.requestReceived(
                        harness.now,
                        new Router.Request(
                                id,
                                "dear",
                                null,
                                requestCount % 2 == 0 ? 42 : requestCount,
                                0,
                                RouterHarness.BUDGET_MS,
                                false,
                                false),
                        harness.actions);
                if (harness.attemptCount(id) > 0) {
                    sentInSlowStart += restarted && harness.lastNodeOf(id).equals("c0") ? 1 : 0;
                    harness.endAttempt(id, Outcome.OK);
                }
                harness.advance(requestIntervalMs);
            }
        }
        double usualPerS = routers * 1000 / requestIntervalMs / 10;
        double limit =
                RouterHarness.RULES.slowStartLoadMultiple()
                        * RouterHarness.RULES.slowStartInitialFraction()
                        * usualPerS
                        * 4;
        assertTrue(
                sentInSlowStart > 0 && sentInSlowStart < limit,
                sentInSlowStart + " requests sent to the node in slow start, limit " + limit);
    }

    @Test
    void malformedPeerMessageIsIgnored() {
        RouterHarness harness = harness(true, 4);
        harness.router.peerMessageReceived(harness.now, 3, new byte[] {1, 2, 3}, harness.actions);
        harness.router.peerMessageReceived(harness.now, 3, new byte[0], harness.actions);
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.DELTA, 3, List.of(), harness.actions);
        assertEquals(1, harness.attemptCount(harness.request("dear", 1)));
        harness.router.probeCompleted(harness.now, "c0", Outcome.OK, 1, Map.of(), harness.actions);
    }
}
