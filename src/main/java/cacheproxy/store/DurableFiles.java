package cacheproxy.store;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

/**
 * Changes small files so that a crash at any moment leaves the old state or the new one, and the
 * new one once a call has returned; what is called unsynced holds once its folder is synced. Calls
 * block until the disk has taken the change: none belongs on an event loop.
 */
public final class DurableFiles {

    /**
     * Ends the name that new content has until it is whole; what a crash leaves there is never
     * read.
     */
    private static final String UNFINISHED_SUFFIX = ".new";

    private final FileOperations operations;

    public DurableFiles(FileOperations operations) {
        this.operations = operations;
    }

    /**
     * Replaces a file's whole content. The new file is written and synced under another name first,
     * with its permissions from the start: a key must not be anyone else's to read, not even for a
     * moment.
     */
    public void replace(Path file, byte[] content, Set<PosixFilePermission> permissions)
            throws FileWriteException {
        Path unfinished = file.resolveSibling(file.getFileName() + UNFINISHED_SUFFIX);
        try {
            operations.delete(unfinished);
            operations.create(unfinished, permissions);
            operations.write(unfinished, content);
            operations.sync(unfinished);
            operations.rename(unfinished, file);
        } catch (IOException e) {
            deleteUnfinished(unfinished, e);
            throw new FileWriteException(file, false, e);
        }
        try {
            operations.syncDirectory(directoryOf(file));
        } catch (IOException e) {
            throw new FileWriteException(file, true, e);
        }
    }

    /** It may hold a part of a private key; where this fails the next replacement deletes it. */
    private void deleteUnfinished(Path unfinished, IOException cause) {
        try {
            operations.delete(unfinished);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    /** Creates an empty file, or leaves the one that is there; {@link #sync} makes it durable. */
    public void createUnsynced(Path file) throws IOException {
        try {
            operations.create(file);
        } catch (FileAlreadyExistsException e) {
            // It is what was asked for; only the sync may be due.
            return;
        }
    }

    /** Deletes a file that may be missing; {@link #sync} makes it durable. */
    public void deleteUnsynced(Path file) throws IOException {
        operations.delete(file);
    }

    /** Gives a file another name; {@link #sync} makes it durable. */
    public void renameUnsynced(Path file, Path to) throws IOException {
        operations.rename(file, to);
    }

    /** Syncs what an earlier call has changed in a folder. */
    public void sync(Path directory) throws IOException {
        operations.syncDirectory(directory);
    }

    /** Deletes a file; where it is not there the folder is synced all the same. */
    public void delete(Path file) throws IOException {
        operations.delete(file);
        operations.syncDirectory(directoryOf(file));
    }

    /** Creates a folder with its name synced into the one above it. */
    public void createDirectory(Path directory) throws IOException {
        operations.createDirectory(directory);
        operations.syncDirectory(directoryOf(directory));
    }

    private static Path directoryOf(Path path) {
        return path.toAbsolutePath().getParent();
    }
}
