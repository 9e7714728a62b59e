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
 * The calls to the file system by which a file outlasts a crash of the machine. Each throws what
 * the system says; tests put calls that fail in their place.
 */
class DurableFiles {

    /** Opens a file for writing, empty. */
    FileChannel create(Path file) throws IOException {
        return FileChannel.open(
                file,
                StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING,
                StandardOpenOption.WRITE);
    }

    /** The whole content of a file. */
    byte[] read(Path file) throws IOException {
        return Files.readAllBytes(file);
    }

    /** Gives a file another's name and place, at once; it lasts from the sync of the folder on. */
    void rename(Path from, Path to) throws IOException {
        FileOperations.SYSTEM.rename(from, to);
    }

    /** Makes the names in a folder last. */
    void syncFolder(Path folder) throws IOException {
        FileOperations.SYSTEM.syncDirectory(folder);
    }

    /** Writes a text whole, however short the single writes are. */
    static void write(FileChannel to, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }
}
