package cacheproxy.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import cacheproxy.lab.capacity.CapacityPlan.PlanEntry;
import cacheproxy.lab.capacity.CapacityPlan.State;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the values computed from slopes, and that rows without a slope get no value. */
class CapacityPlanTest {

    private static final Path COMMITTED = Path.of("deploy/target.toml");

    @TempDir Path directory;
    private Target target;

    @BeforeEach
    void readTarget() throws Exception {
        target = Target.read(COMMITTED, Map.of());
    }

    private static Slope slope(String figure, String against, double... points) {
        List<Double> sizes = new java.util.ArrayList<>();
        List<List<Double>> measured = new java.util.ArrayList<>();
        for (int i = 0; i < points.length; i += 2) {
            sizes.add(points[i]);
            measured.add(List.of(points[i + 1]));
        }
        return Slope.fit(
                new Slope.SlopeMetadata(
                        Slope.Role.PROXY,
                        figure,
                        "bytes/s",
                        against,
                        "experiments/capacity/x.toml",
                        "nothing"),
                sizes,
                measured);
    }

    private static PlanRow row(
            List<String> slopes, String at, String quantity, String budget, String carriedBy) {
        return new PlanRow(
                Slope.Role.PROXY, "it", "bytes/s", slopes, at, quantity, budget, carriedBy, "");
    }

    private PlanEntry evaluate(PlanRow row, Slope... slopes) {
        List<PlanEntry> entries = new CapacityPlan(target, List.of(row), List.of(slopes)).entries();
        assertEquals(1, entries.size());
        return entries.get(0);
    }

    @Test
    void evaluatesSlopeAtTargetAndReportsExtrapolation() {
        PlanRow row = row(List.of("rest"), "", "", "control.bytes_per_s", "cacheproxy.gossip");
        PlanEntry measured = evaluate(row, slope("rest", "proxies", 0, 100, 780, 880));
        assertEquals(880, measured.value(), 1e-6);
        assertEquals(State.MEASURED, measured.state());
        assertEquals(5000.0 / 880, measured.budgetFactor(), 1e-6);
        PlanEntry beyond = evaluate(row, slope("rest", "proxies", 0, 100, 390, 490));
        assertEquals(880, beyond.value(), 1e-6);
        assertEquals(State.EXTRAPOLATED, beyond.state());
        PlanEntry busy =
                evaluate(
                        row(List.of("cpu"), "requests/s a busy proxy", "", "", "cacheproxy.proxy"),
                        slope("cpu", "requests/s a proxy", 0, 0, 2000, 2000));
        assertEquals(3 * 400_000 / 780.0, busy.value(), 1e-6);
    }

    @Test
    void givesNoValueWithoutMeasuredSlope() {
        PlanRow two =
                row(List.of("rest", "leases"), "", "", "control.bytes_per_s", "cacheproxy.gossip");
        assertEquals(State.NOT_MEASURED, evaluate(two).state());
        assertTrue(Double.isNaN(evaluate(two).value()));
        CapacityPlan part =
                new CapacityPlan(
                        target, List.of(two), List.of(slope("rest", "proxies", 0, 100, 780, 880)));
        assertEquals(State.PARTLY_MEASURED, part.entries().get(0).state());
        assertTrue(part.markdown().contains("at least 880 bytes/s"), part.markdown());
        // A slope against a quantity that the target does not have cannot be evaluated.
        assertEquals(
                State.NOT_MEASURED,
                evaluate(
                                row(List.of("moons"), "", "", "", "cacheproxy.gossip"),
                                slope("moons", "moons", 1, 1, 2, 2))
                        .state());
        assertTrue(
                new CapacityPlan(target, List.of(two), List.of())
                        .markdown()
                        .contains("| - | - | - | - | 5000 | - |"));
    }

    @Test
    void doesNotExtrapolateNoiseAsSlope() {
        CapacityPlan plan =
                new CapacityPlan(
                        target,
                        List.of(row(List.of("held"), "", "", "", "cacheproxy.gossip")),
                        List.of(slope("held", "objects", 10_000, 98, 100_000, 104, 1_000_000, 98)));
        assertEquals(100, plan.entries().get(0).value(), 1e-6);
        assertTrue(plan.markdown().contains("| 100 at every size measured |"), plan.markdown());
        assertTrue(
                plan.markdown().contains("| extrapolated to 1100 times the size |"),
                plan.markdown());
    }

    @Test
    void interpolatesNonLinearSlopeAndDoesNotExtrapolateIt() {
        Slope bent = slope("bent", "proxies", 60, 100, 390, 900, 780, 200);
        PlanRow row = row(List.of("bent"), "", "", "", "cacheproxy.gossip");
        assertEquals(200, evaluate(row, bent).value(), 1e-6);
        assertEquals(State.MEASURED, evaluate(row, bent).state());
        PlanEntry beyond = evaluate(row, slope("bent", "proxies", 60, 100, 195, 900, 390, 200));
        assertTrue(Double.isNaN(beyond.value()));
        assertEquals(State.NO_LINE, beyond.state());
    }

