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
 * A node that holds one connection and no more, as its table is full of others': it is healthy, and
 * nothing is lost.
 */
class FullTableTest extends WithPool {

    private static final String[] TURNED_AWAY = {"X-Rejected: 1", "Connection: close"};

    /** One exchange is out on the only connection, and the node has turned a second one away. */
    private Peer.Message onlyOne() throws Exception {
        send();
        Peer.Message out = node.next();
        send();
        node.next().wire().answer(503, "", TURNED_AWAY);
        assertEquals(Outcome.CONNECT_FAILED, Scripted.next(outcomes));
        assertNull(node.next().text());
        return out;
    }

    @Test
    void whatComesThenWaitsForTheConnectionThatThereIs() throws Exception {
        Peer.Message out = onlyOne();
        send();
        send();
        out.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
        for (int i = 0; i < 2; i++) {
            rested();
            Peer.Message waited = node.next();
            assertEquals(out.wire().number(), waited.wire().number());
            waited.wire().answer(200, "v");
            assertEquals(Outcome.OK, Scripted.next(outcomes));
        }
    }

    /**
     * It was taken before the other was turned away, so its answer says nothing of room for one
     * more.
     */
    @Test
    void theAnswerOfAnOlderConnectionEndsNoPause() throws Exception {
        Peer.Message out = onlyOne();
        out.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
        rested();
        send();
        send();
        for (int i = 0; i < 2; i++) {
            Peer.Message next = node.next();
            assertEquals(out.wire().number(), next.wire().number());
            next.wire().answer(200, "v");
            assertEquals(Outcome.OK, Scripted.next(outcomes));
            rested();
        }
    }

    /**
     * Whether it is wanted is asked in the moment in which the connection that it waited for has
     * come free.
     */
    @Test
    void whatNobodyWaitsForAnyMoreIsNotWritten() throws Exception {
        Peer.Message out = onlyOne();
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
                                        new Exchange.Done() {
                                            @Override
                                            public boolean isWanted() {
                                                return wanted.get();
                                            }

                                            @Override
                                            public void ended(
                                                    Exchange exchange,
                                                    Outcome outcome,
                                                    FullHttpResponse response) {
                                                outcomes.add(outcome);
                                            }
                                        }))
                .get();
        send();
        wanted.set(false);
        out.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
        rested();
        assertEquals(Outcome.NEVER_SENT, Scripted.next(outcomes));
        Peer.Message next = node.next();
        assertEquals("GET /api/k1 HTTP/1.1", next.firstLine());
        next.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
    }

    /**
     * The node keeps its one exchange for ever: what waits is given up long before its own 60 s are
     * over.
     */
    @Test
    void itWaitsNoLongerThanConnectingMayTake() throws Exception {
        onlyOne();
        send();
        assertEquals(Outcome.CONNECT_FAILED, Scripted.next(outcomes));
    }

    @Test
    void anotherIsTriedAfterAPause() throws Exception {
        Peer.Message out = onlyOne();
        send();
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        Peer.Message tried = node.next();
        assertTrue(tried.wire().number() > out.wire().number());
        tried.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
    }

    @Test
    void anUnderUseTurnedAwayIsTheNodesOwnWord() throws Exception {
        send();
        Peer.Message out = node.next();
        out.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(outcomes));
        rested();
        send();
        node.next().wire().answer(503, "", TURNED_AWAY);
        assertEquals(Outcome.REJECTED, Scripted.next(outcomes));
    }

    @Test
    void whatWaitsEndsWhenTheNodeIsGone() throws Exception {
        onlyOne();
        send();
        list(Availability.GONE);
        assertEquals(Outcome.CONNECT_FAILED, Scripted.next(outcomes));
    }

    @Test
    void aSpareConnectionClosesSoonAndTheLastOneStays() throws Exception {
        send();
        Peer.Message first = node.next();
        send();
        Peer.Message second = node.next();
        first.wire().answer(200, "v");
        second.wire().answer(200, "v");
        Scripted.next(outcomes);
        Scripted.next(outcomes);
        rested();
        nanos.addAndGet(TimeUnit.SECONDS.toNanos(1));
        assertNull(node.next().text(), "the spare one is closed by the proxy");
        assertEquals(1, loop.submit(() -> pool.connections("c0")).get());
    }
}
