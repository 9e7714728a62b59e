package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** With room for three clients, more than three are all served in the end. */
class ClientConnectionLimitTest {

    private static final int MAX_CLIENTS = 3;
    private static final String UP = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";

    private final Deque<TestServer.Connection> clients = new ArrayDeque<>();
    private ProxyFixture site;

    @BeforeEach
    void start() throws Exception {
        site = new ProxyFixture();
        site.socketLimit = Service.RESERVED_DESCRIPTORS + 2 * MAX_CLIENTS;
        site.start("automatic", "60000", "");
    }

    @AfterEach
    void stop() throws Exception {
        for (TestServer.Connection client : clients) {
            client.close();
        }
        site.close();
    }

    private TestServer.Connection connect() throws Exception {
        clients.add(site.client());
        return clients.getLast();
    }

    @Test
    void closesIdleClientsForNewOnes() throws Exception {
        for (int i = 0; i < 3 * MAX_CLIENTS; i++) {
            TestServer.Connection client = connect();
            client.write(UP);
            ProxyFixture.status(client.read());
        }
        assertNull(clients.getFirst().read(), "the one that waited longest was let go");
    }

    /**
     * The one that has waited longest has to go at once, and what came of its request may be read
     * or not.
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET /api/k HTTP/1.1\r\nHost", "GET /up HTTP/1.1\r\nHost: s\r\nX: "})
    void rejectsIncompleteRequestToFreeConnection(String part) throws Exception {
        TestServer.Connection slow = connect();
        slow.write(part);
        for (int i = 0; i < MAX_CLIENTS; i++) {
            connect();
        }
        assertEquals(503, ProxyFixture.status(slow.read()));
        assertNull(slow.read());
    }

    /**
     * Nothing of what clients may hold is discovery's or the nodes', and who asks finds a place
     * among those that do not.
     */
    @Test
    void reconnectsToDiscoveryAtClientConnectionLimit() throws Exception {
        TestServer.Connection watch = site.discovery.next().connection();
        for (int i = 0; i < 3 * MAX_CLIENTS; i++) {
            connect();
        }
        watch.close();
        TestServer.Message again = site.discovery.next();
        while (again.text() == null) {
            again = site.discovery.next();
        }
        assertTrue(again.firstLine().startsWith("GET /discovery/hosts?watch=1"));
        TestServer.Connection asking = connect();
        asking.write(site.get(ProxyFixture.LONG_BUDGET_S));
        site.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(asking.read()));
    }

    @Test
    void acceptsNextClientWhenBusyOneIsAnswered() throws Exception {
        Deque<TestServer.Connection> nodes = new ArrayDeque<>();
        for (int i = 0; i < MAX_CLIENTS; i++) {
            connect().write(site.get(ProxyFixture.LONG_BUDGET_S));
            nodes.add(site.node.next().connection());
        }
        TestServer.Connection next = connect();
        next.write(site.get(ProxyFixture.LONG_BUDGET_S));
        nodes.getFirst().respond(200, "first");
        assertEquals(200, ProxyFixture.status(clients.getFirst().read()));
        TestServer.Message waited = site.node.next();
        while (waited.text() == null) {
            // A connection at rest made room for the one that is needed.
            waited = site.node.next();
        }
        waited.connection().respond(200, "next");
        assertEquals(200, ProxyFixture.status(next.read()));
    }
}
