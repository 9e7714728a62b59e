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

/** A real process and real signals: before its address is open, beside one another and twice. */
class SignalsTest {

    private static final int PATIENCE_S = 120;
    private static final List<String> HANGUP_IGNORED =
            List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh");

    /** Long enough for two looks at the file of the configuration. */
    private static final long TWO_LOOKS_MS = 2 * ConfigFileWatch.INTERVAL_MS + 200;

    private static final int MOVES = 6;
    private static final long BETWEEN_MOVES_MS = 100;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    @TempDir private Path temp;
    private ServeProcess serve;

    private void start() throws IOException {
        start(List.of());
    }

    /** Starts a proxy by a command that runs what follows it, with further options of Java's. */
    private void start(List<String> command, String... options) throws IOException {
        serve = new ServeProcess(temp, command, options);
    }

    @AfterEach
    void stop() throws IOException {
        serve.close();
    }

    @Test
    @Timeout(PATIENCE_S)
    void whatIsInFlightIsAnsweredThoughSignalsComeBesideOneAnotherAndTwice() throws Exception {
        start();
        serve.site
                .discovery
                .next()
                .wire()
                .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        serve.logged("known");
        Peer.Wire client = null;
        while (client == null) {
            try {
                client = serve.client();
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        client.write(serve.site.get(Site.LONG_S));
        Peer.Message out = serve.site.node.next();
        for (String name : List.of("HUP", "TERM", "HUP", "TERM", "HUP")) {
            serve.signal(name);
        }
        serve.logged("draining");
        out.wire().answer(200, "v");
        assertEquals(200, Site.status(client.read()));
        client.close();
        assertEquals(
                0,
                serve.ended().stream().filter(l -> l.contains(" draining")).count(),
                "it drains once");
    }

    /**
     * Discovery is silent, so it stands for half a second between its last step and the opening.
     * Where the machine is so busy that the signal comes later than that, as the log then says,
     * another process is started.
     */
    @Test
    @Timeout(PATIENCE_S)
    void oneThatIsToldToEndBeforeItsAddressIsOpenEndsAndNeverOpensIt() throws Exception {
        boolean early = false;
        while (!early) {
            start();
            serve.logged("known");
            CompletableFuture<Boolean> opened = CompletableFuture.supplyAsync(this::opens);
            serve.signal("TERM");
            early = serve.ended().stream().noneMatch(l -> l.contains(" untold "));
            assertFalse(opened.get(PATIENCE_S, TimeUnit.SECONDS) && early, "a client was let in");
            stop();
        }
    }

    /** No client comes: it is ready, asks discovery once, and ends by itself. */
    @Test
    @Timeout(PATIENCE_S)
    void oneThatServesNobodyIsReadyAndEnds() throws Exception {
        start();
        Peer.Message watch = serve.site.discovery.next();
        watch.wire().write(HEAD + chunk(Site.list(8, false)));
        while (!serve.isUp()) {
            TimeUnit.MILLISECONDS.sleep(10);
            watch.wire().write(chunk(""));
        }
        serve.signal("TERM");
        serve.ended();
        assertNull(serve.site.discovery.next().text(), "its only watch has ended");
        assertTrue(serve.site.discovery.heardNothing() && serve.site.node.heardNothing());
    }

    /**
     * The end begins right behind the move, and the new address tells of a drain then: what comes
     * on an open connection goes to the node no more. Where the machine is so busy that the process
     * has ended before, another is started.
     */
    @Test
    @Timeout(PATIENCE_S)
    void aDrainThatTheNewDiscoveryTellsIsKeptThoughTheEndHasBegun() throws Exception {
        boolean told = false;
        while (!told) {
            start();
            serve.site.discovery.next().wire().write(HEAD + chunk(""));
            while (!serve.isUp()) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            try (Peer next = new Peer();
                    Peer.Wire held = serve.client();
                    Peer.Wire open = serve.client()) {
                held.write(serve.site.get(Site.LONG_S));
                Peer.Message out = serve.site.node.next();
                Path config = temp.resolve("config.json");
                Files.writeString(
                        config,
                        Files.readString(config).replace(serve.site.discovery.dial(), next.dial()));
                serve.signal("HUP");
                serve.signal("TERM");
                told = tells(next) && serve.logs("list");
                if (told) {
                    int status = answered(open);
                    assertTrue(
                            status == 503 || status == 429 || status == -1, "answered " + status);
                    assertTrue(
                            serve.site.node.heardNothing(),
                            "a request went to the node that drains");
                    out.wire().answer(200, "v");
                    assertTrue(Site.status(held.read()) > 0, "what was in flight has no answer");
                    serve.ended();
                    told = status > 0;
                }
            }
            stop();
        }
    }

    /** Asks on an open connection; -1 where it has been closed. */
    private int answered(Peer.Wire open) {
        try {
            open.write(serve.site.get(Site.LONG_S));
            return Site.status(open.read());
        } catch (IOException e) {
            return -1;
        }
    }

    /** Tells who asks of the drain; false where the process ends without asking. */
    private boolean tells(Peer discovery) throws Exception {
        while (serve.isAlive() && discovery.heardNothing()) {
            Thread.onSpinWait();
        }
        if (discovery.heardNothing()) {
            return false;
        }
        discovery
                .next()
                .wire()
                .write(
                        HEAD
                                + chunk(
                                        Site.list(
                                                1,
                                                true,
                                                Site.host(
                                                        "c0",
                                                        serve.site.node.dial(),
                                                        "draining",
                                                        0))));
        return true;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private boolean opens() {
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
    @Timeout(PATIENCE_S)
    void oneThatWasStartedWithTheSignalIgnoredSaysSoAndReloadsByItsFile() throws Exception {
        start(HANGUP_IGNORED);
        serve.site.discovery.next().wire().write(HEAD + chunk(""));
        serve.signal("HUP");
        try (Peer next = new Peer();
                Peer last = new Peer()) {
            String lastConfig = serve.movedTo(last);
            serve.configure(serve.movedTo(next));
            Peer.Message watch = next.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            watch.wire().write(HEAD + chunk(""));
            serve.logged("signal_ignored");
            serve.logged("reloaded");
            serve.configure(lastConfig.substring(0, lastConfig.length() / 2));
            serve.logged("reload_refused");
            TimeUnit.MILLISECONDS.sleep(TWO_LOOKS_MS);
            serve.configure(lastConfig);
            last.next().wire().write(HEAD + chunk(""));
            serve.signal("TERM");
            List<String> rest = serve.ended();
            String text = String.join("\n", rest);
            assertEquals(1, rest.stream().filter(l -> l.contains(" reloaded ")).count(), text);
            assertFalse(text.contains(" reload_refused "), text);
            assertFalse(text.contains(" signal_ignored "), text);
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void whereTheSignalIsHeardTheFileIsNotWatchedAndNothingIsLoadedForIt() throws Exception {
        Path loaded = temp.resolve("loaded");
        start(List.of(), "-Xlog:class+load:file=" + loaded);
        serve.site.discovery.next().wire().write(HEAD + chunk(""));
        serve.untilUp();
        try (Peer next = new Peer()) {
            serve.configure(serve.movedTo(next));
            TimeUnit.MILLISECONDS.sleep(TWO_LOOKS_MS);
            assertTrue(next.heardNothing(), "reloaded without a signal");
            serve.signal("HUP");
            next.next().wire().write(HEAD + chunk(""));
            serve.signal("TERM");
            assertFalse(serve.ended().stream().anyMatch(l -> l.contains(" signal_ignored ")));
        }
        List<String> classes = Files.readAllLines(loaded);
        assertTrue(classes.stream().anyMatch(l -> l.contains(Service.class.getName())));
        assertFalse(classes.stream().anyMatch(l -> l.contains(ConfigFileWatch.class.getName())));
    }

    /** Several moves within a second, beside a client's requests. */
    @Test
    @Timeout(PATIENCE_S)
    void movesInQuickSuccessionEndAtTheLastAndLoseNoRequest() throws Exception {
        start();
        serve.site.discovery.next().wire().write(HEAD + chunk(""));
        serve.untilUp();
        Thread node = new Thread(this::answerEach, "node");
        node.setDaemon(true);
        node.start();
        AtomicBoolean moved = new AtomicBoolean();
        CompletableFuture<List<Integer>> asking =
                CompletableFuture.supplyAsync(() -> statusesUntil(moved));
        List<Peer> addresses = new ArrayList<>();
        try {
            String first = serve.configuration();
            for (int i = 0; i < MOVES; i++) {
                Peer next = new Peer();
                addresses.add(next);
                serve.configure(first.replace(serve.site.discovery.dial(), next.dial()));
                serve.signal("HUP");
                TimeUnit.MILLISECONDS.sleep(BETWEEN_MOVES_MS);
            }
            Peer last = addresses.remove(MOVES - 1);
            Peer.Message watch = last.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            for (Peer passed : addresses) {
                tellDrain(passed);
            }
            // One more node than the configuration knows, as what it knows is not logged again.
            watch.wire()
                    .write(
                            HEAD
                                    + chunk(
                                            Site.list(
                                                    3,
                                                    true,
                                                    Site.host(
                                                            "c0", serve.site.node.dial(), "up", 0),
                                                    Site.host(
                                                            "c1",
                                                            serve.site.node.dial(),
                                                            "up",
                                                            0))));
            String list = serve.lineOf("list");
            assertTrue(list.contains(" version=3 node=c1 "), list);
            moved.set(true);
            List<Integer> statuses = asking.get(PATIENCE_S, TimeUnit.SECONDS);
            assertTrue(statuses.size() > MOVES, "so few asked: " + statuses);
            assertTrue(statuses.stream().allMatch(s -> s > 0), "lost: " + statuses);
            assertEquals(200, statuses.get(statuses.size() - 1), "the node is in use");
            assertTrue(last.heardNothing(), "one watch was opened at the last address");
            last.close();
        } finally {
            for (Peer address : addresses) {
                address.close();
            }
        }
        serve.signal("TERM");
        List<String> rest = serve.ended();
        assertFalse(rest.stream().anyMatch(l -> l.contains(" list ")), "an old address was heard");
    }

    /** Answers whatever comes to the node, until its end. */
    private void answerEach() {
        try {
            while (true) {
                Peer.Message request = serve.site.node.await();
                if (request.text() != null) {
                    request.wire().answer(200, "v");
                }
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    /** Asks one thing after another; the statuses, -1 for each that had no answer. */
    private List<Integer> statusesUntil(AtomicBoolean end) {
        List<Integer> statuses = new ArrayList<>();
        boolean last = false;
        try (Peer.Wire client = serve.client()) {
            while (!last) {
                last = end.get();
                client.write(serve.site.get(Site.LONG_S));
                statuses.add(Site.status(client.read()));
            }
        } catch (IOException e) {
            statuses.add(-1);
        }
        return statuses;
    }

    /** An address that was left tells of a drain; nobody may listen to it any more. */
    private void tellDrain(Peer passed) throws InterruptedException {
        while (!passed.heardNothing()) {
            Peer.Message watch = passed.next();
            try {
                watch.wire()
                        .write(
                                HEAD
                                        + chunk(
                                                Site.list(
                                                        9,
                                                        true,
                                                        Site.host(
                                                                "c0",
                                                                serve.site.node.dial(),
                                                                "draining",
                                                                0))));
            } catch (IOException e) {
                // It was closed at the next move.
            }
        }
    }
}
