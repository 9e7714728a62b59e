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
 * The search finds what is there, makes it as small as it can be, and says nothing of what is not
 * there.
 */
class HuntTest {

    /**
     * A stand-in for a module with a weakness: a zone's cut and a silent node in one day break a
     * rule.
     */
    private static Results weak(Experiment e) {
        boolean cut = e.faults().stream().anyMatch(f -> f.what() == Fault.Kind.ZONE_CUT);
        boolean silent = e.faults().stream().anyMatch(f -> f.what() == Fault.Kind.NODE_SILENT);
        Map<String, Double> figures = new TreeMap<>(Map.of("load.over_capacity", 0.5));
        return new Results(
                Results.FORM,
                e.name(),
                "",
                "virtual",
                e.seed(),
                "",
                figures,
                List.of(new Results.Window(0, 1, 1, 0, 0, 1, 1, 1, 1, 0, 0)),
                List.of(),
                cut && silent ? List.of("drain x at 1.0 ms: planted") : List.of(),
                List.of());
    }

    @Test
    void aPlantedWeaknessIsFoundAndReducedToItsTwoCauses() throws Exception {
        AtomicInteger days = new AtomicInteger();
        AtomicInteger again = new AtomicInteger();
        List<Hunt.Found> found =
                new Hunt(7, HuntTest::weak)
                        .search(() -> days.incrementAndGet() <= 400, (n, wrong) -> {});
        assertEquals(1, found.size());
        Experiment smallest = ExperimentFile.of(Toml.parse("found", found.get(0).toml()));
        assertEquals(2, smallest.faults().size(), found.get(0).toml());
        assertEquals(1, smallest.proxies().count());
        assertTrue(smallest.fleet().nodes() <= 10);
        assertFalse(weak(smallest).violations().isEmpty());
        assertEquals(
                found,
                new Hunt(7, HuntTest::weak)
                        .search(() -> again.incrementAndGet() <= 400, (n, wrong) -> {}));
    }

    @Test
    void everyDrawnDayIsAGoodFileAndReplaysItself() throws Exception {
        Hunt hunt = new Hunt(1);
        for (int n = 1; n <= 200; n++) {
            ExperimentFile.of(Toml.parse("day " + n, hunt.day(n).toml("day", "drawn")));
        }
        Experiment day = ExperimentFile.of(Toml.parse("day", hunt.day(3).toml("day", "drawn")));
        assertEquals(new VirtualRun(day).play().json(), new VirtualRun(day).play().json());
    }
}
