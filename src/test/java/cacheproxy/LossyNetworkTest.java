package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Tests retries in a network that loses one request in a hundred at every node. These losses are
 * too rare to raise the timeout rate of a single node for long; only the rate over all nodes shows
 * them.
 */
class LossyNetworkTest {

    private static final int CACHES = 6;
    private static final int REQUESTS_PER_LOSS = 100;

    /** Between the short timeout and the usual timeout of a first attempt. */
    private static final double LONG_TIMEOUT_MS = 200;

    /**
     * Sends reads that hit, of which every hundredth loses its first attempt. Returns how many of
     * the last reads had a long timeout.
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
        assertEquals(0, harness.actions.finalAnswers(id), "no answer after one lost fetch");
        harness.endAttempt(id, Outcome.TIMEOUT, 120);
        assertEquals(1, harness.actions.finalAnswers(id), "at most two fetches");
    }

    /** Sends a read that misses at the cache nodes and ends its fetch; returns its ID. */
    private static String runFetch(RouterHarness harness, long key, Outcome outcome) {
        String id = harness.request("dear", key);
        while (!harness.lastNodeOf(id).equals("db")) {
            harness.endAttempt(id, Outcome.MISS);
        }
        boolean shortTimeout = harness.actions.lastSent().timeoutMs() < LONG_TIMEOUT_MS;
        harness.advance(3);
        harness.endAttempt(id, outcome);
        assertTrue(
                shortTimeout || key < 100_010, "long timeout although the origin answers quickly");
        return id;
    }
}