    @Test
    void listsUnhandledRowsBeforeRowsFurthestOverBudget() {
        PlanRow missing = row(List.of(), "", "", "purges.everywhere_ms", "");
        PlanRow little = row(List.of("little"), "", "", "control.bytes_per_s", "cacheproxy.gossip");
        PlanRow much = row(List.of("much"), "", "", "control.bytes_per_s", "cacheproxy.gossip");
        PlanRow fits = row(List.of("fits"), "", "", "control.bytes_per_s", "cacheproxy.gossip");
        CapacityPlan plan =
                new CapacityPlan(
                        target,
                        List.of(little, fits, much, missing),
                        List.of(
                                slope("little", "proxies", 0, 0, 780, 6000),
                                slope("much", "proxies", 0, 0, 780, 60_000),
                                slope("fits", "proxies", 0, 0, 780, 600)));
        assertEquals(
                List.of(missing, much, little),
                plan.missingThenOverBudget().stream().map(PlanEntry::row).toList());
        assertTrue(
                plan.markdown()
                        .contains(
                                "1. proxy, it: nothing carries it\n2. proxy, it: 60,000 bytes/s, budget 5000, 12 times too much\n"),
                plan.markdown());
    }

    @Test
    void evaluatesOtherSizesAndListsSlopesWithoutRow() throws Exception {
        target = Target.read(COMMITTED, Map.of("fleet.proxies", "390"));
        PlanEntry entry =
                new CapacityPlan(
                                target,
                                List.of(),
                                List.of(slope("rest", "proxies", 0, 100, 780, 880)))
                        .entries()
                        .get(0);
        assertEquals(490, entry.value(), 1e-6);
        assertEquals("not named", entry.row().carriedBy());
        Slope first = slope("rest", "proxies", 0, 100, 780, 880);
        Slope second =
                Slope.fit(
                        new Slope.SlopeMetadata(
                                Slope.Role.PROXY,
                                "rest",
                                "bytes/s",
                                "proxies",
                                "experiments/capacity/y.toml",
                                "nothing"),
                        List.of(0.0, 780.0),
                        List.of(List.of(100.0), List.of(1660.0)));
        assertEquals(
                List.of(880.0, 490.0),
                new CapacityPlan(
                                target,
                                List.of(row(List.of("y/rest"), "", "", "", "cacheproxy.gossip")),
                                List.of(first, second))
                        .entries().stream().map(e -> Math.rint(e.value())).toList());
        assertEquals(2 * 400_000 / 780.0, target.quantities().get("requests/s a proxy"), 1e-6);
    }

    @Test
    void committedTargetMatchesUserRequirements() {
        Map<String, Double> quantities = target.quantities();
        assertEquals(512.8, quantities.get("requests/s a proxy"), 0.1);
        assertEquals(6.7e9 / 8, quantities.get("bytes/s a proxy"), 0.1e9 / 8);
        assertEquals(14_040, quantities.get("purges while regions are apart"), 0.1);
        assertEquals(91.7, quantities.get("changes while regions are apart"), 0.1);
        assertEquals(195, quantities.get("proxies a control machine"));
        assertEquals(
                Map.of(
                        "purges.everywhere_ms",
                        2600.0,
                        "changes.everywhere_ms",
                        4000.0,
                        "control.core_share",
                        0.011,
                        "control.memory_mb",
                        128.0,
                        "control.bytes_per_s",
                        5000.0,
                        "proxy.loop_cores",
                        1.0),
                target.budgets());
    }

    private String errorMessage(String from, String to) throws Exception {
        Path file = directory.resolve("t.toml");
        String text = Files.readString(COMMITTED);
        assertTrue(text.contains(from));
        Files.writeString(file, text.replace(from, to));
        return assertThrows(BadFileException.class, () -> Target.read(file, Map.of()))
                .getMessage()
                .replace(file.toString(), "t");
    }

    @Test
    void rejectsInvalidInputWithFileLineAndKey() throws Exception {
        assertEquals(
                "t:5: fleet.proxies: found 0, allowed is a whole number from 1 to 2147483647",
                errorMessage("proxies = 780", "proxies = 0"));
        assertEquals(
                "t:5: fleet.proxies: found \"many\", allowed is a number from 0 to 1.0E15",
                errorMessage("proxies = 780", "proxies = \"many\""));
        assertTrue(errorMessage("sites = 36\n", "").startsWith("t:4: fleet.sites: found nothing"));
        assertTrue(
                errorMessage("sites = 36", "sites = 36\nsights = 1")
                        .startsWith("t:7: fleet.sights: unknown key"));
        assertTrue(errorMessage("per_s = 3.9", "per_s = -1").contains(": purges.per_s: found -1"));
        Path rows = directory.resolve("r.toml");
        for (String[] bad :
                new String[][] {
                    {"budget = \"control.cores\"", "budget"},
                    {"at = \"moons\"", "at"},
                    {"quantity = \"moons\"", "quantity"},
                    {"slope = \"x\"", "slope"}
                }) {
            Files.writeString(rows, "[[row]]\nrole = \"proxy\"\n" + bad[0] + "\n");
            String message =
                    assertThrows(BadFileException.class, () -> PlanRow.read(rows, target))
                            .getMessage();
            assertTrue(message.startsWith(rows + ":3: row[0]." + bad[1] + ": "), message);
        }
    }
}
