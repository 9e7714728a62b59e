package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.Outcome;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Each event on a connection to a node is mapped to the outcome that the protocol defines, and
 * connections in an unknown state are not reused.
 */
class OutcomeTest extends WithProxyFixture {

    @ParameterizedTest
    @CsvSource({
        "200, X-Other: 1, OK",
        "404, X-Other: 1, MISS",
        "500, X-Other: 1, ERROR",
        "503, X-Rejected: 1, REJECTED",
        "504, X-Rejected: 1, REJECTED",
        "503, X-Rejected: 0, ERROR",
        "503, X-Other: 1, ERROR",
        "504, X-Other: 1, ERROR",
        "500, X-Rejected: 1, ERROR",
        "302, X-Other: 1, ERROR"
    })
    void statusAndHeaderDetermineOutcome(int status, String header, Outcome outcome)
            throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().respond(status, "v", header);
        assertEquals(outcome, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(outcome == Outcome.OK ? 200 : 502, ProxyFixture.status(client.read()));
    }

    @Test
    void closeAfterRequestIsReset() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().close();
        assertEquals(Outcome.RESET, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
    }

    /**
     * As at a process that is killed: the request may have run only if it was written before the
     * reset.
     */
    @Test
    void nodeResetAfterAcceptMayHaveRunOnlyWhatWasWritten() throws Exception {
        try (ServerSocket resettingServer =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            String endpointList =
                    ProxyFixture.endpointList(
                                    8,
                                    false,
                                    ProxyFixture.host(
                                            "c1",
                                            "127.0.0.1:" + resettingServer.getLocalPort(),
                                            "up",
                                            0))
                            + "\n";
            fixture.discovery
                    .next()
                    .connection()
                    .write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(endpointList.length())
                                    + "\r\n"
                                    + endpointList
                                    + "\r\n");
            while (ScriptedRouter.awaitNext(fixture.router.receivedLists).version() < 8) {
                // The endpoint list that the service starts with comes first.
            }
            fixture.router.onRequest = (request, out) -> out.send(request.id(), "c1", 0);
            fixture.router.onEnd =
                    (end, out) -> {
                        if (end.attempt() == 0) {
                            out.send(end.request(), "c0", 0);
                        }
                    };
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            try (Socket accepted = resettingServer.accept()) {
                boolean sent = accepted.getInputStream().read() >= 0;
                accepted.setSoLinger(true, 0);
                assertTrue(sent);
            }
            assertEquals(
                    Outcome.RESET, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            fixture.node.next().connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
        }
    }

    @Test
    void truncatedResponseIsReset() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        connection.close();
        assertEquals(Outcome.RESET, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(502, ProxyFixture.status(client.read()));
    }

    @Test
    void malformedResponseIsErrorAndClosesTheConnection() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write("this is no HTTP\r\n\r\n");
        assertEquals(Outcome.ERROR, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertNull(fixture.node.next().text());
    }

    @Test
    void responseOverTheSizeLimitIsError() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node
                .next()
                .connection()
                .write(
                        "HTTP/1.1 200 x\r\nContent-Length: "
                                + (MessageAggregator.MAX_MESSAGE_BYTES + 1)
                                + "\r\n\r\nv");
        assertEquals(Outcome.ERROR, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
    }

