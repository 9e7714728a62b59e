package cacheproxy.lab.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cacheproxy.config.Toml;
import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.virtual.VirtualRun;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A drawn day gives the same bytes in a program with another heap, another number of cores and
 * other identity hashes.
 */
class SameDayTest {

    private static final int DAYS = 20;
    private static final long SEED = 77;

    /** Prints a digest of each day's results; what the child processes run. */
    public static void main(String[] args) throws Exception {
        digests().forEach(System.out::println);
    }

    private static List<String> digests() throws Exception {
        Hunt hunt = new Hunt(SEED);
        List<String> digests = new ArrayList<>();
        for (int n = 1; n <= DAYS; n++) {
            String results =
                    new VirtualRun(
                                    ExperimentFile.of(
                                            Toml.parse("day", hunt.day(n).toml("day", "drawn"))))
                            .play()
                            .json();
            digests.add(
                    HexFormat.of()
                            .formatHex(
                                    MessageDigest.getInstance("SHA-256")
                                            .digest(results.getBytes(StandardCharsets.UTF_8))));
        }
        return digests;
    }

    private static Process child(String... options) throws Exception {
        List<String> line =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        line.addAll(List.of(options));
        line.addAll(
                List.of("-cp", System.getProperty("java.class.path"), SameDayTest.class.getName()));
        return new ProcessBuilder(line).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    }

    private static List<String> lines(Process child) throws Exception {
        List<String> lines =
                new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .toList();
        assertEquals(0, child.waitFor());
        return lines;
    }

    @Test
    void twentyDaysAreTheSameByteForByteElsewhere() throws Exception {
        Process small = child("-Xmx200m", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=1");
        Process other =
                child(
                        "-Xmx1g",
                        "-XX:+UseParallelGC",
                        "-XX:ActiveProcessorCount=4",
                        "-XX:+UnlockExperimentalVMOptions",
                        "-XX:hashCode=2");
        List<String> here = digests();
        assertEquals(DAYS, here.stream().distinct().count());
        assertEquals(here, lines(small));
        assertEquals(here, lines(other));
    }
}
