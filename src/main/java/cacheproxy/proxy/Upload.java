package cacheproxy.proxy;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * The body of a request that is too long to be gathered, on its way from the client's connection to
 * a node's. Until a node's connection takes it nothing is read from the client; from then on no
 * faster than the node reads. It flows once: whoever takes it uses it up. All calls are made on the
 * one event loop.
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

    /** {@code client} is where it comes from. */
    Upload(Channel client) {
        this.clientChannel = client;
        client.config().setAutoRead(false);
    }

    /** One more part; this owns it. */
    void addPart(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        receivedBytes += part.content().readableBytes();
        if (last && !complete) {
            complete = true;
            // Nothing is held back any more, and a client that leaves has to be seen.
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

    /** Runs once all of it has come. */
    void onComplete(Runnable action) {
        onComplete = action;
        if (complete) {
            action.run();
        }
    }

    /** Bytes that have come. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether all of it has come. */
    boolean isComplete() {
        return complete;
    }

    /** Whether it has been used up, wholly or in part. */
    boolean isConsumed() {
        return nodeChannel != null || discarding;
    }

    /** Whether the client is the one that is waited for. */
    boolean isWaitingForClient() {
        return !complete && clientChannel.config().isAutoRead();
    }

    /**
     * Flows to a node's connection, behind the request's head; {@code whenSent} runs once its last
     * byte is written.
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

    /** Reads on from the client as far as the node's connection takes it. */
    void updateReading() {
        if (!complete && !discarding && nodeChannel != null) {
            clientChannel.config().setAutoRead(nodeChannel.isWritable());
        }
    }

    /** Nobody wants the rest: it is dropped as it comes. */
    void discard() {
        if (!discarding) {
            discarding = true;
            buffered.forEach(HttpContent::release);
            buffered.clear();
            clientChannel.config().setAutoRead(true);
        }
    }
}
