package cacheproxy.lab.virtual;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.report.Results;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares runs of fleets with gossip to the same runs without it. */
class GossipScenariosTest {

    private static Results run(String name, Map<String, String> overrides) throws Exception {
        return new VirtualRun(
                        ExperimentFile.read(Path.of("experiments", name + ".toml"), overrides))
                .run();
    }

    private static Results runWithoutGossip(String name, Map<String, String> overrides)
            throws Exception {
        Map<String, String> off = new HashMap<>(overrides);
        off.put("gossip.enabled", "false");
        return run(name, off);
    }

    @Test
    void healthyNodesKeepTheirShareDespiteLyingAndBlindPeers() throws Exception {
        for (String seed : List.of("1", "2")) {
            Results with = run("gossip-liars", Map.of("seed", seed));
            Results off = runWithoutGossip("gossip-liars", Map.of("seed", seed));
            assertEquals(List.of(), with.violations());
            off.figures()
                    .forEach(
                            (figure, sent) -> {
                                if (figure.startsWith("sent.")) {
                                    assertTrue(
                                            with.figures().get(figure) >= 0.95 * sent,
                                            figure
                                                    + ": "
                                                    + sent
                                                    + " to "
                                                    + with.figures().get(figure));
                                }
                            });
            assertTrue(with.figures().get("gossip.distrusts") >= 8, "the liar is distrusted");
        }
    }

    @Test
    void gossipReducesRequestsLostToSilentNodes() throws Exception {
        Results with =
                run("gossip-silent", Map.of("duration_s", "40", "seed", "3", "fault", faults()));
        Results off =
                runWithoutGossip(
                        "gossip-silent",
                        Map.of("duration_s", "40", "seed", "3", "fault", faults()));
        assertEquals(List.of(), with.violations());
        double before = off.figures().get("served.late_or_not_share");
        double now = with.figures().get("served.late_or_not_share");
        assertTrue(before > 0.002, "too few late requests without gossip: " + before);
        assertTrue(now <= 0.6 * before, before + " to " + now);
        assertEquals(off.figures().get("load.requests"), with.figures().get("load.requests"));
    }

    @Test
    void liarsHideNoFaultAndCutGossipEqualsNoGossip() throws Exception {
        String silent = faults().substring(1);
        String lies =
                "[{what = \"liar-praises\", proxy = \"proxy-3\", at_s = 5, for_s = 34}, {what = \"liar-flips\", proxy = \"proxy-7\", at_s = 5, "
                        + "for_s = 34}, ";
        Results off =
                runWithoutGossip("gossip-silent", Map.of("duration_s", "40", "fault", faults()));
        Results lied = run("gossip-silent", Map.of("duration_s", "40", "fault", lies + silent));
        double before = off.figures().get("served.late_or_not_share");
        assertEquals(List.of(), lied.violations());
        assertTrue(
                lied.figures().get("served.late_or_not_share") <= 0.6 * before,
                lied.figures().toString());
        String cut = "[{what = \"gossip-cut\", proxy = \"*\", at_s = 0.1, for_s = 60}, ";
        Results alone = run("gossip-silent", Map.of("duration_s", "40", "fault", cut + silent));
        assertEquals(List.of(), alone.violations());
        assertEquals(0.0, alone.figures().get("gossip.doubts"));
        assertEquals(before, alone.figures().get("served.late_or_not_share"), 0.001);
    }

    private static String faults() {
        return "[{what = \"node-silent\", node = \"node-1\", at_s = 12, for_s = 8}, {what = \"node-silent\", node = \"node-4\", at_s = 25, for_s = 8}]";
    }

    @Test
    void gossipRunIsReproducibleAndEndsWithCompleteMembership() throws Exception {
        for (String name : List.of("gossip-five", "gossip-split", "gossip-loss", "gossip-clock")) {
            Results results = run(name, Map.of());
            assertEquals(results.json(), run(name, Map.of()).json(), name);
            assertEquals(List.of(), results.violations(), name);
            assertEquals(1.0, results.figures().get("gossip.known_share"), name);
            assertEquals(0.0, results.figures().get("gossip.ghosts"), name);
            assertTrue(results.figures().get("gossip.learned_ms_max") <= 2000, name);
            // Each proxy limits its rate by its own clock, and one of them runs at double speed.
            assertTrue(
                    results.figures().get("gossip.bytes_per_s_peak")
                            <= (name.equals("gossip-clock") ? 8192 : 4096),
                    name);
        }
    }
}
