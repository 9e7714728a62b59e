package cacheproxy.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A cache node that reads every request and answers none, or answers each until {@link #hang}. */
final class SilentNode implements Closeable {

    /** Marks the last connection: every other connection to the node was accepted before it. */
    private static final String LAST_REQUEST = "LAST / HTTP/1.1\r\n\r\n";

    private final TestServer server = new TestServer();
    private final List<TestServer.Message> requests = new ArrayList<>();
    private final CountDownLatch allClosed = new CountDownLatch(1);
    private final boolean respondsInitially;
    private volatile boolean hanging;
    private int unansweredCount;
    private int closedCount;
    private int connectionCount = Integer.MAX_VALUE;

    SilentNode(boolean respondsInitially) throws IOException {
        this.respondsInitially = respondsInitially;
        Thread reader = new Thread(this::handleMessages, "silent-node");
        reader.setDaemon(true);
        reader.start();
    }

    String dial() {
        return server.dial();
    }

    /** Stops answering requests. */
    void hang() {
        hanging = true;
    }

    /** Returns how many requests the node has read and not answered. */
    synchronized int unansweredCount() {
        return unansweredCount;
    }

    /**
     * Waits until the other side has closed each connection to the node, and returns all requests
     * that the node has ever read.
     */
    List<TestServer.Message> requestsAfterAllConnectionsClosed()
            throws IOException, InterruptedException {
        try (TestServer.Connection last = TestServer.connect(server.address())) {
            last.write(LAST_REQUEST);
        }
        if (!allClosed.await(TestServer.TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("a connection to the node stays open");
        }
        synchronized (this) {
            return List.copyOf(requests);
        }
    }

    private void handleMessages() {
        while (true) {
            try {
                handle(server.await());
            } catch (IOException e) {
                // The other side has closed the connection before the response.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void handle(TestServer.Message message) throws IOException {
        if (recordIfRequest(message) && respondsInitially && !hanging) {
            message.connection().respond(200, "v");
        }
    }

    /**
     * Records a message; returns false for the end of a connection and for the marker of the last
     * connection.
     */
    private synchronized boolean recordIfRequest(TestServer.Message message) {
        if (message.text() == null) {
            closedCount++;
        } else if (message.text().equals(LAST_REQUEST)) {
            connectionCount = message.connection().number() + 1;
        } else {
            requests.add(message);
            unansweredCount += respondsInitially && !hanging ? 0 : 1;
            return true;
        }
        if (closedCount == connectionCount) {
            allClosed.countDown();
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
