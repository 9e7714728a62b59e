package cacheproxy.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.store.FaultyFiles.Killed;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.MaintenanceFiles.MaintenanceState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a change survives a kill and a crash once its call has returned, and that a failed
 * call may be repeated until it succeeds.
 */
class MaintenanceFilesTest {

    private static final int TIMEOUT_S = 60;

    @TempDir Path temp;
    private int directoryCount;

    private interface Call {
        void invoke(MaintenanceFiles files) throws IOException;
    }

    /** A call, the call that sets up the state before it, and the state expected after it. */
    private record CallCase(Call setUp, Call call, MaintenanceState expected) {}

    private static final List<CallCase> CALL_CASES =
            List.of(
                    new CallCase(
                            files -> {},
                            files -> files.startMaintenance("c/0"),
                            new MaintenanceState(Set.of("c/0"), false)),
                    new CallCase(
                            files -> files.startMaintenance("c/0"),
                            files -> files.endMaintenance("c/0"),
                            new MaintenanceState(Set.of(), false)),
                    new CallCase(
                            files -> {},
                            files -> files.setDraining(true),
                            new MaintenanceState(Set.of(), true)),
                    new CallCase(
                            files -> files.setDraining(true),
                            files -> files.setDraining(false),
                            new MaintenanceState(Set.of(), false)));

    private Path newDirectory() {
        return temp.resolve("shared-" + directoryCount++);
    }

    /** Returns the state that a new process reads; that of a lost directory is empty. */
    private static MaintenanceState readAsNewProcess(Path directory) throws IOException {
        MaintenanceFiles next = new MaintenanceFiles(directory);
        next.create();
        return next.read();
    }

