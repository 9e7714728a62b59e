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
 * What a voter must not forget, as lines of a checksum and JSON in one file. It grows until a
 * snapshot takes the place of entries; then, and at a start, it is written anew beside itself and
 * renamed, without what was replaced. Synced where the library asks. A last line that is torn was
 * never confirmed to anyone and is dropped; damage before it refuses the start, as a voter that has
 * forgotten its vote could give it twice.
 *
 * <p>After a write, sync or rename that failed nothing is written to that file any more, as half a
 * line may stand at its end, and as the system tells of a sync that failed only once: every later
 * call throws {@link StorageUnavailableException}. Opening the file again reads what is there, and
 * writes it whole to another file before anything more is confirmed.
 */
final class LogFile implements RaftStore, Closeable {

    /** What the file holds. */
    private Endpoint endpoint;

    private boolean voting;
    private JsonObject members;
    private JsonObject term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

    /**
     * Parts of snapshots by the index that they stand for; all but the last whole one go with the
     * next rewriting.
     */
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private final Path file;
    private final DurableFiles files;

    /** Where lines go; null until the file has been written anew. */
    private FileChannel channel;

    /** How much of the file is known to be on the disk. */
    private long syncedBytes;

    /** Why this object takes no more; null while it does. */
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
     * Reads what is there and writes it anew; the file that was there stays until that has
     * succeeded.
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
     * Opens the file anew after this object has failed, from what is on the disk. A file that is
     * gone, as with its disk, is not begun anew: a voter that has forgotten its vote could give it
     * twice.
     */
    LogFile reopen() throws CorruptLogException, StorageUnavailableException {
        if (!Files.exists(file)) {
            throw new StorageUnavailableException(file, "is gone");
        }
        LogFile reopened = open(file.getParent(), files);
        if (reopened.term() < term()) {
            reopened.closeQuietly();
            throw new CorruptLogException(
                    file,
                    1,
                    "term " + term() + " was confirmed, and term " + reopened.term() + " is there");
        }
        return reopened;
    }

    /** Closes it where nobody waits for what closing may say. */
    void closeQuietly() {
        try {
            close();
        } catch (IOException e) {
            // It is not written any more.
        }
    }

    private void read(Path file) throws IOException {
        // A line that was cut off within a character is as torn as any: its checksum tells.
        String content = new String(files.read(file), StandardCharsets.UTF_8);
        String[] lines = content.split("\n", -1);
        boolean endsWithLine = lines[lines.length - 1].isEmpty();
        for (int i = 0; i < lines.length - 1; i++) {
            String json = lines[i].length() < 9 ? "" : lines[i].substring(9);
            if (!lines[i].startsWith(checksum(json) + " ")) {
                if (i == lines.length - 2 && endsWithLine) {
                    return;
                }
                throw new CorruptLogException(file, i + 1, "damaged");
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
            default -> throw new IllegalStateException("no such line: " + line.get("k"));
        }
    }

    private void store(SnapshotChunk chunk) {
        snapshots
                .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                .put(chunk.getSnapshotChunkIndex(), chunk);
    }

    /** The last snapshot of which all parts are there; null without one. */
    private TreeMap<Integer, SnapshotChunk> lastCompleteSnapshot() {
        return snapshots.descendingMap().values().stream()
                .filter(c -> c.size() == c.firstEntry().getValue().getSnapshotChunkCount())
                .findFirst()
                .orElse(null);
    }

    /**
     * What holds, as a new file in the old one's place. The old one stays until all of the new one
     * is on the disk.
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

    /** A change of what the file holds: written first, and then in memory. */
    private interface Change {
        void apply() throws IOException;
    }

    /** Makes a change; the first that fails is the last that is tried. */
    private void change(Change change) throws StorageUnavailableException {
        if (fault != null) {
            throw new StorageUnavailableException(file, "failed before, open it again");
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
     * Takes away what was written and not synced, as far as the system lets: nobody was told of it.
     */
    private void discardUnsynced() {
        try (FileChannel abandoned = channel) {
            abandoned.truncate(syncedBytes);
        } catch (IOException e) {
            // The next to open the file drops half a line, and reads whole ones.
        }
    }

    /** Whether a write or a sync has failed, so that this object takes no more. */
    boolean failed() {
        return fault != null;
    }

    /** The first write or sync that failed; null where none has. */
    StorageUnavailableException fault() {
        return fault;
    }

    private void sync() throws IOException {
        channel.force(false);
        syncedBytes = channel.position();
    }

    /** What an earlier process left; null where there was none. */
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

    /** The term that was read; 0 without one. */
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
     * The last epoch in force, kept apart: a proxy runs it from its start on, whoever it reaches.
     * Null where there is none.
     */
    static Epoch lastEpoch(Path folder) throws IOException {
        Path file = folder.resolve("in-force");
        try {
            return Files.exists(file)
                    ? Codec.epoch(JsonParser.parseString(Files.readString(file)).getAsJsonObject())
                    : null;
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            throw new CorruptLogException(file, 1, "damaged");
        }
    }

    static void store(Path folder, Epoch epoch) throws StorageUnavailableException {
        store(folder, epoch, new DurableFiles());
    }

    /**
     * Keeps the epoch in force; where that fails, the one that was kept before or this one is
     * there, whole.
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
