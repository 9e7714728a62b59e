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
 * One control machine of the change stream but for its sockets and its file, so that it runs in
 * virtual time too: the log that it shares with the others, the window, and those it serves. The
 * one that leads takes changes and sums who has which; the others ask it how far the stream has
 * come, so that they can say how old their own view is. All calls are made on the executor's
 * thread.
 */
public final class ControlMachine {

    private static final double HEAD_QUERY_INTERVAL_MS = 200;
    private static final double SUBSCRIBER_TIMEOUT_MS = 2600;
    private static final double SUBSCRIBER_RETENTION_MS = 7_200_000;
    private static final int MAX_ROWS_PER_MESSAGE = 1000;

    /** What one is made of, as {@link StreamLog.Parts} says; {@code bounds} are the window's. */
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

    /** What it asks for. */
    public interface Out extends Publisher.PublisherActions {
        /** Sends to another control machine; what is lost is asked again. */
        void sendToControl(String control, JsonObject message);

        /** An entry has come to be everywhere; told where it leads. */
        void fullyAcknowledged(FullyAcknowledged entry);
    }

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

    /** The last entry whose way {@link #deliveries} was given to watch. */
    private long lastTracked;

    /** Since when it leads without a break; infinite while it does not. */
    private double leaderSinceMs = Double.POSITIVE_INFINITY;

    /** What the leader has said: its last entry when this one asked. */
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

    /** Ends it; what it writes last is written once the answer is there. */
    public CompletableFuture<?> stop() {
        return log.stop();
    }

    private void onLogAdvanced() {
        if (log == null) {
            // A snapshot that the start begins with: nobody is connected yet.
            return;
        }
        // Whether it leads or not: the one that leads may be lost before an entry is everywhere.
        for (lastTracked = Math.max(lastTracked, retainedLog.base());
                lastTracked < retainedLog.head(); ) {
            acknowledgements.entryCommitted(nowMs.getAsDouble(), ++lastTracked);
        }
        publisher.onLogAdvanced(out);
        updateFreshness();
    }

    /** Called every some ten milliseconds. */
    public void tick(double now) {
        log.tick(now, this::leadershipConfirmed);
        leaderSinceMs = log.isLeader() ? Math.min(leaderSinceMs, now) : Double.POSITIVE_INFINITY;
        if (now - leaderSinceMs >= SUBSCRIBER_TIMEOUT_MS) {
            // Before that, who is served by another machine may not have been heard of here.
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

    /** How far is it, and this is how far those have come whom this one serves. */
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
     * A majority has said that this one led at that time: all that was committed then is in its
     * window.
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

    private void updateFreshness() {
        if (retainedLog.head() >= leaderHead) {
            publisher.setFreshAsOf(leaderStamp);
            leaderHead = Long.MAX_VALUE;
        }
    }

    /** A message from another control machine. */
    public void received(String from, JsonObject json) {
        if (log.received(from, json)) {
            return;
        }
        switch (json.get("t").getAsString()) {
            // The first that has no answer yet: were it the last, one who asks in step with the
            // leader's own questions would never have one.
            case "how-far" ->
                    pendingQueries.putIfAbsent(
                            from,
                            new PendingQuery(nowMs.getAsDouble(), json.get("stamp").getAsDouble()));
            case "so-far" -> {
                // One of an earlier version says nothing of it and had none watched but its own.
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
            default -> throw new IllegalArgumentException("no such message: " + json.get("t"));
        }
    }

    /** A message of one whom it serves, on a connection. */
    public void received(long connection, Message message) {
        publisher.received(nowMs.getAsDouble(), connection, message, out);
    }

    /** Those it serves. */
    public Publisher publisher() {
        return publisher;
    }

    /** Adds a change, as {@link StreamLog#append} does. */
    public void publish(Change change, Consumer<Long> callback) {
        log.append(change, callback);
    }

    /** Whether it leads. */
    public boolean isLeader() {
        return log.isLeader();
    }

    /**
     * Whether it has ended by itself, as where its file can't be written. It serves what it has;
     * its readers see that it falls behind, and go.
     */
    public boolean isTerminated() {
        return log.isTerminated();
    }

    /** Its last entry. */
    public long head() {
        return retainedLog.head();
    }

    /** The stream's name; 0 before there is one. */
    public long lineage() {
        return retainedLog.lineage();
    }

    /** The last entry before those that it still holds. */
    public long base() {
        return retainedLog.base();
    }

    /**
     * Where it leads: those who lack an entry, and those who have not been heard for a while, by
     * name.
     */
    public List<String> laggingSubscribers(long seq) {
        double now = nowMs.getAsDouble();
        return Stream.concat(
                        acknowledgements.laggingSubscribers(now, seq).stream(),
                        acknowledgements.timedOutSubscribers(now).stream())
                .toList();
    }
}
