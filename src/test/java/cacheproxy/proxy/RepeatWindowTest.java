package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The repeat window applies until the last byte of a repeat is written, not only when the repeat is
 * decided.
 */
class RepeatWindowTest extends WithNodePool {

    private static final long ACCEPT_TIMEOUT_MS = 2500;

    private LateAcceptingNode lateNode;

    @BeforeEach
    void startLateNode() throws Exception {
        lateNode = new LateAcceptingNode();
        String[] address = lateNode.dial().split(":");
        Node node = new Node("late", "std", "a", 0, 1, 0, Availability.UP);
        var dial = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
        loop.submit(
                        () ->
                                pool.applyEndpointList(
                                                new EndpointListUpdate(
                                                        2,
                                                        false,
                                                        List.of(
                                                                new EndpointListUpdate.Endpoint(
                                                                        node, dial))))
                                        .run())
                .get();
    }

    @AfterEach
    void stopLateNode() throws Exception {
        lateNode.close();
    }

    private void send(double writeWithinMs) throws Exception {
        loop.submit(
                        () ->
                                pool.send(
                                        "late",
                                        () ->
                                                new DefaultFullHttpRequest(
                                                        HttpVersion.HTTP_1_1,
                                                        HttpMethod.GET,
                                                        "/api/k1"),
                                        null,
                                        60_000,
                                        writeWithinMs,
                                        (exchange, outcome, response) -> outcomes.add(outcome)))
                .get();
    }

    @Test
    void nothingIsWrittenOnConnectionEstablishedAfterTheWindow() throws Exception {
        // Its timer is far from due, but by the clock the window is over when the connection is
        // established.
        send(50_000);
        nanoClock.addAndGet(TimeUnit.SECONDS.toNanos(51));
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertEquals(Outcome.NEVER_SENT, ScriptedRouter.awaitNext(outcomes));
        assertTrue(
                connection == null || connection.read() == null,
                "sent after the end of its repeat window");
    }

    @Test
    void waitingRepeatIsCancelledWhenItsWindowEnds() throws Exception {
        send(100);
        assertEquals(Outcome.NEVER_SENT, ScriptedRouter.awaitNext(outcomes));
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertTrue(
                connection == null || connection.read() == null,
                "sent after the end of its repeat window");
    }

    @Test
    void repeatIsWrittenWithinItsWindow() throws Exception {
        send(50_000);
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertEquals(
                "GET /api/k1 HTTP/1.1",
                new TestServer.Message(connection.read(), connection).firstLine());
        connection.respond(200, "v");
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(outcomes));
    }

    /**
     * This class has no repeat window: a repeat that the router requests by mistake is not sent.
     */
    @Test
    void keyedRequestIsNotRepeatedOutsideItsWindowWhateverTheRouterDecides() throws Exception {
        try (ProxyFixture fixture = ProxyFixture.started();
                TestServer.Connection client = fixture.client()) {
            fixture.router.onEnd =
                    (end, out) -> {
                        if (end.attempt() == 0) {
                            out.send(end.request(), "c0", 0);
                        } else {
                            out.fail(end.request());
                        }
                    };
            client.write(ProxyFixture.put("Idempotency-Key: k-9\r\n", "value"));
            fixture.node.next().connection().respond(500, "");
            assertEquals(502, ProxyFixture.status(client.read()));
            assertEquals(
                    Outcome.ERROR, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            assertEquals(
                    Outcome.NEVER_SENT,
                    ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
            assertTrue(fixture.node.receivedNothing());
        }
    }
}
