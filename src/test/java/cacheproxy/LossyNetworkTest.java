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
    private static final int ONE_IN = 100;

    /**
     * Less than a first attempt's usual part of the client's time, and more than the short time.
     */
    private static final double BETWEEN = 200;

    /**
     * Reads that hit, of which every hundredth is lost at first; returns how many of the last
     * waited long.
     */
    private static int longWaits(Bench b, int requests, int last) {
        int waits = 0;
        for (int i = 0; i < requests; i++) {
            String id = b.ask("dear", 1000 + i);
            waits += i >= requests - last && b.out.last().timeoutMs() > BETWEEN ? 1 : 0;
            b.advance(3);
            if (i % ONE_IN == 0) {
                b.end(id, Outcome.TIMEOUT, b.out.last().timeoutMs());
            }
            b.end(id, Outcome.OK);
        }
        return waits;
    }

    @Test
    void whereSomeAreLostEverywhereEveryFirstAttemptIsWaitedForBriefly() {
        Bench b = Bench.withCaches(CACHES);
        assertEquals(0, longWaits(b, 2000, 500));
    }

    @Test
    void aLostFetchIsRepeatedOnceInItsTime() {
        Bench b = Bench.withCaches(CACHES);
        longWaits(b, 2000, 0);
        for (int i = 0; i < 20; i++) {
            fetched(b, 100_000 + i, Outcome.OK);
        }
        String id = fetched(b, 200_000, Outcome.TIMEOUT);
        assertEquals("db", b.nodeOf(id));
        assertEquals(0, b.out.answers(id), "given up after one loss");
        b.end(id, Outcome.TIMEOUT, 120);
        assertEquals(1, b.out.answers(id), "at most two fetches");
    }

    private static String fetched(Bench b, long key, Outcome outcome) {
        String id = b.ask("dear", key);
        while (!b.nodeOf(id).equals("db")) {
            b.end(id, Outcome.MISS);
        }
        boolean brief = b.out.last().timeoutMs() < BETWEEN;
        b.advance(3);
        b.end(id, outcome);
        assertTrue(brief || key < 100_010, "the origin answers quickly, so silence means a loss");
        return id;
    }
}
