package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * The way in which a client's connection is ended: our half once what was written is out, so that
 * the client reads the last answer and then the end. What it still sends is read and dropped until
 * it has ended its own half, for a bounded time and so many bytes: a close over input that lies
 * unread resets the connection, and takes the last answer along. Nothing that is read from then on
 * is sent on, so a request that crosses the end never ran, and its client sends it once more.
 */
final class HalfClose {

    private static final long LINGER_TIMEOUT_MS = 1000;
    private static final long MAX_LINGER_BYTES = 1 << 20;

    /** How long an answer may make no way at all to a client. */
    private static final long WRITE_STALL_TIMEOUT_MS = 5000;

    private final Channel channel;
    private ChannelFuture lastWrite;
    private long discardedBytes;

    HalfClose(Channel channel) {
        this.channel = channel;
    }

    /**
     * {@code written} is the last that was handed over to be written; null where nothing ever was.
     */
    void begin(ChannelFuture written) {
        lastWrite = written;
        channel.config().setAutoRead(true);
        if (written == null) {
            shutdownOurSide();
        } else {
            written.addListener(f -> shutdownOurSide());
        }
    }

    private void shutdownOurSide() {
        if (channel instanceof DuplexChannel duplexChannel) {
            duplexChannel.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /**
     * Something more that was read; past what is read for courtesy the rest waits on the client's
     * side.
     */
    void discard(Object message) {
        discardedBytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (discardedBytes > MAX_LINGER_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Closes both halves when the client has had its time, {@code ms} since it last took or sent
     * something.
     */
    void sweep(long idleMs) {
        if (idleMs >= (isWriteDone() ? LINGER_TIMEOUT_MS : WRITE_STALL_TIMEOUT_MS)) {
            channel.close();
        }
    }

    /** Whether what was to be written is out. */
    boolean isWriteDone() {
        return lastWrite == null || lastWrite.isDone();
    }

    /**
     * Resets the connection: only so can a client tell that an answer is not whole which nothing
     * but the end would have ended.
     */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
