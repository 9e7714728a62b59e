package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.Router.Outcome;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests that a node that answers every second request with an error is ejected, although it never
 * fails twice in a row.
 */
class IntermittentErrorsTest {

    @Test
    void nodeWithErrorsInHalfOfItsResponsesIsEjected() {
        RouterHarness harness = RouterHarness.withCaches(4);
        String faultyNode = null;
        Map<Boolean, Integer> sends = new HashMap<>();
        int answers = 0;
        for (int i = 0; i < 400; i++) {
            String id = harness.request("dear", 1000 + i);
            if (harness.actions.finalAnswers(id) == 0) {
                String node = harness.lastNodeOf(id);
                faultyNode = faultyNode == null ? node : faultyNode;
                if (node.equals(faultyNode)) {
                    sends.merge(i < 200, 1, Integer::sum);
                }
                harness.endAttempt(
                        id,
                        node.equals(faultyNode) && answers++ % 2 == 0 ? Outcome.ERROR : Outcome.OK);
                if (harness.actions.finalAnswers(id) == 0) {
                    harness.endAttempt(id, Outcome.OK);
                }
            }
            harness.advance(2);
        }
        assertTrue(sends.getOrDefault(false, 0) * 3 < sends.get(true), sends.toString());
    }
}
