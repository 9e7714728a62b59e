package cacheproxy.lab.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.BadFileException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads the committed plan, and checks that invalid plans are rejected with file, line and key. */
class StreamLoadPlanTest {

    @TempDir Path folder;

    private String errorMessage(String text) throws Exception {
        Path file = folder.resolve("plan.toml");
        Files.writeString(file, text);
        return assertThrows(BadFileException.class, () -> StreamLoadPlan.read(file, Map.of()))
                .getMessage()
                .substring(folder.toString().length() + 1);
    }

    @Test
    void acceptsCommittedPlanAndRejectsInvalidOnes() throws Exception {
        StreamLoadPlan plan =
                StreamLoadPlan.read(
                        Path.of("experiments/capacity/stream-780.toml"),
                        Map.of("fleet.proxies", "390"));
        assertEquals(390, plan.proxies());
        assertEquals(2600, plan.bounds().everywhereMs());
        assertTrue(
                errorMessage("[fleet]\nproxies = 0\n")
                        .startsWith("plan.toml:2: fleet.proxies: found 0"));
        assertTrue(
                errorMessage("[fleet]\nproxys = 7\n")
                        .startsWith("plan.toml:2: fleet.proxys: unknown key"));
        assertTrue(
                errorMessage("[fault]\nkill_s = \"soon\"\n")
                        .startsWith("plan.toml:2: fault.kill_s: found"));
    }
}
