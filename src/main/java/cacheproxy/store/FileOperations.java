package cacheproxy.store;

import java.io.IOException;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;

/** The calls on the file system that durable files are made of; tests make each of them fail. */
public interface FileOperations {

    /** The machine's own file system. */
    FileOperations SYSTEM = new SystemFileOperations();

    /** Creates a folder and those above it; one that is there is left as it is. */
    void createDirectory(Path directory) throws IOException;

    /** Creates an empty file with the usual permissions; fails where the name is taken. */
    void create(Path file) throws IOException;

    /**
     * Creates an empty file that never has more than these permissions; fails where the name is
     * taken.
     */
    void create(Path file, Set<PosixFilePermission> permissions) throws IOException;

    /** Writes the whole content of a file that is there. A failure may leave a part of it. */
    void write(Path file, byte[] content) throws IOException;

    /** Syncs a file's content to the disk. */
    void sync(Path file) throws IOException;

    /** Syncs a folder's names to the disk: what was created, renamed or deleted in it. */
    void syncDirectory(Path directory) throws IOException;

    /** Gives a file another name in one step, in place of a file that has it. */
    void rename(Path file, Path to) throws IOException;

    /** Deletes a file; one that is not there is no failure. */
    void delete(Path file) throws IOException;
}
