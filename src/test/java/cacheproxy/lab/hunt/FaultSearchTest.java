package cacheproxy.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Toml;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.virtual.VirtualRun;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Tests that the fault search finds an injected fault, reduces the scenario to its causes, and
 * reports nothing else.
 */
class FaultSearchTest {

    /**
     * A driver that simulates a faulty decision module: a rule is broken if a scenario has both a
     * zone cut and a silent node.
     */
    private static Results faultyDriver(Experiment experiment) {
        boolean cut = experiment.faults().stream().anyMatch(f -> f.kind() == Fault.Kind.ZONE_CUT);
        boolean silent =
                experiment.faults().stream().anyMatch(f -> f.kind() == Fault.Kind.NODE_SILENT);
        Map<String, Double> figures = new TreeMap<>(Map.of("load.over_capacity", 0.5));
        return new Results(
                Results.FORM_VERSION,
                experiment.name(),
                "",
                "virtual",
                experiment.seed(),
                "",
                figures,
                List.of(new Results.Window(0, 1, 1, 0, 0, 1, 1, 1, 1, 0, 0)),
                List.of(),
                cut && silent ? List.of("drain x at 1.0 ms: planted") : List.of(),
                List.of());
    }

    @Test
    void findsInjectedFaultAndReducesItToItsTwoCauses() throws Exception {
        AtomicInteger scenarios = new AtomicInteger();
        AtomicInteger scenariosAgain = new AtomicInteger();
        List<FaultSearch.Finding> findings =
                new FaultSearch(7, FaultSearchTest::faultyDriver)
                        .search(() -> scenarios.incrementAndGet() <= 400, (n, wrong) -> {});
        assertEquals(1, findings.size());
        Experiment smallest = ExperimentFile.parse(Toml.parse("found", findings.get(0).toml()));
        assertEquals(2, smallest.faults().size(), findings.get(0).toml());
        assertEquals(1, smallest.proxies().count());
        assertTrue(smallest.fleet().nodes() <= 10);
        assertFalse(faultyDriver(smallest).violations().isEmpty());
        assertEquals(
                findings,
                new FaultSearch(7, FaultSearchTest::faultyDriver)
                        .search(() -> scenariosAgain.incrementAndGet() <= 400, (n, wrong) -> {}));
    }

    @Test
    void generatedScenariosAreValidAndReproducible() throws Exception {
        FaultSearch search = new FaultSearch(1);
        for (int n = 1; n <= 200; n++) {
            ExperimentFile.parse(Toml.parse("day " + n, search.scenario(n).toml("day", "drawn")));
        }
        Experiment scenario =
                ExperimentFile.parse(Toml.parse("day", search.scenario(3).toml("day", "drawn")));
        assertEquals(new VirtualRun(scenario).run().json(), new VirtualRun(scenario).run().json());
    }
}
