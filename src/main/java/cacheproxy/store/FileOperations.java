package cacheproxy.store;

import java.io.IOException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

/** The file system calls that durable files are built on; tests make each of them fail. */
public interface FileOperations {

    /** The default file system. */
    FileOperations SYSTEM = new SystemFileOperations();

    /** Creates a directory and its parents; an existing one is left unchanged. */
    void createDirectory(Path directory) throws IOException;

    /** Creates an empty file with default permissions; fails if the name exists. */
    void create(Path file) throws IOException;

    /**
     * Creates an empty file that never has more than these permissions; fails if the name exists.
     */
    void create(Path file, Set<PosixFilePermission> permissions) throws IOException;

    /** Writes the whole content of an existing file; a failure may leave a part of it. */
    void write(Path file, byte[] content) throws IOException;

    /** Syncs a file's content to the disk. */
    void sync(Path file) throws IOException;

    /** Syncs a directory to the disk: the files created, renamed or deleted in it. */
    void syncDirectory(Path directory) throws IOException;

    /** Renames a file atomically and replaces an existing file of the new name. */
    void rename(Path file, Path to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;
}
