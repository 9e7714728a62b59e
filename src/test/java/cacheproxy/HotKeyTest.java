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
    private static final long HOT = 7;
    private static final long TWICE = 99;

    private static String serve(Bench b, long key) {
        String id = b.ask("dear", key);
        String node = b.nodeOf(id);
        b.end(id, Outcome.OK);
        b.advance(1);
        return node;
    }

    @Test
    void aTwentiethOfAllRequestsIsSpreadOverItsShareOfTheNodes() {
        Bench b = Bench.withCaches(CACHES);
        Set<String> hot = new HashSet<>();
        Set<String> twice = new HashSet<>();
        for (int i = 0; i < 6000; i++) {
            if (i % 20 == 0) {
                String node = serve(b, HOT);
                if (i >= 3000) {
                    hot.add(node);
                }
            } else if (i > 3000 && i % 500 == 1) {
                twice.add(serve(b, TWICE));
            } else {
                serve(b, 1000 + i);
            }
        }
        assertTrue(
                hot.size() >= CACHES / 40,
                "a twentieth of the requests at " + hot.size() + " of " + CACHES + " nodes");
        assertTrue(
                hot.size() <= CACHES / 8,
                "a twentieth of the requests at " + hot.size() + " of " + CACHES + " nodes");
        assertTrue(twice.size() <= 2, "a key that came a few times went to " + twice);
    }
}
