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
    interface Change {
        void make() throws IOException;
    }

    /**
     * An answer to an operator is due within 1 s; a disk that takes longer than this counts as
     * failed.
     */
    static final long ANSWER_MS = 700;

    static final long FIRST_RETRY_MS = 100;
    static final long LAST_RETRY_MS = 500;
    private static final long IDLE_THREAD_S = 10;

    /** The last change of each state that is not known to be on disk, by the state's name. */
    private final Map<String, Write> owed = new HashMap<>();

    private final EventLoop loop;
    private final Log log = new Log();

    /** Null before the first change: most processes never need it. */
    private ThreadPoolExecutor disk;

    /** Whether a failure has been logged and its end has not, and when that was. */
    private boolean failing;

    private long failingSince;

    StateWriter(EventLoop loop) {
        this.loop = loop;
    }

    /** One change of one state. */
    private static final class Write {
        final String state;
        final Change change;

        /** Null once it has been called. */
        Consumer<IOException> answer;

        long retryMs = FIRST_RETRY_MS;

        Write(String state, Change change, Consumer<IOException> answer) {
            this.state = state;
            this.change = change;
            this.answer = answer;
        }

        void answer(IOException failure) {
            Consumer<IOException> caller = answer;
            answer = null;
            if (caller != null) {
                caller.accept(failure);
            }
        }
    }

    /**
     * Makes a change, in place of one of the same state that is still owed. The answer is called
     * once: with null when the change holds, or with what the first attempt failed of. After a
     * failure the change is still owed, unless a later call has superseded it.
     */
    void write(String state, Change change, Consumer<IOException> answer) {
        Write write = new Write(state, change, answer);
        owed.put(state, write);
        IOException late = new IOException("not written within " + ANSWER_MS + " ms");
        loop.schedule(() -> write.answer(late), ANSWER_MS, TimeUnit.MILLISECONDS);
        attempt(write);
    }

    /**
     * Whether a change of this state is not known to hold yet: what the disk says of it counts for
     * nothing.
     */
    boolean isOwed(String state) {
        return owed.containsKey(state);
    }

    /** Whether any change is owed. */
    boolean isAnyOwed() {
        return !owed.isEmpty();
    }

    /** Whether a caller still waits for the last change of this state. */
    boolean isAnswerDue(String state) {
        Write write = owed.get(state);
        return write != null && write.answer != null;
    }

    private void attempt(Write write) {
        disk().execute(
                        () -> {
                            IOException failure = failureOf(write.change);
                            try {
                                loop.execute(() -> ended(write, failure));
                            } catch (RejectedExecutionException e) {
                                // The process has ended meanwhile: nobody is left to be told.
                                return;
                            }
                        });
    }

    private ThreadPoolExecutor disk() {
        if (disk == null) {
            disk =
                    new ThreadPoolExecutor(
                            1,
                            1,
                            IDLE_THREAD_S,
                            TimeUnit.SECONDS,
                            new LinkedBlockingQueue<>(),
                            StateWriter::thread);
            disk.allowCoreThreadTimeOut(true);
        }
        return disk;
    }

    private static Thread thread(Runnable work) {
        Thread thread = new Thread(work, "operator-state");
        thread.setDaemon(true);
        return thread;
    }

    private static IOException failureOf(Change change) {
        try {
            change.make();
            return null;
        } catch (IOException e) {
            return e;
        } catch (RuntimeException e) {
            return new IOException(e);
        }
    }

    private void ended(Write write, IOException failure) {
        if (failure == null) {
            owed.remove(write.state, write);
            write.answer(null);
            logEndOfTrouble();
            return;
        }
        if (failure instanceof SupersededException) {
            superseded(write, failure);
            return;
        }
        logTrouble(write.state, failure);
        write.answer(failure);
        // The caller may have put another change in its place, which has attempts of its own.
        if (isLatest(write)) {
            loop.schedule(() -> retry(write), write.retryMs, TimeUnit.MILLISECONDS);
            write.retryMs = Math.min(LAST_RETRY_MS, 2 * write.retryMs);
        }
    }

    private void superseded(Write write, IOException failure) {
        if (owed.remove(write.state, write)) {
            Log.event("operator_state_superseded", "state", write.state);
        }
        write.answer(failure);
        logEndOfTrouble();
    }

    private void retry(Write write) {
        if (isLatest(write)) {
            attempt(write);
        }
    }

    private boolean isLatest(Write write) {
        return owed.get(write.state) == write;
    }

    private void logTrouble(String state, IOException failure) {
        if (!failing) {
            failing = true;
            failingSince = System.nanoTime();
            log.odd("operator_state_write_failed", "state", state, "cause", failure);
        }
    }

    private void logEndOfTrouble() {
        if (failing && owed.isEmpty()) {
            failing = false;
            long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failingSince);
            log.odd("operator_state_written", "after_ms", afterMs);
        }
    }
}
