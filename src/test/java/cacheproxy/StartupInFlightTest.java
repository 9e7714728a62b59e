package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.Router.Outcome;
import java.util.ArrayDeque;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/**
 * Tests that look-ups still in flight in a proxy's first second are not counted as unanswered. The
 * proxy has sent few others by then, so they would make it reject requests.
 */
class StartupInFlightTest {

    private static final int REQUESTS = 60;
    private static final int IN_FLIGHT = 20;

    @Test
    void attemptsInFlightCauseNoThrottling() {
        RouterHarness harness = RouterHarness.withCaches(80);
        harness.advance(1000 - 5 * REQUESTS);
        Queue<String> inFlight = new ArrayDeque<>();
        for (int i = 0; i < REQUESTS; i++) {
            inFlight.add(harness.request("dear", 1000 + i));
            if (inFlight.size() > IN_FLIGHT) {
                harness.endAttempt(inFlight.remove(), Outcome.OK);
            }
            harness.advance(5);
        }
        assertEquals("not throttled", harness.router.describeState());
    }
}
