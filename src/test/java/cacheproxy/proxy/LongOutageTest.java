package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Decide;
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
 * Minutes of an outage, and trouble after minutes of quiet, on real sockets; the clock moves only
 * when the test says so.
 */
@Timeout(LongOutageTest.PATIENCE_S)
class LongOutageTest {

    static final int PATIENCE_S = 180;

    private static final int MINUTES = 10;
    private static final long STEP_MS = 100;
    private static final long HEARTBEAT_MS = 2000;
    private static final long MINUTE_MS = 60_000;
    private static final long WINDOW_MS = 10_000;

    /** What an outage may bring in {@link #WINDOW_MS}: twenty a second. */
    private static final long MOST_ATTEMPTS = 200;

    private static final int REQUESTS = 20;

    /** A change counts as told 6 s after discovery had it. */
    private static final long TOLD_MS = 6000;

    private static final long LOOK_MS = 10;
    private static final int NODES = 100;
    private static final int CLIENTS = 100;
    private static final int MOST_OPEN = 16;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final AtomicLong attempts = new AtomicLong();

    /** By the loop's clock, in nanoseconds. */
    private final BlockingQueue<Long> heard = new LinkedBlockingQueue<>();

    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private ManualClockLoop loop;
    private Site site;
    private Peer other;
    private InetSocketAddress front;
    private Discovery.Times times;

    @BeforeEach
    void start() throws Exception {
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        loop = new ManualClockLoop();
        site = new Site();
        other = new Peer();
    }

    @AfterEach
    void stop() throws Exception {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        site.close();
        other.close();
        System.setErr(standardError);
        standardError.print(log.toString(StandardCharsets.UTF_8));
    }

