package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that a large fleet spreads a hot key over as many nodes as its request rate needs, and that
 * a key that recurs by chance stays at its two nodes.
 */
class HotKeyTest {

    private static final int CACHES = 400;
    private static final long HOT_KEY = 7;
    private static final long RECURRING_KEY = 99;

    /** Sends a read that hits and returns the node that it was sent to. */
    private static String serve(RouterHarness harness, long key) {
        String id = harness.request("dear", key);
        String node = harness.lastNodeOf(id);
        harness.endAttempt(id, Outcome.OK);
        harness.advance(1);
        return node;
    }

    @Test
    void hotKeyIsSpreadInProportionToItsFrequency() {
        RouterHarness harness = RouterHarness.withCaches(CACHES);
        Set<String> hotKeyNodes = new HashSet<>();
        Set<String> recurringKeyNodes = new HashSet<>();
        for (int i = 0; i < 6000; i++) {
            if (i % 20 == 0) {
                String node = serve(harness, HOT_KEY);
                if (i >= 3000) {
                    hotKeyNodes.add(node);
                }
            } else if (i > 3000 && i % 500 == 1) {
                recurringKeyNodes.add(serve(harness, RECURRING_KEY));
            } else {
                serve(harness, 1000 + i);
            }
        }
        assertTrue(
                hotKeyNodes.size() >= CACHES / 40,
                "a key with 5 % of the requests at "
                        + hotKeyNodes.size()
                        + " of "
                        + CACHES
                        + " nodes");
        assertTrue(
                hotKeyNodes.size() <= CACHES / 8,
                "a key with 5 % of the requests at "
                        + hotKeyNodes.size()
                        + " of "
                        + CACHES
                        + " nodes");
        assertTrue(
                recurringKeyNodes.size() <= 2,
                "a key with a few requests was sent to " + recurringKeyNodes);
    }
}
