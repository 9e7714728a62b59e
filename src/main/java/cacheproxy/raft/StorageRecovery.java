package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * When a folder that could not be written is tried again: after 0.25 s, then after twice as long
 * each time, 8 s at most. An event tells of the first failure, and one of the end of the fault.
 * Decides only when; what is tried is the caller's. Used by one thread.
 */
final class StorageRecovery {

    static final double INITIAL_BACKOFF_MS = 250;
    static final double MAX_BACKOFF_MS = 8000;

    /** What makes the folder useful again. */
    interface Attempt {
        /** Throws where the folder still can't be used. */
        void run() throws IOException;
    }

    /** Takes events for the log. */
    interface Events {
        void event(String name, Object... fields);
    }

    private final Path folder;
    private final Events events;
    private boolean failed;
    private boolean corrupt;
    private double failedAtMs;
    private double recoveredAtMs = Double.NEGATIVE_INFINITY;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double nextAttemptAtMs;

    StorageRecovery(Path folder, Events events) {
        this.folder = folder;
        this.events = events;
    }

    /** Whether the folder can't be used, as far as is known. */
    boolean failed() {
        return failed;
    }

    /**
     * The folder could not be used. One that fails soon after it recovered is tried no sooner than
     * before, so that a disk that is full at every other write fills no log.
     *
     * @param nowMs the time in milliseconds, on a clock that never runs back
     */
    void failed(double nowMs, IOException cause) {
        if (failed) {
            return;
        }
        failed = true;
        failedAtMs = nowMs;
        if (nowMs - recoveredAtMs > MAX_BACKOFF_MS) {
            backoffMs = INITIAL_BACKOFF_MS;
        }
        nextAttemptAtMs = nowMs + backoffMs;
        reportFailure(cause);
    }

    private void reportFailure(IOException cause) {
        corrupt = cause instanceof CorruptLogException;
        String message = String.valueOf(cause.getMessage());
        events.event("storage_failed", "cause", message, "folder", folder, "tries_again", !corrupt);
    }

    /** Makes an attempt where it is due; none any more after damage, which does not mend itself. */
    void tick(double nowMs, Attempt attempt) {
        if (!failed || corrupt || nowMs < nextAttemptAtMs) {
            return;
        }
        try {
            attempt.run();
        } catch (CorruptLogException e) {
            reportFailure(e);
            return;
        } catch (IOException e) {
            backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
            nextAttemptAtMs = nowMs + backoffMs;
            return;
        }
        failed = false;
        recoveredAtMs = nowMs;
        events.event("storage_recovered", "folder", folder, "ms", Math.round(nowMs - failedAtMs));
    }
}