    /**
     * Opens the parts of a proxy with the project's own decisions, all by the clock of the loop.
     */
    private void open(String mode) throws Exception {
        Config config = site.config(mode, "60000", "");
        boolean pushed = !config.settings().mustSubscribe();
        times = pushed ? Discovery.Times.PUSHED : Discovery.Times.ASKED;
        NodePool pool =
                new NodePool(
                        loop,
                        Transport.TCP,
                        config.settings().limits().connectTimeoutMs(),
                        MINUTE_MS,
                        NODES,
                        1,
                        loop::nanos);
        Proxy proxy =
                new Proxy(
                        loop,
                        new Clock(loop::nanos),
                        config.settings(),
                        new Decide(config.settings(), 1),
                        pool,
                        MOST_OPEN);
        ClientServer clients = new ClientServer(loop, proxy, config.settings(), CLIENTS);
        Discovery discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.known(),
                        pushed,
                        times,
                        () -> heard.add(loop.nanos()),
                        this::attempt,
                        loop::nanos);
        proxy.wire(discovery::subscribe, contents -> {});
        ServerSocketChannel socket =
                ServerSocketChannel.open()
                        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Channel listener =
                loop.submit(
                                () -> {
                                    proxy.start(config.known());
                                    discovery.start();
                                    clients.ready();
                                    return clients.listen(socket);
                                })
                        .get()
                        .sync()
                        .channel();
        front = (InetSocketAddress) listener.localAddress();
    }

    private Channel attempt() {
        attempts.incrementAndGet();
        return new NioSocketChannel();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void reset(Peer.Wire wire) throws IOException {
        wire.socket().setSoLinger(true, 0);
        wire.close();
    }

    private void resetAllCalls() throws Exception {
        while (!site.discovery.heardNothing()) {
            Peer.Message call = site.discovery.next();
            if (call.text() != null) {
                reset(call.wire());
            }
        }
    }

    /** Moves the clock on until so many attempts have begun. */
    private void advanceToAttempt(long number) throws Exception {
        while (attempts.get() < number) {
            loop.advance(STEP_MS);
        }
    }

    /** The next call of discovery that is still there. */
    private Peer.Message nextCall() throws Exception {
        Peer.Message call = site.discovery.next();
        while (call.text() == null) {
            call = site.discovery.next();
        }
        return call;
    }

    /**
     * Tells whoever calls, or has called, that c0 drains and c1 is up; returns when that was heard,
     * by the loop's clock.
     */
    private long tellOfTheChange() throws Exception {
        String list =
                Site.list(
                                9,
                                true,
                                Site.host("c0", site.node.dial(), "draining", 0),
                                Site.host("c1", other.dial(), "up", 0))
                        + "\n";
        Long at = null;
        while (at == null) {
            Peer.Message call = site.discovery.heardNothing() ? null : site.discovery.next();
            if (call != null && call.text() != null) {
                answer(call.wire(), list);
            }
            at = heard.poll(LOOK_MS, TimeUnit.MILLISECONDS);
        }
        return at;
    }

    private static void answer(Peer.Wire call, String list) {
        try {
            call.write(HEAD + chunk(list));
        } catch (IOException e) {
            // This one was given up; another has been made.
            return;
        }
    }

    private void served(Peer by) throws Exception {
        try (Peer.Wire client = Peer.connect(front)) {
            client.write(site.get(Site.LONG_S));
            Peer.Message request = by.next();
            while (request.text() == null) {
                request = by.next();
            }
            request.wire().answer(200, "v");
            assertEquals(200, Site.status(client.read()));
        }
    }

    private void servedByTheOtherAlone() throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            served(other);
        }
        while (!site.node.heardNothing()) {
            assertNull(site.node.next().text(), "c0 got a request after its drain was told");
        }
    }

    private List<String> logged(String event) {
        return log.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(l -> l.contains(" " + event + " "))
                .toList();
    }

    private static long field(String line, String name) {
        return Long.parseLong(line.replaceFirst(".* " + name + "=(\\d+).*", "$1"));
    }

    private long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(loop.nanos() - nanos);
    }

    /** How many attempts are made in {@link #WINDOW_MS} of an outage, in which each is reset. */
    private long attemptsInAWindow() throws Exception {
        long before = attempts.get();
        for (long step = 0; step < WINDOW_MS; step += STEP_MS) {
            loop.advance(STEP_MS);
            resetAllCalls();
        }
        return attempts.get() - before;
    }

    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void anOutageOfTenMinutesIsServedThroughAndItsEndIsHeardInTime(String mode) throws Exception {
        open(mode);
        advanceToAttempt(1);
        long least = WINDOW_MS / (2 * (times.firstWordMs() + STEP_MS));
        for (long ms = 0; ms < MINUTES * MINUTE_MS; ms += WINDOW_MS) {
            long made = attemptsInAWindow();
            assertTrue(
                    made >= least && made <= MOST_ATTEMPTS,
                    made + " attempts within 10 s after " + ms + " ms");
            served(site.node);
        }
        long returned = loop.nanos();
        advanceToAttempt(attempts.get() + 1);
        long heardMs = TimeUnit.NANOSECONDS.toMillis(tellOfTheChange() - returned);
        assertTrue(heardMs < TOLD_MS, "heard after " + heardMs + " ms");
        servedByTheOtherAlone();
        assertEquals(1, logged("discovery_unreachable").size());
        assertEquals(1, logged("discovery_restored").size());
        assertTrue(field(logged("discovery_restored").get(0), "after_ms") >= MINUTES * MINUTE_MS);
    }

    @ParameterizedTest
    @CsvSource({"automatic, false", "automatic, true", "subscribe, false", "subscribe, true"})
    void troubleAfterTenQuietMinutesIsNoticedAndWhatWasMissedIsHeardInTime(
            String mode, boolean isReset) throws Exception {
        open(mode);
        advanceToAttempt(1);
        Peer.Wire watch = nextCall().wire();
        watch.write(HEAD + chunk("\n"));
        Scripted.next(heard);
        for (long ms = 0; ms < MINUTES * MINUTE_MS; ms += HEARTBEAT_MS) {
            loop.advance(HEARTBEAT_MS);
            watch.write(chunk("\n"));
            Scripted.next(heard);
        }
        assertEquals(1, attempts.get(), "the one watch was well all the time");
        served(site.node);
        long began = loop.nanos();
        if (isReset) {
            reset(watch);
            while (logged("watch_lost").isEmpty()) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            }
        }
        advanceToAttempt(2);
        long openedMs = msSince(began);
        long heardMs = TimeUnit.NANOSECONDS.toMillis(tellOfTheChange() - began);
        assertTrue(
                heardMs < TOLD_MS,
                "asked anew after " + openedMs + " ms and heard after " + heardMs);
        servedByTheOtherAlone();
    }
}
