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

    private final Channel client;
    private final Queue<HttpContent> early = new ArrayDeque<>();
    private Channel node;
    private Runnable sent;
    private Runnable whenEnded = () -> {};
    private boolean ended;
    private boolean over;
    private long bytes;

    /** {@code client} is where it comes from. */
    Upload(Channel client) {
        this.client = client;
        client.config().setAutoRead(false);
    }

    /** One more part; this owns it. */
    void part(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        bytes += part.content().readableBytes();
        if (last && !ended) {
            ended = true;
            // Nothing is held back any more, and a client that leaves has to be seen.
            client.config().setAutoRead(true);
            whenEnded.run();
        }
        if (over) {
            part.release();
        } else if (node == null) {
            early.add(part);
        } else {
            write(part);
            flow();
        }
    }

    /** Runs once all of it has come. */
    void whenEnded(Runnable runs) {
        whenEnded = runs;
        if (ended) {
            runs.run();
        }
    }

    /** Bytes that have come. */
    long bytes() {
        return bytes;
    }

    /** Whether all of it has come. */
    boolean ended() {
        return ended;
    }

    /** Whether it has been used up, wholly or in part. */
    boolean taken() {
        return node != null || over;
    }

    /** Whether the client is the one that is waited for. */
    boolean waitsForClient() {
        return !ended && client.config().isAutoRead();
    }

    /**
     * Flows to a node's connection, behind the request's head; {@code whenSent} runs once its last
     * byte is written.
     */
    void take(Channel to, Runnable whenSent) {
        node = to;
        sent = whenSent;
        for (HttpContent part = early.poll(); part != null; part = early.poll()) {
            write(part);
        }
        flow();
    }

    private void write(HttpContent part) {
        boolean last = part instanceof LastHttpContent;
        node.writeAndFlush(part)
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                node.close();
                            } else if (last) {
                                sent.run();
                            }
                        });
    }

    /** Reads on from the client as far as the node's connection takes it. */
    void flow() {
        if (!ended && !over && node != null) {
            client.config().setAutoRead(node.isWritable());
        }
    }

    /** Nobody wants the rest: it is dropped as it comes. */
    void drop() {
        if (!over) {
            over = true;
            early.forEach(HttpContent::release);
            early.clear();
            client.config().setAutoRead(true);
        }
    }
}
