package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A body that was received while its node's connection came up is written once, byte for byte, and
 * its attempt counts as written. Guards against bookings that were refused after they had run.
 */
class QueuedUploadTest {

    /** Below the size of a queued piece, as in a proxy with 1,024 descriptors. */
    private static final int HIGH_WATER_MARK_BYTES = 8594;

    private static final int MEMORY_BYTES = 8 << 20;

    private final EmbeddedChannel client = new EmbeddedChannel();
    private final EmbeddedChannel nodeChannel = new EmbeddedChannel();
    private final List<Outcome> outcomes = new ArrayList<>();

    @AfterEach
    void closeChannels() {
        client.finishAndReleaseAll();
        nodeChannel.finishAndReleaseAll();
    }

    @ParameterizedTest
    @CsvSource({
        // bytes of the body, of each received part, whether chunked
        "70000, 2048, false",
        "70000, 2048, true",
        "16384, 16384, false",
        "16384, 16384, true",
        "250000, 8192, false",
        "250000, 8192, true",
        "250000, 30000, true",
    })
    void queuedBodyIsWrittenOnce(int bodyBytes, int partBytes, boolean chunked) {
        nodeChannel
                .config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(HIGH_WATER_MARK_BYTES / 2, HIGH_WATER_MARK_BYTES));
        String body = "0123456789abcdef-".repeat(bodyBytes / 17 + 1).substring(0, bodyBytes);
        Upload upload = new Upload(client, new BodyMemory(MEMORY_BYTES), chunked ? -1 : bodyBytes);
        UpstreamAttempt attempt = newAttempt(upload, bodyBytes, chunked);
        receive(upload, body, partBytes);
        NodeConnection connection =
                new NodeConnection(
                        new ListedEndpoint(),
                        nodeChannel.eventLoop(),
                        new BodyMemory(MEMORY_BYTES),
                        System::nanoTime);
        connection.initPipeline(nodeChannel.pipeline());

        connection.write(attempt);

        String sent = takeSent();
        String sentBody = sent.substring(sent.indexOf("\r\n\r\n") + 4);
        assertEquals(body, chunked ? decodeChunks(sentBody) : sentBody);
        assertEquals(List.of(), outcomes);
        assertTrue(nodeChannel.isActive(), "the connection was closed");
        assertTrue(attempt.written, "the attempt does not count as written");
    }

    private UpstreamAttempt newAttempt(Upload upload, int bodyBytes, boolean chunked) {
        return new UpstreamAttempt(
                () -> newHead(bodyBytes, chunked),
                upload,
                (attempt, outcome, response) -> outcomes.add(outcome),
                nodeChannel.eventLoop(),
                new IdleTimeoutEstimator(),
                System::nanoTime);
    }

    private static HttpRequest newHead(int bodyBytes, boolean chunked) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, "/api/k");
        if (chunked) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            HttpUtil.setContentLength(head, bodyBytes);
        }
        return head;
    }

    private static void receive(Upload upload, String body, int partBytes) {
        for (int from = 0; from < body.length(); from += partBytes) {
            String part = body.substring(from, Math.min(body.length(), from + partBytes));
            upload.addPart(
                    new DefaultHttpContent(Unpooled.copiedBuffer(part, StandardCharsets.US_ASCII)));
        }
        upload.addPart(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private String takeSent() {
        StringBuilder sent = new StringBuilder();
        for (ByteBuf part = nodeChannel.readOutbound();
                part != null;
                part = nodeChannel.readOutbound()) {
            sent.append(part.toString(StandardCharsets.US_ASCII));
            part.release();
        }
        return sent.toString();
    }

    /** Returns the body of a chunked message; fails if the framing is not exact. */
    private static String decodeChunks(String text) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", at);
            int size = Integer.parseInt(text.substring(at, lineEnd), 16);
            int from = lineEnd + 2;
            body.append(text, from, from + size);
            assertEquals("\r\n", text.substring(from + size, from + size + 2));
            at = from + size + 2;
            if (size == 0) {
                assertEquals(text.length(), at, "bytes behind the last chunk");
                return body.toString();
            }
        }
    }

    /** An endpoint that is listed and accepts connections. */
    private static final class ListedEndpoint implements NodeConnection.Owner {
        @Override
        public boolean isListed() {
            return true;
        }

        @Override
        public boolean isTableFull() {
            return false;
        }

        @Override
        public double stallTimeoutMs() {
            return 1000;
        }

        @Override
        public void onRejected() {}

        @Override
        public void onAcceptedAgain() {}

        @Override
        public void onReleased(NodeConnection connection) {}

        @Override
        public void onPauseEnded(NodeConnection connection) {}

        @Override
        public void onClosed(NodeConnection connection) {}
    }
}
