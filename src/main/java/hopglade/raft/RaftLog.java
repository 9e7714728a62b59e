package hopglade.raft;

import com.google.gson.JsonObject;
import hopglade.epoch.Epochs;
import hopglade.epoch.Epochs.Change;
import hopglade.epoch.Epochs.Outcome;
import hopglade.epoch.PolicyMember;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * A voter's copy of the log, kept by MicroRaft. It runs on the caller's executor and clock, and so in virtual time as well; all calls are
 * made on that executor's thread, and {@link Epochs} is changed on it.
 */
public final class RaftLog implements PolicyMember.Log {

    private static final long HEARTBEAT_S = 1;
    private static final long SILENT_S = 2;
    private static final long ELECTION_MS = 500;
    private static final double CONFIRM_EVERY_MS = 500;
    /** A snapshot would be taken at so many entries; changes are refused well before, as none are kept. */
    private static final int MOST_ENTRIES = 20_000;
    private static final int ROOM = 1000;

    private final RaftNode node;
    private final Endpoint self;
    private final Epochs epochs;
    private final Runnable committed;
    private final int restoredTerm;
    private long applied;
    private int ledTerm = -1;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private boolean confirming;

    /** What a voter is made of; {@code nowMs} never runs back, {@code restored} is null where it has never run. */
    public record Parts(String name, List<String> voters, Epochs epochs, RaftNodeExecutor executor, DoubleSupplier nowMs, long seed, RaftStore store,
                        RestoredRaftState restored) { }

    /** For the library's timeouts: the machine's clock may be set, this one may not. */
    private static final class Monotonic extends Clock {
        private final DoubleSupplier nowMs;

        Monotonic(DoubleSupplier nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli((long) nowMs.getAsDouble());
        }
    }

    /**
     * @param send      takes what goes to another voter
     * @param committed runs after entries have been applied to the epochs
     */
    public RaftLog(Parts parts, BiConsumer<String, JsonObject> send, Runnable committed) {
        this.self = new Endpoint(parts.name());
        this.epochs = parts.epochs();
        this.committed = committed;
        this.restoredTerm = parts.restored() == null ? 0 : parts.restored().getTermPersistentState().getTerm();
        RaftConfig config = RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(HEARTBEAT_S).setLeaderHeartbeatTimeoutSecs(SILENT_S)
                .setLeaderElectionTimeoutMillis(ELECTION_MS).setCommitCountToTakeSnapshot(MOST_ENTRIES).build();
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder().setGroupId(Codec.GROUP).setConfig(config).setExecutor(parts.executor())
                .setTransport(new Wires(send)).setStateMachine(new Machine()).setModelFactory(Codec.MODELS).setClock(new Monotonic(parts.nowMs()))
                .setRandom(new Random(parts.seed())).setStore(parts.store());
        if (parts.restored() == null) {
            builder.setLocalEndpoint(self).setInitialGroupMembers(parts.voters().stream().map(v -> (RaftEndpoint) new Endpoint(v)).toList());
        } else {
            builder.setRestoredState(parts.restored());
        }
        node = builder.build();
    }

    public void start() {
        node.start();
    }

    public void stop() {
        node.terminate();
    }

    /** Whether it has ended by itself, as where its file can't be written. */
    public boolean broken() {
        return RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** A message from another voter; false where it is none of Raft's. */
    public boolean received(String from, JsonObject json) {
        RaftMessage message = Codec.raft(from, json);
        if (message != null && !broken()) {
            node.handle(message);
        }
        return message != null;
    }

    /** Confirms now and then that it leads; called every few ms. */
    public void tick(double now) {
        if (leads() && !confirming && now - confirmedAt >= CONFIRM_EVERY_MS) {
            confirmedAt = now;
            confirm(yes -> { });
        }
    }

    @Override
    public boolean leads() {
        return !broken() && self.equals(node.getTerm().getLeaderEndpoint());
    }

    @Override
    public boolean led() {
        return leads() && ledTerm == term();
    }

    @Override
    public String leader() {
        RaftEndpoint leader = broken() ? null : node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : (String) leader.getId();
    }

    @Override
    public int term() {
        return Math.max(restoredTerm, node.getTerm().getTerm());
    }

    @Override
    public long applied() {
        return applied;
    }

    @Override
    public void confirm(Consumer<Boolean> then) {
        int term = term();
        confirming = true;
        node.query(new Epochs.Begin(), QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty()).whenComplete((o, fault) -> {
            confirming = false;
            boolean leads = fault == null && leads() && term == term();
            if (leads) {
                ledTerm = term;
            }
            then.accept(leads);
        });
    }

    @Override
    public void append(Change change, Consumer<Outcome> then) {
        if (applied > MOST_ENTRIES - ROOM) {
            then.accept(new Outcome(0, "the log is full after " + applied + " entries; nothing was changed"));
            return;
        }
        node.<Outcome>replicate(change).whenComplete((o, fault) -> then.accept(fault == null ? o.getResult() : null));
    }

    private record Wires(BiConsumer<String, JsonObject> out) implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            JsonObject json = Codec.raft(message);
            if (json != null) {
                out.accept((String) to.getId(), json);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation instanceof Epochs.Begin && index == applied) {
                // A query: it changes nothing and is no entry.
                return null;
            }
            Outcome outcome = epochs.apply((Change) operation);
            applied = Math.max(applied, index);
            committed.run();
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
            return new Epochs.Begin();
        }
    }
}
