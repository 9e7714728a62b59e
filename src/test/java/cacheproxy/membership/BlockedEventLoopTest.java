package cacheproxy.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.membership.Gossip.EventType;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Members whose event loop is blocked, by one long task or by many slow calls, must not suspect
 * other members because of it, and must still detect a death.
 */
class BlockedEventLoopTest {

    private static final int SEEDS = 20;
    private static final int MEMBERS = 3;
    private static final int TURNS_BETWEEN_STARTS = 3;
    private static final double JOIN_MS = 5000;
    private static final double RUN_MS = 60_000;
    private static final double SLOW_CALL_SHARE = 0.2;

    /** Time in which each member probes each other member once. */
    private static final double PROBE_ROUND_MS = MEMBERS * Swim.PERIOD_MS;

    private static final double BLOCK_INTERVAL_MS = 130;

    private static SharedEventLoop startedLoop(long seed) {
        SharedEventLoop loop = new SharedEventLoop(seed);
        loop.start(MEMBERS, TURNS_BETWEEN_STARTS);
        loop.runFor(JOIN_MS);
        return loop;
    }

    private static void assertNoSuspicions(SharedEventLoop loop, String situation) {
        assertEquals(
                0,
                loop.count(EventType.SUSPECTED) + loop.count(EventType.DIED),
                situation + ": " + loop.reports);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 5, 10, 20, 30, 40, 60, 80, 120, 250, 400})
    void slowCallsCauseNoSuspicions(double callMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = startedLoop(seed);
            loop.setCallDuration(() -> callMs);
            loop.runFor(RUN_MS);
            assertNoSuspicions(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {20, 40, 60, 250})
    void slowCallsDuringJoinCauseNoSuspicions(double callMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = new SharedEventLoop(seed);
            loop.setCallDuration(() -> callMs);
            loop.start(MEMBERS, TURNS_BETWEEN_STARTS);
            loop.runFor(RUN_MS);
            assertNoSuspicions(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 250, 290, 500, 2000})
    void occasionalSlowCallsCauseNoSuspicions(double slowMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DoubleSupplier callMs = () -> random.nextDouble() < SLOW_CALL_SHARE ? slowMs : 0;
            SharedEventLoop loop = startedLoop(seed);
            loop.setCallDuration(callMs);
            loop.runFor(RUN_MS);
            assertNoSuspicions(loop, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void oneLongBlockAtAnyPointOfAProbeRoundCausesNoSuspicions(double blockMs) {
        for (double point = 0; point < PROBE_ROUND_MS; point += Gossip.TICK_MS / 2) {
            SharedEventLoop loop = startedLoop(1);
            loop.runFor(point);
            loop.block(blockMs);
            loop.runFor(RUN_MS);
            assertNoSuspicions(loop, "point " + point);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {2000, 5000, 12_000})
    void consecutiveLongBlocksCauseNoSuspicions(double blockMs) {
        SharedEventLoop loop = startedLoop(1);
        for (double elapsedMs = 0; elapsedMs < RUN_MS; elapsedMs += BLOCK_INTERVAL_MS) {
            loop.block(blockMs);
            loop.runFor(BLOCK_INTERVAL_MS);
        }
        assertNoSuspicions(loop, "blocks of " + blockMs);
    }

    /** The awake time of members with a blocked event loop advances more slowly, but advances. */
    @ParameterizedTest
    @CsvSource({"0, 3000", "20, 3000", "60, 5000"})
    void deathIsDetectedWhileCallsAreSlow(double callMs, double boundMs) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SharedEventLoop loop = startedLoop(seed);
            loop.setCallDuration(() -> callMs);
            loop.runFor(JOIN_MS);
            loop.kill("p2");
            loop.runFor(boundMs);
            assertEquals(
                    MEMBERS - 1,
                    loop.count(EventType.DIED),
                    "both other members detect the death, seed " + seed);
        }
    }
}
