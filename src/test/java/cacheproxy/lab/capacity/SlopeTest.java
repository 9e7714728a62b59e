package cacheproxy.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SlopeTest {

    private static final Slope.SlopeMetadata GOSSIP_AT_REST =
            new Slope.SlopeMetadata(
                    Slope.Role.PROXY,
                    "gossip-rest-bytes-s",
                    "bytes/s",
                    "proxies",
                    "experiments/capacity/a.toml",
                    "a \"bench\"");

    @TempDir Path folder;

    private static Slope probeSlope(String experiment) {
        return Slope.fit(
                new Slope.SlopeMetadata(
                        Slope.Role.CACHE_NODE, "probes", "1/s", "proxies", experiment, "nothing"),
                List.of(60.0, 195.0, 390.0, 780.0),
                List.of(
                        List.of(169.0, 171.0),
                        List.of(440.0, 440.0),
                        List.of(829.0, 831.0),
                        List.of(1610.0, 1610.0)));
    }

    @Test
    void fitsLineThroughMeans() {
        Slope slope = probeSlope("a.toml");
        assertEquals(50, slope.fixed(), 1e-6);
        assertEquals(2, slope.perUnit(), 1e-9);
        assertEquals(1, slope.r2(), 1e-9);
        assertEquals(Math.sqrt(2), slope.spreads().get(0), 1e-9);
        assertEquals(2, slope.runs());
        assertEquals(3050, slope.valueAt(1500), 1e-6);
        assertEquals(780, slope.largestMeasuredSize());
        assertTrue(slope.isLinear());
    }

    @Test
    void distinguishesLinearFromNonLinearMeans() {
        assertFalse(
                Slope.fit(
                                GOSSIP_AT_REST,
                                List.of(1.0, 2.0, 3.0, 4.0),
                                List.of(List.of(1.0), List.of(100.0), List.of(2.0), List.of(90.0)))
                        .isLinear());
        Slope constant =
                Slope.fit(
                        GOSSIP_AT_REST,
                        List.of(1.0, 2.0, 3.0),
                        List.of(List.of(7.0), List.of(7.0), List.of(7.0)));
        assertTrue(constant.isLinear());
        assertEquals(7, constant.valueAt(780), 1e-9);
        assertEquals(0, constant.spreads().get(0));
        assertThrows(
                IllegalArgumentException.class,
                () -> Slope.fit(GOSSIP_AT_REST, List.of(1.0), List.of(List.of(1.0))));
    }

    @Test
    void replacesOnlySlopesOfSameExperiment() throws BadFileException, IOException {
        Path file = folder.resolve("slopes.toml");
        SlopeFile.replaceSlopes(
                file, "a.toml", List.of(probeSlope("a.toml"), probeSlope("a.toml")));
        SlopeFile.replaceSlopes(
                file,
                "experiments/capacity/a.toml",
                List.of(
                        Slope.fit(
                                GOSSIP_AT_REST,
                                List.of(1.0, 2.0),
                                List.of(List.of(1e-9 / 3), List.of(-2e12 / 3)))));
        SlopeFile.replaceSlopes(file, "a.toml", List.of(probeSlope("a.toml")));
        List<Slope> read = SlopeFile.read(file);
        assertEquals(2, read.size());
        assertEquals("a \"bench\"", read.get(0).beside());
        assertEquals(-666_667_000_000.0, read.get(0).means().get(1));
        assertEquals(Slope.Role.CACHE_NODE, read.get(1).role());
        assertEquals(probeSlope("a.toml").sizes(), read.get(1).sizes());
        assertEquals(2, read.get(1).perUnit(), 1e-9);
    }

    @Test
    void rejectsInvalidFileWithLineAndKey() throws BadFileException, IOException {
        Path file = folder.resolve("slopes.toml");
        SlopeFile.replaceSlopes(file, "a.toml", List.of(probeSlope("a.toml")));
        String good = Files.readString(file);
        String[][] cases = {
            {"role = \"cache-node\"", "role = \"cash\"", ":4: slope[0].role: found \"cash\""},
            {"780]", "\"780\"]", ":8: slope[0].sizes"},
            {
                "spreads = [1.41421, ",
                "spreads = [",
                ":10: slope[0].spreads: found 3 numbers, allowed is 4"
            },
            {"r2 = 1", "r2 = 2", ":14: slope[0].r2: found 2"},
            {"fixed = 50", "fixt = 50", "slope[0].fixed: found nothing"},
            {"figure = \"probes\"\n", "", "slope[0].figure: found nothing"}
        };
        for (String[] testCase : cases) {
            assertTrue(good.contains(testCase[0]), good);
            Files.writeString(file, good.replace(testCase[0], testCase[1]));
            String message =
                    assertThrows(BadFileException.class, () -> SlopeFile.read(file)).getMessage();
            assertTrue(
                    message.startsWith(file.toString()) && message.contains(testCase[2]), message);
        }
    }
}
