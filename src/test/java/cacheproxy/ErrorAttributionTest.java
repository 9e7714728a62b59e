package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Tests that errors from all nodes alike do not throttle fetches, as they say nothing about the
 * origin's load, whereas errors from the origin alone do.
 */
class ErrorAttributionTest {

    private static final int INTERVALS = 20;
    private static final int REQUESTS_PER_S = 50;

    /** One in 7 attempts ends with an error: more than the 10 % above which the level rises. */
    private static final int ATTEMPTS_PER_ERROR = 7;

    /**
     * Runs reads that miss at the cache nodes, with errors from the origin and optionally from the
     * cache nodes too; returns the router's state.
     */
    private static String stateWithErrors(boolean cachesFailToo) {
        RouterHarness harness = RouterHarness.withCaches(6);
        int lookUps = 0;
        int fetches = 0;
        for (int i = 0; i < INTERVALS * REQUESTS_PER_S; i++) {
            String id = harness.request("dear", 1000 + i);
            while (harness.actions.finalAnswers(id) == 0) {
                boolean fetch = harness.lastNodeOf(id).equals("db");
                boolean error =
                        fetch
                                ? ++fetches % ATTEMPTS_PER_ERROR == 0
                                : cachesFailToo && ++lookUps % ATTEMPTS_PER_ERROR == 0;
                harness.endAttempt(id, error ? Outcome.ERROR : fetch ? Outcome.OK : Outcome.MISS);
                if (fetch && !error) {
                    break;
                }
            }
            harness.advance(1000.0 / REQUESTS_PER_S);
        }
        return harness.router.describeState();
    }

    @Test
    void errorsFromAllNodesDoNotThrottle() {
        assertEquals("not throttled", stateWithErrors(true));
    }

    @Test
    void errorsFromTheOriginAloneThrottle() {
        assertNotEquals("not throttled", stateWithErrors(false));
    }
}
