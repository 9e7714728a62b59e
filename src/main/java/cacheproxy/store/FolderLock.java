package cacheproxy.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Keeps other processes from changing a folder until it is closed, or until this process ends. It
 * blocks, and binds only those who acquire it too.
 */
final class FolderLock implements Closeable {

    private static final String LOCK_FILE = "lock";

    /** A file lock holds between processes, not between the threads of one. */
    private static final ReentrantLock THREADS = new ReentrantLock();

    private final FileChannel channel;

    private FolderLock(FileChannel channel) {
        this.channel = channel;
    }

    static FolderLock acquire(Path folder) throws IOException {
        THREADS.lock();
        try {
            return new FolderLock(locked(folder.resolve(LOCK_FILE)));
        } catch (IOException | RuntimeException e) {
            THREADS.unlock();
            throw e;
        }
    }

    private static FileChannel locked(Path file) throws IOException {
        FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            channel.lock();
            return channel;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** Closing the file releases its lock. */
    @Override
    public void close() throws IOException {
        try {
            channel.close();
        } finally {
            THREADS.unlock();
        }
    }
}
