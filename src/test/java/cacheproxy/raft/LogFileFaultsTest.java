package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests a voter's file with a fault at every byte written, file sync, rename and folder sync, and
 * with the process killed at every byte. When the file is opened again, confirmed data has to be
 * there; unconfirmed data may be there or not; nothing else may be lost.
 */
class LogFileFaultsTest {

    private static final List<RaftEndpoint> MEMBERS = List.of(new Endpoint("a"), new Endpoint("b"));

    /** One call that MicroRaft makes. */
    private interface Step {
        void run(LogFile file) throws IOException;
    }

    /**
     * A sequence with every kind of call. The steps with an index in {@link #CONFIRMING_STEPS} have
     * reached the disk when they return.
     */
    private static final List<Step> STEPS =
            List.of(
                    file -> file.persistAndFlushTerm(term(4, null)),
                    file -> file.persistAndFlushTerm(term(5, "b")),
                    file -> file.persistLogEntries(List.of(entry(3, 5, "años"))),
                    LogFile::flush,
                    file -> file.truncateLogEntriesFrom(3),
                    file -> file.persistLogEntries(List.of(entry(3, 5, "tres"))),
                    file -> file.persistLogEntries(List.of(entry(4, 5, "cuatro"))),
                    LogFile::flush,
                    file -> file.persistSnapshotChunk(chunk(2)),
                    LogFile::flush,
                    file -> file.truncateLogEntriesUntil(2),
                    file -> file.persistAndFlushTerm(term(6, null)),
                    file -> file.deleteSnapshotChunks(1, 1),
                    LogFile::flush);

    private static final List<Integer> CONFIRMING_STEPS = List.of(0, 1, 3, 7, 9, 10, 11, 13);

    /** The index of the step that replaces the file by a new one. */
    private static final int TRUNCATION_STEP = 10;

    @TempDir Path temporary;
    private int folders;

    /** The content of the file before the first step and after each, as text. */
    private final List<String> states = new ArrayList<>();

    /** The size of the file in bytes, at the same times. */
    private final List<Integer> sizes = new ArrayList<>();

    /** All bytes of the file before the step that replaces it. */
    private byte[] logBeforeTruncation;

    private static LogEntry entry(long index, int term, String content) {
        return Codec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(new Epochs.Prepare("p" + index, index - 1, content))
                .build();
    }

