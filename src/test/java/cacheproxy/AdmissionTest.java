package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests throttling of fetches: the level and base rate of the hysteresis controller, the token
 * bucket, and which requests are rejected first.
 */
class AdmissionTest {

    /** Returns a controller after one control interval with the given fetches. */
    private static HysteresisController afterInterval(int good, int bad, int startLevel) {
        var controller = new HysteresisController();
        controller.level = startLevel;
        for (int i = 0; i < good; i++) {
            controller.count(true);
        }
        for (int i = 0; i < bad; i++) {
            controller.count(false);
        }
        controller.endInterval(1000, 0);
        return controller;
    }

    @Test
    void levelRisesOnlyAboveTenPercentBadFetches() {
        assertEquals(1, afterInterval(90, 10, 1).level);
        assertEquals(2, afterInterval(89, 11, 1).level);
    }

    @Test
    void levelFallsOnlyBelowFivePercentBadFetches() {
        assertEquals(1, afterInterval(95, 5, 1).level);
        assertEquals(0, afterInterval(96, 4, 1).level);
    }

    @Test
    void levelFallsOnSmallSampleAndStaysInBounds() {
        assertEquals(1, afterInterval(3, 0, 2).level);
        assertEquals(0, afterInterval(0, 0, 0).level);
        assertEquals(
                HysteresisController.RATE_MULTIPLES.length,
                afterInterval(0, 50, HysteresisController.RATE_MULTIPLES.length).level);
    }

    /**
     * Returns a controller at level 1 of a site with more proxies than nodes, after an interval
     * with two bad fetches: fewer than the minimum sample size.
     */
    private static HysteresisController afterSmallBadSample() {
        var controller = new HysteresisController();
        controller.minBaseRate = HysteresisController.MIN_BASE_RATE / 2;
        controller.level = 1;
        controller.count(false);
        controller.count(false);
        controller.endInterval(1000, 0);
        return controller;
    }

    @Test
    void smallSampleWithBadFetchAccumulatesOverIntervals() {
        var controller = afterSmallBadSample();
        assertEquals(1, controller.level);
        controller.count(false);
        controller.count(false);
        controller.endInterval(1000, 0);
        assertEquals(2, controller.level);
        var expired = afterSmallBadSample();
        for (int i = 1; i < HysteresisController.MAX_ACCUMULATED_INTERVALS; i++) {
            expired.endInterval(1000, 0);
        }
        assertEquals(0, expired.level, "the sample expires");
    }

    @Test
    void rateMultiplesDescendFromAboveOneToBelowOne() {
        assertTrue(HysteresisController.RATE_MULTIPLES[0] > 1);
        for (int i = 1; i < HysteresisController.RATE_MULTIPLES.length; i++) {
            assertTrue(
                    HysteresisController.RATE_MULTIPLES[i]
                            < HysteresisController.RATE_MULTIPLES[i - 1]);
        }
        assertTrue(
                HysteresisController.RATE_MULTIPLES[HysteresisController.RATE_MULTIPLES.length - 1]
                        < 1);
    }

    @Test
    void baseRateFollowsPeakDecaysSlowlyAndIsFrozenWhileThrottled() {
        var controller = afterInterval(40, 0, 0);
        assertEquals(40, controller.baseRate);
        controller.endInterval(1000, 0);
        assertEquals(40 * HysteresisController.BASE_DECAY, controller.baseRate, 1e-9);
        controller.level = 3;
        controller.endInterval(1000, 0);
        assertEquals(40 * HysteresisController.BASE_DECAY, controller.baseRate, 1e-9);
        assertEquals(1, afterInterval(0, 0, 0).baseRate);
    }

    @Test
    void levelDoesNotRiseBeforeBaseRateIsLearned() {
        var controller = new HysteresisController();
        for (int i = 0; i < HysteresisController.MIN_LEARNING_INTERVALS; i++) {
            assertEquals(0, controller.level);
            for (int j = 0; j < HysteresisController.MIN_SAMPLE_SIZE; j++) {
                controller.count(false);
            }
            controller.endInterval(1000, 0);
        }
        assertTrue(controller.level > 0);
    }

