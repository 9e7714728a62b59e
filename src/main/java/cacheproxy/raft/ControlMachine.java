package cacheproxy.raft;

import cacheproxy.stream.Change;
import cacheproxy.stream.Deliveries;
import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Frames;
import cacheproxy.stream.Message;
import cacheproxy.stream.Message.Row;
import cacheproxy.stream.Message.Tally;
import cacheproxy.stream.Publisher;
import cacheproxy.stream.Window;
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

    private static final double ASK_MS = 200;
    private static final double APART_MS = 2600;
    private static final double FORGET_MS = 7_200_000;
    private static final int MOST_ROWS = 1000;

    /** What one is made of, as {@link StreamLog.Parts} says; {@code bounds} are the window's. */
    public record Parts(
            String name,
            List<String> controls,
            Window.Bounds bounds,
            RaftNodeExecutor executor,
            DoubleSupplier nowMs,
            long seed,
            RaftStore store,
            RestoredRaftState restored,
            int snapshotEvery) {}

    /** What it asks for. */
    public interface Out extends Publisher.Out {
        /** Sends to another control machine; what is lost is asked again. */
        void tell(String control, JsonObject message);

        /** An entry has come to be everywhere; told where it leads. */
        void everywhere(Everywhere entry);
    }

    private record Asked(double at, double stamp) {}

    private final DoubleSupplier nowMs;
    private final Out out;
    private final Window window;
    private final Deliveries deliveries = new Deliveries(APART_MS, FORGET_MS);
    private final Publisher publisher;
    private final StreamLog log;
    private final Map<String, Asked> asked = new HashMap<>();
    private double askedAt = Double.NEGATIVE_INFINITY;

    /** The last entry whose way {@link #deliveries} was given to watch. */
    private long watched;

    /** Since when it leads without a break; infinite while it does not. */
    private double leadsSince = Double.POSITIVE_INFINITY;

    /** What the leader has said: its last entry when this one asked. */
    private long leadersHead = Long.MAX_VALUE;

    private double leadersStamp;

    public ControlMachine(Parts parts, Out out) {
        this.nowMs = parts.nowMs();
        this.out = out;
        window = new Window(parts.bounds());
        publisher = new Publisher(window, deliveries);
        log =
                new StreamLog(
                        new StreamLog.Parts(
                                parts.name(),
                                parts.controls(),
                                window,
                                parts.executor(),
                                parts.nowMs(),
                                parts.seed(),
                                parts.store(),
                                parts.restored(),
                                parts.snapshotEvery()),
                        out::tell,
                        this::advanced);
    }

    public void start() {
        log.start();
    }

    /** Ends it; what it writes last is written once the answer is there. */
    public CompletableFuture<?> stop() {
        return log.stop();
    }

    private void advanced() {
        if (log == null) {
            // A snapshot that the start begins with: nobody is connected yet.
            return;
        }
        // Whether it leads or not: the one that leads may be lost before an entry is everywhere.
        for (watched = Math.max(watched, window.base()); watched < window.head(); ) {
            deliveries.committed(nowMs.getAsDouble(), ++watched);
        }
        publisher.advanced(out);
        caughtUp();
    }

    /** Called every some ten milliseconds. */
    public void tick(double now) {
        log.tick(now, this::confirmed);
        leadsSince = log.leads() ? Math.min(leadsSince, now) : Double.POSITIVE_INFINITY;
        if (now - leadsSince >= APART_MS) {
            // Before that, who is served by another machine may not have been heard of here.
            deliveries.everywhere(now).forEach(out::everywhere);
        } else if (!log.leads() && now - askedAt >= ASK_MS && !log.leader().isEmpty()) {
            askedAt = now;
            ask(now, log.leader());
        }
        publisher.tick(now, out);
    }

    private static JsonObject message(String kind) {
        JsonObject o = new JsonObject();
        o.addProperty("t", kind);
        return o;
    }

    /** How far is it, and this is how far those have come whom this one serves. */
    private void ask(double now, String leader) {
        JsonObject question = message("how-far");
        question.addProperty("stamp", now);
        out.tell(leader, question);
        List<Row> heard = deliveries.heard();
        for (int i = 0; i < heard.size(); i += MOST_ROWS) {
            JsonObject tally = message("tally");
            tally.addProperty(
                    "rows",
                    Base64.getEncoder()
                            .encodeToString(
                                    Frames.encode(
                                            new Tally(
                                                    heard.subList(
                                                            i,
                                                            Math.min(
                                                                    heard.size(),
                                                                    i + MOST_ROWS))))));
            out.tell(leader, tally);
        }
    }

    /**
     * A majority has said that this one led at that time: all that was committed then is in its
     * window.
     */
    private void confirmed(double at) {
        publisher.fresh(at);
        asked.forEach(
                (name, a) -> {
                    if (a.at() <= at) {
                        JsonObject answer = message("so-far");
                        answer.addProperty("stamp", a.stamp());
                        answer.addProperty("head", window.head());
                        answer.addProperty(
                                "everywhere",
                                Math.min(deliveries.firstPending() - 1, window.head()));
                        out.tell(name, answer);
                    }
                });
        asked.values().removeIf(a -> a.at() <= at);
    }

    private void caughtUp() {
        if (window.head() >= leadersHead) {
            publisher.fresh(leadersStamp);
            leadersHead = Long.MAX_VALUE;
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
                    asked.putIfAbsent(
                            from, new Asked(nowMs.getAsDouble(), json.get("stamp").getAsDouble()));
            case "so-far" -> {
                // One of an earlier version says nothing of it and had none watched but its own.
                deliveries.settled(
                        json.has("everywhere")
                                ? json.get("everywhere").getAsLong()
                                : json.get("head").getAsLong());
                if (leadersHead == Long.MAX_VALUE) {
                    leadersHead = json.get("head").getAsLong();
                    leadersStamp = json.get("stamp").getAsDouble();
                }
                caughtUp();
            }
            case "tally" -> {
                if (Frames.decode(
                                ByteBuffer.wrap(
                                        Base64.getDecoder().decode(json.get("rows").getAsString())))
                        instanceof Tally t) {
                    deliveries.add(nowMs.getAsDouble(), t.rows());
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
    public void publish(Change change, Consumer<Long> then) {
        log.append(change, then);
    }

    /** Whether it leads. */
    public boolean leads() {
        return log.leads();
    }

    /**
     * Whether it has ended by itself, as where its file can't be written. It serves what it has;
     * its readers see that it falls behind, and go.
     */
    public boolean broken() {
        return log.broken();
    }

    /** Its last entry. */
    public long head() {
        return window.head();
    }

    /** The stream's name; 0 before there is one. */
    public long lineage() {
        return window.lineage();
    }

    /** The last entry before those that it still holds. */
    public long base() {
        return window.base();
    }

    /**
     * Where it leads: those who lack an entry, and those who have not been heard for a while, by
     * name.
     */
    public List<String> stragglers(long seq) {
        double now = nowMs.getAsDouble();
        return Stream.concat(deliveries.behind(now, seq).stream(), deliveries.apart(now).stream())
                .toList();
    }
}
