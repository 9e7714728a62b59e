package cacheproxy.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.store.FaultyFiles.Killed;
import cacheproxy.store.FaultyFiles.Step;
import cacheproxy.store.OutageFiles.Kept;
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
 * What a call on the files has returned from outlasts a kill and a crash, and a call may be
 * repeated until it returns.
 */
class OutageFilesTest {

    private static final int PATIENCE_S = 60;

    @TempDir Path temp;
    private int folders;

    private interface Call {
        void on(OutageFiles files) throws IOException;
    }

    /** A call, and what is kept before it and after it. */
    private record Scene(Call before, Call call, Kept kept) {}

    private static final List<Scene> SCENES =
            List.of(
                    new Scene(
                            files -> {},
                            files -> files.begin("c/0"),
                            new Kept(Set.of("c/0"), false)),
                    new Scene(
                            files -> files.begin("c/0"),
                            files -> files.end("c/0"),
                            new Kept(Set.of(), false)),
                    new Scene(files -> {}, files -> files.drain(true), new Kept(Set.of(), true)),
                    new Scene(
                            files -> files.drain(true),
                            files -> files.drain(false),
                            new Kept(Set.of(), false)));

    private Path folder() {
        return temp.resolve("shared-" + folders++);
    }

    /** What a new process reads; a folder that was lost holds nothing. */
    private static Kept read(Path folder) throws IOException {
        OutageFiles next = new OutageFiles(folder);
        next.create();
        return next.read();
    }

    @Test
    void afterAKillAtAnyStepTheNextProcessReadsTheOldStateOrTheNewOne() throws Exception {
        for (Scene scene : SCENES) {
            FaultyFiles machine = new FaultyFiles();
            for (int steps = 0; steps == 0 || machine.isKilled(); steps++) {
                Path folder = folder();
                scene.before().on(new OutageFiles(folder));
                Kept before = read(folder);
                machine = new FaultyFiles();
                machine.killAfter(steps);
                try {
                    scene.call().on(new OutageFiles(folder, machine));
                } catch (Killed e) {
                    List<Kept> oldOrNew = List.of(before, scene.kept());
                    assertTrue(oldOrNew.contains(read(folder)), "after " + steps);
                }
                machine.crash(true);
                Kept expected = machine.isKilled() ? before : scene.kept();
                assertEquals(expected, read(folder), "power lost after " + steps);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"CREATE_FOLDER", "CREATE", "DELETE", "FORCE_FOLDER"})
    void aCallThatFailedOnceOrOftenHoldsOnceItReturns(Step step) throws Exception {
        for (Scene scene : SCENES) {
            for (int times : new int[] {1, 3}) {
                for (boolean folderSynced : new boolean[] {false, true}) {
                    holdsOnceItReturns(scene, step, times, folderSynced);
                }
            }
        }
    }

    private void holdsOnceItReturns(Scene scene, Step step, int times, boolean folderSynced)
            throws IOException {
        Path folder = folder();
        FaultyFiles machine = new FaultyFiles();
        OutageFiles files = new OutageFiles(folder, machine);
        scene.before().on(new OutageFiles(folder));
        if (folderSynced) {
            files.end("another");
        }
        machine.fail(step, times);
        int calls = 1;
        while (!returns(scene.call(), files) && calls <= times) {
            calls++;
        }
        machine.crash(true);
        assertEquals(scene.kept(), read(folder), step + " failed " + times);
        assertTrue(calls <= times + 1, calls + " calls");
    }

    private static boolean returns(Call call, OutageFiles files) {
        try {
            call.on(files);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void theEndOfWhatNeverBeganHoldsAlsoWhereItsNameIsTooLongForAFile() throws Exception {
        OutageFiles files = new OutageFiles(folder());
        String longName = "c".repeat(300);
        assertThrows(IOException.class, () -> files.begin(longName));
        files.end(longName);
        assertEquals(new Kept(Set.of(), false), files.read());
    }

    private interface TimedCall {
        void on(OutageFiles files, CallTime time) throws IOException;
    }

    /** A call and its opposite, and what is kept after the call alone. */
    private record Pair(TimedCall call, TimedCall opposite, Kept kept) {}

    private static final Kept NOTHING = new Kept(Set.of(), false);
    private static final TimedCall BEGIN = (files, time) -> files.begin("c/0", time);
    private static final TimedCall END = (files, time) -> files.end("c/0", time);
    private static final TimedCall DRAIN = (files, time) -> files.drain(true, time);
    private static final TimedCall FILL = (files, time) -> files.drain(false, time);
    private static final List<Pair> PAIRS =
            List.of(
                    new Pair(BEGIN, END, new Kept(Set.of("c/0"), false)),
                            new Pair(END, BEGIN, NOTHING),
                    new Pair(DRAIN, FILL, new Kept(Set.of(), true)),
                            new Pair(FILL, DRAIN, NOTHING));

    @Test
    void aChangeGivesWayToALaterCallOfTheSameStateByAnotherProcess() throws Exception {
        for (Pair pair : PAIRS) {
            Path folder = folder();
            CallTime older = CallTime.now();
            pair.call().on(new OutageFiles(folder), CallTime.now());
            assertThrows(
                    SupersededException.class,
                    () -> pair.opposite().on(new OutageFiles(folder), older));
            assertEquals(pair.kept(), read(folder));
            pair.opposite().on(new OutageFiles(folder), CallTime.now());
            assertNotEquals(pair.kept(), read(folder));
        }
    }

    @Test
    @Timeout(PATIENCE_S)
    void aLaterCallWaitsForAnOlderOneThatTheDiskHoldsUpInTheMiddle() throws Exception {
        Path folder = folder();
        FaultyFiles machine = new FaultyFiles();
        OutageFiles files = new OutageFiles(folder, machine);
        files.end("another");
        machine.hold(true);
        CallTime older = CallTime.now();
        CompletableFuture<Void> drain = new CompletableFuture<>();
        Thread draining = started(drain, () -> files.drain(true, older));
        awaitStop(draining);
        CompletableFuture<Void> fill = new CompletableFuture<>();
        Thread filling = started(fill, () -> new OutageFiles(folder).drain(false));
        awaitStop(filling);
        machine.hold(false);
        drain.get();
        fill.get();
        assertEquals(NOTHING, read(folder));
    }

    private interface Work {
        void run() throws IOException;
    }

    private static Thread started(CompletableFuture<Void> end, Work work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                                end.complete(null);
                            } catch (IOException e) {
                                end.completeExceptionally(e);
                            }
                        });
        thread.start();
        return thread;
    }

