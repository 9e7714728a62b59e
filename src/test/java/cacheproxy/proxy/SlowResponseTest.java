package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A node writes a response of unknown length in pieces, with pauses. Guards against responses over
 * 64 KiB that were cut off within the first pause, and then at every node.
 */
class SlowResponseTest extends WithProxyFixture {

    private static final int PIECE_BYTES = 16_000;

    /** Together more than is aggregated. */
    private static final int PIECES = 6;

    /** Longer than any stall timeout of a response that states its length. */
    private static final long PAUSE_MS = 300;

    private static final double ATTEMPT_TIMEOUT_MS = 500;

    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CLOSE_DELIMITED_HEAD =
            "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private String readStreamedResponse() throws IOException {
        InputStream in = client.socket().getInputStream();
        String head = TestServer.readUntil("\r\n\r\n", in);
        assertEquals(200, ProxyFixture.status(head));
        assertTrue(head.toLowerCase().contains("transfer-encoding: chunked"), head);
        return TestServer.readChunkedBody(in);
    }

    private TestServer.Connection startResponse(double budgetS, String head) throws Exception {
        client.write(fixture.get(budgetS));
        TestServer.Connection connection = fixture.node.next().connection();
        connection.write(head);
        return connection;
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @Timeout(TestServer.TIMEOUT_S)
    void longResponseWithPausesArrivesComplete(boolean chunked) throws Exception {
        TestServer.Connection node =
                startResponse(
                        ProxyFixture.LONG_BUDGET_S, chunked ? CHUNKED_HEAD : CLOSE_DELIMITED_HEAD);
        String piece = "v".repeat(PIECE_BYTES);
        for (int i = 0; i < PIECES; i++) {
            node.write(chunked ? chunk(piece) : piece);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        if (chunked) {
            node.write("0\r\n\r\n");
        } else {
            node.close();
        }
        assertEquals(piece.repeat(PIECES), readStreamedResponse());
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(1, fixture.router.requests.size());
    }

    /**
     * The node still writes when the attempt times out: nothing is cut off, and nothing retried.
     */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void responseInProgressOutlastsItsAttempt() throws Exception {
        fixture.router.onRequest =
                (request, out) -> out.send(request.id(), "c0", ATTEMPT_TIMEOUT_MS);
        TestServer.Connection node = startResponse(ProxyFixture.LONG_BUDGET_S, CHUNKED_HEAD);
        for (int i = 0; i < PIECES; i++) {
            node.write(chunk("piece"));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        node.write("0\r\n\r\n");
        assertEquals("piece".repeat(PIECES), readStreamedResponse());
        assertEquals(Outcome.OK, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
    }

    /** With time left for another attempt, a silent node is given up when its attempt times out. */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void silentResponseTimesOut() throws Exception {
        fixture.router.onRequest =
                (request, out) -> out.send(request.id(), "c0", 5 * ATTEMPT_TIMEOUT_MS);
        startResponse(ProxyFixture.LONG_BUDGET_S, CHUNKED_HEAD + chunk("piece"));
        assertEquals(
                Outcome.TIMEOUT, ScriptedRouter.awaitNext(fixture.router.attemptEnds).outcome());
        assertEquals(502, ProxyFixture.status(client.read()));
    }

    /**
     * At the request's deadline a silent response is passed on; it is broken off in time, so that
     * its client can tell that it is incomplete.
     */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void silentResponseIsBrokenOffAfterTheDeadline() throws Exception {
        double budgetS = 0.6;
        long sentNanos = System.nanoTime();
        startResponse(budgetS, CHUNKED_HEAD + chunk("piece"));
        assertNull(readStreamedResponse());
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        assertTrue(
                elapsedMs <= budgetS * 1000 + 500 + TimeUnit.SECONDS.toMillis(1),
                "broken off after " + elapsedMs + " ms");
        assertNotNull(ScriptedRouter.awaitNext(fixture.router.attemptEnds));
    }
}
