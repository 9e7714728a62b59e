package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Answers that come spoilt from all nodes alike tell nothing of the origin's load; those of the
 * origin alone do.
 */
class ErrorAttributionTest {

    private static final int INTERVALS = 20;
    private static final int REQUESTS_PER_S = 50;

    /** Every so many attempts one is spoilt: more than a level rises above. */
    private static final int ATTEMPTS_PER_ERROR = 7;

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
