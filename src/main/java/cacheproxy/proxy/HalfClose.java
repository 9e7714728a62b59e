package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a client's connection gracefully. Our side is shut down once everything has been written,
 * so that the client reads the last response and then the end of the stream. What the client still
 * sends is read and discarded until it closes its own side, for a limited time and number of bytes:
 * closing with unread input would reset the connection, and the client could lose the last
 * response. Nothing that is read from then on is sent on, so a request that crosses the close never
 * ran and its client can safely retry it.
 */
final class HalfClose {

    /** How long to wait for the client's close after it last sent something. */
    private static final long LINGER_TIMEOUT_MS = 1000;

    /** Input to discard before reading stops. */
    private static final long MAX_LINGER_BYTES = 1 << 20;

    /** How long a response may make no progress at all to a client. */
    static final long WRITE_STALL_TIMEOUT_MS = 5000;

    private final Channel channel;
    private ChannelFuture lastWrite;
    private long discardedBytes;

    HalfClose(Channel channel) {
        this.channel = channel;
    }

    /**
     * Starts closing. {@code written} is the last write that was issued; null if there was none.
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
     * Discards input. Beyond the limit reading stops, and further input stays on the client's side.
     */
    void discard(Object message) {
        discardedBytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (discardedBytes > MAX_LINGER_BYTES) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Whether the client has used up its time and the connection is to be closed completely.
     *
     * @param idleMs time since the client last accepted or sent something
     * @param readingMs how much of that time it may have read what was written before
     */
    boolean hasExpired(long idleMs, long readingMs) {
        return idleMs >= (isWriteDone() ? LINGER_TIMEOUT_MS : WRITE_STALL_TIMEOUT_MS + readingMs);
    }

    /** Whether everything issued has been written, or failed to be. */
    boolean isWriteDone() {
        return lastWrite == null || lastWrite.isDone();
    }

    /**
     * Resets the connection. For a response that is delimited only by the end of the connection, a
     * reset is the only way to tell the client that it is truncated.
     */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
