package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that send nothing, never complete a request or smuggle one request in another get an
 * error or a close, and don't affect other clients.
 */
class HostileClientTest extends WithProxyFixture {

    private static final String PUT_HEADERS =
            "PUT /api/k HTTP/1.1\r\nHost: s\r\nX-Call-Id: a1\r\nX-Call-Class: pay\r\n"
                    + "X-Budget: 60\r\nIdempotency-Key: k\r\n";

    private void assertServed(TestServer.Connection servedClient) throws Exception {
        servedClient.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(servedClient.read()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /api/hidden HTTP/1.1\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\nContent-Length: 2\r\n\r\nab",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
                "Content-Length: -2\r\n\r\nab",
                "Content-Length: +2\r\n\r\nab",
                "Content-Length: 2, 2\r\n\r\nab",
                "Content-Length: 99999999999999999999\r\n\r\nab",
                "Content-Length: 0x2\r\n\r\nab"
            })
    void ambiguousLengthIsRejectedAndConnectionCloses(String rest) throws Exception {
        client.write(PUT_HEADERS + rest);
        assertEquals(400, ProxyFixture.status(client.read()));
        assertNull(client.read());
        assertTrue(fixture.node.receivedNothing());
        assertTrue(fixture.router.requests.isEmpty());
    }

    @Test
    void unknownClassIsRejected() throws Exception {
        client.write(
                fixture.get(ProxyFixture.LONG_BUDGET_S)
                        .replace("X-Call-Class: read", "X-Call-Class: write-off"));
        assertEquals(400, ProxyFixture.status(client.read()));
        assertTrue(fixture.node.receivedNothing());
    }

    @Test
    void silentConnectionIsClosed() throws Exception {
        assertNull(client.read());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/k HT",
                "GET /api/k HTTP/1.1\r\nA: b\r\n",
                PUT_HEADERS + "Content-Length: 9\r\n\r\nhalf"
            })
    void incompleteRequestTimesOut(String part) throws Exception {
        client.write(part);
        assertEquals(408, ProxyFixture.status(client.read()));
        assertNull(client.read());
    }

    /** The first bytes of the second request arrive together with the request before it. */
    @Test
    void incompletePipelinedRequestTimesOut() throws Exception {
        client.write(
                fixture.get(ProxyFixture.LONG_BUDGET_S) + "GET /api/k HTTP/1.1\r\nHost: s\r\n");
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        assertEquals(408, ProxyFixture.status(client.read()));
        assertNull(client.read());
    }

    /**
     * Much of the body arrives quickly: measured by the minimum rate alone the client would have
     * several seconds more.
     */
    @Test
    void pauseInLongBodyTimesOut() throws Exception {
        client.write(PUT_HEADERS + "Content-Length: 900000\r\n\r\n");
        long began = System.nanoTime();
        client.write("v".repeat(400_000));
        assertEquals(408, ProxyFixture.status(client.read()));
        assertTrue(
                System.nanoTime() - began < TimeUnit.SECONDS.toNanos(6),
                "a stopped client must be answered within 3 s");
    }

    /**
     * Every request gets a final response: whether it is sent on to a node that never answers or
     * the router does not decide in time.
     */
    @ParameterizedTest
    @CsvSource({"0, true", "0.001, true", "0.02, true", "0, false", "0.001, false", "0.02, false"})
    void requestWithAlmostNoBudgetIsAnswered(double budgetS, boolean isSentOn) throws Exception {
        if (!isSentOn) {
            fixture.router.onRequest = (request, out) -> {};
        }
        client.write(fixture.get(budgetS));
        int status = ProxyFixture.status(client.read());
        assertTrue(status == 502 || status == 503, "answered " + status);
    }

    @Test
    void idleServedConnectionIsClosed() throws Exception {
        assertServed(client);
        assertNull(client.read());
    }

    @Test
    void tooLongBodyIsRejectedWhileItArrives() throws Exception {
        client.write(PUT_HEADERS + "Content-Length: 60000000\r\n\r\n" + "v".repeat(500_000));
        assertEquals(413, ProxyFixture.status(client.read()));
        assertNull(client.read(), "closed without a reset, so the status is readable");
    }

    @Test
    void malformedPipelinedInputDoesNotAffectOpenRequest() throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S) + "\u0001 nonsense\r\n\r\n");
        fixture.node.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        assertEquals(400, ProxyFixture.status(client.read()));
        assertNull(client.read());
    }

    @Test
    void silentConnectionsAreEvictedBeforeServedOnes() throws Exception {
        fixture.close();
        fixture = new ProxyFixture();
        fixture.socketLimit = Service.RESERVED_DESCRIPTORS + 2 * 8;
        fixture.start("automatic", "60000", "");
        Deque<TestServer.Connection> silentClients = new ArrayDeque<>();
        try (TestServer.Connection servedClient = fixture.client()) {
            assertServed(servedClient);
            for (int i = 0; i < 20; i++) {
                silentClients.add(fixture.client());
            }
            // Connections are accepted in order: once the last one is served all before it were
            // accepted, and the first of them had to be closed.
            try (TestServer.Connection last = fixture.client()) {
                last.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                ProxyFixture.status(last.read());
            }
            assertNull(silentClients.getFirst().read());
            assertServed(servedClient);
        } finally {
            for (TestServer.Connection silentClient : silentClients) {
                silentClient.close();
            }
        }
    }
}
