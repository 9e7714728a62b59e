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

    private static final Slope.Head REST =
            new Slope.Head(
                    Slope.Role.PROXY,
                    "gossip-rest-bytes-s",
                    "bytes/s",
                    "proxies",
                    "experiments/capacity/a.toml",
                    "a \"bench\"");

    @TempDir Path folder;

    private static Slope lineOf(String experiment) {
        return Slope.fit(
                new Slope.Head(
                        Slope.Role.CACHE_NODE, "probes", "1/s", "proxies", experiment, "nothing"),
                List.of(60.0, 195.0, 390.0, 780.0),
                List.of(
                        List.of(169.0, 171.0),
                        List.of(440.0, 440.0),
                        List.of(829.0, 831.0),
                        List.of(1610.0, 1610.0)));
    }

    @Test
    void theLineAndItsSpreadAreThoseOfTheMeans() {
        Slope slope = lineOf("a.toml");
        assertEquals(50, slope.fixed(), 1e-6);
        assertEquals(2, slope.perUnit(), 1e-9);
        assertEquals(1, slope.r2(), 1e-9);
        assertEquals(Math.sqrt(2), slope.spreads().get(0), 1e-9);
        assertEquals(2, slope.runs());
        assertEquals(3050, slope.at(1500), 1e-6);
        assertEquals(780, slope.measuredTo());
        assertTrue(slope.straight());
    }

    @Test
    void whatBendsIsNotCalledStraightAndWhatStaysIs() {
        assertFalse(
                Slope.fit(
                                REST,
                                List.of(1.0, 2.0, 3.0, 4.0),
                                List.of(List.of(1.0), List.of(100.0), List.of(2.0), List.of(90.0)))
                        .straight());
        Slope level =
                Slope.fit(
                        REST,
                        List.of(1.0, 2.0, 3.0),
                        List.of(List.of(7.0), List.of(7.0), List.of(7.0)));
        assertTrue(level.straight());
        assertEquals(7, level.at(780), 1e-9);
        assertEquals(0, level.spreads().get(0));
        assertThrows(
                IllegalArgumentException.class,
                () -> Slope.fit(REST, List.of(1.0), List.of(List.of(1.0))));
    }

    @Test
    void anExperimentReplacesItsOwnSlopesAlone() throws BadFileException, IOException {
        Path file = folder.resolve("slopes.toml");
        SlopeFile.put(file, "a.toml", List.of(lineOf("a.toml"), lineOf("a.toml")));
        SlopeFile.put(
                file,
                "experiments/capacity/a.toml",
                List.of(
                        Slope.fit(
                                REST,
                                List.of(1.0, 2.0),
                                List.of(List.of(1e-9 / 3), List.of(-2e12 / 3)))));
        SlopeFile.put(file, "a.toml", List.of(lineOf("a.toml")));
        List<Slope> read = SlopeFile.read(file);
        assertEquals(2, read.size());
        assertEquals("a \"bench\"", read.get(0).beside());
        assertEquals(-666_667_000_000.0, read.get(0).means().get(1));
        assertEquals(Slope.Role.CACHE_NODE, read.get(1).role());
        assertEquals(lineOf("a.toml").sizes(), read.get(1).sizes());
        assertEquals(2, read.get(1).perUnit(), 1e-9);
    }

    @Test
    void whatIsWrongIsNamedWithFileLineAndKey() throws BadFileException, IOException {
        Path file = folder.resolve("slopes.toml");
        SlopeFile.put(file, "a.toml", List.of(lineOf("a.toml")));
        String good = Files.readString(file);
        String[][] wrong = {
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
        for (String[] w : wrong) {
            assertTrue(good.contains(w[0]), good);
            Files.writeString(file, good.replace(w[0], w[1]));
            String told =
                    assertThrows(BadFileException.class, () -> SlopeFile.read(file)).getMessage();
            assertTrue(told.startsWith(file.toString()) && told.contains(w[2]), told);
        }
    }
}
