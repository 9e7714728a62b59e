package cacheproxy.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.store.FaultyFiles.Killed;
import cacheproxy.store.FaultyFiles.Step;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A file that is replaced holds the old content or the new one, whichever step fails or is the
 * last.
 */
class DurableFilesTest {

    private static final int STEPS_OF_REPLACE = 6;
    private static final Set<PosixFilePermission> OWNER =
            PosixFilePermissions.fromString("rw-------");
    private static final String OLD = "old content";
    private static final String NEW = "content that is new";

    @TempDir Path folder;
    private final FaultyFiles faulty = new FaultyFiles();
    private final DurableFiles files = new DurableFiles(faulty);

    private Path file() {
        return folder.resolve("file");
    }

    private void replace(String content) throws FileWriteException {
        files.replace(file(), content.getBytes(StandardCharsets.UTF_8), OWNER);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aKillOrACrashAfterAnyStepLeavesTheOldContentOrTheNewOne(boolean losesNames)
            throws Exception {
        for (int steps = 0; steps <= STEPS_OF_REPLACE; steps++) {
            replace(OLD);
            FaultyFiles machine = new FaultyFiles();
            machine.killAfter(steps);
            boolean returned = false;
            try {
                byte[] content = NEW.getBytes(StandardCharsets.UTF_8);
                new DurableFiles(machine).replace(file(), content, OWNER);
                returned = true;
            } catch (Killed e) {
                assertTrue(steps < STEPS_OF_REPLACE, "killed after " + steps);
            }
            String killed = Files.readString(file());
            machine.crash(losesNames);
            for (String content : List.of(killed, Files.readString(file()))) {
                assertTrue(List.of(OLD, NEW).contains(content), steps + ": " + content);
                assertTrue(!returned || content.equals(NEW), "what returned holds");
            }
            assertEquals(steps == STEPS_OF_REPLACE, returned);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE", "WRITE", "FORCE", "RENAME", "DELETE"})
    void aStepThatFailsLeavesTheOldContentAndNothingBesideIt(Step step) throws Exception {
        replace("old");
        faulty.fail(step, 1);
        FileWriteException failure = assertThrows(FileWriteException.class, () -> replace("new"));
        assertFalse(failure.isReplaced());
        String expected = ": could not be written and is as it was: No space left on device";
        assertEquals(file() + expected, failure.getMessage());
        assertEquals("old", Files.readString(file()));
        try (var names = Files.list(folder)) {
            assertEquals(List.of(file()), names.toList(), "no half of a key is left behind");
        }
        replace("new");
        assertEquals("new", Files.readString(file()));
    }

    @Test
    void aFolderThatCannotBeSyncedIsTold() throws Exception {
        replace("old");
        faulty.fail(Step.FORCE_FOLDER, 1);
        assertTrue(assertThrows(FileWriteException.class, () -> replace("new")).isReplaced());
        assertEquals("new", Files.readString(file()));
    }

    @Test
    void whatAKillLeftBesideIsReplacedWithTheRightPermissions() throws Exception {
        Path unfinished = folder.resolve("file.new");
        Files.writeString(unfinished, "half");
        Files.setPosixFilePermissions(unfinished, PosixFilePermissions.fromString("rw-rw-rw-"));
        replace("new");
        assertEquals("new", Files.readString(file()));
        assertEquals(OWNER, Files.getPosixFilePermissions(file()));
        assertFalse(Files.exists(unfinished));
    }
}
