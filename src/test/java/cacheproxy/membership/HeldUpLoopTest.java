package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.membership.Gossip.What;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Members whose event loop is held up, by one long task or by many slow calls, accuse nobody for
 * it; a death is found all the same.
 */
class HeldUpLoopTest {

    private static final int SEEDS = 20;
    private static final int MEMBERS = 3;
    private static final int TURNS_APART = 3;
    private static final double JOINING_MS = 5000;
    private static final double RUN_MS = 60_000;
    private static final double SLOW_CALL_SHARE = 0.2;

    /** Each member probes each other once. */
    private static final double PROBE_ROUND_MS = MEMBERS * Swim.PERIOD_MS;

    private static final double BLOCK_EVERY_MS = 130;

    private static SharedEventLoop joined(long seed) {
        SharedEventLoop loop = new SharedEventLoop(seed);
        loop.start(MEMBERS, TURNS_APART);
        loop.runFor(JOINING_MS);
        return loop;
    }

    private static void assertNobodyIsAccused(SharedEventLoop loop, String situation) {
        assertEquals(
                0,
                loop.count(What.SUSPECTED) + loop.count(What.DIED),
                situation + ": " + loop.reports);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 5, 10, 20, 30, 40, 60, 80, 120, 250, 400})
    void slowCallsAccuseNobody(double callMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = joined(seed);
            loop.callsTake(() -> callMs);
            loop.runFor(RUN_MS);
            assertNobodyIsAccused(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {20, 40, 60, 250})
    void slowCallsWhileMembersJoinAccuseNobody(double callMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = new SharedEventLoop(seed);
            loop.callsTake(() -> callMs);
            loop.start(MEMBERS, TURNS_APART);
            loop.runFor(RUN_MS);
            assertNobodyIsAccused(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 250, 290, 500, 2000})
    void callsOfWhichSomeAreSlowAccuseNobody(double slowMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DoubleSupplier callMs = () -> random.nextDouble() < SLOW_CALL_SHARE ? slowMs : 0;
            SharedEventLoop loop = joined(seed);
            loop.callsTake(callMs);
            loop.runFor(RUN_MS);
            assertNobodyIsAccused(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void oneLongBlockAtAnyPointOfAProbeRoundAccusesNobody(double blockMs) {
        for (double point = 0; point < PROBE_ROUND_MS; point += Gossip.TICK_MS / 2) {
            SharedEventLoop loop = joined(1);
            loop.runFor(point);
            loop.block(blockMs);
            loop.runFor(RUN_MS);
            assertNobodyIsAccused(loop, "point " + point);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void longBlocksInARowAccuseNobody(double blockMs) {
        SharedEventLoop loop = joined(1);
        for (double ran = 0; ran < RUN_MS; ran += BLOCK_EVERY_MS) {
            loop.block(blockMs);
            loop.runFor(BLOCK_EVERY_MS);
        }
        assertNobodyIsAccused(loop, "blocks of " + blockMs);
    }

    /** Time counts more slowly for members that are held up, but it counts. */
    @ParameterizedTest
    @CsvSource({"0, 3000", "20, 3000", "60, 5000"})
    void aDeathIsFoundWhileCallsAreSlow(double callMs, double boundMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = joined(seed);
            loop.callsTake(() -> callMs);
            loop.runFor(JOINING_MS);
            loop.kill("p2");
            loop.runFor(boundMs);
            assertEquals(MEMBERS - 1, loop.count(What.DIED), "both others know it, seed " + seed);
        }
    }
}
