package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import org.junit.jupiter.api.Test;

/** A request that is known to be heavy is not taken for lost while it is being worked on. */
class HeavyRequestTest {

    private static final double USUAL_MS = 10;

    private static double waitFor(Bench b, String id, double workMs) {
        b.router.request(
                b.now,
                new Request(
                        id,
                        "dear",
                        null,
                        70_000 + id.hashCode(),
                        workMs,
                        Bench.BUDGET,
                        false,
                        false),
                b.out);
        double wait = b.out.last().timeoutMs();
        b.end(id, Outcome.OK);
        return wait;
    }

    @Test
    void itHasAllItsTimeForOneAttemptWhileOthersKeepSomeForAnother() {
        Bench b = Bench.withCaches(6);
        for (int i = 0; i < 300; i++) {
            waitFor(b, "usual" + i, USUAL_MS);
            b.advance(3);
        }
        assertTrue(waitFor(b, "light", USUAL_MS) < 0.7 * Bench.BUDGET);
        assertTrue(waitFor(b, "heavy", 2 * Decide.HEAVY * USUAL_MS) > 0.9 * Bench.BUDGET);
    }
}
