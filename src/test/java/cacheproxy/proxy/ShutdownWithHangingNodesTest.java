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
 * A real process receives SIGTERM while its cache node hangs; the node hangs until the process has
 * terminated.
 */
class ShutdownWithHangingNodesTest {

    private static final int TIMEOUT_S = 120;
    private static final int CLIENTS = 8;

    /** SIGKILL follows SIGTERM after the deadline plus this time; the final responses are due. */
    private static final long SIGKILL_DELAY_MS = 700;

    /**
     * Allowance for a busy machine. Without the final responses at shutdown, the requests of the
     * clients with long deadlines would stay open ten times as long.
     */
    private static final long SLACK_MS = 6000;

    private static final long REQUEST_INTERVAL_MS = 5;
    private static final String HEARTBEAT =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

    @TempDir private Path folder;
    private SilentNode node;
    private ServeProcess serve;
    private final AtomicLong responseCount = new AtomicLong();
    private final Set<String> answeredIds = ConcurrentHashMap.newKeySet();

    /** In nanoseconds. */
    private final AtomicLong lastResponseNanos = new AtomicLong();

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
        ProxyFixture site = new ProxyFixture();
        site.hosts = new String[] {ProxyFixture.host("c0", node.dial(), "up", 0)};
        site.settings =
                ProxyFixture.SETTINGS
                        .replace("\"deadline_ms\": 1500", "\"deadline_ms\": " + deadlineMs)
                        .replace("\"max_open\": 4", "\"max_open\": 64");
        serve = new ServeProcess(folder, site, List.of());
        serve.site.discovery.next().connection().write(HEARTBEAT);
        serve.awaitUp();
    }

    private static String get(String id, double budgetMs) {
        return "GET /api/k1 HTTP/1.1\r\nHost: s\r\nX-Call-Id: "
                + id
                + "\r\nX-Call-Class: read\r\nX-Budget: "
                + budgetMs / 1e3
                + "\r\n\r\n";
    }

    /** Sends requests until the connection ends, after a last response or between two requests. */
    private void sendUntilClosed(int client, double budgetMs) {
        try (TestServer.Connection wire = serve.client()) {
            boolean last = false;
            for (int i = 0; !last; i++) {
                String id = "c" + client + "r" + i;
                wire.write(get(id, budgetMs));
                String answer = wire.read();
                if (answer != null) {
                    answeredIds.add(id);
                    responseCount.incrementAndGet();
                    lastResponseNanos.accumulateAndGet(System.nanoTime(), Math::max);
                }
                // Without a response, the request arrived while the idle connection was being
                // closed; the tally shows whether the proxy accepted it.
                last =
                        answer == null
                                || "close"
                                        .equals(
                                                new TestServer.Message(answer, wire)
                                                        .header("Connection"));
                TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
            }
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Half of the clients wait for the deadline, the others far longer than the process may run.
     */
    private List<CompletableFuture<Void>> startClients(double deadlineMs) {
        List<CompletableFuture<Void>> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            double budgetMs =
                    i % 2 == 0
                            ? deadlineMs
                            : TimeUnit.SECONDS.toMillis((long) ProxyFixture.LONG_BUDGET_S);
            clients.add(
                    CompletableFuture.runAsync(
                            () -> sendUntilClosed(client, budgetMs),
                            run -> new Thread(run, "client").start()));
        }
        return clients;
    }

    private static void awaitAtLeast(int count, LongSupplier counter) throws InterruptedException {
        long startNanos = System.nanoTime();
        while (counter.getAsLong() < count) {
            assertTrue(
                    System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(TestServer.TIMEOUT_S),
                    "only " + counter.getAsLong());
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static long field(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    @ParameterizedTest
    @ValueSource(doubles = {300, 600, 1200})
    @Timeout(TIMEOUT_S)
    void answersEveryAcceptedRequestBeforeTermination(double deadlineMs) throws Exception {
        startServing(deadlineMs);
        List<CompletableFuture<Void>> clients = startClients(deadlineMs);
        awaitAtLeast(2 * CLIENTS, responseCount::get);
        node.hang();
        awaitAtLeast(CLIENTS, node::unansweredCount);
        long signalNanos = System.nanoTime();
        serve.signal("TERM");
        for (CompletableFuture<Void> each : clients) {
            each.get();
        }
        List<String> log = serve.awaitTermination();
        String tally =
                log.stream()
                        .filter(l -> l.contains(" tally "))
                        .reduce((before, last) -> last)
                        .orElseThrow();
        long accepted = field(tally, "requests");
        assertEquals(0, field(tally, "gone") + field(tally, "owed"), tally);
        assertEquals(
                accepted,
                field(tally, "served") + field(tally, "refused") + field(tally, "failed"),
                tally);
        assertTrue(
                responseCount.get() >= accepted,
                responseCount.get() + " responses to " + accepted + " accepted requests");
        long tookMs = TimeUnit.NANOSECONDS.toMillis(lastResponseNanos.get() - signalNanos);
        assertTrue(
                tookMs < deadlineMs + SIGKILL_DELAY_MS + SLACK_MS,
                "the last response came " + tookMs + " ms after the signal");
        for (TestServer.Message request : node.requestsAfterAllConnectionsClosed()) {
            String id = request.header("X-Call-Id");
            assertTrue(answeredIds.contains(id), id + " was sent to the node and never answered");
        }
    }
}
