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
 * A voter's copy of the policy's log. It runs on the caller's executor and clock, and so in virtual
 * time as well; all calls are made on that executor's thread, and {@link Epochs} is changed on it.
 */
public final class RaftLog implements PolicyMember.Log {

    /**
     * A snapshot would be taken at so many entries; changes are refused well before, as none are
     * kept.
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
     * What a voter is made of; {@code nowMs} never runs back, {@code restored} is null where it has
     * never run.
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
     * @param send takes what goes to another voter
     * @param committed runs after entries have been applied to the epochs
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

    /** Whether it has ended by itself, as where its file can't be written. */
    public boolean isTerminated() {
        return voter.isTerminated();
    }

    /** A message from another voter; false where it is none of Raft's. */
    public boolean received(String from, JsonObject json) {
        return voter.received(from, json);
    }

    /** Confirms now and then that it leads; called every few ms. */
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
                            0,
                            "the log is full after " + applied + " entries; nothing was changed"));
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
            throw new IllegalStateException("snapshots are not kept");
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            throw new IllegalStateException("snapshots are not kept");
        }

        @Override
        public Object getNewTermOperation() {
            return new Epochs.NewTermEntry();
        }
    }
}
