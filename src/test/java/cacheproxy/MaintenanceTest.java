package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that a node in maintenance gets no requests, whatever the endpoint list says, and that it
 * is used again once maintenance ends.
 */
class MaintenanceTest {

    private static final int NODES = 6;

    /** Sends a request and ends up to four attempts of it with random outcomes. */
    private static void sendRandomRequest(RouterHarness harness, Random random) {
        boolean write = random.nextInt(10) == 0;
        String id = harness.request(write ? "keyed" : "dear", random.nextInt(200), write);
        for (int i = 0;
                i < 4 && harness.actions.finalAnswers(id) == 0 && harness.attemptCount(id) > i;
                i++) {
            Outcome outcome =
                    List.of(
                                    Outcome.OK,
                                    Outcome.OK,
                                    Outcome.MISS,
                                    Outcome.ERROR,
                                    Outcome.CONNECT_FAILED,
                                    Outcome.TIMEOUT)
                            .get(random.nextInt(6));
            harness.endAttempt(id, harness.lastNodeOf(id).equals("db") ? Outcome.OK : outcome);
        }
    }

    @Test
    void nodeInMaintenanceGetsNoRequests() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            RouterHarness harness = RouterHarness.withCaches(NODES);
            Set<String> inMaintenance = new HashSet<>();
            Set<String> used = new HashSet<>();
            Map<String, Availability> listed = new HashMap<>();
            for (int i = 0; i < NODES; i++) {
                listed.put("c" + i, Availability.UP);
            }
            for (int step = 0; step < 600; step++) {
                String node = "c" + random.nextInt(NODES);
                switch (random.nextInt(12)) {
                    case 0 -> {
                        assertTrue(
                                harness.router.setMaintenance(
                                        harness.now, node, true, harness.actions));
                        inMaintenance.add(node);
                    }
                    case 1 -> {
                        assertTrue(
                                harness.router.setMaintenance(
                                        harness.now, node, false, harness.actions));
                        inMaintenance.remove(node);
                    }
                    case 2 -> {
                        Availability next = Availability.values()[random.nextInt(3)];
                        harness.sendDelta(
                                RouterHarness.node(
                                        node, random.nextBoolean() ? 0 : harness.now, next));
                        listed.put(node, next);
                    }
                    case 3 -> sendSnapshotWithout(harness, listed, node);
                    default -> harness.advance(50);
                }
                int before = harness.actions.sent.size();
                sendRandomRequest(harness, random);
                for (RecordingActions.SentAttempt attempt :
                        harness.actions.sent.subList(before, harness.actions.sent.size())) {
                    assertFalse(
                            inMaintenance.contains(attempt.node()),
                            "seed " + seed + " step " + step + " to " + attempt.node());
                    assertTrue(
                            attempt.node().equals("db")
                                    || listed.get(attempt.node()) == Availability.UP,
                            "seed " + seed + " step " + step);
                    used.add(attempt.node());
                }
            }
            assertTrue(used.size() > NODES / 2, "nodes that are not in maintenance are used");
        }
    }

    /**
     * Delivers a snapshot without the given node and without those removed before; marks the node
     * as gone in {@code listed}.
     */
    private static void sendSnapshotWithout(
            RouterHarness harness, Map<String, Availability> listed, String missing) {
        List<Node> entries = new ArrayList<>(List.of(RouterHarness.origin()));
        listed.replaceAll(
                (id, availability) -> id.equals(missing) ? Availability.GONE : availability);
        listed.forEach(
                (id, availability) -> {
                    if (availability != Availability.GONE) {
                        entries.add(RouterHarness.node(id, 0, availability));
                    }
                });
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.SNAPSHOT, 3, entries, harness.actions);
    }

    @Test
    void maintenanceOfUnlistedIdsAndTheOriginIsRejected() {
        RouterHarness harness = RouterHarness.withCaches(3);
        assertFalse(harness.router.setMaintenance(harness.now, "c9", true, harness.actions));
        assertFalse(harness.router.setMaintenance(harness.now, "db", true, harness.actions));
        harness.sendDelta(RouterHarness.node("c2", 0, Availability.GONE));
        assertTrue(
                harness.router.setMaintenance(harness.now, "c2", true, harness.actions),
                "c2 was listed before");
        assertTrue(harness.router.isKnownCacheNode("c2"));
        assertFalse(harness.router.isKnownCacheNode("c9") || harness.router.isKnownCacheNode("db"));
    }

    @Test
    void readsAreAnsweredSoonIfAllNodesAreInMaintenance() {
        RouterHarness harness = RouterHarness.withCaches(3);
        for (int i = 0; i < 3; i++) {
            harness.router.setMaintenance(harness.now, "c" + i, true, harness.actions);
        }
        String id = harness.request("dear", 1);
        harness.advance(PendingRequest.CAPACITY_WAIT_FRACTION * 300 + 20);
        assertEquals(0, harness.attemptCount(id));
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    /**
     * Returns how many of 27 reads are sent while none is answered, in a fleet of 15 nodes of which
     * one is in maintenance or removed from the list.
     */
    private static int sentWithoutC5(long firstKey, boolean inMaintenance) {
        RouterHarness harness = RouterHarness.withCaches(15);
        if (inMaintenance) {
            harness.router.setMaintenance(harness.now, "c5", true, harness.actions);
        } else {
            harness.sendDelta(RouterHarness.node("c5", 0, Availability.GONE));
        }
        harness.advance(DecisionModule.CONTROL_INTERVAL_MS);
        for (int i = 0; i < 27; i++) {
            harness.request("dear", firstKey + i);
        }
        return harness.actions.sent.size();
    }

    @Test
    void readWithBusyPairGoesToIdleNodeDuringMaintenance() {
        int sentDuringMaintenance = 0;
        int sentAfterRemoval = 0;
        for (int seed = 0; seed < 20; seed++) {
            sentDuringMaintenance += sentWithoutC5(1000 * seed, true);
            sentAfterRemoval += sentWithoutC5(1000 * seed, false);
        }
        assertTrue(
                sentDuringMaintenance > sentAfterRemoval,
                sentDuringMaintenance + " in maintenance, " + sentAfterRemoval + " after removal");
    }

    @Test
    void nodeAfterMaintenanceIsInSlowStartAndUsedWithinFiveSeconds() {
        RouterHarness harness = RouterHarness.withCaches(40);
        harness.router.setMaintenance(harness.now, "c0", true, harness.actions);
        harness.router.setMaintenance(harness.now, "c0", true, harness.actions);
        harness.advance(3000);
        harness.router.setMaintenance(harness.now, "c0", false, harness.actions);
        int used = 0;
        for (int i = 0; i < 8; i++) {
            harness.advance(500);
            String id = harness.request("dear", 7_000 + i);
            used += harness.lastNodeOf(id).equals("c0") ? 1 : 0;
            harness.endAttempt(id, Outcome.OK);
        }
        assertTrue(used >= 1, "used " + used);
        assertTrue(used <= 2, "requests to a node in slow start: " + used);
    }
}
