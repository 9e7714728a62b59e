package cacheproxy.lab.virtual;

import io.microraft.model.impl.DefaultRaftModelFactory;
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

/**
 * An in-memory Raft store for virtual time. Log entries and snapshot chunks that were flushed
 * survive {@link #crash}; those that were not are lost.
 */
final class InMemoryRaftStore implements RaftStore {

    private RaftEndpointPersistentState self;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private TreeMap<Long, LogEntry> flushedEntries = new TreeMap<>();

    /** Snapshot chunks, by the log index of their snapshot and then by chunk index. */
    private TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private TreeMap<Long, TreeMap<Integer, SnapshotChunk>> flushedSnapshots = new TreeMap<>();

    /** Simulates the end of the process without a shutdown: discards what was not flushed. */
    void crash() {
        entries = new TreeMap<>(flushedEntries);
        snapshots = copy(flushedSnapshots);
    }

    private static TreeMap<Long, TreeMap<Integer, SnapshotChunk>> copy(
            TreeMap<Long, TreeMap<Integer, SnapshotChunk>> source) {
        TreeMap<Long, TreeMap<Integer, SnapshotChunk>> copied = new TreeMap<>();
        source.forEach((index, chunks) -> copied.put(index, new TreeMap<>(chunks)));
        return copied;
    }

    /**
     * Returns the stored state with the latest snapshot of which all chunks are present, or null if
     * the endpoint, the members or the term have not been stored yet.
     */
    RestoredRaftState restoredState() {
        if (self == null || members == null || term == null) {
            return null;
        }
        TreeMap<Integer, SnapshotChunk> lastComplete =
                snapshots.descendingMap().values().stream()
                        .filter(c -> c.size() == c.firstEntry().getValue().getSnapshotChunkCount())
                        .findFirst()
                        .orElse(null);
        if (lastComplete == null) {
            return new RestoredRaftState(
                    self, members, term, null, new ArrayList<>(entries.values()));
        }
        SnapshotChunk first = lastComplete.firstEntry().getValue();
        var snapshot =
                new DefaultRaftModelFactory()
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(List.copyOf(lastComplete.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
        return new RestoredRaftState(
                self,
                members,
                term,
                snapshot,
                new ArrayList<>(entries.tailMap(first.getIndex(), false).values()));
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
        flushedEntries = new TreeMap<>(entries);
        flushedSnapshots = copy(snapshots);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) {
        snapshots
                .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), chunk);
    }

    @Override
    public void truncateLogEntriesUntil(long index) {
        entries.headMap(index, true).clear();
        while (snapshots.size() > 1) {
            snapshots.pollFirstEntry();
        }
        flush();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        snapshots.remove(index);
    }
}
