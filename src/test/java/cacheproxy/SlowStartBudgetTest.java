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

/** Tests the work that one proxy, and all proxies together, may send to a node in slow start. */
class SlowStartBudgetTest {

    private static final double LOAD_MULTIPLE = 3;
    private static final double WINDOW_MS = 1500;
    private static final double START_MS = 1000;
    private static final double CAPACITY_FRACTION = 0.12;
    private static final String MODEL = "m";
    private static final Router.Rules RULES =
            new Router.Rules(1000, CAPACITY_FRACTION, 23_000, LOAD_MULTIPLE, WINDOW_MS, 20, 10_000);

    /**
     * Returns the rate of warm nodes, in requests per millisecond, at which this proxy's share per
     * window is the given number of requests.
     */
    private static double servedRateFor(double requests) {
        return requests
                / SlowStartBudget.WARM_RATE_MARGIN
                / LOAD_MULTIPLE
                / CAPACITY_FRACTION
                / WINDOW_MS;
    }

    private static SlowStartBudget budget(int proxy, double servedPerMs) {
        SlowStartBudget budget = new SlowStartBudget(RULES, proxy, 0);
        budget.recordServedRate(MODEL, servedPerMs);
        return budget;
    }

    private static boolean allows(SlowStartBudget budget, double now, double size) {
        return budget.allows(now, "node", MODEL, START_MS, CAPACITY_FRACTION, size, false);
    }

