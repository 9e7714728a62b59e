package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.Router.Outcome;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that only a limited fraction of the nodes is ejected at a time, however many fail, so that
 * the others are not overloaded.
 */
class EjectionTest {

    private static final int CACHES = 6;

    @Test
    void atMostAThirdOfTheNodesIsEjectedAtATime() {
        RouterHarness harness = RouterHarness.withCaches(CACHES);
        Set<String> usedNodes = new HashSet<>();
        for (int i = 0; i < 600; i++) {
            if (i == 300) {
                usedNodes.clear();
            }
            String id = harness.request("dear", 1000 + i);
            while (harness.actions.finalAnswers(id) == 0) {
                String node = harness.lastNodeOf(id);
                usedNodes.add(node);
                harness.endAttempt(id, node.compareTo("c3") < 0 ? Outcome.REJECTED : Outcome.OK);
                if (harness.actions.finalAnswers(id) == 0 && node.compareTo("c3") >= 0) {
                    break;
                }
            }
        }
        assertEquals(CACHES - CACHES / 3, usedNodes.size(), usedNodes.toString());
    }
}
