package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Nothing is sent on for a client that has closed its connection, however much it sent behind its
 * request that the proxy has not read.
 */
class DepartedClientTest {

    private static final int TIMEOUT_S = 60;

    /** When a node rejects a request, which makes the proxy ask the other node. */
    private static final long REJECT_AFTER_MS = 500;

    private static final long LEAVE_AFTER_MS = 100;

    /** Long enough for a second attempt to have begun. */
    private static final long WATCH_MS = 1500;

    /** How long after its client's close an attempt may still begin. */
    private static final long CLOSE_TOLERANCE_MS = 100;

    private record Received(String id, long nanos) {}

    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private List<ScriptedNode> nodes = List.of();
    @TempDir private Path folder;
    private ServeProcess serve;

    @BeforeEach
    void start() throws Exception {
        ProxyFixture site = new ProxyFixture();
        nodes = ScriptedNode.startAll(site, 2, this::rejectLate);
        site.settings = ProxyFixture.SETTINGS.replace("\"max_open\": 4", "\"max_open\": 20000");
        serve = new ServeProcess(folder, site, new ArrayList<>());
        serve.awaitUp();
    }

    @AfterEach
    void stop() throws Exception {
        for (ScriptedNode node : nodes) {
            node.close();
        }
        serve.close();
    }

    private void rejectLate(Socket connection) throws IOException, InterruptedException {
        for (String head = TestServer.readUntil("\r\n\r\n", connection.getInputStream());
                head != null;
                head = TestServer.readUntil("\r\n\r\n", connection.getInputStream())) {
            String id = new TestServer.Message(head, null).header("X-Call-Id");
            received.add(new Received(id, System.nanoTime()));
            TimeUnit.MILLISECONDS.sleep(REJECT_AFTER_MS);
            connection
                    .getOutputStream()
                    .write(
                            "HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static String get(String id) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: 2\r\n\r\n";
    }

    /** A request whose body is announced to be longer than the part that follows its head. */
    private static String longPut(String id, int sentBytes) {
        return "PUT /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: pay\r\nIdempotency-Key: k\r\nX-Budget: 2\r\nContent-Length: "
                + (sentBytes + 1000)
                + "\r\n\r\n"
                + "v".repeat(sentBytes);
    }

    private void assertNotSentOnAfterLeaving(String input) throws Exception {
        TestServer.Connection client = serve.client();
        client.write(input);
        TimeUnit.MILLISECONDS.sleep(LEAVE_AFTER_MS);
        long closedNanos = System.nanoTime();
        client.close();
        TimeUnit.MILLISECONDS.sleep(WATCH_MS);
        List<Long> attemptsAfterCloseMs =
                received.stream()
                        .filter(each -> each.id().equals("left"))
                        .map(each -> TimeUnit.NANOSECONDS.toMillis(each.nanos() - closedNanos))
                        .toList();
        assertFalse(attemptsAfterCloseMs.isEmpty(), "never sent on");
        assertTrue(
                attemptsAfterCloseMs.stream().allMatch(ms -> ms <= CLOSE_TOLERANCE_MS),
                "attempts, ms after the close: " + attemptsAfterCloseMs);
    }

    @ParameterizedTest
    @ValueSource(ints = {70_000, 200_000, 1_000_000, 2_000_000})
    @Timeout(TIMEOUT_S)
    void closeBehindUnreadInputEndsTheRequest(int unreadBytes) throws Exception {
        assertNotSentOnAfterLeaving(get("left") + longPut("behind", unreadBytes));
    }

    @Test
    @Timeout(TIMEOUT_S)
    void closeBehindManyPipelinedRequestsEndsTheRequest() throws Exception {
        assertNotSentOnAfterLeaving(get("left") + get("behind").repeat(3000));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 70_000, 1_000_000})
    @Timeout(TIMEOUT_S)
    void clientThatStaysIsStillServedByAnotherAttempt(int unreadBytes) throws Exception {
        try (TestServer.Connection client = serve.client()) {
            client.write(
                    unreadBytes == 0
                            ? get("stays")
                            : get("stays") + longPut("behind", unreadBytes));
            TimeUnit.MILLISECONDS.sleep(WATCH_MS);
            assertTrue(
                    received.stream().filter(each -> each.id().equals("stays")).count() >= 2,
                    "only " + received);
            assertEquals(503, ProxyFixture.status(client.read()));
        }
    }
}
