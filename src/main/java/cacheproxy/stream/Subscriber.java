package cacheproxy.stream;

import cacheproxy.measure.Hash;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Beat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Snapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * A proxy's part: one connection, to the control machine that rendezvous hashing names among those
 * that answer. What comes is applied in order and once; a gap ends the connection, and the next one
 * goes on from the cursor. Bytes of entries are allowed at a pace. It knows how old its view may be
 * without comparing clocks: it was current when it asked for the beat whose last entry it has, less
 * what the sender says of itself.
 */
public final class Subscriber {

    /** What it does with its connection and with what comes. */
    public interface Out {
        /**
         * Connects, and ends any earlier connection; all events of this one carry {@code attempt}.
         */
        void connect(String server, int attempt);

        /** Ends the connection; no event need follow. */
        void disconnect(int attempt);

        void send(Message message);

        /**
         * The next entries, in order; false where they could not be kept: they are not confirmed
         * then, and come again.
         */
        boolean apply(List<Entry> entries);

        /**
         * All that was kept from before counts as purged, and another configuration is in force;
         * false as above.
         */
        boolean reset(Snapshot snapshot);

        /** For the log. */
        void event(What what, String server);
    }

    /** What a log tells. */
    public enum What {
        CONNECTED,
        LOST,
        REFUSED,
        GAP,
        UNKEPT,
        STALE,
        HOME
    }

    /** Who it is, whom it may ask, and its pace; {@code random} spreads its reconnects. */
    public record Parts(
            String name,
            List<String> servers,
            double paceBytesPerS,
            double burstBytes,
            Random random) {}

    /**
     * A pace that leaves room for the largest change at once, and stays under 5,000 bytes a second
     * in any minute with all else on the connection.
     */
    public static final double PACE_BYTES_PER_S = 3000;

    public static final double BURST_BYTES = 24_576;

    static final double PING_MS = 500;
    static final double SILENT_MS = 1100;
    private static final double ACK_MS = 250;
    private static final double CONNECT_MS = 500;

    /** What moves at once comes to the others within this. */
    static final double SPREAD_MS = 200;

    private static final double AVOID_MS = 500;
    private static final double MOST_AVOID_MS = 8000;
    private static final int MOST_STALE_MOVES = 7;
    private static final double HOME_MS = 20_000;
    private static final double MOST_HOME_MS = 600_000;

    /** A control machine that has not heard of the log for so long is left for another. */
    private static final long STALE_MS = 2000;

    private static final double ALLOW_AGAIN = 0.125;

    private enum State {
        WAITING,
        CONNECTING,
        OPEN
    }

    private static final class Avoided {
        private double until = Double.NEGATIVE_INFINITY;
        private int failures;
    }

    private final Parts parts;
    private final Pace pace;
    private final Map<String, Avoided> avoided = new HashMap<>();
    private final List<String> ranked;

    private State state = State.WAITING;
    private String server;
    private int attempt;

    /** When the state is given up, or a wait is over. */
    private double until;

    private double homeAt = Double.POSITIVE_INFINITY;
    private double homeMs = HOME_MS;
    private int staleMoves;
    private double staleMoveAt = Double.NEGATIVE_INFINITY;

    private long lineage;
    private long applied;
    private double asOf = Double.NEGATIVE_INFINITY;

    /** The beat that waits for its entries: its last one, and the time that it speaks for. */
    private long awaited = -1;

    private double awaitedAsOf;

    private long takenBytes;
    private long toldAllowed;
    private long toldApplied;
    private double toldAt;
    private double pingedAt;
    private double heardAt;

    /**
     * @param lineage 0 for one that begins anew, as a process without a memory does; else it goes
     *     on after {@code applied}
     */
    public Subscriber(Parts parts, long lineage, long applied, double now) {
        this.parts = parts;
        this.lineage = lineage;
        this.applied = lineage == 0 ? -1 : applied;
        pace = new Pace(parts.paceBytesPerS(), parts.burstBytes(), now);
        parts.servers().forEach(s -> avoided.put(s, new Avoided()));
        long self = Hash.hashText(parts.name());
        ranked =
                parts.servers().stream()
                        .sorted((a, b) -> Long.compareUnsigned(weight(self, b), weight(self, a)))
                        .toList();
        until = now + parts.random().nextDouble() * SPREAD_MS;
    }

    private static long weight(long self, String server) {
        return Hash.mix(self ^ Hash.mix(Hash.hashText(server)));
    }

    /** The last entry that is applied here; -1 before the first snapshot. */
    public long applied() {
        return applied;
    }

    /** The stream's name; 0 before the first snapshot. */
    public long lineage() {
        return lineage;
    }

    /**
     * All that was committed up to this time is applied here; minus infinity where nothing is
     * known.
     */
    public double asOf() {
        return asOf;
    }

    /** Whom it is connected to; null in between. */
    public String server() {
        return state == State.OPEN ? server : null;
    }

    /** Called every some ten milliseconds. */
    public void tick(double now, Out out) {
        switch (state) {
            case WAITING -> {
                if (now >= until) {
                    connect(now, out);
                }
            }
            case CONNECTING -> {
                if (now >= until) {
                    leave(now, What.REFUSED, out);
                }
            }
            case OPEN -> open(now, out);
            default -> throw new IllegalStateException();
        }
    }

