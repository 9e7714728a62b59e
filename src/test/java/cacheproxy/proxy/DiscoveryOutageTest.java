package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the log says of a long outage of discovery: one line, and one where it has ended. */
@Timeout(DiscoveryOutageTest.PATIENCE_S)
class DiscoveryOutageTest {

    static final int PATIENCE_S = 120;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String HEARTBEAT = "1\r\n\n\r\n";
    private static final int MORE_ATTEMPTS = 10;

    @TempDir private Path folder;
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private Site site;

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        site = new Site();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    private List<String> logged(String event) {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" " + event + " "))
                .toList();
    }

    /** What becomes of a call of discovery. */
    private interface Answer {
        void give(Peer.Wire call) throws IOException;
    }

    private static void reset(Peer.Wire call) throws IOException {
        call.socket().setSoLinger(true, 0);
        call.close();
    }

    private static void heartbeat(Peer.Wire call) throws IOException {
        call.write(HEAD + HEARTBEAT);
    }

    /** Answers the next call, if there is one; the proxy may have given it up meanwhile. */
    private boolean answered(Peer discovery, Answer answer) throws InterruptedException {
        Peer.Message call = discovery.heardNothing() ? null : discovery.next();
        if (call == null || call.text() == null) {
            return false;
        }
        try {
            answer.give(call.wire());
        } catch (IOException e) {
            return false;
        }
        return true;
    }

    /** Waits for one more line of an event than so many, and answers what calls meanwhile. */
    private String awaited(String event, int before, Peer discovery, Answer answer)
            throws Exception {
        long patience = System.nanoTime() + TimeUnit.SECONDS.toNanos(Peer.PATIENCE_S);
        while (logged(event).size() <= before) {
            assertTrue(System.nanoTime() < patience, event + " was never logged");
            if (!answered(discovery, answer)) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        return logged(event).get(before);
    }

    private static long field(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    @Test
    void aWatchThatIsLostAgainAndAgainIsToldOfOnce() throws Exception {
        site.times = Discovery.Times.PUSHED;
        site.start("automatic", "60000", "");
        String unreachable =
                awaited("discovery_unreachable", 0, site.discovery, DiscoveryOutageTest::reset);
        assertTrue(unreachable.contains(site.discovery.dial()), unreachable);
        assertTrue(field(unreachable, "since_ms") >= DiscoveryOutage.UNREACHABLE_MS, unreachable);
        int lines = logged("watch_lost").size() + logged("watch_broke").size();
        assertTrue(lines <= 2, lines + " lines of attempts");
        int attempts = 0;
        while (attempts < MORE_ATTEMPTS) {
            if (answered(site.discovery, DiscoveryOutageTest::reset)) {
                attempts++;
            } else {
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
        assertEquals(1, logged("discovery_unreachable").size());
        assertEquals(lines, logged("watch_lost").size() + logged("watch_broke").size());
        assertTrue(logged("left_out").isEmpty() && logged("discovery_restored").isEmpty());

        List<Peer.Wire> heard = new ArrayList<>();
        String restored =
                awaited(
                        "discovery_restored",
                        0,
                        site.discovery,
                        call -> {
                            heard.add(call);
                            heartbeat(call);
                        });
        assertTrue(field(restored, "after_ms") > field(unreachable, "since_ms"), restored);
        for (Peer.Wire call : heard) {
            reset(call);
        }
        awaited("watch_lost", 1, site.discovery, DiscoveryOutageTest::reset);
        assertEquals(1, logged("discovery_restored").size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void oneThatRefusesIsNamedWithTheErrorAndItsEndIsToldAfterAMove(String mode) throws Exception {
        site.router.subscribes = mode.equals("subscribe");
        // Bound and not listening: the system refuses what is sent there.
        try (Socket refusing = new Socket();
                Peer next = new Peer()) {
            refusing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = "127.0.0.1:" + refusing.getLocalPort();
            String json = site.json(mode, "60000", "").replace(site.discovery.dial(), address);
            site.service =
                    Service.start(
                            Config.parse(json, Map.of()),
                            site.router,
                            0,
                            site.router.subscribes ? Discovery.Times.ASKED : Discovery.Times.PUSHED,
                            new CompletableFuture<>());
            String unreachable =
                    awaited("discovery_unreachable", 0, next, DiscoveryOutageTest::heartbeat);
            assertTrue(unreachable.contains(address), unreachable);
            assertTrue(unreachable.contains("Connection refused"), unreachable);
            assertEquals(1, logged("watch_lost").size());

            Path moved = folder.resolve("config.json");
            Files.writeString(moved, json.replace(address, next.dial()));
            site.service.reload(Map.of("BALANCER_CONFIG", moved.toString()));
            String restored =
                    awaited("discovery_restored", 0, next, DiscoveryOutageTest::heartbeat);
            assertTrue(restored.contains(next.dial()), restored);
        }
    }
}
