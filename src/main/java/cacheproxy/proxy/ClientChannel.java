package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A client's socket that can report at any moment, without waiting for the next select, whether the
 * client has disconnected. To find out it reads ahead what lies unread before the end of the
 * stream; those bytes are delivered in order when reading continues. The read-ahead is bounded for
 * each connection and for all connections of a listener. An end of stream behind more unread bytes
 * than that is found once the bytes before it have been delivered.
 */
final class ClientChannel extends NioSocketChannel {

    /**
     * Read-ahead limit of one connection; more than the kernel buffers for a connection that is not
     * read.
     */
    static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

    private static final int MAX_TOTAL_READ_AHEAD_BYTES = 2 * 1024 * 1024;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /**
     * Most that is read in one turn of the event loop while no long body is expected: some hundred
     * of the shortest requests.
     */
    private static final int MAX_HEAD_READ_BYTES = 2048;

    /**
     * Most input that is discarded at once to find the end of the stream. More than the kernel
     * buffers for a connection on both sides, so a client that sends more is still there.
     */
    private static final int MAX_DISCARDED_BYTES = 16 * 1024 * 1024;

    /**
     * Time after reading was resumed during which an empty receive buffer does not tell that the
     * client has nothing left to send: its kernel may still be sending what it holds.
     */
    private static final long RESUME_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** What is known about whether the client is still there. */
    enum Presence {
        /** The client has not closed its side. */
        CONNECTED,

        /** The client has closed its side or reset the connection. */
        CLOSED,

        /** More input is unread than may be read ahead; an end of the stream may lie behind it. */
        UNKNOWN
    }

    private final Listener listener;

    /** Bytes that were read ahead and not delivered yet; null if there are none. */
    private ByteBuf readAheadBuffer;

    /** Whether the last read found less input than it asked for. */
    private boolean drained = true;

    /** When reading was last resumed after a pause, in nanoseconds. */
    private long resumedNanos = System.nanoTime();

    /** When the client was last known to have no unread input, in nanoseconds. */
    private long lastDrainedNanos = resumedNanos;

    /** {@link #lastDrainedNanos} when the latest input was read. */
    private long drainedBeforeLatestNanos = resumedNanos;

    /** Whether a long body is expected, which may be read as fast as it comes. */
    private boolean readsBody;

    /** Number of bytes that the kernel has taken for this client. */
    private long takenBytes;

    private boolean deliveryScheduled;
    private boolean clientClosed;

    private ClientChannel(Listener listener, SocketChannel socket) {
        super(listener, socket);
        this.listener = listener;
    }

    /**
     * Whether the client has closed its side or reset the connection. Reads ahead without blocking.
     */
    boolean hasClientClosed() {
        return presence() == Presence.CLOSED;
    }

    /** What can be told about the client without giving up input. Reads ahead without blocking. */
    Presence presence() {
        boolean empty = false;
        while (!clientClosed && !empty && canReadAhead()) {
            int read = readAhead();
            clientClosed = read < 0;
            empty = read == 0;
        }
        scheduleDelivery();
        return presence(empty);
    }

    /**
     * Discards the input that has arrived, which tells whether the client is there unless it sends
     * without end. To be called when no more input is wanted.
     */
    Presence discardInput() {
        releaseReadAhead();
        boolean empty = false;
        int discardedBytes = 0;
        while (!clientClosed && !empty && discardedBytes < MAX_DISCARDED_BYTES) {
            int read = readScratch();
            clientClosed = read < 0;
            empty = read == 0;
            discardedBytes += Math.max(0, read);
        }
        return presence(empty || discardedBytes >= MAX_DISCARDED_BYTES);
    }

    private Presence presence(boolean seenConnected) {
        if (clientClosed) {
            return Presence.CLOSED;
        }
        return seenConnected ? Presence.CONNECTED : Presence.UNKNOWN;
    }

    /**
     * Whether there is unread input: bytes, which are delivered to the handlers next, or the end of
     * the stream. Called before a close it also empties the kernel's receive buffer (up to the
     * read-ahead limits), as closing with unread input would reset the connection.
     */
    boolean hasUnreadInput() {
        return hasClientClosed() || readAheadBuffer != null;
    }

    /**
     * Sets whether a long body is expected. Otherwise one turn of the event loop takes only a few
     * requests from this connection, so that other connections get theirs.
     */
    void setReadsBody(boolean enabled) {
        readsBody = enabled;
    }

    /** Whether the client has no unread input now, as far as can be told while it is read from. */
    boolean isDrained() {
        return drained && readAheadBuffer == null && isSettled(System.nanoTime());
    }

    /**
     * When the client was last known to have no unread input, as {@link System#nanoTime()}. All
     * that is still unread was sent after that.
     */
    long lastDrainedNanos() {
        return lastDrainedNanos;
    }

    /** The earliest time at which the latest input that was read can have been sent. */
    long earliestSentNanos() {
        return drainedBeforeLatestNanos;
    }

    private void recordRead(int read, int maxBytes) {
        long now = System.nanoTime();
        if (read > 0) {
            recordDrained(now);
            drainedBeforeLatestNanos = lastDrainedNanos;
        }
        drained = read < maxBytes;
        recordDrained(now);
    }

