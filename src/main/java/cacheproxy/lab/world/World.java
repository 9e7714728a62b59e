package cacheproxy.lab.world;

import cacheproxy.lab.world.Installation.NodeSpec;
import cacheproxy.lab.world.Installation.OriginSpec;
import cacheproxy.measure.SlidingSum;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Simulates the machines and the endpoint list of an installation. A driver reports the requests
 * that reach a machine and advances the time; this class calls {@link Effects} in response. Times
 * are milliseconds of the run and must not decrease. The same calls with the same random generator
 * give the same effects.
 */
public final class World {

    /**
     * A request, common to all its attempts.
     *
     * @param callId the id sent with the request
     * @param workMs work in core-milliseconds at speed 1
     */
    public record Job(String callId, long key, boolean write, double workMs) {}

    /** How completely an answer is sent: as it is, cut in half, not HTTP, reset, or not at all. */
    public enum AnswerCompletion {
        COMPLETE,
        TRUNCATED,
        MALFORMED,
        RESET,
        NEVER
    }

    /**
     * The answer to an attempt.
     *
     * @param cacheStatus the value of X-Hit in the answer to a read; empty if it has none
     * @param version the version of the value in the body
     * @param executed whether the request was processed or had its effect
     */
    public record Answer(
            int status,
            String cacheStatus,
            boolean rejected,
            AnswerCompletion completion,
            int bytes,
            long version,
            boolean executed) {}

    /** State of a machine in the endpoint list. The names are sent by the discovery server. */
    public enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    /**
     * An entry of the endpoint list. {@code startedAt} is a time of the run, or negative if the
     * machine started long before the run.
     */
    public record Entry(
            String id, String kind, int zone, Health health, double weight, double startedAt) {}

    /** Receives the effects of the simulation, to be carried out by the driver. */
    public interface Effects {

        /** The machine sends the answer to an attempt now. */
        void answer(long attempt, Answer answer);

        /** Discovery sends a proxy the entries that changed up to a version. */
        void deliverEndpointList(int proxy, long version, List<Entry> entries);

        /** The machine's process died: its connections are reset and new ones are refused. */
        void machineDied(String machine);

        /** The machine's process has started and accepts connections. */
        void machineStarted(String machine);

        /** The origin was overloaded and stops for a limited time. */
        void originStopped();

        /** Reports an event for the results: the origin stops, or an overloaded node fails. */
        void reportEvent(String text);
    }

    private record AcceptedAttempt(long attempt, Job job, int proxy, String machine) {}

    private record ListUpdate(double at, long version, List<Entry> entries) {}

    /**
     * The next event of a machine. It is stale if the generation of the machine has changed; {@code
     * order} breaks ties.
     */
    private record MachineEvent(double at, long order, MachineState state, long generation)
            implements Comparable<MachineEvent> {

        @Override
        public int compareTo(MachineEvent other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(order, other.order);
        }
    }

    private record ScheduledUpdate(int proxy, ListUpdate update) {}

    private static final double LONG_AGO = -1;
    private static final String ORIGIN_KIND = "origin";

    /** Maximum of stops of the origin by overload in one run; more would add no information. */
    private static final int MAX_ORIGIN_STOPS = 2;

    private final Installation installation;
    private final RandomGenerator random;
    private final Map<String, MachineState> machines = new LinkedHashMap<>();
    private final Map<Long, AcceptedAttempt> pendingAttempts = new HashMap<>();
    private final Map<String, List<String>> missedNodesByCall = new HashMap<>();
    private final Map<Long, Long> versions = new HashMap<>();

    /** Nodes that may have a copy of a key, so that a write need not check every node. */
    private final Map<Long, List<MachineState>> holdersByKey = new HashMap<>();

    private final List<Deque<ListUpdate>> pendingUpdates = new ArrayList<>();
    private final PriorityQueue<MachineEvent> machineEvents = new PriorityQueue<>();
    private final PriorityQueue<ScheduledUpdate> scheduledUpdates =
            new PriorityQueue<>(
                    Comparator.comparingDouble((ScheduledUpdate d) -> d.update().at())
                            .thenComparingLong(d -> d.update().version())
                            .thenComparingInt(ScheduledUpdate::proxy));
    private long eventCount;
    private final double[] lastUpdateAt;
    private final double[] updatesBlockedUntil;

    /** Work sent to the origin, in core-milliseconds. */
    private final SlidingSum originWork = new SlidingSum();

    private double originOverSince = -1;
    private int originStops;
    private double nextWeightsAt;
    private long version = 1;
    private double extraDelayMs;

