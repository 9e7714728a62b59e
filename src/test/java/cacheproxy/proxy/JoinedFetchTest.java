package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.DecisionModule;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Several clients wait for one fetch of a key, and the client whose request started the fetch
 * disconnects: the requests of the others continue on their own.
 */
class JoinedFetchTest {

    private static final int CLIENT_COUNT = 3;

    private final List<TestServer.Connection> clients = new ArrayList<>();
    private ProxyFixture fixture;
    private TestServer origin;

    @BeforeEach
    void start() throws Exception {
        fixture = new ProxyFixture();
        origin = new TestServer();
        fixture.hosts =
                new String[] {
                    ProxyFixture.host("c0", fixture.node.dial(), "up", 0),
                    ProxyFixture.host("db", origin.dial(), "up", 0).replace("\"std\"", "\"origin\"")
                };
        fixture.settings =
                ProxyFixture.SETTINGS.replace(
                        "\"services\"",
                        "\"kinds\": [\"std\", \"origin\"], \"domain\": {\"mode\": \"aside\", \"origin_kind\": 1}, \"services\"");
        Config config = fixture.config("automatic", "60000", "");
        fixture.service =
                Service.start(
                        config,
                        new DecisionModule(config.settings(), 1),
                        fixture.discoveryTimes,
                        fixture.clock);
    }

    @AfterEach
    void stop() throws Exception {
        for (TestServer.Connection client : clients) {
            client.close();
        }
        origin.close();
        fixture.close();
    }

    private static TestServer.Message nextRequest(TestServer server) throws Exception {
        TestServer.Message next = server.next();
        while (next.text() == null) {
            next = server.next();
        }
        return next;
    }

    @Test
    void othersAreServedWhenTheFirstClientDisconnects() throws Exception {
        List<TestServer.Message> lookUps = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(fixture.client());
            clients.get(i).write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            lookUps.add(nextRequest(fixture.node));
        }
        lookUps.get(0).connection().respond(404, "");
        TestServer.Message first = nextRequest(origin);
        assertEquals("id0", first.header("X-Call-Id"));
        for (TestServer.Message lookUp : lookUps.subList(1, CLIENT_COUNT)) {
            lookUp.connection().respond(404, "");
        }
        // The response to a request for another key, sent after the look-ups' responses, shows that
        // the proxy has read those.
        try (TestServer.Connection other = fixture.client()) {
            other.write(fixture.get(ProxyFixture.LONG_BUDGET_S).replace("k1", "k2"));
            nextRequest(fixture.node).connection().respond(200, "other");
            assertEquals(200, ProxyFixture.status(other.read()));
        }
        clients.get(0).close();
        Set<String> answeredIds = ConcurrentHashMap.newKeySet();
        respondToAll(fixture.node, answeredIds);
        respondToAll(origin, answeredIds);
        for (TestServer.Connection client : clients.subList(1, CLIENT_COUNT)) {
            assertEquals(200, ProxyFixture.status(client.read()));
        }
        assertEquals(Set.of("id1", "id2"), answeredIds);
    }

    /** Answers every request from now on with a value, and records the ids of the requests. */
    private static void respondToAll(TestServer server, Set<String> answeredIds) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                for (TestServer.Message next = nextRequest(server);
                                        ;
                                        next = nextRequest(server)) {
                                    answeredIds.add(next.header("X-Call-Id"));
                                    next.connection().respond(200, "v");
                                }
                            } catch (Exception | AssertionError e) {
                                // The test has ended.
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }
}
