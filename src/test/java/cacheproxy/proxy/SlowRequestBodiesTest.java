package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process with the JVM options of the deploy file reads many request bodies at the same time.
 * Guards against bodies that use up the direct memory while they arrive, after which the event loop
 * slept in each read and no client of the proxy got an answer.
 */
class SlowRequestBodiesTest {

    private static final int TIMEOUT_S = 120;
    private static final int SOCKET_LIMIT = 608;
    private static final int WRITERS = 192;
    private static final int BODY_BYTES = 64_000;
    private static final int PIECE_BYTES = 1100;

    /** How often each connection is read while a body arrives: small pieces at 64 kB a second. */
    private static final long PIECE_INTERVAL_MS = 17;

    private static final int PIECES_PER_READ = 10;

    private final List<TestServer.Connection> writers = new ArrayList<>();
    @TempDir private Path folder;
    private ServeProcess serve;
    private Thread node;

    @BeforeEach
    void start() throws Exception {
        ProxyFixture site = new ProxyFixture();
        site.socketLimit = SOCKET_LIMIT;
        site.settings =
                ProxyFixture.SETTINGS
                        .replace("\"max_open\": 4", "\"max_open\": 20000")
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": 30000");
        node = new Thread(() -> answerAll(site.node), "node");
        node.setDaemon(true);
        node.start();
        serve = new ServeProcess(folder, site, List.of(), ServeProcess.deployedJvmOptions());
        serve.awaitUp();
    }

    private static void answerAll(TestServer server) {
        try {
            while (true) {
                TestServer.Message request = server.await();
                if (request.text() != null) {
                    request.connection().respond(200, "ok");
                }
            }
        } catch (InterruptedException | IOException e) {
            return;
        }
    }

    @AfterEach
    void stop() throws Exception {
        node.interrupt();
        for (TestServer.Connection writer : writers) {
            writer.close();
        }
        serve.close();
    }

    private static String headers(String method, String id, String service) {
        return method
                + " /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: "
                + service
                + "\r\nX-Budget: 30\r\n";
    }

    @Test
    @Timeout(TIMEOUT_S)
    void manySlowBodiesLeaveTheProxyResponsive() throws Exception {
        for (int i = 0; i < WRITERS; i++) {
            TestServer.Connection writer = serve.client();
            writers.add(writer);
            writer.write(headers("GET", "first" + i, "read") + "\r\n");
            assertEquals(200, ProxyFixture.status(writer.read()));
            writer.write(
                    headers("PUT", "w" + i, "pay")
                            + "Idempotency-Key: k"
                            + i
                            + "\r\nContent-Length: "
                            + BODY_BYTES
                            + "\r\n\r\n");
        }
        String piece = "v".repeat(PIECE_BYTES);
        int pieces = BODY_BYTES / PIECE_BYTES;
        for (int i = 0; i < pieces; i++) {
            for (TestServer.Connection writer : writers) {
                writer.write(piece);
            }
            TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            if (i % PIECES_PER_READ == 0) {
                assertEquals(200, status(headers("GET", "read" + i, "read") + "\r\n"));
            }
        }
        String lastPiece = "v".repeat(BODY_BYTES - pieces * PIECE_BYTES);
        for (TestServer.Connection writer : writers) {
            writer.write(lastPiece);
        }
        for (TestServer.Connection writer : writers) {
            assertNotEquals(-1, ProxyFixture.status(writer.read()), "no answer to a body");
        }
        assertEquals(200, status("GET /up HTTP/1.1\r\nHost: s\r\n\r\n"));
    }

    private int status(String request) throws IOException {
        try (TestServer.Connection client = serve.client()) {
            client.socket().setSoTimeout((int) TimeUnit.SECONDS.toMillis(2));
            client.write(request);
            return ProxyFixture.status(client.read());
        }
    }
}
