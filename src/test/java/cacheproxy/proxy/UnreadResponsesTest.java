package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy stops reading from a client that sends requests and does not read the responses. */
class UnreadResponsesTest extends WithProxyFixture {

    private static final String REQUEST = "GET /up HTTP/1.1\r\nHost: s\r\n\r\n";
    private static final int REQUESTS_IN_BATCH = 500;
    private static final long FLOOD_MS = 6000;

    /** Far more than the kernel buffers of both directions. */
    private static final long MAX_TAKEN_BYTES = 32L << 20;

    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void stopsReadingFromClientThatDoesNotRead() throws Exception {
        AtomicLong written = new AtomicLong();
        byte[] batch = REQUEST.repeat(REQUESTS_IN_BATCH).getBytes(StandardCharsets.US_ASCII);
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                OutputStream out = client.socket().getOutputStream();
                                while (written.get() < MAX_TAKEN_BYTES) {
                                    out.write(batch);
                                    written.addAndGet(batch.length);
                                }
                            } catch (IOException e) {
                                return;
                            }
                        });
        writer.setDaemon(true);
        writer.start();
        TimeUnit.MILLISECONDS.sleep(FLOOD_MS);
        assertTrue(written.get() < MAX_TAKEN_BYTES, "took " + written.get() + " bytes");
        try (TestServer.Connection other = fixture.client()) {
            other.write(REQUEST);
            assertNotEquals(-1, ProxyFixture.status(other.read()));
        }
    }

    /** A client that reads late still gets all its responses. */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void answersAllRequestsOfClientThatReadsLate() throws Exception {
        int batches = 60;
        byte[] batch = REQUEST.repeat(REQUESTS_IN_BATCH).getBytes(StandardCharsets.US_ASCII);
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < batches; i++) {
                                    client.socket().getOutputStream().write(batch);
                                }
                            } catch (IOException e) {
                                return;
                            }
                        });
        writer.setDaemon(true);
        writer.start();
        TimeUnit.SECONDS.sleep(1);
        for (int i = 0; i < batches * REQUESTS_IN_BATCH; i++) {
            assertNotEquals(-1, ProxyFixture.status(client.read()), "no response " + i);
        }
        writer.join();
    }
}
