package cacheproxy.raft;

import cacheproxy.epoch.Epochs;
import cacheproxy.stream.Change;
import cacheproxy.stream.Entry;
import cacheproxy.stream.FrameCodec;
import cacheproxy.stream.Message;
import cacheproxy.stream.RetainedLog;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * A control machine's copy of the change stream's replicated log. Entries that a majority of the
 * control machines has on disk are appended, in order, to the retained log. The replicated log is
 * truncated by snapshots, and a snapshot contains the whole retained log, so a control machine that
 * was down restores the retained log from it and its subscribers miss nothing.
 */
public final class StreamLog {

    /** The number of entries between snapshots: 43 minutes at 3.9 entries per second. */
    public static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;

    /**
     * MicroRaft's clock runs at four times real time: it counts heartbeat time-outs in whole
     * seconds, and this way the loss of a leader is noticed after half a second.
     */
    private static final int TIME_SCALE = 4;

    /**
     * Election time-out in MicroRaft's time: 0.25 s of real time for the first control machine, and
     * 0.1 s more for each further one. The time-outs differ because after the loss of one of four
     * machines all remaining three have to agree, so two concurrent candidates both fail.
     */
    private static final long ELECTION_TIMEOUT_MS = 1000;

    private static final long ELECTION_TIMEOUT_STEP_MS = 400;

    /** Well below the maximum size of a frame between control machines (256 KiB). */
    private static final int SNAPSHOT_CHUNK_BYTES = 48 << 10;

    private static final double LEADERSHIP_CONFIRM_INTERVAL_MS = 200;

    /** The first entry of the log: creates the stream with an identifier from its first leader. */
    record CreateStream(long lineage) {}

    /** A new leader's first entry; changes nothing. */
    private static final Object NEW_TERM_ENTRY = new Epochs.NewTermEntry();

    /**
     * What a copy of the log is made of.
     *
     * @param nowMs a monotonic clock, in milliseconds
     * @param restored the state that an earlier process has stored; null if there is none
     * @param snapshotEvery the number of entries between snapshots
     */
    public record Parts(
            String name,
            List<String> voters,
            RetainedLog retainedLog,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored,
            int snapshotEvery) {}

    private final Voter voter;
    private final RetainedLog retainedLog;
    private final Runnable onAdvanced;
    private final long newLineage;
    private boolean creatingStream;

    /**
     * @param send sends a message to the control machine of that name
     * @param onAdvanced runs after the retained log has grown or has been replaced by a snapshot
     */
    public StreamLog(Parts parts, BiConsumer<String, JsonObject> send, Runnable onAdvanced) {
        retainedLog = parts.retainedLog();
        this.onAdvanced = onAdvanced;
        newLineage = new Random(parts.seed()).nextLong() | 1;
        voter =
                new Voter(
                        new Voter.Parts(
                                parts.name(),
                                parts.voters(),
                                parts.executor(),
                                parts.nowMs(),
                                parts.seed(),
                                parts.store(),
                                parts.restored(),
                                parts.snapshotEvery(),
                                TIME_SCALE,
                                ELECTION_TIMEOUT_MS
                                        + ELECTION_TIMEOUT_STEP_MS
                                                * parts.voters().indexOf(parts.name())),
                        new RetainedLogStateMachine(),
                        send);
    }

    public void start() {
        voter.start();
    }

    /** Stops the Raft node; its last writes are done when the returned future completes. */
    public CompletableFuture<?> stop() {
        return voter.stop();
    }

    /** Whether the Raft node has terminated, for example because its file could not be written. */
    public boolean isTerminated() {
        return voter.isTerminated();
    }

    /** Handles a message from another control machine; returns false if it is no Raft message. */
    public boolean received(String from, JsonObject json) {
        return voter.received(from, json);
    }

    /** Returns the name of the leader as far as known here; empty if none is known. */
    public String leader() {
        return voter.leader();
    }

    /** Whether this control machine leads. */
    public boolean isLeader() {
        return voter.isLeader();
    }

    /**
     * While this machine leads, lets a majority confirm that five times a second.
     *
     * @param callback called after each confirmation, with the time at which it was asked for
     */
    public void tick(double now, Consumer<Double> callback) {
        if (voter.confirmationDue(now, LEADERSHIP_CONFIRM_INTERVAL_MS)) {
            voter.confirm(
                    confirmed -> {
                        if (confirmed) {
                            createStreamIfAbsent();
                            callback.accept(now);
                        }
                    });
        }
    }

    private void createStreamIfAbsent() {
        if (retainedLog.lineage() == 0 && !creatingStream) {
            creatingStream = true;
            voter.append(new CreateStream(newLineage), o -> creatingStream = false);
        }
    }

    /**
     * Appends a change.
     *
     * @param callback called with the sequence number of the new entry; 0 if the change was in the
     *     log already; -1 if it was refused; null if the outcome is not known because the leader
     *     was lost meanwhile, in which case the same change may be submitted again
     */
    public void append(Change change, Consumer<Long> callback) {
        if (!voter.isLeader() || retainedLog.lineage() == 0 || !FrameCodec.isEncodable(change)) {
            callback.accept(-1L);
        } else {
            voter.append(change, callback);
        }
    }

    private final class RetainedLogStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            long seq = 0;
            if (operation instanceof CreateStream creation && retainedLog.lineage() == 0) {
                retainedLog.reset(new Message.Snapshot(creation.lineage(), 0, Change.Epoch.NONE));
            } else if (operation instanceof Change change
                    && !(change instanceof Change.Epoch epoch
                            && epoch.number() <= retainedLog.endSnapshot().epoch().number())) {
                // An epoch that is in the log already was submitted again by an author that got no
                // answer, and is not appended twice. A purge may be appended twice.
                seq = retainedLog.head() + 1;
                retainedLog.append(new Entry(seq, change));
            }
            onAdvanced.run();
            return seq;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            retainedLog
                    .toMessages(SNAPSHOT_CHUNK_BYTES)
                    .forEach(m -> chunks.accept(FrameCodec.encode(m)));
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            chunks.forEach(
                    c -> retainedLog.restore(FrameCodec.decode(ByteBuffer.wrap((byte[]) c))));
            onAdvanced.run();
        }

        @Override
        public Object getNewTermOperation() {
            return NEW_TERM_ENTRY;
        }
    }
}