    /** A machine: its processor, its cached copies and its state in the endpoint list. */
    private final class MachineState {
        final String id;
        final String kind;
        final int zone;
        final Machine machine;
        final LruStore store;
        final NodeSpec nodeSpec;
        boolean alive = true;
        Health health = Health.UP;
        double startedAt = LONG_AGO;
        double weight = 1;
        SlowStartWindow slowStartWindow;
        double truncatedShare;
        double malformedShare;
        double resetShare;
        double errorShare;
        long generation;

        MachineState(
                String id,
                String kind,
                int zone,
                Machine.MachineSpec machineSpec,
                NodeSpec nodeSpec,
                double now) {
            this.id = id;
            this.kind = kind;
            this.zone = zone;
            this.machine = new Machine(machineSpec, now);
            this.nodeSpec = nodeSpec;
            this.store = nodeSpec == null ? null : new LruStore(nodeSpec.memoryBytes());
            this.errorShare = nodeSpec == null ? 0 : nodeSpec.errorShare();
            this.weight = machineSpec.cores();
        }

        boolean isOrigin() {
            return nodeSpec == null;
        }

        Entry entry() {
            return new Entry(id, kind, zone, health, weight, startedAt);
        }
    }

    /** The allowed load of a node that is warming up, and whether it fails above that load. */
    public record Limits(SlowStartAllowance allowance, boolean overloadedNodeFails) {}

    private final Limits limits;

    public World(Installation installation, Limits limits, RandomGenerator random) {
        this.installation = installation;
        this.limits = limits;
        this.random = random;
        for (NodeSpec node : installation.allNodes()) {
            machines.put(
                    node.id(),
                    new MachineState(node.id(), node.kind(), node.zone(), node.machine(), node, 0));
        }
        for (NodeSpec spare : installation.spares()) {
            machines.get(spare.id()).alive = false;
            machines.get(spare.id()).health = Health.REMOVED;
        }
        OriginSpec originSpec = installation.origin();
        machines.put(
                originSpec.id(),
                new MachineState(
                        originSpec.id(),
                        ORIGIN_KIND,
                        originSpec.zone(),
                        originSpec.machine(),
                        null,
                        0));
        installation.proxyZones().forEach(z -> pendingUpdates.add(new ArrayDeque<>()));
        lastUpdateAt = new double[installation.proxyZones().size()];
        updatesBlockedUntil = new double[installation.proxyZones().size()];
        nextWeightsAt = draw(installation.discovery().weightIntervalMs());
    }

    private double draw(double[] range) {
        return range[0] + (range[1] - range[0]) * random.nextDouble();
    }

    // Queries by drivers.

    /** Returns the actual present endpoint list, without the delay of discovery. */
    public List<Entry> currentEndpoints() {
        return machines.values().stream()
                .filter(u -> u.health != Health.REMOVED)
                .map(MachineState::entry)
                .toList();
    }

    public long version() {
        return version;
    }

    /** Returns the size of the value of a key in bytes, which is the same at every machine. */
    public int valueBytes(long key) {
        double[] range = installation.data().bytes();
        long mixed = key * 0x9E3779B97F4A7C15L;
        double part = (mixed >>> 11) * 0x1.0p-53;
        return (int) (range[0] * Math.pow(range[1] / range[0], part));
    }

    public boolean isWarmingUp(String machine, double now) {
        MachineState state = machines.get(machine);
        return state != null && state.machine.isWarmingUp(now);
    }

    /** Returns the allowed load of a node that is warming up. */
    public SlowStartAllowance slowStartAllowance() {
        return limits.allowance();
    }

    public boolean isAlive(String machine) {
        return machines.get(machine).alive;
    }

    /** Stores a copy of a key at a node, to fill its cache before the run. */
    public void putCopy(String node, long key, double expiresAt) {
        storeCopy(
                machines.get(node),
                key,
                new LruStore.Copy(valueBytes(key), versionOf(key), expiresAt));
    }

    private void storeCopy(MachineState state, long key, LruStore.Copy copy) {
        state.store.put(key, copy);
        List<MachineState> holders = holdersByKey.computeIfAbsent(key, k -> new ArrayList<>(2));
        if (!holders.contains(state)) {
            holders.add(state);
        }
    }

    private long versionOf(long key) {
        return versions.getOrDefault(key, 0L);
    }

    /** Returns the time of the next event of the simulation, until which no advance is needed. */
    public double nextEventAt() {
        dropStaleEvents();
        double next =
                machineEvents.isEmpty()
                        ? nextWeightsAt
                        : Math.min(nextWeightsAt, machineEvents.peek().at());
        return scheduledUpdates.isEmpty()
                ? next
                : Math.min(next, scheduledUpdates.peek().update().at());
    }

