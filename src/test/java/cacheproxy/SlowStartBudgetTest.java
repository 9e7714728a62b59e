package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What one proxy may send a node in slow start, and what that adds up to over all proxies. */
class SlowStartBudgetTest {

    private static final double MULTIPLE = 3;
    private static final double WINDOW_MS = 1500;
    private static final double START = 1000;
    private static final double WARMTH = 0.12;
    private static final String MODEL = "m";
    private static final Router.Rules RULES =
            new Router.Rules(1000, WARMTH, 23_000, MULTIPLE, WINDOW_MS, 20, 10_000);

    /** What warm nodes have to serve, in requests a millisecond, for a part of so many requests. */
    private static double servedFor(double requests) {
        return requests / SlowStartBudget.CAUTION / MULTIPLE / WARMTH / WINDOW_MS;
    }

    private static SlowStartBudget budget(int proxy, double servedPerMs) {
        SlowStartBudget budget = new SlowStartBudget(RULES, proxy, 0);
        budget.measured(MODEL, servedPerMs);
        return budget;
    }

    private static boolean allows(SlowStartBudget budget, double now, double size) {
        return budget.allows(now, "node", MODEL, START, WARMTH, size, false);
    }

    /** Sends all that is allowed of so many requests; returns how many that was. */
    private static int send(SlowStartBudget budget, double now, int requests, double size) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            if (allows(budget, now, size)) {
                budget.sent(now, "node", START, size);
                sent++;
            }
        }
        return sent;
    }

    /**
     * The worst window while every proxy has more to send than it may, with every traffic share
     * from 1 to 4.
     */
    @ParameterizedTest(name = "{0} proxies, N {1}")
    @CsvSource({
        "3, 9", "6, 9", "20, 9", "30, 9", "100, 9", "3, 60", "6, 60", "20, 60", "30, 60", "100, 60"
    })
    void allProxiesTogetherStayWithinTheBudget(int proxies, double budgetOfAll) {
        List<SlowStartBudget> budgets = new ArrayList<>();
        double shares = 0;
        for (int proxy = 0; proxy < proxies; proxy++) {
            shares += 1 + proxy % 4;
        }
        double servedByAll = budgetOfAll / MULTIPLE / WARMTH / WINDOW_MS;
        for (int proxy = 0; proxy < proxies; proxy++) {
            budgets.add(budget(proxy, servedByAll * (1 + proxy % 4) / shares));
        }
        List<Double> sentAt = new ArrayList<>();
        for (double now = START; now < START + 10 * WINDOW_MS; now += 50) {
            for (SlowStartBudget budget : budgets) {
                for (int i = send(budget, now, 100, 1); i > 0; i--) {
                    sentAt.add(now);
                }
            }
        }
        double deviations = budgetOfAll < 30 ? 3 : 2;
        double most = budgetOfAll + deviations * Math.sqrt(budgetOfAll) + deviations;
        long worst =
                sentAt.stream()
                        .mapToLong(
                                end ->
                                        sentAt.stream()
                                                .filter(at -> at <= end && at > end - WINDOW_MS)
                                                .count())
                        .max()
                        .orElse(0);
        assertTrue(worst <= most, worst + " of " + most);
        assertTrue(worst >= budgetOfAll / 2, "the budget is used: " + worst);
    }

    @Test
    void aPartIsUsedOnceInAWindowAndFreeAgainAfterIt() {
        SlowStartBudget budget = budget(1, servedFor(8));
        assertEquals(8, send(budget, START, 100, 1));
        assertEquals(0, send(budget, START + WINDOW_MS - 1, 100, 1));
        assertEquals(8, send(budget, START + WINDOW_MS, 100, 1));
    }

    @Test
    void aHeavyRequestTakesItsWorkAndOneThatIsLargerThanThePartTakesAllOfIt() {
        double perMs = servedFor(8);
        assertEquals(2, send(budget(1, perMs), START, 100, 4));
        assertEquals(1, send(budget(1, perMs), START, 100, 50));
        SlowStartBudget begun = budget(1, perMs);
        send(begun, START, 2, 1);
        assertFalse(allows(begun, START, 50));
    }

    /**
     * Where few warm nodes are left, or little is asked of them, what they serve tells too little.
     */
    @Test
    void whatTheNodeItselfAnswersRaisesItsPart() {
        SlowStartBudget budget = budget(1, servedFor(0.01));
        for (int i = 0; i < 10; i++) {
            budget.sent(START, "node", START, 1);
            budget.answered(START, "node", START, 1, true);
        }
        double part = SlowStartBudget.SHOWN * MULTIPLE * 10;
        assertEquals(part - 10, send(budget, START + 1, 100, 1), 1);
    }

    @Test
    void aMissShowsLessThanAHit() {
        SlowStartBudget hits = budget(1, servedFor(0.01));
        SlowStartBudget misses = budget(1, servedFor(0.01));
        for (SlowStartBudget budget : List.of(hits, misses)) {
            budget.sent(START, "node", START, 1);
            for (int i = 0; i < 10; i++) {
                budget.answered(START, "node", START, 1, budget == hits);
            }
        }
        assertTrue(send(misses, START, 100, 1) < send(hits, START, 100, 1) / 2);
    }

    @Test
    void whatAnEarlierIncarnationAnsweredShowsNothing() {
        SlowStartBudget budget = budget(1, servedFor(0.01));
        budget.sent(START, "node", START, 1);
        budget.answered(START, "node", START, 100, true);
        assertTrue(budget.allows(START, "node", MODEL, START, WARMTH, 10, false));
        budget.sent(START + 1, "node", START + 1, 1);
        budget.answered(START + 1, "node", START, 100, true);
        assertFalse(budget.allows(START + 1, "node", MODEL, START + 1, WARMTH, 10, false));
    }

    @Test
    void anotherStartOfANodeHasABudgetOfItsOwn() {
        SlowStartBudget budget = budget(1, servedFor(8));
        send(budget, START, 100, 1);
        assertTrue(budget.allows(START + 1, "node", MODEL, START + 1, WARMTH, 1, false));
    }

    @Test
    void otherModelsStandInForAnUnknownOne() {
        SlowStartBudget budget = new SlowStartBudget(RULES, 1, 0);
        budget.measured("other", servedFor(8));
        assertEquals(8, send(budget, START, 100, 1));
    }

    /**
     * Else a new process would refuse relief, and a fleet that has just started nearly all, for
     * want of a figure.
     */
    @Test
    void withNothingMeasuredTheRampAloneBoundsIt() {
        SlowStartBudget budget = new SlowStartBudget(RULES, 1, 0);
        budget.measured(MODEL, 0);
        assertEquals(10, send(budget, START, 10, 1));
    }

    @Test
    void theHighestFigureFadesOverTheTimeOfASlowStart() {
        double perMs = servedFor(8);
        SlowStartBudget budget = budget(1, perMs);
        budget.measured(MODEL, 0.01 * perMs);
        assertEquals(
                8 * 0.97,
                send(budget, START, 100, 1),
                1,
                "what it asked for may be less for a moment");
        for (int interval = 0; interval < 200; interval++) {
            budget.measured(MODEL, 0.01 * perMs);
        }
        assertEquals(0, send(budget, START + WINDOW_MS, 100, 1), "it answers no more than that");
    }

    @Test
    void ordinaryPlacementMaySendOneWhereThePartIsLessAndIsBoundOtherwise() {
        SlowStartBudget small = budget(1, servedFor(0.01));
        assertTrue(small.allows(START, "node", MODEL, START, WARMTH, 1, true));
        small.sent(START, "node", START, 1);
        assertFalse(small.allows(START, "node", MODEL, START, WARMTH, 1, true));
        SlowStartBudget spent = budget(1, servedFor(8));
        send(spent, START, 100, 1);
        assertFalse(spent.allows(START, "node", MODEL, START, WARMTH, 1, true));
    }

    /**
     * Reads that no warm node answers any more, next to a cold one that has none of what is asked
     * for.
     */
    @Test
    void aRouterRefusesWhereTheOnlyFreeNodeIsAColdOneAtItsBudget() {
        Bench bench = Bench.withCaches(4);
        int perWarmNode = 10;
        for (int i = 0; i < 40 * perWarmNode; i++) {
            bench.end(bench.ask("dear", i), Outcome.OK);
            bench.advance(25);
        }
        bench.change(Bench.node("c3", bench.now, Availability.UP));
        bench.advance(Decide.INTERVAL_MS);
        double windowEnd = bench.now + Bench.RULES.fallMs();
        int toCold = 0;
        for (int i = 0; bench.now < windowEnd; i++) {
            String id = bench.ask("dear", 10_000 + i);
            if (bench.sendsOf(id) > 0 && bench.nodeOf(id).equals("c3")) {
                toCold++;
                bench.end(id, Outcome.MISS);
            }
            bench.advance(1);
        }
        double age = Decide.INTERVAL_MS + Bench.RULES.fallMs();
        double warmth =
                Bench.RULES.coldFrom() + (1 - Bench.RULES.coldFrom()) * age / Bench.RULES.coldMs();
        // Before its start each of the four was sent ten a second by this proxy.
        double most =
                Bench.RULES.fallMultiple() * warmth * perWarmNode * Bench.RULES.fallMs() / 1000;
        assertTrue(toCold > 0 && toCold <= most + 1, toCold + " of " + most);
    }
}
