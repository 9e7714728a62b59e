package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests that a delta of one node among 3,200 allocates nothing for the other nodes, and that deltas
 * lead to the same decisions as snapshots.
 */
class ManyNodesTest {

    private static final int NODES = 3200;
    private static final int DELTAS = 1000;

    /**
     * Allows for the entry of the delta and some temporary objects. An array of references to all
     * nodes would take at least 12,800 bytes.
     */
    private static final long MAX_BYTES_PER_DELTA = 2000;

    @Test
    void deltaOfOneNodeAllocatesNothingForTheOthers() {
        RouterHarness harness = RouterHarness.withCaches(NODES);
        List<Node> entries = new ArrayList<>();
        for (int i = 0; i < DELTAS; i++) {
            entries.add(
                    RouterHarness.node(
                            "c" + i, 0, i % 2 == 0 ? Availability.DRAINING : Availability.UP));
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        entries.forEach(entry -> harness.sendDelta(entry));
        long bytesPerDelta = (threads.getCurrentThreadAllocatedBytes() - before) / DELTAS;
        assertTrue(
                bytesPerDelta < MAX_BYTES_PER_DELTA, bytesPerDelta + " bytes allocated per delta");
    }

    /** Compares all actions of two routers, one of which gets deltas and the other snapshots. */
    @Test
    void deltasAndSnapshotsLeadToTheSameActions() {
        RouterHarness withDeltas = RouterHarness.withCaches(40);
        RouterHarness withSnapshots = RouterHarness.withCaches(40);
        Map<String, Node> fleet = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            fleet.put("c" + i, RouterHarness.node("c" + i, 0, Availability.UP));
        }
        fleet.put("db", RouterHarness.origin());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 3000; i++) {
            Node entry = randomEntry(random, withDeltas.now);
            fleet.put(entry.id(), entry);
            withDeltas.sendDelta(entry);
            withSnapshots.router.endpointListReceived(
                    withSnapshots.now,
                    EndpointListKind.SNAPSHOT,
                    2,
                    List.copyOf(fleet.values()),
                    withSnapshots.actions);
            long key = random.nextInt(500);
            double responseMs = random.nextInt(30);
            Outcome outcome = random.nextInt(10) == 0 ? Outcome.MISS : Outcome.OK;
            serve(withDeltas, key, outcome, responseMs);
            serve(withSnapshots, key, outcome, responseMs);
        }
        assertEquals(withSnapshots.actions.log, withDeltas.actions.log);
        assertTrue(
                withDeltas.actions.sent.size() > 2000, withDeltas.actions.sent.size() + " sends");
    }

    /** Returns a random entry: mostly of one of 60 cache nodes, sometimes of the origin. */
    private static Node randomEntry(SplittableRandom random, double now) {
        Availability availability =
                Availability.values()[random.nextInt(Availability.values().length)];
        if (random.nextInt(20) == 0) {
            return new Node(
                    "db",
                    "origin",
                    "z",
                    0,
                    1,
                    0,
                    random.nextBoolean() ? Availability.UP : availability);
        }
        double startedAt = random.nextInt(4) == 0 ? now : 0;
        return RouterHarness.node(
                "c" + random.nextInt(60),
                startedAt,
                random.nextBoolean() ? Availability.UP : availability);
    }

    private static void serve(RouterHarness harness, long key, Outcome outcome, double responseMs) {
        int before = harness.actions.sent.size();
        String id = harness.request("dear", key);
        harness.advance(responseMs);
        if (harness.actions.sent.size() > before) {
            harness.endAttempt(id, outcome);
        }
    }
}
