package cacheproxy.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.internal.PlatformDependent;

/**
 * How much of a long message a connection reads at once and buffers for writing. Reading pauses
 * when the other side's connection buffers that much, so the two, times the number of connections,
 * bound the direct memory that all long messages take together.
 *
 * @param readBytes largest single read
 * @param writeBytes bytes waiting to be written from which on a connection counts as full
 */
record BufferLimits(int readBytes, int writeBytes) {

    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int MIN_READ_BYTES = 2048;
    private static final int MAX_WRITE_BYTES = 32 * 1024;

    /** Initial size of a single read. */
    private static final int INITIAL_READ_BYTES = 2048;

    private static final int SMALLEST_READ_BUFFER_BYTES = 64;

    /** At most one in this many bytes of direct memory is planned for long messages. */
    private static final int DIRECT_MEMORY_DIVISOR = 4;

    /** The limits where up to this many connections carry messages in one direction. */
    static BufferLimits forConnections(int connections) {
        long bytes =
                PlatformDependent.maxDirectMemory()
                        / DIRECT_MEMORY_DIVISOR
                        / Math.max(1, connections);
        int readBytes =
                (int) Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, Long.highestOneBit(bytes)));
        return new BufferLimits(
                readBytes, (int) Math.max(MIN_READ_BYTES, Math.min(MAX_WRITE_BYTES, bytes)));
    }

    Bootstrap applyTo(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .option(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator());
    }

    ServerBootstrap applyTo(ServerBootstrap bootstrap) {
        return bootstrap
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, receiveBufferAllocator());
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(writeBytes / 2, writeBytes);
    }

    private AdaptiveRecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(
                SMALLEST_READ_BUFFER_BYTES, Math.min(INITIAL_READ_BYTES, readBytes), readBytes);
    }
}
