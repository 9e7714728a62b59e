package cacheproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.capacity.PlanRow;
import cacheproxy.lab.capacity.Target;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The tables of docs/CAPACITY.md equal the output of the command for the committed files. */
class CapacityPageTest {

    private static final String BEGIN = "<!-- begin: ./flintmill lab capacity -->\n";
    private static final String END = "<!-- end -->\n";

    @TempDir Path directory;

    private record CommandResult(int exit, String out, String err) {}

    private static CommandResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
        ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
        System.setOut(new PrintStream(capturedOut, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(capturedErr, true, StandardCharsets.UTF_8));
        try {
            int exit = Cli.run(args);
            return new CommandResult(
                    exit,
                    capturedOut.toString(StandardCharsets.UTF_8),
                    capturedErr.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void pageContainsTheCommandsOutput() throws Exception {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        assertTrue(
                begin >= BEGIN.length() && page.indexOf(END) > begin,
                "the begin or end marker is missing from the page");
        CommandResult result = run("lab", "capacity");
        assertEquals(0, result.exit(), result.err());
        assertEquals(
                result.out(),
                page.substring(begin, page.indexOf(END)),
                "replace the text between the page's markers by the output of ./flintmill lab capacity");
    }

    @Test
    void printsOtherSizesAndExitsWithTwoOnInvalidFiles() throws Exception {
        assertTrue(
                run("lab", "capacity", "--set", "fleet.proxies=1560")
                        .out()
                        .contains("| 1560 connections |"));
        CommandResult result = run("lab", "capacity", "--set", "fleet.proxies=0");
        assertEquals(2, result.exit());
        assertEquals(
                "flintmill: --set: fleet.proxies: found 0, allowed is a whole number from 1 to 2147483647\n",
                result.err());
        Path file = directory.resolve("slopes.toml");
        Files.writeString(
                file,
                "[[slope]]\nrole = \"moon\"\nsizes = [1, 2]\nmeans = [1, 2]\nspreads = [0, 0]\n");
        result = run("lab", "capacity", "--slopes", file.toString());
        assertEquals(2, result.exit());
        assertTrue(
                result.err().startsWith("flintmill: " + file + ":2: slope[0].role: found \"moon\""),
                result.err());
    }

    @Test
    void classesNamedByRowsExist() throws Exception {
        Target target = Target.read(Path.of("deploy/target.toml"), Map.of());
        for (PlanRow row : PlanRow.read(Path.of("experiments/capacity/rows.toml"), target)) {
            for (String name : row.carriedBy().split(", ")) {
                Path path = Path.of("src/main/java", name.replace('.', '/'));
                assertTrue(
                        name.isEmpty()
                                || name.equals("platform")
                                || Files.isDirectory(path)
                                || Files.exists(Path.of(path + ".java")),
                        row.what() + ": no such class or package: " + name);
            }
        }
    }

    @Test
    void allMeasurementFilesAreValid() throws Exception {
        try (var files = Files.list(Path.of("experiments/capacity"))) {
            for (Path file :
                    files.filter(
                                    f ->
                                            f.getFileName()
                                                    .toString()
                                                    .matches("(data|module|origin|node)-.*\\.toml"))
                            .toList()) {
                ExperimentFile.read(file, Map.of());
            }
        }
    }
}
