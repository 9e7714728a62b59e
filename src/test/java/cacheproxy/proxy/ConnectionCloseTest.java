package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Bytes arrive at the moment at which the proxy closes a client's connection. The event loop is
 * paused inside the router while they are written, so they lie unread when it resumes: a full close
 * would then reset the connection, which the client sees as an exception.
 */
class ConnectionCloseTest extends WithProxyFixture {

    private String pauseAtRequest(EventLoopPause loopPause, TestServer.Connection asking)
            throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("id0")) {
                        loopPause.pause();
                    }
                    out.reject(request.id(), 0);
                };
        String request = fixture.get(ProxyFixture.LONG_BUDGET_S);
        asking.write(request);
        loopPause.awaitPaused();
        return request;
    }

    /**
     * Returns once the drain has started: from then on the response on a new connection closes it.
     */
    private void startDrain() throws Exception {
        fixture.service.startShutdown();
        boolean last = false;
        while (!last) {
            try (TestServer.Connection asking = fixture.client()) {
                asking.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                last =
                        "close"
                                .equals(
                                        new TestServer.Message(asking.read(), asking)
                                                .header("Connection"));
            }
        }
    }

    /**
     * Asserts that the proxy closed its side without a reset; what is sent after that is read and
     * discarded.
     */
    private static void assertHalfClosed(TestServer.Connection connection) throws Exception {
        assertNull(connection.read());
        for (int i = 0; i < 20; i++) {
            connection.write(get("more" + i));
            TimeUnit.MILLISECONDS.sleep(1);
        }
        connection.socket().shutdownOutput();
        assertEquals(
                -1, connection.socket().getInputStream().read(), "end of stream without a reset");
    }

    @Test
    void lastResponseArrivesThoughMoreWasSentMeanwhile() throws Exception {
        startDrain();
        EventLoopPause loopPause = new EventLoopPause();
        pauseAtRequest(loopPause, client);
        client.write("GET /api/k2 HTTP/1.1\r\nHost: s\r\nX-Call-Id: late\r\nX-Call-Cl");
        loopPause.resume();
        String answer = client.read();
        assertEquals(503, ProxyFixture.status(answer));
        assertEquals("close", new TestServer.Message(answer, client).header("Connection"));
        assertHalfClosed(client);
    }

    private static String get(String id) {
        return "GET /api/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n";
    }

    private void assertRejectedAsLast(TestServer.Connection connection) throws Exception {
        String answer = connection.read();
        assertEquals(503, ProxyFixture.status(answer));
        assertEquals("close", new TestServer.Message(answer, connection).header("Connection"));
        assertHalfClosed(connection);
    }

    /**
     * A request that arrived before the close is answered, on a connection that was served before
     * and on a new one; what arrives after it is not sent on.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unreadRequestIsAnsweredWhenIdleConnectionCloses(boolean servedBefore) throws Exception {
        try (TestServer.Connection idle = fixture.client()) {
            fixture.router.onRequest = (request, out) -> out.reject(request.id(), 0);
            if (servedBefore) {
                idle.write(get("first"));
                assertEquals(503, ProxyFixture.status(idle.read()));
            } else {
                awaitAccepted();
            }
            EventLoopPause loopPause = new EventLoopPause();
            pauseAtRequest(loopPause, client);
            fixture.service.stopAccepting();
            idle.write(get("unread"));
            loopPause.resume();
            assertRejectedAsLast(idle);
            assertEquals(503, ProxyFixture.status(client.read()));
        }
        assertEquals(
                1, fixture.router.requests.stream().filter(r -> r.id().equals("unread")).count());
        assertEquals(servedBefore ? 3 : 2, fixture.router.requests.size());
        fixture.service.awaitTermination();
    }

    /**
     * Returns once all connections opened before have been accepted, as they are accepted in order.
     */
    private void awaitAccepted() throws Exception {
        try (TestServer.Connection later = fixture.client()) {
            later.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            ProxyFixture.status(later.read());
        }
    }

    /** The clients connect after the last accept and before the listener closes. */
    @Test
    void clientInBacklogWhenListenerClosesIsServed() throws Exception {
        EventLoopPause loopPause = new EventLoopPause();
        pauseAtRequest(loopPause, client);
        fixture.service.stopAccepting();
        try (TestServer.Connection crossing = fixture.client();
                TestServer.Connection slower = fixture.client()) {
            crossing.write(get("crossing"));
            loopPause.resume();
            assertRejectedAsLast(crossing);
            slower.write(get("slower"));
            assertRejectedAsLast(slower);
            assertEquals(503, ProxyFixture.status(client.read()));
        }
        fixture.service.awaitTermination();
    }

    /** The first half of the request was read together with the request before it. */
    @Test
    void partlyPipelinedRequestIsServedAfterStop() throws Exception {
        String second = get("second");
        client.write(get("first") + second.substring(0, second.length() / 2));
        TestServer.Connection node = fixture.node.next().connection();
        fixture.service.startShutdown();
        fixture.service.stopAccepting();
        node.respond(200, "first");
        assertEquals(200, ProxyFixture.status(client.read()));
        client.write(second.substring(second.length() / 2));
        fixture.node.next().connection().respond(200, "second");
        String answer = client.read();
        assertEquals("second", new TestServer.Message(answer, client).body());
        assertEquals("close", new TestServer.Message(answer, client).header("Connection"));
        assertNull(client.read());
        fixture.service.awaitTermination();
    }

    /** The first request is not valid for this proxy, but its end is known. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /other", "POST /api/k", "GET /api/k"})
    void requestPipelinedBehindRejectedOneIsServed(String declined) throws Exception {
        client.write(declined + " HTTP/1.1\r\nHost: s\r\n\r\n" + get("behind"));
        assertTrue(ProxyFixture.status(client.read()) / 100 == 4);
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    /**
     * Handling fails with an unexpected error: the request is answered at its deadline at the
     * latest.
     */
    @Test
    void requestWhoseHandlingFailsIsAnswered() throws Exception {
        fixture.router.onRequest =
                (request, out) -> {
                    throw new LinkageError("forced");
                };
        client.write(get("broken").replace("X-Budget: 60", "X-Budget: 0.2"));
        assertEquals(503, ProxyFixture.status(client.read()));
        assertNull(client.read());
    }

    @Test
    void inputAfterHalfCloseIsDiscarded() throws Exception {
        startDrain();
        fixture.router.onRequest = (request, out) -> out.reject(request.id(), 0);
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        assertEquals(503, ProxyFixture.status(client.read()));
        assertHalfClosed(client);
        assertEquals(1, fixture.router.requests.size());
    }

    @Test
    void partialRequestAtStopIsServed() throws Exception {
        String request = fixture.get(ProxyFixture.LONG_BUDGET_S);
        try (TestServer.Connection other = fixture.client()) {
            client.write(request.substring(0, 30));
            // The other client's response proves that the event loop has read the bytes sent
            // before.
            other.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            ProxyFixture.status(other.read());
            fixture.service.startShutdown();
            fixture.service.stopAccepting();
            assertNull(other.read(), "the idle connection should be closed");
            client.write(request.substring(30));
            fixture.node.next().connection().respond(200, "v");
            String answer = client.read();
            assertEquals(200, ProxyFixture.status(answer));
            assertEquals("close", new TestServer.Message(answer, client).header("Connection"));
            assertNull(client.read());
        }
        fixture.service.awaitTermination();
    }

    @Test
    void pipelinedRequestAtStopIsAnsweredInOrder() throws Exception {
        client.write(
                fixture.get(ProxyFixture.LONG_BUDGET_S) + fixture.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Connection node = fixture.node.next().connection();
        fixture.service.startShutdown();
        fixture.service.stopAccepting();
        node.respond(200, "first");
        String first = client.read();
        assertEquals("first", new TestServer.Message(first, client).body());
        assertNull(
                new TestServer.Message(first, client).header("Connection"),
                "not the last response");
        fixture.node.next().connection().respond(200, "second");
        String second = client.read();
        assertEquals("second", new TestServer.Message(second, client).body());
        assertEquals("close", new TestServer.Message(second, client).header("Connection"));
        assertNull(client.read());
        fixture.service.awaitTermination();
    }

    /** After the last responses nothing is sent on: no client would wait for the result. */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void requestsReadAtShutdownAreAnsweredAndNotSentOn() throws Exception {
        client.write(
                fixture.get(ProxyFixture.LONG_BUDGET_S) + fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next();
        CompletableFuture<Void> drained = CompletableFuture.runAsync(fixture.service::shutDown);
        assertEquals(502, ProxyFixture.status(client.read()), "it may have run");
        String last = client.read();
        assertEquals(503, ProxyFixture.status(last), "it never ran");
        assertEquals("close", new TestServer.Message(last, client).header("Connection"));
        assertNull(client.read());
        drained.get(TestServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(1, fixture.router.requests.size());
    }

    @Test
    void disconnectDuringPipelineOverflowIsNoticed() throws Exception {
        StringBuilder flood = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            flood.append(fixture.get(ProxyFixture.LONG_BUDGET_S));
        }
        client.write(flood.toString());
        TestServer.Message sentRequest = fixture.node.next();
        client.close();
        assertEquals("id0", ScriptedRouter.awaitNext(fixture.router.disconnectedRequests));
        sentRequest.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(1, fixture.router.requests.size(), "no other request reached the router");
    }

    @Test
    void pipelineOverflowIsRejectedAndOthersAreServed() throws Exception {
        StringBuilder flood = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            flood.append(fixture.get(ProxyFixture.LONG_BUDGET_S));
        }
        client.write(flood.toString());
        TestServer.Message sentRequest = fixture.node.next();
        try (TestServer.Connection otherClient = fixture.client()) {
            otherClient.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            fixture.node.next().connection().respond(200, "usual");
            assertEquals(200, ProxyFixture.status(otherClient.read()));
        }
        sentRequest.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        int refused = 0;
        for (String answer = client.read(); answer != null; answer = client.read()) {
            assertEquals(503, ProxyFixture.status(answer));
            refused++;
        }
        assertTrue(refused > 0 && refused < 1000, refused + " were read and refused");
        assertEquals(2, fixture.router.requests.size());
    }

    /**
     * A client without chunked encoding recognises the end of a response without a length only by
     * the end of the connection, so a truncated response must end in a reset.
     */
    @Test
    void truncatedCloseDelimitedResponseEndsInReset() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S).replace("HTTP/1.1", "HTTP/1.0"));
        TestServer.Connection node = fixture.node.next().connection();
        node.write(
                "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"
                        + "v".repeat(0x20000)
                        + "\r\n");
        assertEquals('H', client.socket().getInputStream().read());
        node.close();
        boolean reset = false;
        try {
            client.socket().getInputStream().readAllBytes();
        } catch (SocketException e) {
            reset = true;
        }
        assertTrue(reset, "a regular end of stream would make the response look complete");
    }
}