    @Test
    void nextProcessReadsOldOrNewStateAfterKillAtAnyStep() throws Exception {
        for (CallCase callCase : CALL_CASES) {
            FaultyFiles machine = new FaultyFiles();
            for (int steps = 0; steps == 0 || machine.isKilled(); steps++) {
                Path directory = newDirectory();
                callCase.setUp().invoke(new MaintenanceFiles(directory));
                MaintenanceState before = readAsNewProcess(directory);
                machine = new FaultyFiles();
                machine.killAfter(steps);
                try {
                    callCase.call().invoke(new MaintenanceFiles(directory, machine));
                } catch (Killed e) {
                    List<MaintenanceState> oldOrNew = List.of(before, callCase.expected());
                    assertTrue(oldOrNew.contains(readAsNewProcess(directory)), "after " + steps);
                }
                machine.crash(true);
                MaintenanceState expected = machine.isKilled() ? before : callCase.expected();
                assertEquals(expected, readAsNewProcess(directory), "power lost after " + steps);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE_DIRECTORY", "CREATE", "DELETE", "SYNC_DIRECTORY"})
    void repeatedCallIsDurableOnceItReturns(Step step) throws Exception {
        for (CallCase callCase : CALL_CASES) {
            for (int times : new int[] {1, 3}) {
                for (boolean directorySynced : new boolean[] {false, true}) {
                    assertDurableOnceCallReturns(callCase, step, times, directorySynced);
                }
            }
        }
    }

    private void assertDurableOnceCallReturns(
            CallCase callCase, Step step, int times, boolean directorySynced) throws IOException {
        Path directory = newDirectory();
        FaultyFiles machine = new FaultyFiles();
        MaintenanceFiles files = new MaintenanceFiles(directory, machine);
        callCase.setUp().invoke(new MaintenanceFiles(directory));
        if (directorySynced) {
            files.endMaintenance("another");
        }
        machine.fail(step, times);
        int calls = 1;
        while (!succeeds(callCase.call(), files) && calls <= times) {
            calls++;
        }
        machine.crash(true);
        assertEquals(callCase.expected(), readAsNewProcess(directory), step + " failed " + times);
        assertTrue(calls <= times + 1, calls + " calls");
    }

    private static boolean succeeds(Call call, MaintenanceFiles files) {
        try {
            call.invoke(files);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void endOfMaintenanceThatNeverStartedSucceedsEvenIfNameIsTooLong() throws Exception {
        MaintenanceFiles files = new MaintenanceFiles(newDirectory());
        String longName = "c".repeat(300);
        assertThrows(IOException.class, () -> files.startMaintenance(longName));
        files.endMaintenance(longName);
        assertEquals(new MaintenanceState(Set.of(), false), files.read());
    }

    private interface TimedCall {
        void invoke(MaintenanceFiles files, CallTime time) throws IOException;
    }

    /** A call, the call that reverses it, and the state expected after the call alone. */
    private record OppositeCalls(TimedCall call, TimedCall opposite, MaintenanceState expected) {}

    private static final MaintenanceState EMPTY_STATE = new MaintenanceState(Set.of(), false);
    private static final TimedCall START_MAINTENANCE =
            (files, time) -> files.startMaintenance("c/0", time);
    private static final TimedCall END_MAINTENANCE =
            (files, time) -> files.endMaintenance("c/0", time);
    private static final TimedCall START_DRAIN = (files, time) -> files.setDraining(true, time);
    private static final TimedCall END_DRAIN = (files, time) -> files.setDraining(false, time);
    private static final List<OppositeCalls> OPPOSITE_CALLS =
            List.of(
                    new OppositeCalls(
                                    START_MAINTENANCE,
                                    END_MAINTENANCE,
                                    new MaintenanceState(Set.of("c/0"), false)),
                            new OppositeCalls(END_MAINTENANCE, START_MAINTENANCE, EMPTY_STATE),
                    new OppositeCalls(START_DRAIN, END_DRAIN, new MaintenanceState(Set.of(), true)),
                            new OppositeCalls(END_DRAIN, START_DRAIN, EMPTY_STATE));

    @Test
    void changeIsSupersededByLaterCallOfAnotherProcess() throws Exception {
        for (OppositeCalls pair : OPPOSITE_CALLS) {
            Path directory = newDirectory();
            CallTime older = CallTime.now();
            pair.call().invoke(new MaintenanceFiles(directory), CallTime.now());
            assertThrows(
                    SupersededException.class,
                    () -> pair.opposite().invoke(new MaintenanceFiles(directory), older));
            assertEquals(pair.expected(), readAsNewProcess(directory));
            pair.opposite().invoke(new MaintenanceFiles(directory), CallTime.now());
            assertNotEquals(pair.expected(), readAsNewProcess(directory));
        }
    }

    @Test
    @Timeout(TIMEOUT_S)
    void laterCallWaitsForOlderCallOnHangingDisk() throws Exception {
        Path directory = newDirectory();
        FaultyFiles machine = new FaultyFiles();
        MaintenanceFiles files = new MaintenanceFiles(directory, machine);
        files.endMaintenance("another");
        machine.setHanging(true);
        CallTime older = CallTime.now();
        CompletableFuture<Void> drain = new CompletableFuture<>();
        Thread draining = startThread(drain, () -> files.setDraining(true, older));
        awaitBlockedOrEnded(draining);
        CompletableFuture<Void> drainEnd = new CompletableFuture<>();
        Thread drainEnding =
                startThread(drainEnd, () -> new MaintenanceFiles(directory).setDraining(false));
        awaitBlockedOrEnded(drainEnding);
        machine.setHanging(false);
        drain.get();
        drainEnd.get();
        assertEquals(EMPTY_STATE, readAsNewProcess(directory));
    }

    private interface FileTask {
        void run() throws IOException;
    }

    private static Thread startThread(CompletableFuture<Void> end, FileTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                                end.complete(null);
                            } catch (IOException e) {
                                end.completeExceptionally(e);
                            }
                        });
        thread.start();
        return thread;
    }

    /** Waits until a thread is blocked or has ended. */
    private static void awaitBlockedOrEnded(Thread thread) throws InterruptedException {
        while (thread.getState() != Thread.State.WAITING && thread.isAlive()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Test
    void callOnLongNodeIdSupersedesOnlyCallsOnThatNode() throws Exception {
        Path directory = newDirectory();
        CallTime older = CallTime.now();
        String common = "c".repeat(240);
        new MaintenanceFiles(directory).startMaintenance(common + "0");
        assertThrows(
                SupersededException.class,
                () -> new MaintenanceFiles(directory).endMaintenance(common + "0", older));
        new MaintenanceFiles(directory).startMaintenance(common + "1", older);
        assertEquals(Set.of(common + "0", common + "1"), readAsNewProcess(directory).nodes());
    }

    @Test
    void markersOfOtherBootsOrEarlierVersionsSupersedeNothing() throws Exception {
        Path directory = Files.createDirectory(newDirectory());
        Files.createFile(directory.resolve("drained"));
        Files.createFile(directory.resolve("out-c%2F0"));
        String otherBoot = "f".repeat(32);
        Files.createFile(directory.resolve("call-drained-" + otherBoot + "-" + Long.MAX_VALUE));
        Files.createFile(directory.resolve("call-drained-nonsense"));
        assertEquals(new MaintenanceState(Set.of("c/0"), true), readAsNewProcess(directory));
        MaintenanceFiles files = new MaintenanceFiles(directory);
        files.setDraining(false);
        files.endMaintenance("c/0");
        assertEquals(new MaintenanceState(Set.of(), false), readAsNewProcess(directory));
    }

    @Test
    void manyCallsLeaveOneMarkerPerState() throws Exception {
        Path directory = newDirectory();
        for (int i = 0; i < 5; i++) {
            new MaintenanceFiles(directory).setDraining(i % 2 == 0);
            new MaintenanceFiles(directory).startMaintenance("c/0");
        }
        try (Stream<Path> names = Files.list(directory)) {
            assertEquals(
                    2, names.filter(f -> f.getFileName().toString().startsWith("call-")).count());
        }
    }
}
