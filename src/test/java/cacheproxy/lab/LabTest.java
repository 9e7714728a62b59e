package cacheproxy.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.config.Toml;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.report.HtmlReport;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.sockets.SocketRun;
import cacheproxy.proxy.BrokenServe;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs short end-to-end experiments on sockets, with real proxies as child processes. */
class LabTest {

    static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java")
                    + " -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx96m -cp '"
                    + System.getProperty("java.class.path")
                    + "' ";

    /**
     * The time limits are generous: the tests check rules, not speed, and other tests may run at
     * the same time.
     */
    private static final String SMALL =
            """
            name = "small"
            duration_s = %s
            [fleet]
            nodes = 4
            keys = 500
            zones = ["a", "b"]
            [proxies]
            count = 2
            memory_mb = 128
            [load]
            rate = 80
            lateness_ms = 5000
            [rules]
            slack_ms = 2000
            """;

    @TempDir Path directory;

    private Results play(String toml, String program) throws Exception {
        Experiment experiment = ExperimentFile.parse(Toml.parse("test.toml", toml));
        return new SocketRun(experiment, directory, directory, "exec " + JAVA + program)
                .run(p -> {});
    }

    @Test
    void realProxiesBreakNoRuleDuringFaults() throws Exception {
        Results results =
                play(
                        SMALL.formatted(8)
                                + """
                [[fault]]
                what = "node-kill"
                node = "node-1"
                at_s = 2
                [[fault]]
                what = "hostile"
                at_s = 1
                for_s = 3
                factor = 20
                [[fault]]
                what = "half-answer"
                node = "*"
                at_s = 3
                for_s = 1
                share = 0.2
                [[fault]]
                what = "proxy-term"
                proxy = "proxy-0"
                at_s = 4
                for_s = 0.5
                [[fault]]
                what = "proxy-hup"
                proxy = "proxy-1"
                at_s = 5
                [[expect]]
                figure = "served.share"
                min = 0.5
                [[expect]]
                figure = "no.such_figure"
                max = 1
                """,
                        "cacheproxy.Main serve");
        assertEquals(List.of(), results.violations());
        assertEquals(1, results.missed().size(), results.missed().toString());
        assertTrue(results.figures().get("load.requests") > 300, results.figures().toString());
        assertTrue(results.figures().get("hostile.peers") > 10);
        assertTrue(results.figures().get("proxy.ready_again_ms_max") > 0);
        Path report = directory.resolve("report.html");
        HtmlReport.write(results, report);
        assertTrue(Files.readString(report).contains("data:image/png;base64,"));
        Path file = directory.resolve("results.json");
        results.write(file);
        assertEquals(results, Results.read(file));
    }

    @ParameterizedTest
    @CsvSource({
        "REPEATS_UNSAFE,DUPLICATE,70",
        "DROPS_ANSWERS,REFUSAL,70",
        "SENDS_TO_DRAINED,DRAIN,70",
        "HOLDS_REFUSALS,REFUSAL,50",
        "OVERLOADS_COLD,COLD_NODE,70"
    })
    void reportsRuleBrokenByFaultyRouter(BrokenServe.Fault fault, Rule rule, int slackMs)
            throws Exception {
        String toml =
                SMALL.formatted(6).replace("slack_ms = 2000", "slack_ms = " + slackMs)
                        + switch (fault) {
                            case SENDS_TO_DRAINED ->
                                    "[[fault]]\nwhat = \"node-drain\"\nnode = \"node-0\"\nat_s = 0.5\nfor_s = 60\n[discovery]\ndelay_s = 0.1\n";
                            case OVERLOADS_COLD ->
                                    "[[fault]]\nwhat = \"node-restart\"\nnode = \"node-0\"\nat_s = 0.5\nfor_s = 0.2\n[discovery]\ndelay_s = 0.1\n";
                            default -> "";
                        };
        if (fault == BrokenServe.Fault.REPEATS_UNSAFE) {
            toml +=
                    "[[load.class]]\nname = \"book\"\neffect = \"unsafe\"\nwrite = true\nwork_ms = 40\naim_ms = 500\ndeadline_ms = 1000\n";
        } else if (fault == BrokenServe.Fault.HOLDS_REFUSALS) {
            toml += "[[load.class]]\nname = \"view\"\naim_ms = 300\ndeadline_ms = 2000\n";
        } else if (fault == BrokenServe.Fault.OVERLOADS_COLD) {
            toml = toml.replace("keys = 500", "keys = 500\nmiss_work_ms = 40");
        }
        Results results = play(toml, "cacheproxy.proxy.BrokenServe " + fault);
        String word = rule.name().toLowerCase(Locale.ROOT);
        assertTrue(
                results.figures().get("violations." + word) > 0,
                fault + " was not reported: " + results.violations() + results.figures());
        assertTrue(
                results.violations().stream()
                        .anyMatch(v -> v.startsWith(word.replace('_', '-') + " ")),
                results.violations().toString());
        assertFalse(results.passed());
    }

    @Test
    void sameSeedGivesIdenticalLoad() throws Exception {
        String toml = SMALL.formatted(30);
        LoadPlan plan = LoadPlan.of(ExperimentFile.parse(Toml.parse("a", toml)));
        assertEquals(
                plan.digest(), LoadPlan.of(ExperimentFile.parse(Toml.parse("b", toml))).digest());
        assertEquals(
                plan.requests(),
                LoadPlan.of(ExperimentFile.parse(Toml.parse("c", toml))).requests());
        assertNotEquals(
                plan.digest(),
                LoadPlan.of(ExperimentFile.parse(Toml.parse("d", "seed = 2\n" + toml))).digest());
    }

    @Test
    void proxiesExitWhenTestbedIsKilled() throws Exception {
        Path file = directory.resolve("long.toml");
        Files.writeString(file, SMALL.formatted(120) + "");
        Files.writeString(
                file,
                Files.readString(file)
                        .replace(
                                "count = 2",
                                "count = 2\nrun = \"\"\"exec "
                                        + JAVA
                                        + "cacheproxy.Main serve\"\"\""));
        Process lab =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "exec "
                                        + JAVA
                                        + "cacheproxy.Main lab run "
                                        + file
                                        + " --out "
                                        + directory.resolve("out"))
                        .directory(directory.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(directory.resolve("lab.log").toFile())
                        .start();
        try {
            Path config = directory.resolve("out").resolve("proxy-1.json");
            await("a listening proxy", () -> Files.exists(config) && isListening(address(config)));
            lab.destroyForcibly().waitFor();
            await("the exit of the proxy", () -> !isListening(address(config)));
        } finally {
            lab.destroyForcibly();
        }
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static void await(String what, Condition condition)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!condition.holds()) {
            assertTrue(System.nanoTime() < end, "timed out after 60 s waiting for " + what);
            Thread.sleep(20);
        }
    }

    private static InetSocketAddress address(Path config) throws IOException {
        String listen =
                com.google.gson.JsonParser.parseString(Files.readString(config))
                        .getAsJsonObject()
                        .get("listen")
                        .getAsString();
        return new InetSocketAddress(listen.split(":")[0], Integer.parseInt(listen.split(":")[1]));
    }

    private static boolean isListening(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 500);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
