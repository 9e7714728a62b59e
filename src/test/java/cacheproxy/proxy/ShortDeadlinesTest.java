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
 * SIGKILL comes the longest deadline and 0.7 s after SIGTERM, so soon where deadlines are short;
 * until then clients send.
 */
class ShortDeadlinesTest {

    private static final int CLIENTS = 8;
    private static final long KILL_MS = 700;
    private static final long SHORT_MS = 300;
    private static final long STEP_MS = 10;

    private final Site site;

    /**
     * By how much the machine itself was late at most, in milliseconds: so much later the answers
     * may come.
     */
    private final AtomicLong lateMs = new AtomicLong();

    private final AtomicBoolean over = new AtomicBoolean();

    /** In nanoseconds. */
    private final AtomicLong lastAnswer = new AtomicLong();

    private final AtomicLong answers = new AtomicLong();

    ShortDeadlinesTest() throws Exception {
        site = new Site();
    }

    @AfterEach
    void stop() throws Exception {
        over.set(true);
        site.close();
    }

    /** Half of the nodes' answers never come: nodes hang through the whole of the shutdown. */
    private void play() {
        Thread playing =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; !over.get(); ) {
                                    Peer.Message next = site.node.await();
                                    if (next.text() != null && i++ % 2 == 0) {
                                        next.wire().answer(200, "v");
                                    }
                                }
                            } catch (Exception e) {
                                return;
                            }
                        });
        playing.setDaemon(true);
        playing.start();
    }

    private void start(double deadlineMs) throws Exception {
        site.settings =
                Site.SETTINGS
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": " + deadlineMs)
                        .replace("\"max_open\": 4", "\"max_open\": 64");
        site.start("automatic", "60000", "");
    }

    private void watchTheMachine() {
        Thread watching =
                new Thread(
                        () -> {
                            while (!over.get()) {
                                long before = System.nanoTime();
                                try {
                                    TimeUnit.MILLISECONDS.sleep(STEP_MS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                long late =
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - before)
                                                - STEP_MS;
                                lateMs.accumulateAndGet(late, Math::max);
                            }
                        });
        watching.setDaemon(true);
        watching.start();
    }

    private static String get(String id, double deadlineMs) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: "
                + deadlineMs / 1e3
                + "\r\n\r\n";
    }

    /**
     * One client: asks again and again until its connection ends, which it may do behind a last
     * answer or between two requests.
     */
    private void ask(int client, double deadlineMs) {
        try (Peer.Wire wire = site.client()) {
            boolean last = false;
            for (int i = 0; !last; i++) {
                String id = "c" + client + "r" + i;
                wire.write(get(id, deadlineMs));
                String answer = wire.read();
                if (answer != null) {
                    answers.incrementAndGet();
                    lastAnswer.accumulateAndGet(System.nanoTime(), Math::max);
                    last = "close".equals(new Peer.Message(answer, wire).header("Connection"));
                } else {
                    // It crossed the end of a connection at rest, so it is sent once more
                    // elsewhere.
                    assertTrue(
                            new ArrayList<>(site.router.requests)
                                    .stream().noneMatch(r -> r.id().equals(id)),
                            id + " was read and not answered");
                    last = true;
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Its bytes lie unread when the last answers are given, and the rest of it never comes. */
    @Test
    @Timeout(Peer.PATIENCE_S)
    void aRequestThatHasOnlyBegunToComeAtTheLastAnswersIsRefused() throws Exception {
        start(SHORT_MS);
        Held held = Held.atNextRequest(site);
        try (Peer.Wire begun = site.client();
                Peer.Wire holding = site.client()) {
            holding.write(get("holding", SHORT_MS));
            held.entered();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(site.service::drain);
            String request = get("begun", SHORT_MS);
            begun.write(request.substring(0, request.length() / 2));
            TimeUnit.MILLISECONDS.sleep(SHORT_MS + 2 * KILL_MS);
            held.release();
            assertEquals(503, Site.status(begun.read()));
            assertNull(begun.read());
            assertEquals(503, Site.status(holding.read()));
            drained.get();
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {300, 600, 1200})
    @Timeout(Peer.PATIENCE_S)
    void whatComesOnOpenConnectionsIsAnsweredBeforeTheKill(double deadlineMs) throws Exception {
        start(deadlineMs);
        play();
        watchTheMachine();
        List<CompletableFuture<Void>> asking = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            asking.add(
                    CompletableFuture.runAsync(
                            () -> ask(client, deadlineMs), run -> new Thread(run).start()));
        }
        while (answers.get() < CLIENTS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        long began = System.nanoTime();
        CompletableFuture<Void> drained = CompletableFuture.runAsync(site.service::drain);
        for (CompletableFuture<Void> each : asking) {
            each.get();
        }
        drained.get();
        long tookMs = TimeUnit.NANOSECONDS.toMillis(lastAnswer.get() - began);
        assertTrue(
                tookMs < deadlineMs + KILL_MS + lateMs.get(),
                "the last answer came " + tookMs + " ms after the signal");
    }
}
