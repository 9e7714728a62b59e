package hopglade.lab.virtual;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A voter's disk in virtual time: what was flushed outlasts a crash, what was not is lost with it. */
final class MemoryDisk implements RaftStore {

    private RaftEndpointPersistentState self;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private TreeMap<Long, LogEntry> flushed = new TreeMap<>();

    /** The process has ended without a word. */
    void crash() {
        entries = new TreeMap<>(flushed);
    }

    /** Null before anything was kept. */
    RestoredRaftState restored() {
        return self == null || members == null || term == null ? null
                : new RestoredRaftState(self, members, term, null, new ArrayList<>(entries.values()));
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) {
        self = state;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) {
        members = view;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) {
        term = state;
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) {
        added.forEach(e -> entries.put(e.getIndex(), e));
    }

    @Override
    public void truncateLogEntriesFrom(long index) {
        entries.tailMap(index, true).clear();
    }

    @Override
    public void flush() {
        flushed = new TreeMap<>(entries);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        throw new IllegalStateException("snapshots are not kept");
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        throw new IllegalStateException("snapshots are not kept");
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        throw new IllegalStateException("snapshots are not kept");
    }
}
