package cacheproxy.raft;

import cacheproxy.epoch.Epochs;
import cacheproxy.stream.Change;
import cacheproxy.stream.Entry;
import cacheproxy.stream.Frames;
import cacheproxy.stream.Message;
import cacheproxy.stream.Window;
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
    public static final int SNAPSHOT_EVERY = 10_000;

    /**
     * A second of the library's passes in a quarter of one: a leader that falls silent is missed
     * after half a second.
     */
    private static final int SPEED = 4;

    /**
     * Of the library's time: a quarter of a second, and each control machine a tenth more than the
     * one before. Three of three have to agree when one is lost, so two who stand at once undo each
     * other.
     */
    private static final long ELECTION_MS = 1000;

    private static final long STEP_MS = 400;

    /** A part of a snapshot stays well below what one frame between control machines may hold. */
    private static final int PART_BYTES = 48 << 10;

    private static final double CONFIRM_EVERY_MS = 200;

    /** The first entry of all: the stream's name, drawn by the first leader. */
    record Found(long lineage) {}

    /** A new leader's first entry. */
    private static final Object BEGIN = new Epochs.Begin();

    /**
     * What a control machine's copy is made of; {@code nowMs} never runs back, {@code restored} is
     * null where it has never run.
     */
    public record Parts(
            String name,
            List<String> voters,
            Window window,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored,
            int snapshotEvery) {}

    private final Voter voter;
    private final Window window;
    private final Runnable advanced;
    private final long drawn;
    private boolean founding;

    /**
     * @param send takes what goes to another control machine
     * @param advanced runs after the window has grown or begun anew
     */
    public StreamLog(Parts parts, BiConsumer<String, JsonObject> send, Runnable advanced) {
        window = parts.window();
        this.advanced = advanced;
        drawn = new Random(parts.seed()).nextLong() | 1;
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
                                SPEED,
                                ELECTION_MS + STEP_MS * parts.voters().indexOf(parts.name())),
                        new Machine(),
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
    public boolean broken() {
        return voter.broken();
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
    public boolean leads() {
        return voter.leads();
    }

    /**
     * Asks a majority whether this one leads, five times a second while it does; {@code then} is
     * told when it has said yes, for the time of asking.
     */
    public void tick(double now, Consumer<Double> then) {
        if (voter.due(now, CONFIRM_EVERY_MS)) {
            voter.confirm(
                    yes -> {
                        if (yes) {
                            found();
                            then.accept(now);
                        }
                    });
        }
    }

    private void found() {
        if (window.lineage() == 0 && !founding) {
            founding = true;
            voter.append(new Found(drawn), o -> founding = false);
        }
    }

    /**
     * Adds a change; {@code then} is told its place, 0 where it was there before, -1 where it was
     * refused, and null where that is not known: the leader was lost meanwhile, and the same change
     * may be asked for again.
     */
    public void append(Change change, Consumer<Long> then) {
        if (!voter.leads() || window.lineage() == 0 || !Frames.fits(change)) {
            then.accept(-1L);
        } else {
            voter.append(change, then);
        }
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            long seq = 0;
            if (operation instanceof Found f && window.lineage() == 0) {
                window.reset(new Message.Snapshot(f.lineage(), 0, Change.Epoch.NONE));
            } else if (operation instanceof Change c
                    && !(c instanceof Change.Epoch e
                            && e.number() <= window.end().epoch().number())) {
                // An epoch that is there was asked for again, as its author did not hear; a purge
                // may be there twice.
                seq = window.head() + 1;
                window.append(new Entry(seq, c));
            }
            advanced.run();
            return seq;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            window.messages(PART_BYTES).forEach(m -> chunks.accept(Frames.encode(m)));
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            chunks.forEach(c -> window.take(Frames.decode(ByteBuffer.wrap((byte[]) c))));
            advanced.run();
        }

        @Override
        public Object getNewTermOperation() {
            return BEGIN;
        }
    }
}