    // Events.

    /**
     * Advances to a time: answers the requests completed by then and delivers the endpoint list
     * updates that are due.
     */
    public void advance(double now, Effects effects) {
        dropStaleEvents();
        while (!machineEvents.isEmpty() && machineEvents.peek().at() <= now) {
            runMachine(machineEvents.remove().state(), now, effects);
            dropStaleEvents();
        }
        if (now >= nextWeightsAt) {
            updateWeights();
            publishChange(
                    now,
                    machines.values().stream()
                            .filter(u -> u.health != Health.REMOVED)
                            .map(MachineState::entry)
                            .toList());
            nextWeightsAt = now + draw(installation.discovery().weightIntervalMs());
        }
        while (!scheduledUpdates.isEmpty() && scheduledUpdates.peek().update().at() <= now) {
            ScheduledUpdate next = scheduledUpdates.remove();
            if (pendingUpdates.get(next.proxy()).peek() == next.update()) {
                pendingUpdates.get(next.proxy()).remove();
                effects.deliverEndpointList(
                        next.proxy(), next.update().version(), next.update().entries());
            }
        }
    }

    /** Advances a machine to a time and schedules its next event. */
    private void runMachine(MachineState state, double now, Effects effects) {
        if (state.alive) {
            state.machine.advance(now).forEach(d -> jobFinished(d.atMs(), state, d.job(), effects));
            scheduleNextEvent(state);
        }
    }

    private void scheduleNextEvent(MachineState state) {
        double at = state.alive ? state.machine.nextEventAt() : Double.POSITIVE_INFINITY;
        state.generation++;
        if (at < Double.POSITIVE_INFINITY) {
            machineEvents.add(new MachineEvent(at, ++eventCount, state, state.generation));
        }
    }

    /** Removes events at the head of the queue that a later change of their machine superseded. */
    private void dropStaleEvents() {
        while (!machineEvents.isEmpty()
                && machineEvents.peek().generation() != machineEvents.peek().state().generation) {
            machineEvents.remove();
        }
    }

    /** A connection to a machine was opened; the machine does the work of the handshake. */
    public void handshake(double now, String machine, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        double workMs =
                state.isOrigin()
                        ? installation.origin().handshakeMs()
                        : state.nodeSpec.handshakeMs();
        if (workMs > 0 && state.alive) {
            runMachine(state, now, effects);
            state.machine.offer(-1, workMs);
            scheduleNextEvent(state);
        }
    }

    /**
     * The last byte of an attempt has reached a machine.
     *
     * @param attempt number of the attempt, above 0 and unique in the run
     */
    public void request(
            double now, String machine, long attempt, int proxy, Job job, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        if (!state.alive) {
            return;
        }
        recordLoad(now, state, job, effects);
        if (!state.alive) {
            return;
        }
        if (state.health != Health.UP && state.health != Health.DRAINING) {
            effects.answer(attempt, rejected());
            return;
        }
        runMachine(state, now, effects);
        AcceptedAttempt pending = new AcceptedAttempt(attempt, job, proxy, machine);
        double workMs = workMsOf(now, machine, job);
        if (state.machine.offer(attempt, workMs)) {
            pendingAttempts.put(attempt, pending);
            scheduleNextEvent(state);
        } else {
            effects.answer(attempt, rejected());
        }
    }

    /**
     * Returns the work of a request at a machine at a time, in core-milliseconds, whether or not
     * the machine accepts it.
     */
    public double workMsOf(double now, String machine, Job job) {
        MachineState state = machines.get(machine);
        return state.isOrigin() ? originWorkMsOf(job) : nodeWorkMsOf(now, state, job);
    }

    private double originWorkMsOf(Job job) {
        return job.workMs()
                * installation.origin().fetchWorkFactor()
                * (job.write() ? installation.origin().writeWorkFactor() : 1);
    }

    private double nodeWorkMsOf(double now, MachineState state, Job job) {
        return job.write() || state.store.get(job.key(), now) == null
                ? state.nodeSpec.missWorkMs()
                : job.workMs();
    }

    /** Returns the answer of a machine that rejects a request or its connection. */
    public static Answer rejected() {
        return new Answer(503, "", true, AnswerCompletion.COMPLETE, 0, 0, false);
    }

    /**
     * The client no longer waits for a request: a fetch for it stores no copies. Accepted work is
     * still completed.
     */
    public void requestAbandoned(String callId) {
        missedNodesByCall.remove(callId);
    }

