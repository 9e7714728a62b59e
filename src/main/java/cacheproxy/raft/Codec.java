package cacheproxy.raft;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Message;
import cacheproxy.stream.Change;
import cacheproxy.stream.Frames;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.BaseLogEntry;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collection;
import java.util.List;

/**
 * Raft's, the policy's and the change stream's messages, log entries and snapshots as JSON, each
 * with its kind in {@code t}. What is malformed throws a RuntimeException.
 */
final class Codec {

    static final RaftModelFactory MODELS = new DefaultRaftModelFactory();
    static final String GROUP = "policy";

    private Codec() {}

    // Log entries.

    static JsonObject entry(LogEntry e) {
        return placed(operation(e.getOperation()), e);
    }

    private static JsonObject placed(JsonObject o, BaseLogEntry e) {
        o.addProperty("index", e.getIndex());
        o.addProperty("term", e.getTerm());
        return o;
    }

    static LogEntry entry(JsonObject o) {
        return MODELS.createLogEntryBuilder()
                .setIndex(o.get("index").getAsLong())
                .setTerm(o.get("term").getAsInt())
                .setOperation(operation(o))
                .build();
    }

    /** A part of a snapshot; what it holds is bytes. */
    static JsonObject chunk(SnapshotChunk c) {
        JsonObject o = new JsonObject();
        o.addProperty("bytes", Base64.getEncoder().encodeToString((byte[]) c.getOperation()));
        o.addProperty("part", c.getSnapshotChunkIndex());
        o.addProperty("parts", c.getSnapshotChunkCount());
        o.add("view", members(c.getGroupMembersView()));
        return placed(o, c);
    }

    static SnapshotChunk chunk(JsonObject o) {
        return MODELS.createSnapshotChunkBuilder()
                .setIndex(o.get("index").getAsLong())
                .setTerm(o.get("term").getAsInt())
                .setOperation(Base64.getDecoder().decode(o.get("bytes").getAsString()))
                .setSnapshotChunkIndex(o.get("part").getAsInt())
                .setSnapshotChunkCount(o.get("parts").getAsInt())
                .setGroupMembersView(members(o.getAsJsonObject("view")))
                .build();
    }

    private static JsonObject operation(Object operation) {
        if (operation instanceof Epochs.Change change) {
            return change(change);
        }
        JsonObject o = new JsonObject();
        if (operation instanceof StreamLog.Found f) {
            o.addProperty("op", "found");
            o.addProperty("lineage", f.lineage());
        } else {
            Change change = (Change) operation;
            ByteBuffer bytes = ByteBuffer.allocate(Frames.bytes(change));
            Frames.write(bytes, change);
            o.addProperty("op", "stream");
            o.addProperty("change", Base64.getEncoder().encodeToString(bytes.array()));
        }
        return o;
    }

    private static Object operation(JsonObject o) {
        return switch (o.get("op").getAsString()) {
            case "found" -> new StreamLog.Found(o.get("lineage").getAsLong());
            case "stream" ->
                    Frames.read(
                            ByteBuffer.wrap(
                                    Base64.getDecoder().decode(o.get("change").getAsString())));
            default -> change(o);
        };
    }

    private static JsonObject change(Epochs.Change change) {
        JsonObject o = new JsonObject();
        if (change instanceof Epochs.Prepare p) {
            o.addProperty("op", "prepare");
            o.addProperty("proposal", p.proposal());
            o.addProperty("base", p.base());
            o.addProperty("content", p.content());
        } else if (change instanceof Epochs.Activate a) {
            o.addProperty("op", "activate");
            o.addProperty("epoch", a.epoch());
        } else {
            o.addProperty("op", "begin");
        }
        return o;
    }

