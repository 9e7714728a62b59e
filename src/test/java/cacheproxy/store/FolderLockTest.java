package cacheproxy.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A folder is one process's alone until it lets go. */
class FolderLockTest {

    private static final int PATIENCE_S = 120;

    @TempDir Path folder;

    /** Prints whether the lock's file could be locked by a process of its own. */
    static final class Other {
        private Other() {}

        public static void main(String[] arguments) throws IOException {
            Path file = Path.of(arguments[0]);
            try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                    FileLock lock = channel.tryLock()) {
                System.out.print(lock != null);
            }
        }
    }

    private boolean isFreeForAnotherProcess() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                Other.class.getName(),
                                folder.resolve("lock").toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        byte[] said = process.getInputStream().readAllBytes();
        assertEquals(0, process.waitFor());
        return Boolean.parseBoolean(new String(said, StandardCharsets.US_ASCII));
    }

    @Test
    @Timeout(PATIENCE_S)
    void anotherProcessCanLockTheFolderOnlyOnceItIsReleased() throws Exception {
        try (FolderLock lock = FolderLock.acquire(folder)) {
            assertEquals(false, isFreeForAnotherProcess());
        }
        assertEquals(true, isFreeForAnotherProcess());
        FolderLock.acquire(folder).close();
    }
}
