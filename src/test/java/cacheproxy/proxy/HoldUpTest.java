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
 * The process is held up for 0.15 s after any one reading of its clock. The clock of these tests
 * stands still but for that, so nothing here depends on how fast the machine is.
 */
class HoldUpTest {

    private static final double SLACK_MS = 150;
    private static final double BUDGET_S = 2;
    private static final double WINDOW_MS = 10_000;
    private static final long LATE_MS = 2500;
    private static final long NEVER = -1;

    private final HeldClock nanos = new HeldClock();
    private Site site;
    private Peer.Wire client;

    /**
     * A clock that moves when a test says so, and once by a hold-up right after one of its
     * readings.
     */
    private static final class HeldClock implements LongSupplier {
        private long now;
        private long readingsBefore = NEVER;

        @Override
        public synchronized long getAsLong() {
            long read = now;
            if (readingsBefore == 0) {
                now += TimeUnit.MILLISECONDS.toNanos((long) Router.HOLD_UP_MS);
            }
            readingsBefore = Math.max(NEVER, readingsBefore - 1);
            return read;
        }

        synchronized void holdUpAfter(long readings) {
            readingsBefore = readings;
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
        site = new Site();
        site.clock = new Clock(nanos);
        site.settings =
                Site.SETTINGS.replace(
                        "\"effect\": \"dedup\"",
                        "\"effect\": \"dedup\", \"repeat_window_ms\": " + WINDOW_MS);
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

    private static double toldMs(Peer.Message message) {
        return Double.parseDouble(message.header("X-Budget")) * 1e3;
    }

    /** What a node was told is no more than the client has left, and the slack. */
    private void assertToldInTime(Peer.Message message, double sentAt) {
        double left = sentAt + BUDGET_S * 1e3 - nanos.ms();
        double told = toldMs(message);
        assertTrue(told <= left + SLACK_MS, "told " + told + " ms where " + left + " were left");
        assertTrue(
                told >= left / 2, "told no more than " + told + " ms where " + left + " were left");
    }

    private void againAfterAnError() {
        site.router.onEnd =
                (end, out) -> {
                    if (!end.finished() && end.attempt() == 0) {
                        out.send(end.request(), "c0", 0);
                    }
                };
    }

    @ParameterizedTest
    @ValueSource(longs = {NEVER, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
    void aFirstAndARetriedAttemptTellNoMoreThanIsLeft(long readings) throws Exception {
        againAfterAnError();
        open();
        double sentAt = nanos.ms();
        nanos.holdUpAfter(readings);
        client.write(site.get(BUDGET_S));
        Peer.Message first = site.node.next();
        assertToldInTime(first, sentAt);
        nanos.advance(300);
        first.wire().answer(500, "");
        Peer.Message retried = site.node.next();
        assertToldInTime(retried, sentAt);
        retried.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    /**
     * The request lies unread for a while, as the loop is busy: its client's time runs all the
     * same.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 2, 3, 4, 5, 6, 7})
    void aRequestThatWasReadLateTellsNoMoreThanIsLeft(long readings) throws Exception {
        open();
        Held held = new Held();
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("id0")) {
                        held.hold();
                        out.refuse(request.id(), 0);
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(site.get(BUDGET_S));
        held.entered();
        try (Peer.Wire late = site.client()) {
            double sentAt = nanos.ms();
            late.write(site.get(BUDGET_S));
            nanos.advance(20);
            nanos.holdUpAfter(readings);
            held.release();
            assertToldInTime(site.node.next(), sentAt);
        }
    }

    @Test
    void anAttemptWhoseConnectionComesUpLateTellsWhatIsLeftThen() throws Exception {
        try (LateNode node = new LateNode()) {
            site.hosts = new String[] {Site.host("c0", node.dial(), "up", 0)};
            open();
            double sentAt = nanos.ms();
            client.write(site.get(BUDGET_S));
            awaitRequest();
            nanos.advance(1500);
            Peer.Wire wire = node.open(LATE_MS);
            assertToldInTime(new Peer.Message(wire.read(), wire), sentAt);
        }
    }

    /** Its time runs from its last byte, which came while it waited for its connection. */
    @Test
    void anUploadThatIsWholeBeforeItsConnectionComesUpTellsWhatIsLeftThen() throws Exception {
        try (LateNode node = new LateNode()) {
            site.hosts = new String[] {Site.host("c0", node.dial(), "up", 0)};
            open();
            String body = "v".repeat(Gatherer.MOST_GATHERED + 1);
            client.write(
                    "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: w1\r\nX-Call-Class: pay\r\nX-Budget: "
                            + BUDGET_S
                            + "\r\nIdempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(body.length())
                            + "\r\n"
                            + body
                            + "\r\n0\r\n\r\n");
            awaitRequest();
            // Whoever is answered later than the last byte came says that it was read.
            try (Peer.Wire other = site.client()) {
                other.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                Site.status(other.read());
            }
            double sentAt = nanos.ms();
            nanos.advance(1500);
            Peer.Wire wire = node.open(LATE_MS);
            String head = Peer.until("\r\n\r\n", wire.socket().getInputStream());
            assertToldInTime(new Peer.Message(head, wire), sentAt);
        }
    }

    private void awaitRequest() {
        long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
        while (site.router.requests.isEmpty() && System.nanoTime() < patience) {
            Thread.onSpinWait();
        }
    }

    /** Asks for a repeat so long after the first attempt may have run. */
    private void repeatAfter(double ms, long readings) throws Exception {
        site.router.onEnd =
                (end, out) -> {
                    if (end.attempt() == 0) {
                        nanos.advance(ms);
                        nanos.holdUpAfter(readings);
                        out.send(end.request(), "c0", 0);
                    } else if (!end.finished()) {
                        out.fail(end.request());
                    }
                };
        open();
        client.write(Site.put("Idempotency-Key: k-9\r\n", "value"));
        site.node.next().wire().answer(500, "");
    }

    @ParameterizedTest
    @ValueSource(longs = {NEVER, 0, 1, 2, 3, 4, 5, 6, 7})
    void aRepeatWithTimeForAHoldUpIsWrittenWithinItsWindow(long readings) throws Exception {
        repeatAfter(WINDOW_MS / 2, readings);
        Peer.Message repeated = site.node.next();
        assertTrue(nanos.ms() < WINDOW_MS, "written " + nanos.ms() + " ms after the first");
        repeated.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    @Test
    void aRepeatThatAHoldUpWouldCarryPastItsWindowIsNotSent() throws Exception {
        repeatAfter(WINDOW_MS - SLACK_MS + 1, NEVER);
        assertEquals(502, Site.status(client.read()));
        assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        assertTrue(site.node.heardNothing());
    }
}
