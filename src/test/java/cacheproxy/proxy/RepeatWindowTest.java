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
class RepeatWindowTest extends WithPool {

    private static final long OPEN_MS = 2500;

    private LateNode late;

    @BeforeEach
    void startLate() throws Exception {
        late = new LateNode();
        String[] address = late.dial().split(":");
        Node named = new Node("late", "std", "a", 0, 1, 0, Availability.UP);
        var dial = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
        loop.submit(
                        () ->
                                pool.list(
                                                new HostList(
                                                        2,
                                                        false,
                                                        List.of(new HostList.Host(named, dial))))
                                        .run())
                .get();
    }

    @AfterEach
    void stopLate() throws Exception {
        late.close();
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
    void onAConnectionThatComesUpAfterItsWindowNothingIsWritten() throws Exception {
        // Its timer is far, but its clock has passed the window when the connection comes up.
        send(50_000);
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(51));
        Peer.Wire wire = late.open(OPEN_MS);
        assertEquals(Outcome.NEVER_SENT, Scripted.next(outcomes));
        assertTrue(wire == null || wire.read() == null, "it was sent after its window");
    }

    @Test
    void whatWaitsIsGivenUpWhenItsWindowEnds() throws Exception {
        send(100);
        assertEquals(Outcome.NEVER_SENT, Scripted.next(outcomes));
        Peer.Wire wire = late.open(OPEN_MS);
        assertTrue(wire == null || wire.read() == null, "it was sent after its window");
    }

    @Test
    void withinItsWindowItIsWritten() throws Exception {
        send(50_000);
        Peer.Wire wire = late.open(OPEN_MS);
        assertEquals("GET /api/k1 HTTP/1.1", new Peer.Message(wire.read(), wire).firstLine());
        wire.answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
    }

    /** The class has no window at all: a repeat that the router asks for by mistake is not sent. */
    @Test
    void aKeyedRequestThatMayHaveRunIsNotSentPastItsWindowWhateverTheRouterSays() throws Exception {
        try (Site site = Site.started();
                Peer.Wire client = site.client()) {
            site.router.onEnd =
                    (end, out) -> {
                        if (end.attempt() == 0) {
                            out.send(end.request(), "c0", 0);
                        } else {
                            out.fail(end.request());
                        }
                    };
            client.write(Site.put("Idempotency-Key: k-9\r\n", "value"));
            site.node.next().wire().answer(500, "");
            assertEquals(502, Site.status(client.read()));
            assertEquals(Outcome.ERROR, Scripted.next(site.router.ends).outcome());
            assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
            assertTrue(site.node.heardNothing());
        }
    }
}
