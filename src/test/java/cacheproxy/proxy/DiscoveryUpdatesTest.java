package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.EndpointListKind;
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
 * The real decision module over sockets: endpoint list updates take effect on the next request,
 * however they are transmitted.
 */
class DiscoveryUpdatesTest {

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int REQUESTS = 20;

    @TempDir private Path folder;
    private final BlockingQueue<EndpointListKind> listKinds = new LinkedBlockingQueue<>();
    private ProxyFixture fixture;
    private TestServer other;

    @BeforeEach
    void start() throws Exception {
        fixture = new ProxyFixture();
        other = new TestServer();
        Config config = fixture.config("automatic", "60000", "");
        DecisionModule decide = new DecisionModule(config.settings(), 1);
        Router router =
                (Router)
                        Proxy.newProxyInstance(
                                Router.class.getClassLoader(),
                                new Class<?>[] {Router.class},
                                (self, method, arguments) -> {
                                    Object result = method.invoke(decide, arguments);
                                    if (method.getName().equals("endpointListReceived")) {
                                        listKinds.add((EndpointListKind) arguments[1]);
                                    }
                                    return result;
                                });
        fixture.service =
                Service.start(
                        config,
                        router,
                        0,
                        new Discovery.Times(1000, 50, 50),
                        new CompletableFuture<>());
        assertEquals(EndpointListKind.STORED_SNAPSHOT, ScriptedRouter.awaitNext(listKinds));
    }

    @AfterEach
    void stop() throws Exception {
        other.close();
        fixture.close();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static TestServer.Connection awaitWatch(TestServer discovery, long from)
            throws Exception {
        TestServer.Message request = discovery.next();
        while (request.text() == null) {
            request = discovery.next();
        }
        assertEquals(
                "GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", request.firstLine());
        return request.connection();
    }

    private String hostC1() {
        return ProxyFixture.host("c1", other.dial(), "up", 0);
    }

    private void assertServedBy(TestServer.Connection client, TestServer server) throws Exception {
        client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
        server.next().connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
    }

    private void assertServedOnlyByOther(TestServer.Connection client) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            assertServedBy(client, other);
        }
        for (TestServer.Message last = fixture.node.receivedNothing() ? null : fixture.node.next();
                last != null;
                last = fixture.node.receivedNothing() ? null : fixture.node.next()) {
            assertEquals(null, last.text(), "c0 got a request after discovery reported its change");
        }
    }

    /**
     * After the reload the old discovery address is no longer used; the new one first sends a
     * snapshot, then the drain of a node.
     */
    @Test
    void drainAfterReloadIsFollowed() throws Exception {
        awaitWatch(fixture.discovery, 7).write(RESPONSE_HEAD + chunk("\n"));
        try (TestServer.Connection client = fixture.client();
                TestServer next = new TestServer()) {
            assertServedBy(client, fixture.node);
            Path config =
                    Files.writeString(
                            folder.resolve("config.json"),
                            "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                    + next.dial()
                                    + "\",\"settings\":"
                                    + ProxyFixture.SETTINGS.formatted("automatic", "60000")
                                    + "}");
            fixture.service.reload(Map.of("BALANCER_CONFIG", config.toString()));
            TestServer.Connection watch = awaitWatch(next, 0);
            watch.write(
                    RESPONSE_HEAD
                            + chunk(
                                    ProxyFixture.endpointList(
                                                    1,
                                                    true,
                                                    ProxyFixture.host(
                                                            "c0", fixture.node.dial(), "up", 0),
                                                    hostC1())
                                            + "\n"));
            assertEquals(EndpointListKind.SNAPSHOT, ScriptedRouter.awaitNext(listKinds));
            watch.write(
                    chunk(
                            ProxyFixture.endpointList(
                                            2,
                                            false,
                                            ProxyFixture.host(
                                                    "c0", fixture.node.dial(), "draining", 0))
                                    + "\n"));
            assertEquals(EndpointListKind.DELTA, ScriptedRouter.awaitNext(listKinds));
            assertServedOnlyByOther(client);
        }
    }

    /**
     * The first watch worked for long and then falls silent; the next one sends only a snapshot, in
     * which a node is missing.
     */
    @Test
    void silentWatchIsReplacedByOneWithASnapshot() throws Exception {
        TestServer.Connection silentWatch = awaitWatch(fixture.discovery, 7);
        silentWatch.write(RESPONSE_HEAD);
        for (int i = 0; i < 100; i++) {
            silentWatch.write(chunk("\n"));
        }
        try (TestServer.Connection client = fixture.client()) {
            assertServedBy(client, fixture.node);
            TestServer.Connection nextWatch = awaitWatch(fixture.discovery, 7);
            String snapshot = ProxyFixture.endpointList(9, true, hostC1()) + "\n";
            nextWatch.write(RESPONSE_HEAD);
            for (int index = 0; index < snapshot.length(); index++) {
                nextWatch.write(chunk(snapshot.substring(index, index + 1)));
            }
            assertEquals(EndpointListKind.SNAPSHOT, ScriptedRouter.awaitNext(listKinds));
            assertServedOnlyByOther(client);
        }
    }

    /** Two pipelined requests and their responses are sent byte by byte. */
    @Test
    void requestsAndResponsesMayArriveByteByByte() throws Exception {
        awaitWatch(fixture.discovery, 7).write(RESPONSE_HEAD + chunk("\n"));
        try (TestServer.Connection client = fixture.client()) {
            client.socket().setTcpNoDelay(true);
            String get = fixture.get(ProxyFixture.LONG_BUDGET_S);
            writeByteByByte(client, get + ProxyFixture.put("Idempotency-Key: w\r\n", "value"));
            TestServer.Message read = fixture.node.next();
            assertEquals(get.lines().findFirst().orElseThrow(), read.firstLine());
            writeByteByByte(read.connection(), "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nfirst");
            assertTrue(client.read().endsWith("\r\n\r\nfirst"));
            TestServer.Message write = fixture.node.next();
            assertEquals("value", write.body());
            writeByteByByte(
                    write.connection(),
                    "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecond\r\n0\r\n\r\n");
            assertTrue(client.read().contains("second"));
        }
    }

    private static void writeByteByByte(TestServer.Connection connection, String text)
            throws Exception {
        connection.socket().setTcpNoDelay(true);
        for (int index = 0; index < text.length(); index++) {
            connection.write(text.substring(index, index + 1));
        }
    }
}
