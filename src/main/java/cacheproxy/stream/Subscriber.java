package cacheproxy.stream;

import cacheproxy.measure.Hash;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Heartbeat;
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
    public interface SubscriberActions {
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
        void event(SubscriberEvent event, String server);
    }

    /** What a log tells. */
    public enum SubscriberEvent {
        CONNECTED,
        CONNECTION_LOST,
        CONNECT_FAILED,
        SEQUENCE_GAP,
        NOT_STORED,
        SERVER_STALE,
        RETURNING_TO_PREFERRED
    }

    /** Who it is, whom it may ask, and its pace; {@code random} spreads its reconnects. */
    public record Parts(
            String name,
            List<String> servers,
            double rateBytesPerS,
            double burstBytes,
            Random random) {}

    /**
     * A pace that leaves room for the largest change at once, and stays under 5,000 bytes a second
     * in any minute with all else on the connection.
     */
    public static final double RATE_BYTES_PER_S = 3000;

    public static final double BURST_BYTES = 24_576;

    static final double PING_INTERVAL_MS = 500;
    static final double SERVER_TIMEOUT_MS = 1100;
    private static final double ACK_INTERVAL_MS = 250;
    private static final double CONNECT_TIMEOUT_MS = 500;

    /** What moves at once comes to the others within this. */
    static final double MAX_CONNECT_JITTER_MS = 200;

    private static final double INITIAL_BACKOFF_MS = 500;
    private static final double MAX_BACKOFF_MS = 8000;
    private static final int MAX_STALE_SWITCH_DOUBLINGS = 7;
    private static final double INITIAL_RETURN_DELAY_MS = 20_000;
    private static final double MAX_RETURN_DELAY_MS = 600_000;

    /** A control machine that has not heard of the log for so long is left for another. */
    private static final long MAX_SERVER_AGE_MS = 2000;

    private static final double ALLOWANCE_UPDATE_FRACTION = 0.125;

    private enum State {
        WAITING,
        CONNECTING,
        OPEN
    }

    private static final class ServerBackoff {
        private double untilMs = Double.NEGATIVE_INFINITY;
        private int failures;
    }

    private final Parts parts;
    private final ByteTokenBucket tokenBucket;
    private final Map<String, ServerBackoff> backoffs = new HashMap<>();
    private final List<String> rankedServers;

    private State state = State.WAITING;
    private String server;
    private int attempt;

    /** When the state is given up, or a wait is over. */
    private double stateEndsAtMs;

    private double returnAtMs = Double.POSITIVE_INFINITY;
    private double returnDelayMs = INITIAL_RETURN_DELAY_MS;
    private int staleSwitches;
    private double nextStaleSwitchAtMs = Double.NEGATIVE_INFINITY;

    private long lineage;
    private long applied;
    private double asOf = Double.NEGATIVE_INFINITY;

    /** The beat that waits for its entries: its last one, and the time that it speaks for. */
    private long awaitedSeq = -1;

    private double awaitedAsOf;

    private long receivedBytes;
    private long lastAckAllowedBytes;
    private long lastAckApplied;
    private double lastAckAtMs;
    private double lastPingAtMs;
    private double lastReceivedAtMs;

    /**
     * @param lineage 0 for one that begins anew, as a process without a memory does; else it goes
     *     on after {@code applied}
     */
    public Subscriber(Parts parts, long lineage, long applied, double now) {
        this.parts = parts;
        this.lineage = lineage;
        this.applied = lineage == 0 ? -1 : applied;
        tokenBucket = new ByteTokenBucket(parts.rateBytesPerS(), parts.burstBytes(), now);
        parts.servers().forEach(s -> backoffs.put(s, new ServerBackoff()));
        long ownHash = Hash.hashText(parts.name());
        rankedServers =
                parts.servers().stream()
                        .sorted(
                                (a, b) ->
                                        Long.compareUnsigned(
                                                weight(ownHash, b), weight(ownHash, a)))
                        .toList();
        stateEndsAtMs = now + parts.random().nextDouble() * MAX_CONNECT_JITTER_MS;
    }

    private static long weight(long ownHash, String server) {
        return Hash.mix(ownHash ^ Hash.mix(Hash.hashText(server)));
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
    public void tick(double now, SubscriberActions actions) {
        switch (state) {
            case WAITING -> {
                if (now >= stateEndsAtMs) {
                    connectToNextServer(now, actions);
                }
            }
            case CONNECTING -> {
                if (now >= stateEndsAtMs) {
                    abandonConnection(now, SubscriberEvent.CONNECT_FAILED, actions);
                }
            }
            case OPEN -> tickOpen(now, actions);
            default -> throw new IllegalStateException();
        }
    }

    private void tickOpen(double now, SubscriberActions actions) {
        if (now - lastReceivedAtMs > SERVER_TIMEOUT_MS) {
            abandonConnection(now, SubscriberEvent.CONNECTION_LOST, actions);
        } else if (now >= returnAtMs) {
            returnDelayMs = Math.min(MAX_RETURN_DELAY_MS, returnDelayMs * 2);
            state = State.WAITING;
            stateEndsAtMs = now;
            actions.disconnect(attempt);
            actions.event(SubscriberEvent.RETURNING_TO_PREFERRED, server);
        } else if (now - lastPingAtMs >= PING_INTERVAL_MS) {
            lastPingAtMs = now;
            sendAck(now, Math.round(now), actions);
        } else if (now - lastAckAtMs >= ACK_INTERVAL_MS
                && (applied > lastAckApplied
                        || allowedBytes(now) - lastAckAllowedBytes
                                >= parts.burstBytes() * ALLOWANCE_UPDATE_FRACTION)) {
            sendAck(now, -1, actions);
        }
    }

    private void connectToNextServer(double now, SubscriberActions actions) {
        String next =
                rankedServers.stream()
                        .filter(s -> backoffs.get(s).untilMs <= now)
                        .findFirst()
                        .orElse(null);
        if (next == null) {
            stateEndsAtMs =
                    rankedServers.stream()
                            .mapToDouble(s -> backoffs.get(s).untilMs)
                            .min()
                            .orElse(now + INITIAL_BACKOFF_MS);
            return;
        }
        server = next;
        state = State.CONNECTING;
        stateEndsAtMs = now + CONNECT_TIMEOUT_MS;
        actions.connect(server, ++attempt);
    }

    private long allowedBytes(double now) {
        return receivedBytes + tokenBucket.available(now);
    }

    private void sendAck(double now, long stamp, SubscriberActions actions) {
        lastAckAtMs = now;
        lastAckApplied = applied;
        lastAckAllowedBytes = allowedBytes(now);
        actions.send(new Ack(applied, lastAckAllowedBytes, stamp));
    }

    /** The connection has come up. */
    public void connected(double now, int attempt, SubscriberActions actions) {
        if (attempt != this.attempt || state != State.CONNECTING) {
            return;
        }
        state = State.OPEN;
        lastReceivedAtMs = now;
        receivedBytes = 0;
        lastAckAllowedBytes = allowedBytes(now);
        lastAckApplied = applied;
        lastAckAtMs = now;
        // Drawn, so that those who came together do not ask together.
        lastPingAtMs = now - parts.random().nextDouble() * PING_INTERVAL_MS;
        if (server.equals(rankedServers.get(0))) {
            returnAtMs = Double.POSITIVE_INFINITY;
            returnDelayMs = INITIAL_RETURN_DELAY_MS;
        } else {
            returnAtMs = now + returnDelayMs * (1 + parts.random().nextDouble());
        }
        actions.send(new Hello(parts.name(), lineage, applied, lastAckAllowedBytes));
        actions.event(SubscriberEvent.CONNECTED, server);
    }

    /** The connection has ended, or has never come up. */
    public void closed(double now, int attempt, SubscriberActions actions) {
        if (attempt == this.attempt && state != State.WAITING) {
            scheduleReconnect(
                    now,
                    state == State.OPEN
                            ? SubscriberEvent.CONNECTION_LOST
                            : SubscriberEvent.CONNECT_FAILED,
                    actions);
        }
    }

    private void abandonConnection(double now, SubscriberEvent reason, SubscriberActions actions) {
        // First, as the end of a connection may be told from within.
        scheduleReconnect(now, reason, actions);
        actions.disconnect(attempt);
    }

    /** For a while it goes elsewhere; the while grows with each time in a row. */
    private void scheduleReconnect(double now, SubscriberEvent reason, SubscriberActions actions) {
        ServerBackoff backoff = backoffs.get(server);
        double backoffMs =
                Math.min(
                        MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * (1L << Math.min(backoff.failures, 8)));
        backoff.failures++;
        backoff.untilMs = now + backoffMs * (1 + parts.random().nextDouble()) / 2;
        state = State.WAITING;
        awaitedSeq = -1;
        stateEndsAtMs =
                now
                        + (reason == SubscriberEvent.CONNECTION_LOST
                                ? parts.random().nextDouble() * MAX_CONNECT_JITTER_MS
                                : 0);
        actions.event(reason, server);
    }

    /** A message on the connection. */
    public void received(double now, int attempt, Message message, SubscriberActions actions) {
        if (attempt != this.attempt || state != State.OPEN) {
            return;
        }
        lastReceivedAtMs = now;
        int cost = FrameCodec.costBytes(message);
        receivedBytes += cost;
        tokenBucket.take(now, cost);
        if (message instanceof Batch b) {
            applyBatch(now, b, actions);
        } else if (message instanceof Snapshot s) {
            applySnapshot(now, s, actions);
        } else if (message instanceof Heartbeat b) {
            heartbeatReceived(now, b, actions);
        } else {
            abandonConnection(now, SubscriberEvent.SEQUENCE_GAP, actions);
            return;
        }
        if (awaitedSeq >= 0 && applied >= awaitedSeq) {
            asOf = Math.max(asOf, awaitedAsOf);
            awaitedSeq = -1;
        }
    }

    private void applySnapshot(double now, Snapshot snapshot, SubscriberActions actions) {
        if (snapshot.lineage() == lineage && snapshot.seq() <= applied) {
            return;
        }
        if (!actions.reset(snapshot)) {
            abandonConnection(now, SubscriberEvent.NOT_STORED, actions);
            return;
        }
        lineage = snapshot.lineage();
        applied = snapshot.seq();
    }

    private void applyBatch(double now, Batch batch, SubscriberActions actions) {
        if (lineage == 0 || batch.firstSeq() > applied + 1) {
            abandonConnection(now, SubscriberEvent.SEQUENCE_GAP, actions);
            return;
        }
        List<Entry> newEntries = new ArrayList<>();
        for (int i = 0; i < batch.changes().size(); i++) {
            long seq = batch.firstSeq() + i;
            if (seq > applied) {
                newEntries.add(new Entry(seq, batch.changes().get(i)));
            }
        }
        if (!newEntries.isEmpty() && actions.apply(newEntries)) {
            applied = newEntries.get(newEntries.size() - 1).seq();
        } else if (!newEntries.isEmpty()) {
            abandonConnection(now, SubscriberEvent.NOT_STORED, actions);
        }
    }

    private void heartbeatReceived(double now, Heartbeat heartbeat, SubscriberActions actions) {
        if (heartbeat.ageMs() <= MAX_SERVER_AGE_MS) {
            backoffs.get(server).failures = 0;
            staleSwitches = 0;
            nextStaleSwitchAtMs = Double.NEGATIVE_INFINITY;
        } else if (now >= nextStaleSwitchAtMs
                && rankedServers.stream()
                        .anyMatch(s -> !s.equals(server) && backoffs.get(s).untilMs <= now)) {
            // Where all are behind nobody may go in circles.
            nextStaleSwitchAtMs =
                    now
                            + INITIAL_BACKOFF_MS
                                    * (1L << Math.min(++staleSwitches, MAX_STALE_SWITCH_DOUBLINGS));
            abandonConnection(now, SubscriberEvent.SERVER_STALE, actions);
            return;
        }
        if (heartbeat.stamp() >= 0 && awaitedSeq < 0) {
            awaitedSeq = heartbeat.head();
            awaitedAsOf = heartbeat.stamp() - heartbeat.ageMs();
        }
    }
}
