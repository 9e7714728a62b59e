package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.ListKind;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The project's own decisions over sockets: what discovery has told moves what comes next,
 * whichever way it was told.
 */
class ToldTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int REQUESTS = 20;

    @TempDir private Path folder;
    private final BlockingQueue<ListKind> lists = new LinkedBlockingQueue<>();
    private Site site;
    private Peer other;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        other = new Peer();
        Config config = site.config("automatic", "60000", "");
        Decide decide = new Decide(config.settings(), 1);
        Router router =
                (Router)
                        Proxy.newProxyInstance(
                                Router.class.getClassLoader(),
                                new Class<?>[] {Router.class},
                                (self, method, arguments) -> {
                                    Object result = method.invoke(decide, arguments);
                                    if (method.getName().equals("nodes")) {
                                        lists.add((ListKind) arguments[1]);
                                    }
                                    return result;
                                });
        site.service =
                Service.start(
                        config,
                        router,
                        0,
                        new Discovery.Times(1000, 50, 50),
                        new CompletableFuture<>());
        assertEquals(ListKind.REMEMBERED, Scripted.next(lists));
    }

    @AfterEach
    void stop() throws Exception {
        other.close();
        site.close();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static Peer.Wire watch(Peer discovery, long from) throws Exception {
        Peer.Message asked = discovery.next();
        while (asked.text() == null) {
            asked = discovery.next();
        }
        assertEquals("GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", asked.firstLine());
        return asked.wire();
    }

    private String c1() {
        return Site.host("c1", other.dial(), "up", 0);
    }

    private void served(Peer.Wire client, Peer by) throws Exception {
        client.write(site.get(Site.LONG_S));
        by.next().wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
    }

    private void servedByTheOtherAlone(Peer.Wire client) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            served(client, other);
        }
        for (Peer.Message last = site.node.heardNothing() ? null : site.node.next();
                last != null;
                last = site.node.heardNothing() ? null : site.node.next()) {
            assertEquals(null, last.text(), "c0 got a request after its change was told");
        }
    }

    /** The old address is left at once, and the new one's first word is the drain. */
    @Test
    void aReloadFollowedByADrainLeavesTheNodeThatDrains() throws Exception {
        watch(site.discovery, 7).write(HEAD + chunk("\n"));
        try (Peer.Wire client = site.client();
                Peer next = new Peer()) {
            served(client, site.node);
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                    + next.dial()
                                    + "\",\"settings\":"
                                    + Site.SETTINGS.formatted("automatic", "60000")
                                    + "}");
            site.service.reload(Map.of("BALANCER_CONFIG", config.toString()));
            Peer.Wire watch = watch(next, 0);
            watch.write(
                    HEAD
                            + chunk(
                                    Site.list(
                                                    1,
                                                    true,
                                                    Site.host("c0", site.node.dial(), "up", 0),
                                                    c1())
                                            + "\n"));
            assertEquals(ListKind.FULL, Scripted.next(lists));
            watch.write(
                    chunk(
                            Site.list(2, false, Site.host("c0", site.node.dial(), "draining", 0))
                                    + "\n"));
            assertEquals(ListKind.CHANGES, Scripted.next(lists));
            servedByTheOtherAlone(client);
        }
    }

    /**
     * It has worked for long and then says nothing; the next one has only the whole list, in which
     * a node is missing.
     */
    @Test
    void aWatchThatFallsSilentLateIsFollowedByOneThatTellsAllOfTheList() throws Exception {
        Peer.Wire late = watch(site.discovery, 7);
        late.write(HEAD);
        for (int i = 0; i < 100; i++) {
            late.write(chunk("\n"));
        }
        try (Peer.Wire client = site.client()) {
            served(client, site.node);
            Peer.Wire next = watch(site.discovery, 7);
            String whole = Site.list(9, true, c1()) + "\n";
            next.write(HEAD);
            for (int at = 0; at < whole.length(); at++) {
                next.write(chunk(whole.substring(at, at + 1)));
            }
            assertEquals(ListKind.FULL, Scripted.next(lists));
            servedByTheOtherAlone(client);
        }
    }

    /** Two requests behind one another, and the answers, go out byte by byte. */
    @Test
    void requestsAndAnswersMayComeInPiecesOfAByte() throws Exception {
        watch(site.discovery, 7).write(HEAD + chunk("\n"));
        try (Peer.Wire client = site.client()) {
            client.socket().setTcpNoDelay(true);
            String get = site.get(Site.LONG_S);
            inPieces(client, get + Site.put("Idempotency-Key: w\r\n", "value"));
            Peer.Message read = site.node.next();
            assertEquals(get.lines().findFirst().orElseThrow(), read.firstLine());
            inPieces(read.wire(), "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nfirst");
            assertTrue(client.read().endsWith("\r\n\r\nfirst"));
            Peer.Message write = site.node.next();
            assertEquals("value", write.body());
            inPieces(
                    write.wire(),
                    "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n");
            assertTrue(client.read().contains("second"));
        }
    }

    private static void inPieces(Peer.Wire wire, String text) throws Exception {
        wire.socket().setTcpNoDelay(true);
        for (int at = 0; at < text.length(); at++) {
            wire.write(text.substring(at, at + 1));
        }
    }
}
