package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

/** Bodies are aggregated only up to the limit of the memory that all connections share. */
class MessageAggregatorTest {

    private static final int LIMIT_BYTES = 20_000;
    private static final int PIECE_BYTES = 1000;
    private static final int READ_BUFFER_BYTES = 2048;

    private final BodyMemory memory = new BodyMemory(LIMIT_BYTES);

    private EmbeddedChannel connection() {
        return new EmbeddedChannel(new RequestAggregator(memory));
    }

    private static HttpRequest head() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, "/api/k1");
    }

    private static ByteBuf piece() {
        return Unpooled.directBuffer(READ_BUFFER_BYTES).writeZero(PIECE_BYTES);
    }

    private static void write(EmbeddedChannel connection, int pieces) {
        for (int i = 0; i < pieces; i++) {
            connection.writeInbound(new DefaultHttpContent(piece()));
        }
    }

    @Test
    void readBuffersAreReleasedWhileTheBodyArrives() {
        EmbeddedChannel connection = connection();
        connection.writeInbound(head());
        ByteBuf read = piece();
        connection.writeInbound(new DefaultHttpContent(read));
        assertEquals(0, read.refCnt());
        assertTrue(memory.usedBytes() >= PIECE_BYTES);
        connection.writeInbound(new DefaultLastHttpContent(piece()));
        FullHttpRequest request = connection.readInbound();
        assertEquals(2 * PIECE_BYTES, request.content().readableBytes());
        request.release();
        assertEquals(0, memory.usedBytes());
    }

    @Test
    void bodyIsStreamedWhereTheSharedMemoryIsFull() {
        EmbeddedChannel first = connection();
        first.writeInbound(head());
        write(first, 6);
        EmbeddedChannel second = connection();
        second.writeInbound(head());
        write(second, 8);
        assertTrue(memory.usedBytes() <= LIMIT_BYTES, "in use: " + memory.usedBytes());
        assertInstanceOf(HttpRequest.class, second.readInbound());
        second.writeInbound(new DefaultLastHttpContent(piece()));
        int received = 0;
        HttpContent part;
        boolean last = false;
        for (part = second.readInbound(); part != null; part = second.readInbound()) {
            received += part.content().readableBytes();
            last = part instanceof LastHttpContent;
            part.release();
        }
        assertEquals(9 * PIECE_BYTES, received);
        assertTrue(last);
        assertNull(first.readInbound(), "the first body should still be aggregated");
    }

    @Test
    void memoryIsFreedWhenAConnectionCloses() {
        EmbeddedChannel connection = connection();
        connection.writeInbound(head());
        write(connection, 6);
        assertTrue(memory.usedBytes() >= 6 * PIECE_BYTES);
        connection.close();
        assertEquals(0, memory.usedBytes());
        ReferenceCountUtil.release(connection.readInbound());
    }
}
