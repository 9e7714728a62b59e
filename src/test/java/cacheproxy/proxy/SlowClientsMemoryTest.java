package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A process with the JVM options of the deploy file stays within the memory of the platform, and
 * answers other clients, while hundreds of clients are slow in the same way at once.
 */
class SlowClientsMemoryTest {

    private static final int TIMEOUT_S = 120;
    private static final int SOCKET_LIMIT = 1024;

    /** The platform's largest limit. */
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;

    /** Almost all connections that a process accepts with this limit on sockets. */
    private static final int CLIENTS = 470;

    private static final int NODES = 24;

    private static final int ROUNDS = 60;
    private static final long ROUND_MS = 100;
    private static final int LONG_RESPONSE_BYTES = 8 << 20;
    private static final int READ_TIMEOUT_MS = 1500;

    private final List<TestServer.Connection> clients = new ArrayList<>();
    @TempDir private Path folder;
    private List<ScriptedNode> nodes = List.of();
    private ServeProcess serve;

    @BeforeEach
    void start() throws Exception {
        ProxyFixture site = new ProxyFixture();
        nodes = ScriptedNode.startAll(site, NODES, SlowClientsMemoryTest::serveNode);
        site.socketLimit = SOCKET_LIMIT;
        site.settings =
                ProxyFixture.SETTINGS
                        .replace("\"max_open\": 4", "\"max_open\": 20000")
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": 30000");
        serve = new ServeProcess(folder, site, List.of(), ServeProcess.deployedJvmOptions());
        serve.awaitUp();
    }

    @AfterEach
    void stop() throws Exception {
        for (TestServer.Connection each : clients) {
            each.close();
        }
        for (ScriptedNode node : nodes) {
            node.close();
        }
        serve.close();
    }

    /** Answers requests for the key "long" with a long response, and others with a short one. */
    private static void serveNode(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        OutputStream out = connection.getOutputStream();
        byte[] piece = new byte[1 << 16];
        for (String head = TestServer.readUntil("\r\n\r\n", in);
                head != null;
                head = TestServer.readUntil("\r\n\r\n", in)) {
            TestServer.Message message = new TestServer.Message(head, null);
            String length = message.header("Content-Length");
            in.skipNBytes(length == null ? 0 : Long.parseLong(length));
            boolean longResponse = message.firstLine().contains("/long");
            int responseBytes = longResponse ? LONG_RESPONSE_BYTES : 2;
            out.write(
                    ("HTTP/1.1 200 x\r\nContent-Length: " + responseBytes + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            for (int written = 0; written < responseBytes; written += piece.length) {
                out.write(piece, 0, Math.min(piece.length, responseBytes - written));
            }
        }
    }

    private static String head(String method, String key, String id, String service, int budgetS) {
        return method
                + " /api/"
                + key
                + " HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: "
                + service
                + "\r\nX-Budget: "
                + budgetS
                + "\r\n";
    }

    /** Connects the clients; each sends the given text, and all send further pieces in rounds. */
    private void play(String first, String pieceOfRound) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            TestServer.Connection client = serve.client();
            clients.add(client);
            writeIfOpen(client, first.replace("{}", String.valueOf(i)));
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (TestServer.Connection client : clients) {
                writeIfOpen(client, pieceOfRound);
            }
            if (round % 5 == 0) {
                assertOthersAreServed(round);
            }
            TimeUnit.MILLISECONDS.sleep(ROUND_MS);
        }
        assertWithinMemory();
    }

    private static void writeIfOpen(TestServer.Connection client, String text) {
        try {
            client.write(text);
        } catch (IOException e) {
            // The proxy has ended this connection, as it may end that of a client that is slow.
            return;
        }
    }

    private void assertOthersAreServed(int round) throws IOException {
        try (TestServer.Connection other = serve.client()) {
            other.socket().setSoTimeout(READ_TIMEOUT_MS);
            other.write(head("GET", "k1", "other" + round, "read", 1) + "\r\n");
            assertNotEquals(-1, ProxyFixture.status(other.read()), "no answer");
        }
    }

    private void assertWithinMemory() throws Exception {
        assertTrue(serve.isAlive());
        long peak = serve.peakMemoryBytes();
        assertTrue(peak <= MEMORY_LIMIT_BYTES, (peak >> 20) + " MB");
    }

    @Test
    @Timeout(TIMEOUT_S)
    void slowlyWrittenHeads() throws Exception {
        play(head("GET", "k{}", "slow{}", "read", 30), "X-Pad: " + "v".repeat(60) + "\r\n");
    }

    @ParameterizedTest
    @ValueSource(ints = {60_000, 900_000, 8_000_000})
    @Timeout(TIMEOUT_S)
    void longRequestsThatStopHalfWay(int bodyBytes) throws Exception {
        play(
                head("PUT", "k{}", "stop{}", "pay", 30)
                        + "Idempotency-Key: k\r\nContent-Length: "
                        + bodyBytes
                        + "\r\n\r\n"
                        + "v".repeat(Math.min(bodyBytes / 2, 100_000)),
                "");
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 8})
    @Timeout(TIMEOUT_S)
    void headsOfManyShortFields(int fieldBytes) throws Exception {
        String field = "a" + "b".repeat(fieldBytes - 2) + ":\r\n";
        play(head("GET", "k{}", "many{}", "read", 30) + field.repeat(7000 / field.length()), "");
    }

    @Test
    @Timeout(TIMEOUT_S)
    void pipelinedHeadsOfManyShortFields() throws Exception {
        String fields = "a:\r\n".repeat(1500);
        StringBuilder requests =
                new StringBuilder(head("PUT", "k{}", "wait{}", "pay", 30))
                        .append("Idempotency-Key: k\r\nContent-Length: 100000\r\n\r\n")
                        .append("v".repeat(100_000));
        for (int i = 0; i < 15; i++) {
            requests.append(head("GET", "long{}", "many{}-" + i, "read", 30))
                    .append(fields)
                    .append("\r\n");
        }
        play(requests.toString(), "");
    }

    @Test
    @Timeout(TIMEOUT_S)
    void longResponsesThatAreReadSlowly() throws Exception {
        play(head("GET", "long{}", "read{}", "read", 30) + "\r\n", "");
    }
}
