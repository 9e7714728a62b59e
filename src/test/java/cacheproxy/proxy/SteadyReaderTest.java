package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/**
 * Clients read long responses steadily at a low rate. Guards against connections that were closed
 * as stalled while the kernel held megabytes that their clients were still reading.
 */
class SteadyReaderTest {

    private static final int TIMEOUT_S = 90;
    private static final int MEBIBYTE = 1 << 20;

    /** Far more than the kernels of both sides buffer at once. */
    private static final List<Integer> LONG_RESPONSE_BYTES =
            List.of(6 * MEBIBYTE, 8 * MEBIBYTE, 12 * MEBIBYTE);

    /**
     * About what the kernels buffer at once, in steps of less than what the proxy buffers beside
     * them, so that of some responses only the end is left to the proxy.
     */
    private static final int FIRST_BUFFERED_BYTES = 3_900_000;

    private static final int LAST_BUFFERED_BYTES = 4_200_000;
    private static final int BUFFERED_STEP_BYTES = 20_000;

    private static final int READ_BYTES_PER_S = 80_000;
    private static final int READ_INTERVAL_MS = 100;

    /** Several times as long as a response may make no progress. */
    private static final int STEADY_S = 35;

    @TempDir private Path folder;
    private ScriptedNode node;
    private ServeProcess serve;

    @BeforeEach
    void start() throws Exception {
        node = new ScriptedNode(0, SteadyReaderTest::serveNode);
        ProxyFixture site = new ProxyFixture();
        site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
        site.settings = site.settings.replace("\"max_open\": 4", "\"max_open\": 100");
        serve = new ServeProcess(folder, site, List.of(), ServeProcess.deployedJvmOptions());
        serve.awaitUp();
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        serve.close();
    }

    /** Answers each request with as many bytes as its key says. */
    private static void serveNode(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        OutputStream out = connection.getOutputStream();
        byte[] piece = new byte[MEBIBYTE];
        for (String head = TestServer.readUntil("\r\n\r\n", in);
                head != null;
                head = TestServer.readUntil("\r\n\r\n", in)) {
            int bytes = Integer.parseInt(head.split("/api/|[ ?]")[2]);
            out.write(
                    ("HTTP/1.1 200 x\r\nContent-Length: " + bytes + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            for (int written = 0; written < bytes; written += MEBIBYTE) {
                out.write(piece, 0, Math.min(MEBIBYTE, bytes - written));
            }
        }
    }

    /** One client; it reads at its rate for a while, and then the rest as fast as it comes. */
    private final class Reader extends Thread {
        private final int responseBytes;
        private final boolean lastRequest;
        private long readBytes;

        Reader(int responseBytes, boolean lastRequest) {
            this.responseBytes = responseBytes;
            this.lastRequest = lastRequest;
            start();
        }

        @Override
        public void run() {
            try (TestServer.Connection client = serve.client()) {
                String request = serve.site.get(ProxyFixture.LONG_BUDGET_S);
                client.write(
                        request.replace("/api/k1", "/api/" + responseBytes)
                                .replace(": id", ": " + getId() + "id")
                                .replace(
                                        "\r\n\r\n",
                                        lastRequest
                                                ? "\r\nConnection: close\r\n\r\n"
                                                : "\r\n\r\n"));
                InputStream in = client.socket().getInputStream();
                assertEquals(200, ProxyFixture.status(TestServer.readUntil("\r\n\r\n", in)));
                readSteadily(in);
                readRest(in);
            } catch (IOException | InterruptedException e) {
                // What has been read is judged.
            }
        }

        private void readSteadily(InputStream in) throws IOException, InterruptedException {
            long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STEADY_S);
            int pieceBytes = READ_BYTES_PER_S * READ_INTERVAL_MS / 1000;
            while (System.nanoTime() < endNanos) {
                readBytes += in.readNBytes(pieceBytes).length;
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
            }
        }

        private void readRest(InputStream in) throws IOException {
            byte[] piece = new byte[MEBIBYTE];
            while (readBytes < responseBytes) {
                int read = in.read(piece);
                if (read < 0) {
                    return;
                }
                readBytes += read;
            }
        }
    }

    /** Starts a client that keeps its connection, and one whose response is its last. */
    private void startReaders(int responseBytes, List<Reader> readers) {
        readers.add(new Reader(responseBytes, false));
        readers.add(new Reader(responseBytes, true));
    }

    @Test
    @Timeout(TIMEOUT_S)
    void steadyReadersGetTheirWholeResponse() throws Exception {
        List<Reader> readers = new ArrayList<>();
        for (int responseBytes : LONG_RESPONSE_BYTES) {
            startReaders(responseBytes, readers);
        }
        for (int responseBytes = FIRST_BUFFERED_BYTES;
                responseBytes <= LAST_BUFFERED_BYTES;
                responseBytes += BUFFERED_STEP_BYTES) {
            startReaders(responseBytes, readers);
        }
        List<String> cutOff = new ArrayList<>();
        for (Reader reader : readers) {
            reader.join();
            if (reader.readBytes != reader.responseBytes) {
                cutOff.add(reader.readBytes + " of " + reader.responseBytes);
            }
        }
        assertTrue(cutOff.isEmpty(), "read only " + cutOff);
    }
}