    private static Epochs.Change change(JsonObject o) {
        return switch (o.get("op").getAsString()) {
            case "prepare" ->
                    new Epochs.Prepare(
                            o.get("proposal").getAsString(),
                            o.get("base").getAsLong(),
                            o.get("content").getAsString());
            case "activate" -> new Epochs.Activate(o.get("epoch").getAsLong());
            case "begin" -> new Epochs.Begin();
            default -> throw new IllegalArgumentException("no such entry: " + o.get("op"));
        };
    }

    static JsonArray names(Collection<RaftEndpoint> endpoints) {
        JsonArray all = new JsonArray();
        endpoints.forEach(e -> all.add((String) e.getId()));
        return all;
    }

    static List<RaftEndpoint> endpoints(JsonArray names) {
        List<RaftEndpoint> all = new ArrayList<>();
        names.forEach(n -> all.add(new Endpoint(n.getAsString())));
        return all;
    }

    static JsonObject members(RaftGroupMembersView view) {
        JsonObject o = new JsonObject();
        o.addProperty("index", view.getLogIndex());
        o.add("members", names(view.getMembers()));
        o.add("voting", names(view.getVotingMembers()));
        return o;
    }

    static RaftGroupMembersView members(JsonObject o) {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(o.get("index").getAsLong())
                .setMembers(endpoints(o.getAsJsonArray("members")))
                .setVotingMembers(endpoints(o.getAsJsonArray("voting")))
                .build();
    }

    // Raft's messages.

    /** Null for a kind that is not sent here. */
    static JsonObject raft(RaftMessage m) {
        JsonObject o = new JsonObject();
        if (m instanceof AppendEntriesRequest r) {
            o.addProperty("t", "append");
            o.addProperty("prev_term", r.getPreviousLogTerm());
            o.addProperty("prev_index", r.getPreviousLogIndex());
            o.addProperty("commit", r.getCommitIndex());
            o.addProperty("query", r.getQuerySequenceNumber());
            o.addProperty("flow", r.getFlowControlSequenceNumber());
            JsonArray entries = new JsonArray();
            r.getLogEntries().forEach(e -> entries.add(entry(e)));
            o.add("entries", entries);
        } else if (m instanceof AppendEntriesSuccessResponse r) {
            o.addProperty("t", "appended");
            o.addProperty("last", r.getLastLogIndex());
            o.addProperty("query", r.getQuerySequenceNumber());
            o.addProperty("flow", r.getFlowControlSequenceNumber());
        } else if (m instanceof AppendEntriesFailureResponse r) {
            o.addProperty("t", "not-appended");
            o.addProperty("next", r.getExpectedNextIndex());
            o.addProperty("query", r.getQuerySequenceNumber());
            o.addProperty("flow", r.getFlowControlSequenceNumber());
        } else if (m instanceof VoteRequest r) {
            o.addProperty("t", "vote");
            o.addProperty("last_term", r.getLastLogTerm());
            o.addProperty("last_index", r.getLastLogIndex());
            o.addProperty("sticky", r.isSticky());
        } else if (m instanceof VoteResponse r) {
            o.addProperty("t", "voted");
            o.addProperty("granted", r.isGranted());
        } else if (m instanceof PreVoteRequest r) {
            o.addProperty("t", "pre-vote");
            o.addProperty("last_term", r.getLastLogTerm());
            o.addProperty("last_index", r.getLastLogIndex());
        } else if (m instanceof PreVoteResponse r) {
            o.addProperty("t", "pre-voted");
            o.addProperty("granted", r.isGranted());
        } else if (m instanceof TriggerLeaderElectionRequest r) {
            o.addProperty("t", "elect");
            o.addProperty("last_term", r.getLastLogTerm());
            o.addProperty("last_index", r.getLastLogIndex());
        } else if (m instanceof InstallSnapshotRequest r) {
            o.addProperty("t", "snapshot");
            o.addProperty("leads", r.isSenderLeader());
            o.addProperty("snapshot_term", r.getSnapshotTerm());
            o.addProperty("snapshot_index", r.getSnapshotIndex());
            o.addProperty("parts", r.getTotalSnapshotChunkCount());
            if (r.getSnapshotChunk() != null) {
                o.add("chunk", chunk(r.getSnapshotChunk()));
            }
            o.add("have", names(r.getSnapshottedMembers()));
            o.add("view", members(r.getGroupMembersView()));
            o.addProperty("query", r.getQuerySequenceNumber());
            o.addProperty("flow", r.getFlowControlSequenceNumber());
        } else if (m instanceof InstallSnapshotResponse r) {
            o.addProperty("t", "snapshot-part");
            o.addProperty("snapshot_index", r.getSnapshotIndex());
            o.addProperty("part", r.getRequestedSnapshotChunkIndex());
            o.addProperty("query", r.getQuerySequenceNumber());
            o.addProperty("flow", r.getFlowControlSequenceNumber());
        } else {
            return null;
        }
        o.addProperty("raft_term", m.getTerm());
        return o;
    }

