package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.report.Results;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Complete runs in virtual time, checked by the same ledger as runs on sockets. */
class VirtualRunTest {

    private static final String EXPERIMENT =
            """
            name = "everything"
            seed = %d
            duration_s = 40
            [fleet]
            nodes = 9
            keys = 1000
            [load]
            rate = 120
            %s
            """;

    static String fault(String what, double atS, String more) {
        return "[[fault]]\nwhat = \""
                + what
                + "\"\nat_s = "
                + atS
                + "\n"
                + more.replace(';', '\n')
                + "\n";
    }

    private static Results run(String toml) throws Exception {
        return new VirtualRun(ExperimentFile.parse(Toml.parse("test", toml))).run();
    }

    private static String everyFault() {
        return fault("node-kill", 3, "node = \"node-1\"")
                + fault("node-restart", 5, "node = \"node-2\";for_s = 2")
                + fault("node-drain", 6, "node = \"node-3\";for_s = 4")
                + fault("node-silent", 8, "node = \"node-4\";for_s = 3")
                + fault("node-slow", 10, "node = \"node-5\";for_s = 3;factor = 5")
                + fault("node-errors", 11, "node = \"node-6\";for_s = 2;share = 0.4")
                + fault("reset-before", 12, "node = \"*\";for_s = 1;share = 0.2")
                + fault("reset-after", 13, "node = \"*\";for_s = 1;share = 0.2")
                + fault("half-answer", 14, "node = \"*\";for_s = 1;share = 0.2")
                + fault("spoilt-answer", 15, "node = \"*\";for_s = 1;share = 0.2")
                + fault("origin-stall", 16, "for_s = 2")
                + fault("origin-slow", 18, "for_s = 2;factor = 3")
                + fault("zone-cut", 20, "zone = \"cali-1\";for_s = 3")
                + fault("discovery-silent", 21, "proxy = \"proxy-0\";for_s = 3")
                + fault("discovery-stale", 22, "for_s = 2;factor = 2")
                + fault("mass-voiding", 24, "share = 0.8")
                + fault("hot-key", 25, "for_s = 3;share = 0.2;keys = 1")
                + fault("heavy", 26, "class = \"view-agenda\";for_s = 2;share = 0.02;factor = 10")
                + fault("burst", 27, "for_s = 2;factor = 2")
                + fault("proxy-kill", 29, "proxy = \"proxy-1\";for_s = 1")
                + fault("proxy-term", 30, "proxy = \"proxy-2\";for_s = 1")
                + fault("proxy-stop", 33, "proxy = \"proxy-0\";for_s = 0.2");
    }

    @Test
    void runWithEveryFaultBreaksNoRuleAndIsReproducible() throws Exception {
        String toml = EXPERIMENT.formatted(1, everyFault());
        Results first = run(toml);
        assertEquals(java.util.List.of(), first.violations());
        assertEquals(first.json(), run(toml).json());
        assertNotEquals(first.json(), run(EXPERIMENT.formatted(2, everyFault())).json());
        assertTrue(first.figures().get("load.requests") > 4000);
        assertTrue(first.figures().get("served.worth") > 0.6, first.figures().toString());
    }

    @Test
    void proxyPauseIsFullyCountedInLatency() throws Exception {
        Results calm = run(EXPERIMENT.formatted(1, ""));
        Results stopped =
                run(EXPERIMENT.formatted(1, fault("proxy-stop", 20, "proxy = \"*\";for_s = 0.2")));
        assertTrue(stopped.figures().get("latency.max_ms") >= 200, stopped.figures().toString());
        assertEquals(calm.load(), stopped.load());
    }

    @Test
    void overloadedFleetServesPartOfItsLoad() throws Exception {
        Map<String, Double> over =
                run(EXPERIMENT
                                .formatted(1, "")
                                .replace("rate = 120", "rate = 1500")
                                .replace("duration_s = 40", "duration_s = 10"))
                        .figures();
        assertTrue(over.get("load.over_capacity") > 1.5, over.toString());
        assertTrue(
                over.get("served.worth") > 0.1 && over.get("served.worth") < 0.9, over.toString());
        assertTrue(over.get("refused.share") + over.get("failed.share") > 0.1, over.toString());
    }

    @Test
    void simulatesThousandNodesAndThirtyProxies() throws Exception {
        Experiment large =
                ExperimentFile.parse(
                        Toml.parse(
                                "large",
                                """
                name = "large"
                duration_s = 3
                [fleet]
                nodes = 1000
                [proxies]
                count = 30
                [load]
                rate = 1000
                """));
        Results results = new VirtualRun(large).run();
        assertEquals(java.util.List.of(), results.violations());
        assertTrue(results.figures().get("load.requests") > 2500);
    }

    @Test
    void firstLookExperimentMeetsItsBounds() throws Exception {
        Results results =
                new VirtualRun(
                                ExperimentFile.read(
                                        Path.of("experiments/first-look.toml"), Map.of()))
                        .run();
        assertTrue(results.passed(), results.violations() + " " + results.missed());
    }
}
