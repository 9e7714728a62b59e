package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Answers that come spoilt from all nodes alike tell nothing of the origin's load; those of the
 * origin alone do.
 */
class SpoiltAnswersTest {

    private static final int INTERVALS = 20;
    private static final int A_SECOND = 50;

    /** Every so many attempts one is spoilt: more than a level rises above. */
    private static final int ONE_IN = 7;

    private static String stateWhere(boolean cachesSpoilToo) {
        Bench b = Bench.withCaches(6);
        int looked = 0;
        int fetched = 0;
        for (int i = 0; i < INTERVALS * A_SECOND; i++) {
            String id = b.ask("dear", 1000 + i);
            while (b.out.answers(id) == 0) {
                boolean fetch = b.nodeOf(id).equals("db");
                boolean spoilt =
                        fetch ? ++fetched % ONE_IN == 0 : cachesSpoilToo && ++looked % ONE_IN == 0;
                b.end(id, spoilt ? Outcome.ERROR : fetch ? Outcome.OK : Outcome.MISS);
                if (fetch && !spoilt) {
                    break;
                }
            }
            b.advance(1000.0 / A_SECOND);
        }
        return b.router.state();
    }

    @Test
    void spoiltEverywhereThrottlesNothing() {
        assertEquals("not throttled", stateWhere(true));
    }

    @Test
    void spoiltByTheOriginAloneThrottles() {
        assertNotEquals("not throttled", stateWhere(false));
    }
}
