package cacheproxy.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An advisory lock on a directory between processes and threads, held until it is closed or this
 * process ends. Acquiring it blocks; it excludes only those who acquire it too.
 */
final class DirectoryLock implements Closeable {

    private static final String LOCK_FILE = "lock";

    /** A file lock excludes other processes, but not other threads of the same process. */
    private static final ReentrantLock THREAD_LOCK = new ReentrantLock();

    private final FileChannel channel;

    private DirectoryLock(FileChannel channel) {
        this.channel = channel;
    }

    static DirectoryLock acquire(Path directory) throws IOException {
        THREAD_LOCK.lock();
        try {
            return new DirectoryLock(openLocked(directory.resolve(LOCK_FILE)));
        } catch (IOException | RuntimeException e) {
            THREAD_LOCK.unlock();
            throw e;
        }
    }

    private static FileChannel openLocked(Path file) throws IOException {
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

    /** Releases the lock; closing the file releases its file lock. */
    @Override
    public void close() throws IOException {
        try {
            channel.close();
        } finally {
            THREAD_LOCK.unlock();
        }
    }
}
