package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.ListKind;
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
class WatchTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long NEVER_MS = TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S);

    /**
     * What a silent watch misses counts as told after this, and a drain that it missed has to be
     * known by then.
     */
    private static final long TOLD_MS = 6000;

    @TempDir private Path folder;
    private Site site;

    @BeforeEach
    void make() throws Exception {
        site = new Site();
    }

    @AfterEach
    void stop() throws Exception {
        site.close();
    }

    private void start(String mode, Discovery.Times times) throws Exception {
        site.times = times;
        site.start(mode, "60000", "");
        assertEquals(ListKind.REMEMBERED, Scripted.next(site.router.lists).kind());
    }

    private Peer.Wire asked(long from) throws Exception {
        Peer.Message asked = site.discovery.next();
        while (asked.text() == null) {
            asked = site.discovery.next();
        }
        assertEquals("GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", asked.firstLine());
        return asked.wire();
    }

    private static void chunk(Peer.Wire watch, String text) throws IOException {
        watch.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private String draining(long seq) {
        return Site.list(seq, false, Site.host("c0", site.node.dial(), "draining", 0));
    }

    private static String indented(String json) {
        return json.replace("[", "[\n    ").replace("{", "{\n  ").replace(",\"", ",\n  \"") + "\n";
    }

    /**
     * A call that was lost just before discovery could be reached, and the answer to the next: 2 s,
     * after which a call is given up.
     */
    @Test
    void theUsualTimesTellWhateverFailedBefore() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.firstWordMs() + 2000 <= TOLD_MS - 2000);
            assertTrue(
                    times.silentMs() + times.backoffMostMs() <= TOLD_MS - 1000,
                    "the call after a silent watch");
        }
    }

    @Test
    void theUsualTimesLeaveRoomBeforeWhatASilentWatchMissesCountsAsTold() {
        for (Discovery.Times times :
                new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.silentMs() > 4000, "two heartbeats have to be missed");
            assertTrue(
                    times.silentMs() <= TOLD_MS - 1500, "a new one has to be opened and to speak");
        }
        assertTrue(
                Discovery.Times.PUSHED.firstWordMs() <= 150
                        && Discovery.Times.PUSHED.backoffMostMs() <= 150,
                "grace may be 250 ms, and the agent's return has to be noticed within it");
    }

    /** The one that fell silent goes on being heard: it may have been late only. */
    @Test
    void aSilentWatchIsHeardUntilAnotherHasSpoken() throws Exception {
        start("automatic", new Discovery.Times(300, NEVER_MS, 50));
        Peer.Wire silent = asked(7);
        silent.write(HEAD);
        chunk(silent, "\n");
        Peer.Wire next = asked(7);
        chunk(silent, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        assertNull(
                site.discovery.next().text(),
                "the one that spoke again is kept, and the other closed");
        assertEquals(-1, next.socket().getInputStream().read());
        Peer.Wire third = asked(8);
        third.write(HEAD);
        chunk(third, draining(9) + "\n");
        assertEquals(9, Scripted.next(site.router.lists).version());
        assertNull(site.discovery.next().text());
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
    void theAgentsReturnIsNoticedThoughConnectsSucceededMeanwhile() throws Exception {
        start("automatic", new Discovery.Times(4500, 100, 100));
        Peer.Wire[] dead = {asked(7), asked(7), asked(7)};
        Peer.Wire back = asked(7);
        back.write(HEAD);
        chunk(back, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        for (Peer.Wire wire : dead) {
            assertEquals(
                    -1, wire.socket().getInputStream().read(), "those that never spoke are closed");
        }
    }

    @Test
    void theFirstOfThoseThatWereAskedMayBeTheOneThatSpeaks() throws Exception {
        start("automatic", new Discovery.Times(4500, 100, 100));
        Peer.Wire first = asked(7);
        asked(7);
        first.write(HEAD);
        chunk(first, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
    }

    /** Its backoff does not grow while nobody is there: the return would be noticed late. */
    @Test
    void aWatchThatIsResetAgainAndAgainIsSoonAskedAnew() throws Exception {
        start(
                "automatic",
                new Discovery.Times(4500, NEVER_MS, Discovery.Times.PUSHED.backoffMostMs()));
        long begun = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            Peer.Wire watch = asked(7);
            watch.socket().setSoLinger(true, 0);
            watch.close();
        }
        asked(7);
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(
                ms < 7000, "ten times took " + ms + " ms, and 6,550 in doubling from 50 to 1,000");
    }

    @Test
    void aListMayComeIndentedAndInPieces() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire watch = asked(7);
        watch.write(HEAD);
        chunk(watch, "\n");
        String text = indented(draining(8)) + "\n" + indented(Site.list(9, false));
        assertNotEquals(1, text.lines().count());
        for (int at = 0; at < text.length(); at += 11) {
            chunk(watch, text.substring(at, Math.min(text.length(), at + 11)));
        }
        Scripted.Told told = Scripted.next(site.router.lists);
        assertEquals(8, told.version());
        assertEquals(Availability.DRAINING, told.entries().get(0).availability());
        assertEquals(9, Scripted.next(site.router.lists).version());
    }

    @Test
    void anObjectThatAResetCutsIsHadFromTheNextWatch() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire watch = asked(7);
        watch.write(HEAD);
        chunk(watch, Site.list(8, false) + "\n");
        chunk(watch, draining(9).substring(0, 40));
        assertEquals(8, Scripted.next(site.router.lists).version());
        watch.socket().setSoLinger(true, 0);
        watch.close();
        Peer.Wire next = asked(8);
        next.write(HEAD);
        chunk(next, draining(9) + "\n");
        Scripted.Told told = Scripted.next(site.router.lists);
        assertEquals(Availability.DRAINING, told.entries().get(0).availability());
    }

    /**
     * Later changes refer to a list that was never had, so they are taken and yet the lost one is
     * asked for.
     */
    @Test
    void whatASpoiltObjectSaidIsAskedForThoughTheWatchGoesOn() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire watch = asked(7);
        watch.write(HEAD);
        chunk(watch, draining(8).substring(0, 60) + "\n" + Site.list(9, false) + "\n");
        assertEquals(9, Scripted.next(site.router.lists).version());
        Peer.Wire beside = asked(7);
        chunk(watch, "\n");
        beside.write(HEAD);
        chunk(beside, draining(9) + "\n");
        Scripted.Told told = Scripted.next(site.router.lists);
        assertEquals(Availability.DRAINING, told.entries().get(0).availability());
    }

    private void reload(Peer discovery, String mode) throws Exception {
        Path config =
                Files.writeString(
                        folder.resolve("config.json"),
                        "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                                + discovery.dial()
                                + "\",\"settings\":"
                                + Site.SETTINGS.formatted(mode, "60000")
                                + "}");
        site.service.reload(Map.of("BALANCER_CONFIG", config.toString()));
    }

    @Test
    void movedTwiceInARowOnlyTheLastAddressIsHeard() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire old = asked(7);
        old.write(HEAD);
        try (Peer passing = new Peer();
                Peer last = new Peer()) {
            reload(passing, "automatic");
            reload(last, "automatic");
            Peer.Message watch = last.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            chunk(old, draining(8) + "\n");
            watch.wire().write(HEAD);
            chunk(
                    watch.wire(),
                    Site.list(3, true, Site.host("c0", site.node.dial(), "up", 0)) + "\n");
            assertEquals(3, Scripted.next(site.router.lists).version());
            assertTrue(last.heardNothing(), "one watch was opened there");
        }
    }

    @Test
    void whereItIsAskedAMoveIsNoRefusal() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire old = asked(7);
        old.write(HEAD);
        chunk(old, Site.list(8, false) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        try (Peer next = new Peer()) {
            reload(next, "subscribe");
            Peer.Message watch = next.next();
            watch.wire().write(HEAD);
            chunk(
                    watch.wire(),
                    Site.list(3, true, Site.host("c0", site.node.dial(), "up", 0)) + "\n");
            assertEquals(
                    ListKind.FULL,
                    Scripted.next(site.router.lists).kind(),
                    "the module would ask once more");
        }
    }

    @Test
    void whereItIsAskedASilentWatchIsReportedAndHeardUntilTheNextTry() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(300, NEVER_MS, NEVER_MS));
        Peer.Wire silent = asked(7);
        silent.write(HEAD);
        chunk(silent, "\n");
        assertEquals(ListKind.REFUSED, Scripted.next(site.router.lists).kind());
        chunk(silent, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        assertTrue(site.discovery.heardNothing(), "the module decides on the next try");
    }

    /**
     * It is not given up, as it may wait its turn; whoever is told of a refusal could wait for
     * longer than the term allows.
     */
    @Test
    void whereItIsAskedACallThatNobodyAnswersHasAnotherBesideIt() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(4500, 300, 50));
        Peer.Wire first = asked(7);
        asked(7);
        first.write(HEAD);
        chunk(first, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
    }

    /**
     * The module's late call finds another out, or a watch that is well: calls for lists are
     * priced.
     */
    @Test
    void whereItIsAskedALateCallOfTheModuleOpensNothing() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire watch = asked(7);
        site.router.onRequest =
                (request, out) -> {
                    out.subscribe();
                    out.refuse(request.id(), 0);
                };
        ask();
        watch.write(HEAD);
        chunk(watch, Site.list(8, false) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        ask();
        assertTrue(site.discovery.heardNothing());
    }

    private void ask() throws IOException {
        try (Peer.Wire client = site.client()) {
            client.write(site.get(Site.LONG_S));
            assertEquals(503, Site.status(client.read()));
        }
    }

    /** How a call may fail. */
    enum Failure {
        REFUSED("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false),
        TOO_MANY("HTTP/1.1 429 x\r\nContent-Length: 2\r\n\r\n{}", false),
        SILENT("", false),
        RESET("", true),
        NO_WORD(HEAD, false),
        CUT_SHORT(HEAD + "8\r\n{\"seq\":9\r\n", true),
        STALLED(HEAD + "8\r\n{\"seq\":9\r\n", false),
        ENDED(HEAD + "0\r\n\r\n", false),
        SPOILT(HEAD + "3\r\n{]\n\r\n", false);

        private final String answer;
        private final boolean reset;

        Failure(String answer, boolean reset) {
            this.answer = answer;
            this.reset = reset;
        }

        void befall(Peer.Wire call) {
            try {
                call.write(answer);
                if (reset) {
                    call.socket().setSoLinger(true, 0);
                    call.close();
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
    void whereItIsAskedAChangeIsHeardWhateverFailedBefore(Failure failure) throws Exception {
        site.router.subscribes = true;
        heardWhateverFailedBefore("subscribe", failure);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void whereItIsPushedAChangeIsHeardWhateverFailedBefore(Failure failure) throws Exception {
        heardWhateverFailedBefore("automatic", failure);
    }

    private void heardWhateverFailedBefore(String mode, Failure failure) throws Exception {
        start(mode, new Discovery.Times(300, 50, 50));
        for (int i = 0; i < 6; i++) {
            failure.befall(asked(7));
        }
        told(site.discovery, 8, Availability.DRAINING);
        try (Peer next = new Peer()) {
            reload(next, mode);
            for (int i = 0; i < 6; i++) {
                failure.befall(next(next, 0));
            }
            told(next, 1, Availability.DRAINING);
        }
    }

    /**
     * Answers every call until a list has been had: one may have been given up for others by the
     * time that its answer is written.
     */
    private void told(Peer discovery, long seq, Availability expected) throws Exception {
        Scripted.Told told = null;
        long patience = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(NEVER_MS);
        while (told == null || told.version() != seq) {
            assertTrue(System.nanoTime() < patience, "nothing was told");
            Peer.Message call = discovery.heardNothing() ? null : discovery.next();
            if (call != null && call.text() != null) {
                tell(call.wire(), seq, expected);
            }
            told = site.router.lists.poll(10, TimeUnit.MILLISECONDS);
        }
        assertEquals(expected, told.entries().get(0).availability());
    }

    private void tell(Peer.Wire call, long seq, Availability availability) {
        try {
            call.write(HEAD);
            chunk(
                    call,
                    Site.list(
                                    seq,
                                    true,
                                    Site.host(
                                            "c0",
                                            site.node.dial(),
                                            availability == Availability.UP ? "up" : "draining",
                                            0))
                            + "\n");
        } catch (IOException e) {
            // It was given up for another.
        }
    }

    private static Peer.Wire next(Peer discovery, long from) throws Exception {
        Peer.Message asked = discovery.next();
        while (asked.text() == null) {
            asked = discovery.next();
        }
        assertEquals("GET /discovery/hosts?watch=1&from=" + from + " HTTP/1.1", asked.firstLine());
        return asked.wire();
    }

    /**
     * SIGHUP finds it with no connection at all: the old address has nobody, and its pause is the
     * longest.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void movedWhileNobodyTakesConnectionsItAsksTheNewAddressAtOnce(String mode) throws Exception {
        site.router.subscribes = mode.equals("subscribe");
        try (RefusingAddress nobody = new RefusingAddress();
                Peer next = new Peer()) {
            site.discoveryAddress = nobody.dial();
            start(
                    mode,
                    new Discovery.Times(300, mode.equals("subscribe") ? NEVER_MS : 50, NEVER_MS));
            if (mode.equals("subscribe")) {
                assertEquals(ListKind.REFUSED, Scripted.next(site.router.lists).kind());
            }
            reload(next, mode);
            told(next, 1, Availability.DRAINING);
        }
    }

    /**
     * The new address tells of a drain 0.2 s after it is reached, and by then the next signal has
     * come.
     */
    @Test
    void aDrainThatComesBetweenTwoMovesIsHadFromTheLast() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        asked(7).write(HEAD);
        try (Peer passing = new Peer();
                Peer last = new Peer()) {
            reload(passing, "automatic");
            told(passing, 1, Availability.UP);
            reload(last, "automatic");
            told(last, 1, Availability.DRAINING);
        }
    }

    /**
     * An agent under load is late for each watch that is opened, so one of them has to be waited
     * for.
     */
    @Test
    void aFirstWordThatIsAlwaysLateIsHeardAtLast() throws Exception {
        start("automatic", new Discovery.Times(4500, 500, 50));
        Peer.Wire first = asked(7);
        for (int i = 0; i < 6; i++) {
            asked(7);
        }
        first.write(HEAD);
        chunk(first, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
    }

    /**
     * Bytes alone are no sign of life: what never ends is asked for beside it, and the first whole
     * word counts.
     */
    @Test
    void aListThatTricklesWithoutEndHoldsNothingUp() throws Exception {
        start("automatic", new Discovery.Times(300, 300, 50));
        Peer.Wire watch = asked(7);
        watch.write(HEAD);
        chunk(watch, Site.list(8, false) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        Thread trickle =
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
        trickle.start();
        told(site.discovery, 10, Availability.DRAINING);
        trickle.join();
    }

    /**
     * The whole list of a large fleet takes longer than a first word may: asked for again it would
     * be later and come several times.
     */
    @Test
    void whileALongListComesOnItIsNotAskedForAgain() throws Exception {
        start("automatic", new Discovery.Times(4500, 500, 50));
        Peer.Wire first = asked(7);
        first.write(HEAD);
        String[] hosts = new String[900];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = Site.host("c" + i, site.node.dial(), "up", 0);
        }
        String text = Site.list(8, true, hosts);
        int piece = text.length() / 11 + 1;
        for (int at = 0; at < text.length(); at += piece) {
            chunk(first, text.substring(at, Math.min(text.length(), at + piece)));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertEquals(8, Scripted.next(site.router.lists).version());
        assertTrue(site.discovery.heardNothing(), "another watch was asked for");
    }

    /** Others are opened beside it meanwhile, and yet it is not given up. */
    @Test
    void aListInPiecesOfAByteIsReadThoughItTakesLong() throws Exception {
        start("automatic", new Discovery.Times(4500, 300, 50));
        Peer.Wire first = asked(7);
        first.socket().setTcpNoDelay(true);
        first.write(HEAD);
        String text = indented(draining(8)).strip();
        for (int at = 0; at < text.length(); at++) {
            if (at % 30 == 0) {
                asked(7);
            }
            chunk(first, text.substring(at, at + 1));
        }
        assertEquals(8, Scripted.next(site.router.lists).version());
    }

    /**
     * Ten times no channel can be made, which is more than may be waited for; of such a one nothing
     * can be closed either.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void thoughDescriptorsRanOutItIsOpenedOnceThereAreSomeAgain(boolean pushed) throws Exception {
        var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = group.next();
            Settings settings = site.config("automatic", "60000", "").settings();
            Proxy proxy =
                    new Proxy(
                            loop,
                            new Clock(),
                            settings,
                            site.router,
                            new NodePool(loop, Transport.TCP, 1000, 60000, 4, 1),
                            4);
            AtomicInteger left = new AtomicInteger(10);
            Discovery discovery =
                    new Discovery(
                            loop,
                            site.discovery.address(),
                            proxy,
                            null,
                            pushed,
                            new Discovery.Times(4500, 20, 20),
                            () -> {},
                            () -> {
                                if (left.getAndDecrement() > 0) {
                                    throw new ChannelException("Too many open files");
                                }
                                return new NioSocketChannel();
                            });
            loop.execute(discovery::subscribe);
            asked(0);
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
    void whatCanNeverBeReadIsNotAskedForWithoutEnd(String mode) throws Exception {
        site.router.subscribes = mode.equals("subscribe");
        start(mode, new Discovery.Times(4500, 60000, 100));
        long begun = System.nanoTime();
        for (int i = 0; i < 6; i++) {
            Peer.Wire watch = asked(7);
            watch.write(HEAD);
            chunk(watch, "{\"seq\":8,\"whole\":true,\"hosts\":[{\"host\":\"c9\"}]}\n");
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(ms >= 400, "asked for six times in " + ms + " ms");
    }

    /**
     * A proxy that nobody comes to keeps its one watch for as long as it is told that nothing
     * changes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"automatic", "subscribe"})
    void whereNobodyComesOneWatchIsKept(String mode) throws Exception {
        site.router.subscribes = mode.equals("subscribe");
        start(mode, new Discovery.Times(2000, NEVER_MS, 50));
        Peer.Wire watch = asked(7);
        watch.write(HEAD);
        for (int i = 0; i < 100; i++) {
            chunk(watch, "\n");
        }
        chunk(watch, Site.list(8, false) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        assertTrue(site.discovery.heardNothing());
        site.service.drain();
        assertTrue(site.discovery.heardNothing(), "nor at its end");
    }
}
