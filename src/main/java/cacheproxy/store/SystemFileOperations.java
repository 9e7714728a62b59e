package cacheproxy.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/** The file operations of the default file system. */
final class SystemFileOperations implements FileOperations {

    @Override
    public void createDirectory(Path directory) throws IOException {
        Files.createDirectories(directory);
    }

    @Override
    public void create(Path file) throws IOException {
        Files.createFile(file);
    }

    @Override
    public void create(Path file, Set<PosixFilePermission> permissions) throws IOException {
        Files.createFile(file, PosixFilePermissions.asFileAttribute(permissions));
    }

    @Override
    public void write(Path file, byte[] content) throws IOException {
        Files.write(file, content, StandardOpenOption.WRITE);
    }

    @Override
    public void sync(Path file) throws IOException {
        sync(file, StandardOpenOption.WRITE);
    }

    @Override
    public void syncDirectory(Path directory) throws IOException {
        sync(directory, StandardOpenOption.READ);
    }

    private static void sync(Path path, StandardOpenOption option) throws IOException {
        try (FileChannel channel = FileChannel.open(path, option)) {
            channel.force(true);
        }
    }

    @Override
    public void rename(Path file, Path to) throws IOException {
        Files.move(file, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }
}
