package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.Router.Outcome;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/**
 * In a proxy's first second much of what it has sent is still on its way: that is no silence of the
 * fleet.
 */
class FirstSecondTest {

    private static final int REQUESTS = 60;
    private static final int ON_THEIR_WAY = 20;

    @Test
    void whatWasSentJustNowTurnsNobodyAway() {
        Bench b = Bench.withCaches(80);
        b.advance(1000 - 5 * REQUESTS);
        Queue<String> out = new ArrayDeque<>();
        for (int i = 0; i < REQUESTS; i++) {
            out.add(b.ask("dear", 1000 + i));
            if (out.size() > ON_THEIR_WAY) {
                b.end(out.remove(), Outcome.OK);
            }
            b.advance(5);
        }
        assertEquals("not throttled", b.router.state());
    }
}
