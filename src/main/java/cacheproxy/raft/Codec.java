package cacheproxy.raft;

import cacheproxy.epoch.Epochs;
import cacheproxy.epoch.Epochs.Epoch;
import cacheproxy.epoch.Message;
import cacheproxy.stream.Change;
import cacheproxy.stream.FrameCodec;
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
 * Converts Raft messages, policy messages, log entries and snapshot chunks to JSON and back.
 * Messages have their kind in {@code t}, log entries in {@code op}. Malformed input throws a
 * RuntimeException.
 */
final class Codec {

    static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
    static final String GROUP_ID = "policy";

    private Codec() {}

    // Log entries.

    static JsonObject entry(LogEntry entry) {
        return withPosition(operation(entry.getOperation()), entry);
    }

    private static JsonObject withPosition(JsonObject json, BaseLogEntry entry) {
        json.addProperty("index", entry.getIndex());
        json.addProperty("term", entry.getTerm());
        return json;
    }

    static LogEntry entry(JsonObject json) {
        return MODEL_FACTORY
                .createLogEntryBuilder()
                .setIndex(json.get("index").getAsLong())
                .setTerm(json.get("term").getAsInt())
                .setOperation(operation(json))
                .build();
    }

    /** Encodes one chunk of a snapshot; its operation is a byte array. */
    static JsonObject chunk(SnapshotChunk chunk) {
        JsonObject json = new JsonObject();
        json.addProperty(
                "bytes", Base64.getEncoder().encodeToString((byte[]) chunk.getOperation()));
        json.addProperty("part", chunk.getSnapshotChunkIndex());
        json.addProperty("parts", chunk.getSnapshotChunkCount());
        json.add("view", members(chunk.getGroupMembersView()));
        return withPosition(json, chunk);
    }

    static SnapshotChunk chunk(JsonObject json) {
        return MODEL_FACTORY
                .createSnapshotChunkBuilder()
                .setIndex(json.get("index").getAsLong())
                .setTerm(json.get("term").getAsInt())
                .setOperation(Base64.getDecoder().decode(json.get("bytes").getAsString()))
                .setSnapshotChunkIndex(json.get("part").getAsInt())
                .setSnapshotChunkCount(json.get("parts").getAsInt())
                .setGroupMembersView(members(json.getAsJsonObject("view")))
                .build();
    }

    private static JsonObject operation(Object operation) {
        if (operation instanceof Epochs.Change change) {
            return change(change);
        }
        JsonObject json = new JsonObject();
        if (operation instanceof StreamLog.CreateStream creation) {
            json.addProperty("op", "found");
            json.addProperty("lineage", creation.lineage());
        } else {
            Change change = (Change) operation;
            ByteBuffer bytes = ByteBuffer.allocate(FrameCodec.encodedBytes(change));
            FrameCodec.writeChange(bytes, change);
            json.addProperty("op", "stream");
            json.addProperty("change", Base64.getEncoder().encodeToString(bytes.array()));
        }
        return json;
    }

    private static Object operation(JsonObject json) {
        return switch (json.get("op").getAsString()) {
            case "found" -> new StreamLog.CreateStream(json.get("lineage").getAsLong());
            case "stream" ->
                    FrameCodec.readChange(
                            ByteBuffer.wrap(
                                    Base64.getDecoder().decode(json.get("change").getAsString())));
            default -> change(json);
        };
    }

    private static JsonObject change(Epochs.Change change) {
        JsonObject json = new JsonObject();
        if (change instanceof Epochs.Prepare prepare) {
            json.addProperty("op", "prepare");
            json.addProperty("proposal", prepare.proposal());
            json.addProperty("base", prepare.base());
            json.addProperty("content", prepare.content());
        } else if (change instanceof Epochs.Activate activate) {
            json.addProperty("op", "activate");
            json.addProperty("epoch", activate.epoch());
        } else {
            json.addProperty("op", "begin");
        }
        return json;
    }

