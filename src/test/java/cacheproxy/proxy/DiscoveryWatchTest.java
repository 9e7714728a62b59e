package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Settings;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Edge cases of the discovery watch: it falls silent, is reset in the middle of an object, changes
 * its address twice, or gets no response or two.
 */
class DiscoveryWatchTest {

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The time limit of the tests; a timer with this delay does not fire during one. */
    private static final long NEVER_MS = TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S);

    /** Every change has to be applied within this time, even one that a silent watch misses. */
    private static final long UPDATE_DEADLINE_MS = 6000;

    /** An agent's slow list is whole after some 0.9 s. */
    private static final int SLOW_LIST_PIECES = 10;

    private static final long SLOW_LIST_PAUSE_MS = 100;

    /** When a node that drains must no longer be sent to, after the agent had it. */
    private static final long SLOW_LIST_DEADLINE_MS = 2000;

    @TempDir private Path directory;
    private ProxyFixture fixture;

    @BeforeEach
    void createFixture() throws Exception {
        fixture = new ProxyFixture();
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
    }

    private void start(String mode, Discovery.Times times) throws Exception {
        fixture.discoveryTimes = times;
        fixture.start(mode, "60000", "");
        assertEquals(
                EndpointListKind.STORED_SNAPSHOT,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
    }

    private TestServer.Connection awaitWatch(long from) throws Exception {
        TestServer.Message request = fixture.discovery.next();
        while (request.text() == null) {
            request = fixture.discovery.next();
        }
        assertEquals(
                "GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", request.firstLine());
        return request.connection();
    }

    private static void chunk(TestServer.Connection watch, String text) throws IOException {
        watch.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private String drainUpdate(long seq) {
        return ProxyFixture.endpointList(
                seq, false, ProxyFixture.host("c0", fixture.node.dial(), "draining", 0));
    }

    private static String indented(String json) {
        return json.replace("[", "[\n    ").replace("{", "{\n  ").replace(",\"", ",\n  \"") + "\n";
    }

    /**
     * The worst case is a request that is lost just before discovery becomes reachable, and the
     * response to the next one, which takes up to 2 s, after which discovery abandons a request.
     */
    @Test
    void defaultTimesDeliverChangeInTimeAfterFailedRequest() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.firstResponseTimeoutMs() + 2000 <= UPDATE_DEADLINE_MS - 2000);
            assertTrue(
                    times.silenceTimeoutMs() + times.maxBackoffMs() <= UPDATE_DEADLINE_MS - 1000,
                    "the request that follows a silent watch");
        }
    }

    @Test
    void defaultTimesReplaceSilentWatchBeforeUpdateDeadline() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.silenceTimeoutMs() > 4000, "two heartbeats have to be missed");
            assertTrue(
                    times.silenceTimeoutMs() <= UPDATE_DEADLINE_MS - 1500,
                    "a new watch needs time to open and deliver");
        }
        assertTrue(
                Discovery.Times.PUSHED.firstResponseTimeoutMs() <= 150
                        && Discovery.Times.PUSHED.maxBackoffMs() <= 150,
                "grace may be 250 ms, and the agent's recovery must be detected within it");
    }

    /** A silent watch is not closed before another delivers, as it may only be late. */
    @Test
    void silentWatchStaysOpenUntilAnotherDelivers() throws Exception {
        start("automatic", new Discovery.Times(300, NEVER_MS, 50));
        TestServer.Connection silent = awaitWatch(7);
        silent.write(RESPONSE_HEAD);
        chunk(silent, "\n");
        TestServer.Connection next = awaitWatch(7);
        chunk(silent, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertNull(
                fixture.discovery.next().text(),
                "the watch that delivers again stays open, and the other is closed");
        assertEquals(-1, next.socket().getInputStream().read());
        TestServer.Connection third = awaitWatch(8);
        third.write(RESPONSE_HEAD);
        chunk(third, drainUpdate(9) + "\n");
        assertEquals(9, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertNull(fixture.discovery.next().text());
        assertEquals(
                -1,
                silent.socket().getInputStream().read(),
                "the silent watch is closed once another delivers");
    }

    /**
     * Connections to an agent that is down succeed, but no response ever comes, so further watches
     * are opened beside the unanswered ones.
     */
    @Test
    void detectsRecoveryOfAgentThatOnlyAcceptedConnections() throws Exception {
        start("automatic", new Discovery.Times(4500, 100, 100));
        TestServer.Connection[] unansweredWatches = {awaitWatch(7), awaitWatch(7), awaitWatch(7)};
        TestServer.Connection answeringWatch = awaitWatch(7);
        answeringWatch.write(RESPONSE_HEAD);
        chunk(answeringWatch, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        for (TestServer.Connection watch : unansweredWatches) {
            assertEquals(
                    -1, watch.socket().getInputStream().read(), "unanswered watches are closed");
        }
    }

    @Test
    void earlierOfTwoPendingWatchesMayDeliver() throws Exception {
        start("automatic", new Discovery.Times(4500, 100, 100));
        TestServer.Connection first = awaitWatch(7);
        awaitWatch(7);
        first.write(RESPONSE_HEAD);
        chunk(first, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
    }

    /** The backoff stays short during an outage; otherwise the recovery is detected late. */
    @Test
    void repeatedlyResetWatchIsReopenedSoon() throws Exception {
        start(
                "automatic",
                new Discovery.Times(4500, NEVER_MS, Discovery.Times.PUSHED.maxBackoffMs()));
        long startNanos = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            TestServer.Connection watch = awaitWatch(7);
            watch.socket().setSoLinger(true, 0);
            watch.close();
        }
        awaitWatch(7);
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(
                ms < 7000,
                "ten attempts took " + ms + " ms; a backoff doubling from 50 to 1,000 takes 6,550");
    }

    @Test
    void acceptsIndentedListInPieces() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        chunk(watch, "\n");
        String text =
                indented(drainUpdate(8)) + "\n" + indented(ProxyFixture.endpointList(9, false));
        assertNotEquals(1, text.lines().count());
        for (int offset = 0; offset < text.length(); offset += 11) {
            chunk(watch, text.substring(offset, Math.min(text.length(), offset + 11)));
        }
        ScriptedRouter.ReceivedList received =
                ScriptedRouter.awaitNext(fixture.router.receivedLists);
        assertEquals(8, received.version());
        assertEquals(Availability.DRAINING, received.entries().get(0).availability());
        assertEquals(9, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
    }

    @Test
    void objectTruncatedByResetIsReadFromTheNextWatch() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        chunk(watch, ProxyFixture.endpointList(8, false) + "\n");
        chunk(watch, drainUpdate(9).substring(0, 40));
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        watch.socket().setSoLinger(true, 0);
        watch.close();
        TestServer.Connection next = awaitWatch(8);
        next.write(RESPONSE_HEAD);
        chunk(next, drainUpdate(9) + "\n");
        ScriptedRouter.ReceivedList received =
                ScriptedRouter.awaitNext(fixture.router.receivedLists);
        assertEquals(Availability.DRAINING, received.entries().get(0).availability());
    }

    /**
     * Later deltas refer to a list that was never received: they are applied, and the lost list is
     * requested nevertheless.
     */
    @Test
    void malformedObjectIsRequestedAgainWhileTheWatchStaysOpen() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        chunk(
                watch,
                drainUpdate(8).substring(0, 60)
                        + "\n"
                        + ProxyFixture.endpointList(9, false)
                        + "\n");
        assertEquals(9, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        TestServer.Connection secondWatch = awaitWatch(7);
        chunk(watch, "\n");
        secondWatch.write(RESPONSE_HEAD);
        chunk(secondWatch, drainUpdate(9) + "\n");
        ScriptedRouter.ReceivedList received =
                ScriptedRouter.awaitNext(fixture.router.receivedLists);
        assertEquals(Availability.DRAINING, received.entries().get(0).availability());
    }

    private void reload(TestServer discovery, String mode) throws Exception {
        Path config =
                Files.writeString(
                        directory.resolve("config.json"),
                        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + discovery.dial()
                                + "\",\"settings\":"
                                + ProxyFixture.SETTINGS.formatted(mode, "60000")
                                + "}");
        fixture.service.reload(Map.of("BALANCER_CONFIG", config.toString()));
    }

    @Test
    void onlyTheLastOfTwoNewAddressesIsUsed() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection oldWatch = awaitWatch(7);
        oldWatch.write(RESPONSE_HEAD);
        try (TestServer firstServer = new TestServer();
                TestServer lastServer = new TestServer()) {
            reload(firstServer, "automatic");
            reload(lastServer, "automatic");
            TestServer.Message watch = lastServer.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            chunk(oldWatch, drainUpdate(8) + "\n");
            watch.connection().write(RESPONSE_HEAD);
            chunk(
                    watch.connection(),
                    ProxyFixture.endpointList(
                                    3, true, ProxyFixture.host("c0", fixture.node.dial(), "up", 0))
                            + "\n");
            assertEquals(3, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
            assertTrue(
                    lastServer.receivedNothing(),
                    "only one watch should be opened at the last address");
        }
    }

    @Test
    void inSubscribeModeAddressChangeIsNotReportedAsFailure() throws Exception {
        fixture.router.subscribesAtStart = true;
        start("subscribe", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection oldWatch = awaitWatch(7);
        oldWatch.write(RESPONSE_HEAD);
        chunk(oldWatch, ProxyFixture.endpointList(8, false) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        try (TestServer newServer = new TestServer()) {
            reload(newServer, "subscribe");
            TestServer.Message watch = newServer.next();
            watch.connection().write(RESPONSE_HEAD);
            chunk(
                    watch.connection(),
                    ProxyFixture.endpointList(
                                    3, true, ProxyFixture.host("c0", fixture.node.dial(), "up", 0))
                            + "\n");
            assertEquals(
                    EndpointListKind.SNAPSHOT,
                    ScriptedRouter.awaitNext(fixture.router.receivedLists).kind(),
                    "a reported failure would make the decision module subscribe once more");
        }
    }

    @Test
    void inSubscribeModeSilentWatchIsReportedAndStaysOpen() throws Exception {
        fixture.router.subscribesAtStart = true;
        start("subscribe", new Discovery.Times(300, NEVER_MS, NEVER_MS));
        TestServer.Connection silent = awaitWatch(7);
        silent.write(RESPONSE_HEAD);
        chunk(silent, "\n");
        assertEquals(
                EndpointListKind.FAILED,
                ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
        chunk(silent, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertTrue(fixture.discovery.receivedNothing(), "the module decides when to try again");
    }

    /**
     * An unanswered request is not abandoned, as it may be queued at discovery. A second one is
     * opened beside it, as the module, notified of a failure, could wait longer than the update
     * deadline allows.
     */
    @Test
    void inSubscribeModeUnansweredWatchStaysOpenBesideSecondOne() throws Exception {
        fixture.router.subscribesAtStart = true;
        start("subscribe", new Discovery.Times(4500, 300, 50));
        TestServer.Connection first = awaitWatch(7);
        awaitWatch(7);
        first.write(RESPONSE_HEAD);
        chunk(first, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
    }

    /**
     * A late subscribe of the module opens no watch while one is pending or healthy, as every
     * request for a list has a cost.
     */
    @Test
    void inSubscribeModeRedundantSubscribeOpensNoWatch() throws Exception {
        fixture.router.subscribesAtStart = true;
        start("subscribe", new Discovery.Times(4500, NEVER_MS, 50));
        TestServer.Connection watch = awaitWatch(7);
        fixture.router.onRequest =
                (request, out) -> {
                    out.subscribe();
                    out.reject(request.id(), 0);
                };
        sendRejectedRequest();
        watch.write(RESPONSE_HEAD);
        chunk(watch, ProxyFixture.endpointList(8, false) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        sendRejectedRequest();
        assertTrue(fixture.discovery.receivedNothing());
    }

    private void sendRejectedRequest() throws IOException {
        try (TestServer.Connection client = fixture.client()) {
            client.write(fixture.get(ProxyFixture.LONG_BUDGET_S));
            assertEquals(503, ProxyFixture.status(client.read()));
        }
    }

    /** Ways in which a watch request may fail. */
    enum Failure {
        REFUSED("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false),
        TOO_MANY("HTTP/1.1 429 x\r\nContent-Length: 2\r\n\r\n{}", false),
        SILENT("", false),
        RESET("", true),
        NO_MESSAGE(RESPONSE_HEAD, false),
        TRUNCATED(RESPONSE_HEAD + "8\r\n{\"seq\":9\r\n", true),
        STALLED(RESPONSE_HEAD + "8\r\n{\"seq\":9\r\n", false),
        ENDED(RESPONSE_HEAD + "0\r\n\r\n", false),
        MALFORMED(RESPONSE_HEAD + "3\r\n{]\n\r\n", false);

        private final String response;
        private final boolean reset;

        Failure(String response, boolean reset) {
            this.response = response;
            this.reset = reset;
        }

        void applyTo(TestServer.Connection connection) {
            try {
                connection.write(response);
                if (reset) {
                    connection.socket().setSoLinger(true, 0);
                    connection.close();
                }
            } catch (IOException e) {
                // The proxy has already abandoned this watch for another.
            }
        }
    }

    /**
     * The change arrives after any number of failures, although the module no longer subscribes in
     * time: its own backoff grows to twelve seconds.
     */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void inSubscribeModeReceivesChangeAfterAnyFailure(Failure failure) throws Exception {
        fixture.router.subscribesAtStart = true;
        assertChangeReceivedAfterFailures("subscribe", failure);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void inAutomaticModeReceivesChangeAfterAnyFailure(Failure failure) throws Exception {
        assertChangeReceivedAfterFailures("automatic", failure);
    }

    private void assertChangeReceivedAfterFailures(String mode, Failure failure) throws Exception {
        start(mode, new Discovery.Times(300, 50, 50));
        for (int i = 0; i < 6; i++) {
            failure.applyTo(awaitWatch(7));
        }
        awaitList(fixture.discovery, 8, Availability.DRAINING);
        try (TestServer newServer = new TestServer()) {
            reload(newServer, mode);
            for (int i = 0; i < 6; i++) {
                failure.applyTo(awaitWatch(newServer, 0));
            }
            awaitList(newServer, 1, Availability.DRAINING);
        }
    }

    /**
     * Answers every watch request until the router receives the list: the proxy may have abandoned
     * a request for others by the time its response is written.
     */
    private void awaitList(TestServer discovery, long seq, Availability expected) throws Exception {
        ScriptedRouter.ReceivedList received = null;
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(NEVER_MS);
        while (received == null || received.version() != seq) {
            assertTrue(System.nanoTime() < deadlineNanos, "the router received no endpoint list");
            TestServer.Message request = discovery.receivedNothing() ? null : discovery.next();
            if (request != null && request.text() != null) {
                sendList(request.connection(), seq, expected);
            }
            received = fixture.router.receivedLists.poll(10, TimeUnit.MILLISECONDS);
        }
        assertEquals(expected, received.entries().get(0).availability());
    }

    private void sendList(TestServer.Connection connection, long seq, Availability availability) {
        try {
            connection.write(RESPONSE_HEAD);
            chunk(
                    connection,
                    ProxyFixture.endpointList(
                                    seq,
                                    true,
                                    ProxyFixture.host(
                                            "c0",
                                            fixture.node.dial(),
                                            availability == Availability.UP ? "up" : "draining",
                                            0))
                            + "\n");
        } catch (IOException e) {
            // The proxy has abandoned this watch for another.
        }
    }

    private static TestServer.Connection awaitWatch(TestServer discovery, long from)
            throws Exception {
        TestServer.Message request = discovery.next();
        while (request.text() == null) {
            request = discovery.next();
        }
        assertEquals(
                "GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", request.firstLine());
        return request.connection();
    }

    /**
     * The configuration is reloaded (SIGHUP) while the proxy has no watch at all: the old address
     * refuses connections, and the backoff is at its maximum.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void connectsToNewAddressAtOnceWhileOldOneIsUnreachable(String mode) throws Exception {
        fixture.router.subscribesAtStart = mode.equals("subscribe");
        try (RefusingAddress refusingAddress = new RefusingAddress();
                TestServer newServer = new TestServer()) {
            fixture.discoveryAddress = refusingAddress.dial();
            start(
                    mode,
                    new Discovery.Times(300, mode.equals("subscribe") ? NEVER_MS : 50, NEVER_MS));
            if (mode.equals("subscribe")) {
                assertEquals(
                        EndpointListKind.FAILED,
                        ScriptedRouter.awaitNext(fixture.router.receivedLists).kind());
            }
            reload(newServer, mode);
            awaitList(newServer, 1, Availability.DRAINING);
        }
    }

    /**
     * The first new address would report a drain 0.2 s after it is reached, but by then the next
     * reload (SIGHUP) has come, so the drain has to be received from the last address.
     */
    @Test
    void drainBetweenTwoAddressChangesIsReceivedFromTheLast() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        awaitWatch(7).write(RESPONSE_HEAD);
        try (TestServer firstServer = new TestServer();
                TestServer lastServer = new TestServer()) {
            reload(firstServer, "automatic");
            awaitList(firstServer, 1, Availability.UP);
            reload(lastServer, "automatic");
            awaitList(lastServer, 1, Availability.DRAINING);
        }
    }

    /**
     * An agent under load answers every watch late, so one of them has to stay open until its first
     * message.
     */
    @Test
    void lateFirstMessageIsEventuallyReceived() throws Exception {
        start("automatic", new Discovery.Times(4500, 500, 50));
        TestServer.Connection first = awaitWatch(7);
        for (int i = 0; i < 6; i++) {
            awaitWatch(7);
        }
        first.write(RESPONSE_HEAD);
        chunk(first, drainUpdate(8) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
    }

    /**
     * Bytes alone do not show that a watch works: another is opened beside a list that never ends,
     * and the first to deliver a complete message replaces it.
     */
    @Test
    void endlesslyTricklingListDoesNotBlockUpdates() throws Exception {
        start("automatic", new Discovery.Times(300, 300, 50));
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        chunk(watch, ProxyFixture.endpointList(8, false) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        Thread tricklingThread =
                new Thread(
                        () -> {
                            try {
                                chunk(watch, "{\"seq\":9");
                                while (true) {
                                    chunk(watch, " ");
                                    TimeUnit.MILLISECONDS.sleep(10);
                                }
                            } catch (IOException | InterruptedException e) {
                                // The watch has been closed, as another has delivered.
                            }
                        });
        tricklingThread.start();
        awaitList(fixture.discovery, 10, Availability.DRAINING);
        tricklingThread.join();
    }

    /**
     * The snapshot of a large fleet takes longer than the timeout of the first message. Requested
     * again it would come later, and several times.
     */
    @Test
    void longListInProgressIsNotRequestedAgain() throws Exception {
        start("automatic", new Discovery.Times(4500, 500, 50));
        TestServer.Connection first = awaitWatch(7);
        first.write(RESPONSE_HEAD);
        String[] hosts = new String[900];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = ProxyFixture.host("c" + i, fixture.node.dial(), "up", 0);
        }
        String text = ProxyFixture.endpointList(8, true, hosts);
        int chunkLength = text.length() / 11 + 1;
        for (int offset = 0; offset < text.length(); offset += chunkLength) {
            chunk(first, text.substring(offset, Math.min(text.length(), offset + chunkLength)));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertTrue(fixture.discovery.receivedNothing(), "another watch was opened");
    }

    /** Writes a list in pieces, so that it takes longer than several watches may be opened in. */
    private void writeSlowly(TestServer.Connection watch) throws IOException, InterruptedException {
        watch.write(RESPONSE_HEAD);
        String text = drainUpdate(8) + "\n";
        int pieceLength = text.length() / SLOW_LIST_PIECES + 1;
        for (int offset = 0; offset < text.length(); offset += pieceLength) {
            chunk(watch, text.substring(offset, Math.min(text.length(), offset + pieceLength)));
            TimeUnit.MILLISECONDS.sleep(SLOW_LIST_PAUSE_MS);
        }
    }

    private void serveSlowly(TestServer.Connection watch) {
        Thread writer =
                new Thread(
                        () -> {
                            try {
                                writeSlowly(watch);
                            } catch (IOException | InterruptedException e) {
                                // The watch was closed: nothing more is to be written on it.
                            }
                        });
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * An agent answers every watch at once, but slowly. Guards against a list that was never read,
     * as the watch that was furthest gave way to each new one.
     */
    @Test
    void listThatIsSlowOnEveryWatchIsRead() throws Exception {
        start("automatic", Discovery.Times.PUSHED);
        Thread agent =
                new Thread(
                        () -> {
                            try {
                                while (true) {
                                    serveSlowly(awaitWatch(7));
                                }
                            } catch (Exception | AssertionError e) {
                                // The test is over.
                            }
                        });
        agent.setDaemon(true);
        agent.start();
        ScriptedRouter.ReceivedList received =
                fixture.router.receivedLists.poll(SLOW_LIST_DEADLINE_MS, TimeUnit.MILLISECONDS);
        assertNotNull(received, "no list within " + SLOW_LIST_DEADLINE_MS + " ms");
        assertEquals(8, received.version());
    }

    /** Other watches are opened meanwhile, but the slow one is not abandoned. */
    @Test
    void listArrivingByteByByteIsRead() throws Exception {
        start("automatic", new Discovery.Times(4500, 300, 50));
        TestServer.Connection first = awaitWatch(7);
        first.socket().setTcpNoDelay(true);
        first.write(RESPONSE_HEAD);
        String text = indented(drainUpdate(8)).strip();
        for (int offset = 0; offset < text.length(); offset++) {
            if (offset % 30 == 0) {
                awaitWatch(7);
            }
            chunk(first, text.substring(offset, offset + 1));
        }
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
    }

    /**
     * Creating the channel fails ten times, more often than watches may be pending at once; a watch
     * without a channel also has nothing to close.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void opensWatchOnceDescriptorsAreAvailableAgain(boolean pushed) throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            Settings settings = fixture.config("automatic", "60000", "").settings();
            Proxy proxy =
                    new Proxy(
                            loop,
                            new Clock(),
                            settings,
                            fixture.router,
                            new NodePool(
                                    loop,
                                    ConnectionTransport.TCP,
                                    1000,
                                    60000,
                                    4,
                                    new BodyMemory(),
                                    1),
                            4);
            AtomicInteger remainingFailures = new AtomicInteger(10);
            Discovery discovery =
                    new Discovery(
                            loop,
                            fixture.discovery.address(),
                            proxy,
                            null,
                            pushed,
                            new Discovery.Times(4500, 20, 20),
                            () -> {},
                            () -> {
                                if (remainingFailures.getAndDecrement() > 0) {
                                    throw new ChannelException("Too many open files");
                                }
                                return new NioSocketChannel();
                            });
            loop.execute(discovery::subscribe);
            awaitWatch(0);
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /**
     * A list that is always malformed must not be requested at the speed of the network, so the
     * test checks the least time that six requests take.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void malformedListIsRequestedAgainWithBackoff(String mode) throws Exception {
        fixture.router.subscribesAtStart = mode.equals("subscribe");
        start(mode, new Discovery.Times(4500, 60000, 100));
        long startNanos = System.nanoTime();
        for (int i = 0; i < 6; i++) {
            TestServer.Connection watch = awaitWatch(7);
            watch.write(RESPONSE_HEAD);
            chunk(watch, "{\"seq\":8,\"whole\":true,\"hosts\":[{\"host\":\"c9\"}]}\n");
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(ms >= 400, "the list was requested six times in " + ms + " ms");
    }

    /** A proxy without client requests keeps its one watch open as long as heartbeats arrive. */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void watchStaysOpenWithoutClientRequests(String mode) throws Exception {
        fixture.router.subscribesAtStart = mode.equals("subscribe");
        start(mode, new Discovery.Times(2000, NEVER_MS, 50));
        TestServer.Connection watch = awaitWatch(7);
        watch.write(RESPONSE_HEAD);
        for (int i = 0; i < 100; i++) {
            chunk(watch, "\n");
        }
        chunk(watch, ProxyFixture.endpointList(8, false) + "\n");
        assertEquals(8, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertTrue(fixture.discovery.receivedNothing());
        fixture.service.shutDown();
        assertTrue(fixture.discovery.receivedNothing(), "shutting down should open no watch");
    }
}
