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
 * Tests that a scenario gives byte-identical results in JVMs with other heap sizes, garbage
 * collectors, numbers of cores and identity hashes.
 */
class ScenarioReproducibilityTest {

    private static final int SCENARIOS = 20;
    private static final long SEED = 77;

    /** Prints a digest of the results of each scenario; the child processes run this. */
    public static void main(String[] args) throws Exception {
        digests().forEach(System.out::println);
    }

    private static List<String> digests() throws Exception {
        FaultSearch search = new FaultSearch(SEED);
        List<String> digests = new ArrayList<>();
        for (int n = 1; n <= SCENARIOS; n++) {
            String results =
                    new VirtualRun(
                                    ExperimentFile.parse(
                                            Toml.parse(
                                                    "day",
                                                    search.scenario(n).toml("day", "drawn"))))
                            .run()
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
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(List.of(options));
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        ScenarioReproducibilityTest.class.getName()));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
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
    void givesIdenticalResultsInOtherJvms() throws Exception {
        Process smallHeap = child("-Xmx200m", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=1");
        Process otherHashes =
                child(
                        "-Xmx1g",
                        "-XX:+UseParallelGC",
                        "-XX:ActiveProcessorCount=4",
                        "-XX:+UnlockExperimentalVMOptions",
                        "-XX:hashCode=2");
        List<String> here = digests();
        assertEquals(SCENARIOS, here.stream().distinct().count());
        assertEquals(here, lines(smallHeap));
        assertEquals(here, lines(otherHashes));
    }
}
