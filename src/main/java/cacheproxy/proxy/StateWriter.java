package cacheproxy.proxy;

import cacheproxy.store.SupersededException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Writes the operators' state to disk: on a separate thread, because a sync may take long, in the
 * order of the calls. A failed write is retried until it succeeds or a later call at another
 * process has been written. All methods, and the callbacks of callers, run on the event loop.
 */
final class StateWriter {

    /**
     * A change of the state on disk. It has to be idempotent, as it may be repeated after it was
     * applied in part or in full. It throws {@link SupersededException}, and changes nothing, if a
     * later call has been written.
     */
    interface StateChange {
        void apply() throws IOException;
    }

    /**
     * Operators have to get a reply within 1 s; a write that takes longer than this counts as
     * failed.
     */
    static final long ANSWER_TIMEOUT_MS = 700;

    static final long INITIAL_RETRY_DELAY_MS = 100;
    static final long MAX_RETRY_DELAY_MS = 500;
    private static final long THREAD_KEEP_ALIVE_S = 10;

    /** For each state, by name, the last change that is not known to be on disk. */
    private final Map<String, PendingWrite> pendingWrites = new HashMap<>();

    private final EventLoop loop;
    private final Log log = new Log();

    /** Null before the first change, as most processes never need it. */
    private ThreadPoolExecutor diskExecutor;

    /**
     * Whether a failure has been logged whose recovery has not; {@code failingSinceNanos} is when
     * it was logged.
     */
    private boolean failureLogged;

    private long failingSinceNanos;

    StateWriter(EventLoop loop) {
        this.loop = loop;
    }

    /** One change of one state. */
    private static final class PendingWrite {
        final String state;
        final StateChange change;

        /** Null once it has been called. */
        Consumer<IOException> callback;

        long retryDelayMs = INITIAL_RETRY_DELAY_MS;

        PendingWrite(String state, StateChange change, Consumer<IOException> callback) {
            this.state = state;
            this.change = change;
            this.callback = callback;
        }

        void complete(IOException failure) {
            Consumer<IOException> pendingCallback = callback;
            callback = null;
            if (pendingCallback != null) {
                pendingCallback.accept(failure);
            }
        }
    }

    /**
     * Applies a change, replacing a pending one of the same state. The callback is called once:
     * with null when the change is on disk, or with the failure of the first attempt. After a
     * failure the change stays pending, unless a later call has superseded it.
     */
    void write(String state, StateChange change, Consumer<IOException> callback) {
        PendingWrite write = new PendingWrite(state, change, callback);
        pendingWrites.put(state, write);
        IOException timeout =
                new IOException("disk write not finished within " + ANSWER_TIMEOUT_MS + " ms");
        loop.schedule(() -> write.complete(timeout), ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        attempt(write);
    }

    /**
     * Whether a change of this state is not known to be on disk yet; until it is, the state read
     * from disk is not to be applied.
     */
    boolean isPending(String state) {
        return pendingWrites.containsKey(state);
    }

    /** Whether any change is pending. */
    boolean hasPending() {
        return !pendingWrites.isEmpty();
    }

    /** Whether a caller still waits for the last change of this state. */
    boolean isAnswerPending(String state) {
        PendingWrite write = pendingWrites.get(state);
        return write != null && write.callback != null;
    }

    private void attempt(PendingWrite write) {
        diskExecutor()
                .execute(
                        () -> {
                            IOException failure = apply(write.change);
                            try {
                                loop.execute(() -> attemptEnded(write, failure));
                            } catch (RejectedExecutionException e) {
                                // The event loop has terminated meanwhile; no caller is left.
                                return;
                            }
                        });
    }

    private ThreadPoolExecutor diskExecutor() {
        if (diskExecutor == null) {
            diskExecutor =
                    new ThreadPoolExecutor(
                            1,
                            1,
                            THREAD_KEEP_ALIVE_S,
                            TimeUnit.SECONDS,
                            new LinkedBlockingQueue<>(),
                            StateWriter::newThread);
            diskExecutor.allowCoreThreadTimeOut(true);
        }
        return diskExecutor;
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "operator-state");
        thread.setDaemon(true);
        return thread;
    }

    private static IOException apply(StateChange change) {
        try {
            change.apply();
            return null;
        } catch (IOException e) {
            return e;
        } catch (RuntimeException e) {
            return new IOException(e);
        }
    }

    private void attemptEnded(PendingWrite write, IOException failure) {
        if (failure == null) {
            pendingWrites.remove(write.state, write);
            write.complete(null);
            logRecovery();
            return;
        }
        if (failure instanceof SupersededException) {
            superseded(write, failure);
            return;
        }
        logFailure(write.state, failure);
        write.complete(failure);
        // The callback may have replaced the change by another one, which has its own attempts.
        if (isLatest(write)) {
            loop.schedule(() -> retry(write), write.retryDelayMs, TimeUnit.MILLISECONDS);
            write.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * write.retryDelayMs);
        }
    }

    private void superseded(PendingWrite write, IOException failure) {
        if (pendingWrites.remove(write.state, write)) {
            Log.event("operator_state_superseded", "state", write.state);
        }
        write.complete(failure);
        logRecovery();
    }

    private void retry(PendingWrite write) {
        if (isLatest(write)) {
            attempt(write);
        }
    }

    private boolean isLatest(PendingWrite write) {
        return pendingWrites.get(write.state) == write;
    }

    private void logFailure(String state, IOException failure) {
        if (!failureLogged) {
            failureLogged = true;
            failingSinceNanos = System.nanoTime();
            log.warnLimited("operator_state_write_failed", "state", state, "cause", failure);
        }
    }

    private void logRecovery() {
        if (failureLogged && pendingWrites.isEmpty()) {
            failureLogged = false;
            long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failingSinceNanos);
            log.warnLimited("operator_state_written", "after_ms", afterMs);
        }
    }
}