    @Test
    void tokenBucketRefillsEvenlyUpToItsCapacity() {
        var tokenBucket = new TokenBucket(DecisionModule.TOKEN_BUCKET_CAPACITY);
        tokenBucket.setRate(0, 10);
        for (int i = 0; i < DecisionModule.TOKEN_BUCKET_CAPACITY; i++) {
            assertTrue(tokenBucket.tryTake(0, false));
        }
        assertFalse(tokenBucket.tryTake(0, false));
        assertFalse(tokenBucket.tryTake(99, false));
        assertTrue(tokenBucket.tryTake(100, false));
        tokenBucket.tryTake(1_000_000, false);
        assertEquals(DecisionModule.TOKEN_BUCKET_CAPACITY - 1, tokenBucket.tokens, 1e-9);
    }

    @Test
    void lastTokenIsReservedForHigherPriority() {
        var tokenBucket = new TokenBucket(DecisionModule.TOKEN_BUCKET_CAPACITY);
        tokenBucket.setRate(0, 1);
        tokenBucket.tokens = 1;
        assertFalse(tokenBucket.tryTake(0, true));
        assertTrue(tokenBucket.tryTake(0, false));
    }

    @Test
    void emptyTokenBucketRejectsWithRetryAfterAndLowPriorityFirst() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int i = 1; i < HysteresisController.MIN_LEARNING_INTERVALS; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        int before = harness.actions.rejected.size();
        int cheapFetches = 0;
        int dearFetches = 0;
        for (int i = 0; i < 40; i++) {
            boolean cheap = i % 2 == 0;
            String id = harness.request(cheap ? "cheap" : "dear", 5000 + i);
            while (harness.actions.finalAnswers(id) == 0 && !harness.lastNodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
                cheapFetches += cheap ? 1 : 0;
                dearFetches += cheap ? 0 : 1;
            }
            harness.advance(10);
        }
        assertTrue(harness.actions.rejected.size() > before);
        assertTrue(dearFetches > cheapFetches, dearFetches + " dear, " + cheapFetches + " cheap");
        assertTrue(harness.actions.log.stream().anyMatch(l -> l.matches("reject q\\d+ [1-9].*")));
    }

    @Test
    void retryOfRejectedReadCausesNoLookUpWhileThrottled() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int i = 1; i < HysteresisController.MIN_LEARNING_INTERVALS; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        String refused = null;
        long key = 8000;
        while (refused == null) {
            String id = harness.request("dear", ++key);
            while (harness.actions.finalAnswers(id) == 0 && !harness.lastNodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            refused = harness.actions.finalAnswers(id) > 0 ? id : null;
        }
        String retry = harness.request("dear", key);
        assertEquals(1, harness.actions.finalAnswers(retry));
        assertEquals(0, harness.attemptCount(retry));
        harness.advance(500);
        assertEquals(1, harness.attemptCount(harness.request("dear", key)));
    }

    @Test
    void levelOneEndsOnlyWhenTokenBucketNoLongerRejects() {
        var controller = new HysteresisController();
        for (int i = 0; i < HysteresisController.MIN_LEARNING_INTERVALS; i++) {
            for (int j = 0; j < 40; j++) {
                controller.count(true);
            }
            controller.endInterval(1000, 0);
        }
        assertEquals(40, controller.baseRate, 1e-9);
        controller.level = 1;
        controller.endInterval(1000, 3);
        assertEquals(1, controller.level);
        assertEquals(40 * HysteresisController.BASE_GROWTH, controller.baseRate, 1e-9);
        controller.endInterval(1000, 0);
        assertEquals(0, controller.level);
    }

    @Test
    void tenantOverItsQuotaIsRejectedBeforeTenantWithinIt() {
        var settings = RouterHarness.settings(true, false);
        var tenants = List.of(new Router.Tenant("greedy", 10), new Router.Tenant("modest", 1000));
        RouterHarness harness =
                new RouterHarness(
                        new Router.Settings(
                                0,
                                2,
                                "z",
                                5,
                                settings.classes(),
                                tenants,
                                0.05,
                                false,
                                settings.limits(),
                                settings.rules(),
                                false,
                                Router.Weights.NONE,
                                "origin"));
        harness.sendSnapshot(4);
        for (int i = 1; i < HysteresisController.MIN_LEARNING_INTERVALS; i++) {
            harness.runInterval(5, 0);
        }
        harness.runInterval(3, 4);
        int[] fetched = new int[2];
        for (int i = 0; i < 200; i++) {
            String tenant = i % 2 == 0 ? "greedy" : "modest";
            String id = tenant + i;
            harness.router.requestReceived(
                    harness.now,
                    new Router.Request(id, "dear", tenant, 70_000 + i, 0, 800, false, false),
                    harness.actions);
            while (harness.actions.finalAnswers(id) == 0 && !harness.lastNodeOf(id).equals("db")) {
                harness.endAttempt(id, Outcome.MISS);
            }
            if (harness.actions.finalAnswers(id) == 0) {
                harness.endAttempt(id, Outcome.OK);
                fetched[i % 2]++;
            }
            harness.advance(5);
        }
        assertTrue(
                fetched[1] > 2 * fetched[0],
                fetched[0] + " fetches over the quota, " + fetched[1] + " within it");
    }

    /**
     * Sends a read of a key that no cache node has, with the given time budget, and returns the
     * number of attempts at the origin.
     */
    private static long fetchAttempts(RouterHarness harness, String id, double budgetMs) {
        harness.router.requestReceived(
                harness.now,
                new Router.Request(id, "dear", null, id.hashCode(), 0, budgetMs, false, false),
                harness.actions);
        for (int i = 0; i < 2 && !harness.lastNodeOf(id).equals("db"); i++) {
            harness.endAttempt(id, Outcome.MISS, 1);
        }
        return harness.actions.sent.stream()
                .filter(s -> s.request().equals(id) && s.node().equals("db"))
                .count();
    }

    @Test
    void rejectsMostFetchesThatWouldMissTheirDeadline() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int i = 0; i < 40; i++) {
            assertEquals(1, fetchAttempts(harness, "usual" + i, RouterHarness.BUDGET_MS));
            harness.endAttempt("usual" + i, Outcome.OK, 280);
            harness.advance(20);
        }
        long late = 0;
        long inTime = 0;
        for (int i = 0; i < 200; i++) {
            long before = harness.actions.rejected.size();
            long sent = fetchAttempts(harness, "late" + i, 300);
            assertEquals(
                    1,
                    sent + harness.actions.rejected.size() - before,
                    "neither fetched nor rejected");
            late += sent;
            if (sent > 0) {
                harness.endAttempt("late" + i, Outcome.CANCELLED, 20);
            }
            inTime += fetchAttempts(harness, "in-time" + i, RouterHarness.BUDGET_MS);
            harness.endAttempt("in-time" + i, Outcome.OK, 280);
            harness.advance(20);
        }
        assertEquals(200, inTime);
        assertTrue(late > 0 && late < 30, late + " of 200 late fetches were sent");
    }

    /**
     * Returns the number of rejected requests if every second client disconnects after the given
     * time and the nodes answer all other requests.
     */
    private static int rejectionsIfClientsLeaveAfter(double leavesAfterMs) {
        RouterHarness harness = RouterHarness.withCaches(6);
        for (int i = 0; i < 1000; i++) {
            String stays = harness.request("dear", i % 50);
            if (harness.actions.finalAnswers(stays) == 0) {
                harness.endAttempt(stays, Outcome.OK);
            }
            String leaves = harness.request("dear", 50 + i % 50);
            if (harness.actions.finalAnswers(leaves) == 0) {
                harness.router.clientDisconnected(harness.now, leaves, harness.actions);
                harness.endAttempt(leaves, Outcome.CANCELLED, leavesAfterMs);
            }
            harness.advance(20);
        }
        return harness.actions.rejected.size();
    }

    @Test
    void onlyAttemptsCancelledLateCountAsUnanswered() {
        assertEquals(0, rejectionsIfClientsLeaveAfter(20));
        assertTrue(
                rejectionsIfClientsLeaveAfter(290) > 200,
                "half of the look-ups got no answer in 290 of 300 ms");
    }
}
