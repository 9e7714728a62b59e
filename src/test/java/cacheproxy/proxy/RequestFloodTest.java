package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One client sends small or invalid requests on one connection at full speed: other clients are
 * answered in time, and the memory of the process does not grow.
 */
class RequestFloodTest {

    private static final int TIMEOUT_S = 60;
    private static final int SOCKET_LIMIT = 608;

    private static final long FLOOD_MS = 8000;
    private static final long PAUSE_MS = 50;
    private static final double BUDGET_S = 0.3;

    /** An answer may come up to half a second after its time. */
    private static final int ANSWER_TIMEOUT_MS = 800;

    /** The platform's largest limit. */
    private static final long MEMORY_LIMIT_BYTES = 192L << 20;

    private static final int REQUESTS_IN_BATCH = 500;

    @TempDir private Path folder;
    private ScriptedNode node;
    private ServeProcess serve;
    private volatile boolean flooding = true;

    @BeforeEach
    void start() throws Exception {
        node = new ScriptedNode(0, RequestFloodTest::serveNode);
        ProxyFixture site = new ProxyFixture();
        site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
        site.socketLimit = SOCKET_LIMIT;
        site.settings = ProxyFixture.SETTINGS.replace("\"max_open\": 4", "\"max_open\": 20000");
        serve = new ServeProcess(folder, site, List.of(), ServeProcess.deployedJvmOptions());
        serve.awaitUp();
    }

    @AfterEach
    void stop() throws Exception {
        flooding = false;
        node.close();
        serve.close();
    }

    private static void serveNode(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        while (TestServer.readUntil("\r\n\r\n", in) != null) {
            connection
                    .getOutputStream()
                    .write(
                            "HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nok"
                                    .getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Sends batches of the request on one connection, and opens another one when it is closed. */
    private void flood(String request, boolean readsAnswers) {
        long number = 0;
        while (flooding) {
            try (TestServer.Connection client = serve.client()) {
                if (readsAnswers) {
                    Thread reader = new Thread(() -> discardInput(client), "reader");
                    reader.setDaemon(true);
                    reader.start();
                }
                OutputStream out = client.socket().getOutputStream();
                while (flooding) {
                    StringBuilder batch = new StringBuilder();
                    for (int i = 0; i < REQUESTS_IN_BATCH; i++) {
                        batch.append(request.replace("{}", String.valueOf(number++)));
                    }
                    out.write(batch.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                continue;
            }
        }
    }

    private static void discardInput(TestServer.Connection client) {
        try {
            client.socket().getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (IOException e) {
            return;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'GET /x HTTP/1.1\\r\\nHost: s\\r\\n\\r\\n', true",
        "'GET /x HTTP/1.1\\r\\nHost: s\\r\\n\\r\\n', false",
        "'GET / HTTP/1.1\\r\\n\\r\\n', true",
        "'GET /up HTTP/1.1\\r\\nHost: s\\r\\n\\r\\n', true",
        "'GET /up HTTP/1.1\\r\\nHost: s\\r\\n\\r\\n', false",
        "'GET /api/k{} HTTP/1.1\\r\\nHost: s\\r\\n\\r\\n', true",
        "'GET /api/k{} HTTP/1.1\\r\\nHost: s\\r\\nX-Call-Id: f{}\\r\\nX-Call-Class: class{}\\r\\nX-Budget: 1\\r\\nX-Caller: c{}\\r\\n\\r\\n', false",
        "'GET /api/k{} HTTP/1.1\\r\\nHost: s\\r\\nX-Call-Id: f{}\\r\\nX-Call-Class: read\\r\\nX-Budget: 0\\r\\nX-Caller: c{}\\r\\n\\r\\n', true",
        "'GET /api/k{} HTTP/1.1\\r\\nHost: s\\r\\nX-Call-Id: f{}\\r\\nX-Call-Class: read\\r\\nX-Budget: 0.5\\r\\nX-Caller: c{}\\r\\n\\r\\n', true",
        "'PUT /x HTTP/1.1\\r\\nHost: s\\r\\nContent-Length: 1\\r\\n\\r\\nv', false",
        "'G{} /x HTTP/1.1\\r\\nF{}: s\\r\\n\\r\\n', true",
    })
    @Timeout(TIMEOUT_S)
    void othersAreAnsweredInTimeAndMemoryStaysBounded(String request, boolean readsAnswers)
            throws Exception {
        String text = request.replace("\\r", "\r").replace("\\n", "\n");
        Thread flooder = new Thread(() -> flood(text, readsAnswers), "flooder");
        flooder.setDaemon(true);
        flooder.start();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
        long slowestMs = 0;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            slowestMs = Math.max(slowestMs, answerTimeMs("other" + i));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        long peakBytes = serve.peakMemoryBytes();
        String seen = "slowest " + slowestMs + " ms, peak " + (peakBytes >> 20) + " MB";
        assertTrue(slowestMs <= ANSWER_TIMEOUT_MS, seen);
        assertTrue(peakBytes <= MEMORY_LIMIT_BYTES, seen);
        assertTrue(serve.isAlive());
    }

    /** Sends one request on a connection of its own and returns when its answer was there. */
    private long answerTimeMs(String id) throws IOException {
        long startNanos = System.nanoTime();
        try (TestServer.Connection client = serve.client()) {
            client.socket().setSoTimeout(2 * ANSWER_TIMEOUT_MS);
            client.write(
                    "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                            + id
                            + "\r\nX-Call-Class: read\r\nX-Budget: "
                            + BUDGET_S
                            + "\r\n\r\n");
            assertNotEquals(-1, ProxyFixture.status(client.read()), "no answer to " + id);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
