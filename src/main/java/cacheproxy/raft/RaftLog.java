package cacheproxy.raft;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Change;
import cacheproxy.epoch.Epochs.Outcome;
import cacheproxy.epoch.PolicyMember;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * A voter's copy of the replicated policy log. It runs on the caller's executor and clock, so it
 * also works in virtual time. All calls are made on that executor's thread, and committed entries
 * are applied to {@link Epochs} on it.
 */
public final class RaftLog implements PolicyMember.Log {

    /**
     * MicroRaft would take a snapshot after this many entries. The policy log has no snapshots, so
     * changes are refused {@link #RESERVED_ENTRIES} entries earlier.
     */
    private static final int MAX_ENTRIES = 20_000;

    private static final int RESERVED_ENTRIES = 1000;
    private static final long ELECTION_TIMEOUT_MS = 500;
    private static final double LEADERSHIP_CONFIRM_INTERVAL_MS = 500;

    private final Voter voter;
    private final Epochs epochs;
    private final Runnable onCommitted;
    private long applied;

    /**
     * What a policy log is made of.
     *
     * @param epochs the state that committed entries are applied to
     * @param nowMs a monotonic clock, in milliseconds
     * @param restored the state that an earlier process has stored; null if there is none
     */
    public record Parts(
            String name,
            List<String> voters,
            Epochs epochs,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored) {}

    /**
     * @param send sends a message to the voter of that name
     * @param onCommitted runs after each committed entry has been applied to the epochs
     */
    public RaftLog(Parts parts, BiConsumer<String, JsonObject> send, Runnable onCommitted) {
        this.epochs = parts.epochs();
        this.onCommitted = onCommitted;
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
                                MAX_ENTRIES,
                                1,
                                ELECTION_TIMEOUT_MS),
                        new EpochStateMachine(),
                        send);
    }

    public void start() {
        voter.start();
    }

    public void stop() {
        voter.stop();
    }

    /** Whether the Raft node has terminated, for example because its file could not be written. */
    public boolean isTerminated() {
        return voter.isTerminated();
    }

    /** Handles a message from another voter; returns false if it is not a Raft message. */
    public boolean received(String from, JsonObject json) {
        return voter.received(from, json);
    }

    /**
     * If this voter leads, lets a majority confirm that at a fixed interval. Called every few
     * milliseconds.
     */
    public void tick(double now) {
        if (voter.confirmationDue(now, LEADERSHIP_CONFIRM_INTERVAL_MS)) {
            voter.confirm(confirmed -> {});
        }
    }

    @Override
    public boolean isLeader() {
        return voter.isLeader();
    }

    @Override
    public boolean isLeadershipConfirmed() {
        return voter.isLeadershipConfirmed();
    }

    @Override
    public String leader() {
        return voter.leader();
    }

    @Override
    public int term() {
        return voter.term();
    }

    @Override
    public long appliedIndex() {
        return applied;
    }

    @Override
    public void confirmLeadership(Consumer<Boolean> callback) {
        voter.confirm(callback);
    }

    @Override
    public void append(Change change, Consumer<Outcome> callback) {
        if (applied > MAX_ENTRIES - RESERVED_ENTRIES) {
            callback.accept(
                    new Outcome(
                            0, "policy log is full: " + applied + " entries; nothing was changed"));
            return;
        }
        voter.append(change, callback);
    }

    private final class EpochStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            Outcome outcome = epochs.apply((Change) operation);
            applied = Math.max(applied, index);
            onCommitted.run();
            return outcome;
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            throw new IllegalStateException("the policy log does not support snapshots");
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            throw new IllegalStateException("the policy log does not support snapshots");
        }

        @Override
        public Object getNewTermOperation() {
            return new Epochs.NewTermEntry();
        }
    }
}
