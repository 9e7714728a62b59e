package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * A node that answers quickly but drops two consecutive requests is not ejected and keeps its keys;
 * the timeout of its next attempt is shortened.
 */
class LossyNodeTest {

    private static final int BUDGET_S = 5;
    private static final int LATENCY_OBJECTIVE_MS = 2000;

    /**
     * Less than the usual timeout of a first attempt, which is a fraction of the client's budget,
     * and more than the shortened one after a loss.
     */
    private static final double TIMEOUT_THRESHOLD_S = 2;

    @Test
    void lostRequestsAreRetriedSoonAndEjectNoNode() throws Exception {
        Map<Integer, AtomicInteger> remainingLosses = new ConcurrentHashMap<>();
        FleetFixture.Script dropScheduled =
                (request, index) -> {
                    AtomicInteger remaining =
                            remainingLosses.get(request.connection().socket().getLocalPort());
                    if (remaining == null || remaining.getAndDecrement() <= 0) {
                        FleetFixture.respond(request);
                    }
                };
        try (FleetFixture fleet =
                new FleetFixture(
                        4,
                        dropScheduled,
                        FleetFixture.alwaysRespond(),
                        BUDGET_S,
                        LATENCY_OBJECTIVE_MS)) {
            Map<Integer, String> nodeByKey = new HashMap<>();
            for (int key = 0; key < FleetFixture.KEY_COUNT; key++) {
                assertEquals(200, fleet.read());
                nodeByKey.put(key, fleet.nodesByRequest.get(fleet.lastId()).get(0));
            }
            String node = nodeByKey.get(0);
            assertTrue(fleet.lastBudget.get(node) > TIMEOUT_THRESHOLD_S);
            remainingLosses.put(Integer.valueOf(node.split(":")[1]), new AtomicInteger(2));
            int requestsToNode = 0;
            for (int key = 0; key < FleetFixture.KEY_COUNT; key++) {
                assertEquals(200, fleet.read(), "a lost request should be retried elsewhere");
                if (nodeByKey.get(key).equals(node)) {
                    assertEquals(
                            node,
                            fleet.nodesByRequest.get(fleet.lastId()).get(0),
                            "key " + key + ", request " + requestsToNode);
                    assertTrue(
                            requestsToNode++ != 1
                                    || fleet.lastBudget.get(node) < TIMEOUT_THRESHOLD_S,
                            "the timeout should be shorter after a loss");
                }
            }
            assertTrue(requestsToNode > 2);
        }
    }
}