    /** A message of Raft from this sender; null where it is none. */
    static RaftMessage raft(String sender, JsonObject o) {
        if (!o.has("raft_term")) {
            return null;
        }
        Endpoint from = new Endpoint(sender);
        int term = o.get("raft_term").getAsInt();
        return switch (o.get("t").getAsString()) {
            case "append" -> {
                List<LogEntry> entries = new ArrayList<>();
                for (JsonElement e : o.getAsJsonArray("entries")) {
                    entries.add(entry(e.getAsJsonObject()));
                }
                yield MODELS.createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP)
                        .setSender(from)
                        .setTerm(term)
                        .setPreviousLogTerm(o.get("prev_term").getAsInt())
                        .setPreviousLogIndex(o.get("prev_index").getAsLong())
                        .setCommitIndex(o.get("commit").getAsLong())
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(o.get("query").getAsLong())
                        .setFlowControlSequenceNumber(o.get("flow").getAsLong())
                        .build();
            }
            case "appended" ->
                    MODELS.createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogIndex(o.get("last").getAsLong())
                            .setQuerySequenceNumber(o.get("query").getAsLong())
                            .setFlowControlSequenceNumber(o.get("flow").getAsLong())
                            .build();
            case "not-appended" ->
                    MODELS.createAppendEntriesFailureResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setExpectedNextIndex(o.get("next").getAsLong())
                            .setQuerySequenceNumber(o.get("query").getAsLong())
                            .setFlowControlSequenceNumber(o.get("flow").getAsLong())
                            .build();
            case "vote" ->
                    MODELS.createVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(o.get("last_term").getAsInt())
                            .setLastLogIndex(o.get("last_index").getAsLong())
                            .setSticky(o.get("sticky").getAsBoolean())
                            .build();
            case "voted" ->
                    MODELS.createVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(o.get("granted").getAsBoolean())
                            .build();
            case "pre-vote" ->
                    MODELS.createPreVoteRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(o.get("last_term").getAsInt())
                            .setLastLogIndex(o.get("last_index").getAsLong())
                            .build();
            case "pre-voted" ->
                    MODELS.createPreVoteResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(o.get("granted").getAsBoolean())
                            .build();
            case "elect" ->
                    MODELS.createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(o.get("last_term").getAsInt())
                            .setLastLogIndex(o.get("last_index").getAsLong())
                            .build();
            case "snapshot" ->
                    MODELS.createInstallSnapshotRequestBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setSenderLeader(o.get("leads").getAsBoolean())
                            .setSnapshotTerm(o.get("snapshot_term").getAsInt())
                            .setSnapshotIndex(o.get("snapshot_index").getAsLong())
                            .setTotalSnapshotChunkCount(o.get("parts").getAsInt())
                            .setSnapshotChunk(
                                    o.has("chunk") ? chunk(o.getAsJsonObject("chunk")) : null)
                            .setSnapshottedMembers(endpoints(o.getAsJsonArray("have")))
                            .setGroupMembersView(members(o.getAsJsonObject("view")))
                            .setQuerySequenceNumber(o.get("query").getAsLong())
                            .setFlowControlSequenceNumber(o.get("flow").getAsLong())
                            .build();
            case "snapshot-part" ->
                    MODELS.createInstallSnapshotResponseBuilder()
                            .setGroupId(GROUP)
                            .setSender(from)
                            .setTerm(term)
                            .setSnapshotIndex(o.get("snapshot_index").getAsLong())
                            .setRequestedSnapshotChunkIndex(o.get("part").getAsInt())
                            .setQuerySequenceNumber(o.get("query").getAsLong())
                            .setFlowControlSequenceNumber(o.get("flow").getAsLong())
                            .build();
            default -> throw new IllegalArgumentException("no such message: " + o.get("t"));
        };
    }

    // The policy's messages.

    static JsonObject epoch(Epoch e) {
        JsonObject o = new JsonObject();
        o.addProperty("number", e.number());
        o.addProperty("proposal", e.proposal());
        o.addProperty("content", e.content());
        return o;
    }

    static Epoch epoch(JsonObject o) {
        return new Epoch(
                o.get("number").getAsLong(),
                o.get("proposal").getAsString(),
                o.get("content").getAsString());
    }

    static JsonObject policy(Message m) {
        JsonObject o = new JsonObject();
        if (m instanceof Message.Hello h) {
            o.addProperty("t", "hello");
            o.addProperty("seq", h.seq());
            o.addProperty("epoch", h.epoch());
            o.addProperty("fenced", h.fenced());
        } else if (m instanceof Message.Welcome w) {
            o.addProperty("t", "welcome");
            o.addProperty("seq", w.seq());
            o.addProperty("granted", w.granted());
            o.addProperty("in_force", w.inForce());
            o.addProperty("prepared", w.prepared());
            o.addProperty("clear", w.clear());
            JsonArray next = new JsonArray();
            w.next().forEach(e -> next.add(epoch(e)));
            o.add("next", next);
            o.addProperty("leader", w.leader());
            o.addProperty("term", w.term());
            o.addProperty("applied", w.applied());
            o.addProperty("led", w.led());
        } else if (m instanceof Message.Propose p) {
            o.addProperty("t", "propose");
            o.addProperty("id", p.id());
            o.addProperty("base", p.base());
            o.addProperty("content", p.content());
        } else if (m instanceof Message.Proposed p) {
            o.addProperty("t", "proposed");
            o.addProperty("id", p.id());
            o.addProperty("ending", p.ending().name());
            o.addProperty("epoch", p.epoch());
            o.addProperty("text", p.text());
        }
        return o;
    }

    static Message policy(JsonObject o) {
        return switch (o.get("t").getAsString()) {
            case "hello" ->
                    new Message.Hello(
                            o.get("seq").getAsLong(),
                            o.get("epoch").getAsLong(),
                            o.get("fenced").getAsLong());
            case "welcome" -> {
                List<Epoch> next = new ArrayList<>();
                o.getAsJsonArray("next").forEach(e -> next.add(epoch(e.getAsJsonObject())));
                yield new Message.Welcome(
                        o.get("seq").getAsLong(),
                        o.get("granted").getAsBoolean(),
                        o.get("in_force").getAsLong(),
                        o.get("prepared").getAsLong(),
                        o.get("clear").getAsBoolean(),
                        next,
                        o.get("leader").getAsString(),
                        o.get("term").getAsInt(),
                        o.get("applied").getAsLong(),
                        o.get("led").getAsBoolean());
            }
            case "propose" ->
                    new Message.Propose(
                            o.get("id").getAsString(),
                            o.get("base").getAsLong(),
                            o.get("content").getAsString());
            case "proposed" ->
                    new Message.Proposed(
                            o.get("id").getAsString(),
                            Message.Ending.valueOf(o.get("ending").getAsString()),
                            o.get("epoch").getAsLong(),
                            o.get("text").getAsString());
            default -> throw new IllegalArgumentException("no such message: " + o.get("t"));
        };
    }
}
