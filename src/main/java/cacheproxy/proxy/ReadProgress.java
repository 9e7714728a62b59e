package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * How long the client of a response may be reading what the kernel has taken from this proxy. The
 * kernels of both sides buffer several megabytes of a connection and take more only once a large
 * part of that has been read, so a client that reads steadily can look stalled for a while. This
 * class bounds what such a client may not have read yet. It has no clock of its own.
 */
final class ReadProgress {

    /**
     * Most that the kernels are assumed to buffer: the default limit of a socket's send buffer on
     * Linux.
     */
    static final long MAX_BUFFERED_BYTES = 4L << 20;

    /** Most that the client had not read when the kernel last took bytes. */
    private long unreadBytes;

    /** When the kernel last took bytes, in nanoseconds. */
    private long lastTakenNanos;

    /** Records that the kernel has taken bytes of responses. */
    void recordTaken(long bytes, long nowNanos) {
        long readMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - lastTakenNanos);
        long stillUnreadBytes = Math.max(0, unreadBytes - bytesReadIn(readMs));
        unreadBytes = Math.min(MAX_BUFFERED_BYTES, stillUnreadBytes + bytes);
        lastTakenNanos = nowNanos;
    }

    private static long bytesReadIn(long readMs) {
        // Limited first: the first time span counts from an arbitrary origin.
        long limitedMs = Math.max(0, Math.min(readMs, readingMs(MAX_BUFFERED_BYTES)));
        return limitedMs * ClientRate.MIN_BYTES_PER_S / TimeUnit.SECONDS.toMillis(1);
    }

    /**
     * Longest time, in milliseconds since the kernel last took bytes, that the client may need to
     * read what is buffered.
     */
    long readingMs() {
        return readingMs(unreadBytes);
    }

    private static long readingMs(long bytes) {
        return bytes * TimeUnit.SECONDS.toMillis(1) / ClientRate.MIN_BYTES_PER_S;
    }
}
