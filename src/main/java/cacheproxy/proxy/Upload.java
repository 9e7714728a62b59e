package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The body of a request that is too long to be aggregated, on its way from the client's connection
 * to a node's. Nothing is read from the client until a node's connection takes the upload; from
 * then on reading is no faster than the node's connection accepts the bytes. An upload can be sent
 * only once: the first node that takes it consumes it. All calls are made on the event loop.
 */
final class Upload {

    private final Channel clientChannel;
    private final Queue<HttpContent> buffered = new ArrayDeque<>();
    private Channel nodeChannel;
    private Runnable onSent;
    private Runnable onComplete = () -> {};
    private boolean complete;
    private boolean discarding;
    private long receivedBytes;

    /** Creates an upload from the channel of a client and stops reading from it. */
    Upload(Channel client) {
        this.clientChannel = client;
        client.config().setAutoRead(false);
    }

    /** Adds a part of the body and takes ownership of it. */
    void addPart(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        receivedBytes += part.content().readableBytes();
        if (last && !complete) {
            complete = true;
            // Backpressure is no longer needed, and a client that disconnects has to be noticed.
            clientChannel.config().setAutoRead(true);
            onComplete.run();
        }
        if (discarding) {
            part.release();
        } else if (nodeChannel == null) {
            buffered.add(part);
        } else {
            write(part);
            updateReading();
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
     * Sends the body to a node's connection after the request's head; {@code whenSent} runs once
     * the last byte is written.
     */
    void sendTo(Channel target, Runnable whenSent) {
        nodeChannel = target;
        onSent = whenSent;
        for (HttpContent part = buffered.poll(); part != null; part = buffered.poll()) {
            write(part);
        }
        updateReading();
    }

    private void write(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        nodeChannel
                .writeAndFlush(part)
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                nodeChannel.close();
                            } else if (last) {
                                onSent.run();
                            }
                        });
    }

    /** Reads from the client as long as the node's connection accepts more. */
    void updateReading() {
        if (!complete && !discarding && nodeChannel != null) {
            clientChannel.config().setAutoRead(nodeChannel.isWritable());
        }
    }

    /** Discards the rest of the body as it arrives, as no node needs it. */
    void discard() {
        if (!discarding) {
            discarding = true;
            buffered.forEach(HttpContent::release);
            buffered.clear();
            clientChannel.config().setAutoRead(true);
        }
    }
}
