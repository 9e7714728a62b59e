package cacheproxy.lab.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.config.Toml;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.ListNotification;
import cacheproxy.lab.ledger.Ledger.MachineStart;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.world.SlowStartAllowance;
import cacheproxy.lab.world.World.Health;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the rule on nodes that are warming up with values computed by hand. An N of 9 requests
 * allows 3 x 3 + 3 more by chance in a window, as it is under 30; an N of 36 allows 2 x 6 + 2 more.
 */
class SlowStartLoadTest {

    private static final double START = 10_000;

    /**
     * Allows N = 3 x 0.2 x capacity 1 x 1500 ms / 100 ms = 9 requests. The warm-up is so long that
     * the allowance does not change during the test.
     */
    private static final SlowStartAllowance ALLOWANCE_OF_NINE =
            new SlowStartAllowance(3, 1500, 0.2, 1e12, 100);

    private static List<Violation> coldNodeViolations(
            double capacity, int calls, int notified, double requestWorkMs, double spacingMs)
            throws Exception {
        Ledger ledger = new Ledger();
        ledger.started(new MachineStart("node-0", START, capacity, ALLOWANCE_OF_NINE));
        for (int i = 0; i < calls; i++) {
            double at = START + 1 + i * spacingMs;
            if (i < notified) {
                ledger.notified(new ListNotification(i, "node-0", Health.UP, START, START));
            }
            // The attempts belong to no client; that breaks another rule, which is ignored here.
            ledger.attempt(
                    new Attempt(
                            i + 1, "call-" + i, "node-0", false, i, at, at, 0.5, requestWorkMs));
        }
        return Rules.check(
                        ledger,
                        ExperimentFile.parse(
                                Toml.parse("t", "name = \"t\"\n[proxies]\ncount = 100\n")))
                .stream()
                .filter(v -> v.rule() == Rule.COLD_NODE)
                .toList();
    }

    @ParameterizedTest(name = "{0} calls of {2} ms, {1} by notified proxies, {3} ms apart: {4}")
    @CsvSource({
        "21, 21, 100, 10, 0",
        "22, 22, 100, 10, 1",
        "60, 60, 100, 10, 1",
        "40, 40, 100, 90, 0",
        "44, 44, 50, 10, 1",
        "42, 42, 50, 10, 0",
        "22, 16, 100, 10, 1",
        "22, 13, 100, 10, 0",
        "60, 0, 100, 10, 0"
    })
    void limitsTotalLoadOfAllProxies(
            int calls, int notified, double requestWorkMs, double spacingMs, int violations)
            throws Exception {
        assertEquals(
                violations,
                coldNodeViolations(1, calls, notified, requestWorkMs, spacingMs).size());
    }

    @ParameterizedTest(name = "{0} calls where N is 36: {1}")
    @CsvSource({"50, 0", "51, 1"})
    void allowsTwoDeviationsForLargeCounts(int calls, int violations) throws Exception {
        assertEquals(violations, coldNodeViolations(4, calls, calls, 100, 10).size());
    }
}
