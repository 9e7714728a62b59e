package hopglade.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hopglade.epoch.Epochs;
import hopglade.epoch.Epochs.Epoch;
import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a voter wrote is what the next process reads, but for a line that was being written when it died. */
class LogFileTest {

    @TempDir
    Path folder;

    private static LogEntry entry(long index, int term, String content) {
        return Codec.MODELS.createLogEntryBuilder().setIndex(index).setTerm(term).setOperation(new Epochs.Prepare("p" + index, index - 1, content)).build();
    }

    private void written() throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            assertNull(file.restored(), "there was none");
            file.persistAndFlushLocalEndpoint(Codec.MODELS.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(new Endpoint("a")).setVoting(true).build());
            file.persistAndFlushInitialGroupMembers(Codec.MODELS.createRaftGroupMembersViewBuilder().setLogIndex(0)
                    .setMembers(List.of(new Endpoint("a"), new Endpoint("b"))).setVotingMembers(List.of(new Endpoint("a"), new Endpoint("b"))).build());
            file.persistAndFlushTerm(Codec.MODELS.createRaftTermPersistentStateBuilder().setTerm(4).setVotedFor(new Endpoint("b")).build());
            file.persistLogEntries(List.of(entry(1, 1, "one\n\"x\""), entry(2, 1, "lost"), entry(3, 1, "lost too")));
            file.truncateLogEntriesFrom(2);
            file.persistLogEntries(List.of(entry(2, 4, "two")));
            file.flush();
        }
    }

    private void holdsAll() throws IOException {
        try (LogFile file = LogFile.open(folder)) {
            RestoredRaftState state = file.restored();
            assertEquals(4, state.getTermPersistentState().getTerm());
            assertEquals(new Endpoint("b"), state.getTermPersistentState().getVotedFor());
            assertEquals(2, state.getInitialGroupMembers().getVotingMembers().size());
            assertEquals(List.of(new Epochs.Prepare("p1", 0, "one\n\"x\""), new Epochs.Prepare("p2", 1, "two")),
                    state.getLogEntries().stream().map(LogEntry::getOperation).toList());
            assertEquals(4, state.getLogEntries().get(1).getTerm());
        }
    }

    @Test
    void theNextProcessReadsWhatWasFlushedAndDropsALineThatWasTorn() throws Exception {
        written();
        holdsAll();
        Files.writeString(folder.resolve("log"), "0bad0bad {\"index\":3,\"te", StandardOpenOption.APPEND);
        holdsAll();
        Files.writeString(folder.resolve("log"), "0bad0bad {\"k\":\"from\",\"index\":1}\n", StandardOpenOption.APPEND);
        holdsAll();
    }

    @Test
    void damageBeforeTheEndRefusesTheStart() throws Exception {
        written();
        Path log = folder.resolve("log");
        Files.writeString(log, Files.readString(log).replaceFirst("\"term\":4", "\"term\":3"));
        assertThrows(IOException.class, () -> LogFile.open(folder), "a vote may be forgotten");
    }

    @Test
    void theLastEpochIsKeptApart() throws Exception {
        assertNull(LogFile.last(folder));
        LogFile.keep(folder, new Epoch(7, "p", "[log]\n"));
        LogFile.keep(folder, new Epoch(8, "q", "[nodes]\n"));
        assertEquals(new Epoch(8, "q", "[nodes]\n"), LogFile.last(folder));
    }
}
