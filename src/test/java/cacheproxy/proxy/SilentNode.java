package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A cache node that reads every request and answers none, or answers each until it is told to hang.
 */
final class SilentNode implements Closeable {

    /** Recognised as the last connection: every connection to the node was accepted before it. */
    private static final String LAST = "LAST / HTTP/1.1\r\n\r\n";

    private final Peer peer = new Peer();
    private final List<Peer.Message> requests = new ArrayList<>();
    private final CountDownLatch allClosed = new CountDownLatch(1);
    private final boolean answersAtFirst;
    private volatile boolean hangs;
    private int unanswered;
    private int closed;
    private int connections = Integer.MAX_VALUE;

    SilentNode(boolean answersAtFirst) throws IOException {
        this.answersAtFirst = answersAtFirst;
        Thread reading = new Thread(this::read, "silent-node");
        reading.setDaemon(true);
        reading.start();
    }

    String dial() {
        return peer.dial();
    }

    /** From here on it answers nothing more. */
    void hang() {
        hangs = true;
    }

    /** Requests that it has read and not answered. */
    synchronized int unanswered() {
        return unanswered;
    }

    /**
     * All requests that it has ever read; waits until each connection to it has been closed by its
     * other side.
     */
    List<Peer.Message> requestsOnceAllAreClosed() throws IOException, InterruptedException {
        try (Peer.Wire last = Peer.connect(peer.address())) {
            last.write(LAST);
        }
        if (!allClosed.await(Peer.PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("a connection to the node stays open");
        }
        synchronized (this) {
            return List.copyOf(requests);
        }
    }

    private void read() {
        while (true) {
            try {
                take(peer.await());
            } catch (IOException e) {
                // The other side has given the request up.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void take(Peer.Message message) throws IOException {
        if (isRequest(message) && answersAtFirst && !hangs) {
            message.wire().answer(200, "v");
        }
    }

    /** Notes what has come; false for the end of a connection and for the mark of the last one. */
    private synchronized boolean isRequest(Peer.Message message) {
        if (message.text() == null) {
            closed++;
        } else if (message.text().equals(LAST)) {
            connections = message.wire().number() + 1;
        } else {
            requests.add(message);
            unanswered += answersAtFirst && !hangs ? 0 : 1;
            return true;
        }
        if (closed == connections) {
            allClosed.countDown();
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