    private void recordDrained(long now) {
        if (drained && isSettled(now)) {
            lastDrainedNanos = now;
        }
    }

    private boolean isSettled(long now) {
        return config().isAutoRead() && now - resumedNanos >= RESUME_SETTLE_NANOS;
    }

    private boolean canReadAhead() {
        return (readAheadBuffer == null || readAheadBuffer.readableBytes() < MAX_READ_AHEAD_BYTES)
                && listener.readAheadBytes < MAX_TOTAL_READ_AHEAD_BYTES;
    }

    /** Returns the number of bytes read; negative at the end of the stream or on an error. */
    private int readAhead() {
        int read = readScratch();
        if (read > 0) {
            readAheadBuffer = readAheadBuffer == null ? alloc().heapBuffer(read) : readAheadBuffer;
            readAheadBuffer.writeBytes(listener.scratch.flip());
            listener.readAheadBytes += read;
        }
        return read;
    }

    /** Reads into the shared buffer; negative at the end of the stream or on an error. */
    private int readScratch() {
        try {
            int read = javaChannel().read(listener.scratch.clear());
            recordRead(read, READ_BUFFER_BYTES);
            return read;
        } catch (IOException e) {
            return -1;
        }
    }

    /**
     * Schedules a read of the bytes that were read ahead, for which the selector reports no event.
     */
    private void scheduleDelivery() {
        if (readAheadBuffer != null && !deliveryScheduled && config().isAutoRead()) {
            deliveryScheduled = true;
            eventLoop()
                    .execute(
                            () -> {
                                deliveryScheduled = false;
                                if (readAheadBuffer != null && config().isAutoRead()) {
                                    unsafe().read();
                                }
                            });
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        SelectionKey key = selectionKey();
        if (key.isValid() && (key.interestOps() & SelectionKey.OP_READ) == 0) {
            resumedNanos = System.nanoTime();
        }
        super.doBeginRead();
        scheduleDelivery();
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        RecvByteBufAllocator.Handle allocHandle = unsafe().recvBufAllocHandle();
        int writable = target.writableBytes();
        int maxBytes = readsBody ? writable : Math.min(writable, MAX_HEAD_READ_BYTES);
        // The loop reads on only after a read that took all that was attempted.
        allocHandle.attemptedBytesRead(readsBody ? writable : writable + 1);
        if (readAheadBuffer == null) {
            int read = target.writeBytes(javaChannel(), maxBytes);
            recordRead(read, maxBytes);
            return read;
        }
        int read = Math.min(maxBytes, readAheadBuffer.readableBytes());
        target.writeBytes(readAheadBuffer, read);
        listener.readAheadBytes -= read;
        if (!readAheadBuffer.isReadable()) {
            releaseReadAhead();
        }
        return read;
    }

    private void releaseReadAhead() {
        if (readAheadBuffer != null) {
            listener.readAheadBytes -= readAheadBuffer.readableBytes();
            readAheadBuffer.release();
            readAheadBuffer = null;
        }
    }

    /** Number of bytes that the kernel has taken for this client, as far as can be told. */
    long takenBytes() {
        return takenBytes;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer outbound) throws Exception {
        long pendingBytes = pendingBytes(outbound);
        super.doWrite(outbound);
        takenBytes += Math.max(0, pendingBytes - pendingBytes(outbound));
    }

    private static long pendingBytes(ChannelOutboundBuffer outbound) {
        return outbound.totalPendingWriteBytes() - outbound.currentProgress();
    }

    @Override
    protected void doClose() throws Exception {
        clientClosed = true;
        releaseReadAhead();
        super.doClose();
    }

    /** Accepts clients, all on one event loop. */
    static final class Listener extends NioServerSocketChannel {
        private final ByteBuffer scratch = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

        /** Bytes read ahead on all of this listener's connections. */
        private int readAheadBytes;

        Listener() {}

        /** Uses a socket that listens already. */
        Listener(ServerSocketChannel boundSocket) {
            super(boundSocket);
        }

        /**
         * Accepts connections until the backlog is empty, {@code limit} were accepted or accepting
         * fails; they are registered when this returns. Connections still in the backlog when the
         * listener closes are reset by the kernel.
         */
        void acceptPending(int limit) {
            List<Object> accepted = new ArrayList<>();
            try {
                boolean more = true;
                while (more && accepted.size() < limit) {
                    more = doReadMessages(accepted) > 0;
                }
            } catch (Exception e) {
                pipeline().fireExceptionCaught(e);
            }
            accepted.forEach(pipeline()::fireChannelRead);
            pipeline().fireChannelReadComplete();
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            SocketChannel socket = javaChannel().accept();
            if (socket == null) {
                return 0;
            }
            try {
                accepted.add(new ClientChannel(this, socket));
                return 1;
            } catch (ChannelException e) {
                // The accepted socket can't be set up, which is not the listener's fault: if this
                // exception were passed on, it would close the listener.
                socket.close();
                return 0;
            }
        }
    }
}
