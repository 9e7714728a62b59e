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
 * Tests that a replaced file has its old or its new content whichever step fails, and after
 * whichever step the process is killed.
 */
class DurableFilesTest {

    private static final int REPLACE_STEP_COUNT = 6;
    private static final Set<PosixFilePermission> OWNER_ONLY =
            PosixFilePermissions.fromString("rw-------");
    private static final String OLD = "old content";
    private static final String NEW = "content that is new";

    @TempDir Path directory;
    private final FaultyFiles faulty = new FaultyFiles();
    private final DurableFiles files = new DurableFiles(faulty);

    private Path file() {
        return directory.resolve("file");
    }

    private void replace(String content) throws FileWriteException {
        files.replace(file(), content.getBytes(StandardCharsets.UTF_8), OWNER_ONLY);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void killOrCrashAfterAnyStepLeavesOldOrNewContent(boolean losesNames) throws Exception {
        for (int steps = 0; steps <= REPLACE_STEP_COUNT; steps++) {
            replace(OLD);
            FaultyFiles machine = new FaultyFiles();
            machine.killAfter(steps);
            boolean returned = false;
            try {
                byte[] content = NEW.getBytes(StandardCharsets.UTF_8);
                new DurableFiles(machine).replace(file(), content, OWNER_ONLY);
                returned = true;
            } catch (Killed e) {
                assertTrue(steps < REPLACE_STEP_COUNT, "killed after " + steps);
            }
            String contentAfterKill = Files.readString(file());
            machine.crash(losesNames);
            for (String content : List.of(contentAfterKill, Files.readString(file()))) {
                assertTrue(List.of(OLD, NEW).contains(content), steps + ": " + content);
                assertTrue(!returned || content.equals(NEW), "lost after the call returned");
            }
            assertEquals(steps == REPLACE_STEP_COUNT, returned);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE", "WRITE", "SYNC", "RENAME", "DELETE"})
    void failedStepLeavesOldContentAndNoOtherFile(Step step) throws Exception {
        replace("old");
        faulty.fail(step, 1);
        FileWriteException failure = assertThrows(FileWriteException.class, () -> replace("new"));
        assertFalse(failure.isReplaced());
        String expected = ": could not be written and is unchanged: No space left on device";
        assertEquals(file() + expected, failure.getMessage());
        assertEquals("old", Files.readString(file()));
        try (var names = Files.list(directory)) {
            assertEquals(List.of(file()), names.toList(), "a part of a key was left behind");
        }
        replace("new");
        assertEquals("new", Files.readString(file()));
    }

    @Test
    void reportsFailedDirectorySync() throws Exception {
        replace("old");
        faulty.fail(Step.SYNC_DIRECTORY, 1);
        assertTrue(assertThrows(FileWriteException.class, () -> replace("new")).isReplaced());
        assertEquals("new", Files.readString(file()));
    }

    @Test
    void replacesUnfinishedFileWithRightPermissions() throws Exception {
        Path unfinished = directory.resolve("file.new");
        Files.writeString(unfinished, "half");
        Files.setPosixFilePermissions(unfinished, PosixFilePermissions.fromString("rw-rw-rw-"));
        replace("new");
        assertEquals("new", Files.readString(file()));
        assertEquals(OWNER_ONLY, Files.getPosixFilePermissions(file()));
        assertFalse(Files.exists(unfinished));
    }
}
