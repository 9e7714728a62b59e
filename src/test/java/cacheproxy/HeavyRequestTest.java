package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import org.junit.jupiter.api.Test;

/** Tests that a request with a hint of heavy work is not considered lost while it is processed. */
class HeavyRequestTest {

    private static final double USUAL_WORK_MS = 10;

    /** Sends a read with the given work hint and returns the timeout of its first attempt. */
    private static double attemptTimeoutMs(RouterHarness harness, String id, double workMs) {
        harness.router.requestReceived(
                harness.now,
                new Request(
                        id,
                        "dear",
                        null,
                        70_000 + id.hashCode(),
                        workMs,
                        RouterHarness.BUDGET_MS,
                        false,
                        false),
                harness.actions);
        double timeoutMs = harness.actions.lastSent().timeoutMs();
        harness.endAttempt(id, Outcome.OK);
        return timeoutMs;
    }

    @Test
    void heavyRequestMayUseItsWholeBudgetForOneAttempt() {
        RouterHarness harness = RouterHarness.withCaches(6);
        for (int i = 0; i < 300; i++) {
            attemptTimeoutMs(harness, "usual" + i, USUAL_WORK_MS);
            harness.advance(3);
        }
        assertTrue(
                attemptTimeoutMs(harness, "light", USUAL_WORK_MS) < 0.7 * RouterHarness.BUDGET_MS);
        assertTrue(
                attemptTimeoutMs(
                                harness,
                                "heavy",
                                2 * DecisionModule.HEAVY_WORK_MULTIPLE * USUAL_WORK_MS)
                        > 0.9 * RouterHarness.BUDGET_MS);
    }
}
