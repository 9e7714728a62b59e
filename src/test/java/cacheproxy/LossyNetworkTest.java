package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;

/**
 * A network that loses one request in a hundred, at every node alike, shows at none of them for
 * long.
 */
class LossyNetworkTest {

    private static final int CACHES = 6;
    private static final int REQUESTS_PER_LOSS = 100;

    /**
     * Less than a first attempt's usual part of the client's time, and more than the short time.
     */
    private static final double LONG_TIMEOUT_MS = 200;

    /**
     * Reads that hit, of which every hundredth is lost at first; returns how many of the last
     * waited long.
     */
    private static int longTimeouts(RouterHarness harness, int requests, int last) {
        int longTimeouts = 0;
        for (int i = 0; i < requests; i++) {
            String id = harness.request("dear", 1000 + i);
            longTimeouts +=
                    i >= requests - last && harness.actions.lastSent().timeoutMs() > LONG_TIMEOUT_MS
                            ? 1
                            : 0;
            harness.advance(3);
            if (i % REQUESTS_PER_LOSS == 0) {
                harness.endAttempt(id, Outcome.TIMEOUT, harness.actions.lastSent().timeoutMs());
            }
            harness.endAttempt(id, Outcome.OK);
        }
        return longTimeouts;
    }

    @Test
    void lossesAtAllNodesShortenFirstAttemptTimeouts() {
        RouterHarness harness = RouterHarness.withCaches(CACHES);
        assertEquals(0, longTimeouts(harness, 2000, 500));
    }

    @Test
    void lostFetchIsRetriedOnce() {
        RouterHarness harness = RouterHarness.withCaches(CACHES);
        longTimeouts(harness, 2000, 0);
        for (int i = 0; i < 20; i++) {
            runFetch(harness, 100_000 + i, Outcome.OK);
        }
        String id = runFetch(harness, 200_000, Outcome.TIMEOUT);
        assertEquals("db", harness.lastNodeOf(id));
        assertEquals(0, harness.actions.finalAnswers(id), "given up after one loss");
        harness.endAttempt(id, Outcome.TIMEOUT, 120);
        assertEquals(1, harness.actions.finalAnswers(id), "at most two fetches");
    }

    private static String runFetch(RouterHarness harness, long key, Outcome outcome) {
        String id = harness.request("dear", key);
        while (!harness.lastNodeOf(id).equals("db")) {
            harness.endAttempt(id, Outcome.MISS);
        }
        boolean shortTimeout = harness.actions.lastSent().timeoutMs() < LONG_TIMEOUT_MS;
        harness.advance(3);
        harness.endAttempt(id, outcome);
        assertTrue(
                shortTimeout || key < 100_010,
                "the origin answers quickly, so silence means a loss");
        return id;
    }
}
