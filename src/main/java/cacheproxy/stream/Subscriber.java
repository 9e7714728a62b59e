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
 * The proxy's side of a subscription: one connection, to the highest ranked control machine by
 * rendezvous hashing among those that respond. Entries are applied once and in order; after a gap
 * the connection is closed, and the next one continues from the cursor. A token bucket limits the
 * bytes of entries that the server may send. The age of the proxy's view is known without comparing
 * clocks: once the proxy has applied the last entry that a heartbeat names, its view is as of the
 * time at which it requested that heartbeat, minus the age that the server reports of its own view.
 */
public final class Subscriber {

    /** The effects that a subscriber asks its owner for. */
    public interface SubscriberActions {
        /**
         * Connects to a server and closes any earlier connection. All events of the new connection
         * carry {@code attempt}.
         */
        void connect(String server, int attempt);

        /** Closes the connection; {@link #closed} need not be called for it. */
        void disconnect(int attempt);

        void send(Message message);

        /**
         * Applies the next entries, in order.
         *
         * @return false if they could not be stored; then they are not acknowledged, and are sent
         *     again on the next connection
         */
        boolean apply(List<Entry> entries);

        /**
         * Treats everything cached so far as purged and puts the snapshot's configuration in force.
         *
         * @return false if the snapshot could not be stored
         */
        boolean reset(Snapshot snapshot);

        /** Reports an event for the log. */
        void event(SubscriberEvent event, String server);
    }

    /** Events of a subscription that are reported for the log. */
    public enum SubscriberEvent {
        CONNECTED,
        CONNECTION_LOST,
        CONNECT_FAILED,
        SEQUENCE_GAP,
        NOT_STORED,
        SERVER_STALE,
        RETURNING_TO_PREFERRED
    }

    /**
     * What a subscriber is made of.
     *
     * @param name the proxy's name
     * @param servers the names of the control machines
     * @param rateBytesPerS the long-term limit for bytes of entries per second
     * @param burstBytes how many bytes of entries may arrive at once
     * @param random spreads reconnects and heartbeat requests of many proxies over time
     */
    public record Parts(
            String name,
            List<String> servers,
            double rateBytesPerS,
            double burstBytes,
            Random random) {}

    /**
     * Rate limit for entries. Together with {@link #BURST_BYTES} it leaves capacity for the largest
     * change at once, and keeps the connection below 5,000 bytes per second in any minute, all
     * other messages included.
     */
    public static final double RATE_BYTES_PER_S = 3000;

    public static final double BURST_BYTES = 24_576;

    /** How often a heartbeat is requested. */
    static final double PING_INTERVAL_MS = 500;

    /** A server that sends nothing for this long is left. */
    static final double SERVER_TIMEOUT_MS = 1100;

    /** The minimum time between an acknowledgement and the next one without a heartbeat request. */
    private static final double ACK_INTERVAL_MS = 250;

    private static final double CONNECT_TIMEOUT_MS = 500;

    /** Proxies that lose their server at the same time reconnect spread over this period. */
    static final double MAX_CONNECT_JITTER_MS = 200;

    private static final double INITIAL_BACKOFF_MS = 500;
    private static final double MAX_BACKOFF_MS = 8000;
    private static final int MAX_STALE_SWITCH_DOUBLINGS = 7;

    /** How long a proxy stays with a lower ranked server before it tries the highest ranked one. */
    private static final double INITIAL_RETURN_DELAY_MS = 20_000;

    private static final double MAX_RETURN_DELAY_MS = 600_000;

    /** A server whose own view of the log is older than this is left for another. */
    private static final long MAX_SERVER_AGE_MS = 2000;

    /** The allowance is announced again once it has grown by this fraction of the burst. */
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

    /** When a wait ends or a connection attempt times out, in milliseconds of the clock. */
    private double stateEndsAtMs;

    private double returnAtMs = Double.POSITIVE_INFINITY;
    private double returnDelayMs = INITIAL_RETURN_DELAY_MS;
    private int staleSwitches;
    private double nextStaleSwitchAtMs = Double.NEGATIVE_INFINITY;

    private long lineage;
    private long applied;
    private double asOf = Double.NEGATIVE_INFINITY;

    /** The last entry of a heartbeat whose entries have not all been applied; -1 for none. */
    private long awaitedSeq = -1;

    /** The time as of which the view is current once {@link #awaitedSeq} is applied. */
    private double awaitedAsOf;

    private long receivedBytes;
    private long lastAckAllowedBytes;
    private long lastAckApplied;
    private double lastAckAtMs;
    private double lastPingAtMs;
    private double lastReceivedAtMs;

    /**
     * @param lineage the identifier of the stream to continue after {@code applied}; 0 for a
     *     subscriber that starts without stored state
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

    /** Returns the last entry that is applied here; -1 before the first snapshot. */
    public long applied() {
        return applied;
    }

    /** Returns the identifier of the stream; 0 before the first snapshot. */
    public long lineage() {
        return lineage;
    }

    /**
     * Returns the time up to which all committed entries are applied here, in milliseconds of this
     * proxy's clock; minus infinity if that is not known.
     */
    public double asOf() {
        return asOf;
    }

    /** Returns the server that this subscriber is connected to; null if there is none. */
    public String server() {
        return state == State.OPEN ? server : null;
    }

    /** Does the periodic work; called every few tens of milliseconds. */
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

    /** Handles an established connection. */
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
        // Random, so that proxies that connected together do not request heartbeats together.
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

    /** Handles the end of a connection, or a connection attempt that failed. */
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
        // Before disconnect(), which may call closed() before it returns.
        scheduleReconnect(now, reason, actions);
        actions.disconnect(attempt);
    }

    /** Avoids the current server for a time that doubles with each consecutive failure. */
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

    /** Handles a message on the connection. */
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
            // The time until the next switch doubles each time, so that subscribers do not cycle
            // through the servers when the view of all of them is old.
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
