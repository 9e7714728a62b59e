package cacheproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Toml;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.sockets.SocketRun;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests gossip membership between five processes of the program with pauses, cuts and crashes. The
 * time limits are generous, as other tests may run at the same time.
 */
class ProcessesTest {

    private static final String RUN = "exec " + LabTest.JAVA + "cacheproxy.Main serve";
    private static final String FIVE =
            """
            name = "five"
            duration_s = %s
            [fleet]
            nodes = 3
            keys = 200
            [proxies]
            count = 5
            [gossip]
            enabled = true
            [load]
            rate = 20
            lateness_ms = 10000
            [rules]
            slack_ms = 5000
            """;

    @TempDir Path directory;

    private Map<String, Double> play(double durationS, String faults) throws Exception {
        Experiment experiment =
                ExperimentFile.parse(Toml.parse("test.toml", FIVE.formatted(durationS) + faults));
        Results results = new SocketRun(experiment, directory, directory, RUN).run(p -> {});
        assertEquals(List.of(), results.violations());
        return results.figures();
    }

    @Test
    void pausedProcessRejoinsAndCausesNoFalseDowns() throws Exception {
        Map<String, Double> figures =
                play(
                        18,
                        """
                [[fault]]
                what = "proxy-stop"
                proxy = "proxy-1"
                at_s = 1
                for_s = 0.8
                [[fault]]
                what = "proxy-stop"
                proxy = "proxy-2"
                at_s = 3
                for_s = 6
                """);
        assertEquals(0, figures.get("members.false_downs"), figures.toString());
        assertTrue(figures.get("members.paused_downs") <= 1, figures.toString());
        assertEquals(0, figures.get("members.wrong_at_end"), figures.toString());
        assertEquals(0, figures.get("members.stepped_down_at_end"), figures.toString());
    }

    @Test
    void oneWayCutCausesNoDownAndCrashIsDetected() throws Exception {
        Map<String, Double> figures =
                play(
                        18,
                        """
                [[fault]]
                what = "gossip-oneway"
                proxy = "proxy-2"
                peer = "proxy-1"
                at_s = 1
                for_s = 15
                [[fault]]
                what = "proxy-kill"
                proxy = "proxy-4"
                at_s = 5
                for_s = 60
                """);
        assertEquals(0, figures.get("members.false_downs"), figures.toString());
        assertEquals(0, figures.get("members.cut_downs"), figures.toString());
        assertEquals(0, figures.get("members.step_downs"), figures.toString());
        assertEquals(0, figures.get("members.crashes_missed"), figures.toString());
        assertTrue(figures.get("members.detect_ms_p50") > 0, figures.toString());
    }
}
