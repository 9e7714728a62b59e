package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Settings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What the module makes of its peers' doubts: hearsay moves no request, its own probe does. */
class StandingTest {

    private static Bench bench(boolean probes) {
        Settings plain = Bench.settings(true, false);
        var limits = new Router.Limits(6, true, probes, false, true, 500, false, 150);
        Bench bench =
                new Bench(
                        new Settings(
                                0,
                                2,
                                "z",
                                5,
                                plain.classes(),
                                List.of(),
                                1,
                                false,
                                limits,
                                plain.rules(),
                                false,
                                Router.Weights.NONE,
                                "origin"));
        bench.list(5);
        return bench;
    }

    private static long toC0(Bench b, int requests) {
        long before = b.out.sentTo("c0");
        for (int i = 0; i < requests; i++) {
            b.end(b.ask("dear", 5000 + i), Outcome.OK);
        }
        return b.out.sentTo("c0") - before;
    }

    private static long probes(Bench b) {
        return b.out.log.stream().filter("probe c0"::equals).count();
    }

    private static void probed(Bench b, Outcome outcome) {
        b.router.probed(b.now, "c0", outcome, 10, Map.of(), b.out);
    }

    @Test
    void hearsayMovesNothingAndOneProbeIsAsked() {
        Bench doubting = bench(true);
        Bench calm = bench(true);
        doubting.router.standing(doubting.now, "c0", true, doubting.out);
        doubting.router.standing(doubting.now, "c0", true, doubting.out);
        doubting.router.standing(doubting.now, "db", true, doubting.out);
        doubting.router.standing(doubting.now, "unknown", true, doubting.out);
        assertEquals(1, probes(doubting));
        assertEquals(
                1,
                doubting.out.log.stream().filter(l -> l.startsWith("probe")).count(),
                "only the caches are probed");
        long usual = toC0(calm, 300);
        assertTrue(usual > 20);
        assertEquals(usual, toC0(doubting, 300));
        probed(doubting, Outcome.OK);
        assertEquals(toC0(calm, 300), toC0(doubting, 300));
        // Where probes are not allowed nothing comes of a doubt but shorter waits.
        Bench without = bench(false);
        without.router.standing(without.now, "c0", true, without.out);
        assertEquals(0, probes(without));
        assertEquals(usual, toC0(without, 300));
    }

    @Test
    void aFailedProbeSparesTheNodeUntilOneIsAnswered() {
        Bench b = bench(true);
        b.router.standing(b.now, "c0", true, b.out);
        for (int i = 0; i < 10; i++) {
            probed(b, Outcome.TIMEOUT);
            assertEquals(0, toC0(b, 200));
            b.advance(Decide.PROBE_AGAIN_MS);
            assertEquals(i + 2, probes(b));
        }
        // The doubt ends, but our own probes still fail.
        b.router.standing(b.now, "c0", false, b.out);
        probed(b, Outcome.CONNECT_FAILED);
        assertEquals(0, toC0(b, 200));
        b.advance(Decide.PROBE_AGAIN_MS);
        probed(b, Outcome.OK);
        assertTrue(toC0(b, 200) > 10);
        long asked = probes(b);
        b.advance(20 * Decide.PROBE_AGAIN_MS);
        assertEquals(asked, probes(b), "a node that is well again is probed no more");
    }

    @Test
    void atMostAThirdOfTheNodesIsSparedWhateverPeersSay() {
        Bench b = bench(true);
        for (int i = 0; i < 5; i++) {
            b.router.standing(b.now, "c" + i, true, b.out);
            b.router.probed(b.now, "c" + i, Outcome.TIMEOUT, 200, Map.of(), b.out);
        }
        long before = b.out.sent.size();
        List<String> used = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            String id = b.ask("dear", 9000 + i);
            used.add(b.nodeOf(id));
            b.end(id, Outcome.OK);
        }
        assertEquals(before + 200, b.out.sent.size());
        assertEquals(4, used.stream().distinct().count());
    }

    @Test
    void whatWaitsAtANodeThatIsSilentMovesOnAndWhatMayHaveRunStays() {
        Bench b = bench(true);
        String read = null;
        String write = null;
        for (int i = 0; i < 100 && write == null; i++) {
            // Those at other nodes stay out too, or c0 would be the busier of each pair.
            String id = b.ask(read == null ? "dear" : "unsafe", 100 + i);
            if (b.nodeOf(id).equals("c0")) {
                write = read == null ? null : id;
                read = read == null ? id : read;
            }
        }
        b.router.standing(b.now, "c0", true, b.out);
        b.advance(200);
        probed(b, Outcome.TIMEOUT);
        assertEquals(List.of(read), b.out.cancelled);
        b.end(read, Outcome.CANCELLED);
        assertNotEquals("c0", b.nodeOf(read));
        assertEquals(2, b.sendsOf(read));
        assertEquals(1, b.sendsOf(write));
        assertFalse(b.out.refused.contains(read));
    }

    @Test
    void aNodeThatComesBackUnderItsNameIsNoLongerDoubted() {
        Bench b = bench(true);
        b.router.standing(b.now, "c0", true, b.out);
        probed(b, Outcome.TIMEOUT);
        b.change(Bench.node("c0", 0, Availability.GONE));
        assertEquals(0, toC0(b, 100));
        b.advance(3 * Decide.PROBE_AGAIN_MS);
        long asked = probes(b);
        b.advance(10 * Decide.PROBE_AGAIN_MS);
        assertEquals(asked, probes(b), "one that the list took away is probed no more");
        b.change(Bench.node("c0", b.now - 60_000, Availability.UP));
        // However far back its start is stated, it may be in slow start when it is told; that is
        // over then.
        b.advance(Bench.RULES.coldMs());
        assertEquals(asked, probes(b), "nobody doubts the new one");
        assertTrue(toC0(b, 200) > 10);
    }
}
