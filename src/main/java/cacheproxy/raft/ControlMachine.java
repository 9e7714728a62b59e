package cacheproxy.raft;

import cacheproxy.stream.Acknowledgements;
import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Change;
import cacheproxy.stream.FrameCodec;
import cacheproxy.stream.Message;
import cacheproxy.stream.Message.Row;
import cacheproxy.stream.Message.Tally;
import cacheproxy.stream.Publisher;
import cacheproxy.stream.RetainedLog;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/**
 * One control machine of the change stream, without sockets and files, so that it also runs in
 * virtual time: its copy of the replicated log, the retained log, and the subscribers that it
 * serves. The leader accepts changes and collects which subscribers have acknowledged which entry.
 * The other control machines ask the leader for its last entry, so that they can report how old
 * their own view is. All calls are made on the executor's thread.
 */
public final class ControlMachine {

    /** How often a follower asks the leader for its last entry. */
    private static final double HEAD_QUERY_INTERVAL_MS = 200;

    /**
     * A subscriber that was not heard for this long is not waited for, and is reported as lagging.
     */
    private static final double SUBSCRIBER_TIMEOUT_MS = 2600;

    /** A subscriber that was not heard for this long counts as replaced and is forgotten. */
    private static final double SUBSCRIBER_RETENTION_MS = 7_200_000;

    private static final int MAX_ROWS_PER_MESSAGE = 1000;

    /**
     * What a control machine is made of, as in {@link StreamLog.Parts}; {@code bounds} limit the
     * retained log.
     */
    public record Parts(
            String name,
            List<String> controls,
            RetainedLog.Bounds bounds,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored,
            int snapshotEvery) {}

    /** The effects that a control machine asks its owner for. */
    public interface Out extends Publisher.PublisherActions {
        /**
         * Sends a message to another control machine. Messages may be lost: every query is sent
         * again later.
         */
        void sendToControl(String control, JsonObject message);

        /** Every present subscriber has acknowledged an entry; called on the leader only. */
        void fullyAcknowledged(FullyAcknowledged entry);
    }

    /**
     * A follower's query that has no answer yet.
     *
     * @param at when it arrived, by this machine's clock, in milliseconds
     * @param stamp the asking machine's own time, which goes back with the answer
     */
    private record PendingQuery(double at, double stamp) {}

    private final DoubleSupplier nowMs;
    private final Out out;
    private final RetainedLog retainedLog;
    private final Acknowledgements acknowledgements =
            new Acknowledgements(SUBSCRIBER_TIMEOUT_MS, SUBSCRIBER_RETENTION_MS);
    private final Publisher publisher;
    private final StreamLog log;
    private final Map<String, PendingQuery> pendingQueries = new HashMap<>();
    private double lastQueryAtMs = Double.NEGATIVE_INFINITY;

    /** The last entry that was passed to {@link #acknowledgements} for tracking. */
    private long lastTracked;

    /** Since when this machine has led without interruption; infinite while it does not lead. */
    private double leaderSinceMs = Double.POSITIVE_INFINITY;

    /**
     * The leader's last entry, from its answer to a query sent at {@link #leaderStamp}; {@link
     * Long#MAX_VALUE} if there is no answer that this machine has yet to catch up with.
     */
    private long leaderHead = Long.MAX_VALUE;

    private double leaderStamp;

    public ControlMachine(Parts parts, Out out) {
        this.nowMs = parts.nowMs();
        this.out = out;
        retainedLog = new RetainedLog(parts.bounds());
        publisher = new Publisher(retainedLog, acknowledgements);
        log =
                new StreamLog(
                        new StreamLog.Parts(
                                parts.name(),
                                parts.controls(),
                                retainedLog,
                                parts.executor(),
                                parts.nowMs(),
                                parts.seed(),
                                parts.store(),
                                parts.restored(),
                                parts.snapshotEvery()),
                        out::sendToControl,
                        this::onLogAdvanced);
    }

    public void start() {
        log.start();
    }

    /** Stops the Raft node; its last writes are done when the returned future completes. */
    public CompletableFuture<?> stop() {
        return log.stop();
    }

    private void onLogAdvanced() {
        if (log == null) {
            // A restored snapshot is installed during construction: nobody is connected yet.
            return;
        }
        // Followers track entries too: the leader may be lost before all have acknowledged one.
        for (lastTracked = Math.max(lastTracked, retainedLog.base());
                lastTracked < retainedLog.head(); ) {
            acknowledgements.entryCommitted(nowMs.getAsDouble(), ++lastTracked);
        }
        publisher.onLogAdvanced(out);
        updateFreshness();
    }

    /** Does the periodic work; called every few tens of milliseconds. */
    public void tick(double now) {
        log.tick(now, this::leadershipConfirmed);
        leaderSinceMs = log.isLeader() ? Math.min(leaderSinceMs, now) : Double.POSITIVE_INFINITY;
        if (now - leaderSinceMs >= SUBSCRIBER_TIMEOUT_MS) {
            // A new leader first waits until the subscribers of the other machines have been
            // reported to it.
            acknowledgements.takeFullyAcknowledged(now).forEach(out::fullyAcknowledged);
        } else if (!log.isLeader()
                && now - lastQueryAtMs >= HEAD_QUERY_INTERVAL_MS
                && !log.leader().isEmpty()) {
            lastQueryAtMs = now;
            queryLeader(now, log.leader());
        }
        publisher.tick(now, out);
    }

