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
 * A request whose connection comes up late: whatever has changed meanwhile holds for it too, and it
 * is not written any more.
 */
class UnwrittenTest {

    private static final long LATE_MS = 2500;

    private final LateNode late;
    private final Site site;
    private Peer.Wire client;
    private Peer.Wire watch;

    UnwrittenTest() throws Exception {
        late = new LateNode();
        site = new Site();
    }

    /** One cache node that takes connections late, and a router that never gives an attempt up. */
    @BeforeEach
    void start() throws Exception {
        site.hosts = new String[] {Site.host("c0", late.dial(), "up", 0)};
        site.start("automatic", "60000", "");
        watch = site.discovery.next().wire();
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        Scripted.next(site.router.lists);
        client = site.client();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        site.close();
        late.close();
    }

    private void list(String health) throws IOException {
        String list = Site.list(8, false, Site.host("c0", late.dial(), health, 0)) + "\n";
        watch.write(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    }

    /** The connection comes up, and either nothing ever comes on it or it ends. */
    private void nothingIsWritten() throws IOException {
        Peer.Wire wire = late.open(LATE_MS);
        assertTrue(wire == null || wire.read() == null, "it was sent on");
    }

    @Test
    void nothingIsSentOnForAClientThatHasLeft() throws Exception {
        client.write(site.get(Site.LONG_S));
        awaitRequest();
        client.close();
        assertEquals("id0", Scripted.next(site.router.gone));
        assertEquals(
                Outcome.NEVER_SENT,
                Scripted.next(site.router.ends).outcome(),
                "whatever the router does");
        nothingIsWritten();
    }

    @Test
    void nothingIsSentOnAfterTheFinalAnswer() throws Exception {
        client.write(site.get(Site.LONG_S));
        awaitRequest();
        site.router.onRequest =
                (request, out) -> {
                    out.refuse("id0", 0);
                    out.refuse(request.id(), 0);
                };
        try (Peer.Wire other = site.client()) {
            other.write(site.get(Site.LONG_S));
            assertEquals(503, Site.status(other.read()));
        }
        assertEquals(503, Site.status(client.read()));
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        nothingIsWritten();
    }

    @Test
    void nothingIsSentToANodeThatDrainsMeanwhileAndTheRouterKnowsItThen() throws Exception {
        CompletableFuture<Integer> known = new CompletableFuture<>();
        site.router.onEnd =
                (end, out) -> {
                    known.complete(site.router.lists.size());
                    out.fail(end.request());
                };
        client.write(site.get(Site.LONG_S));
        awaitRequest();
        list("draining");
        assertEquals(
                1,
                known.get(Peer.PATIENCE_S, TimeUnit.SECONDS),
                "the list was told before the end");
        assertEquals(Outcome.NEVER_SENT, Scripted.next(site.router.ends).outcome());
        assertEquals(502, Site.status(client.read()));
        nothingIsWritten();
    }

    @Test
    void nothingIsSentToANodeThatIsRemovedMeanwhile() throws Exception {
        client.write(site.get(Site.LONG_S));
        awaitRequest();
        list("removed");
        assertEquals(Outcome.CONNECT_FAILED, Scripted.next(site.router.ends).outcome());
        nothingIsWritten();
    }

    /**
     * The connection is up and the client's end has come when the loop goes on: the end is read
     * before anything is written.
     */
    @Test
    void aClientsEndThatComesWithTheConnectionIsSeenFirst() throws Exception {
        inOneTurn(wire -> client.close(), wire -> assertNull(wire.read(), "it was sent on"));
        assertEquals("id0", Scripted.next(site.router.gone));
    }

    /**
     * As at a process that is killed right after its accept, before the loop sees the connection:
     * nothing can have run.
     */
    @Test
    void aNodeThatResetsBeforeAnythingIsWrittenHasRunNothing() throws Exception {
        inOneTurn(
                wire -> {
                    wire.socket().setSoLinger(true, 0);
                    wire.close();
                },
                wire ->
                        assertEquals(
                                Outcome.CONNECT_FAILED, Scripted.next(site.router.ends).outcome()));
        assertEquals(502, Site.status(client.read()));
    }

    private interface OnWire {
        void run(Peer.Wire wire) throws Exception;
    }

    /**
     * Asks, and has the node's connection come up and {@code meanwhile} happen before the loop,
     * which is held, looks at either.
     */
    private void inOneTurn(OnWire meanwhile, OnWire afterwards) throws Exception {
        client.write(site.get(Site.LONG_S));
        awaitRequest();
        Held held = Held.atNextRequest(site);
        try (Peer.Wire other = site.client()) {
            other.write(site.get(Site.LONG_S));
            held.entered();
            Peer.Wire wire = late.open(LATE_MS);
            meanwhile.run(wire);
            held.release();
            afterwards.run(wire);
        }
    }

    private void awaitRequest() {
        long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
        while (site.router.requests.isEmpty() && System.nanoTime() < patience) {
            Thread.onSpinWait();
        }
    }
}
