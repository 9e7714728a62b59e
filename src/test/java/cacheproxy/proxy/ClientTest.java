package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Valid and invalid input from clients; each request gets exactly one response. */
class ClientTest extends WithProxyFixture {

    private static final String VALID_HEADERS = "X-Call-Id: a1|X-Call-Class: read|X-Budget: 60";

    @ParameterizedTest
    @CsvSource({
        "GET, /api/k, X-Call-Class: read|X-Budget: 1, 400",
        "GET, /api/k, X-Call-Id: a1|X-Budget: 1, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read, 400",
        "GET, /api/k, X-Call-Id: a/1|X-Call-Class: read|X-Budget: 1, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read|X-Budget: soon, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read|X-Budget: -1, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read|X-Budget: NaN, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read|X-Budget: 1e300, 400",
        "GET, /api/k, X-Call-Id: a1|X-Call-Class: read|X-Budget: 1e999999999, 400",
        "PUT, /api/k, X-Call-Id: a1|X-Call-Class: pay|X-Budget: 1|Content-Length: 0, 400",
        "GET, /api/k, " + VALID_HEADERS + "|Content-Length: many, 400",
        "GET, /nowhere, " + VALID_HEADERS + ", 404",
        "GET, /api/, " + VALID_HEADERS + ", 404",
        "DELETE, /api/k, " + VALID_HEADERS + ", 405",
        "PUT, /up, " + VALID_HEADERS + "|Content-Length: 0, 405",
        "PUT, /api/k, " + VALID_HEADERS + "|Content-Length: 34603009, 413"
    })
    void invalidRequestIsRejectedWithoutReachingRouterOrNode(
            String method, String path, String headers, int status) throws Exception {
        client.write(
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: s\r\n"
                        + headers.replace("|", "\r\n")
                        + "\r\n\r\n");
        assertEquals(status, ProxyFixture.status(client.read()));
        assertTrue(fixture.router.requests.isEmpty());
        assertTrue(fixture.node.receivedNothing());
    }

    @Test
    void malformedHttpIsRejectedAndOtherClientsAreServed() throws Exception {
        client.write("\u0001\u0002 nonsense\r\n\r\n");
        assertEquals(400, ProxyFixture.status(client.read()));
        assertNull(client.read());
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            fixture.node.next().connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(other.read()));
        }
    }

    @Test
    void duplicateIdOfOpenRequestIsRejected() throws Exception {
        String request = fixture.get(ProxyFixture.LONG_BUDGET_S);
        client.write(request);
        TestServer.Message sentRequest = fixture.node.next();
        try (TestServer.Connection other = fixture.client()) {
            other.write(request);
            assertEquals(400, ProxyFixture.status(other.read()));
        }
        sentRequest.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    @Test
    void rejectionHasRetryAfter() throws Exception {
        fixture.router.onRequest = (request, out) -> out.reject(request.id(), 287.4);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        String answer = client.read();
        assertEquals(503, ProxyFixture.status(answer));
        assertEquals("0.288", new TestServer.Message(answer, client).header("Retry-After"));
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        client.write(
                fixture.get(ProxyFixture.LONG_BUDGET_S) + fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection node = fixture.node.next().connection();
        node.respond(200, "first");
        assertEquals("first", new TestServer.Message(client.read(), client).body());
        fixture.node.next().connection().respond(200, "second");
        assertEquals("second", new TestServer.Message(client.read(), client).body());
    }

    @Test
    void clientDisconnectCancelsAttempt() throws Exception {
        fixture.router.onClientDisconnected = (end, out) -> out.cancel(end.request(), 0);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next();
        client.close();
        assertEquals("id0", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        var end = ScriptedRouter.awaitNext(fixture.router.attemptEnds);
        assertEquals(Outcome.CANCELLED, end.outcome());
        assertTrue(end.finished());
        assertNull(fixture.node.next().text(), "the attempt's connection should be closed");
    }

    @Test
    void requestSentDuringEventLoopStallIsServed() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        fixture.router.onRequest =
                (request, out) -> {
                    if (stalled.getCount() > 0) {
                        stalled.countDown();
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2400));
                    }
                    out.reject(request.id(), 1);
                };
        try (TestServer.Connection other = fixture.client()) {
            // The connection is accepted before the event loop stalls, and its request arrives
            // during the stall.
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(300));
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertTrue(stalled.await(TestServer.TIMEOUT_S, TimeUnit.SECONDS));
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertEquals(503, ProxyFixture.status(other.read()));
        }
    }

    @Test
    void responseAfterTheFinalOneIsReportedAndDiscarded() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection node = fixture.node.next().connection();
        // The final responses are given while the attempt is in flight, during another request's
        // turn.
        fixture.router.onRequest =
                (request, out) -> {
                    out.fail("id0");
                    out.reject("id0", 1);
                    out.reject(request.id(), 1);
                };
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertEquals(503, ProxyFixture.status(other.read()));
        }
        assertEquals(502, ProxyFixture.status(client.read()));
        node.respond(200, "late");
        var end = ScriptedRouter.awaitNext(fixture.router.attemptEnds);
        assertEquals(Outcome.OK, end.outcome());
        assertTrue(end.finished());
        fixture.router.onRequest = (request, out) -> out.reject(request.id(), 0);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals(
                503,
                ProxyFixture.status(client.read()),
                "neither the late response nor a second final one came in between");
    }

    @Test
    void requestsOverTheOpenLimitAreRejectedBeforeTheRouter() throws Exception {
        TestServer.Connection[] openClients = new TestServer.Connection[4];
        for (int i = 0; i < openClients.length; i++) {
            openClients[i] = fixture.client();
            openClients[i].write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertNotNull(fixture.node.next().text());
        }
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals(503, ProxyFixture.status(client.read()));
        assertEquals(4, fixture.router.requests.size());
        for (TestServer.Connection openClient : openClients) {
            openClient.close();
        }
    }

    @Test
    void routerFailureOnArrivalRejectsRequestAsNotRun() throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    throw new IllegalStateException("planned in this test");
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals(503, ProxyFixture.status(client.read()));
        assertEquals("id0", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
    }

    @ParameterizedTest
    @CsvSource({"500, 502", "404, 503"})
    void laterRouterFailureReportsNotRunOnlyIfProven(int fromNode, int toClient) throws Exception {
        fixture.router.onEnd =
                (end, out) -> {
                    throw new IllegalStateException("planned in this test");
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().respond(fromNode, "");
        assertEquals(toClient, ProxyFixture.status(client.read()));
        fixture.router.onRequest = (request, out) -> out.send(request.id(), "c0", 0);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    @Test
    void failedTimerIsRetried() throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    out.scheduleTimer(0, "tick");
                    out.reject(request.id(), 0);
                };
        fixture.router.onTimer =
                () -> {
                    fixture.router.onTimer = () -> {};
                    throw new IllegalStateException("planned in this test");
                };
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals("tick", ScriptedRouter.awaitNext(fixture.router.firedTimers));
        assertEquals("tick", ScriptedRouter.awaitNext(fixture.router.firedTimers));
    }

    @Test
    void requestWithoutDecisionIsAnsweredAtItsDeadline() throws Exception {
        fixture.router.onRequest = (request, out) -> {};
        client.write(fixture.get(0.1));
        assertEquals(503, ProxyFixture.status(client.read()));
    }
}
