package hopglade.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import hopglade.Router.Availability;
import hopglade.Router.ListKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The watch at its edges: silent, reset in the middle of an object, moved twice, answered by nobody or by two. */
class WatchTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long NEVER_MS = TimeUnit.SECONDS.toMillis(Peer.PATIENCE_S);
    /** What a silent watch misses counts as told after this, and a drain that it missed has to be known by then. */
    private static final long TOLD_MS = 6000;

    @TempDir
    private Path folder;
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

    @Test
    void theUsualTimesLeaveRoomBeforeWhatASilentWatchMissesCountsAsTold() {
        for (Discovery.Times times : new Discovery.Times[] {Discovery.Times.PUSHED, Discovery.Times.ASKED}) {
            assertTrue(times.silentMs() > 4000, "two heartbeats have to be missed");
            assertTrue(times.silentMs() <= TOLD_MS - 1500, "a new one has to be opened and to speak");
        }
        assertTrue(Discovery.Times.PUSHED.firstWordMs() <= 150 && Discovery.Times.PUSHED.backoffMostMs() <= 150,
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
        assertNull(site.discovery.next().text(), "the one that spoke again is kept, and the other closed");
        assertEquals(-1, next.socket().getInputStream().read());
        Peer.Wire third = asked(8);
        third.write(HEAD);
        chunk(third, draining(9) + "\n");
        assertEquals(9, Scripted.next(site.router.lists).version());
        assertNull(site.discovery.next().text());
        assertEquals(-1, silent.socket().getInputStream().read(), "the silent one is closed once another has spoken");
    }

    /** An agent that is down takes connections and says nothing: each may be dead for good, so others are asked beside it. */
    @Test
    void theAgentsReturnIsNoticedThoughConnectsSucceededMeanwhile() throws Exception {
        start("automatic", new Discovery.Times(4500, 100, 100));
        Peer.Wire[] dead = {asked(7), asked(7), asked(7)};
        Peer.Wire back = asked(7);
        back.write(HEAD);
        chunk(back, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        for (Peer.Wire wire : dead) {
            assertEquals(-1, wire.socket().getInputStream().read(), "those that never spoke are closed");
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
        start("automatic", new Discovery.Times(4500, NEVER_MS, Discovery.Times.PUSHED.backoffMostMs()));
        long begun = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            Peer.Wire watch = asked(7);
            watch.socket().setSoLinger(true, 0);
            watch.close();
        }
        asked(7);
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(ms < 7000, "ten times took " + ms + " ms, and 6,550 in doubling from 50 to 1,000");
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

    /** Later changes refer to a list that was never had, so they are taken and yet the lost one is asked for. */
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
        Path config = Files.writeString(folder.resolve("config.json"), "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.dial()
                + "\",\"settings\":" + Site.SETTINGS.formatted(mode, "60000") + "}");
        site.service.reload(Map.of("BALANCER_CONFIG", config.toString()));
    }

    @Test
    void movedTwiceInARowOnlyTheLastAddressIsHeard() throws Exception {
        start("automatic", new Discovery.Times(4500, NEVER_MS, 50));
        Peer.Wire old = asked(7);
        old.write(HEAD);
        try (Peer passing = new Peer(); Peer last = new Peer()) {
            reload(passing, "automatic");
            reload(last, "automatic");
            Peer.Message watch = last.next();
            assertEquals("GET /discovery/hosts?watch=1&from=0 HTTP/1.1", watch.firstLine());
            chunk(old, draining(8) + "\n");
            watch.wire().write(HEAD);
            chunk(watch.wire(), Site.list(3, true, Site.host("c0", site.node.dial(), "up", 0)) + "\n");
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
            chunk(watch.wire(), Site.list(3, true, Site.host("c0", site.node.dial(), "up", 0)) + "\n");
            assertEquals(ListKind.FULL, Scripted.next(site.router.lists).kind(), "the module would ask once more");
        }
    }

    @Test
    void whereItIsAskedASilentWatchIsReportedAndHeardUntilTheNextTry() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(300, NEVER_MS, 50));
        Peer.Wire silent = asked(7);
        silent.write(HEAD);
        chunk(silent, "\n");
        assertEquals(ListKind.REFUSED, Scripted.next(site.router.lists).kind());
        chunk(silent, draining(8) + "\n");
        assertEquals(8, Scripted.next(site.router.lists).version());
        assertTrue(site.discovery.heardNothing(), "the module decides on the next try");
    }

    @Test
    void whereItIsAskedACallThatNobodyAnswersIsReported() throws Exception {
        site.router.subscribes = true;
        start("subscribe", new Discovery.Times(4500, 300, 50));
        asked(7);
        assertEquals(ListKind.REFUSED, Scripted.next(site.router.lists).kind());
        assertNull(site.discovery.next().text());
    }
}
