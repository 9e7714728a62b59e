package cacheproxy.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.virtual.VirtualRun;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Faults planted in the module one at a time: the search finds each of them within its budget of
 * days, under the right name.
 */
class MutantsTest {

    private static final long SEED = 5;

    /**
     * What the unchanged module is let off without a find; each mutant's own budget is at most
     * that.
     */
    private static final int SCENARIOS = 60;

    @TempDir private Path scratch;

    static Stream<Arguments> mutants() {
        return Stream.of(
                Arguments.of(
                        "a ladder whose rungs are one off",
                        "base * LADDER[level - 1]",
                        "base * LADDER[level]",
                        "threw",
                        60),
                Arguments.of(
                        "a bank that is never refilled",
                        "tokens = Math.min(capacity, tokens + gained);",
                        "",
                        "level-stays",
                        60),
                Arguments.of(
                        "a drain that is noticed with the end only",
                        "listed = e.availability() == Availability.UP;",
                        "listed = e.availability() != Availability.GONE;",
                        "drain",
                        30),
                Arguments.of(
                        "a repeat of what may have run",
                        "case UNSAFE -> r.neverRan;\n            case KEYED -> r.neverRan ||",
                        "case UNSAFE -> true;\n            case KEYED -> r.neverRan ||",
                        "duplicate",
                        60),
                Arguments.of(
                        "an answer lost when time-out and attempt's end meet",
                        "if (r != null && !r.streaming) {\n                end(now, r, out);",
                        "if (r != null && !r.streaming && (!r.inFlight || requests.remove(r.request.id()) == null)) {\n                end(now, r, out);",
                        "forgotten",
                        30),
                Arguments.of(
                        "an entry left behind by each refusal",
                        "requests.remove(r.request.id());\n        letGo(now, r, out);\n        boolean",
                        "letGo(now, r, out);\n        boolean",
                        "leak",
                        10),
                Arguments.of(
                        "a level that never falls",
                        "level = Math.max(level - 1, 0);",
                        "",
                        "level-stays",
                        60),
                Arguments.of(
                        "a favourite node",
                        "return r.pickedSecond ? second",
                        "return caches.get(0).usable(now) && !r.tried.contains(caches.get(0))"
                                + " ? caches.get(0) : r.pickedSecond ? second",
                        "favourite",
                        60),
                Arguments.of(
                        "refusals without advice",
                        "double wait = settings.limits().retryAfter() ? pause : 0;",
                        "double wait = 0;",
                        "refusal",
                        20));
    }

    private static int firstFailingScenario(
            VirtualRun.RouterFactory maker, String kind, int scenarios) {
        AtomicInteger played = new AtomicInteger();
        int[] first = new int[1];
        FaultSearch search = new FaultSearch(SEED, e -> new VirtualRun(e, maker).run());
        for (int n = 1; n <= scenarios && first[0] == 0; n++) {
            played.incrementAndGet();
            if (search.failureOf(search.scenario(n)).startsWith(kind)) {
                first[0] = n;
            }
        }
        return first[0];
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("mutants")
    void findsMutationWithinBudget(
            String what, String original, String changed, String kind, int scenarios)
            throws Exception {
        assertTrue(scenarios <= SCENARIOS);
        long startedAt = System.nanoTime();
        int scenario =
                firstFailingScenario(MutatedModule.of(scratch, original, changed), kind, scenarios);
        System.out.printf(
                "found on day %d after %d ms: %s%n",
                scenario, (System.nanoTime() - startedAt) / 1_000_000, what);
        assertTrue(scenario > 0, what + " is not found in " + scenarios + " days");
    }

    /**
     * What stands while {@link #theModuleItselfIsLetOff} fails for cold nodes: nothing else may be
     * found.
     */
    @Test
    void unchangedModuleBreaksOnlyColdNodeRule() {
        FaultSearch search = new FaultSearch(SEED);
        for (int scenario = 1; scenario <= SCENARIOS; scenario++) {
            String failure = search.failureOf(search.scenario(scenario));
            assertTrue(
                    failure.isEmpty() || failure.startsWith("cold-node"),
                    "day " + scenario + ": " + failure);
        }
    }

    @Test
    void theModuleItselfIsLetOff() {
        FaultSearch search = new FaultSearch(SEED);
        AtomicInteger scenario = new AtomicInteger();
        assertEquals(
                List.of(),
                search.search(() -> scenario.incrementAndGet() <= SCENARIOS, (n, wrong) -> {}));
    }
}
