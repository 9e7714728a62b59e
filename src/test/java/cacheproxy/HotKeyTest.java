package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * In a large fleet a hot key is given as many nodes as it needs, and a key that comes again by luck
 * keeps its pair.
 */
class HotKeyTest {

    private static final int CACHES = 400;
    private static final long HOT_KEY = 7;
    private static final long RECURRING_KEY = 99;

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
                "a twentieth of the requests at "
                        + hotKeyNodes.size()
                        + " of "
                        + CACHES
                        + " nodes");
        assertTrue(
                hotKeyNodes.size() <= CACHES / 8,
                "a twentieth of the requests at "
                        + hotKeyNodes.size()
                        + " of "
                        + CACHES
                        + " nodes");
        assertTrue(
                recurringKeyNodes.size() <= 2,
                "a key that came a few times went to " + recurringKeyNodes);
    }
}