    private void jobFinished(double now, MachineState state, long attempt, Effects effects) {
        AcceptedAttempt pending = pendingAttempts.remove(attempt);
        if (pending == null) {
            return;
        }
        Job job = pending.job();
        AnswerCompletion completion = drawCompletion(state);
        if (random.nextDouble() < state.errorShare) {
            effects.answer(
                    attempt, new Answer(500, "", false, AnswerCompletion.COMPLETE, 0, 0, true));
        } else if (state.isOrigin()) {
            long valueVersion =
                    job.write() ? versions.merge(job.key(), 1L, Long::sum) : versionOf(job.key());
            if (job.write()) {
                List<MachineState> holders = holdersByKey.remove(job.key());
                (holders == null ? List.<MachineState>of() : holders)
                        .forEach(u -> u.store.remove(job.key()));
            } else {
                storeWhereMissed(now, job, valueVersion);
            }
            missedNodesByCall.remove(job.callId());
            effects.answer(
                    attempt,
                    new Answer(
                            200, "", false, completion, valueBytes(job.key()), valueVersion, true));
        } else {
            LruStore.Copy copy = job.write() ? null : state.store.get(job.key(), now);
            if (copy == null) {
                missedNodesByCall
                        .computeIfAbsent(job.callId(), c -> new ArrayList<>())
                        .add(state.id);
                effects.answer(attempt, new Answer(404, "miss", false, completion, 0, 0, false));
            } else {
                missedNodesByCall.remove(job.callId());
                effects.answer(
                        attempt,
                        new Answer(
                                200, "hit", false, completion, copy.bytes(), copy.version(), true));
            }
        }
    }

    private AnswerCompletion drawCompletion(MachineState state) {
        double uniform = random.nextDouble();
        if (uniform < state.truncatedShare) {
            return AnswerCompletion.TRUNCATED;
        }
        if (uniform < state.truncatedShare + state.malformedShare) {
            return AnswerCompletion.MALFORMED;
        }
        return uniform < state.truncatedShare + state.malformedShare + state.resetShare
                ? AnswerCompletion.RESET
                : AnswerCompletion.COMPLETE;
    }

    /** Stores a fetched value at the first two nodes that reported a miss for its request. */
    private void storeWhereMissed(double now, Job job, long valueVersion) {
        List<String> missed = missedNodesByCall.getOrDefault(job.callId(), List.of());
        for (String node : missed.subList(0, Math.min(2, missed.size()))) {
            MachineState state = machines.get(node);
            if (state.alive) {
                storeCopy(
                        state,
                        job.key(),
                        new LruStore.Copy(
                                valueBytes(job.key()),
                                valueVersion,
                                now + installation.data().ttlMs()));
            }
        }
    }

    /**
     * Records the load sent to a machine. Above its limit, a node that is warming up crashes and
     * does not restart; the origin stops for a limited time.
     */
    private void recordLoad(double now, MachineState state, Job job, Effects effects) {
        if (state.isOrigin()) {
            recordOriginLoad(now, state, originWorkMsOf(job), effects);
        } else if (state.slowStartWindow != null
                && state.slowStartWindow.isWarmingUp(now)
                && state.slowStartWindow.add(now, job.workMs() / limits.allowance().meanWorkMs())
                        > 1
                && limits.overloadedNodeFails()) {
            effects.reportEvent(state.id + " was overloaded while warming up and fails");
            kill(now, state.id, effects);
        }
    }

    private void recordOriginLoad(double now, MachineState state, double workMs, Effects effects) {
        OriginSpec originSpec = installation.origin();
        originWork.add(now, workMs);
        double recentWorkMs = originWork.sumSince(now - originSpec.overloadWindowMs());
        boolean overloaded =
                originSpec.overloadMultiple() > 0
                        && recentWorkMs
                                > originSpec.overloadMultiple()
                                        * state.machine.fullCapacity()
                                        * originSpec.overloadWindowMs();
        if (overloaded && originStops < MAX_ORIGIN_STOPS && !state.machine.isStalled(now)) {
            originStops++;
            double stopMs = draw(originSpec.stopMs());
            effects.reportEvent(
                    "the origin was sent more than "
                            + originSpec.overloadMultiple()
                            + " times its capacity and stops for "
                            + Math.round(stopMs)
                            + " ms");
            effects.originStopped();
            runMachine(state, now, effects);
            state.machine.stall(now + stopMs);
            scheduleNextEvent(state);
            originWork.clear();
        }
    }

    // Endpoint list.

