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
 * Bytes that come in the very moment in which a client's connection ends. The loop is held inside
 * the router while they are written, so they lie unread when it goes on: a close would reset the
 * connection, which the client sees as an exception.
 */
class ClosingTest extends WithSite {

    private String held(Held held, Peer.Wire asking) throws Exception {
        site.router.onRequest =
                (request, out) -> {
                    if (request.id().equals("id0")) {
                        held.hold();
                    }
                    out.refuse(request.id(), 0);
                };
        String request = site.get(Site.LONG_S);
        asking.write(request);
        held.entered();
        return request;
    }

    /** Returns once a drain has begun: the answer on a new connection is its last from then on. */
    private void drainBegins() throws Exception {
        site.service.beginDrain();
        boolean last = false;
        while (!last) {
            try (Peer.Wire asking = site.client()) {
                asking.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                last = "close".equals(new Peer.Message(asking.read(), asking).header("Connection"));
            }
        }
    }

    /** Our half has its end, and no reset follows: what is sent meanwhile is read and dropped. */
    private static void assertEndedInOneHalf(Peer.Wire wire) throws Exception {
        assertNull(wire.read());
        for (int i = 0; i < 20; i++) {
            wire.write(get("more" + i));
            TimeUnit.MILLISECONDS.sleep(1);
        }
        wire.socket().shutdownOutput();
        assertEquals(-1, wire.socket().getInputStream().read(), "an end, and no reset");
    }

    @Test
    void theLastAnswerComesThoughMoreWasSentMeanwhile() throws Exception {
        drainBegins();
        Held held = new Held();
        held(held, client);
        client.write("GET /api/k2 HTTP/1.1\r\nHost: s\r\nX-Call-Id: late\r\nX-Call-Cl");
        held.release();
        String answer = client.read();
        assertEquals(503, Site.status(answer));
        assertEquals("close", new Peer.Message(answer, client).header("Connection"));
        assertEndedInOneHalf(client);
    }

    private static String get(String id) {
        return "GET /api/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: 60\r\n\r\n";
    }

    private void assertRefusedAsTheLast(Peer.Wire wire) throws Exception {
        String answer = wire.read();
        assertEquals(503, Site.status(answer));
        assertEquals("close", new Peer.Message(answer, wire).header("Connection"));
        assertEndedInOneHalf(wire);
    }

    /**
     * What had come before the end is answered, on a kept and on a first connection; what comes
     * behind it is not sent on.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestThatLiesUnreadAtTheEndOfARestingConnectionIsAnswered(boolean kept)
            throws Exception {
        try (Peer.Wire resting = site.client()) {
            site.router.onRequest = (request, out) -> out.refuse(request.id(), 0);
            if (kept) {
                resting.write(get("first"));
                assertEquals(503, Site.status(resting.read()));
            } else {
                isAccepted();
            }
            Held held = new Held();
            held(held, client);
            site.service.endDrain();
            resting.write(get("unread"));
            held.release();
            assertRefusedAsTheLast(resting);
            assertEquals(503, Site.status(client.read()));
        }
        assertEquals(1, site.router.requests.stream().filter(r -> r.id().equals("unread")).count());
        assertEquals(kept ? 3 : 2, site.router.requests.size());
        site.service.awaitEnd();
    }

    /** Connections are accepted in their order, so whoever came before this one's answer is. */
    private void isAccepted() throws Exception {
        try (Peer.Wire later = site.client()) {
            later.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            Site.status(later.read());
        }
    }

    /** It came after the last connection was accepted and before the listener closed. */
    @Test
    void aClientThatComesBetweenTheLastAcceptAndTheCloseIsServed() throws Exception {
        Held held = new Held();
        held(held, client);
        site.service.endDrain();
        try (Peer.Wire crossing = site.client();
                Peer.Wire slower = site.client()) {
            crossing.write(get("crossing"));
            held.release();
            assertRefusedAsTheLast(crossing);
            slower.write(get("slower"));
            assertRefusedAsTheLast(slower);
            assertEquals(503, Site.status(client.read()));
        }
        site.service.awaitEnd();
    }

    /** Its bytes were read together with the request before it. */
    @Test
    void aRequestOfWhichAPartCameBehindAnOpenOneIsServedAfterTheStop() throws Exception {
        String second = get("second");
        client.write(get("first") + second.substring(0, second.length() / 2));
        Peer.Wire node = site.node.next().wire();
        site.service.beginDrain();
        site.service.endDrain();
        node.answer(200, "first");
        assertEquals(200, Site.status(client.read()));
        client.write(second.substring(second.length() / 2));
        site.node.next().wire().answer(200, "second");
        String answer = client.read();
        assertEquals("second", new Peer.Message(answer, client).body());
        assertEquals("close", new Peer.Message(answer, client).header("Connection"));
        assertNull(client.read());
        site.service.awaitEnd();
    }

