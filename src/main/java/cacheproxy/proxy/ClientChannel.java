package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's socket that can be asked, at any moment and without the loop's next look, whether its
 * client has left. What lies unread before an end is read ahead for that and handed on in its order
 * when reading goes on; so much is held for one connection and for all of a listener. An end behind
 * more than that is found when what is before it has been handed on.
 */
final class ClientChannel extends NioSocketChannel {

    /** More than a system lets lie unread on a connection that nobody reads. */
    static final int MAX_READ_AHEAD_BYTES = 128 * 1024;

    private static final int MAX_TOTAL_READ_AHEAD_BYTES = 2 * 1024 * 1024;
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final Listener listener;

    /** What was read ahead and is not handed on yet; null where there is nothing. */
    private ByteBuf readAheadBuffer;

    private boolean deliveryScheduled;
    private boolean clientClosed;

    private ClientChannel(Listener listener, SocketChannel socket) {
        super(listener, socket);
        this.listener = listener;
    }

    /**
     * Whether the client has ended its half or reset the connection. Costs one read that does not
     * wait.
     */
    boolean hasClientClosed() {
        while (!clientClosed && canReadAhead()) {
            int read = readAhead();
            clientClosed = read < 0;
            if (read == 0) {
                break;
            }
        }
        scheduleDelivery();
        return clientClosed;
    }

    /**
     * Whether something lies unread: bytes, which are handed on to their handlers next, or an end.
     * Where it also serves a close that follows, nothing is left in the kernel for which the system
     * would reset the connection.
     */
    boolean hasUnreadInput() {
        return hasClientClosed() || readAheadBuffer != null;
    }

    private boolean canReadAhead() {
        return (readAheadBuffer == null || readAheadBuffer.readableBytes() < MAX_READ_AHEAD_BYTES)
                && listener.readAheadBytes < MAX_TOTAL_READ_AHEAD_BYTES;
    }

    /** Bytes that were read, and below 0 at an end or where the connection broke. */
    private int readAhead() {
        ByteBuffer scratch = listener.scratch.clear();
        try {
            int read = javaChannel().read(scratch);
            if (read > 0) {
                readAheadBuffer =
                        readAheadBuffer == null ? alloc().heapBuffer(read) : readAheadBuffer;
                readAheadBuffer.writeBytes(scratch.flip());
                listener.readAheadBytes += read;
            }
            return read;
        } catch (IOException e) {
            return -1;
        }
    }

    /** Of what was read ahead the selector tells nothing. */
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
        super.doBeginRead();
        scheduleDelivery();
    }

    @Override
    protected int doReadBytes(ByteBuf target) throws Exception {
        if (readAheadBuffer == null) {
            return super.doReadBytes(target);
        }
        RecvByteBufAllocator.Handle allocHandle = unsafe().recvBufAllocHandle();
        int read = Math.min(target.writableBytes(), readAheadBuffer.readableBytes());
        allocHandle.attemptedBytesRead(read);
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

    @Override
    protected void doClose() throws Exception {
        clientClosed = true;
        releaseReadAhead();
        super.doClose();
    }

    /** Takes clients in, all on one loop. */
    static final class Listener extends NioServerSocketChannel {
        private final ByteBuffer scratch = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

        /** Bytes read ahead on all of its connections. */
        private int readAheadBytes;

        Listener() {}

        /** Over a socket that listens already. */
        Listener(ServerSocketChannel boundSocket) {
            super(boundSocket);
        }

        /**
         * Accepts connections until none waits, {@code most} were accepted or accepting fails; they
         * are registered when this returns. What still waits when a listener closes is reset by the
         * system.
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
                // It can't be set up, which is no fault of the listener's: passed on, this would
                // close it.
                socket.close();
                return 0;
            }
        }
    }
}
