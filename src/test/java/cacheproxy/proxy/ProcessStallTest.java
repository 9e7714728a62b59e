package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router;
import cacheproxy.Router.Outcome;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The process stalls for 0.15 s after a chosen reading of its clock. The clock of these tests moves
 * only then or when a test advances it, so the result does not depend on the speed of the machine.
 */
class ProcessStallTest {

    private static final double SLACK_MS = 150;
    private static final double BUDGET_S = 2;
    private static final double REPEAT_WINDOW_MS = 10_000;
    private static final long ACCEPT_TIMEOUT_MS = 2500;
    private static final long NEVER = -1;

    private final StallingClock nanoClock = new StallingClock();
    private ProxyFixture site;
    private TestServer.Connection client;

    /** A clock that a test advances, and that jumps once, right after one of its readings. */
    private static final class StallingClock implements LongSupplier {
        private long now;
        private long readingsBeforeStall = NEVER;

        @Override
        public synchronized long getAsLong() {
            long read = now;
            if (readingsBeforeStall == 0) {
                now += TimeUnit.MILLISECONDS.toNanos((long) Router.MAX_PROCESSING_DELAY_MS);
            }
            readingsBeforeStall = Math.max(NEVER, readingsBeforeStall - 1);
            return read;
        }

        synchronized void stallAfter(long readings) {
            readingsBeforeStall = readings;
        }

        synchronized void advance(double ms) {
            now += (long) (ms * 1e6);
        }

        synchronized double ms() {
            return now / 1e6;
        }
    }

    @BeforeEach
    void start() throws Exception {
        site = new ProxyFixture();
        site.clock = new Clock(nanoClock);
        site.settings =
                ProxyFixture.SETTINGS.replace(
                        "\"effect\": \"dedup\"",
                        "\"effect\": \"dedup\", \"repeat_window_ms\": " + REPEAT_WINDOW_MS);
    }

    private void open() throws Exception {
        site.start("automatic", "60000", "");
        client = site.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        site.close();
    }

    private static double budgetMs(TestServer.Message message) {
        return Double.parseDouble(message.header("X-Budget")) * 1e3;
    }

    /** The time limit sent to a node is at most the client's remaining time plus the slack. */
    private void assertBudgetWithinRemainingTime(TestServer.Message message, double sentAt) {
        double remainingMs = sentAt + BUDGET_S * 1e3 - nanoClock.ms();
        double budgetMs = budgetMs(message);
        assertTrue(
                budgetMs <= remainingMs + SLACK_MS,
                "sent " + budgetMs + " ms with " + remainingMs + " ms left");
        assertTrue(
                budgetMs >= remainingMs / 2,
                "sent no more than " + budgetMs + " ms with " + remainingMs + " ms left");
    }

    private void retryAfterError() {
        site.router.onEnd =
                (end, out) -> {
                    if (!end.finished() && end.attempt() == 0) {
                        out.send(end.request(), "c0", 0);
                    }
                };
    }

    @ParameterizedTest
    @ValueSource(longs = {NEVER, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
    void firstAndRetriedAttemptSendNoMoreThanRemainingBudget(long readings) throws Exception {
        retryAfterError();
        open();
        double sentAt = nanoClock.ms();
        nanoClock.stallAfter(readings);
        client.write(site.get(BUDGET_S));
        TestServer.Message first = site.node.next();
        assertBudgetWithinRemainingTime(first, sentAt);
        nanoClock.advance(300);
        first.connection().respond(500, "");
        TestServer.Message retried = site.node.next();
        assertBudgetWithinRemainingTime(retried, sentAt);
        retried.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    /**
     * The request stays unread for a while because the loop is busy; the client's deadline runs
     * meanwhile.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5, 6, 7})
    void requestReadLateSendsNoMoreThanRemainingBudget(long readings) throws Exception {
        open();
        EventLoopPause blockedRouter = new EventLoopPause();
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("id0")) {
                        blockedRouter.pause();
                        out.reject(request.id(), 0);
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(site.get(BUDGET_S));
        blockedRouter.awaitPaused();
        try (TestServer.Connection late = site.client()) {
            double sentAt = nanoClock.ms();
            late.write(site.get(BUDGET_S));
            nanoClock.advance(20);
            nanoClock.stallAfter(readings);
            blockedRouter.resume();
            assertBudgetWithinRemainingTime(site.node.next(), sentAt);
        }
    }

    @Test
    void attemptOnLateConnectionSendsRemainingBudget() throws Exception {
        try (LateAcceptingNode node = new LateAcceptingNode()) {
            site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
            open();
            double sentAt = nanoClock.ms();
            client.write(site.get(BUDGET_S));
            awaitRequest();
            nanoClock.advance(1500);
            TestServer.Connection wire = node.acceptConnection(ACCEPT_TIMEOUT_MS);
            assertBudgetWithinRemainingTime(new TestServer.Message(wire.read(), wire), sentAt);
        }
    }

    /**
     * The deadline runs from the last byte, which arrives while the upload waits for a connection.
     */
    @Test
    void uploadCompleteBeforeConnectionSendsRemainingBudget() throws Exception {
        try (LateAcceptingNode node = new LateAcceptingNode()) {
            site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
            open();
            String body = "v".repeat(MessageAggregator.MAX_AGGREGATED_BYTES + 1);
            client.write(
                    "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: "
                            + BUDGET_S
                            + "\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n0\r\n\r\n");
            awaitRequest();
            // This response comes after the last byte was read, and so shows that it was.
            try (TestServer.Connection other = site.client()) {
                other.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                ProxyFixture.status(other.read());
            }
            double sentAt = nanoClock.ms();
            nanoClock.advance(1500);
            TestServer.Connection wire = node.acceptConnection(ACCEPT_TIMEOUT_MS);
            String head = TestServer.readUntil("\r\n\r\n", wire.socket().getInputStream());
            assertBudgetWithinRemainingTime(new TestServer.Message(head, wire), sentAt);
        }
    }

    private void awaitRequest() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S);
        while (site.router.requests.isEmpty() && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }

    /** Requests a repeat {@code ms} after the first attempt, which may have run at its node. */
    private void repeatAfter(double ms, long readings) throws Exception {
        site.router.onEnd =
                (end, out) -> {
                    if (end.attempt() == 0) {
                        nanoClock.advance(ms);
                        nanoClock.stallAfter(readings);
                        out.send(end.request(), "c0", 0);
                    } else if (!end.finished()) {
                        out.fail(end.request());
                    }
                };
        open();
        client.write(ProxyFixture.put("Idempotency-Key: k-9\r\n", "value"));
        site.node.next().connection().respond(500, "");
    }

    @ParameterizedTest
    @ValueSource(longs = {NEVER, 0, 1, 2, 3, 4, 5, 6, 7})
    void repeatIsSentWithinItsWindowDespiteStall(long readings) throws Exception {
        repeatAfter(REPEAT_WINDOW_MS / 2, readings);
        TestServer.Message repeated = site.node.next();
        assertTrue(
                nanoClock.ms() < REPEAT_WINDOW_MS,
                "sent " + nanoClock.ms() + " ms after the first attempt");
        repeated.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    @Test
    void repeatThatStallCouldDelayPastItsWindowIsNotSent() throws Exception {
        repeatAfter(REPEAT_WINDOW_MS - SLACK_MS + 1, NEVER);
        assertEquals(502, ProxyFixture.status(client.read()));
        assertEquals(Outcome.ERROR, ScriptedRouter.awaitNext(site.router.attemptEnds).outcome());
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(site.router.attemptEnds).outcome());
        assertTrue(site.node.receivedNothing());
    }
}
