package cacheproxy.raft;

import com.google.gson.JsonObject;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * A MicroRaft node on the caller's executor and clock, so that it also runs in virtual time. It is
 * independent of the content of the log. All calls are made on the executor's thread, including
 * those to the state machine.
 */
final class Voter {

    private static final long HEARTBEAT_PERIOD_S = 1;
    private static final long HEARTBEAT_TIMEOUT_S = 2;

    /** A confirmation of the leadership that has no answer after this time is requested again. */
    private static final double CONFIRMATION_TIMEOUT_MS = 2000;

    /** The query by which a majority confirms the leader; it adds no log entry. */
    private static final Object LEADERSHIP_QUERY = new Object();

    private final RaftNode node;
    private final Endpoint self;
    private final int restoredTerm;

    /** The last term in which a majority has confirmed this node as the leader. */
    private int confirmedTerm = -1;

    /** When a confirmation of the leadership was last requested. */
    private double lastConfirmationAtMs = Double.NEGATIVE_INFINITY;

    private boolean confirming;

    /**
     * What a voter is made of.
     *
     * @param nowMs a monotonic clock, in milliseconds
     * @param restored the state that an earlier process has stored; null if there is none
     * @param snapshotEvery the number of entries between snapshots
     * @param timeScale how fast MicroRaft's clock runs: this many of its seconds pass in one of
     *     {@code nowMs}. MicroRaft counts heartbeat time-outs in whole seconds only, so this is how
     *     they are made shorter
     * @param electionTimeoutMs the election time-out in milliseconds of MicroRaft's clock
     */
    record Parts(
            String name,
            List<String> voters,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored,
            int snapshotEvery,
            int timeScale,
            long electionTimeoutMs) {}

    /** The clock for MicroRaft's time-outs; unlike the system's clock it is never set back. */
    private static final class MonotonicClock extends Clock {
        private final DoubleSupplier nowMs;
        private final int timeScale;

        MonotonicClock(DoubleSupplier nowMs, int timeScale) {
            this.nowMs = nowMs;
            this.timeScale = timeScale;
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
            return Instant.ofEpochMilli((long) (nowMs.getAsDouble() * timeScale));
        }
    }

    /** Shortens the delays of scheduled tasks by the time scale. */
    private record TimeScalingExecutor(RaftNodeExecutor executor, int timeScale)
            implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            executor.execute(task);
        }

        @Override
        public void submit(Runnable task) {
            executor.submit(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            executor.schedule(task, unit.toMicros(delay) / timeScale, TimeUnit.MICROSECONDS);
        }
    }

    /** Sends Raft messages as JSON. */
    private record JsonTransport(BiConsumer<String, JsonObject> sender) implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            JsonObject json = Codec.raftMessage(message);
            if (json != null) {
                sender.accept((String) to.getId(), json);
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true;
        }
    }

    /** Passes log entries to the state machine, but not the leadership query. */
    private record QueryFilter(StateMachine machine) implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            return operation == LEADERSHIP_QUERY ? null : machine.runOperation(index, operation);
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            machine.takeSnapshot(index, chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            machine.installSnapshot(index, chunks);
        }

        @Override
        public Object getNewTermOperation() {
            return machine.getNewTermOperation();
        }
    }

    /**
     * @param send sends a message to the voter of that name
     */
    Voter(Parts parts, StateMachine machine, BiConsumer<String, JsonObject> send) {
        this.self = new Endpoint(parts.name());
        this.restoredTerm =
                parts.restored() == null ? 0 : parts.restored().getTermPersistentState().getTerm();
        RaftConfig config =
                RaftConfig.newBuilder()
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_S)
                        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_S)
                        .setLeaderElectionTimeoutMillis(parts.electionTimeoutMs())
                        .setCommitCountToTakeSnapshot(parts.snapshotEvery())
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(Codec.GROUP_ID)
                        .setConfig(config)
                        .setExecutor(
                                parts.timeScale() == 1
                                        ? parts.executor()
                                        : new TimeScalingExecutor(
                                                parts.executor(), parts.timeScale()))
                        .setTransport(new JsonTransport(send))
                        .setStateMachine(new QueryFilter(machine))
                        .setModelFactory(Codec.MODEL_FACTORY)
                        .setClock(new MonotonicClock(parts.nowMs(), parts.timeScale()))
                        .setRandom(new Random(parts.seed()))
                        .setStore(parts.store());
        if (parts.restored() == null) {
            builder.setLocalEndpoint(self)
                    .setInitialGroupMembers(
                            parts.voters().stream()
                                    .map(v -> (RaftEndpoint) new Endpoint(v))
                                    .toList());
        } else {
            builder.setRestoredState(parts.restored());
        }
        node = builder.build();
    }

    RaftNode node() {
        return node;
    }

    void start() {
        node.start();
    }

    /** Stops the node; its last writes are done when the returned future completes. */
    CompletableFuture<?> stop() {
        return node.terminate();
    }

    /**
     * Whether the node has terminated: after {@link #stop}, or by itself, for example because its
     * file could not be written.
     */
    boolean isTerminated() {
        return RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** Handles a message from another voter; returns false if it is not a Raft message. */
    boolean received(String from, JsonObject json) {
        RaftMessage message = Codec.raftMessage(from, json);
        if (message != null && !isTerminated()) {
            node.handle(message);
        }
        return message != null;
    }

    /**
     * Whether this node leads and it is time to confirm that again. If so, the caller has to call
     * {@link #confirm}: the time of this call counts as that of the request.
     *
     * @param intervalMs the interval between two confirmations
     */
    boolean confirmationDue(double now, double intervalMs) {
        boolean due =
                isLeader()
                        && now - lastConfirmationAtMs
                                >= (confirming
                                        ? Math.max(intervalMs, CONFIRMATION_TIMEOUT_MS)
                                        : intervalMs);
        if (due) {
            lastConfirmationAtMs = now;
        }
        return due;
    }

    boolean isLeader() {
        return !isTerminated() && self.equals(node.getTerm().getLeaderEndpoint());
    }

    /** Whether this node leads and a majority has confirmed that in this term. */
    boolean isLeadershipConfirmed() {
        return isLeader() && confirmedTerm == term();
    }

    /** Returns the name of the leader as far as known here; empty if none is known. */
    String leader() {
        RaftEndpoint leader = isTerminated() ? null : node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : (String) leader.getId();
    }

    /** Returns the current term, which is never below the restored one. */
    int term() {
        return Math.max(restoredTerm, node.getTerm().getTerm());
    }

    /**
     * Asks a majority whether this node still leads.
     *
     * @param callback called with true if it is confirmed, in the term of this call; else false
     */
    void confirm(Consumer<Boolean> callback) {
        int term = term();
        confirming = true;
        node.query(LEADERSHIP_QUERY, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (o, fault) -> {
                            confirming = false;
                            boolean confirmed = fault == null && isLeader() && term == term();
                            if (confirmed) {
                                confirmedTerm = term;
                            }
                            callback.accept(confirmed);
                        });
    }

    /**
     * Appends an entry to the log.
     *
     * @param callback called with the state machine's result, or null if the outcome is not known
     */
    <T> void append(Object operation, Consumer<T> callback) {
        node.<T>replicate(operation)
                .whenComplete((o, fault) -> callback.accept(fault == null ? o.getResult() : null));
    }
}