    /** It is no request for this proxy, and where it ends is known all the same. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /other", "POST /api/k", "GET /api/k"})
    void aRequestBehindOneThatIsDeclinedIsServed(String declined) throws Exception {
        client.write(declined + " HTTP/1.1\r\nHost: s\r\n\r\n" + get("behind"));
        assertTrue(Site.status(client.read()) / 100 == 4);
        site.node.next().wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    /**
     * Its handling broke off in an error that nothing expects: it has its answer at the latest when
     * its time is over.
     */
    @Test
    void aRequestWhoseHandlingBreaksOffIsAnswered() throws Exception {
        site.router.onRequest =
                (request, out) -> {
                    throw new LinkageError("forced");
                };
        client.write(get("broken").replace("X-Budget: 60", "X-Budget: 0.2"));
        assertEquals(503, Site.status(client.read()));
        assertNull(client.read());
    }

    @Test
    void whatIsSentAfterOurHalfIsClosedIsReadAndDropped() throws Exception {
        drainBegins();
        site.router.onRequest = (request, out) -> out.refuse(request.id(), 0);
        client.write(site.get(Site.LONG_S));
        assertEquals(503, Site.status(client.read()));
        assertEndedInOneHalf(client);
        assertEquals(1, site.router.requests.size());
    }

    @Test
    void aRequestThatHasBegunToComeAtTheStopIsServed() throws Exception {
        String request = site.get(Site.LONG_S);
        try (Peer.Wire other = site.client()) {
            client.write(request.substring(0, 30));
            // The other's answer says that the loop has read what came before it.
            other.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            Site.status(other.read());
            site.service.beginDrain();
            site.service.endDrain();
            assertNull(other.read(), "the idle one has its end");
            client.write(request.substring(30));
            site.node.next().wire().answer(200, "v");
            String answer = client.read();
            assertEquals(200, Site.status(answer));
            assertEquals("close", new Peer.Message(answer, client).header("Connection"));
            assertNull(client.read());
        }
        site.service.awaitEnd();
    }

    @Test
    void whatWaitsBehindAnOpenRequestAtTheStopIsAnsweredInItsTurn() throws Exception {
        client.write(site.get(Site.LONG_S) + site.get(Site.LONG_S));
        Peer.Wire node = site.node.next().wire();
        site.service.beginDrain();
        site.service.endDrain();
        node.answer(200, "first");
        String first = client.read();
        assertEquals("first", new Peer.Message(first, client).body());
        assertNull(new Peer.Message(first, client).header("Connection"), "another answer follows");
        site.node.next().wire().answer(200, "second");
        String second = client.read();
        assertEquals("second", new Peer.Message(second, client).body());
        assertEquals("close", new Peer.Message(second, client).header("Connection"));
        assertNull(client.read());
        site.service.awaitEnd();
    }

    /** After the last answers nothing is sent on any more: nobody would wait for it. */
    @Test
    @Timeout(Peer.PATIENCE_S)
    void atTheVeryEndEverythingThatWasReadIsAnsweredAndNothingMoreIsSentOn() throws Exception {
        client.write(site.get(Site.LONG_S) + site.get(Site.LONG_S));
        site.node.next();
        CompletableFuture<Void> drained = CompletableFuture.runAsync(site.service::drain);
        assertEquals(502, Site.status(client.read()), "it may have run");
        String last = client.read();
        assertEquals(503, Site.status(last), "it never ran");
        assertEquals("close", new Peer.Message(last, client).header("Connection"));
        assertNull(client.read());
        drained.get(Peer.PATIENCE_S, TimeUnit.SECONDS);
        assertEquals(1, site.router.requests.size());
    }

    @Test
    void aClientThatLeavesInTheMiddleOfAFloodIsSeenToLeave() throws Exception {
        StringBuilder flood = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            flood.append(site.get(Site.LONG_S));
        }
        client.write(flood.toString());
        Peer.Message out = site.node.next();
        client.close();
        assertEquals("id0", Scripted.next(site.router.gone));
        out.wire().answer(200, "v");
        assertEquals(Outcome.OK, Scripted.next(site.router.ends).outcome());
        assertEquals(1, site.router.requests.size(), "nothing of the rest was taken");
    }

    @Test
    void aFloodIsRefusedUpToAnEndAndOthersAreServed() throws Exception {
        StringBuilder flood = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            flood.append(site.get(Site.LONG_S));
        }
        client.write(flood.toString());
        Peer.Message out = site.node.next();
        try (Peer.Wire usual = site.client()) {
            usual.write(site.get(Site.LONG_S));
            site.node.next().wire().answer(200, "usual");
            assertEquals(200, Site.status(usual.read()));
        }
        out.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        int refused = 0;
        for (String answer = client.read(); answer != null; answer = client.read()) {
            assertEquals(503, Site.status(answer));
            refused++;
        }
        assertTrue(refused > 0 && refused < 1000, refused + " were read and refused");
        assertEquals(2, site.router.requests.size());
    }

    /**
     * A client without chunks can tell the end of an answer without a length only by the
     * connection's, so a broken one is reset.
     */
    @Test
    void anAnswerThatOnlyTheEndEndsIsResetWhereItBreaksOff() throws Exception {
        client.write(site.get(Site.LONG_S).replace("HTTP/1.1", "HTTP/1.0"));
        Peer.Wire node = site.node.next().wire();
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
        assertTrue(reset, "an end would say that this was all");
    }
}
