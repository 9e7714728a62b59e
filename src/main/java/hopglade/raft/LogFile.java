package hopglade.raft;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import hopglade.epoch.Epochs.Epoch;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.zip.CRC32;

/**
 * What a voter must not forget, as lines of a checksum and JSON in one file that only grows while the process runs; a start writes it
 * anew without what was replaced. Synced where the library asks. A last line that is torn was never confirmed to anyone and is dropped;
 * damage before it refuses the start, as a voter that has forgotten its vote could give it twice.
 */
final class LogFile implements RaftStore, Closeable {

    /** What was read. */
    private Endpoint endpoint;
    private boolean voting;
    private JsonObject members;
    private JsonObject term;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

    private final FileChannel channel;

    private LogFile(Path file) throws IOException {
        if (Files.exists(file)) {
            read(file);
        }
        Path fresh = file.resolveSibling(file.getFileName() + ".new");
        channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
        try {
            rewrite();
            Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            sync(file.getParent());
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    static LogFile open(Path folder) throws IOException {
        Files.createDirectories(folder);
        return new LogFile(folder.resolve("log"));
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel opened = FileChannel.open(folder, StandardOpenOption.READ)) {
            opened.force(true);
        }
    }

    private void read(Path file) throws IOException {
        String all = Files.readString(file, StandardCharsets.UTF_8);
        String[] lines = all.split("\n", -1);
        for (int i = 0; i < lines.length - 1; i++) {
            String json = lines[i].length() < 9 ? "" : lines[i].substring(9);
            if (!lines[i].startsWith(checksum(json) + " ")) {
                if (i == lines.length - 2) {
                    return;
                }
                throw new IOException(file + ":" + (i + 1) + ": damaged");
            }
            try {
                take(JsonParser.parseString(json).getAsJsonObject());
            } catch (JsonParseException | IllegalStateException e) {
                throw new IOException(file + ":" + (i + 1) + ": " + e.getMessage());
            }
        }
    }

    private void take(JsonObject line) {
        switch (line.get("k").getAsString()) {
            case "self" -> {
                endpoint = new Endpoint(line.get("name").getAsString());
                voting = line.get("voting").getAsBoolean();
            }
            case "members" -> members = line;
            case "term" -> term = line;
            case "entry" -> {
                LogEntry e = Codec.entry(line);
                entries.tailMap(e.getIndex(), true).clear();
                entries.put(e.getIndex(), e);
            }
            case "from" -> entries.tailMap(line.get("index").getAsLong(), true).clear();
            default -> throw new IllegalStateException("no such line: " + line.get("k"));
        }
    }

    private void rewrite() throws IOException {
        if (endpoint != null) {
            write("self", self(endpoint.name(), voting));
        }
        if (members != null) {
            write("members", members);
        }
        if (term != null) {
            write("term", term);
        }
        for (LogEntry e : entries.values()) {
            write("entry", Codec.entry(e));
        }
        flush();
    }

    private static JsonObject self(String name, boolean votes) {
        JsonObject o = new JsonObject();
        o.addProperty("name", name);
        o.addProperty("voting", votes);
        return o;
    }

    private static String checksum(String json) {
        CRC32 crc = new CRC32();
        crc.update(json.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }

    private void write(String kind, JsonObject o) throws IOException {
        o.addProperty("k", kind);
        String json = o.toString();
        write(channel, checksum(json) + " " + json + "\n");
    }

    private static void write(FileChannel to, String text) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
        while (bytes.hasRemaining()) {
            to.write(bytes);
        }
    }

    /** What an earlier process left; null where there was none. */
    RestoredRaftState restored() {
        if (endpoint == null || members == null || term == null) {
            return null;
        }
        var self = Codec.MODELS.createRaftEndpointPersistentStateBuilder().setLocalEndpoint(endpoint).setVoting(voting).build();
        var voted = Codec.MODELS.createRaftTermPersistentStateBuilder().setTerm(term()).setVotedFor(term.has("voted") ? new Endpoint(term.get("voted").getAsString()) : null).build();
        return new RestoredRaftState(self, Codec.members(members), voted, null, new ArrayList<>(entries.values()));
    }

    /** The term that was read; 0 without one. */
    int term() {
        return term == null ? 0 : term.get("term").getAsInt();
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        write("self", self((String) state.getLocalEndpoint().getId(), state.isVoting()));
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        write("members", Codec.members(view));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        JsonObject o = new JsonObject();
        o.addProperty("term", state.getTerm());
        if (state.getVotedFor() != null) {
            o.addProperty("voted", (String) state.getVotedFor().getId());
        }
        write("term", o);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry e : added) {
            write("entry", Codec.entry(e));
        }
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        JsonObject o = new JsonObject();
        o.addProperty("index", index);
        write("from", o);
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        throw new IOException("snapshots are not kept");
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        throw new IOException("snapshots are not kept");
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        throw new IOException("snapshots are not kept");
    }

    @Override
    public void flush() throws IOException {
        channel.force(false);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    /** The last epoch in force, kept apart: a proxy runs it from its start on, whoever it reaches. Null where there is none. */
    static Epoch last(Path folder) throws IOException {
        Path file = folder.resolve("in-force");
        try {
            return Files.exists(file) ? Codec.epoch(JsonParser.parseString(Files.readString(file)).getAsJsonObject()) : null;
        } catch (JsonParseException | IllegalStateException | NullPointerException e) {
            throw new IOException(file + ": damaged");
        }
    }

    static void keep(Path folder, Epoch epoch) throws IOException {
        Files.createDirectories(folder);
        Path fresh = folder.resolve("in-force.new");
        try (FileChannel opened = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            write(opened, Codec.epoch(epoch).toString());
            opened.force(true);
        }
        Files.move(fresh, folder.resolve("in-force"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        sync(folder);
    }
}
