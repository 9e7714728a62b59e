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

    private static final long HEARTBEAT_S = 1;
    private static final long SILENT_S = 2;

    /** A question that has no answer by then is asked again. */
    private static final double UNANSWERED_MS = 2000;

    /** What is asked so that a majority confirms the leader; it is no entry. */
    private static final Object QUESTION = new Object();

    private final RaftNode node;
    private final Endpoint self;
    private final int restoredTerm;
    private int ledTerm = -1;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
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
            int speed,
            long electionMs) {}

    /** For the library's timeouts: the machine's clock may be set, this one may not. */
    private static final class Monotonic extends Clock {
        private final DoubleSupplier nowMs;
        private final int speed;

        Monotonic(DoubleSupplier nowMs, int speed) {
            this.nowMs = nowMs;
            this.speed = speed;
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
            return Instant.ofEpochMilli((long) (nowMs.getAsDouble() * speed));
        }
    }

    private record Faster(RaftNodeExecutor executor, int speed) implements RaftNodeExecutor {
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
            executor.schedule(task, unit.toMicros(delay) / speed, TimeUnit.MICROSECONDS);
        }
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

    /** Keeps questions from the machine. */
    private record Entries(StateMachine machine) implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            return operation == QUESTION ? null : machine.runOperation(index, operation);
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
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                        .setLeaderHeartbeatTimeoutSecs(SILENT_S)
                        .setLeaderElectionTimeoutMillis(parts.electionMs())
                        .setCommitCountToTakeSnapshot(parts.snapshotEvery())
                        .build();
        RaftNode.RaftNodeBuilder builder =
                RaftNode.newBuilder()
                        .setGroupId(Codec.GROUP)
                        .setConfig(config)
                        .setExecutor(
                                parts.speed() == 1
                                        ? parts.executor()
                                        : new Faster(parts.executor(), parts.speed()))
                        .setTransport(new Wires(send))
                        .setStateMachine(new Entries(machine))
                        .setModelFactory(Codec.MODELS)
                        .setClock(new Monotonic(parts.nowMs(), parts.speed()))
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
    boolean broken() {
        return RaftNodeStatus.isTerminal(node.getStatus());
    }

    /** A message from another voter; false where it is none of Raft's. */
    boolean received(String from, JsonObject json) {
        RaftMessage message = Codec.raft(from, json);
        if (message != null && !broken()) {
            node.handle(message);
        }
        return message != null;
    }

    /** Whether it is time to confirm again that it leads. */
    boolean due(double now, double everyMs) {
        boolean due =
                leads()
                        && now - confirmedAt
                                >= (confirming ? Math.max(everyMs, UNANSWERED_MS) : everyMs);
        if (due) {
            confirmedAt = now;
        }
        return due;
    }

    boolean leads() {
        return !broken() && self.equals(node.getTerm().getLeaderEndpoint());
    }

    /** Whether a majority has confirmed in this term that it leads. */
    boolean led() {
        return leads() && ledTerm == term();
    }

    String leader() {
        RaftEndpoint leader = broken() ? null : node.getTerm().getLeaderEndpoint();
        return leader == null ? "" : (String) leader.getId();
    }

    int term() {
        return Math.max(restoredTerm, node.getTerm().getTerm());
    }

    /** Asks a majority whether it still leads. */
    void confirm(Consumer<Boolean> then) {
        int term = term();
        confirming = true;
        node.query(QUESTION, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete(
                        (o, fault) -> {
                            confirming = false;
                            boolean leads = fault == null && leads() && term == term();
                            if (leads) {
                                ledTerm = term;
                            }
                            then.accept(leads);
                        });
    }

    /**
     * Adds an entry; {@code then} is told what the machine made of it, or null where that is not
     * known.
     */
    <T> void append(Object operation, Consumer<T> then) {
        node.<T>replicate(operation)
                .whenComplete((o, fault) -> then.accept(fault == null ? o.getResult() : null));
    }
}
