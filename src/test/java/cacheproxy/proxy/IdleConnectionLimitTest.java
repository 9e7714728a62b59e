package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/**
 * Clients that send one request and keep their connection open must leave connections for others:
 * once the limit on idle connections is reached, each response closes its connection.
 */
class IdleConnectionLimitTest {

    /** Leaves 32 connections for clients, of which 8 may be idle. */
    private static final int SOCKETS = Service.RESERVED_DESCRIPTORS + 64;

    private static final int MAX_IDLE = 8;

    @Test
    void responsesCloseTheirConnectionOnceTheIdleLimitIsReached() throws Exception {
        List<TestServer.Connection> clients = new ArrayList<>();
        try (ProxyFixture fixture = new ProxyFixture()) {
            fixture.socketLimit = SOCKETS;
            fixture.router.onRequest = (request, out) -> out.reject(request.id(), 0);
            fixture.start("automatic", "60000", "");
            int idle = 0;
            for (int i = 0; i < 2 * MAX_IDLE; i++) {
                TestServer.Connection client = fixture.client();
                clients.add(client);
                client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
                boolean last = client.read().toLowerCase(Locale.ROOT).contains("connection: close");
                idle += last ? 0 : 1;
                assertEquals(i >= MAX_IDLE, last, "client " + i);
            }
            assertEquals(MAX_IDLE, idle);
            // When a client disconnects, another connection may stay idle. The proxy notices once
            // it has read the close.
            clients.get(0).close();
            boolean last = true;
            while (last) {
                TestServer.Connection client = fixture.client();
                clients.add(client);
                client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
                last = client.read().toLowerCase(Locale.ROOT).contains("connection: close");
            }
        } finally {
            for (TestServer.Connection client : clients) {
                client.close();
            }
        }
    }
}
