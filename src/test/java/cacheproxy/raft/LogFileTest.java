package cacheproxy.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the next process reads what a voter has written, except for a line that was being
 * written when the process died.
 */
class LogFileTest {

    @TempDir Path folder;

    private static LogEntry entry(long index, int term, String content) {
        return Codec.MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(term)
                .setOperation(new Epochs.Prepare("p" + index, index - 1, content))
                .build();
    }

    private void writeSampleLog() throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            assertNull(file.restored(), "a new file has no state");
            file.persistAndFlushLocalEndpoint(
                    Codec.MODEL_FACTORY
                            .createRaftEndpointPersistentStateBuilder()
                            .setLocalEndpoint(new Endpoint("a"))
                            .setVoting(true)
                            .build());
            file.persistAndFlushInitialGroupMembers(
                    Codec.MODEL_FACTORY
                            .createRaftGroupMembersViewBuilder()
                            .setLogIndex(0)
                            .setMembers(List.of(new Endpoint("a"), new Endpoint("b")))
                            .setVotingMembers(List.of(new Endpoint("a"), new Endpoint("b")))
                            .build());
            file.persistAndFlushTerm(
                    Codec.MODEL_FACTORY
                            .createRaftTermPersistentStateBuilder()
                            .setTerm(4)
                            .setVotedFor(new Endpoint("b"))
                            .build());
            file.persistLogEntries(
                    List.of(
                            entry(1, 1, "one\n\"x\""),
                            entry(2, 1, "lost"),
                            entry(3, 1, "lost too")));
            file.truncateLogEntriesFrom(2);
            file.persistLogEntries(List.of(entry(2, 4, "two")));
            file.flush();
        }
    }

    private void assertSampleLogRestored() throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            RestoredRaftState state = file.restored();
            assertEquals(4, state.getTermPersistentState().getTerm());
            assertEquals(new Endpoint("b"), state.getTermPersistentState().getVotedFor());
            assertEquals(2, state.getInitialGroupMembers().getVotingMembers().size());
            assertEquals(
                    List.of(
                            new Epochs.Prepare("p1", 0, "one\n\"x\""),
                            new Epochs.Prepare("p2", 1, "two")),
                    state.getLogEntries().stream().map(LogEntry::getOperation).toList());
            assertEquals(4, state.getLogEntries().get(1).getTerm());
        }
    }

    @Test
    void restoresFlushedStateAndDropsTornLastLine() throws Exception {
        writeSampleLog();
        assertSampleLogRestored();
        Files.writeString(
                folder.resolve("log"), "0bad0bad {\"index\":3,\"te", StandardOpenOption.APPEND);
        assertSampleLogRestored();
        Files.writeString(
                folder.resolve("log"),
                "0bad0bad {\"k\":\"from\",\"index\":1}\n",
                StandardOpenOption.APPEND);
        assertSampleLogRestored();
    }

    @Test
    void refusesToOpenWhenDamagedBeforeLastLine() throws Exception {
        writeSampleLog();
        Path log = folder.resolve("log");
        Files.writeString(log, Files.readString(log).replaceFirst("\"term\":4", "\"term\":3"));
        assertThrows(IOException.class, () -> LogFile.open(folder), "the vote may be lost");
    }

    private static SnapshotChunk chunk(long index, int part, int parts, String content) {
        return Codec.MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(4)
                .setOperation(content.getBytes(StandardCharsets.UTF_8))
                .setSnapshotChunkIndex(part)
                .setSnapshotChunkCount(parts)
                .setGroupMembersView(
                        Codec.MODEL_FACTORY
                                .createRaftGroupMembersViewBuilder()
                                .setLogIndex(0)
                                .setMembers(List.of(new Endpoint("a"), new Endpoint("b")))
                                .setVotingMembers(List.of(new Endpoint("a"), new Endpoint("b")))
                                .build())
                .build();
    }

    private static String content(SnapshotEntry snapshot) {
        return snapshot == null
                ? null
                : ((List<?>) snapshot.getOperation())
                        .stream()
                                .map(
                                        chunk ->
                                                new String(
                                                        (byte[])
                                                                ((SnapshotChunk) chunk)
                                                                        .getOperation(),
                                                        StandardCharsets.UTF_8))
                                .collect(Collectors.joining());
    }

    /** Returns the content of the restored snapshot and the indices of the entries after it. */
    private String restoredState() throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            RestoredRaftState state = file.restored();
            return content(state.getSnapshotEntry())
                    + " "
                    + state.getLogEntries().stream().map(LogEntry::getIndex).toList();
        }
    }

    @Test
    void replacesEntriesOnlyByCompleteSnapshot() throws Exception {
        writeSampleLog();
        try (LogFile file = LogFile.open(folder)) {
            for (long i = 3; i <= 400; i++) {
                file.persistLogEntries(List.of(entry(i, 4, "x".repeat(100))));
            }
            long before = Files.size(folder.resolve("log"));
            file.persistSnapshotChunk(chunk(390, 0, 2, "one "));
            file.persistSnapshotChunk(chunk(390, 1, 2, "whole"));
            file.flush();
            file.truncateLogEntriesUntil(380);
            assertTrue(Files.size(folder.resolve("log")) < before / 10, "the file has shrunk");
            file.persistLogEntries(List.of(entry(401, 4, "after")));
            file.persistSnapshotChunk(chunk(395, 0, 2, "half"));
        }
        assertEquals(
                "one whole [391, 392, 393, 394, 395, 396, 397, 398, 399, 400, 401]",
                restoredState());
        String[] lines = Files.readString(folder.resolve("log")).split("\n");
        int chunkAt = (int) Arrays.stream(lines).takeWhile(l -> !l.contains("\"bytes\"")).count();
        String whole = Files.readString(folder.resolve("log"));
        Files.writeString(folder.resolve("log"), whole.replaceFirst("\"part\":1", "\"part\":0"));
        assertTrue(
                assertThrows(IOException.class, this::restoredState)
                        .getMessage()
                        .contains("log:" + (chunkAt + 2) + ": damaged"));
        Files.writeString(folder.resolve("log"), whole);
        try (LogFile file = LogFile.open(folder)) {
            file.deleteSnapshotChunks(395, 2);
            file.persistSnapshotChunk(chunk(400, 0, 1, "newer"));
            file.flush();
            file.truncateLogEntriesUntil(400);
        }
        assertEquals("newer [401]", restoredState());
    }

    @Test
    void restoresPreviousSnapshotWhenLastOneIsTruncated() throws Exception {
        writeSampleLog();
        try (LogFile file = LogFile.open(folder)) {
            file.persistSnapshotChunk(chunk(1, 0, 1, "old"));
            file.flush();
            file.truncateLogEntriesUntil(1);
            file.persistLogEntries(List.of(entry(3, 4, "three")));
        }
        byte[] before = Files.readAllBytes(folder.resolve("log"));
        try (LogFile file = LogFile.open(folder)) {
            file.persistSnapshotChunk(chunk(3, 0, 1, "new"));
        }
        byte[] after = Files.readAllBytes(folder.resolve("log"));
        assertEquals("new []", restoredState());
        for (int cut = before.length; cut < after.length; cut++) {
            Files.write(folder.resolve("log"), Arrays.copyOf(after, cut));
            assertEquals("old [2, 3]", restoredState(), "cut at " + cut);
        }
    }

    @Test
    void reportsFullOrReadOnlyDiskAndKeepsConfirmedData() throws Exception {
        writeSampleLog();
        Path full = Path.of("/dev/full");
        FaultyFiles files = new FaultyFiles();
        try (LogFile file = LogFile.open(folder, files)) {
            files.bytesUntilFull = 0;
            StorageUnavailableException fault =
                    assertThrows(
                            StorageUnavailableException.class,
                            () -> file.persistLogEntries(List.of(entry(3, 4, "lost"))));
            assertTrue(fault.getMessage().contains("space"));
            files.bytesUntilFull = FaultyFiles.NEVER;
            assertThrows(
                    StorageUnavailableException.class,
                    () -> file.persistLogEntries(List.of(entry(3, 4, "lost"))),
                    "a failed file rejects writes until it is opened again");
        }
        Files.createSymbolicLink(folder.resolve("log.new"), full);
        assertThrows(
                StorageUnavailableException.class,
                () -> LogFile.open(folder),
                "the disk is full, so the file can't be rewritten on opening");
        Files.delete(folder.resolve("log.new"));
        try (LogFile file = LogFile.open(folder)) {
            Files.createSymbolicLink(folder.resolve("log.new"), full);
            assertThrows(
                    StorageUnavailableException.class,
                    () -> file.truncateLogEntriesUntil(1),
                    "the disk is full, so the file can't be rewritten on truncation");
            Files.delete(folder.resolve("log.new"));
            Files.createDirectory(folder.resolve("log.new"));
            assertThrows(
                    StorageUnavailableException.class,
                    () -> LogFile.open(folder),
                    "the new file can't be created, as in a read-only folder");
            Files.delete(folder.resolve("log.new"));
        }
        assertEquals("null [1, 2]", restoredState(), "the truncation was not confirmed");
        try (LogFile file = LogFile.open(folder)) {
            file.truncateLogEntriesUntil(1);
            file.persistLogEntries(List.of(entry(3, 4, "three")));
        }
        assertEquals("null [2, 3]", restoredState());
    }

    @Test
    void storesLastEpochSeparately() throws Exception {
        assertNull(LogFile.lastEpoch(folder));
        LogFile.store(folder, new Epoch(7, "p", "[log]\n"));
        LogFile.store(folder, new Epoch(8, "q", "[nodes]\n"));
        assertEquals(new Epoch(8, "q", "[nodes]\n"), LogFile.lastEpoch(folder));
    }
}
