package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Outcome;
import cacheproxy.epoch.Epochs.Prepare;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests three voters in virtual time whose files fail temporarily. A voter has to rejoin once its
 * disk works again, and no voter may vote for two candidates in one term, whichever others are down
 * meanwhile.
 */
class VoterRecoveryTest {

    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final double TICK_MS = 20;
    private static final double LINK_DELAY_MS = 3;

    private record ScheduledTask(double at, long order, Runnable task) {}

    @TempDir Path folder;
    private double now = 1000;
    private long order;
    private final PriorityQueue<ScheduledTask> eventQueue =
            new PriorityQueue<>(
                    Comparator.comparingDouble(ScheduledTask::at)
                            .thenComparingLong(ScheduledTask::order));
    private final Map<String, SimulatedVoter> voters = new HashMap<>();

    /** The candidate that each voter has voted for, by the voter's name and the term. */
    private final Map<String, String> votes = new HashMap<>();

    private final List<String> doubleVotes = new ArrayList<>();

    /** The proposals that were confirmed to their authors, by the number of their epoch. */
    private final Map<Long, String> confirmedProposals = new HashMap<>();

    private void scheduleIn(double ms, Runnable task) {
        eventQueue.add(new ScheduledTask(now + ms, order++, task));
    }

    private void advance(double ms) {
        double end = now + ms;
        while (!eventQueue.isEmpty() && eventQueue.peek().at() <= end) {
            ScheduledTask next = eventQueue.remove();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** A voter that uses and reopens its file as {@link PolicyService} does in a process. */
    private final class SimulatedVoter implements RaftNodeExecutor {
        final String name;
        final FaultyFiles files = new FaultyFiles();
        final StorageRecovery storage;
        final List<String> events = new ArrayList<>();
        LogFile file;
        Epochs epochs;
        RaftLog log;
        boolean down;

        /** Whether faults of the file are ignored, instead of handled as in a process. */
        boolean recoveryDisabled;

        int sent;
        int incarnation;

        SimulatedVoter(String name) throws IOException {
            this.name = name;
            storage =
                    new StorageRecovery(folder.resolve(name), (event, fields) -> events.add(event));
            startNode(LogFile.open(folder.resolve(name), files));
            tick();
        }

        private void startNode(LogFile opened) {
            file = opened;
            epochs = new Epochs();
            incarnation++;
            log =
                    new RaftLog(
                            new RaftLog.Parts(
                                    name,
                                    NAMES,
                                    epochs,
                                    this,
                                    () -> now,
                                    name.hashCode() * 31L + incarnation,
                                    opened,
                                    opened.restored()),
                            this::send,
                            () -> {});
            log.start();
        }

        private void send(String to, JsonObject message) {
            if (file.failed() || down) {
                return;
            }
            sent++;
            String kind = message.get("t").getAsString();
            if (kind.equals("vote")) {
                recordVote(name, message);
            } else if (kind.equals("voted") && message.get("granted").getAsBoolean()) {
                recordVote(to, message);
            }
            SimulatedVoter other = voters.get(to);
            scheduleIn(
                    LINK_DELAY_MS,
                    () -> {
                        if (!other.down && !other.storage.failed()) {
                            other.log.received(name, message);
                        }
                    });
        }

        private void recordVote(String candidate, JsonObject message) {
            String previous =
                    votes.putIfAbsent(name + " in " + message.get("raft_term"), candidate);
            if (previous != null && !previous.equals(candidate)) {
                // Recorded and not thrown, because MicroRaft would catch the exception.
                doubleVotes.add(name + " for " + previous + " and " + candidate + ": " + message);
            }
        }

        private void tick() {
            if (!down && !recoveryDisabled) {
                if (!storage.failed() && (file.failed() || log.isTerminated())) {
                    storage.failed(
                            now,
                            file.failed() ? file.fault() : PolicyService.nodeTerminated(folder));
                    log.stop();
                    file.closeQuietly();
                }
                storage.tick(now, () -> startNode(file.reopen()));
                if (!storage.failed()) {
                    log.tick(now);
                }
            }
            scheduleIn(TICK_MS, this::tick);
        }

        @Override
        public void execute(Runnable task) {
            schedule(task, 0, TimeUnit.MILLISECONDS);
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            int taskIncarnation = incarnation;
            scheduleIn(
                    unit.toMicros(delay) / 1000.0,
                    () -> {
                        if (!down && taskIncarnation == incarnation) {
                            task.run();
                        }
                    });
        }
    }

    private void startAll() throws IOException {
        for (String name : NAMES) {
            voters.put(name, new SimulatedVoter(name));
        }
    }

    private SimulatedVoter leader() {
        return voters.values().stream()
                .filter(m -> !m.down && !m.storage.failed() && m.log.isLeadershipConfirmed())
                .findFirst()
                .orElse(null);
    }

    private void recordIfConfirmed(Outcome outcome, String proposal) {
        if (outcome.rejectionReason() == null) {
            confirmedProposals.put(outcome.epoch(), proposal);
        }
    }

    /** Checks that all running voters have all confirmed epochs, and that none voted twice. */
    private void assertConsistent(String scenario) {
        assertEquals(List.of(), doubleVotes, scenario);
        for (SimulatedVoter voter : voters.values().stream().filter(m -> !m.down).toList()) {
            assertEquals(leader().epochs.history(), voter.epochs.history(), scenario);
            for (Epochs.Epoch epoch : voter.epochs.history()) {
                String expected = confirmedProposals.getOrDefault(epoch.number(), epoch.proposal());
                assertEquals(expected, epoch.proposal(), scenario);
            }
        }
        long last = confirmedProposals.keySet().stream().max(Long::compare).orElseThrow();
        assertTrue(leader().epochs.inForce() >= last, scenario);
    }

    /**
     * Proposes epochs to the current leader until one is prepared and activated; returns false if
     * none is within this time.
     */
    private boolean makesProgress(double withinMs) {
        long[] done = new long[1];
        for (double end = now + withinMs; now < end && done[0] == 0; advance(200)) {
            SimulatedVoter leader = leader();
            if (leader != null) {
                long base = leader.epochs.inForce();
                String proposal = "p" + order;
                leader.log.append(
                        new Prepare(proposal, base, "[log]\n"),
                        outcome -> {
                            if (outcome != null) {
                                recordIfConfirmed(outcome, proposal);
                                long prepared = leader.epochs.prepared();
                                leader.log.append(new Epochs.Activate(prepared), o -> done[0]++);
                            }
                        });
            }
        }
        return done[0] > 0;
    }

    @Test
    void voterRejoinsAfterDiskRecoversAndGroupKeepsCommitting() throws Exception {
        startAll();
        assertTrue(makesProgress(20_000));
        List<SimulatedVoter> others = new ArrayList<>(voters.values());
        SimulatedVoter leader = leader();
        others.remove(leader);
        SimulatedVoter faulty = others.get(0);
        faulty.files.broken = true;
        assertTrue(makesProgress(10_000), "two voters of three are a majority");
        advance(3000);
        assertEquals(List.of("storage_failed"), faulty.events);
        others.get(1).down = true;
        long votesBefore = votes.keySet().stream().filter(v -> v.startsWith(faulty.name)).count();
        assertFalse(makesProgress(20_000), "one voter of three is no majority");
        assertEquals(
                votesBefore,
                votes.keySet().stream().filter(v -> v.startsWith(faulty.name)).count(),
                "a failed voter does not vote");
        faulty.files.broken = false;
        assertTrue(
                makesProgress(StorageRecovery.MAX_BACKOFF_MS + 20_000), "the voter has rejoined");
        assertEquals(List.of("storage_failed", "storage_recovered"), faulty.events);
        advance(2000);
        assertConsistent("with one voter down");
    }

    /**
     * MicroRaft keeps a node running whose store has thrown, so the node's messages have to be
     * discarded until its file has been opened again.
     */
    @Test
    void nodeStillRunningAfterStoreFailureSendsNothing() throws Exception {
        startAll();
        assertTrue(makesProgress(20_000));
        for (boolean leads : List.of(true, false)) {
            SimulatedVoter faulty =
                    voters.values().stream()
                            .filter(m -> (m == leader()) == leads)
                            .findFirst()
                            .orElseThrow();
            faulty.files.syncsUntilFault = 0;
            faulty.recoveryDisabled = true;
            makesProgress(1000);
            assertTrue(faulty.file.failed());
            assertFalse(faulty.log.isTerminated(), "MicroRaft keeps the node running");
            int sent = faulty.sent;
            advance(5000);
            assertEquals(sent, faulty.sent);
            faulty.recoveryDisabled = false;
            assertTrue(makesProgress(30_000));
            advance(2000);
            assertEquals(leader().epochs.inForce(), faulty.epochs.inForce());
        }
    }

    /**
     * In twelve random scenarios disks fail and voters are down temporarily; then follows a time
     * without faults, after which all voters have to agree.
     */
    @Test
    void noDoubleVotesAndAllVotersRejoinUnderRandomFaults() throws Exception {
        for (int seed = 1; seed <= 12; seed++) {
            Random random = new Random(seed);
            voters.clear();
            votes.clear();
            confirmedProposals.clear();
            eventQueue.clear();
            folder = folder.resolveSibling("day-" + seed);
            startAll();
            for (int fault = 0; fault < 12; fault++) {
                SimulatedVoter faulty = voters.get(NAMES.get(random.nextInt(3)));
                long count = random.nextInt(4);
                switch (random.nextInt(5)) {
                    case 0 -> faulty.files.bytesUntilFull = random.nextInt(600);
                    case 1 -> faulty.files.syncsUntilFault = count;
                    case 2 -> faulty.files.broken = true;
                    case 3 -> faulty.files.truncateFails = true;
                    default -> faulty.down = true;
                }
                makesProgress(2000 + random.nextInt(3000));
                for (SimulatedVoter voter : voters.values()) {
                    voter.files.repair();
                    if (voter.down) {
                        voter.down = false;
                        voter.startNode(LogFile.open(folder.resolve(voter.name), voter.files));
                    }
                }
                advance(random.nextInt(2000));
            }
            advance(StorageRecovery.MAX_BACKOFF_MS);
            assertTrue(makesProgress(20_000), "scenario with seed " + seed);
            advance(5000);
            assertConsistent("scenario with seed " + seed);
        }
    }
}