    private static Epochs.Change change(JsonObject json) {
        return switch (json.get("op").getAsString()) {
            case "prepare" ->
                    new Epochs.Prepare(
                            json.get("proposal").getAsString(),
                            json.get("base").getAsLong(),
                            json.get("content").getAsString());
            case "activate" -> new Epochs.Activate(json.get("epoch").getAsLong());
            case "begin" -> new Epochs.NewTermEntry();
            default ->
                    throw new IllegalArgumentException("unknown log entry kind: " + json.get("op"));
        };
    }

    static JsonArray endpointNames(Collection<RaftEndpoint> endpoints) {
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
        JsonObject json = new JsonObject();
        json.addProperty("index", view.getLogIndex());
        json.add("members", endpointNames(view.getMembers()));
        json.add("voting", endpointNames(view.getVotingMembers()));
        return json;
    }

    static RaftGroupMembersView members(JsonObject json) {
        return MODEL_FACTORY
                .createRaftGroupMembersViewBuilder()
                .setLogIndex(json.get("index").getAsLong())
                .setMembers(endpoints(json.getAsJsonArray("members")))
                .setVotingMembers(endpoints(json.getAsJsonArray("voting")))
                .build();
    }

    // Raft messages.

    /** Encodes a Raft message; returns null for a kind that is not sent between voters. */
    static JsonObject raftMessage(RaftMessage message) {
        JsonObject json = new JsonObject();
        if (message instanceof AppendEntriesRequest typed) {
            json.addProperty("t", "append");
            json.addProperty("prev_term", typed.getPreviousLogTerm());
            json.addProperty("prev_index", typed.getPreviousLogIndex());
            json.addProperty("commit", typed.getCommitIndex());
            json.addProperty("query", typed.getQuerySequenceNumber());
            json.addProperty("flow", typed.getFlowControlSequenceNumber());
            JsonArray entries = new JsonArray();
            typed.getLogEntries().forEach(e -> entries.add(entry(e)));
            json.add("entries", entries);
        } else if (message instanceof AppendEntriesSuccessResponse typed) {
            json.addProperty("t", "appended");
            json.addProperty("last", typed.getLastLogIndex());
            json.addProperty("query", typed.getQuerySequenceNumber());
            json.addProperty("flow", typed.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse typed) {
            json.addProperty("t", "not-appended");
            json.addProperty("next", typed.getExpectedNextIndex());
            json.addProperty("query", typed.getQuerySequenceNumber());
            json.addProperty("flow", typed.getFlowControlSequenceNumber());
        } else if (message instanceof VoteRequest typed) {
            json.addProperty("t", "vote");
            json.addProperty("last_term", typed.getLastLogTerm());
            json.addProperty("last_index", typed.getLastLogIndex());
            json.addProperty("sticky", typed.isSticky());
        } else if (message instanceof VoteResponse typed) {
            json.addProperty("t", "voted");
            json.addProperty("granted", typed.isGranted());
        } else if (message instanceof PreVoteRequest typed) {
            json.addProperty("t", "pre-vote");
            json.addProperty("last_term", typed.getLastLogTerm());
            json.addProperty("last_index", typed.getLastLogIndex());
        } else if (message instanceof PreVoteResponse typed) {
            json.addProperty("t", "pre-voted");
            json.addProperty("granted", typed.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest typed) {
            json.addProperty("t", "elect");
            json.addProperty("last_term", typed.getLastLogTerm());
            json.addProperty("last_index", typed.getLastLogIndex());
        } else if (message instanceof InstallSnapshotRequest typed) {
            json.addProperty("t", "snapshot");
            json.addProperty("leads", typed.isSenderLeader());
            json.addProperty("snapshot_term", typed.getSnapshotTerm());
            json.addProperty("snapshot_index", typed.getSnapshotIndex());
            json.addProperty("parts", typed.getTotalSnapshotChunkCount());
            if (typed.getSnapshotChunk() != null) {
                json.add("chunk", chunk(typed.getSnapshotChunk()));
            }
            json.add("have", endpointNames(typed.getSnapshottedMembers()));
            json.add("view", members(typed.getGroupMembersView()));
            json.addProperty("query", typed.getQuerySequenceNumber());
            json.addProperty("flow", typed.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotResponse typed) {
            json.addProperty("t", "snapshot-part");
            json.addProperty("snapshot_index", typed.getSnapshotIndex());
            json.addProperty("part", typed.getRequestedSnapshotChunkIndex());
            json.addProperty("query", typed.getQuerySequenceNumber());
            json.addProperty("flow", typed.getFlowControlSequenceNumber());
        } else {
            return null;
        }
        json.addProperty("raft_term", message.getTerm());
        return json;
    }

    /** Decodes a Raft message of this sender; returns null if the JSON is not a Raft message. */
    static RaftMessage raftMessage(String sender, JsonObject json) {
        if (!json.has("raft_term")) {
            return null;
        }
        Endpoint from = new Endpoint(sender);
        int term = json.get("raft_term").getAsInt();
        return switch (json.get("t").getAsString()) {
            case "append" -> {
                List<LogEntry> entries = new ArrayList<>();
                for (JsonElement e : json.getAsJsonArray("entries")) {
                    entries.add(entry(e.getAsJsonObject()));
                }
                yield MODEL_FACTORY
                        .createAppendEntriesRequestBuilder()
                        .setGroupId(GROUP_ID)
                        .setSender(from)
                        .setTerm(term)
                        .setPreviousLogTerm(json.get("prev_term").getAsInt())
                        .setPreviousLogIndex(json.get("prev_index").getAsLong())
                        .setCommitIndex(json.get("commit").getAsLong())
                        .setLogEntries(entries)
                        .setQuerySequenceNumber(json.get("query").getAsLong())
                        .setFlowControlSequenceNumber(json.get("flow").getAsLong())
                        .build();
            }
            case "appended" ->
                    MODEL_FACTORY
                            .createAppendEntriesSuccessResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogIndex(json.get("last").getAsLong())
                            .setQuerySequenceNumber(json.get("query").getAsLong())
                            .setFlowControlSequenceNumber(json.get("flow").getAsLong())
                            .build();
            case "not-appended" ->
                    MODEL_FACTORY
                            .createAppendEntriesFailureResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setExpectedNextIndex(json.get("next").getAsLong())
                            .setQuerySequenceNumber(json.get("query").getAsLong())
                            .setFlowControlSequenceNumber(json.get("flow").getAsLong())
                            .build();
            case "vote" ->
                    MODEL_FACTORY
                            .createVoteRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(json.get("last_term").getAsInt())
                            .setLastLogIndex(json.get("last_index").getAsLong())
                            .setSticky(json.get("sticky").getAsBoolean())
                            .build();
            case "voted" ->
                    MODEL_FACTORY
                            .createVoteResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(json.get("granted").getAsBoolean())
                            .build();
            case "pre-vote" ->
                    MODEL_FACTORY
                            .createPreVoteRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(json.get("last_term").getAsInt())
                            .setLastLogIndex(json.get("last_index").getAsLong())
                            .build();
            case "pre-voted" ->
                    MODEL_FACTORY
                            .createPreVoteResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setGranted(json.get("granted").getAsBoolean())
                            .build();
            case "elect" ->
                    MODEL_FACTORY
                            .createTriggerLeaderElectionRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setLastLogTerm(json.get("last_term").getAsInt())
                            .setLastLogIndex(json.get("last_index").getAsLong())
                            .build();
            case "snapshot" ->
                    MODEL_FACTORY
                            .createInstallSnapshotRequestBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setSenderLeader(json.get("leads").getAsBoolean())
                            .setSnapshotTerm(json.get("snapshot_term").getAsInt())
                            .setSnapshotIndex(json.get("snapshot_index").getAsLong())
                            .setTotalSnapshotChunkCount(json.get("parts").getAsInt())
                            .setSnapshotChunk(
                                    json.has("chunk") ? chunk(json.getAsJsonObject("chunk")) : null)
                            .setSnapshottedMembers(endpoints(json.getAsJsonArray("have")))
                            .setGroupMembersView(members(json.getAsJsonObject("view")))
                            .setQuerySequenceNumber(json.get("query").getAsLong())
                            .setFlowControlSequenceNumber(json.get("flow").getAsLong())
                            .build();
            case "snapshot-part" ->
                    MODEL_FACTORY
                            .createInstallSnapshotResponseBuilder()
                            .setGroupId(GROUP_ID)
                            .setSender(from)
                            .setTerm(term)
                            .setSnapshotIndex(json.get("snapshot_index").getAsLong())
                            .setRequestedSnapshotChunkIndex(json.get("part").getAsInt())
                            .setQuerySequenceNumber(json.get("query").getAsLong())
                            .setFlowControlSequenceNumber(json.get("flow").getAsLong())
                            .build();
            default -> throw new IllegalArgumentException("unknown Raft message: " + json.get("t"));
        };
    }

    // Policy messages.

    static JsonObject epoch(Epoch epoch) {
        JsonObject json = new JsonObject();
        json.addProperty("number", epoch.number());
        json.addProperty("proposal", epoch.proposal());
        json.addProperty("content", epoch.content());
        return json;
    }

    static Epoch epoch(JsonObject json) {
        return new Epoch(
                json.get("number").getAsLong(),
                json.get("proposal").getAsString(),
                json.get("content").getAsString());
    }

    static JsonObject policyMessage(Message message) {
        JsonObject json = new JsonObject();
        if (message instanceof Message.Hello hello) {
            json.addProperty("t", "hello");
            json.addProperty("seq", hello.seq());
            json.addProperty("epoch", hello.epoch());
            json.addProperty("fenced", hello.fenced());
        } else if (message instanceof Message.Welcome welcome) {
            json.addProperty("t", "welcome");
            json.addProperty("seq", welcome.seq());
            json.addProperty("granted", welcome.granted());
            json.addProperty("in_force", welcome.inForce());
            json.addProperty("prepared", welcome.prepared());
            json.addProperty("clear", welcome.olderLeasesExpired());
            JsonArray next = new JsonArray();
            welcome.next().forEach(e -> next.add(epoch(e)));
            json.add("next", next);
            json.addProperty("leader", welcome.leader());
            json.addProperty("term", welcome.term());
            json.addProperty("applied", welcome.appliedIndex());
            json.addProperty("led", welcome.leadershipConfirmed());
        } else if (message instanceof Message.Propose proposal) {
            json.addProperty("t", "propose");
            json.addProperty("id", proposal.id());
            json.addProperty("base", proposal.base());
            json.addProperty("content", proposal.content());
        } else if (message instanceof Message.Proposed proposal) {
            json.addProperty("t", "proposed");
            json.addProperty("id", proposal.id());
            json.addProperty("ending", proposal.status().name());
            json.addProperty("epoch", proposal.epoch());
            json.addProperty("text", proposal.text());
        }
        return json;
    }

    static Message policyMessage(JsonObject json) {
        return switch (json.get("t").getAsString()) {
            case "hello" ->
                    new Message.Hello(
                            json.get("seq").getAsLong(),
                            json.get("epoch").getAsLong(),
                            json.get("fenced").getAsLong());
            case "welcome" -> {
                List<Epoch> next = new ArrayList<>();
                json.getAsJsonArray("next").forEach(e -> next.add(epoch(e.getAsJsonObject())));
                yield new Message.Welcome(
                        json.get("seq").getAsLong(),
                        json.get("granted").getAsBoolean(),
                        json.get("in_force").getAsLong(),
                        json.get("prepared").getAsLong(),
                        json.get("clear").getAsBoolean(),
                        next,
                        json.get("leader").getAsString(),
                        json.get("term").getAsInt(),
                        json.get("applied").getAsLong(),
                        json.get("led").getAsBoolean());
            }
            case "propose" ->
                    new Message.Propose(
                            json.get("id").getAsString(),
                            json.get("base").getAsLong(),
                            json.get("content").getAsString());
            case "proposed" ->
                    new Message.Proposed(
                            json.get("id").getAsString(),
                            Message.ProposalStatus.valueOf(json.get("ending").getAsString()),
                            json.get("epoch").getAsLong(),
                            json.get("text").getAsString());
            default ->
                    throw new IllegalArgumentException("unknown policy message: " + json.get("t"));
        };
    }
}
