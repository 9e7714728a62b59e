package cacheproxy.raft;

import cacheproxy.epoch.Epochs.Epoch;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * The persistent state of a voter in one file of lines; each line is a checksum and a JSON object.
 * Lines are appended until a snapshot replaces entries. Then, and when the file is opened, the
 * current state is written to a new file, which is renamed over the old one. The file is synced
 * where MicroRaft requires it. A torn last line was never confirmed to anyone and is dropped. The
 * file cannot be opened if an earlier line is damaged, because a voter that has lost its vote could
 * vote twice in one term.
 *
 * <p>After a failed write, sync or rename this object writes nothing more, because the file may end
 * in a partial line, and because the operating system reports a failed sync only once. Every later
 * call throws {@link StorageUnavailableException}. Opening the file again reads its content and
 * writes all of it to a new file before anything else is confirmed.
 */
final class LogFile implements RaftStore, Closeable {

    // The state that the file contains.

    private Endpoint endpoint;

    private boolean voting;
    private JsonObject members;
    private JsonObject term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

    /**
     * Snapshot chunks by the log index of their snapshot and the chunk's number. The next rewrite
     * drops all snapshots before the last complete one.
     */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private final Path file;
    private final DurableFiles files;

    /** The file that lines are appended to; null until the first rewrite. */
    private FileChannel channel;

    /** The length up to which the file is known to be on the disk. */
    private long syncedBytes;

    /** The first failed write or sync; null while this object accepts updates. */
    private StorageUnavailableException fault;

    private LogFile(Path file, DurableFiles files) throws IOException {
        this.file = file;
        this.files = files;
        if (Files.exists(file)) {
            read(file);
        }
        rewrite();
    }

    static LogFile open(Path folder) throws CorruptLogException, StorageUnavailableException {
        return open(folder, new DurableFiles());
    }

    /**
     * Reads the file in this folder, if there is one, and rewrites it. The old file stays in place
     * until the new one is complete on the disk.
     */
    static LogFile open(Path folder, DurableFiles files)
            throws CorruptLogException, StorageUnavailableException {
        Path file = folder.resolve("log");
        try {
            Files.createDirectories(folder);
            return new LogFile(file, files);
        } catch (CorruptLogException | StorageUnavailableException e) {
            throw e;
        } catch (IOException e) {
            throw new StorageUnavailableException(file, e);
        }
    }

    /**
     * Opens the file again after this object has failed, with the state that is on the disk. Does
     * not create a file that is missing (as when its disk is not mounted), and rejects one with an
     * older term than was confirmed: a voter that has lost its vote could vote twice in one term.
     */
    LogFile reopen() throws CorruptLogException, StorageUnavailableException {
        if (!Files.exists(file)) {
            throw new StorageUnavailableException(file, "the file is missing");
        }
        LogFile reopened = open(file.getParent(), files);
        if (reopened.term() < term()) {
            reopened.closeQuietly();
            throw new CorruptLogException(
                    file,
                    1,
                    "term " + term() + " was confirmed, but term " + reopened.term() + " was read");
        }
        return reopened;
    }

    /** Closes the file and ignores errors. */
    void closeQuietly() {
        try {
            close();
        } catch (IOException e) {
            // Nothing is written to this file any more.
        }
    }

    private void read(Path file) throws IOException {
        // A line may be cut off within a UTF-8 character; its checksum does not match then.
        String content = new String(files.read(file), StandardCharsets.UTF_8);
        String[] lines = content.split("\n", -1);
        boolean endsWithLine = lines[lines.length - 1].isEmpty();
        for (int i = 0; i < lines.length - 1; i++) {
            String json = lines[i].length() < 9 ? "" : lines[i].substring(9);
            if (!lines[i].startsWith(checksum(json) + " ")) {
                if (i == lines.length - 2 && endsWithLine) {
                    return;
                }
                throw new CorruptLogException(file, i + 1, "damaged: checksum does not match");
            }
            try {
                applyLine(JsonParser.parseString(json).getAsJsonObject());
            } catch (JsonParseException | IllegalStateException e) {
                throw new CorruptLogException(file, i + 1, e.getMessage());
            }
        }
    }

