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
 * A control machine's copy of the change stream's log: what a majority of them has on its disks, in
 * order, goes into the {@link Window}. The log is cut by snapshots, and a snapshot is the window,
 * so a control machine that was away takes the window and its readers lose nothing.
 */
public final class StreamLog {

    /** Entries until the next snapshot: 43 minutes at 3.9 a second. */
    public static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;

    /**
     * A second of the library's passes in a quarter of one: a leader that falls silent is missed
     * after half a second.
     */
    private static final int TIME_SCALE = 4;

    /**
     * Of the library's time: a quarter of a second, and each control machine a tenth more than the
     * one before. Three of three have to agree when one is lost, so two who stand at once undo each
     * other.
     */
    private static final long ELECTION_TIMEOUT_MS = 1000;

    private static final long ELECTION_TIMEOUT_STEP_MS = 400;

    /** A part of a snapshot stays well below what one frame between control machines may hold. */
    private static final int SNAPSHOT_CHUNK_BYTES = 48 << 10;

    private static final double LEADERSHIP_CONFIRM_INTERVAL_MS = 200;

    /** The first entry of all: the stream's name, drawn by the first leader. */
    record CreateStream(long lineage) {}

    /** A new leader's first entry. */
    private static final Object NEW_TERM_ENTRY = new Epochs.NewTermEntry();

    /**
     * What a control machine's copy is made of; {@code nowMs} never runs back, {@code restored} is
     * null where it has never run.
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
     * @param send takes what goes to another control machine
     * @param advanced runs after the window has grown or begun anew
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

    /** Ends it; what it writes last is written once the answer is there. */
    public CompletableFuture<?> stop() {
        return voter.stop();
    }

    /** Whether it has ended by itself, as where its file can't be written. */
    public boolean isTerminated() {
        return voter.isTerminated();
    }

    /** A message from another control machine; false where it is none of Raft's. */
    public boolean received(String from, JsonObject json) {
        return voter.received(from, json);
    }

    /** Who leads, as far as is known here; empty where nobody does. */
    public String leader() {
        return voter.leader();
    }

    /** Whether this one leads. */
    public boolean isLeader() {
        return voter.isLeader();
    }

    /**
     * Asks a majority whether this one leads, five times a second while it does; {@code then} is
     * told when it has said yes, for the time of asking.
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
     * Adds a change; {@code then} is told its place, 0 where it was there before, -1 where it was
     * refused, and null where that is not known: the leader was lost meanwhile, and the same change
     * may be asked for again.
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
                // An epoch that is there was asked for again, as its author did not hear; a purge
                // may be there twice.
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
