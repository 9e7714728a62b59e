package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
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
 * A change of one node among 3,200 costs no walk over all, and leaves the module where a whole list
 * would.
 */
class ManyNodesTest {

    private static final int NODES = 3200;
    private static final int CHANGES = 1000;

    /**
     * Of a change: its entry's own and a little; an array of all nodes takes 12,800 bytes at least.
     */
    private static final long MOST_BYTES = 2000;

    @Test
    void aChangeOfOneNodeAllocatesNothingForTheOthers() {
        Bench bench = Bench.withCaches(NODES);
        List<Node> entries = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            entries.add(
                    Bench.node("c" + i, 0, i % 2 == 0 ? Availability.DRAINING : Availability.UP));
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        entries.forEach(entry -> bench.change(entry));
        long each = (threads.getCurrentThreadAllocatedBytes() - before) / CHANGES;
        assertTrue(each < MOST_BYTES, each + " bytes a change");
    }

    /** The same fleet, told by changes and by whole lists, is sent the same requests. */
    @Test
    void changesLeaveWhatWholeListsLeave() {
        Bench changed = Bench.withCaches(40);
        Bench listed = Bench.withCaches(40);
        Map<String, Node> fleet = new LinkedHashMap<>();
        for (int i = 0; i < 40; i++) {
            fleet.put("c" + i, Bench.node("c" + i, 0, Availability.UP));
        }
        fleet.put("db", Bench.origin());
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 3000; i++) {
            Node entry = drawn(random, changed.now);
            fleet.put(entry.id(), entry);
            changed.change(entry);
            listed.router.nodes(
                    listed.now, ListKind.FULL, 2, List.copyOf(fleet.values()), listed.out);
            long key = random.nextInt(500);
            double waits = random.nextInt(30);
            Outcome outcome = random.nextInt(10) == 0 ? Outcome.MISS : Outcome.OK;
            serve(changed, key, outcome, waits);
            serve(listed, key, outcome, waits);
        }
        assertEquals(listed.out.log, changed.out.log);
        assertTrue(changed.out.sent.size() > 2000, changed.out.sent.size() + " sends");
    }

    private static Node drawn(SplittableRandom random, double now) {
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
        return Bench.node(
                "c" + random.nextInt(60),
                startedAt,
                random.nextBoolean() ? Availability.UP : availability);
    }

    private static void serve(Bench bench, long key, Outcome outcome, double waits) {
        int before = bench.out.sent.size();
        String id = bench.ask("dear", key);
        bench.advance(waits);
        if (bench.out.sent.size() > before) {
            bench.end(id, outcome);
        }
    }
}
