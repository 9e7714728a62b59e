package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests the routing of single requests: choice of the node, waiting for capacity or for a pending
 * fetch, ejection of failing nodes, and determinism.
 */
class RequestRoutingTest {

    @Test
    void keyUsesItsSecondNodeWhileItsFirstIsBusy() {
        RouterHarness harness = RouterHarness.withCaches(6);
        String first = harness.lastNodeOf(harness.request("dear", 42));
        String second = harness.lastNodeOf(harness.request("dear", 42));
        assertNotEquals(first, second);
        var seen = new TreeSet<String>();
        for (int i = 0; i < 20; i++) {
            for (int other = 1; other <= 6; other++) {
                harness.endAttempt(harness.request("dear", 100 * other + i), Outcome.OK);
            }
            String id = harness.request("dear", 42);
            if (harness.attemptCount(id) > 0) {
                seen.add(harness.lastNodeOf(id));
                harness.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(seen.size() == 1 || seen.size() == 2, seen.toString());
        assertTrue(seen.contains(first) || seen.contains(second));
    }

    @Test
    void requestsBeyondConcurrencyLimitAreRejectedEarly() {
        RouterHarness harness = RouterHarness.withCaches(2);
        for (int i = 0; i < 100; i++) {
            harness.request("dear", i);
        }
        harness.advance(150);
        assertTrue(harness.actions.sentTo("c0") <= 5 && harness.actions.sentTo("c1") <= 5);
        assertTrue(harness.actions.rejected.size() >= 90);
    }

    @Test
    void waitingReadsGetFreedCapacityByPriority() {
        RouterHarness harness = RouterHarness.withCaches(1);
        String first = harness.request("dear", 0);
        String last = first;
        while (harness.attemptCount(last) > 0) {
            last = harness.request("dear", 1);
        }
        harness.advance(1);
        String cheap = harness.request("cheap", 2);
        String dear = harness.request("dear", 3);
        harness.endAttempt(first, Outcome.OK);
        harness.advance(10);
        assertEquals(1, harness.attemptCount(dear));
        assertEquals(0, harness.attemptCount(cheap));
    }

    @Test
    void onlyKeysOfDepartedNodeMove() {
        RouterHarness harness = RouterHarness.withCaches(6);
        Map<Integer, String> before = new HashMap<>();
        for (int key = 0; key < 200; key++) {
            String id = harness.request("dear", key);
            before.put(key, harness.lastNodeOf(id));
            harness.endAttempt(id, Outcome.OK);
        }
        harness.sendDelta(RouterHarness.node("c3", 0, Availability.GONE));
        int moved = 0;
        for (int key = 0; key < 200; key++) {
            String id = harness.request("dear", key);
            if (before.get(key).equals("c3")) {
                moved++;
                assertNotEquals("c3", harness.lastNodeOf(id));
            } else {
                assertEquals(before.get(key), harness.lastNodeOf(id));
            }
            harness.endAttempt(id, Outcome.OK);
        }
        assertTrue(moved > 0);
    }

    @Test
    void secondReadWaitsForPendingFetchAndThenGoesToCacheNode() {
        RouterHarness harness = RouterHarness.withCaches(4);
        String fetcher = harness.request("dear", 9);
        while (!harness.lastNodeOf(fetcher).equals("db")) {
            harness.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = harness.request("dear", 9);
        assertEquals(0, harness.attemptCount(waiting));
        harness.endAttempt(fetcher, Outcome.OK);
        assertEquals(1, harness.attemptCount(waiting));
        assertNotEquals("db", harness.lastNodeOf(waiting));
    }

    @Test
    void originConnectFailureIsRetriedAndDoesNotThrottle() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int interval = 0; interval < 10; interval++) {
            for (int i = 0; i < 10; i++) {
                String id = harness.request("dear", 100 * interval + i);
                while (!harness.lastNodeOf(id).equals("db")) {
                    harness.endAttempt(id, Outcome.MISS);
                }
                harness.endAttempt(id, Outcome.CONNECT_FAILED);
                assertEquals("db", harness.lastNodeOf(id));
                assertEquals(0, harness.actions.finalAnswers(id), "the fetch is retried");
                harness.endAttempt(id, Outcome.OK);
            }
            harness.advance(1000);
            assertEquals(0, harness.router.controlLevel());
        }
    }

    @Test
    void waitingReadContinuesAloneIfFetchFails() {
        RouterHarness harness = RouterHarness.withCaches(4);
        String fetcher = harness.request("dear", 9);
        while (!harness.lastNodeOf(fetcher).equals("db")) {
            harness.endAttempt(fetcher, Outcome.MISS);
        }
        String waiting = harness.request("dear", 9);
        harness.endAttempt(fetcher, Outcome.REJECTED);
        assertEquals(1, harness.actions.finalAnswers(fetcher));
        assertEquals(1, harness.attemptCount(waiting));
    }

    @Test
    void failingNodeIsEjectedAndRetriedButNeverAllNodes() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int i = 0; i < 60; i++) {
            String id = harness.request("dear", i);
            while (harness.actions.finalAnswers(id) == 0 && harness.lastNodeOf(id).equals("c0")) {
                harness.endAttempt(id, Outcome.CONNECT_FAILED);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
            }
        }
        assertTrue(
                harness.actions.sentTo("c0") < 6,
                harness.actions.sentTo("c0") + " sends to the dead node");
        harness.advance(10_000);
        long before = harness.actions.sentTo("c0");
        for (int i = 0; i < 60; i++) {
            harness.endAttempt(harness.request("dear", i), Outcome.OK);
        }
        assertTrue(harness.actions.sentTo("c0") > before);