    /** Until a thread waits for something or has ended. */
    private static void awaitStop(Thread thread) throws InterruptedException {
        while (thread.getState() != Thread.State.WAITING && thread.isAlive()) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    @Test
    void aCallOfALongNodeIdSupersedesThoseOfThatNodeAlone() throws Exception {
        Path folder = folder();
        CallTime older = CallTime.now();
        String common = "c".repeat(240);
        new OutageFiles(folder).begin(common + "0");
        assertThrows(
                SupersededException.class, () -> new OutageFiles(folder).end(common + "0", older));
        new OutageFiles(folder).begin(common + "1", older);
        assertEquals(Set.of(common + "0", common + "1"), read(folder).out());
    }

    @Test
    void whatAnotherBootOrAnEarlierVersionLeftSupersedesNothing() throws Exception {
        Path folder = Files.createDirectory(folder());
        Files.createFile(folder.resolve("drained"));
        Files.createFile(folder.resolve("out-c%2F0"));
        String otherBoot = "f".repeat(32);
        Files.createFile(folder.resolve("call-drained-" + otherBoot + "-" + Long.MAX_VALUE));
        Files.createFile(folder.resolve("call-drained-nonsense"));
        assertEquals(new Kept(Set.of("c/0"), true), read(folder));
        OutageFiles files = new OutageFiles(folder);
        files.drain(false);
        files.end("c/0");
        assertEquals(new Kept(Set.of(), false), read(folder));
    }

    @Test
    void manyCallsLeaveOneMarkerOfEachState() throws Exception {
        Path folder = folder();
        for (int i = 0; i < 5; i++) {
            new OutageFiles(folder).drain(i % 2 == 0);
            new OutageFiles(folder).begin("c/0");
        }
        try (Stream<Path> names = Files.list(folder)) {
            assertEquals(
                    2, names.filter(f -> f.getFileName().toString().startsWith("call-")).count());
        }
    }
}
