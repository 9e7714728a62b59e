package cacheproxy.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.lab.ExperimentFile;
import cacheproxy.lab.capacity.Row;
import cacheproxy.lab.capacity.Target;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The page's tables are what the command prints from the committed files. */
class CapacityPageTest {

    private static final String BEGIN = "<!-- begin: ./flintmill lab capacity -->\n";
    private static final String END = "<!-- end -->\n";

    @TempDir Path directory;

    private record Said(int exit, String out, String err) {}

    private static Said run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        ByteArrayOutputStream wrong = new ByteArrayOutputStream();
        System.setOut(new PrintStream(told, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(wrong, true, StandardCharsets.UTF_8));
        try {
            int exit = Cli.run(args);
            return new Said(
                    exit,
                    told.toString(StandardCharsets.UTF_8),
                    wrong.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Test
    void pageAndCommandAreTheSame() throws Exception {
        String page = Files.readString(Path.of("docs/CAPACITY.md"));
        int begin = page.indexOf(BEGIN) + BEGIN.length();
        assertTrue(
                begin >= BEGIN.length() && page.indexOf(END) > begin,
                "the page has lost its marks");
        Said said = run("lab", "capacity");
        assertEquals(0, said.exit(), said.err());
        assertEquals(
                said.out(),
                page.substring(begin, page.indexOf(END)),
                "put what ./flintmill lab capacity prints between the page's marks");
    }

    @Test
    void anotherSizeIsPrintedAndABadOneExitsWithTwo() throws Exception {
        assertTrue(
                run("lab", "capacity", "--set", "fleet.proxies=1560")
                        .out()
                        .contains("| 1560 connections |"));
        Said bad = run("lab", "capacity", "--set", "fleet.proxies=0");
        assertEquals(2, bad.exit());
        assertEquals(
                "flintmill: --set: fleet.proxies: found 0, allowed is a whole number from 1 to 2147483647\n",
                bad.err());
        Path file = directory.resolve("slopes.toml");
        Files.writeString(
                file,
                "[[slope]]\nrole = \"moon\"\nsizes = [1, 2]\nmeans = [1, 2]\nspreads = [0, 0]\n");
        bad = run("lab", "capacity", "--slopes", file.toString());
        assertEquals(2, bad.exit());
        assertTrue(
                bad.err().startsWith("flintmill: " + file + ":2: slope[0].role: found \"moon\""),
                bad.err());
    }

    @Test
    void whatCarriesARowIsThere() throws Exception {
        Target target = Target.read(Path.of("deploy/target.toml"), Map.of());
        for (Row row : Row.read(Path.of("experiments/capacity/rows.toml"), target)) {
            for (String name : row.carriedBy().split(", ")) {
                Path at = Path.of("src/main/java", name.replace('.', '/'));
                assertTrue(
                        name.isEmpty()
                                || name.equals("platform")
                                || Files.isDirectory(at)
                                || Files.exists(Path.of(at + ".java")),
                        row.what() + ": no such class or package: " + name);
            }
        }
    }

    @Test
    void everyMeasurementOfTheFolderCouldBePlayed() throws Exception {
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
