package cacheproxy.raft;

import cacheproxy.store.FileOperations;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file system calls that make a file survive a crash of the machine. Errors of the file system
 * are thrown unchanged. Tests override the calls to inject faults.
 */
class DurableFiles {

    /** Opens a file for writing; creates it or truncates it to zero length. */
    FileChannel create(Path file) throws IOException {
        return FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }

    /** Reads the whole content of a file. */
    byte[] read(Path file) throws IOException {
        return Files.readAllBytes(file);
    }

    /**
     * Renames a file atomically, replacing the target. The rename is durable only after {@link
     * #syncFolder} on the target's folder.
     */
    void rename(Path from, Path to) throws IOException {
        FileOperations.SYSTEM.rename(from, to);
    }

    /** Syncs a folder, so that files created in it and renames into it are durable. */
    void syncFolder(Path folder) throws IOException {
        FileOperations.SYSTEM.syncDirectory(folder);
    }

    /** Writes the whole text as UTF-8, with as many writes as that takes. */
    static void write(FileChannel to, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }
}
