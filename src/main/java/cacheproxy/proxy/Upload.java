package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The body of a request that is too long to be aggregated, on its way from the client's connection
 * to a node's. What the node's connection does not take yet is queued in memory, up to a limit, so
 * that the end of the body is seen soon after its client wrote it: its time counts from then.
 * Beyond the limit reading pauses. An upload can be sent only once: the first node that takes it
 * consumes it. All calls are made on the event loop.
 */
final class Upload {

    private static final int MEBIBYTE = 1024 * 1024;

    /** Most that is queued of one body. */
    private static final int MAX_QUEUED_BYTES = MEBIBYTE;

    private static final int PIECE_BYTES = 16 * 1024;

    /**
     * Most of a body that the kernel may hold unread: the default limit of a socket's send buffer
     * on Linux. A client of which more is missing can't have written its last byte.
     */
    private static final long MAX_KERNEL_BYTES = 4L * MEBIBYTE;

    private final Channel clientChannel;
    private final BodyMemory memory;

    /** Length of the body; negative if it is not known. */
    private final long length;

    private final Deque<ByteBuf> queued = new ArrayDeque<>();
    private int queuedBytes;
    private Channel nodeChannel;
    private Runnable onSent;
    private Runnable onComplete = () -> {};
    private boolean complete;
    private boolean lastPartWritten;

    /** Whether a part is being handed to the node's connection. */
    private boolean writing;

    private boolean discarding;
    private long receivedBytes;

    /** When the whole body had been received, in nanoseconds; 0 before. */
    private long completedNanos;

    /** The earliest time at which the client can have written the end of a complete body. */
    private long earliestEndNanos;

    /** When each further mebibyte had been received, in nanoseconds; first, when none had. */
    private final List<Long> mebibyteNanos = new ArrayList<>();

    /**
     * Creates an upload from the channel of a client.
     *
     * @param memory memory for what is queued
     * @param length length of the body, negative if it is not known
     */
    Upload(Channel client, BodyMemory memory, long length) {
        this.clientChannel = client;
        this.memory = memory;
        this.length = length;
        recordReceived();
        updateReading();
    }

    /** Adds a part of the body and takes ownership of it. */
    void addPart(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        receivedBytes += part.content().readableBytes();
        recordReceived();
        if (discarding) {
            part.release();
        } else if (!writing && isAcceptedAtOnce()) {
            lastPartWritten = last;
            write(part);
        } else {
            enqueue(part.content());
            part.release();
        }
        boolean completed = last && !complete;
        complete |= last;
        flush();
        if (completed) {
            completedNanos = System.nanoTime();
            earliestEndNanos = earliestEnd(completedNanos);
            onComplete.run();
        }
        updateReading();
    }

    /** Whether the node's connection takes a part as it is, without queueing it. */
    private boolean isAcceptedAtOnce() {
        return nodeChannel != null && queued.isEmpty() && nodeChannel.isWritable();
    }

    private void recordReceived() {
        while (mebibyteNanos.size() <= receivedBytes / MEBIBYTE) {
            mebibyteNanos.add(System.nanoTime());
        }
    }

    private void enqueue(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        queuedBytes += content.readableBytes();
        ByteBuf lastPiece = queued.peekLast();
        boolean fits =
                lastPiece != null
                        && lastPiece.maxCapacity() == PIECE_BYTES
                        && lastPiece.readableBytes() + content.readableBytes() <= PIECE_BYTES;
        ByteBuf piece =
                memory.append(
                        fits ? lastPiece : Unpooled.EMPTY_BUFFER,
                        content,
                        Math.max(PIECE_BYTES, content.readableBytes()));
        if (piece == null) {
            // No memory is left for a copy. Reading pauses, so this is one read at most.
            queued.add(content.retain());
        } else if (!fits) {
            queued.add(piece);
        }
    }

    /** Sets an action that runs once the whole body has been received. */
    void onComplete(Runnable action) {
        onComplete = action;
        if (complete) {
            action.run();
        }
    }

    /** Number of bytes received so far. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether the whole body has been received. */
    boolean isComplete() {
        return complete;
    }

    /** Whether the body has been consumed or discarded, wholly or in part. */
    boolean isConsumed() {
        return nodeChannel != null || discarding;
    }

    /** Whether the upload is waiting for the client to send. */
    boolean isWaitingForClient() {
        return !complete && clientChannel.config().isAutoRead();
    }

    /**
     * The earliest time, as {@link System#nanoTime()}, at which the client can have written the
     * last byte of the body. Where reading was paused, that is long before the byte was received.
     */
    long earliestEndNanos() {
        return complete ? earliestEndNanos : earliestEnd(System.nanoTime());
    }

    /** The latest such time: when the last byte was received, or now. */
    long latestEndNanos() {
        return complete ? completedNanos : System.nanoTime();
    }

    private long earliestEnd(long now) {
        // The kernel held no more than its limit of what has been received since, or is missing.
        long minLength = Math.max(length, receivedBytes);
        int earliestMebibyte = (int) (Math.max(0, minLength - MAX_KERNEL_BYTES) / MEBIBYTE);
        if (earliestMebibyte >= mebibyteNanos.size()
                || !(clientChannel instanceof ClientChannel socket)) {
            return now;
        }
        long drainedNanos = drainedNanos(socket, now);
        long inKernelNanos = mebibyteNanos.get(earliestMebibyte);
        return drainedNanos - inKernelNanos > 0 ? drainedNanos : inKernelNanos;
    }

    /** A time at which the client had not written the end of the body yet. */
    private long drainedNanos(ClientChannel socket, long now) {
        if (complete) {
            return socket.earliestSentNanos();
        }
        return isWaitingForClient() && socket.isDrained() ? now : socket.lastDrainedNanos();
    }

    /**
     * Sends the body to a node's connection after the request's head; {@code whenSent} runs once
     * the last byte is written.
     */
    void sendTo(Channel target, Runnable whenSent) {
        nodeChannel = target;
        onSent = whenSent;
        continueSending();
    }

    /** Sends what the node's connection accepts now, and reads on accordingly. */
    void continueSending() {
        flush();
        updateReading();
    }

    /**
     * Writes what the node's connection accepts now. It reports changes of its writability from
     * inside a write, where its encoder can't take another part; the write in progress is followed
     * by the rest.
     */
    private void flush() {
        if (nodeChannel == null || discarding || writing) {
            return;
        }
        while (!queued.isEmpty() && nodeChannel.isWritable()) {
            ByteBuf piece = queued.poll();
            queuedBytes -= piece.readableBytes();
            write(new DefaultHttpContent(piece));
        }
        if (queued.isEmpty() && complete && !lastPartWritten) {
            lastPartWritten = true;
            write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }

    private void write(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        writing = true;
        ChannelFuture write = nodeChannel.writeAndFlush(part);
        writing = false;
        write.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        nodeChannel.close();
                    } else if (last) {
                        onSent.run();
                    }
                });
    }

    /**
     * Reads from the client while more can be passed on or queued. Without a body to come reading
     * goes on, as a client that disconnects has to be noticed.
     */
    private void updateReading() {
        boolean hasCapacity = queuedBytes < MAX_QUEUED_BYTES && memory.hasStreamingCapacity();
        clientChannel
                .config()
                .setAutoRead(complete || discarding || isAcceptedAtOnce() || hasCapacity);
    }

    /** Discards the rest of the body as it arrives, as no node needs it. */
    void discard() {
        if (!discarding) {
            discarding = true;
            queued.forEach(ByteBuf::release);
            queued.clear();
            queuedBytes = 0;
            clientChannel.config().setAutoRead(true);
        }
    }
}
