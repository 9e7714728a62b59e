package cacheproxy.lab.hollow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import cacheproxy.gossip.KeyException;
import cacheproxy.lab.capacity.SlopeFile;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ScaleExperimentTest {

    private static final String SMALL =
            """
            name = "small"
            settle_s = 60
            duration_s = 4
            [fleet]
            proxies = [4, 12]
            processes = 1
            sites = 6
            zones = 4
            regions = 2
            [gossip]
            bytes_per_s = 65536
            [policy]
            enabled = true
            changes = 4
            [links]
            delay_ms = [0, 0.2, 1, 5]
            loss = [0, 0, 0, 0.001]
            [[fault]]
            what = "control-kill"
            control = 0
            at_s = 0.5
            for_s = 1.5
            [[slope]]
            figures = ["control.connections", "proxy.connections"]
            role = "control"
            name = "connections"
            unit = "connections"
            [[expect]]
            figure = "start.whole_s"
            max = 60
            [[expect]]
            figure = "change.not_everywhere"
            max = 0
            """;

    @TempDir Path folder;

    private ScaleTest scaleTest(String toml) throws IOException, BadFileException {
        Path file = folder.resolve("small.toml");
        Files.writeString(file, toml);
        return new ScaleTest(file, Map.of(), "a build");
    }

    /**
     * Fleets of 4 and 12 proxies with three control machines converge, and policy changes reach all
     * proxies while one of the control machines is killed and restarted. Refitting the slopes from
     * the stored results gives the same slopes.
     */
    @Test
    void changesReachAllProxiesWhenControlMachineIsKilled()
            throws IOException, InterruptedException, BadFileException, KeyException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Path slopes = folder.resolve("slopes.toml");
        boolean passed =
                scaleTest(SMALL)
                        .run(folder.resolve("out"), slopes, false, new PrintStream(output, true));
        assertTrue(passed, output::toString);
        assertEquals(List.of(4.0, 12.0), SlopeFile.read(slopes).get(0).sizes());
        assertEquals("a build", SlopeFile.read(slopes).get(0).beside());
        assertTrue(SlopeFile.read(slopes).get(0).perUnit() > 0, output::toString);
        Path refittedSlopes = folder.resolve("again.toml");
        assertTrue(
                scaleTest(SMALL)
                        .run(
                                folder.resolve("out"),
                                refittedSlopes,
                                true,
                                new PrintStream(output, true)));
        assertEquals(SlopeFile.read(slopes), SlopeFile.read(refittedSlopes));
    }

    @Test
    void rejectsInvalidFileWithLineAndKey() {
        String[][] cases = {
            {"proxies = [4, 12]", "proxies = [12, 4]", ":5: fleet.proxies"},
            {"changes = 4", "changes = -1", ":14: policy.changes"},
            {"loss = [0, 0, 0, 0.001]", "loss = [0, 0]", ":17: links.loss"},
            {"what = \"control-kill\"", "what = \"kill\"", "fault[0].what"},
            {"control = 0", "control = 3", "fault[0].control"},
            {
                "processes = 1\n",
                "processes = 1\ncontrol = 4\n",
                "policy.enabled: found true with 4 control machines"
            },
            {"regions = 2", "region = 2", "fleet.region: unknown key"}
        };
        for (String[] testCase : cases) {
            assertTrue(SMALL.contains(testCase[0]));
            String message =
                    assertThrows(
                                    BadFileException.class,
                                    () ->
                                            scaleTest(
                                                    SMALL.replaceFirst(
                                                            java.util.regex.Pattern.quote(
                                                                    testCase[0]),
                                                            testCase[1])))
                            .getMessage();
            assertTrue(message.contains(testCase[2]), message);
        }
    }

    @Test
    void cutBlocksOneDirectionUntilHealed() {
        ScaleExperiment.Fleet fleet = new ScaleExperiment.Fleet(List.of(8), 1, 0, 8, 4, 2);
        List<PlaneLocation> locations =
                java.util.stream.IntStream.range(0, 8)
                        .mapToObj(i -> PlaneLocation.of(i, fleet, 8))
                        .toList();
        LinkConditions links =
                new LinkConditions(
                        locations,
                        new ScaleExperiment.Links(
                                List.of(1.0, 2.0, 3.0, 4.0), List.of(0.0, 0.0, 0.0, 1.0)),
                        new SplittableRandom(1));
        assertEquals(
                List.of(1.0, 4.0, 3.0, 4.0, 2.0),
                java.util.stream.IntStream.range(0, 5).mapToObj(i -> links.delayMs(0, i)).toList());
        assertTrue(links.losesPacket(0, 1) && !links.losesPacket(0, 2));
        links.cut("region-0", "proxy-2");
        assertTrue(links.cut(0, 2) && !links.cut(2, 0) && links.losesPacket(0, 2));
        links.heal("region-0", "proxy-2");
        assertTrue(!links.cut(0, 2));
        for (int plane = 0; plane < 2007; plane++) {
            String host = LinkConditions.hostOf(70, plane);
            assertEquals(plane, LinkConditions.planeOf(new java.net.InetSocketAddress(host, 1)));
            assertTrue(!host.endsWith(".0") && !host.endsWith(".255"), host);
        }
    }
}
