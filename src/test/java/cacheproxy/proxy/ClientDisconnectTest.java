package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Actions;
import cacheproxy.Router.Outcome;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client has disconnected, but the end of its stream lies unread because the event loop was busy
 * or does not read from that connection: nothing more may be sent on for its request. The event
 * loop is paused inside the router while the client disconnects, so nothing here depends on timing.
 */
class ClientDisconnectTest extends WithProxyFixture {

    private static final String PAUSING_ID = "holds";

    /**
     * Much longer than connections have to be idle between two uses. Where it isn't, the test
     * merely checks less.
     */
    private static final long IDLE_MS = 40;

    /** How long after its client's close an attempt may still begin. */
    private static final long CLOSE_TOLERANCE_MS = 100;

    /** So many connections use up the memory of all connections for reading ahead. */
    private static final int CROWD = 17;

    /** More than the proxy reads of a body before a node takes it, and reads ahead. */
    private static final int LONG_BODY_BYTES = 2 * 1024 * 1024;

    private static final String LONG_PUT =
            ProxyFixture.put("Idempotency-Key: k\r\n", "v".repeat(LONG_BODY_BYTES));

    private final EventLoopPause loopPause = new EventLoopPause();

    private static String get(String id) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n";
    }

    /**
     * Pauses the event loop in the request of another client, which is rejected when the loop
     * resumes.
     */
    private TestServer.Connection pauseLoop() throws Exception {
        ScriptedRouter.OnRequest usual = fixture.router.onRequest;
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals(PAUSING_ID)) {
                        loopPause.pause();
                        out.reject(PAUSING_ID, 0);
                    } else {
                        usual.decide(request, out);
                    }
                };
        TestServer.Connection other = fixture.client();
        other.write(get(PAUSING_ID));
        loopPause.awaitPaused();
        return other;
    }

    /**
     * Leaves two idle connections to the node, so that the next request is written immediately and
     * not an event loop turn or two later.
     */
    private void createIdleNodeConnections() throws Exception {
        try (TestServer.Connection one = fixture.client();
                TestServer.Connection two = fixture.client()) {
            one.write(get("one"));
            two.write(get("two"));
            for (TestServer.Message each : List.of(fixture.node.next(), fixture.node.next())) {
                each.connection().respond(200, "v");
                assertEquals(
                        Outcome.OK, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            }
            TimeUnit.MILLISECONDS.sleep(IDLE_MS);
        }
    }

    private static void disconnect(TestServer.Connection client, boolean byReset) throws Exception {
        if (byReset) {
            client.socket().setSoLinger(true, 0);
        }
        client.close();
    }

    /** Asserts that the next request that the node receives is that of a connected client. */
    private void assertOnlyConnectedClientIsSentOn() throws Exception {
        fixture.router.onEnd = (end, out) -> {};
        try (TestServer.Connection connected = fixture.client()) {
            connected.write(get("there"));
            TestServer.Message next = fixture.node.next();
            while (next.text() == null) {
                next = fixture.node.next();
            }
            assertEquals("there", next.header("X-Call-Id"));
            next.connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(connected.read()));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectsBeforeConnectionIsAccepted(boolean byReset) throws Exception {
        try (TestServer.Connection other = pauseLoop()) {
            TestServer.Connection brief = fixture.client();
            brief.write(get("brief"));
            disconnect(brief, byReset);
            loopPause.resume();
            assertEquals("brief", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
            assertEquals(
                    Outcome.NEVER_SENT,
                    ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertOnlyConnectedClientIsSentOn();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectsWhileItsTimerIsDue(boolean byReset) throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        fixture.router.onTimer = () -> actions.get().send("late", "c0", 0);
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("late")) {
                        actions.set(out);
                        out.scheduleTimer(0, "again");
                        loopPause.pause();
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(get("late"));
        loopPause.awaitPaused();
        disconnect(client, byReset);
        loopPause.resume();
        assertEquals("late", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertOnlyConnectedClientIsSentOn();
    }

    /**
     * The client has closed only its own side: until something is written to the connection, a full
     * close looks the same.
     */
    @Test
    void halfClosesBeforeItsTimerIsDue() throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        fixture.router.onTimer = () -> actions.get().send("half", "c0", 0);
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("half")) {
                        actions.set(out);
                        out.scheduleTimer(0, "again");
                        loopPause.pause();
                    } else {
                        out.send(request.id(), "c0", 0);
                    }
                };
        client.write(get("half"));
        loopPause.awaitPaused();
        client.socket().shutdownOutput();
        loopPause.resume();
        assertEquals("half", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertOnlyConnectedClientIsSentOn();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectsBeforeRetryOfEndedAttempt(boolean byReset) throws Exception {
        fixture.router.onEnd =
                (end, out) -> {
                    if (!end.finished()) {
                        loopPause.pause();
                        out.send(end.request(), "c0", 0);
                    }
                };
        client.write(get("missed"));
        fixture.node.next().connection().respond(404, "");
        loopPause.awaitPaused();
        disconnect(client, byReset);
        loopPause.resume();
        assertEquals("missed", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertEquals(Outcome.MISS, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertOnlyConnectedClientIsSentOn();
    }

    @Test
    void disconnectsRightAfterLastPieceOfRequest() throws Exception {
        createIdleNodeConnections();
        String request = get("pieces");
        client.write(request.substring(0, request.length() / 2));
        try (TestServer.Connection other = pauseLoop()) {
            client.write(request.substring(request.length() / 2));
            client.close();
            loopPause.resume();
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertEquals("pieces", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertOnlyConnectedClientIsSentOn();
    }

    @Test
    void disconnectsWithPipelinedRequestsWaiting() throws Exception {
        createIdleNodeConnections();
        client.write(get("first") + get("second") + get("third"));
        TestServer.Message first = fixture.node.next();
        assertEquals("first", first.header("X-Call-Id"));
        try (TestServer.Connection other = pauseLoop()) {
            first.connection().respond(200, "v");
            client.close();
            loopPause.resume();
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertOnlyConnectedClientIsSentOn();
        assertTrue(
                fixture.router.requests.stream().noneMatch(r -> r.id().equals("third")),
                "the router must not see the third request");
    }

    /**
     * Nothing of a long upload is read until a node's connection takes it, so the end of the
     * client's stream lies behind unread bytes.
     */
    @Test
    void disconnectsDuringWaitingUpload() throws Exception {
        AtomicReference<Actions> actions = new AtomicReference<>();
        fixture.router.onRequest =
                (request, out) -> {
                    actions.set(out);
                    if (request.id().equals("w1")) {
                        loopPause.pause();
                    }
                    out.send(request.id(), "c0", 0);
                };
        String upload =
                ProxyFixture.put(
                        "Idempotency-Key: k-9\r\n",
                        "v".repeat(3 * MessageAggregator.MAX_AGGREGATED_BYTES / 2));
        client.write(upload.substring(0, 1000));
        loopPause.awaitPaused();
        client.write(upload.substring(1000, upload.length() / 2));
        client.close();
        loopPause.resume();
        assertEquals("w1", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertOnlyConnectedClientIsSentOn();
    }

    /**
     * Bytes that were read ahead for a connected client are delivered in order: here the rest of an
     * upload and a request behind it.
     */
    @Test
    void deliversReadAheadBytesInOrder() throws Exception {
        String body = "0123456789abcdef".repeat(ClientChannel.MAX_READ_AHEAD_BYTES / 8);
        String upload = ProxyFixture.put("Idempotency-Key: k-9\r\n", body);
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("w1")) {
                        loopPause.pause();
                    }
                    out.send(request.id(), "c0", 0);
                };
        client.write(upload.substring(0, 1000));
        loopPause.awaitPaused();
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                client.write(upload.substring(1000) + get("behind"));
                            } catch (IOException e) {
                                throw new AssertionError(e);
                            }
                        });
        writer.start();
        loopPause.resume();
        TestServer.Message received = fixture.node.next();
        assertEquals(body, received.body());
        received.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        TestServer.Message behind = fixture.node.next();
        assertEquals("behind", behind.header("X-Call-Id"));
        behind.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        writer.join();
    }

    /** Starts the proxy and connects clients whose unread input is as much as may be read ahead. */
    private static void useUpReadAhead(ProxyFixture site, List<TestServer.Connection> crowd)
            throws Exception {
        site.settings = ProxyFixture.SETTINGS.replace("\"max_open\": 4", "\"max_open\": 99");
        site.start("automatic", "60000", "");
        site.router.onEnd =
                (end, out) -> {
                    if (!end.finished() && end.outcome() == Outcome.MISS) {
                        out.send(end.request(), "c0", 0);
                    }
                };
        for (int i = 0; i < CROWD; i++) {
            crowd.add(site.client());
            crowd.get(i).write(get("crowd" + i) + LONG_PUT);
            TestServer.Message message = site.node.next();
            TimeUnit.MILLISECONDS.sleep(IDLE_MS);
            message.connection().respond(404, "");
            assertEquals("crowd" + i, site.node.next().header("X-Call-Id"));
        }
    }

    /**
     * The unread input of other clients has used up all memory for reading ahead, so the end of
     * this client's stream can't be looked for by reading ahead.
     */
    @Test
    void disconnectsBesideClientsWithMuchUnreadInput() throws Exception {
        List<TestServer.Connection> crowd = new ArrayList<>();
        try (ProxyFixture site = new ProxyFixture()) {
            useUpReadAhead(site, crowd);
            TestServer.Connection leaving = site.client();
            leaving.write(get("left") + LONG_PUT);
            TestServer.Message message = site.node.next();
            assertEquals("left", message.header("X-Call-Id"));
            leaving.close();
            TimeUnit.MILLISECONDS.sleep(CLOSE_TOLERANCE_MS);
            message.connection().respond(404, "");
            assertEquals("left", ScriptedRouter.awaitNext(site.router.disconnectedRequests));
            TimeUnit.MILLISECONDS.sleep(CLOSE_TOLERANCE_MS);
            assertTrue(site.node.receivedNothing(), "sent on after its client had left");
        } finally {
            for (TestServer.Connection each : crowd) {
                each.close();
            }
        }
    }

    @Test
    void bodyIsSentWholeBesideClientsWithMuchUnreadInput() throws Exception {
        List<TestServer.Connection> crowd = new ArrayList<>();
        try (ProxyFixture site = new ProxyFixture()) {
            useUpReadAhead(site, crowd);
            AtomicReference<Actions> actions = new AtomicReference<>();
            site.router.onTimer = () -> actions.get().send("w1", "c0", 0);
            site.router.onRequest =
                    (request, out) -> {
                        actions.set(out);
                        out.scheduleTimer(new Clock().now() + CLOSE_TOLERANCE_MS, "send");
                    };
            String body = "v".repeat(2 * MessageAggregator.MAX_AGGREGATED_BYTES);
            try (TestServer.Connection writer = site.client()) {
                writer.write(ProxyFixture.put("Idempotency-Key: k\r\n", body));
                TestServer.Message received = site.node.next();
                assertEquals(body, received.body());
                received.connection().respond(200, "v");
                assertEquals(200, ProxyFixture.status(writer.read()));
            }
        } finally {
            for (TestServer.Connection each : crowd) {
                each.close();
            }
        }
    }
}