    private void applyLine(JsonObject line) {
        switch (line.get("k").getAsString()) {
            case "self" -> {
                endpoint = new Endpoint(line.get("name").getAsString());
                voting = line.get("voting").getAsBoolean();
            }
            case "members" -> members = line;
            case "term" -> term = line;
            case "entry" -> {
                LogEntry entry = Codec.entry(line);
                entries.tailMap(entry.getIndex(), true).clear();
                entries.put(entry.getIndex(), entry);
            }
            case "from" -> entries.tailMap(line.get("index").getAsLong(), true).clear();
            case "until" -> entries.headMap(line.get("index").getAsLong(), true).clear();
            case "chunk" -> store(Codec.chunk(line));
            case "no-chunks" -> snapshots.remove(line.get("index").getAsLong());
            default -> throw new IllegalStateException("unknown kind of line: " + line.get("k"));
        }
    }

    private void store(SnapshotChunk chunk) {
        snapshots
                .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), chunk);
    }

    /** Returns the chunks of the last complete snapshot; null if there is none. */
    private TreeMap<Integer, SnapshotChunk> lastCompleteSnapshot() {
        return snapshots.descendingMap().values().stream()
                .filter(c -> c.size() == c.firstEntry().getValue().getSnapshotChunkCount())
                .findFirst()
                .orElse(null);
    }

    /**
     * Writes the current state to a new file and renames it over the old one. The old file stays in
     * place until the new one is complete on the disk.
     */
    private void rewrite() throws IOException {
        TreeMap<Integer, SnapshotChunk> chunks = lastCompleteSnapshot();
        if (chunks != null) {
            snapshots.headMap(chunks.firstEntry().getValue().getIndex(), false).clear();
        }
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        FileChannel oldChannel = channel;
        FileChannel newChannel = files.create(newFile);
        try {
            channel = newChannel;
            writeAll();
            files.rename(newFile, file);
            files.syncFolder(file.getParent());
        } catch (IOException e) {
            channel = oldChannel;
            newChannel.close();
            throw e;
        }
        syncedBytes = newChannel.position();
        if (oldChannel != null) {
            oldChannel.close();
        }
    }

    private void writeAll() throws IOException {
        if (endpoint != null) {
            write("self", selfLine(endpoint.name(), voting));
        }
        if (members != null) {
            write("members", members);
        }
        if (term != null) {
            write("term", term);
        }
        for (TreeMap<Integer, SnapshotChunk> chunks : snapshots.values()) {
            for (SnapshotChunk chunk : chunks.values()) {
                write("chunk", Codec.chunk(chunk));
            }
        }
        for (LogEntry entry : entries.values()) {
            write("entry", Codec.entry(entry));
        }
        channel.force(false);
    }

    private static JsonObject selfLine(String name, boolean votes) {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("voting", votes);
        return json;
    }

    private static String checksum(String json) {
        CRC32 crc = new CRC32();
        crc.update(json.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }

    private void write(String kind, JsonObject line) throws IOException {
        line.addProperty("k", kind);
        String json = line.toString();
        DurableFiles.write(channel, checksum(json) + " " + json + "\n");
    }

    /** A change of the state: it is written to the file first and then applied in memory. */
    private interface Change {
        void apply() throws IOException;
    }

    /** Applies a change; after the first that fails all later ones are rejected. */
    private void change(Change change) throws StorageUnavailableException {
        if (fault != null) {
            throw new StorageUnavailableException(
                    file, "an earlier write or sync failed; reopen the file");
        }
        try {
            change.apply();
        } catch (IOException e) {
            fault = new StorageUnavailableException(file, e);
            discardUnsynced();
            throw fault;
        }
    }

    /**
     * Truncates the file to its synced length, if the file system allows it: later content has not
     * been confirmed to anyone.
     */
    private void discardUnsynced() {
        try (FileChannel abandoned = channel) {
            abandoned.truncate(syncedBytes);
        } catch (IOException e) {
            // The unsynced lines stay. Opening the file again reads the complete ones and drops a
            // torn last line.
        }
    }

    /** Whether a write or sync has failed, so that this object rejects all updates. */
    boolean failed() {
        return fault != null;
    }

    /** Returns the first failure of a write or sync; null if there was none. */
    StorageUnavailableException fault() {
        return fault;
    }

    private void sync() throws IOException {
        channel.force(false);
        syncedBytes = channel.position();
    }

    /** Returns the state that an earlier process has stored; null if it is absent or incomplete. */
    RestoredRaftState restored() {
        if (endpoint == null || members == null || term == null) {
            return null;
        }
        var self =
                Codec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(endpoint)
                        .setVoting(voting)
                        .build();
        var termState =
                Codec.MODEL_FACTORY
                        .createRaftTermPersistentStateBuilder()
                        .setTerm(term())
                        .setVotedFor(
                                term.has("voted")
                                        ? new Endpoint(term.get("voted").getAsString())
                                        : null)
                        .build();
        TreeMap<Integer, SnapshotChunk> chunks = lastCompleteSnapshot();
        if (chunks == null) {
            return new RestoredRaftState(
                    self,
                    Codec.members(members),
                    termState,
                    null,
                    new ArrayList<>(entries.values()));
        }
        SnapshotChunk first = chunks.firstEntry().getValue();
        var snapshot =
                Codec.MODEL_FACTORY
                        .createSnapshotEntryBuilder()
                        .setIndex(first.getIndex())
                        .setTerm(first.getTerm())
                        .setSnapshotChunks(List.copyOf(chunks.values()))
                        .setGroupMembersView(first.getGroupMembersView())
                        .build();
        return new RestoredRaftState(
                self,
                Codec.members(members),
                termState,
                snapshot,
                new ArrayList<>(entries.tailMap(first.getIndex(), false).values()));
    }

    /** Returns the last stored term; 0 if there is none. */
    int term() {
        return term == null ? 0 : term.get("term").getAsInt();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state)
            throws StorageUnavailableException {
        Endpoint self = (Endpoint) state.getLocalEndpoint();
        change(
                () -> {
                    write("self", selfLine(self.name(), state.isVoting()));
                    sync();
                    endpoint = self;
                    voting = state.isVoting();
                });
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view)
            throws StorageUnavailableException {
        JsonObject line = Codec.members(view);
        change(
                () -> {
                    write("members", line);
                    sync();
                    members = line;
                });
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state)
            throws StorageUnavailableException {
        JsonObject line = new JsonObject();
        line.addProperty("term", state.getTerm());
        if (state.getVotedFor() != null) {
            line.addProperty("voted", (String) state.getVotedFor().getId());
        }
        change(
                () -> {
                    write("term", line);
                    sync();
                    term = line;
                });
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws StorageUnavailableException {
        change(
                () -> {
                    for (LogEntry entry : added) {
                        write("entry", Codec.entry(entry));
                        entries.tailMap(entry.getIndex(), true).clear();
                        entries.put(entry.getIndex(), entry);
                    }
                });
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws StorageUnavailableException {
        change(
                () -> {
                    write("from", indexLine(index));
                    entries.tailMap(index, true).clear();
                });
    }

    private static JsonObject indexLine(long index) {
        JsonObject json = new JsonObject();
        json.addProperty("index", index);
        return json;
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws StorageUnavailableException {
        change(
                () -> {
                    write("chunk", Codec.chunk(chunk));
                    store(chunk);
                });
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws StorageUnavailableException {
        change(
                () -> {
                    write("until", indexLine(index));
                    entries.headMap(index, true).clear();
                    rewrite();
                });
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws StorageUnavailableException {
        change(
                () -> {
                    write("no-chunks", indexLine(index));
                    snapshots.remove(index);
                });
    }

    @Override
    public void flush() throws StorageUnavailableException {
        change(this::sync);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    /**
     * Reads the last epoch in force, which has a file of its own: a proxy applies it at its start,
     * before it has reached any voter. Returns null if there is none.
     */
    static Epoch lastEpoch(Path folder) throws IOException {
        Path file = folder.resolve("in-force");
        try {
            return Files.exists(file)
                    ? Codec.epoch(JsonParser.parseString(Files.readString(file)).getAsJsonObject())
                    : null;
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            throw new CorruptLogException(file, 1, "damaged: not a JSON object with an epoch");
        }
    }

    static void store(Path folder, Epoch epoch) throws StorageUnavailableException {
        store(folder, epoch, new DurableFiles());
    }

    /**
     * Stores the epoch in force. After a failure the file contains either the previously stored
     * epoch or this one, complete.
     */
    static void store(Path folder, Epoch epoch, DurableFiles files)
            throws StorageUnavailableException {
        Path target = folder.resolve("in-force");
        Path newFile = folder.resolve("in-force.new");
        try {
            Files.createDirectories(folder);
            try (FileChannel newChannel = files.create(newFile)) {
                DurableFiles.write(newChannel, Codec.epoch(epoch).toString());
                newChannel.force(true);
            }
            files.rename(newFile, target);
            files.syncFolder(folder);
        } catch (IOException e) {
            throw new StorageUnavailableException(target, e);
        }
    }
}
