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
 * Writes the operators' state to disk: on a thread of its own, as a sync may take long, in the
 * order of the calls, and again after a failure until it holds or a later call at another process
 * has been written. All methods are called on the event loop, and so is each caller's answer.
 */
final class StateWriter {

    /**
     * A change on disk; it may be made again after it has been made in part or in full. It throws
     * {@link SupersededException}, and changes nothing, where a later call has been written.
     */
    interface StateChange {
        void apply() throws IOException;
    }

    /**
     * An answer to an operator is due within 1 s; a disk that takes longer than this counts as
     * failed.
     */
    static final long ANSWER_TIMEOUT_MS = 700;

    static final long INITIAL_RETRY_DELAY_MS = 100;
    static final long MAX_RETRY_DELAY_MS = 500;
    private static final long THREAD_KEEP_ALIVE_S = 10;

    /** The last change of each state that is not known to be on disk, by the state's name. */
    private final Map<String, PendingWrite> pendingWrites = new HashMap<>();

    private final EventLoop loop;
    private final Log log = new Log();

    /** Null before the first change: most processes never need it. */
    private ThreadPoolExecutor diskExecutor;

    /** Whether a failure has been logged and its end has not, and when that was. */
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
     * Makes a change, in place of one of the same state that is still owed. The answer is called
     * once: with null when the change holds, or with what the first attempt failed of. After a
     * failure the change is still owed, unless a later call has superseded it.
     */
    void write(String state, StateChange change, Consumer<IOException> callback) {
        PendingWrite write = new PendingWrite(state, change, callback);
        pendingWrites.put(state, write);
        IOException timeout = new IOException("not written within " + ANSWER_TIMEOUT_MS + " ms");
        loop.schedule(() -> write.complete(timeout), ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        attempt(write);
    }

    /**
     * Whether a change of this state is not known to hold yet: what the disk says of it counts for
     * nothing.
     */
    boolean isPending(String state) {
        return pendingWrites.containsKey(state);
    }

    /** Whether any change is owed. */
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
                                // The process has ended meanwhile: nobody is left to be told.
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
        // The caller may have put another change in its place, which has attempts of its own.
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
