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

/** With a limit of three client connections, more than three clients are all served eventually. */
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
        assertNull(clients.getFirst().read(), "the longest idle client is closed");
    }

    /**
     * The client that has waited longest is closed at once, whether or not the received part of its
     * request has been read.
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
     * Client connections never use the descriptors of discovery or the nodes, and a client with a
     * request is served while the other connections are idle.
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
            // An idle node connection was closed to make room for the new one.
            waited = site.node.next();
        }
        waited.connection().respond(200, "next");
        assertEquals(200, ProxyFixture.status(next.read()));
    }
}
