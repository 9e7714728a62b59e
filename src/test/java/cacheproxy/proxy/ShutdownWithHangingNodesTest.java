package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A real process gets SIGTERM while its cache node hangs, and goes on hanging until the process has
 * ended by itself.
 */
class ShutdownWithHangingNodesTest {

    private static final int PATIENCE_S = 120;
    private static final int CLIENTS = 8;

    /**
     * The last answers are owed the deadline and so much after the signal, as SIGKILL comes then.
     */
    private static final long KILL_MS = 700;

    /**
     * For a machine that is busy; requests of clients that wait for long would be open for ten
     * times as long.
     */
    private static final long SLACK_MS = 6000;

    private static final long BETWEEN_REQUESTS_MS = 5;
    private static final String HEARTBEAT =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

    @TempDir private Path folder;
    private SilentNode node;
    private ServeProcess serve;
    private final AtomicLong answers = new AtomicLong();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();

    /** In nanoseconds. */
    private final AtomicLong lastAnswer = new AtomicLong();

    @BeforeEach
    void start() throws Exception {
        node = new SilentNode(true);
    }

    @AfterEach
    void stop() throws Exception {
        if (serve != null) {
            serve.close();
        }
        node.close();
    }

    private void startServing(double deadlineMs) throws Exception {
        Site site = new Site();
        site.hosts = new String[] {Site.host("c0", node.dial(), "up", 0)};
        site.settings =
                Site.SETTINGS
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": " + deadlineMs)
                        .replace("\"max_open\": 4", "\"max_open\": 64");
        serve = new ServeProcess(folder, site, List.of());
        serve.site.discovery.next().wire().write(HEARTBEAT);
        serve.untilUp();
    }

    private static String get(String id, double budgetMs) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: "
                + budgetMs / 1e3
                + "\r\n\r\n";
    }

    /**
     * Asks again and again until its connection ends, behind a last answer or between two requests.
     */
    private void askUntilTheEnd(int client, double budgetMs) {
        try (Peer.Wire wire = serve.client()) {
            boolean last = false;
            for (int i = 0; !last; i++) {
                String id = "c" + client + "r" + i;
                wire.write(get(id, budgetMs));
                String answer = wire.read();
                if (answer != null) {
                    answered.add(id);
                    answers.incrementAndGet();
                    lastAnswer.accumulateAndGet(System.nanoTime(), Math::max);
                }
                // Without an answer it crossed the end of a connection at rest: the tally shows
                // whether it was taken.
                last =
                        answer == null
                                || "close"
                                        .equals(
                                                new Peer.Message(answer, wire)
                                                        .header("Connection"));
                TimeUnit.MILLISECONDS.sleep(BETWEEN_REQUESTS_MS);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Half of the clients wait for the deadline, the others for far longer than the process may
     * take.
     */
    private List<CompletableFuture<Void>> startAsking(double deadlineMs) {
        List<CompletableFuture<Void>> asking = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            double budgetMs =
                    i % 2 == 0 ? deadlineMs : TimeUnit.SECONDS.toMillis((long) Site.LONG_S);
            asking.add(
                    CompletableFuture.runAsync(
                            () -> askUntilTheEnd(client, budgetMs),
                            run -> new Thread(run, "client").start()));
        }
        return asking;
    }

    private static void awaitAtLeast(int count, LongSupplier counter) throws InterruptedException {
        long began = System.nanoTime();
        while (counter.getAsLong() < count) {
            assertTrue(
                    System.nanoTime() - began < TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S),
                    "no more than " + counter.getAsLong());
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static long field(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    @ParameterizedTest
    @ValueSource(doubles = {300, 600, 1200})
    @Timeout(PATIENCE_S)
    void everyRequestThatWasTakenIsAnsweredBeforeTheProcessEndsByItself(double deadlineMs)
            throws Exception {
        startServing(deadlineMs);
        List<CompletableFuture<Void>> asking = startAsking(deadlineMs);
        awaitAtLeast(2 * CLIENTS, answers::get);
        node.hang();
        awaitAtLeast(CLIENTS, node::unanswered);
        long began = System.nanoTime();
        serve.signal("TERM");
        for (CompletableFuture<Void> each : asking) {
            each.get();
        }
        List<String> log = serve.ended();
        String tally =
                log.stream()
                        .filter(l -> l.contains(" tally "))
                        .reduce((before, last) -> last)
                        .orElseThrow();
        long taken = field(tally, "requests");
        assertEquals(0, field(tally, "gone") + field(tally, "owed"), tally);
        assertEquals(
                taken,
                field(tally, "served") + field(tally, "refused") + field(tally, "failed"),
                tally);
        assertTrue(
                answers.get() >= taken,
                answers.get() + " answers came to " + taken + " requests that were taken");
        long tookMs = TimeUnit.NANOSECONDS.toMillis(lastAnswer.get() - began);
        assertTrue(
                tookMs < deadlineMs + KILL_MS + SLACK_MS,
                "the last answer came " + tookMs + " ms after the signal");
        for (Peer.Message request : node.requestsOnceAllAreClosed()) {
            String id = request.header("X-Call-Id");
            assertTrue(answered.contains(id), id + " was begun at the node and never answered");
        }
    }
}