    @Test
    void refusedConnectionIsConnectFailed() throws Exception {
        // A socket that is bound but not listening refuses connections, and no other program can
        // take its port.
        try (Socket boundSocket = new Socket()) {
            boundSocket.bind(new InetSocketAddress("127.0.0.1", 0));
            String endpointList =
                    ProxyFixture.endpointList(
                                    8,
                                    false,
                                    ProxyFixture.host(
                                            "c1",
                                            "127.0.0.1:" + boundSocket.getLocalPort(),
                                            "up",
                                            0))
                            + "\n";
            fixture.discovery
                    .next()
                    .connection()
                    .write(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(endpointList.length())
                                    + "\r\n"
                                    + endpointList
                                    + "\r\n");
            while (ScriptedRouter.awaitNext(fixture.router.receivedLists).version() < 8) {
                // The endpoint list that the service starts with comes first.
            }
            fixture.router.onRequest = (request, out) -> out.send(request.id(), "c1", 0);
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertEquals(
                    Outcome.CONNECT_FAILED,
                    ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        }
    }

    @Test
    void silentNodeTimesOutAndItsConnectionIsNotReused() throws Exception {
        fixture.router.onRequest = (request, out) -> out.send(request.id(), "c0", 2000);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message first = fixture.node.next();
        assertEquals(
                Outcome.TIMEOUT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertNull(fixture.node.next().text(), "the abandoned connection is closed");
        assertEquals(502, ProxyFixture.status(client.read()));
        fixture.router.onRequest = (request, out) -> out.send(request.id(), "c0", 0);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message second = fixture.node.next();
        assertFalse(first.connection().number() == second.connection().number());
        second.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    @Test
    void timeoutIsLimitedToTheClientsBudget() throws Exception {
        fixture.router.onRequest = (request, out) -> out.send(request.id(), "c0", 1e6);
        client.write(fixture.get(2));
        fixture.node.next();
        assertEquals(
                Outcome.TIMEOUT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
    }

    @Test
    void requestIsForwardedUnchangedAndConnectionIsReused() throws Exception {
        client.write(ProxyFixture.put("Idempotency-Key: k-9\r\n", "value"));
        TestServer.Message put = fixture.node.next();
        assertEquals("PUT /api/k1 HTTP/1.1", put.firstLine());
        assertEquals("value", put.body());
        assertEquals("k-9", put.header("Idempotency-Key"));
        assertEquals("w1", put.header("X-Call-Id"));
        put.connection().respond(200, "done", "X-Hit: miss");
        assertEquals("done", new TestServer.Message(client.read(), client).body());
        assertEquals(2, ScriptedRouter.awaitNext(fixture.router.attemptEnds).cacheStatus());
        // A connection is reused only after a short pause; requests that come earlier open others.
        Set<Integer> opened = new HashSet<>(Set.of(put.connection().number()));
        boolean reused = false;
        TestServer.Message get = put;
        while (!reused) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            get = fixture.node.next();
            reused = !opened.add(get.connection().number());
            get.connection().respond(200, "again");
            client.read();
        }
        assertEquals("GET /api/k1?x=1 HTTP/1.1", get.firstLine());
        assertTrue(Double.parseDouble(get.header("X-Budget")) <= ProxyFixture.LONG_BUDGET_S);
    }

    @Test
    void unsolicitedResponseClosesTheConnection() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.respond(200, "v");
        client.read();
        connection.respond(200, "stray");
        assertNull(fixture.node.next().text());
    }

    @Test
    void nothingIsSentBeyondTheAttemptLimit() throws Exception {
        fixture.router.onEnd =
                (end, out) -> {
                    if (end.outcome() == Outcome.NEVER_SENT) {
                        out.fail(end.request());
                    } else {
                        out.send(end.request(), "c0", 0);
                    }
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        for (int i = 0; i < 3; i++) {
            fixture.node.next().connection().respond(404, "");
        }
        assertEquals(502, ProxyFixture.status(client.read()));
        AttemptEnd last = null;
        for (int i = 0; i < 4; i++) {
            last = ScriptedRouter.awaitNext(fixture.router.attemptEnds);
        }
        assertEquals(3, last.attempt());
        assertEquals(Outcome.NEVER_SENT, last.outcome());
        assertTrue(fixture.node.receivedNothing());
    }

    @Test
    void atMostOneAttemptIsInFlight() throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    out.send(request.id(), "c0", 0);
                    out.send(request.id(), "c0", 0);
                };
        fixture.router.onEnd = (end, out) -> {};
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals(
                Outcome.NEVER_SENT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        assertTrue(fixture.node.receivedNothing());
    }

    @Test
    void probeReportsWhetherTheNodeResponds() throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    out.probe("c0");
                    out.reject(request.id(), 0);
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message probe = fixture.node.next();
        assertEquals("GET /alive HTTP/1.1", probe.firstLine());
        probe.connection().respond(200, "");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(fixture.router.probeOutcomes));
    }
}
