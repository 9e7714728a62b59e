package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Responses without a length that end with their connection, as their {@code Connection: close}
 * says: complete ones must reach the client, and those that end in a reset must not look complete.
 */
class CloseDelimitedResponsesTest {

    private static final int RESPONSES = 200;

    /** Body lengths; the shorter ones are aggregated, the longest is streamed to the client. */
    private static final int[] LENGTHS = {
        0, 10, 5000, MessageAggregator.MAX_AGGREGATED_BYTES + 50_000
    };

    /** One response in this many is reset. */
    private static final int RESET_EVERY = 3;

    private static final long PAUSE_BEFORE_RESET_MS = 5;

    private ProxyFixture site;

    @BeforeEach
    void start() throws Exception {
        site = ProxyFixture.started();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    /**
     * What a node does with one request: how much of the body it writes, and whether a reset
     * follows.
     */
    private record ResponseScript(int length, int written, boolean reset, boolean pause) {

        /**
         * Of the responses that are reset some have the complete body, and some are reset only
         * after the bytes before were read.
         */
        static ResponseScript of(int number) {
            int length = LENGTHS[number / RESET_EVERY % LENGTHS.length];
            boolean reset = number % RESET_EVERY == 0;
            int round = number / (RESET_EVERY * LENGTHS.length);
            boolean truncated = round % 2 == 0;
            boolean pause = round / 2 % 2 == 0;
            return new ResponseScript(
                    length, reset && truncated ? length / 2 : length, reset, pause);
        }

        String body() {
            return "v".repeat(length);
        }

        void sendTo(TestServer.Connection connection) throws IOException, InterruptedException {
            connection.write(
                    "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" + body().substring(0, written));
            if (reset && pause) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_BEFORE_RESET_MS);
            }
            if (reset) {
                connection.socket().setSoLinger(true, 0);
            }
            connection.close();
        }
    }

    /**
     * What a client received: the status, and the body, which is null if the client can tell that
     * it is truncated.
     */
    private record ReceivedResponse(int status, String body) {}

    private ReceivedResponse sendRequest(ResponseScript script) throws Exception {
        try (TestServer.Connection client = site.client()) {
            client.write(site.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message request = site.node.next();
            while (request.text() == null) {
                request = site.node.next();
            }
            script.sendTo(request.connection());
            return readResponse(client);
        }
    }

    private static ReceivedResponse readResponse(TestServer.Connection client) throws IOException {
        InputStream in = client.socket().getInputStream();
        String head = TestServer.readUntil("\r\n\r\n", in);
        if (head == null) {
            return new ReceivedResponse(-1, null);
        }
        TestServer.Message answer = new TestServer.Message(head, client);
        String length = answer.header("Content-Length");
        return new ReceivedResponse(
                ProxyFixture.status(head),
                length == null ? readChunked(in) : readExactly(in, Integer.parseInt(length)));
    }

    private static String readExactly(InputStream in, int length) throws IOException {
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads a chunked body; returns null if the connection ends or breaks before its end. */
    private static String readChunked(InputStream in) {
        try {
            return TestServer.readChunkedBody(in);
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void completeResponsesArePassedOnAndResetOnesAreNeverComplete() throws Exception {
        int whole = 0;
        List<Integer> lost = new ArrayList<>();
        for (int i = 0; i < RESPONSES; i++) {
            ResponseScript script = ResponseScript.of(i);
            ReceivedResponse received = sendRequest(script);
            boolean passedOn = received.status() == 200 && received.body() != null;
            if (script.reset()) {
                assertFalse(
                        passedOn,
                        "answer " + i + " was reset, but passed on as complete: " + script);
                assertNotEquals(-1, received.status(), "request " + i + " had no response");
                continue;
            }
            whole++;
            if (passedOn) {
                assertEquals(script.body(), received.body(), "answer " + i);
            } else {
                lost.add(i);
            }
        }
        assertEquals(List.of(), lost, "of " + whole + " complete responses these were lost");
    }
}
