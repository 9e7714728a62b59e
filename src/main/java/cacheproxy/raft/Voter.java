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
 * A node of MicroRaft on the caller's executor and clock, whatever its log means: it runs in
 * virtual time as well. All calls are made on that executor's thread, and so are the state
 * machine's.
 */
final class Voter {

    private static final long HEARTBEAT_PERIOD_S = 1;
    private static final long HEARTBEAT_TIMEOUT_S = 2;

    /** A question that has no answer by then is asked again. */
    private static final double CONFIRMATION_TIMEOUT_MS = 2000;

    /** What is asked so that a majority confirms the leader; it is no entry. */
    private static final Object LEADERSHIP_QUERY = new Object();

    private final RaftNode node;
    private final Endpoint self;
    private final int restoredTerm;
    private int confirmedTerm = -1;
    private double lastConfirmationAtMs = Double.NEGATIVE_INFINITY;
    private boolean confirming;

    /**
     * What a voter is made of; {@code nowMs} never runs back, {@code restored} is null where it has
     * never run. The library counts its time-outs in whole seconds: {@code speed} says how many of
     * them pass for it in one, and {@code electionMs} are of these.
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

    /** For the library's timeouts: the machine's clock may be set, this one may not. */
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

    /** Keeps questions from the machine. */
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
     * @param send takes what goes to another voter
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

    /** Ends it; what it writes last is written once the answer is there. */
    CompletableFuture<?> stop() {
        return node.terminate();
    }

    /** Whether it has ended by itself, as where its file can't be written. */
    boolean isTerminated() {
        return RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** A message from another voter; false where it is none of Raft's. */
    boolean received(String from, JsonObject json) {
        RaftMessage message = Codec.raftMessage(from, json);
        if (message != null && !isTerminated()) {
            node.handle(message);
        }
        return message != null;
    }

    /** Whether it is time to confirm again that it leads. */
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

    /** Whether a majority has confirmed in this term that it leads. */
    boolean isLeadershipConfirmed() {
        return isLeader() && confirmedTerm == term();
    }

    String leader() {
        RaftEndpoint leader = isTerminated() ? null : node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : (String) leader.getId();
    }

    int term() {
        return Math.max(restoredTerm, node.getTerm().getTerm());
    }

    /** Asks a majority whether it still leads. */
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
     * Adds an entry; {@code then} is told what the machine made of it, or null where that is not
     * known.
     */
    <T> void append(Object operation, Consumer<T> callback) {
        node.<T>replicate(operation)
                .whenComplete((o, fault) -> callback.accept(fault == null ? o.getResult() : null));
    }
}
