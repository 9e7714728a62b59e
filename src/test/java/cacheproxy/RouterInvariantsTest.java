package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Availability;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests the rules that a router must keep for every request and node: one answer by the deadline,
 * no retry of a request that must not run twice, no request to a node that is draining or gone, and
 * the budget of a node in slow start. Also tests subscriptions and the validation of settings.
 */
class RouterInvariantsTest {

    @Test
    void everyRequestIsAnsweredOnceBeforeItsDeadline() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String unanswered = harness.request("dear", 1);
        String fetching = harness.request("dear", 2);
        harness.endAttempt(fetching, Outcome.MISS);
        if (!harness.lastNodeOf(fetching).equals("db")) {
            harness.endAttempt(fetching, Outcome.MISS);
        }
        String waiting = harness.request("dear", 2);
        harness.advance(RouterHarness.BUDGET_MS);
        for (String id : List.of(unanswered, fetching, waiting)) {
            assertEquals(1, harness.actions.finalAnswers(id), id);
        }
        harness.advance(5000);
        assertEquals(1, harness.actions.finalAnswers(unanswered));
    }

    @Test
    void requestWithoutRemainingTimeIsAnsweredAtOnce() {
        RouterHarness harness = RouterHarness.withCaches(3);
        harness.router.requestReceived(
                harness.now,
                new Router.Request("late", "dear", null, 1, 0, 0, false, false),
                harness.actions);
        assertEquals(1, harness.actions.finalAnswers("late"));
        assertEquals(0, harness.actions.sent.size());
    }

    @Test
    void requestsAreAnsweredAtOnceIfThereAreNoNodes() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false));
        assertEquals(1, harness.actions.finalAnswers(harness.request("dear", 1)));
        assertEquals(1, harness.actions.finalAnswers(harness.request("unsafe", 1, true)));
    }

    @Test
    void noAttemptOrAnswerFollowsFinalAnswer() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String id = harness.request("dear", 1);
        harness.advance(RouterHarness.BUDGET_MS);
        int sent = harness.actions.sent.size();
        harness.endAttempt(id, Outcome.CANCELLED);
        harness.router.clientDisconnected(harness.now, id, harness.actions);
        harness.advance(2000);
        assertEquals(sent, harness.actions.sent.size());
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void unsafeRequestThatMayHaveRunFailsAndIsNotRetried() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String id = harness.request("unsafe", 1, true);
        harness.endAttempt(id, Outcome.ERROR);
        assertEquals(1, harness.attemptCount(id));
        assertEquals(List.of(id), harness.actions.failed);
    }

    @Test
    void unsafeRequestThatNeverRanIsRejected() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String id = harness.request("unsafe", 1, true);
        harness.endAttempt(id, Outcome.REJECTED);
        assertEquals(List.of(id), harness.actions.rejected);
    }

    @Test
    void zoneKeyedRequestThatMayHaveRunFails() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String id = harness.request("zoned", 1, true);
        harness.endAttempt(id, Outcome.TIMEOUT);
        assertEquals(List.of(id), harness.actions.failed);
        assertEquals(1, harness.attemptCount(id));
    }

    @Test
    void keyedRequestIsRetriedOnlyWithinItsRepeatWindow() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String early = harness.request("keyed", 1, true);
        harness.advance(100);
        harness.endAttempt(early, Outcome.ERROR);
        assertEquals(2, harness.attemptCount(early));
        String late = harness.request("keyed", 2, true);
        harness.advance(600);
        harness.endAttempt(late, Outcome.ERROR);
        assertEquals(1, harness.attemptCount(late));
    }

    /**
     * The proxy may be delayed between reading its clock and writing. A retry that is decided just
     * before the end of the repeat window would then be sent after it.
     */
    @Test
    void keyedRequestIsNotRetriedIfProcessingDelayMayExceedRepeatWindow() {
        RouterHarness harness = RouterHarness.withCaches(3);
        String early = harness.request("keyed", 1, true);
        harness.advance(500 - Router.MAX_PROCESSING_DELAY_MS - 1);
        harness.endAttempt(early, Outcome.ERROR);
        assertEquals(2, harness.attemptCount(early));
        String late = harness.request("keyed", 2, true);
        harness.advance(500 - Router.MAX_PROCESSING_DELAY_MS + 1);
        harness.endAttempt(late, Outcome.ERROR);
        assertEquals(1, harness.attemptCount(late));
    }

    @Test
    void attemptsAreSequentialAndLimited() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, false, 2));
        harness.sendSnapshot(4);
        String id = harness.request("dear", 1);
        for (int i = 0; i < 4 && harness.actions.finalAnswers(id) == 0; i++) {
            assertEquals(i + 1, harness.attemptCount(id));
            harness.endAttempt(id, Outcome.MISS);
        }
        assertTrue(harness.attemptCount(id) <= 2);
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void drainingAndGoneNodesGetNoRequests() {
        RouterHarness harness = RouterHarness.withCaches(3);
        harness.sendDelta(
                RouterHarness.node("c0", 0, Availability.DRAINING),
                RouterHarness.node("c1", 0, Availability.GONE));
        for (int key = 0; key < 50; key++) {
            harness.request("dear", key);
        }
        assertEquals(0, harness.actions.sentTo("c0") + harness.actions.sentTo("c1"));
    }

    @Test
    void nodeMissingFromSnapshotGetsNoRequests() {
        RouterHarness harness = RouterHarness.withCaches(3);
        harness.sendSnapshot(2);
        for (int key = 0; key < 50; key++) {
            harness.request("dear", key);
        }
        assertEquals(0, harness.actions.sentTo("c2"));
    }

    @Test
    void drainingOriginGetsNoRequests() {
        RouterHarness harness = RouterHarness.withCaches(3);
        harness.sendDelta(new Router.Node("db", "origin", "z", 0, 1, 0, Availability.DRAINING));
        String id = harness.request("keyed", 1, true);
        assertEquals(0, harness.actions.sentTo("db"));
        assertEquals(1, harness.actions.finalAnswers(id));
    }

    @Test
    void nodeInSlowStartStaysWithinItsBudget() {
        RouterHarness harness = RouterHarness.withCaches(4);
        for (int i = 0; i < 4000; i++) {
            harness.endAttempt(harness.request("dear", i), Outcome.OK);
            harness.advance(5);
        }
        double usualPerS = harness.actions.sent.size() / 4.0 / 20;
        harness.sendDelta(RouterHarness.node("c0", harness.now, Availability.UP));
        int before = (int) harness.actions.sentTo("c0");
        for (int i = 0; i < 400; i++) {
            harness.endAttempt(harness.request("dear", 10_000 + i), Outcome.OK);
            harness.advance(5);
        }
        long sentInSlowStart = harness.actions.sentTo("c0") - before;
        double limit =
                RouterHarness.RULES.slowStartLoadMultiple()
                        * RouterHarness.RULES.slowStartInitialFraction()
                        * usualPerS
                        * 2;
        assertTrue(
                sentInSlowStart > 0 && sentInSlowStart < limit,
                sentInSlowStart + " requests sent, limit " + limit);
    }

    @Test
    void subscribesAfterStoredSnapshotAndAgainAfterFailure() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, true));
        harness.router.endpointListReceived(
                harness.now,
                EndpointListKind.STORED_SNAPSHOT,
                1,
                List.of(RouterHarness.node("c0", 0, Availability.UP)),
                harness.actions);
        harness.advance(1500);
        assertEquals(1, harness.actions.subscriptions);
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.FAILED, 1, List.of(), harness.actions);
        harness.advance(5000);
        assertEquals(2, harness.actions.subscriptions);
    }

    /**
     * A silent watch is considered failed 4.5 s after its last message. What it misses counts as
     * notified 6 s after that message, so the proxy has 1.5 s to subscribe again.
     */
    @Test
    void failedWatchIsResubscribedAtOnceAndThenWithBackoff() {
        RouterHarness harness = new RouterHarness(RouterHarness.settings(true, true));
        harness.advance(1500);
        harness.sendDelta(RouterHarness.node("c0", 0, Availability.UP));
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.FAILED, 1, List.of(), harness.actions);
        harness.advance(400);
        assertEquals(2, harness.actions.subscriptions);
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.FAILED, 1, List.of(), harness.actions);
        harness.advance(400);
        assertEquals(2, harness.actions.subscriptions, "backs off, as all proxies use one service");
        harness.advance(1200);
        assertEquals(3, harness.actions.subscriptions);
        harness.router.endpointListReceived(
                harness.now, EndpointListKind.FAILED, 1, List.of(), harness.actions);
        harness.advance(1900);
        assertEquals(3, harness.actions.subscriptions);
        harness.sendDelta(RouterHarness.node("c0", 0, Availability.UP));
        harness.advance(6000);
        assertEquals(4, harness.actions.subscriptions);
    }

    @Test
    void settingsWithoutClassesOrDeadlinesAreRejectedNamingTheField() {
        Settings validSettings = RouterHarness.settings(true, false);
        var noClasses =
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                new Settings(
                                        0,
                                        1,
                                        "z",
                                        5,
                                        List.of(),
                                        List.of(),
                                        1,
                                        false,
                                        validSettings.limits(),
                                        validSettings.rules(),
                                        false,
                                        Router.Weights.NONE,
                                        null));
        assertTrue(noClasses.getMessage().contains("classes"));
        var classWithoutDeadline =
                new Router.ServiceClass(
                        "x", 1, 0, 0, 1, 0, Router.Effect.SAFE, Router.Group.ALL, 0, false);
        var noDeadline =
                assertThrows(
                        IllegalArgumentException.class,
                        () ->
                                new Settings(
                                        0,
                                        1,
                                        "z",
                                        5,
                                        List.of(classWithoutDeadline),
                                        List.of(),
                                        1,
                                        false,
                                        validSettings.limits(),
                                        validSettings.rules(),
                                        false,
                                        Router.Weights.NONE,
                                        null));
        assertTrue(noDeadline.getMessage().contains("deadlineMs"));
    }
}
