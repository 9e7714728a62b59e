package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The memory for message bodies that are aggregated, shared by all connections of a proxy. Bodies
 * are copied into heap buffers that grow with what has arrived: a read buffer would stay allocated
 * as a whole, however few bytes of it belong to a body, and direct memory is limited far more
 * tightly than the heap. The buffers are pooled, because a body that arrives slowly outlives the
 * young generation, so that each unpooled one would add to the work of a full collection. A buffer
 * counts until its last reference is released. Confined to one event loop.
 */
final class BodyMemory {

    /**
     * At most one in this many bytes of the heap is used for bodies; the rest is left to the
     * requests in flight and the decision module.
     */
    private static final int HEAP_DIVISOR = 4;

    /** At most one in this many bytes of the limit is used for bodies that are streamed. */
    private static final int STREAMED_DIVISOR = 2;

    private static final int PAGE_BYTES = 8192;

    /**
     * Chunks of the pool have {@link #PAGE_BYTES} shifted by this: 256 KiB, or four long bodies.
     */
    private static final int CHUNK_ORDER = 5;

    private final PooledByteBufAllocator allocator =
            new PooledByteBufAllocator(
                    false,
                    1,
                    0,
                    PAGE_BYTES,
                    CHUNK_ORDER,
                    PooledByteBufAllocator.defaultSmallCacheSize(),
                    PooledByteBufAllocator.defaultNormalCacheSize(),
                    false);
    private final long limitBytes;

    /** Creates the memory of a proxy, with a limit that follows from the size of the heap. */
    BodyMemory() {
        this(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Appends a copy of {@code part}, of which no reference is taken or released.
     *
     * @param body the body so far, or {@link Unpooled#EMPTY_BUFFER}
     * @param maxBodyBytes length that the body can't exceed
     * @return the body with the part, or null if the limit is reached; {@code body} is then
     *     unchanged
     */
    ByteBuf append(ByteBuf body, ByteBuf part, int maxBodyBytes) {
        int length = body.readableBytes() + part.readableBytes();
        if (length == body.readableBytes()) {
            return body;
        }
        if (body.capacity() == 0) {
            return isAvailable(length)
                    ? allocator.heapBuffer(length, maxBodyBytes).writeBytes(part.duplicate())
                    : null;
        }
        if (length > body.capacity()
                && !isAvailable(allocator.calculateNewCapacity(length, maxBodyBytes))) {
            return null;
        }
        return body.writeBytes(part.duplicate());
    }

    /**
     * Whether more of bodies that are streamed may be queued. They get a part of the memory only,
     * as short bodies have to be aggregated beside them.
     */
    boolean hasStreamingCapacity() {
        return usedBytes() < limitBytes / STREAMED_DIVISOR;
    }

    private boolean isAvailable(int bytes) {
        return usedBytes() + bytes <= limitBytes;
    }

    /** Number of bytes in use. */
    long usedBytes() {
        return allocator.pinnedHeapMemory();
    }
}