    private void updateWeights() {
        for (MachineState state : machines.values()) {
            state.weight =
                    state.machine.cores()
                            / (1 + (double) state.machine.pendingJobs() / state.machine.cores());
        }
    }

    private void publishChange(double now, List<Entry> entries) {
        version++;
        for (int proxy = 0; proxy < pendingUpdates.size(); proxy++) {
            double delay = draw(installation.discovery().delayMs()) + extraDelayMs;
            // Updates are delivered in order of version.
            lastUpdateAt[proxy] =
                    Math.max(
                            lastUpdateAt[proxy], Math.max(now + delay, updatesBlockedUntil[proxy]));
            scheduleUpdate(proxy, new ListUpdate(lastUpdateAt[proxy], version, entries));
        }
    }

    private void scheduleUpdate(int proxy, ListUpdate update) {
        pendingUpdates.get(proxy).add(update);
        scheduledUpdates.add(new ScheduledUpdate(proxy, update));
    }

    private void publishChange(double now, MachineState state) {
        publishChange(now, List.of(state.entry()));
    }

    // Faults.

    /** Kills a machine's process; discovery removes it from the endpoint list. */
    public void kill(double now, String machine, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        runMachine(state, now, effects);
        state.alive = false;
        scheduleNextEvent(state);
        pendingAttempts.values().removeIf(o -> o.machine().equals(machine));
        state.health = Health.REMOVED;
        effects.machineDied(machine);
        publishChange(now, state);
    }

    /** Starts a machine's process with an empty cache; it starts warming up. */
    public void start(double now, String machine, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        state.machine.restart(now);
        if (state.store != null) {
            state.store.clear();
        }
        state.slowStartWindow =
                new SlowStartWindow(limits.allowance(), now, state.machine.fullCapacity());
        state.alive = true;
        state.health = Health.UP;
        state.startedAt = now;
        effects.machineStarted(machine);
        publishChange(now, state);
    }

    /** Marks a machine as draining in the endpoint list; it still serves all requests it gets. */
    public void drain(double now, String machine, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        state.health = Health.DRAINING;
        publishChange(now, state);
    }

    /** Suspends all work of a machine until a time. */
    public void stall(double now, String machine, double until, Effects effects) {
        changeMachine(now, machine, m -> m.stall(until), effects);
    }

    /** Multiplies the duration of a machine's work from now on; 1 is normal speed. */
    public void setSlowdown(double now, String machine, double factor, Effects effects) {
        changeMachine(now, machine, m -> m.setSlowdown(factor), effects);
    }

    /** Advances a machine to the present and then changes it. */
    private void changeMachine(
            double now, String machine, Consumer<Machine> change, Effects effects) {
        advance(now, effects);
        MachineState state = machines.get(machine);
        runMachine(state, now, effects);
        change.accept(state.machine);
        scheduleNextEvent(state);
    }

    /**
     * Sets the shares of answers that are truncated, malformed or replaced by a reset from now on.
     */
    public void setAnswerFaults(String machine, double truncated, double malformed, double resets) {
        MachineState state = machines.get(machine);
        state.truncatedShare = truncated;
        state.malformedShare = malformed;
        state.resetShare = resets;
    }

    /** Sets the share of requests that fail from now on, in addition to the node's usual share. */
    public void setErrorShare(String machine, double share) {
        MachineState state = machines.get(machine);
        state.errorShare = share + (state.nodeSpec == null ? 0 : state.nodeSpec.errorShare());
    }

    /** Expires all copies of a share of the keys at every node. */
    public void expireCopies(double share) {
        // Selected by a hash of the key, so that a key expires at all its nodes or at none.
        machines.values().stream()
                .filter(u -> !u.isOrigin())
                .forEach(
                        u ->
                                u.store.removeIf(
                                        key ->
                                                ((key * 0xD1B54A32D192ED03L) >>> 11) * 0x1.0p-53
                                                        < share));
    }

    /** Withholds endpoint list updates from a proxy until a time, including those in transit. */
    public void blockListUpdates(int proxy, double until) {
        updatesBlockedUntil[proxy] = until;
        List<ListUpdate> queued = new ArrayList<>(pendingUpdates.get(proxy));
        pendingUpdates.get(proxy).clear();
        queued.forEach(
                n ->
                        scheduleUpdate(
                                proxy,
                                new ListUpdate(Math.max(n.at(), until), n.version(), n.entries())));
        lastUpdateAt[proxy] = Math.max(lastUpdateAt[proxy], until);
    }

    /** Adds a delay to every later endpoint list update; 0 is the normal delay. */
    public void setExtraListDelay(double moreMs) {
        extraDelayMs = moreMs;
    }
}
