package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.DecisionModule;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A discovery outage of ten minutes, and a watch that fails after ten quiet minutes, on real
 * sockets; the clock moves only when the test advances it.
 */
@Timeout(LongDiscoveryOutageTest.TIMEOUT_S)
class LongDiscoveryOutageTest {

    static final int TIMEOUT_S = 180;

    private static final int DURATION_MINUTES = 10;
    private static final long CLOCK_STEP_MS = 100;
    private static final long HEARTBEAT_MS = 2000;
    private static final long MINUTE_MS = 60_000;
    private static final long ATTEMPT_WINDOW_MS = 10_000;

    /** Limit of attempts in {@link #ATTEMPT_WINDOW_MS} of an outage: twenty a second. */
    private static final long MAX_ATTEMPTS_PER_WINDOW = 200;

    private static final int REQUEST_COUNT = 20;

    /** Every change has to be applied within 6 s after discovery has it. */
    private static final long UPDATE_DEADLINE_MS = 6000;

    private static final long POLL_INTERVAL_MS = 10;
    private static final int MAX_NODE_CONNECTIONS = 100;
    private static final int MAX_CLIENTS = 100;
    private static final int MAX_OPEN_REQUESTS = 16;
    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong attempts = new AtomicLong();

    /** When lists and heartbeats arrived, by the loop's clock. */
    private final BlockingQueue<Long> heardAtNanos = new LinkedBlockingQueue<>();

    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private ManualClockLoop loop;
    private ProxyFixture fixture;
    private TestServer otherNode;
    private InetSocketAddress clientAddress;
    private Discovery.Times watchTimes;

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        loop = new ManualClockLoop();
        fixture = new ProxyFixture();
        otherNode = new TestServer();
    }

    @AfterEach
    void stop() throws Exception {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        fixture.close();
        otherNode.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    /** Starts the parts of a proxy with the real decision module, all on the loop's clock. */
    private void startProxy(String mode) throws Exception {
        Config config = fixture.config(mode, "60000", "");
        boolean pushed = !config.settings().mustSubscribe();
        watchTimes = pushed ? Discovery.Times.PUSHED : Discovery.Times.ASKED;
        BodyMemory bodyMemory = new BodyMemory();
        NodePool pool =
                new NodePool(
                        loop,
                        ConnectionTransport.TCP,
                        config.settings().limits().connectTimeoutMs(),
                        MINUTE_MS,
                        MAX_NODE_CONNECTIONS,
                        bodyMemory,
                        1,
                        loop::nanos);
        Proxy proxy =
                new Proxy(
                        loop,
                        new Clock(loop::nanos),
                        config.settings(),
                        new DecisionModule(config.settings(), 1),
                        pool,
                        MAX_OPEN_REQUESTS);
        ClientServer clients =
                new ClientServer(loop, proxy, config.settings(), MAX_CLIENTS, bodyMemory);
        Discovery discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.knownEndpoints(),
                        pushed,
                        watchTimes,
                        () -> heardAtNanos.add(loop.nanos()),
                        this::newWatchChannel,
                        loop::nanos);
        proxy.setOutputs(discovery::subscribe, contents -> {});
        ServerSocketChannel socket =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Channel listener =
                loop.submit(
                                () -> {
                                    proxy.start(config.knownEndpoints());
                                    discovery.start();
                                    clients.markReady();
                                    return clients.listen(socket);
                                })
                        .get()
                        .sync()
                        .channel();
        clientAddress = (InetSocketAddress) listener.localAddress();
    }

    private Channel newWatchChannel() {
        attempts.incrementAndGet();
        return new NioSocketChannel();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void reset(TestServer.Connection connection) throws IOException {
        connection.socket().setSoLinger(true, 0);
        connection.close();
    }

    private void resetAllWatches() throws Exception {
        while (!fixture.discovery.receivedNothing()) {
            TestServer.Message request = fixture.discovery.next();
            if (request.text() != null) {
                reset(request.connection());
            }
        }
    }

    /** Advances the clock until {@code number} attempts have started. */
    private void advanceToAttempt(long number) throws Exception {
        while (attempts.get() < number) {
            loop.advance(CLOCK_STEP_MS);
        }
    }

    /** Returns the next watch request; skips the ends of connections. */
    private TestServer.Message awaitWatch() throws Exception {
        TestServer.Message request = fixture.discovery.next();
        while (request.text() == null) {
            request = fixture.discovery.next();
        }
        return request;
    }

    /**
     * Answers all pending and new watch requests with a list in which c0 drains and c1 is up.
     * Returns when the proxy received it, by the loop's clock.
     */
    private long sendChange() throws Exception {
        String endpointList =
                ProxyFixture.endpointList(
                                9,
                                true,
                                ProxyFixture.host("c0", fixture.node.dial(), "draining", 0),
                                ProxyFixture.host("c1", otherNode.dial(), "up", 0))
                        + "\n";
        Long receivedNanos = null;
        while (receivedNanos == null) {
            TestServer.Message request =
                    fixture.discovery.receivedNothing() ? null : fixture.discovery.next();
            if (request != null && request.text() != null) {
                sendList(request.connection(), endpointList);
            }
            receivedNanos = heardAtNanos.poll(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        return receivedNanos;
    }

    private static void sendList(TestServer.Connection connection, String endpointList) {
        try {
            connection.write(RESPONSE_HEAD + chunk(endpointList));
        } catch (IOException e) {
            // The proxy abandoned this watch and has opened another.
            return;
        }
    }

    private void assertServedBy(TestServer server) throws Exception {
        try (TestServer.Connection client = TestServer.connect(clientAddress)) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            TestServer.Message request = server.next();
            while (request.text() == null) {
                request = server.next();
            }
            request.connection().respond(200, "v");
            assertEquals(200, ProxyFixture.status(client.read()));
        }
    }

    private void assertServedOnlyByOther() throws Exception {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertServedBy(otherNode);
        }
        while (!fixture.node.receivedNothing()) {
            assertNull(fixture.node.next().text(), "c0 got a request after its drain was reported");
        }
    }

    private List<String> logLines(String event) {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" " + event + " "))
                .toList();
    }

    private static long fieldValue(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    private long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(loop.nanos() - nanos);
    }

    /**
     * Returns how many attempts are made in {@link #ATTEMPT_WINDOW_MS} of an outage in which each
     * attempt is reset.
     */
    private long countAttemptsInWindow() throws Exception {
        long previousAttempts = attempts.get();
        for (long elapsedMs = 0; elapsedMs < ATTEMPT_WINDOW_MS; elapsedMs += CLOCK_STEP_MS) {
            loop.advance(CLOCK_STEP_MS);
            resetAllWatches();
        }
        return attempts.get() - previousAttempts;
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void servesThroughTenMinuteOutageAndAppliesNextChangeInTime(String mode) throws Exception {
        startProxy(mode);
        advanceToAttempt(1);
        long minAttempts =
                ATTEMPT_WINDOW_MS / (2 * (watchTimes.firstResponseTimeoutMs() + CLOCK_STEP_MS));
        for (long elapsedMs = 0;
                elapsedMs < DURATION_MINUTES * MINUTE_MS;
                elapsedMs += ATTEMPT_WINDOW_MS) {
            long attemptsMade = countAttemptsInWindow();
            assertTrue(
                    attemptsMade >= minAttempts && attemptsMade <= MAX_ATTEMPTS_PER_WINDOW,
                    attemptsMade + " attempts within 10 s after " + elapsedMs + " ms");
            assertServedBy(fixture.node);
        }
        long restoredNanos = loop.nanos();
        advanceToAttempt(attempts.get() + 1);
        long receivedAfterMs = TimeUnit.NANOSECONDS.toMillis(sendChange() - restoredNanos);
        assertTrue(
                receivedAfterMs < UPDATE_DEADLINE_MS,
                "change received after " + receivedAfterMs + " ms");
        assertServedOnlyByOther();
        assertEquals(1, logLines("discovery_unreachable").size());
        assertEquals(1, logLines("discovery_restored").size());
        assertTrue(
                fieldValue(logLines("discovery_restored").get(0), "after_ms")
                        >= DURATION_MINUTES * MINUTE_MS);
    }

    @ParameterizedTest
    @CsvSource({"automatic, false", "automatic, true", "subscribe, false", "subscribe, true"})
    void replacesFailedWatchAfterTenQuietMinutesAndAppliesMissedChangeInTime(
            String mode, boolean isReset) throws Exception {
        startProxy(mode);
        advanceToAttempt(1);
        TestServer.Connection watch = awaitWatch().connection();
        watch.write(RESPONSE_HEAD + chunk("\n"));
        ScriptedRouter.awaitNext(heardAtNanos);
        for (long elapsedMs = 0;
                elapsedMs < DURATION_MINUTES * MINUTE_MS;
                elapsedMs += HEARTBEAT_MS) {
            loop.advance(HEARTBEAT_MS);
            watch.write(chunk("\n"));
            ScriptedRouter.awaitNext(heardAtNanos);
        }
        assertEquals(1, attempts.get(), "the first watch should stay open all the time");
        assertServedBy(fixture.node);
        long startNanos = loop.nanos();
        if (isReset) {
            reset(watch);
            while (logLines("watch_lost").isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        }
        advanceToAttempt(2);
        long reopenedAfterMs = msSince(startNanos);
        long receivedAfterMs = TimeUnit.NANOSECONDS.toMillis(sendChange() - startNanos);
        assertTrue(
                receivedAfterMs < UPDATE_DEADLINE_MS,
                "reopened after "
                        + reopenedAfterMs
                        + " ms, change received after "
                        + receivedAfterMs);
        assertServedOnlyByOther();
    }
}
