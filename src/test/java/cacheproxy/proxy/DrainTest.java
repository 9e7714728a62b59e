package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A planned restart loses no request. */
class DrainTest {

    private ProxyFixture site;

    @BeforeEach
    void start() throws Exception {
        site = ProxyFixture.started();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void answersAcceptedRequestsAndStillAcceptsConnections() throws Exception {
        try (TestServer.Connection waiting = site.client();
                TestServer.Connection idle = site.client();
                TestServer.Connection busy = site.client()) {
            waiting.write(site.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Connection node = site.node.next().connection();
            idle.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            idle.read();
            site.service.startShutdown();
            try (TestServer.Connection late = site.client()) {
                late.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
                String answer = late.read();
                assertEquals(503, ProxyFixture.status(answer), "not ready during shutdown");
                assertEquals("close", new TestServer.Message(answer, late).header("Connection"));
                assertNull(late.read());
            }
            busy.write(site.get(ProxyFixture.LONG_BUDGET_S));
            site.node.next().connection().respond(200, "v");
            assertEquals("close", new TestServer.Message(busy.read(), busy).header("Connection"));
            site.service.stopAccepting();
            assertNull(idle.read(), "an idle client is closed");
            node.respond(200, "v");
            String answer = waiting.read();
            assertEquals(200, ProxyFixture.status(answer));
            assertEquals("close", new TestServer.Message(answer, waiting).header("Connection"));
            site.service.awaitTermination();
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void servesKnownClientUntilItStopsAccepting() throws Exception {
        try (TestServer.Connection client = site.client()) {
            client.write(site.get(ProxyFixture.LONG_BUDGET_S));
            site.node.next().connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
            site.service.startShutdown();
            for (int i = 0; i < 2; i++) {
                client.write(site.get(ProxyFixture.LONG_BUDGET_S));
                site.node.next().connection().respond(200, "v");
                String answer = client.read();
                assertEquals(200, ProxyFixture.status(answer));
                assertNull(
                        new TestServer.Message(answer, client).header("Connection"),
                        "kept open, as another proxy may not be up yet");
            }
            site.service.stopAccepting();
            assertNull(client.read(), "an idle client is closed");
            site.service.awaitTermination();
        }
    }

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void answersPendingRequestsBeforeTermination() throws Exception {
        try (TestServer.Connection waiting = site.client()) {
            waiting.write(site.get(ProxyFixture.LONG_BUDGET_S));
            site.node.next();
            long before = System.nanoTime();
            site.service.shutDown();
            assertEquals(502, ProxyFixture.status(waiting.read()), "the request may have run");
            assertTrue(
                    System.nanoTime() - before
                            < TimeUnit.SECONDS.toNanos((long) ProxyFixture.LONG_BUDGET_S));
        }
    }
}