    private void open(double now, Out out) {
        if (now - heardAt > SILENT_MS) {
            leave(now, What.LOST, out);
        } else if (now >= homeAt) {
            homeMs = Math.min(MOST_HOME_MS, homeMs * 2);
            state = State.WAITING;
            until = now;
            out.disconnect(attempt);
            out.event(What.HOME, server);
        } else if (now - pingedAt >= PING_MS) {
            pingedAt = now;
            ack(now, Math.round(now), out);
        } else if (now - toldAt >= ACK_MS
                && (applied > toldApplied
                        || allowed(now) - toldAllowed >= parts.burstBytes() * ALLOW_AGAIN)) {
            ack(now, -1, out);
        }
    }

    private void connect(double now, Out out) {
        String next =
                ranked.stream().filter(s -> avoided.get(s).until <= now).findFirst().orElse(null);
        if (next == null) {
            until =
                    ranked.stream()
                            .mapToDouble(s -> avoided.get(s).until)
                            .min()
                            .orElse(now + AVOID_MS);
            return;
        }
        server = next;
        state = State.CONNECTING;
        until = now + CONNECT_MS;
        out.connect(server, ++attempt);
    }

    private long allowed(double now) {
        return takenBytes + pace.held(now);
    }

    private void ack(double now, long stamp, Out out) {
        toldAt = now;
        toldApplied = applied;
        toldAllowed = allowed(now);
        out.send(new Ack(applied, toldAllowed, stamp));
    }

    /** The connection has come up. */
    public void connected(double now, int attempt, Out out) {
        if (attempt != this.attempt || state != State.CONNECTING) {
            return;
        }
        state = State.OPEN;
        heardAt = now;
        takenBytes = 0;
        toldAllowed = allowed(now);
        toldApplied = applied;
        toldAt = now;
        // Drawn, so that those who came together do not ask together.
        pingedAt = now - parts.random().nextDouble() * PING_MS;
        if (server.equals(ranked.get(0))) {
            homeAt = Double.POSITIVE_INFINITY;
            homeMs = HOME_MS;
        } else {
            homeAt = now + homeMs * (1 + parts.random().nextDouble());
        }
        out.send(new Hello(parts.name(), lineage, applied, toldAllowed));
        out.event(What.CONNECTED, server);
    }

    /** The connection has ended, or has never come up. */
    public void closed(double now, int attempt, Out out) {
        if (attempt == this.attempt && state != State.WAITING) {
            lost(now, state == State.OPEN ? What.LOST : What.REFUSED, out);
        }
    }

    private void leave(double now, What why, Out out) {
        // First, as the end of a connection may be told from within.
        lost(now, why, out);
        out.disconnect(attempt);
    }

    /** For a while it goes elsewhere; the while grows with each time in a row. */
    private void lost(double now, What why, Out out) {
        Avoided a = avoided.get(server);
        double ms = Math.min(MOST_AVOID_MS, AVOID_MS * (1L << Math.min(a.failures, 8)));
        a.failures++;
        a.until = now + ms * (1 + parts.random().nextDouble()) / 2;
        state = State.WAITING;
        awaited = -1;
        until = now + (why == What.LOST ? parts.random().nextDouble() * SPREAD_MS : 0);
        out.event(why, server);
    }

    /** A message on the connection. */
    public void received(double now, int attempt, Message m, Out out) {
        if (attempt != this.attempt || state != State.OPEN) {
            return;
        }
        heardAt = now;
        int cost = Frames.costBytes(m);
        takenBytes += cost;
        pace.take(now, cost);
        if (m instanceof Batch b) {
            batch(now, b, out);
        } else if (m instanceof Snapshot s) {
            snapshot(now, s, out);
        } else if (m instanceof Beat b) {
            beat(now, b, out);
        } else {
            leave(now, What.GAP, out);
            return;
        }
        if (awaited >= 0 && applied >= awaited) {
            asOf = Math.max(asOf, awaitedAsOf);
            awaited = -1;
        }
    }

    private void snapshot(double now, Snapshot s, Out out) {
        if (s.lineage() == lineage && s.seq() <= applied) {
            return;
        }
        if (!out.reset(s)) {
            leave(now, What.UNKEPT, out);
            return;
        }
        lineage = s.lineage();
        applied = s.seq();
    }

    private void batch(double now, Batch b, Out out) {
        if (lineage == 0 || b.first() > applied + 1) {
            leave(now, What.GAP, out);
            return;
        }
        List<Entry> news = new ArrayList<>();
        for (int i = 0; i < b.changes().size(); i++) {
            long seq = b.first() + i;
            if (seq > applied) {
                news.add(new Entry(seq, b.changes().get(i)));
            }
        }
        if (!news.isEmpty() && out.apply(news)) {
            applied = news.get(news.size() - 1).seq();
        } else if (!news.isEmpty()) {
            leave(now, What.UNKEPT, out);
        }
    }

    private void beat(double now, Beat b, Out out) {
        if (b.ageMs() <= STALE_MS) {
            avoided.get(server).failures = 0;
            staleMoves = 0;
            staleMoveAt = Double.NEGATIVE_INFINITY;
        } else if (now >= staleMoveAt
                && ranked.stream()
                        .anyMatch(s -> !s.equals(server) && avoided.get(s).until <= now)) {
            // Where all are behind nobody may go in circles.
            staleMoveAt = now + AVOID_MS * (1L << Math.min(++staleMoves, MOST_STALE_MOVES));
            leave(now, What.STALE, out);
            return;
        }
        if (b.stamp() >= 0 && awaited < 0) {
            awaited = b.head();
            awaitedAsOf = b.stamp() - b.ageMs();
        }
    }
}
