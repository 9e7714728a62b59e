package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The discovery watch: each line is applied as it arrives, and after a failure the watch resumes
 * from the last version applied.
 */
class DiscoveryTest {

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private ProxyFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private static void sendLine(TestServer.Connection watch, String text) throws IOException {
        watch.write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    private TestServer.Connection awaitWatch(long from) throws Exception {
        TestServer.Message request = fixture.discovery.next();
        while (request.text() == null) {
            request = fixture.discovery.next();
        }
        assertEquals(
                "GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", request.firstLine());
        return request.connection();
    }

    @Test
    void appliesLinesAtOnceAndRequestsMalformedOnesAgain() throws Exception {
        fixture.start("automatic", "60000", "");
        assertEquals(
                EndpointListKind.STORED_SNAPSHOT,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        sendLine(watch, "");
        sendLine(watch, "{\"seq\":8,\"whole\":false,\"hosts\":[{\"host\":\"c9\"}]}");
        sendLine(watch, "not json");
        // The content of the malformed lines is requested again; the current watch stays open.
        TestServer.Connection resumed = awaitWatch(7);
        sendLine(
                watch,
                ProxyFixture.endpointList(
                        9, false, ProxyFixture.host("c1", "127.0.0.1:9", "draining", 5)));
        ScriptedRouter.ReceivedList received =
                ScriptedRouter.awaitNext(fixture.router.receivedLists);
        assertEquals(EndpointListKind.DELTA, received.kind());
        assertEquals(9, received.version());
        assertEquals(Availability.DRAINING, received.entries().get(0).availability());
        assertEquals(5, received.entries().get(0).startedAtMs());
        resumed.write(RESPONSE_HEAD);
        sendLine(
                resumed,
                ProxyFixture.endpointList(
                        9, false, ProxyFixture.host("c1", "127.0.0.1:9", "draining", 5)));
        assertEquals(9, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertNull(
                fixture.discovery.next().text(),
                "the old watch is closed once the new one delivers");
        resumed.close();
        TestServer.Connection reopened = awaitWatch(9);
        reopened.write(RESPONSE_HEAD);
        sendLine(
                reopened,
                ProxyFixture.endpointList(
                        12, true, ProxyFixture.host("c1", "127.0.0.1:9", "up", 0)));
        assertEquals(
                EndpointListKind.SNAPSHOT,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
    }

    @Test
    void reopensSilentWatch() throws Exception {
        fixture.start("automatic", "60000", "");
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        sendLine(watch, ProxyFixture.endpointList(8, false));
        awaitWatch(8);
    }

    @Test
    void restartedHostGetsNewConnections() throws Exception {
        fixture.start("automatic", "60000", "");
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message first = fixture.node.next();
            first.connection().respond(200, "v");
            client.read();
            sendLine(
                    watch,
                    ProxyFixture.endpointList(
                            8, false, ProxyFixture.host("c0", fixture.node.dial(), "up", 99)));
            assertNull(
                    fixture.node.next().text(), "an idle connection to the old process is closed");
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message second = fixture.node.next();
            assertEquals(first.connection().number() + 1, second.connection().number());
            sendLine(
                    watch,
                    ProxyFixture.endpointList(
                            9, false, ProxyFixture.host("c0", fixture.node.dial(), "up", 100)));
            ScriptedRouter.awaitNext(fixture.router.receivedLists);
            ScriptedRouter.awaitNext(fixture.router.receivedLists);
            ScriptedRouter.awaitNext(fixture.router.receivedLists);
            second.connection().respond(200, "v");
            client.read();
            assertNull(
                    fixture.node.next().text(),
                    "a connection that was in use when the update came is closed after its use");
        }
    }

    @Test
    void isReadyAfterFirstEndpointList() throws Exception {
        fixture.start("automatic", "60000", "");
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        sendLine(watch, ProxyFixture.endpointList(9, false));
        ScriptedRouter.awaitNext(fixture.router.receivedLists);
        ScriptedRouter.awaitNext(fixture.router.receivedLists);
        try (TestServer.Connection client = fixture.client()) {
            client.write("GET /up HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, ProxyFixture.status(client.read()));
        }
    }

    /**
     * A process has to follow the state that discovery has when the process starts, so it may
     * accept no client before it has the first endpoint list.
     */
    @Test
    void opensClientAddressOnlyAfterFirstEndpointList() throws Exception {
        CompletableFuture<Void> starting =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                fixture.service =
                                        Service.start(
                                                fixture.config("automatic", "60000", ""),
                                                fixture.router,
                                                TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S),
                                                ProxyFixture.LENIENT_TIMES,
                                                new CompletableFuture<>());
                            } catch (Exception e) {
                                throw new IllegalStateException(e);
                            }
                        });
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        assertThrows(
                TimeoutException.class,
                () -> starting.get(300, TimeUnit.MILLISECONDS),
                "the clients' address was opened before the first endpoint list");
        sendLine(
                watch,
                ProxyFixture.endpointList(
                        9, false, ProxyFixture.host("c0", fixture.node.dial(), "draining", 0)));
        starting.get(TestServer.TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(
                2,
                fixture.router.receivedLists.size(),
                "the decision module should know of the drain before the first client connects");
    }

    @Test
    void opensClientAddressAfterTimeoutWithoutDiscovery() throws Exception {
        fixture.service =
                Service.start(
                        fixture.config("automatic", "60000", ""),
                        fixture.router,
                        50,
                        ProxyFixture.LENIENT_TIMES,
                        new CompletableFuture<>());
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            fixture.node.next().connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
        }
    }

    @Test
    void inSubscribeModeFailedWatchIsReportedAndRouterDecides() throws Exception {
        fixture.router.subscribesAtStart = true;
        fixture.start("subscribe", "60000", "");
        assertEquals(
                EndpointListKind.STORED_SNAPSHOT,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
        TestServer.Connection watch = awaitWatch(7);
        watch.write("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
        assertEquals(
                EndpointListKind.FAILED,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
        assertNull(fixture.discovery.next().text());
        assertTrue(fixture.discovery.receivedNothing());
    }

    @Test
    void closesIdleConnectionBeforeTheNodeDoes() throws Exception {
        fixture.start("automatic", "200", "");
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            fixture.node.next().connection().respond(200, "v");
            client.read();
            assertNull(fixture.node.next().text());
        }
    }
}
