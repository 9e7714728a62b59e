package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.Decide;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Several clients wait for one fetch of a key, and the one whose request fetches it leaves: the
 * others carry on as their own.
 */
class JoinedFetchTest {

    private static final int CLIENTS = 3;

    private final List<Peer.Wire> clients = new ArrayList<>();
    private Site site;
    private Peer origin;

    @BeforeEach
    void start() throws Exception {
        site = new Site();
        origin = new Peer();
        site.hosts =
                new String[] {
                    Site.host("c0", site.node.dial(), "up", 0),
                    Site.host("db", origin.dial(), "up", 0).replace("\"std\"", "\"origin\"")
                };
        site.settings =
                Site.SETTINGS.replace(
                        "\"services\"",
                        "\"kinds\": [\"std\", \"origin\"], \"domain\": {\"mode\": \"aside\", \"origin_kind\": 1}, \"services\"");
        Config config = site.config("automatic", "60000", "");
        site.service =
                Service.start(config, new Decide(config.settings(), 1), site.times, site.clock);
    }

    @AfterEach
    void stop() throws Exception {
        for (Peer.Wire client : clients) {
            client.close();
        }
        origin.close();
        site.close();
    }

    private static Peer.Message nextRequest(Peer peer) throws Exception {
        Peer.Message next = peer.next();
        while (next.text() == null) {
            next = peer.next();
        }
        return next;
    }

    @Test
    void theOthersAreServedThoughTheFirstLeaves() throws Exception {
        List<Peer.Message> lookUps = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(site.client());
            clients.get(i).write(site.get(Site.LONG_S));
            lookUps.add(nextRequest(site.node));
        }
        lookUps.get(0).wire().answer(404, "");
        Peer.Message first = nextRequest(origin);
        assertEquals("id0", first.header("X-Call-Id"));
        for (Peer.Message lookUp : lookUps.subList(1, CLIENTS)) {
            lookUp.wire().answer(404, "");
        }
        // A request of another key behind those answers says that the proxy has read them.
        try (Peer.Wire other = site.client()) {
            other.write(site.get(Site.LONG_S).replace("k1", "k2"));
            nextRequest(site.node).wire().answer(200, "other");
            assertEquals(200, Site.status(other.read()));
        }
        clients.get(0).close();
        Set<String> asked = ConcurrentHashMap.newKeySet();
        answerAll(site.node, asked);
        answerAll(origin, asked);
        for (Peer.Wire client : clients.subList(1, CLIENTS)) {
            assertEquals(200, Site.status(client.read()));
        }
        assertEquals(Set.of("id1", "id2"), asked);
    }

    /** Answers whatever comes from now on with a value, and notes for which requests. */
    private static void answerAll(Peer peer, Set<String> asked) {
        Thread answering =
                new Thread(
                        () -> {
                            try {
                                for (Peer.Message next = nextRequest(peer);
                                        ;
                                        next = nextRequest(peer)) {
                                    asked.add(next.header("X-Call-Id"));
                                    next.wire().answer(200, "v");
                                }
                            } catch (Exception | AssertionError e) {
                                // The test is over.
                                return;
                            }
                        });
        answering.setDaemon(true);
        answering.start();
    }
}