    private static RaftTermPersistentState term(int term, String votedFor) {
        return Codec.MODEL_FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor == null ? null : new Endpoint(votedFor))
                .build();
    }

    private static RaftGroupMembersView members() {
        return Codec.MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(MEMBERS)
                .setVotingMembers(MEMBERS)
                .build();
    }

    private static SnapshotChunk chunk(long index) {
        return Codec.MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(5)
                .setOperation("dos".getBytes(StandardCharsets.UTF_8))
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(members())
                .build();
    }

    /** Creates a folder with the file of a voter that has run before. */
    private Path newVoterFolder() throws IOException {
        Path folder = temporary.resolve("voter-" + folders++);
        try (LogFile file = LogFile.open(folder, new FaultyFiles())) {
            file.persistAndFlushLocalEndpoint(
                    Codec.MODEL_FACTORY
                            .createRaftEndpointPersistentStateBuilder()
                            .setLocalEndpoint(new Endpoint("a"))
                            .setVoting(true)
                            .build());
            file.persistAndFlushInitialGroupMembers(members());
            file.persistAndFlushTerm(term(3, null));
            file.persistLogEntries(List.of(entry(1, 3, "uno"), entry(2, 3, "dos")));
            file.flush();
        }
        return folder;
    }

    private static String describe(RestoredRaftState state) {
        var term = state.getTermPersistentState();
        var snapshot = state.getSnapshotEntry();
        String entries =
                state.getLogEntries().stream()
                        .map(LogFileFaultsTest::describe)
                        .collect(Collectors.joining());
        return term.getTerm()
                + "/"
                + term.getVotedFor()
                + (snapshot == null ? "" : " snapshot " + snapshot.getIndex())
                + entries;
    }

    private static String describe(LogEntry entry) {
        String content = ((Epochs.Prepare) entry.getOperation()).content();
        return " " + entry.getIndex() + "@" + entry.getTerm() + content;
    }

    private static String reopened(Path folder) throws IOException {
        try (LogFile file = LogFile.open(folder, new FaultyFiles())) {
            return describe(file.restored());
        }
    }

    @BeforeEach
    void recordStatesWithoutFaults() throws Exception {
        Path folder = newVoterFolder();
        Path log = folder.resolve("log");
        try (LogFile file = LogFile.open(folder, new FaultyFiles())) {
            states.add(describe(file.restored()));
            sizes.add((int) Files.size(log));
            for (Step step : STEPS) {
                if (states.size() == TRUNCATION_STEP + 1) {
                    logBeforeTruncation = Files.readAllBytes(log);
                }
                step.run(file);
                states.add(describe(file.restored()));
                sizes.add((int) Files.size(log));
            }
        }
        assertEquals(states.get(STEPS.size()), reopened(folder));
    }

    /** Whether the state is one from the last confirmed step up to the last started step. */
    private boolean isBetween(String state, int confirmed, int started) {
        return states.subList(confirmed, started + 1).contains(state);
    }

    /**
     * Runs the steps until one fails, and then checks that later calls are rejected, that the file
     * opens with a permitted state, and that it can be written again.
     *
     * @param faultSwitch called with -1 to arm the fault after opening, and with the number of
     *     faults to remove it
     * @return true if no step failed
     */
    private boolean completesOrRecovers(
            String where, FaultyFiles files, Path folder, LongConsumer faultSwitch)
            throws IOException {
        int confirmed = 0;
        int done = 0;
        LogFile file = LogFile.open(folder, files);
        files.faults = 0;
        faultSwitch.accept(-1);
        try (file) {
            for (Step step : STEPS) {
                step.run(file);
                if (CONFIRMING_STEPS.contains(done)) {
                    confirmed = done + 1;
                }
                done++;
            }
            return true;
        } catch (StorageUnavailableException e) {
            assertTrue(file.failed() && files.faults > 0, where);
            faultSwitch.accept(files.faults);
            // The disk works again and MicroRaft keeps calling: nothing may be confirmed.
            for (Step step : STEPS) {
                assertThrows(StorageUnavailableException.class, () -> step.run(file), where);
            }
        }
        String found = reopened(folder);
        assertTrue(
                isBetween(found, confirmed, done + 1),
                where + ": " + found + " of " + states.subList(confirmed, done + 2));
        assertWritableAfterFault(where, folder, files, found);
        return false;
    }

    /** Checks that lines written after a fault are complete and all earlier ones still there. */
    private static void assertWritableAfterFault(
            String where, Path folder, FaultyFiles files, String found) throws IOException {
        try (LogFile file = LogFile.open(folder, files)) {
            file.persistAndFlushTerm(term(9, "a"));
            file.persistAndFlushTerm(term(10, "b"));
        }
        String expected = found.replaceFirst("^\\d+/(null|\\S+)", "10/" + new Endpoint("b"));
        assertEquals(expected, reopened(folder), where);
    }

    private void failAtEveryPoint(String kind, BiConsumer<FaultyFiles, Long> setFault)
            throws IOException {
        int faults = 0;
        boolean completed = false;
        for (long point = 0; !completed; point++) {
            assertTrue(point < 10_000, "the steps must complete after a bounded number of runs");
            FaultyFiles files = new FaultyFiles();
            long faultPoint = point;
            completed =
                    completesOrRecovers(
                            kind + " " + point,
                            files,
                            newVoterFolder(),
                            faultCount ->
                                    setFault.accept(
                                            files,
                                            faultCount < 0 ? faultPoint : FaultyFiles.NEVER));
            faults += completed ? 0 : 1;
        }
        assertTrue(faults > 0, kind + ": the fault must have occurred");
    }

    @Test
    void keepsConfirmedDataWhenWriteFailsAtAnyByte() throws Exception {
        failAtEveryPoint("write fails at byte", (files, n) -> files.bytesUntilFull = n);
    }

    @Test
    void neverAppendsToPartialLineThatCannotBeTruncated() throws Exception {
        failAtEveryPoint(
                "short write fails at step",
                (files, n) -> {
                    files.maxBytesPerWrite = 13;
                    files.truncateFails = true;
                    files.bytesUntilFull = n == FaultyFiles.NEVER ? n : 11 * n;
                });
    }

    @Test
    void confirmsNothingAfterFailedSync() throws Exception {
        failAtEveryPoint("sync", (files, n) -> files.syncsUntilFault = n);
    }

    @Test
    void stopsWritingAfterRenameOrDirectorySyncFails() throws Exception {
        failAtEveryPoint("rename", (files, n) -> files.renamesUntilFault = n);
        failAtEveryPoint("folder sync", (files, n) -> files.folderSyncsUntilFault = n);
    }

    @Test
    void leavesFileUnchangedWhenOpeningFails() throws Exception {
        Path folder = newVoterFolder();
        for (int size = 0; size < sizes.get(0); size++) {
            FaultyFiles files = new FaultyFiles();
            files.bytesUntilFull = size;
            assertThrows(StorageUnavailableException.class, () -> LogFile.open(folder, files));
            assertEquals(states.get(0), reopened(folder));
        }
        for (int kind = 0; kind < 3; kind++) {
            FaultyFiles files = new FaultyFiles();
            files.syncsUntilFault = kind == 0 ? 0 : FaultyFiles.NEVER;
            files.renamesUntilFault = kind == 1 ? 0 : FaultyFiles.NEVER;
            files.folderSyncsUntilFault = kind == 2 ? 0 : FaultyFiles.NEVER;
            assertThrows(StorageUnavailableException.class, () -> LogFile.open(folder, files));
            assertEquals(states.get(0), reopened(folder));
        }
    }

    @Test
    void keepsConfirmedDataWhenKilledAtAnyByte() throws Exception {
        for (int size = sizes.get(0); size <= logBeforeTruncation.length; size++) {
            Path folder = temporary.resolve("killed-" + size);
            Files.createDirectories(folder);
            Files.write(folder.resolve("log"), Arrays.copyOf(logBeforeTruncation, size));
            Files.write(
                    folder.resolve("log.new"),
                    Arrays.copyOf(logBeforeTruncation, size - sizes.get(0)));
            int written = size;
            long completeSteps =
                    sizes.subList(0, TRUNCATION_STEP + 1).stream().filter(s -> s <= written).count()
                            - 1;
            String found = reopened(folder);
            assertEquals(states.get((int) completeSteps), found, "killed at byte " + size);
            assertWritableAfterFault("killed at byte " + size, folder, new FaultyFiles(), found);
        }
    }

    @Test
    void reportsFileAndLineOfDamageBeforeLastLine() throws Exception {
        Path folder = newVoterFolder();
        Path log = folder.resolve("log");
        String whole = Files.readString(log);
        int lines = (int) whole.lines().count();
        int start = 0;
        for (int line = 1; line < lines; line++) {
            byte[] damaged = whole.getBytes(StandardCharsets.UTF_8);
            damaged[start] ^= 1;
            Files.write(log, damaged);
            CorruptLogException corruption = corruption(folder);
            assertEquals(log, corruption.file());
            assertEquals(line, corruption.line());
            start = whole.indexOf('\n', start) + 1;
        }
        Files.writeString(log, whole.substring(0, whole.length() - 3) + "?}\n0bad");
        assertEquals(lines, corruption(folder).line(), "a torn line follows the damaged one");
    }

    private static CorruptLogException corruption(Path folder) {
        return assertThrows(CorruptLogException.class, () -> LogFile.open(folder));
    }

    /** Covers the file of the epoch in force, which is separate from the log. */
    @Test
    void keepsStoredEpochWhenStoringNextFails() throws Exception {
        Epoch old = new Epoch(7, "p", "[log]\n");
        Epoch next = new Epoch(8, "q", "[nodes]\n");
        boolean completed = false;
        for (int n = 0; !completed; n++) {
            assertTrue(n < 1000, "the epoch must be stored after a bounded number of runs");
            LogFile.store(temporary, old);
            FaultyFiles files = new FaultyFiles();
            files.bytesUntilFull = n;
            try {
                LogFile.store(temporary, next, files);
                completed = true;
            } catch (StorageUnavailableException e) {
                assertEquals(old, LogFile.lastEpoch(temporary));
            }
        }
        assertEquals(next, LogFile.lastEpoch(temporary));
        FaultyFiles files = new FaultyFiles();
        files.syncsUntilFault = 0;
        assertThrows(StorageUnavailableException.class, () -> LogFile.store(temporary, old, files));
        assertEquals(next, LogFile.lastEpoch(temporary));
        files.renamesUntilFault = 0;
        assertThrows(StorageUnavailableException.class, () -> LogFile.store(temporary, old, files));
        assertEquals(next, LogFile.lastEpoch(temporary));
    }

    /** A log as written by the version before the handling of storage faults was added. */
    private static final String EARLIER_VERSION_LOG =
            """
            0ac77d73 {"name":"a","voting":true,"k":"self"}
            acee92e2 {"index":0,"members":["a","b"],"voting":["a","b"],"k":"members"}
            e6cda3be {"term":4,"voted":"b","k":"term"}
            61c740d0 {"op":"prepare","proposal":"p1","base":0,"content":"one\\n\\"x\\"","index":1,"term":1,"k":"entry"}
            059a4bb9 {"op":"prepare","proposal":"p2","base":1,"content":"lost","index":2,"term":1,"k":"entry"}
            9cbc8c67 {"index":2,"k":"from"}
            9405134a {"op":"prepare","proposal":"p2","base":1,"content":"dos \u00f1","index":2,"term":4,"k":"entry"}
            0b8f7a0d {"op":"prepare","proposal":"p3","base":2,"content":"three","index":3,"term":4,"k":"entry"}
            a36c97de {"bytes":"b2xk","part":0,"parts":1,"view":{"index":0,"members":["a","b"],"voting":["a","b"]},"index":1,"term":4,"k":"chunk"}
            754d97ab {"term":5,"k":"term"}
            """;

    @Test
    void opensFilesOfEarlierVersions() throws Exception {
        Files.writeString(temporary.resolve("log"), EARLIER_VERSION_LOG);
        Files.writeString(
                temporary.resolve("in-force"),
                "{\"number\":7,\"proposal\":\"p\",\"content\":\"[log]\\n\"}");
        String found = "5/null snapshot 1 2@4dos \u00f1 3@4three";
        assertEquals(found, reopened(temporary));
        assertEquals(found, reopened(temporary), "after this version has rewritten the file");
        assertEquals(new Epoch(7, "p", "[log]\n"), LogFile.lastEpoch(temporary));
    }
}
