package cacheproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import cacheproxy.config.Toml;
import cacheproxy.lab.capacity.Slope;
import cacheproxy.lab.virtual.ModuleCost;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the sizes at which an experiment is run, and the measures taken from each run. */
class SizeSweepTest {

    private static final String GOOD =
            "name = \"x\"\nduration_s = 10\n[proxies]\ncount = 4\n[sizes]\ndriver = \"virtual\"\nfactor = 2\nagainst = \"requests/s\"\n"
                    + "over = [\"load.rate = 10, 20, 40\", \"fleet.nodes=1,2,3\"]\n"
                    + "[[measure]]\nrole = \"cache-node\"\nfigure = \"f\"\nof = \"a.b\"\nunit = \"u\"\nper_s = true\nper_proxy = true\n";

    @Test
    void setsKeysTogetherAndDividesFiguresPerSecondAndProxy() throws Exception {
        SizeSweep sizes = SizeSweep.read(Toml.parse("f", GOOD).root());
        assertEquals(SizeSweep.Driver.VIRTUAL, sizes.driver());
        assertEquals(3, sizes.steps().size());
        assertEquals(
                new SizeSweep.Step(40, Map.of("load.rate", "20", "fleet.nodes", "2")),
                sizes.steps().get(1));
        SizeSweep.Measure measure = sizes.measures().get(0);
        assertEquals(Slope.Role.CACHE_NODE, measure.role());
        Experiment experiment = ExperimentFile.parse(Toml.parse("f", GOOD));
        assertEquals(2, measure.value(Map.of("a.b", 80.0), experiment));
        assertTrue(Double.isNaN(measure.value(Map.of(), experiment)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "over = [\"load.rate = 1, 2\"]       | f:2: sizes.over: found \"load.rate = 1, 2\", allowed is KEY = V, V, V",
                "over = [\"load.rate = 1, 2, 3.4.5\"]| f:2: sizes.over",
                "over = [\"load.rate = 1,2,3\", \"fleet.nodes = 1,2,3,4\"] | f:2: sizes.over",
                "over = [\"1, 2, 3\"]                | f:2: sizes.over",
                "over = [\"load.rate = 1, 2, 3\"]    | f:2: sizes.over: found 3 sizes against \"\" and 0 [[measure]], allowed is all of them or none",
                "driver = \"dice\"                   | f:2: sizes.driver: found \"dice\"",
                "size = 1                            | f:2: sizes.size: unknown key"
            })
    void reportsInvalidSizesWithLine(String line, String message) {
        BadFileException e =
                assertThrows(
                        BadFileException.class,
                        () -> SizeSweep.read(Toml.parse("f", "[sizes]\n" + line + "\n").root()));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }

    @Test
    void moduleCostReportsRetainedBytes() throws Exception {
        ModuleCost.Cost cost =
                ModuleCost.measure(
                        ExperimentFile.parse(
                                Toml.parse("f", "name = \"x\"\n[fleet]\nnodes = 4\nkeys = 500\n")));
        assertEquals(cost.retainedBytes(), cost.figures().get("module.retained_bytes"));
        assertTrue(cost.cpuUs() > 0 && cost.allocatedBytes() > 0);
        assertTrue(
                cost.retainedBytes() > 10_000,
                "a decision module with four nodes and their keys in use must retain more than "
                        + cost.retainedBytes()
                        + " bytes");
    }
}
