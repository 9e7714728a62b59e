package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A long outage of discovery is logged once when it is detected and once when it ends. */
@Timeout(DiscoveryOutageTest.TIMEOUT_S)
class DiscoveryOutageTest {

    static final int TIMEOUT_S = 120;

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEARTBEAT_CHUNK = "1\r\n\n\r\n";
    private static final int ADDITIONAL_ATTEMPTS = 10;

    @TempDir private Path directory;
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private ProxyFixture fixture;

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        fixture = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    private List<String> logLines(String event) {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" " + event + " "))
                .toList();
    }

    /** How the scripted discovery responds to a watch request. */
    private interface WatchResponse {
        void sendTo(TestServer.Connection connection) throws IOException;
    }

    private static void reset(TestServer.Connection connection) throws IOException {
        connection.socket().setSoLinger(true, 0);
        connection.close();
    }

    private static void sendHeartbeat(TestServer.Connection connection) throws IOException {
        connection.write(RESPONSE_HEAD + HEARTBEAT_CHUNK);
    }

    /**
     * Responds to the next watch request if one has arrived, and returns whether it did. The proxy
     * may have abandoned the request meanwhile.
     */
    private boolean respondToNextWatch(TestServer discovery, WatchResponse response)
            throws InterruptedException {
        TestServer.Message request = discovery.receivedNothing() ? null : discovery.next();
        if (request == null || request.text() == null) {
            return false;
        }
        try {
            response.sendTo(request.connection());
        } catch (IOException e) {
            return false;
        }
        return true;
    }

    /**
     * Waits until more than {@code previousCount} lines of an event are logged, and responds to
     * watch requests meanwhile. Returns the first new line.
     */
    private String awaitLogLine(
            String event, int previousCount, TestServer discovery, WatchResponse response)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S);
        while (logLines(event).size() <= previousCount) {
            assertTrue(System.nanoTime() < deadlineNanos, event + " was never logged");
            if (!respondToNextWatch(discovery, response)) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        return logLines(event).get(previousCount);
    }

    private static long fieldValue(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    @Test
    void repeatedWatchFailuresAreLoggedOnce() throws Exception {
        fixture.discoveryTimes = Discovery.Times.PUSHED;
        fixture.start("automatic", "60000", "");
        String unreachable =
                awaitLogLine(
                        "discovery_unreachable", 0, fixture.discovery, DiscoveryOutageTest::reset);
        assertTrue(unreachable.contains(fixture.discovery.dial()), unreachable);
        assertTrue(
                fieldValue(unreachable, "since_ms") >= DiscoveryOutage.UNREACHABLE_AFTER_MS,
                unreachable);
        int failureLines = logLines("watch_lost").size() + logLines("watch_failed").size();
        assertTrue(failureLines <= 2, failureLines + " lines of attempts");
        int attempts = 0;
        while (attempts < ADDITIONAL_ATTEMPTS) {
            if (respondToNextWatch(fixture.discovery, DiscoveryOutageTest::reset)) {
                attempts++;
            } else {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        assertEquals(1, logLines("discovery_unreachable").size());
        assertEquals(failureLines, logLines("watch_lost").size() + logLines("watch_failed").size());
        assertTrue(logLines("left_out").isEmpty() && logLines("discovery_restored").isEmpty());

        List<TestServer.Connection> connections = new ArrayList<>();
        String restored =
                awaitLogLine(
                        "discovery_restored",
                        0,
                        fixture.discovery,
                        connection -> {
                            connections.add(connection);
                            sendHeartbeat(connection);
                        });
        assertTrue(
                fieldValue(restored, "after_ms") > fieldValue(unreachable, "since_ms"), restored);
        for (TestServer.Connection connection : connections) {
            reset(connection);
        }
        awaitLogLine("watch_lost", 1, fixture.discovery, DiscoveryOutageTest::reset);
        assertEquals(1, logLines("discovery_restored").size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void logsRefusedConnectionAndRecoveryAtAnotherAddress(String mode) throws Exception {
        fixture.router.subscribesAtStart = mode.equals("subscribe");
        // The socket is bound but not listening: the system refuses connections to it.
        try (Socket refusingSocket = new Socket();
                TestServer nextServer = new TestServer()) {
            refusingSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = "127.0.0.1:" + refusingSocket.getLocalPort();
            String json =
                    fixture.json(mode, "60000", "").replace(fixture.discovery.dial(), address);
            fixture.service =
                    Service.start(
                            Config.parse(json, Map.of()),
                            fixture.router,
                            0,
                            fixture.router.subscribesAtStart
                                    ? Discovery.Times.ASKED
                                    : Discovery.Times.PUSHED,
                            new CompletableFuture<>());
            String unreachable =
                    awaitLogLine(
                            "discovery_unreachable",
                            0,
                            nextServer,
                            DiscoveryOutageTest::sendHeartbeat);
            assertTrue(unreachable.contains(address), unreachable);
            assertTrue(unreachable.contains("Connection refused"), unreachable);
            assertEquals(1, logLines("watch_lost").size());

            Path nextConfig = directory.resolve("config.json");
            Files.writeString(nextConfig, json.replace(address, nextServer.dial()));
            fixture.service.reload(Map.of("BALANCER_CONFIG", nextConfig.toString()));
            String restored =
                    awaitLogLine(
                            "discovery_restored",
                            0,
                            nextServer,
                            DiscoveryOutageTest::sendHeartbeat);
            assertTrue(restored.contains(nextServer.dial()), restored);
        }
    }
}
