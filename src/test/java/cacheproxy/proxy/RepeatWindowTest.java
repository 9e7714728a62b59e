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
 * The window for repeats holds up to the moment in which a repeat's last byte is written, and not
 * only when it is decided.
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
        // Its timer is far, but its clock has passed the window when the connection comes up.
        send(50_000);
        nanoClock.addAndGet(TimeUnit.SECONDS.toNanos(51));
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertEquals(Outcome.NEVER_SENT, ScriptedRouter.awaitNext(outcomes));
        assertTrue(connection == null || connection.read() == null, "it was sent after its window");
    }

    @Test
    void waitingRepeatIsCancelledWhenItsWindowEnds() throws Exception {
        send(100);
        assertEquals(Outcome.NEVER_SENT, ScriptedRouter.awaitNext(outcomes));
        TestServer.Connection connection = lateNode.acceptConnection(ACCEPT_TIMEOUT_MS);
        assertTrue(connection == null || connection.read() == null, "it was sent after its window");
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

    /** The class has no window at all: a repeat that the router asks for by mistake is not sent. */
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
