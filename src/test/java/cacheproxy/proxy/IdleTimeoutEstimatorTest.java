package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A node states an idle timeout of 60 s but drops idle connections after 200 ms; idle time passes
 * on a clock of the test.
 */
class IdleTimeoutEstimatorTest extends WithNodePool {

    private static final long NODE_IDLE_TIMEOUT_MS = 200;
    private static final long LONG_IDLE_MS = 500;
    private static final long SHORT_IDLE_MS = 50;
    private static final int ROUNDS = 60;

    private final Set<Integer> seenConnections = new HashSet<>();

    /** A request on a connection: whether the connection was reused, and how the request ended. */
    private record ConnectionUse(boolean reused, Outcome outcome) {}

    private ConnectionUse sendAfterIdle(long idleMs) throws Exception {
        nanoClock.addAndGet(TimeUnit.MILLISECONDS.toNanos(idleMs));
        send();
        TestServer.Message request = node.next();
        while (request.text() == null) {
            request = node.next();
        }
        boolean reused = !seenConnections.add(request.connection().number());
        if (reused && idleMs >= NODE_IDLE_TIMEOUT_MS) {
            request.connection().close();
        } else {
            request.connection().respond(200, "v");
        }
        Outcome outcome = ScriptedRouter.awaitNext(outcomes);
        if (outcome == Outcome.OK) {
            awaitReusable();
        }
        return new ConnectionUse(reused, outcome);
    }

    @Test
    void connectionsAreNotReusedAtIdleTimesAtWhichTheyBreak() throws Exception {
        int earlyReuses = 0;
        int lateReuses = 0;
        for (int i = 0; i < ROUNDS; i++) {
            ConnectionUse use = sendAfterIdle(LONG_IDLE_MS);
            assertEquals(use.reused() ? Outcome.RESET : Outcome.OK, use.outcome());
            earlyReuses += i < ROUNDS / 2 && use.reused() ? 1 : 0;
            lateReuses += i >= ROUNDS / 2 && use.reused() ? 1 : 0;
        }
        assertTrue(earlyReuses > 0, "connections are reused at first, as the node states 60 s");
        // What was learned decays over 20 s of this clock, so long idle times are retried at times.
        assertTrue(
                lateReuses <= ROUNDS / 10,
                lateReuses + " of the last " + ROUNDS / 2 + " requests went to a dead connection");
        sendAfterIdle(SHORT_IDLE_MS);
        assertEquals(
                new ConnectionUse(true, Outcome.OK),
                sendAfterIdle(SHORT_IDLE_MS),
                "connections are reused after a short idle time");
    }
}
