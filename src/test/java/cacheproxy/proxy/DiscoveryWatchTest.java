package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
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
 * The watch at its edges: silent, reset in the middle of an object, moved twice, answered by nobody
 * or by two.
 */
class DiscoveryWatchTest {

    private static final String RESPONSE_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long NEVER_MS = TimeUnit.SECONDS.toMillis(TestServer.TIMEOUT_S);

    /**
     * What a silent watch misses counts as told after this, and a drain that it missed has to be
     * known by then.
     */
    private static final long UPDATE_DEADLINE_MS = 6000;

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
     * A call that was lost just before discovery could be reached, and the answer to the next: 2 s,
     * after which a call is given up.
     */
    @Test
    void defaultTimesDeliverChangeInTimeAfterFailedRequest() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.firstResponseTimeoutMs() + 2000 <= UPDATE_DEADLINE_MS - 2000);
            assertTrue(
                    times.silenceTimeoutMs() + times.maxBackoffMs() <= UPDATE_DEADLINE_MS - 1000,
                    "the call after a silent watch");
        }
    }

    @Test
    void defaultTimesReplaceSilentWatchBeforeUpdateDeadline() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.silenceTimeoutMs() > 4000, "two heartbeats have to be missed");
            assertTrue(
                    times.silenceTimeoutMs() <= UPDATE_DEADLINE_MS - 1500,
                    "a new one has to be opened and to speak");
        }
        assertTrue(
                Discovery.Times.PUSHED.firstResponseTimeoutMs() <= 150
                        && Discovery.Times.PUSHED.maxBackoffMs() <= 150,
                "grace may be 250 ms, and the agent's return has to be noticed within it");
    }

    /** The one that fell silent goes on being heard: it may have been late only. */
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
                "the one that spoke again is kept, and the other closed");
        assertEquals(-1, next.socket().getInputStream().read());
        TestServer.Connection third = awaitWatch(8);
        third.write(RESPONSE_HEAD);
        chunk(third, drainUpdate(9) + "\n");
        assertEquals(9, ScriptedRouter.awaitNext(fixture.router.receivedLists).version());
        assertNull(fixture.discovery.next().text());
        assertEquals(
                -1,
                silent.socket().getInputStream().read(),
                "the silent one is closed once another has spoken");
    }

    /**
     * An agent that is down takes connections and says nothing: each may be dead for good, so
     * others are asked beside it.
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
                    -1,
                    watch.socket().getInputStream().read(),
                    "those that never spoke are closed");
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

    /** Its backoff does not grow while nobody is there: the return would be noticed late. */
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
                ms < 7000, "ten times took " + ms + " ms, and 6,550 in doubling from 50 to 1,000");
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
     * Later changes refer to a list that was never had, so they are taken and yet the lost one is
     * asked for.
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
            assertTrue(lastServer.receivedNothing(), "one watch was opened there");
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
                    "the module would ask once more");
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
        assertTrue(fixture.discovery.receivedNothing(), "the module decides on the next try");
    }

    /**
     * It is not given up, as it may wait its turn; whoever is told of a refusal could wait for
     * longer than the term allows.
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
     * The module's late call finds another out, or a watch that is well: calls for lists are
     * priced.
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

    /** How a call may fail. */
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
                // It was given up for another already.
            }
        }
    }

    /**
     * Whatever failed, however often, and though the module asks no more: its own pause grows to
     * twelve seconds.
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
     * Answers every call until a list has been had: one may have been given up for others by the
     * time that its answer is written.
     */
    private void awaitList(TestServer discovery, long seq, Availability expected) throws Exception {
        ScriptedRouter.ReceivedList received = null;
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(NEVER_MS);
        while (received == null || received.version() != seq) {
            assertTrue(System.nanoTime() < deadlineNanos, "nothing was told");
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
            // It was given up for another.
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
     * SIGHUP finds it with no connection at all: the old address has nobody, and its pause is the
     * longest.
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
     * The new address tells of a drain 0.2 s after it is reached, and by then the next signal has
     * come.
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
     * An agent under load is late for each watch that is opened, so one of them has to be waited
     * for.
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
     * Bytes alone are no sign of life: what never ends is asked for beside it, and the first whole
     * word counts.
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
                                // The watch has been closed, as another has spoken.
                            }
                        });
        tricklingThread.start();
        awaitList(fixture.discovery, 10, Availability.DRAINING);
        tricklingThread.join();
    }

    /**
     * The whole list of a large fleet takes longer than a first word may: asked for again it would
     * be later and come several times.
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
        assertTrue(fixture.discovery.receivedNothing(), "another watch was asked for");
    }

    /** Others are opened beside it meanwhile, and yet it is not given up. */
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
     * Ten times no channel can be made, which is more than may be waited for; of such a one nothing
     * can be closed either.
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
                            new NodePool(loop, ConnectionTransport.TCP, 1000, 60000, 4, 1),
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
     * Of what can never be read nothing is gained by asking at the speed of the network; the least
     * time is what counts here.
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
        assertTrue(ms >= 400, "asked for six times in " + ms + " ms");
    }

    /**
     * A proxy that nobody comes to keeps its one watch for as long as it is told that nothing
     * changes.
     */
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
        assertTrue(fixture.discovery.receivedNothing(), "nor at its end");
    }
}
