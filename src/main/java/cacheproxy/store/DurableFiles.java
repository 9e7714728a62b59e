package cacheproxy.store;

import java.io.IOException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

/**
 * Changes small files atomically and durably: a crash at any moment leaves the old or the new
 * state, and the new one once a call has returned. Changes by methods named "unsynced" are durable
 * only after their directory has been synced. Calls block until the disk has stored the change, so
 * they must not be made on an event loop.
 */
public final class DurableFiles {

    /**
     * Suffix of the temporary file that new content is written to; a temporary file that a crash
     * leaves behind is never read.
     */
    private static final String UNFINISHED_SUFFIX = ".new";

    private final FileOperations operations;

    public DurableFiles(FileOperations operations) {
        this.operations = operations;
    }

    /**
     * Replaces a file's whole content. The new content is first written and synced to a temporary
     * file, which is created with the final permissions: a private key must never be readable by
     * others, not even briefly.
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

    /**
     * Deletes the temporary file, which may contain a part of a private key; if this fails, the
     * next replacement deletes it.
     */
    private void deleteUnfinished(Path unfinished, IOException cause) {
        try {
            operations.delete(unfinished);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    /** Creates an empty file if it does not exist; {@link #sync} makes it durable. */
    public void createUnsynced(Path file) throws IOException {
        try {
            operations.create(file);
        } catch (FileAlreadyExistsException e) {
            // The requested state already exists; only the sync may be missing.
            return;
        }
    }

    /** Deletes a file if it exists; {@link #sync} makes it durable. */
    public void deleteUnsynced(Path file) throws IOException {
        operations.delete(file);
    }

    /** Renames a file; {@link #sync} makes it durable. */
    public void renameUnsynced(Path file, Path to) throws IOException {
        operations.rename(file, to);
    }

    /** Syncs the changes that earlier calls have made in a directory. */
    public void sync(Path directory) throws IOException {
        operations.syncDirectory(directory);
    }

    /** Deletes a file if it exists, and syncs its directory in either case. */
    public void delete(Path file) throws IOException {
        operations.delete(file);
        operations.syncDirectory(directoryOf(file));
    }

    /** Creates a directory if it does not exist, and syncs its parent directory. */
    public void createDirectory(Path directory) throws IOException {
        operations.createDirectory(directory);
        operations.syncDirectory(directoryOf(directory));
    }

    private static Path directoryOf(Path path) {
        return path.toAbsolutePath().getParent();
    }
}
