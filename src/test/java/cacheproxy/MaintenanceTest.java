package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
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
 * A node that the operators have taken out gets nothing, whatever else happens, and is in use again
 * once it is put back.
 */
class MaintenanceTest {

    private static final int NODES = 6;

    private static void ask(Bench b, Random random) {
        boolean write = random.nextInt(10) == 0;
        String id = b.ask(write ? "keyed" : "dear", random.nextInt(200), write);
        for (int i = 0; i < 4 && b.out.answers(id) == 0 && b.sendsOf(id) > i; i++) {
            Outcome outcome =
                    List.of(
                                    Outcome.OK,
                                    Outcome.OK,
                                    Outcome.MISS,
                                    Outcome.ERROR,
                                    Outcome.CONNECT_FAILED,
                                    Outcome.TIMEOUT)
                            .get(random.nextInt(6));
            b.end(id, b.nodeOf(id).equals("db") ? Outcome.OK : outcome);
        }
    }

    @Test
    void whateverListsAndOperatorsDoNothingGoesToANodeThatIsOut() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            Bench b = Bench.withCaches(NODES);
            Set<String> out = new HashSet<>();
            Set<String> used = new HashSet<>();
            Map<String, Availability> listed = new HashMap<>();
            for (int i = 0; i < NODES; i++) {
                listed.put("c" + i, Availability.UP);
            }
            for (int step = 0; step < 600; step++) {
                String node = "c" + random.nextInt(NODES);
                switch (random.nextInt(12)) {
                    case 0 -> {
                        assertTrue(b.router.maintain(b.now, node, true, b.out));
                        out.add(node);
                    }
                    case 1 -> {
                        assertTrue(b.router.maintain(b.now, node, false, b.out));
                        out.remove(node);
                    }
                    case 2 -> {
                        Availability next = Availability.values()[random.nextInt(3)];
                        b.change(Bench.node(node, random.nextBoolean() ? 0 : b.now, next));
                        listed.put(node, next);
                    }
                    case 3 -> relist(b, listed, node);
                    default -> b.advance(50);
                }
                int before = b.out.sent.size();
                ask(b, random);
                for (Sink.Sent s : b.out.sent.subList(before, b.out.sent.size())) {
                    assertFalse(
                            out.contains(s.node()),
                            "seed " + seed + " step " + step + " to " + s.node());
                    assertTrue(
                            s.node().equals("db") || listed.get(s.node()) == Availability.UP,
                            "seed " + seed + " step " + step);
                    used.add(s.node());
                }
            }
            assertTrue(used.size() > NODES / 2, "the others serve");
        }
    }

    /** The whole list, of which one node may be missing. */
    private static void relist(Bench b, Map<String, Availability> listed, String missing) {
        List<Node> entries = new ArrayList<>(List.of(Bench.origin()));
        listed.replaceAll((id, a) -> id.equals(missing) ? Availability.GONE : a);
        listed.forEach(
                (id, a) -> {
                    if (a != Availability.GONE) {
                        entries.add(Bench.node(id, 0, a));
                    }
                });
        b.router.nodes(b.now, ListKind.FULL, 3, entries, b.out);
    }

    @Test
    void idsThatNoListNamedAndTheOriginAreRefused() {
        Bench b = Bench.withCaches(3);
        assertFalse(b.router.maintain(b.now, "c9", true, b.out));
        assertFalse(b.router.maintain(b.now, "db", true, b.out));
        b.change(Bench.node("c2", 0, Availability.GONE));
        assertTrue(b.router.maintain(b.now, "c2", true, b.out), "it was listed once");
        assertTrue(b.router.knows("c2"));
        assertFalse(b.router.knows("c9") || b.router.knows("db"));
    }

    @Test
    void withAllNodesOutReadsGoToNoneAndAreAnsweredAtOnce() {
        Bench b = Bench.withCaches(3);
        for (int i = 0; i < 3; i++) {
            b.router.maintain(b.now, "c" + i, true, b.out);
        }
        String id = b.ask("dear", 1);
        b.advance(PendingRequest.PATIENCE * 300 + 20);
        assertEquals(0, b.sendsOf(id));
        assertEquals(1, b.out.answers(id));
    }

    /**
     * How many of some reads are sent while none is answered, in a fleet of 15, of which one is out
     * or gone.
     */
    private static int sent(long firstKey, boolean out) {
        Bench b = Bench.withCaches(15);
        if (out) {
            b.router.maintain(b.now, "c5", true, b.out);
        } else {
            b.change(Bench.node("c5", 0, Availability.GONE));
        }
        b.advance(Decide.INTERVAL_MS);
        for (int i = 0; i < 27; i++) {
            b.ask("dear", firstKey + i);
        }
        return b.out.sent.size();
    }

    @Test
    void whileANodeIsOutAReadWhosePairIsCrowdedGoesToAnIdleOne() {
        int missing = 0;
        int gone = 0;
        for (int seed = 0; seed < 20; seed++) {
            missing += sent(1000 * seed, true);
            gone += sent(1000 * seed, false);
        }
        assertTrue(missing > gone, missing + " and " + gone + " without the outage");
    }

    @Test
    void aNodeThatIsPutBackIsColdAndInUseWithinFiveSecondsAlsoWithFewRequests() {
        Bench b = Bench.withCaches(40);
        b.router.maintain(b.now, "c0", true, b.out);
        b.router.maintain(b.now, "c0", true, b.out);
        b.advance(3000);
        b.router.maintain(b.now, "c0", false, b.out);
        int used = 0;
        for (int i = 0; i < 8; i++) {
            b.advance(500);
            String id = b.ask("dear", 7_000 + i);
            used += b.nodeOf(id).equals("c0") ? 1 : 0;
            b.end(id, Outcome.OK);
        }
        assertTrue(used >= 1, "used " + used);
        assertTrue(used <= 2, "a cold node is not crowded: " + used);
    }
}
