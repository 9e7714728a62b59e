package cacheproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the size and the dependencies of the decision source files, so that an on-call engineer
 * can read them quickly during an incident.
 */
class SourceLimitsTest {

    private static final Path MODULE = Path.of("src/main/java/cacheproxy/DecisionModule.java");
    private static final Path DEPLOY = Path.of("deploy/balancer.toml");
    private static final int MOST_MODULE_TOKENS = 9_327;
    private static final int MAX_FILE_LINES = 400;

    /** A comment, or one token of code. */
    private static final Pattern COMMENT_OR_TOKEN =
            Pattern.compile(
                    "(?<comment>/\\*.*?\\*/|//[^\\n]*)"
                            + "|\"(?:\\\\.|[^\"\\\\\\n])*\"|'(?:\\\\.|[^'\\\\\\n])+'|\\w+|\\S",
                    Pattern.DOTALL);

    /**
     * The class that the decisions are still to be split out of. Counts tokens of code, so that
     * layout, names and comments don't matter. The bound is lowered with each part that leaves it.
     */
    @Test
    void theLargestDecisionClassDoesNotGrow() throws IOException {
        long tokens =
                COMMENT_OR_TOKEN
                        .matcher(Files.readString(MODULE))
                        .results()
                        .filter(token -> token.group(1) == null)
                        .count();
        assertTrue(tokens > 0 && tokens <= MOST_MODULE_TOKENS, tokens + " tokens in " + MODULE);
    }

    @Test
    void everyOtherDecisionFileStaysShort() throws IOException {
        List<Path> files = decisionFiles();
        assertTrue(files.contains(MODULE), MODULE + " is missing in " + DEPLOY);
        for (Path file : files) {
            long lines = nonBlankLines(file);
            assertTrue(
                    file.equals(MODULE) || lines <= MAX_FILE_LINES,
                    lines + " non-blank lines in " + file);
        }
    }

    /**
     * Returns the decision logic: the files that the deploy file lists, and those of the packages
     * measure and maintenance.
     */
    private static List<Path> decisionFiles() throws IOException {
        String policy =
                Files.readAllLines(DEPLOY).stream()
                        .filter(l -> l.startsWith("policy"))
                        .findFirst()
                        .orElseThrow();
        List<Path> files = new ArrayList<>();
        for (String file :
                policy.replaceAll("#.*", "")
                        .replaceAll("[^\\w/.,]", "")
                        .replace("policy", "")
                        .split(",")) {
            files.add(Path.of(file));
        }
        for (String folder : List.of("measure", "maintenance")) {
            try (Stream<Path> inside = Files.list(MODULE.resolveSibling(folder))) {
                inside.forEach(files::add);
            }
        }
        return files;
    }

    private static long nonBlankLines(Path file) throws IOException {
        return Files.readAllLines(file).stream().filter(l -> !l.isBlank()).count();
    }

    @Test
    void moduleLinesStayNarrow() throws IOException {
        List<String> wide =
                Files.readAllLines(MODULE).stream().filter(l -> l.length() > 110).toList();
        assertTrue(wide.isEmpty(), wide.toString());
    }

    @Test
    void moduleNamesItsInterfaceAndUsesOnlyTheJdk() throws IOException {
        String text = Files.readString(MODULE);
        assertTrue(text.indexOf("Router.java") < text.indexOf("class DecisionModule"));
        assertTrue(
                text.lines()
                        .filter(l -> l.startsWith("import "))
                        .allMatch(
                                l ->
                                        l.startsWith("import java.util.")
                                                || l.equals("import java.nio.ByteBuffer;")
                                                || l.matches(
                                                        "import (static )?cacheproxy\\.(measure|maintenance)\\..*")));
    }
}
