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
 * Three voters in virtual time, each on a file whose writes and syncs fail for a while: one whose
 * disk works again takes part again, and no term is voted twice, whoever is down meanwhile.
 */
class VoterRecoveryTest {

    private static final List<String> NAMES = List.of("a", "b", "c");
    private static final double TICK_MS = 20;
    private static final double LINK_MS = 3;

    private record Later(double at, long order, Runnable task) {}

    @TempDir Path folder;
    private double now = 1000;
    private long order;
    private final PriorityQueue<Later> agenda =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Later::at).thenComparingLong(Later::order));
    private final Map<String, Machine> machines = new HashMap<>();

    /** Whom each voter has told that it votes for it, by its name and the term. */
    private final Map<String, String> votes = new HashMap<>();

    private final List<String> votedTwice = new ArrayList<>();

    /** What the author of an epoch was told that it became. */
    private final Map<Long, String> confirmed = new HashMap<>();

    private void in(double ms, Runnable task) {
        agenda.add(new Later(now + ms, order++, task));
    }

    private void pass(double ms) {
        double end = now + ms;
        while (!agenda.isEmpty() && agenda.peek().at() <= end) {
            Later next = agenda.remove();
            now = next.at();
            next.task().run();
        }
        now = end;
    }

    /** A voter as a process has it, with the same use of its file. */
    private final class Machine implements RaftNodeExecutor {
        final String name;
        final FaultyFiles files = new FaultyFiles();
        final StorageRecovery storage;
        final List<String> events = new ArrayList<>();
        LogFile file;
        Epochs epochs;
        RaftLog log;
        boolean down;

        /** What a process does about its file's faults is not done. */
        boolean unattended;

        int sent;
        int lives;

        Machine(String name) throws IOException {
            this.name = name;
            storage =
                    new StorageRecovery(folder.resolve(name), (event, fields) -> events.add(event));
            begin(LogFile.open(folder.resolve(name), files));
            tick();
        }

        private void begin(LogFile opened) {
            file = opened;
            epochs = new Epochs();
            lives++;
            log =
                    new RaftLog(
                            new RaftLog.Parts(
                                    name,
                                    NAMES,
                                    epochs,
                                    this,
                                    () -> now,
                                    name.hashCode() * 31L + lives,
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
                votesFor(name, message);
            } else if (kind.equals("voted") && message.get("granted").getAsBoolean()) {
                votesFor(to, message);
            }
            Machine other = machines.get(to);
            in(
                    LINK_MS,
                    () -> {
                        if (!other.down && !other.storage.failed()) {
                            other.log.received(name, message);
                        }
                    });
        }

        private void votesFor(String candidate, JsonObject message) {
            String had = votes.putIfAbsent(name + " in " + message.get("raft_term"), candidate);
            if (had != null && !had.equals(candidate)) {
                // Not thrown here, as the library would catch it.
                votedTwice.add(name + " for " + had + " and " + candidate + ": " + message);
            }
        }

        private void tick() {
            if (!down && !unattended) {
                if (!storage.failed() && (file.failed() || log.broken())) {
                    storage.failed(
                            now, file.failed() ? file.fault() : PolicyService.nodeEnded(folder));
                    log.stop();
                    file.discard();
                }
                storage.tick(now, () -> begin(file.reopen()));
                if (!storage.failed()) {
                    log.tick(now);
                }
            }
            in(TICK_MS, this::tick);
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
            int life = lives;
            in(
                    unit.toMicros(delay) / 1000.0,
                    () -> {
                        if (!down && life == lives) {
                            task.run();
                        }
                    });
        }
    }

    private void startAll() throws IOException {
        for (String name : NAMES) {
            machines.put(name, new Machine(name));
        }
    }

    private Machine leader() {
        return machines.values().stream()
                .filter(m -> !m.down && !m.storage.failed() && m.log.led())
                .findFirst()
                .orElse(null);
    }

    private void confirmed(Outcome outcome, String proposal) {
        if (outcome.refusal() == null) {
            confirmed.put(outcome.epoch(), proposal);
        }
    }

    /** All that was confirmed is in force everywhere, and nobody has voted twice in a term. */
    private void holds(String day) {
        assertEquals(List.of(), votedTwice, day);
        for (Machine machine : machines.values().stream().filter(m -> !m.down).toList()) {
            assertEquals(leader().epochs.history(), machine.epochs.history(), day);
            for (Epochs.Epoch epoch : machine.epochs.history()) {
                String told = confirmed.getOrDefault(epoch.number(), epoch.proposal());
                assertEquals(told, epoch.proposal(), day);
            }
        }
        long last = confirmed.keySet().stream().max(Long::compare).orElseThrow();
        assertTrue(leader().epochs.inForce() >= last, day);
    }

    /** Asks whoever leads until an epoch is prepared and activated; false after so long. */
    private boolean progress(double withinMs) {
        long[] done = new long[1];
        for (double end = now + withinMs; now < end && done[0] == 0; pass(200)) {
            Machine leader = leader();
            if (leader != null) {
                long base = leader.epochs.inForce();
                String proposal = "p" + order;
                leader.log.append(
                        new Prepare(proposal, base, "[log]\n"),
                        outcome -> {
                            if (outcome != null) {
                                confirmed(outcome, proposal);
                                long prepared = leader.epochs.prepared();
                                leader.log.append(new Epochs.Activate(prepared), o -> done[0]++);
                            }
                        });
            }
        }
        return done[0] > 0;
    }

    @Test
    void aVoterWhoseDiskFailedForAWhileTakesPartAgainAndItsGroupGoesOn() throws Exception {
        startAll();
        assertTrue(progress(20_000));
        List<Machine> others = new ArrayList<>(machines.values());
        Machine leader = leader();
        others.remove(leader);
        Machine faulty = others.get(0);
        faulty.files.broken = true;
        assertTrue(progress(10_000), "two of three are enough");
        pass(3000);
        assertEquals(List.of("storage_failed"), faulty.events);
        others.get(1).down = true;
        long votesBefore = votes.keySet().stream().filter(v -> v.startsWith(faulty.name)).count();
        assertFalse(progress(20_000), "one of three is not");
        assertEquals(
                votesBefore,
                votes.keySet().stream().filter(v -> v.startsWith(faulty.name)).count(),
                "it votes for nobody");
        faulty.files.broken = false;
        assertTrue(progress(StorageRecovery.LONGEST_WAIT_MS + 20_000), "it takes part again");
        assertEquals(List.of("storage_failed", "storage_recovered"), faulty.events);
        pass(2000);
        holds("with one down");
    }

    /** The library goes on with a node whose store has thrown, and so the store has to refuse. */
    @Test
    void aNodeThatTheLibraryRunsOnAfterItsStoreFailedSendsNothing() throws Exception {
        startAll();
        assertTrue(progress(20_000));
        for (boolean leads : List.of(true, false)) {
            Machine struck =
                    machines.values().stream()
                            .filter(m -> (m == leader()) == leads)
                            .findFirst()
                            .orElseThrow();
            struck.files.syncsUntilFault = 0;
            struck.unattended = true;
            progress(1000);
            assertTrue(struck.file.failed());
            assertFalse(struck.log.broken(), "the library's node runs on");
            int sent = struck.sent;
            pass(5000);
            assertEquals(sent, struck.sent);
            struck.unattended = false;
            assertTrue(progress(30_000));
            pass(2000);
            assertEquals(leader().epochs.inForce(), struck.epochs.inForce());
        }
    }

    /** Disks that are full now and then, and one that is down now and then; then a quiet time. */
    @Test
    void onDrawnDaysNoTermIsVotedTwiceAndAllTakePartInTheEnd() throws Exception {
        for (int seed = 1; seed <= 12; seed++) {
            Random random = new Random(seed);
            machines.clear();
            votes.clear();
            confirmed.clear();
            agenda.clear();
            folder = folder.resolveSibling("day-" + seed);
            startAll();
            for (int fault = 0; fault < 12; fault++) {
                Machine struck = machines.get(NAMES.get(random.nextInt(3)));
                long count = random.nextInt(4);
                switch (random.nextInt(5)) {
                    case 0 -> struck.files.bytesUntilFull = random.nextInt(600);
                    case 1 -> struck.files.syncsUntilFault = count;
                    case 2 -> struck.files.broken = true;
                    case 3 -> struck.files.truncateFails = true;
                    default -> struck.down = true;
                }
                progress(2000 + random.nextInt(3000));
                for (Machine machine : machines.values()) {
                    machine.files.mend();
                    if (machine.down) {
                        machine.down = false;
                        machine.begin(LogFile.open(folder.resolve(machine.name), machine.files));
                    }
                }
                pass(random.nextInt(2000));
            }
            pass(StorageRecovery.LONGEST_WAIT_MS);
            assertTrue(progress(20_000), "day " + seed);
            pass(5000);
            holds("day " + seed);
        }
    }
}
