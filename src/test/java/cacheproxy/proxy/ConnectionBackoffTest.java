package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * A node accepts only one connection from this proxy, as its connection table is full of other
 * proxies' connections. The node counts as healthy, and no request is lost.
 */
class ConnectionBackoffTest extends WithNodePool {

    private static final String[] REJECTION_HEADERS = {"X-Rejected: 1", "Connection: close"};

    /**
     * Leaves a request pending on the only connection and has the node reject a second connection.
     * Returns the pending request.
     */
    private TestServer.Message occupyOnlyConnection() throws Exception {
        send();
        TestServer.Message pending = node.next();
        send();
        node.next().connection().respond(503, "", REJECTION_HEADERS);
        assertEquals(Outcome.CONNECT_FAILED, ScriptedRouter.awaitNext(outcomes));
        assertNull(node.next().text());
        return pending;
    }

    @Test
    void laterRequestsWaitForTheOnlyConnection() throws Exception {
        TestServer.Message pending = occupyOnlyConnection();
        send();
        send();
        pending.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
        for (int i = 0; i < 2; i++) {
            awaitReusable();
            TestServer.Message waiting = node.next();
            assertEquals(pending.connection().number(), waiting.connection().number());
            waiting.connection().respond(200, "v");
            assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
        }
    }

    /**
     * The connection was accepted before the other was rejected, so a response on it does not show
     * that the node has capacity for one more.
     */
    @Test
    void responseOnOlderConnectionDoesNotEndThePause() throws Exception {
        TestServer.Message pending = occupyOnlyConnection();
        pending.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
        awaitReusable();
        send();
        send();
        for (int i = 0; i < 2; i++) {
            TestServer.Message next = node.next();
            assertEquals(pending.connection().number(), next.connection().number());
            next.connection().respond(200, "v");
            assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
            awaitReusable();
        }
    }

    /**
     * Whether a waiting request is still wanted is checked when the connection that it waits for
     * becomes free.
     */
    @Test
    void unwantedRequestIsNotWritten() throws Exception {
        TestServer.Message pending = occupyOnlyConnection();
        AtomicBoolean wanted = new AtomicBoolean(true);
        loop.submit(
                        () ->
                                pool.send(
                                        "c0",
                                        () ->
                                                new DefaultFullHttpRequest(
                                                        HttpVersion.HTTP_1_1,
                                                        HttpMethod.GET,
                                                        "/api/left"),
                                        60_000,
                                        new UpstreamAttempt.Listener() {
                                            @Override
                                            public boolean isWanted() {
                                                return wanted.get();
                                            }

                                            @Override
                                            public void onEnded(
                                                    UpstreamAttempt attempt,
                                                    Outcome outcome,
                                                    FullHttpResponse response) {
                                                outcomes.add(outcome);
                                            }
                                        }))
                .get();
        send();
        wanted.set(false);
        pending.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
        awaitReusable();
        assertEquals(Outcome.NEVER_SENT, ScriptedRouter.awaitNext(outcomes));
        TestServer.Message next = node.next();
        assertEquals("GET /api/k1 HTTP/1.1", next.firstLine());
        next.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
    }

    /**
     * The node never answers the request on its only connection: a waiting request fails after the
     * connect timeout, long before its own 60 s are over.
     */
    @Test
    void waitIsBoundedByConnectTimeout() throws Exception {
        occupyOnlyConnection();
        send();
        assertEquals(Outcome.CONNECT_FAILED, ScriptedRouter.awaitNext(outcomes));
    }

    @Test
    void opensAnotherConnectionAfterThePause() throws Exception {
        TestServer.Message pending = occupyOnlyConnection();
        send();
        nanoClock.addAndGet(TimeUnit.SECONDS.toNanos(1));
        TestServer.Message retried = node.next();
        assertTrue(retried.connection().number() > pending.connection().number());
        retried.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
    }

    @Test
    void rejectionOnReusedConnectionIsReportedAsRejected() throws Exception {
        send();
        TestServer.Message pending = node.next();
        pending.connection().respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
        awaitReusable();
        send();
        node.next().connection().respond(503, "", REJECTION_HEADERS);
        assertEquals(Outcome.REJECTED, ScriptedRouter.awaitNext(outcomes));
    }

    @Test
    void waitingRequestFailsWhenTheNodeIsRemoved() throws Exception {
        occupyOnlyConnection();
        send();
        setAvailability(Availability.GONE);
        assertEquals(Outcome.CONNECT_FAILED, ScriptedRouter.awaitNext(outcomes));
    }

    @Test
    void extraIdleConnectionClosesSoonAndTheLastOneStays() throws Exception {
        send();
        TestServer.Message first = node.next();
        send();
        TestServer.Message second = node.next();
        first.connection().respond(200, "v");
        second.connection().respond(200, "v");
        ScriptedRouter.awaitNext(outcomes);
        ScriptedRouter.awaitNext(outcomes);
        awaitReusable();
        nanoClock.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertNull(node.next().text(), "the proxy closes the extra connection");
        assertEquals(1, loop.submit(() -> pool.connectionCount("c0")).get());
    }
}
