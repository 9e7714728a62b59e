package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Real signals to a real process: before its address opens, concurrently and repeatedly. */
class SignalsTest {

    private static final int TIMEOUT_S = 120;
    private static final List<String> IGNORING_HANGUP =
            List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    /** At least two polls of the configuration file. */
    private static final long TWO_POLLS_MS = 2 * ConfigFileWatch.POLL_INTERVAL_MS + 200;

    private static final int MOVES = 6;
    private static final long MOVE_INTERVAL_MS = 100;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir private Path temp;
    private ServeProcess serve;

    private void start() throws IOException {
        start(List.of());
    }

    /** Starts a proxy through a command that runs the appended command line, with JVM options. */
    private void start(List<String> command, String... options) throws IOException {
        serve = new ServeProcess(temp, command, options);
    }

    @AfterEach
    void stop() throws IOException {
        serve.close();
    }

    @Test
    @Timeout(TIMEOUT_S)
    void answersPendingRequestDespiteConcurrentRepeatedSignals() throws Exception {
        start();
        serve.site
                .discovery
                .next()
                .connection()
                .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        serve.awaitEvent("endpoint_list_loaded");
        TestServer.Connection client = null;
        while (client == null) {
            try {
                client = serve.client();
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        client.write(serve.site.get(ProxyFixture.LONG_BUDGET_S));
        TestServer.Message pending = serve.site.node.next();
        for (String name : List.of("HUP", "TERM", "HUP", "TERM", "HUP")) {
            serve.signal(name);
        }
        serve.awaitEvent("shutdown_started");
        pending.connection().respond(200, "v");
        assertEquals(200, ProxyFixture.status(client.read()));
        client.close();
        assertEquals(
                0,
                serve.awaitTermination().stream()
                        .filter(l -> l.contains(" shutdown_started"))
                        .count(),
                "the shutdown starts once");
    }

    /**
     * Discovery stays silent, so the start waits half a second before it opens the address. If the
     * machine is so busy that the signal arrives later, which the log shows, another process is
     * started.
     */
    @Test
    @Timeout(TIMEOUT_S)
    void neverOpensAddressIfTerminatedBefore() throws Exception {
        boolean early = false;
        while (!early) {
            start();
            serve.awaitEvent("endpoint_list_loaded");
            CompletableFuture<Boolean> opened = CompletableFuture.supplyAsync(this::acceptsClient);
            serve.signal("TERM");
            early =
                    serve.awaitTermination().stream()
                            .noneMatch(l -> l.contains(" initial_drain_state_timeout "));
            assertFalse(opened.get(TIMEOUT_S, TimeUnit.SECONDS) && early, "a client was accepted");
            stop();
        }
    }

    /** Without clients, the proxy becomes ready, opens one watch, and terminates on SIGTERM. */
    @Test
    @Timeout(TIMEOUT_S)
    void becomesReadyAndTerminatesWithoutClients() throws Exception {
        start();
        TestServer.Message watch = serve.site.discovery.next();
        watch.connection().write(HEAD + chunk(ProxyFixture.endpointList(8, false)));
        while (!serve.isUp()) {
            TimeUnit.MILLISECONDS.sleep(10);
            watch.connection().write(chunk(""));
        }
        serve.signal("TERM");
        serve.awaitTermination();
        assertNull(serve.site.discovery.next().text(), "its only watch is closed");
        assertTrue(serve.site.discovery.receivedNothing() && serve.site.node.receivedNothing());
    }

    /**
     * SIGTERM follows right after the move of discovery, and the new address then reports a drain:
     * requests on an open connection no longer go to that node. If the machine is so busy that the
     * process has terminated before, another one is started.
     */
    @Test
    @Timeout(TIMEOUT_S)
    void appliesDrainFromNewDiscoveryDuringShutdown() throws Exception {
        boolean reported = false;
        while (!reported) {
            start();
            serve.site.discovery.next().connection().write(HEAD + chunk(""));
            while (!serve.isUp()) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            try (TestServer next = new TestServer();
                    TestServer.Connection waiting = serve.client();
                    TestServer.Connection open = serve.client()) {
                waiting.write(serve.site.get(ProxyFixture.LONG_BUDGET_S));
                TestServer.Message pending = serve.site.node.next();
                Path config = temp.resolve("config.json");
                Files.writeString(
                        config,
                        Files.readString(config).replace(serve.site.discovery.dial(), next.dial()));
                serve.signal("HUP");
                serve.signal("TERM");
                reported = reportDrain(next) && serve.findEvent("endpoint_list_changed");
                if (reported) {
                    int status = statusOn(open);
                    assertTrue(
                            status == 503 || status == 429 || status == -1, "answered " + status);
                    assertTrue(
                            serve.site.node.receivedNothing(),
                            "a request was sent to the draining node");
                    pending.connection().respond(200, "v");
                    assertTrue(
                            ProxyFixture.status(waiting.read()) > 0,
                            "the pending request has no response");
                    serve.awaitTermination();
                    reported = status > 0;
                }
            }
            stop();
        }
    }

    /** Sends a request on an open connection; returns -1 if it has been closed. */
    private int statusOn(TestServer.Connection open) {
        try {
            open.write(serve.site.get(ProxyFixture.LONG_BUDGET_S));
            return ProxyFixture.status(open.read());
        } catch (IOException e) {
            return -1;
        }
    }

    /** Reports the drain to the next watch; returns false if the process ends without one. */
    private boolean reportDrain(TestServer discovery) throws Exception {
        while (serve.isAlive() && discovery.receivedNothing()) {
            Thread.onSpinWait();
        }
        if (discovery.receivedNothing()) {
            return false;
        }
        discovery
                .next()
                .connection()
                .write(
                        HEAD
                                + chunk(
                                        ProxyFixture.endpointList(
                                                1,
                                                true,
                                                ProxyFixture.host(
                                                        "c0",
                                                        serve.site.node.dial(),
                                                        "draining",
                                                        0))));
        return true;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private boolean acceptsClient() {
        while (serve.isAlive()) {
            try {
                serve.client().close();
                return true;
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
        return false;
    }

    @Test
    @Timeout(TIMEOUT_S)
    void reloadsOnFileChangeIfHangupIsIgnored() throws Exception {
        start(IGNORING_HANGUP);
        serve.site.discovery.next().connection().write(HEAD + chunk(""));
        serve.signal("HUP");
        try (TestServer next = new TestServer();
                TestServer last = new TestServer()) {
            String lastConfig = serve.configurationWithDiscovery(last);
            serve.configure(serve.configurationWithDiscovery(next));
            TestServer.Message watch = next.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            watch.connection().write(HEAD + chunk(""));
            serve.awaitEvent("signal_ignored");
            serve.awaitEvent("reloaded");
            serve.configure(lastConfig.substring(0, lastConfig.length() / 2));
            serve.awaitEvent("reload_rejected");
            TimeUnit.MILLISECONDS.sleep(TWO_POLLS_MS);
            serve.configure(lastConfig);
            last.next().connection().write(HEAD + chunk(""));
            serve.signal("TERM");
            List<String> rest = serve.awaitTermination();
            String text = String.join("\n", rest);
            assertEquals(1, rest.stream().filter(l -> l.contains(" reloaded ")).count(), text);
            assertFalse(text.contains(" reload_rejected "), text);
            assertFalse(text.contains(" signal_ignored "), text);
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void doesNotWatchFileIfHangupIsHandled() throws Exception {
        Path loaded = temp.resolve("loaded");
        start(List.of(), "-Xlog:class+load:file=" + loaded);
        serve.site.discovery.next().connection().write(HEAD + chunk(""));
        serve.awaitUp();
        try (TestServer next = new TestServer()) {
            serve.configure(serve.configurationWithDiscovery(next));
            TimeUnit.MILLISECONDS.sleep(TWO_POLLS_MS);
            assertTrue(next.receivedNothing(), "reloaded without a signal");
            serve.signal("HUP");
            next.next().connection().write(HEAD + chunk(""));
            serve.signal("TERM");
            assertFalse(
                    serve.awaitTermination().stream()
                            .anyMatch(l -> l.contains(" signal_ignored ")));
        }
        List<String> classes = Files.readAllLines(loaded);
        assertTrue(classes.stream().anyMatch(l -> l.contains(Service.class.getName())));
        assertFalse(classes.stream().anyMatch(l -> l.contains(ConfigFileWatch.class.getName())));
    }

    /** Moves discovery several times within a second, while a client sends requests. */
    @Test
    @Timeout(TIMEOUT_S)
    void quickMovesEndAtLastAddressAndLoseNoRequest() throws Exception {
        start();
        serve.site.discovery.next().connection().write(HEAD + chunk(""));
        serve.awaitUp();
        Thread node = new Thread(this::answerNodeRequests, "node");
        node.setDaemon(true);
        node.start();
        AtomicBoolean moved = new AtomicBoolean();
        CompletableFuture<List<Integer>> statusesLater =
                CompletableFuture.supplyAsync(() -> statusesUntil(moved));
        List<TestServer> addresses = new ArrayList<>();
        try {
            String first = serve.configuration();
            for (int i = 0; i < MOVES; i++) {
                TestServer next = new TestServer();
                addresses.add(next);
                serve.configure(first.replace(serve.site.discovery.dial(), next.dial()));
                serve.signal("HUP");
                TimeUnit.MILLISECONDS.sleep(MOVE_INTERVAL_MS);
            }
            TestServer last = addresses.remove(MOVES - 1);
            TestServer.Message watch = last.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            for (TestServer oldAddress : addresses) {
                reportDrainAtOldAddress(oldAddress);
            }
            // One more node than in the configuration, as an unchanged list is not logged again.
            watch.connection()
                    .write(
                            HEAD
                                    + chunk(
                                            ProxyFixture.endpointList(
                                                    3,
                                                    true,
                                                    ProxyFixture.host(
                                                            "c0", serve.site.node.dial(), "up", 0),
                                                    ProxyFixture.host(
                                                            "c1",
                                                            serve.site.node.dial(),
                                                            "up",
                                                            0))));
            String list = serve.findEventLine("endpoint_list_changed");
            assertTrue(list.contains(" version=3 node=c1 "), list);
            moved.set(true);
            List<Integer> statuses = statusesLater.get(TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(statuses.size() > MOVES, "too few requests: " + statuses);
            assertTrue(statuses.stream().allMatch(s -> s > 0), "lost: " + statuses);
            assertEquals(200, statuses.get(statuses.size() - 1), "the node receives requests");
            assertTrue(last.receivedNothing(), "more than one watch at the last address");
            last.close();
        } finally {
            for (TestServer address : addresses) {
                address.close();
            }
        }
        serve.signal("TERM");
        List<String> rest = serve.awaitTermination();
        assertFalse(
                rest.stream().anyMatch(l -> l.contains(" endpoint_list_changed ")),
                "an endpoint list of an old address was applied");
    }

    /** Answers every request to the node until the node closes. */
    private void answerNodeRequests() {
        try {
            while (true) {
                TestServer.Message request = serve.site.node.await();
                if (request.text() != null) {
                    request.connection().respond(200, "v");
                }
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    /** Sends requests one after another; returns their statuses, -1 for each without response. */
    private List<Integer> statusesUntil(AtomicBoolean end) {
        List<Integer> statuses = new ArrayList<>();
        boolean last = false;
        try (TestServer.Connection client = serve.client()) {
            while (!last) {
                last = end.get();
                client.write(serve.site.get(ProxyFixture.LONG_BUDGET_S));
                statuses.add(ProxyFixture.status(client.read()));
            }
        } catch (IOException e) {
            statuses.add(-1);
        }
        return statuses;
    }

    /** Reports a drain from an address that was left, to which no proxy may listen any more. */
    private void reportDrainAtOldAddress(TestServer oldAddress) throws InterruptedException {
        while (!oldAddress.receivedNothing()) {
            TestServer.Message watch = oldAddress.next();
            try {
                watch.connection()
                        .write(
                                HEAD
                                        + chunk(
                                                ProxyFixture.endpointList(
                                                        9,
                                                        true,
                                                        ProxyFixture.host(
                                                                "c0",
                                                                serve.site.node.dial(),
                                                                "draining",
                                                                0))));
            } catch (IOException e) {
                // The proxy closed this watch at the next move.
            }
        }
    }
}
