package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * SIGKILL follows SIGTERM after the longest deadline plus 0.7 s, which is soon if deadlines are
 * short; clients keep sending until then.
 */
class ShutdownWithShortDeadlinesTest {

    private static final int CLIENTS = 8;

    /** Time from the longest deadline after SIGTERM to SIGKILL. */
    private static final long KILL_DELAY_MS = 700;

    private static final long SHORT_DEADLINE_MS = 300;
    private static final long SLEEP_MS = 10;

    private final ProxyFixture fixture;

    /**
     * The largest delay of a sleeping thread in milliseconds, caused by the machine's load;
     * responses may be later by as much.
     */
    private final AtomicLong maxDelayMs = new AtomicLong();

    private final AtomicBoolean testEnded = new AtomicBoolean();

    /** When the last response arrived, as {@link System#nanoTime()}. */
    private final AtomicLong lastResponseNanos = new AtomicLong();

    private final AtomicLong responseCount = new AtomicLong();

    ShutdownWithShortDeadlinesTest() throws Exception {
        fixture = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        testEnded.set(true);
        fixture.close();
    }

    /** Every second request to a node gets no response: nodes hang throughout the shutdown. */
    private void startNode() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; !testEnded.get(); ) {
                                    TestServer.Message next = fixture.node.await();
                                    if (next.text() != null && i++ % 2 == 0) {
                                        next.connection().respond(200, "v");
                                    }
                                }
                            } catch (Exception e) {
                                return;
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void start(double deadlineMs) throws Exception {
        fixture.settings =
                ProxyFixture.SETTINGS
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": " + deadlineMs)
                        .replace("\"max_open\": 4", "\"max_open\": 64");
        fixture.start("automatic", "60000", "");
    }

    private void startDelayMeasurement() {
        Thread thread =
                new Thread(
                        () -> {
                            while (!testEnded.get()) {
                                long before = System.nanoTime();
                                try {
                                    TimeUnit.MILLISECONDS.sleep(SLEEP_MS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                long delayMs =
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before)
                                                - SLEEP_MS;
                                maxDelayMs.accumulateAndGet(delayMs, Math::max);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String get(String id, double deadlineMs) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: "
                + deadlineMs / 1e3
                + "\r\n\r\n";
    }

    /**
     * Sends one client's requests until its connection ends, which may be after a last response or
     * between two requests.
     */
    private void sendUntilClosed(int client, double deadlineMs) {
        try (TestServer.Connection connection = fixture.client()) {
            boolean last = false;
            for (int i = 0; !last; i++) {
                String id = "c" + client + "r" + i;
                connection.write(get(id, deadlineMs));
                String answer = connection.read();
                if (answer != null) {
                    responseCount.incrementAndGet();
                    lastResponseNanos.accumulateAndGet(System.nanoTime(), Math::max);
                    last =
                            "close"
                                    .equals(
                                            new TestServer.Message(answer, connection)
                                                    .header("Connection"));
                } else {
                    // The request crossed the close of an idle connection; a client would retry it
                    // elsewhere.
                    assertTrue(
                            new ArrayList<>(fixture.router.requests)
                                    .stream().noneMatch(r -> r.id().equals(id)),
                            id + " was read and not answered");
                    last = true;
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Its first half lies unread when the last responses are given, and the rest never arrives. */
    @Test
    @Timeout(TestServer.TIMEOUT_S)
    void partialRequestAtLastResponsesIsRejected() throws Exception {
        start(SHORT_DEADLINE_MS);
        EventLoopPause loopPause = EventLoopPause.atNextRequest(fixture);
        try (TestServer.Connection partial = fixture.client();
                TestServer.Connection pausing = fixture.client()) {
            pausing.write(get("holding", SHORT_DEADLINE_MS));
            loopPause.awaitPaused();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(fixture.service::shutDown);
            String request = get("begun", SHORT_DEADLINE_MS);
            partial.write(request.substring(0, request.length() / 2));
            TimeUnit.MILLISECONDS.sleep(SHORT_DEADLINE_MS + 2 * KILL_DELAY_MS);
            loopPause.resume();
            assertEquals(503, ProxyFixture.status(partial.read()));
            assertNull(partial.read());
            assertEquals(503, ProxyFixture.status(pausing.read()));
            drained.get();
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {300, 600, 1200})
    @Timeout(TestServer.TIMEOUT_S)
    void requestsOnOpenConnectionsAreAnsweredBeforeTheKill(double deadlineMs) throws Exception {
        start(deadlineMs);
        startNode();
        startDelayMeasurement();
        List<CompletableFuture<Void>> asking = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            asking.add(
                    CompletableFuture.runAsync(
                            () -> sendUntilClosed(client, deadlineMs),
                            run -> new Thread(run).start()));
        }
        while (responseCount.get() < CLIENTS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        long began = System.nanoTime();
        CompletableFuture<Void> drained = CompletableFuture.runAsync(fixture.service::shutDown);
        for (CompletableFuture<Void> each : asking) {
            each.get();
        }
        drained.get();
        long tookMs = TimeUnit.NANOSECONDS.toMillis(lastResponseNanos.get() - began);
        assertTrue(
                tookMs < deadlineMs + KILL_DELAY_MS + maxDelayMs.get(),
                "the last response came " + tookMs + " ms after the signal");
    }
}