    private static JsonObject message(String kind) {
        JsonObject json = new JsonObject();
        json.addProperty("t", kind);
        return json;
    }

    /**
     * Asks the leader for its last entry, and reports to it what this machine's subscribers have
     * acknowledged.
     */
    private void queryLeader(double now, String leader) {
        JsonObject query = message("how-far");
        query.addProperty("stamp", now);
        out.sendToControl(leader, query);
        List<Row> rows = acknowledgements.takeTally();
        for (int i = 0; i < rows.size(); i += MAX_ROWS_PER_MESSAGE) {
            JsonObject tally = message("tally");
            tally.addProperty(
                    "rows",
                    Base64.getEncoder()
                            .encodeToString(
                                    FrameCodec.encode(
                                            new Tally(
                                                    rows.subList(
                                                            i,
                                                            Math.min(
                                                                    rows.size(),
                                                                    i + MAX_ROWS_PER_MESSAGE))))));
            out.sendToControl(leader, tally);
        }
    }

    /**
     * A majority has confirmed that this machine led at that time, so all entries that were
     * committed by then are in its retained log. Answers the queries that arrived until then.
     */
    private void leadershipConfirmed(double at) {
        publisher.setFreshAsOf(at);
        pendingQueries.forEach(
                (name, query) -> {
                    if (query.at() <= at) {
                        JsonObject answer = message("so-far");
                        answer.addProperty("stamp", query.stamp());
                        answer.addProperty("head", retainedLog.head());
                        answer.addProperty(
                                "everywhere",
                                Math.min(acknowledgements.firstPending() - 1, retainedLog.head()));
                        out.sendToControl(name, answer);
                    }
                });
        pendingQueries.values().removeIf(query -> query.at() <= at);
    }

    /** Marks the view as fresh once it includes the leader's last entry at the time of asking. */
    private void updateFreshness() {
        if (retainedLog.head() >= leaderHead) {
            publisher.setFreshAsOf(leaderStamp);
            leaderHead = Long.MAX_VALUE;
        }
    }

    /** Handles a message from another control machine. */
    public void received(String from, JsonObject json) {
        if (log.received(from, json)) {
            return;
        }
        switch (json.get("t").getAsString()) {
            // Keeps the first unanswered query. If a later one replaced it, a machine that always
            // asks between the leader's query to the majority and the confirmation would never get
            // an answer.
            case "how-far" ->
                    pendingQueries.putIfAbsent(
                            from,
                            new PendingQuery(nowMs.getAsDouble(), json.get("stamp").getAsDouble()));
            case "so-far" -> {
                // A leader of an earlier version does not send "everywhere"; there only the leader
                // tracks entries, so all up to its head are dropped here.
                acknowledgements.fullyAcknowledgedUpTo(
                        json.has("everywhere")
                                ? json.get("everywhere").getAsLong()
                                : json.get("head").getAsLong());
                if (leaderHead == Long.MAX_VALUE) {
                    leaderHead = json.get("head").getAsLong();
                    leaderStamp = json.get("stamp").getAsDouble();
                }
                updateFreshness();
            }
            case "tally" -> {
                if (FrameCodec.decode(
                                ByteBuffer.wrap(
                                        Base64.getDecoder().decode(json.get("rows").getAsString())))
                        instanceof Tally tally) {
                    acknowledgements.addTally(nowMs.getAsDouble(), tally.rows());
                }
            }
            default ->
                    throw new IllegalArgumentException("unknown control message: " + json.get("t"));
        }
    }

    /** Handles a message of a subscriber on a connection. */
    public void received(long connection, Message message) {
        publisher.received(nowMs.getAsDouble(), connection, message, out);
    }

    /** Returns the publisher that serves this machine's subscribers. */
    public Publisher publisher() {
        return publisher;
    }

    /** Appends a change to the stream, as {@link StreamLog#append} does. */
    public void publish(Change change, Consumer<Long> callback) {
        log.append(change, callback);
    }

    /** Whether this machine leads the log. */
    public boolean isLeader() {
        return log.isLeader();
    }

    /**
     * Whether the Raft node has terminated, for example because its file could not be written. The
     * machine still serves the entries that it has; its subscribers see that its view becomes old
     * and switch to another machine.
     */
    public boolean isTerminated() {
        return log.isTerminated();
    }

    /** Returns the sequence number of the last entry. */
    public long head() {
        return retainedLog.head();
    }

    /** Returns the identifier of the stream; 0 before the stream has been created. */
    public long lineage() {
        return retainedLog.lineage();
    }

    /** Returns the sequence number of the last entry before the retained ones. */
    public long base() {
        return retainedLog.base();
    }

    /**
     * Returns the names of the subscribers that have not acknowledged an entry, and of those that
     * were not heard within the subscriber time-out. Complete on the leader only.
     */
    public List<String> laggingSubscribers(long seq) {
        double now = nowMs.getAsDouble();
        return Stream.concat(
                        acknowledgements.laggingSubscribers(now, seq).stream(),
                        acknowledgements.timedOutSubscribers(now).stream())
                .toList();
    }
}
