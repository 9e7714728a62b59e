package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Nodes that write the head of a long response at once and its body late or slowly are not cut off.
 */
class LateResponseBodyTest {

    private static final int TIMEOUT_S = 60;
    private static final int NODES = 2;

    private List<ScriptedNode> nodes = List.of();
    @TempDir private Path folder;
    private ServeProcess serve;

    private void start(ScriptedNode.Script script) throws Exception {
        ProxyFixture site = new ProxyFixture();
        nodes = ScriptedNode.startAll(site, NODES, script);
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

    /** Writes one response in pieces, each after a pause. */
    private static void writeLate(Socket connection, String head, int[] pauseMs, String[] pieces)
            throws IOException, InterruptedException {
        if (TestServer.readUntil("\r\n\r\n", connection.getInputStream()) == null) {
            return;
        }
        OutputStream out = connection.getOutputStream();
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < pieces.length; i++) {
            TimeUnit.MILLISECONDS.sleep(pauseMs[i]);
            out.write(pieces[i].getBytes(StandardCharsets.US_ASCII));
        }
        connection.getInputStream().read();
    }

    @ParameterizedTest
    @CsvSource({
        // budget, pause before the body, pause before each further piece, pieces, bytes in a piece
        "1.2, 900, 20, 9, 18500",
        "1.2, 900, 250, 6, 18500",
        "0.6, 450, 300, 8, 10000",
        "0.6, 20, 400, 12, 6000",
        "2.0, 1500, 100, 5, 30000",
    })
    @Timeout(TIMEOUT_S)
    void lateBodyOfLongResponseReachesTheClient(
            String budget, int firstPauseMs, int pauseMs, int pieceCount, int pieceBytes)
            throws Exception {
        String body = "v".repeat(pieceBytes);
        String[] pieces = new String[pieceCount + 1];
        int[] pauses = new int[pieceCount + 1];
        for (int i = 0; i < pieceCount; i++) {
            pieces[i] = Integer.toHexString(pieceBytes) + "\r\n" + body + "\r\n";
            pauses[i] = i == 0 ? firstPauseMs : pauseMs;
        }
        pieces[pieceCount] = "0\r\n\r\n";
        start(
                connection ->
                        writeLate(
                                connection,
                                "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n",
                                pauses,
                                pieces));
        try (TestServer.Connection client = serve.client()) {
            client.write(
                    "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: a1\r\nX-Call-Class: read\r\nX-Budget: "
                            + budget
                            + "\r\n\r\n");
            InputStream in = client.socket().getInputStream();
            String head = TestServer.readUntil("\r\n\r\n", in);
            assertNotNull(head, "no response");
            assertEquals(200, ProxyFixture.status(head));
            String received = TestServer.readChunkedBody(in);
            assertNotNull(received, "the response was cut off");
            assertEquals(pieceCount * pieceBytes, received.length());
        }
    }
}
