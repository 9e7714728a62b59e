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

/** Tests that only one process can lock a directory at a time. */
class DirectoryLockTest {

    private static final int TIMEOUT_S = 120;

    @TempDir Path directory;

    /** Program that prints whether its process could lock the lock file. */
    static final class LockProbeProcess {
        private LockProbeProcess() {}

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
                                LockProbeProcess.class.getName(),
                                directory.resolve("lock").toString())
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        byte[] output = process.getInputStream().readAllBytes();
        assertEquals(0, process.waitFor());
        return Boolean.parseBoolean(new String(output, StandardCharsets.US_ASCII));
    }

    @Test
    @Timeout(TIMEOUT_S)
    void otherProcessCanLockDirectoryOnlyAfterRelease() throws Exception {
        try (DirectoryLock lock = DirectoryLock.acquire(directory)) {
            assertEquals(false, isFreeForAnotherProcess());
        }
        assertEquals(true, isFreeForAnotherProcess());
        DirectoryLock.acquire(directory).close();
    }
}
