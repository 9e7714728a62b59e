package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A request waits for a connection that is established late: whatever changes meanwhile applies to
 * it too, and it is not written any more.
 */
class UnsentRequestTest {

    private static final long ACCEPT_TIMEOUT_MS = 2500;

    private final LateAcceptingNode lateNode;
    private final ProxyFixture fixture;
    private TestServer.Connection client;
    private TestServer.Connection watch;

    UnsentRequestTest() throws Exception {
        lateNode = new LateAcceptingNode();
        fixture = new ProxyFixture();
    }

    /** One cache node that accepts connections late, and a router that never cancels an attempt. */
    @BeforeEach
    void start() throws Exception {
        fixture.hosts = new String[] {ProxyFixture.host("c0", lateNode.dial(), "up", 0)};
        fixture.start("automatic", "60000", "");
        watch = fixture.discovery.next().connection();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        ScriptedRouter.awaitNext(fixture.router.receivedLists);
        client = fixture.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fixture.close();
        lateNode.close();
    }

    private void sendEndpointList(String health) throws IOException {
        String list =
                ProxyFixture.endpointList(
                                8, false, ProxyFixture.host("c0", lateNode.dial(), health, 0))
                        + "\n";
        watch.write(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    }

    /** The connection is established, and either nothing is ever written to it or it is closed. */
    private void assertNothingIsWritten() throws IOException {
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertTrue(connection == null || connection.read() == null, "it reached the node");
    }

    @Test
    void nothingIsSentForDisconnectedClient() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        awaitRequest();
        client.close();
        assertEquals("id0", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        assertEquals(
                Outcome.NEVER_SENT,
                ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome(),
                "the attempt should end whatever the router does");
        assertNothingIsWritten();
    }

    @Test
    void nothingIsSentAfterFinalResponse() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        awaitRequest();
        fixture.router.onRequest =
                (request, out) -> {
                    out.reject("id0", 0);
                    out.reject(request.id(), 0);
                };
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertEquals(503, ProxyFixture.status(client.read()));
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertNothingIsWritten();
    }

    @Test
    void nothingIsSentToDrainingNodeAndRouterLearnsOfDrainFirst() throws Exception {
        CompletableFuture<Integer> listsAtEnd = new CompletableFuture<>();
        fixture.router.onEnd =
                (end, out) -> {
                    listsAtEnd.complete(fixture.router.receivedLists.size());
                    out.fail(end.request());
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        awaitRequest();
        sendEndpointList("draining");
        assertEquals(
                1,
                listsAtEnd.get(TestServer.TIMEOUT_S, TimeUnit.SECONDS),
                "the endpoint list should reach the router before the attempt's end");
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(502, ProxyFixture.status(client.read()));
        assertNothingIsWritten();
    }

    @Test
    void nothingIsSentToRemovedNode() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        awaitRequest();
        sendEndpointList("removed");
        assertEquals(
                Outcome.CONNECT_FAILED,
                ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertNothingIsWritten();
    }

    /**
     * The connection is established and the client has closed by the time the event loop resumes:
     * the close is read before anything is written.
     */
    @Test
    void clientCloseIsReadBeforeNewConnectionIsUsed() throws Exception {
        duringLoopPause(
                connection -> client.close(),
                connection -> assertNull(connection.read(), "it reached the node"));
        assertEquals("id0", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
    }

    /**
     * As with a process that is killed right after its accept, before the event loop sees the
     * connection: nothing can have run.
     */
    @Test
    void nodeResetBeforeAnyWriteProvesNotRun() throws Exception {
        duringLoopPause(
                connection -> {
                    connection.socket().setSoLinger(true, 0);
                    connection.close();
                },
                connection ->
                        assertEquals(
                                Outcome.CONNECT_FAILED,
                                ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome()));
        assertEquals(502, ProxyFixture.status(client.read()));
    }

    private interface ConnectionAction {
        void run(TestServer.Connection connection) throws Exception;
    }

    /**
     * Sends a request, and has the node's connection established and {@code meanwhile} run before
     * the paused event loop handles either.
     */
    private void duringLoopPause(ConnectionAction meanwhile, ConnectionAction afterwards)
            throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        awaitRequest();
        EventLoopPause loopPause = EventLoopPause.atNextRequest(fixture);
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            loopPause.awaitPaused();
            TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
            meanwhile.run(connection);
            loopPause.resume();
            afterwards.run(connection);
        }
    }

    private void awaitRequest() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S);
        while (fixture.router.requests.isEmpty() && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }
}