        RouterHarness allFailing = RouterHarness.withCaches(4);
        for (int i = 0; i < 60; i++) {
            String id = allFailing.request("dear", i);
            while (allFailing.actions.finalAnswers(id) == 0) {
                allFailing.endAttempt(id, Outcome.CONNECT_FAILED);
            }
        }
        int sent = allFailing.actions.sent.size();
        allFailing.advance(20_000);
        for (int i = 0; i < 20; i++) {
            allFailing.request("dear", i);
        }
        assertTrue(allFailing.actions.sent.size() > sent);
    }

    @Test
    void sameEventsLeadToTheSameActions() {
        RouterHarness one = RouterHarness.withCaches(5);
        RouterHarness two = RouterHarness.withCaches(5);
        for (RouterHarness harness : new RouterHarness[] {one, two}) {
            for (int i = 0; i < 300; i++) {
                String id = harness.request(i % 3 == 0 ? "cheap" : "dear", i % 40);
                if (i % 4 != 0 && harness.attemptCount(id) > 0) {
                    harness.endAttempt(
                            id,
                            i % 5 == 0 ? Outcome.MISS : i % 7 == 0 ? Outcome.TIMEOUT : Outcome.OK);
                }
                harness.advance(7);
            }
        }
        assertEquals(one.actions.log, two.actions.log);
    }

    @Test
    void siteWithoutOriginAndRequestWithoutKeyAreServed() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(false, false));
        harness.sendDelta(
                RouterHarness.node("c0", 0, Availability.UP),
                RouterHarness.node("c1", 0, Availability.UP));
        String read = harness.request("dear", -1);
        String write = harness.request("unsafe", 3, true);
        assertEquals(1, harness.attemptCount(read));
        assertEquals(1, harness.attemptCount(write));
    }

    @Test
    void slowerModelGetsFewerKeysIfNoSizesAreListed() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        harness.sendDelta(
                RouterHarness.origin(),
                RouterHarness.node("f0", 0, Availability.UP),
                RouterHarness.node("f1", 0, Availability.UP),
                new Router.Node("s0", "slow", "z", 0, 1, 0, Availability.UP),
                new Router.Node("s1", "slow", "z", 0, 1, 0, Availability.UP));
        for (int i = 0; i < 3000; i++) {
            String id = harness.request("dear", i);
            harness.endAttempt(id, Outcome.OK, harness.lastNodeOf(id).startsWith("s") ? 120 : 30);
            harness.advance(10);
        }
        harness.actions.sent.clear();
        for (int i = 0; i < 1000; i++) {
            harness.endAttempt(harness.request("dear", 9000 + i), Outcome.OK);
        }
        long slow = harness.actions.sentTo("s0") + harness.actions.sentTo("s1");
        assertTrue(slow > 150 && slow < 400, slow + " of 1000");
    }

    @Test
    void slowNodeIsPacedAndUsedFullyOnceItIsFast() {
        RouterHarness harness = RouterHarness.withCaches(1);
        serve(harness, 20, 400, 500);
        assertTrue(serve(harness, 20, 400, 500) < 15, "requests are paced while the node is slow");
        serve(harness, 20, 20, 1000);
        assertEquals(
                20, serve(harness, 20, 20, 100), "all requests are sent once the node is fast");
    }

    /**
     * Sends reads one after another, each answered in {@code elapsedMs}; a client whose read is not
     * sent at once disconnects. Returns how many were sent at once.
     */
    private static int serve(
            RouterHarness harness, int requests, double elapsedMs, double intervalMs) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            String id = harness.request("dear", i);
            if (harness.attemptCount(id) > 0) {
                sent++;
                harness.endAttempt(id, Outcome.OK, elapsedMs);
            } else {
                harness.router.clientDisconnected(harness.now, id, harness.actions);
            }
            harness.advance(intervalMs);
        }
        return sent;
    }

    /**
     * All reads but the first wait for its fetch. If each of them then started a fetch of its own,
     * the last would wait for the failed fetches of all others.
     */
    @Test
    void readsWaitingForFetchAreRejectedWithItIfOriginIsUnreachable() {
        RouterHarness harness = RouterHarness.withCaches(1);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            ids.add(harness.request("dear", 5));
        }
        ids.forEach(id -> harness.endAttempt(id, Outcome.MISS));
        assertEquals("db", harness.lastNodeOf(ids.get(0)));
        for (int fetch = 0; fetch < 2; fetch++) {
            assertEquals(List.of(), harness.actions.rejected);
            harness.advance(100);
            harness.endAttempt(ids.get(0), Outcome.CONNECT_FAILED, 500);
        }
        assertEquals(ids, harness.actions.rejected.stream().sorted().toList());
        assertEquals(2, harness.actions.sentTo("db"));
    }
}