    /** Sends as many of the requests as the budget allows; returns how many were sent. */
    private static int send(SlowStartBudget budget, double now, int requests, double size) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            if (allows(budget, now, size)) {
                budget.recordSent(now, "node", START_MS, size);
                sent++;
            }
        }
        return sent;
    }

    /**
     * Checks the window with the most requests while every proxy has more to send than its share.
     * The proxies have traffic in the ratios 1 to 4.
     */
    @ParameterizedTest(name = "{0} proxies, N {1}")
    @CsvSource({
        "3, 9", "6, 9", "20, 9", "30, 9", "100, 9", "3, 60", "6, 60", "20, 60", "30, 60", "100, 60"
    })
    void allProxiesTogetherStayWithinTheBudget(int proxies, double totalBudget) {
        List<SlowStartBudget> budgets = new ArrayList<>();
        double shares = 0;
        for (int proxy = 0; proxy < proxies; proxy++) {
            shares += 1 + proxy % 4;
        }
        double servedByAllPerMs = totalBudget / LOAD_MULTIPLE / CAPACITY_FRACTION / WINDOW_MS;
        for (int proxy = 0; proxy < proxies; proxy++) {
            budgets.add(budget(proxy, servedByAllPerMs * (1 + proxy % 4) / shares));
        }
        List<Double> sentAt = new ArrayList<>();
        for (double now = START_MS; now < START_MS + 10 * WINDOW_MS; now += 50) {
            for (SlowStartBudget budget : budgets) {
                for (int i = send(budget, now, 100, 1); i > 0; i--) {
                    sentAt.add(now);
                }
            }
        }
        double deviations = totalBudget < 30 ? 3 : 2;
        double limit = totalBudget + deviations * Math.sqrt(totalBudget) + deviations;
        long worst =
                sentAt.stream()
                        .mapToLong(
                                end ->
                                        sentAt.stream()
                                                .filter(at -> at <= end && at > end - WINDOW_MS)
                                                .count())
                        .max()
                        .orElse(0);
        assertTrue(worst <= limit, worst + " of " + limit);
        assertTrue(worst >= totalBudget / 2, "the budget is used: " + worst);
    }

    @Test
    void proxyShareIsAvailableOncePerWindow() {
        SlowStartBudget budget = budget(1, servedRateFor(8));
        assertEquals(8, send(budget, START_MS, 100, 1));
        assertEquals(0, send(budget, START_MS + WINDOW_MS - 1, 100, 1));
        assertEquals(8, send(budget, START_MS + WINDOW_MS, 100, 1));
    }

    @Test
    void heavyRequestUsesItsWorkAndOversizedRequestUsesTheWholeShare() {
        double perMs = servedRateFor(8);
        assertEquals(2, send(budget(1, perMs), START_MS, 100, 4));
        assertEquals(1, send(budget(1, perMs), START_MS, 100, 50));
        SlowStartBudget partlyUsed = budget(1, perMs);
        send(partlyUsed, START_MS, 2, 1);
        assertFalse(allows(partlyUsed, START_MS, 50));
    }

    /**
     * The rate of warm nodes underestimates the capacity if few warm nodes are left or if they get
     * few requests.
     */
    @Test
    void answersOfTheNodeRaiseItsShare() {
        SlowStartBudget budget = budget(1, servedRateFor(0.01));
        for (int i = 0; i < 10; i++) {
            budget.recordSent(START_MS, "node", START_MS, 1);
            budget.recordAnswered(START_MS, "node", START_MS, 1, true);
        }
        double share = SlowStartBudget.ANSWERED_WORK_MARGIN * LOAD_MULTIPLE * 10;
        assertEquals(share - 10, send(budget, START_MS + 1, 100, 1), 1);
    }

    @Test
    void missRaisesTheShareLessThanHit() {
        SlowStartBudget hits = budget(1, servedRateFor(0.01));
        SlowStartBudget misses = budget(1, servedRateFor(0.01));
        for (SlowStartBudget budget : List.of(hits, misses)) {
            budget.recordSent(START_MS, "node", START_MS, 1);
            for (int i = 0; i < 10; i++) {
                budget.recordAnswered(START_MS, "node", START_MS, 1, budget == hits);
            }
        }
        assertTrue(send(misses, START_MS, 100, 1) < send(hits, START_MS, 100, 1) / 2);
    }

    @Test
    void answersOfEarlierIncarnationDoNotCount() {
        SlowStartBudget budget = budget(1, servedRateFor(0.01));
        budget.recordSent(START_MS, "node", START_MS, 1);
        budget.recordAnswered(START_MS, "node", START_MS, 100, true);
        assertTrue(budget.allows(START_MS, "node", MODEL, START_MS, CAPACITY_FRACTION, 10, false));
        budget.recordSent(START_MS + 1, "node", START_MS + 1, 1);
        budget.recordAnswered(START_MS + 1, "node", START_MS, 100, true);
        assertFalse(
                budget.allows(
                        START_MS + 1, "node", MODEL, START_MS + 1, CAPACITY_FRACTION, 10, false));
    }

    @Test
    void eachIncarnationHasItsOwnBudget() {
        SlowStartBudget budget = budget(1, servedRateFor(8));
        send(budget, START_MS, 100, 1);
        assertTrue(
                budget.allows(
                        START_MS + 1, "node", MODEL, START_MS + 1, CAPACITY_FRACTION, 1, false));
    }

    @Test
    void unknownModelUsesTheMeanOfOtherModels() {
        SlowStartBudget budget = new SlowStartBudget(RULES, 1, 0);
        budget.recordServedRate("other", servedRateFor(8));
        assertEquals(8, send(budget, START_MS, 100, 1));
    }

    /**
     * Without a served rate, a budget of 0 would make a new process reject requests that overflow
     * to the node, and a fleet that has just started reject nearly all requests.
     */
    @Test
    void budgetAllowsEverythingBeforeTheFirstServedRate() {
        SlowStartBudget budget = new SlowStartBudget(RULES, 1, 0);
        budget.recordServedRate(MODEL, 0);
        assertEquals(10, send(budget, START_MS, 10, 1));
    }

    @Test
    void highestServedRateDecays() {
        double perMs = servedRateFor(8);
        SlowStartBudget budget = budget(1, perMs);
        budget.recordServedRate(MODEL, 0.01 * perMs);
        assertEquals(
                8 * 0.97,
                send(budget, START_MS, 100, 1),
                1,
                "a lower rate in one interval may be due to fewer requests");
        for (int interval = 0; interval < 200; interval++) {
            budget.recordServedRate(MODEL, 0.01 * perMs);
        }
        assertEquals(0, send(budget, START_MS + WINDOW_MS, 100, 1), "the rate stayed low");
    }

    @Test
    void oneRequestByPlacementIsAllowedIfTheShareIsSmaller() {
        SlowStartBudget small = budget(1, servedRateFor(0.01));
        assertTrue(small.allows(START_MS, "node", MODEL, START_MS, CAPACITY_FRACTION, 1, true));
        small.recordSent(START_MS, "node", START_MS, 1);
        assertFalse(small.allows(START_MS, "node", MODEL, START_MS, CAPACITY_FRACTION, 1, true));
        SlowStartBudget spent = budget(1, servedRateFor(8));
        send(spent, START_MS, 100, 1);
        assertFalse(spent.allows(START_MS, "node", MODEL, START_MS, CAPACITY_FRACTION, 1, true));
    }

    /**
     * The warm nodes stop answering, and the only other node is in slow start and misses every
     * read.
     */
    @Test
    void routerRejectsIfTheOnlyFreeNodeIsAtItsSlowStartBudget() {
        RouterHarness harness = RouterHarness.withCaches(4);
        int perWarmNode = 10;
        for (int i = 0; i < 40 * perWarmNode; i++) {
            harness.endAttempt(harness.request("dear", i), Outcome.OK);
            harness.advance(25);
        }
        harness.sendDelta(RouterHarness.node("c3", harness.now, Availability.UP));
        harness.advance(DecisionModule.CONTROL_INTERVAL_MS);
        double windowEnd = harness.now + RouterHarness.RULES.slowStartWindowMs();
        int sentInSlowStart = 0;
        for (int i = 0; harness.now < windowEnd; i++) {
            String id = harness.request("dear", 10_000 + i);
            if (harness.attemptCount(id) > 0 && harness.lastNodeOf(id).equals("c3")) {
                sentInSlowStart++;
                harness.endAttempt(id, Outcome.MISS);
            }
            harness.advance(1);
        }
        double ageMs = DecisionModule.CONTROL_INTERVAL_MS + RouterHarness.RULES.slowStartWindowMs();
        double capacityFraction =
                RouterHarness.RULES.slowStartInitialFraction()
                        + (1 - RouterHarness.RULES.slowStartInitialFraction())
                                * ageMs
                                / RouterHarness.RULES.slowStartMs();
        // Before c3 restarted, this proxy sent 10 requests per second to each of the four nodes.
        double limit =
                RouterHarness.RULES.slowStartLoadMultiple()
                        * capacityFraction
                        * perWarmNode
                        * RouterHarness.RULES.slowStartWindowMs()
                        / 1000;
        assertTrue(
                sentInSlowStart > 0 && sentInSlowStart <= limit + 1,
                sentInSlowStart + " of " + limit);
    }
}
