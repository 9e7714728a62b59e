package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each change of the file is reported exactly once, however it is made. */
class ConfigFileWatchTest {

    private static final FileTime WRITTEN = FileTime.from(1_700_000_000, TimeUnit.SECONDS);
    private static final FileTime LATER = FileTime.from(1_700_000_001, TimeUnit.SECONDS);

    @TempDir private Path folder;
    private Path file;
    private ConfigFileWatch watch;

    @BeforeEach
    void write() throws Exception {
        file = folder.resolve("config.json");
        write("first");
        watch = new ConfigFileWatch(Map.of("BALANCER_CONFIG", file.toString()));
    }

    private void write(String text) throws Exception {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, WRITTEN);
    }

    private void assertChangedOnce() {
        assertTrue(watch.hasChanged());
        assertFalse(watch.hasChanged() || watch.hasChanged());
    }

    @Test
    void unchangedFileIsNotReported() {
        assertFalse(watch.hasChanged() || watch.hasChanged() || watch.hasChanged());
    }

    @Test
    void reportsWriteTouchReplaceRemoveAndRestore() throws Exception {
        write("longer text");
        assertChangedOnce();
        Files.setLastModifiedTime(file, LATER);
        assertChangedOnce();
        Path next = Files.writeString(folder.resolve("next.json"), "other texts");
        Files.setLastModifiedTime(next, Files.getLastModifiedTime(file));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        assertChangedOnce();
        Files.delete(file);
        assertChangedOnce();
        write("back");
        assertChangedOnce();
    }

    /** File-system timestamps are coarse: two writes may carry the same one. */
    @Test
    void reportsSecondWriteWithEqualTimestamp() throws Exception {
        write("other");
        Files.setLastModifiedTime(file, LATER);
        assertTrue(watch.hasChanged());
        write("third");
        Files.setLastModifiedTime(file, LATER);
        assertChangedOnce();
    }

    @Test
    void doesNotReadPipeOrMissingFile() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        ConfigFileWatch none = new ConfigFileWatch(Map.of("BALANCER_CONFIG", pipe.toString()));
        assertFalse(none.hasChanged());
        assertFalse(new ConfigFileWatch(Map.of()).hasChanged());
    }
}
