package cacheproxy.raft;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Schedules retries of a storage folder that has failed: the first after 0.25 s, then with a delay
 * that doubles after each failed retry, up to 8 s. Logs one event for the first failure and one for
 * the recovery. Decides only when to retry; the caller supplies the action. Used by one thread.
 */
final class StorageRecovery {

    static final double INITIAL_BACKOFF_MS = 250;
    static final double MAX_BACKOFF_MS = 8000;

    /** An attempt to use the folder again. */
    interface Attempt {
        /** Throws if the folder still can't be used. */
        void run() throws IOException;
    }

    /** Writes events to the log. */
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

    /** Whether the folder has failed and has not recovered yet. */
    boolean failed() {
        return failed;
    }

    /**
     * Reports that the folder could not be used. If it fails again within {@link #MAX_BACKOFF_MS}
     * of a recovery, the backoff is not reset, so that a disk that fails intermittently does not
     * flood the log with events.
     *
     * @param nowMs the time of a monotonic clock, in milliseconds
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

    /**
     * Makes an attempt if one is due. After a {@link CorruptLogException} no more attempts are
     * made, because retrying does not repair a damaged file.
     */
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
