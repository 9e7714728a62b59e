package cacheproxy.stream;

import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Heartbeat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Snapshot;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The control machine's side of the subscriptions. For each subscriber it stores a cursor into the
 * shared {@link RetainedLog} and the subscriber's byte allowance. Entries are sent only within that
 * allowance, so a slow or stalled subscriber has a bounded number of bytes in flight, needs no
 * buffer here and does not delay the others. A subscriber that sends nothing for three seconds is
 * disconnected.
 */
public final class Publisher {

    /** Target size of the entries in one frame; only a single longer entry may exceed it. */
    static final int TARGET_FRAME_BYTES = 4096;

    /** A subscriber that sends nothing for this long is disconnected. */
    static final double IDLE_TIMEOUT_MS = 3000;

    /** The effects that a publisher asks its owner for. */
    public interface PublisherActions {
        /** Sends a message on a connection. */
        void send(long connection, Message message);

        /** Closes a connection; {@link #closed} need not be called for it. */
        void close(long connection, String reason);
    }

    private static final class SubscriberConnection {
        private final String name;
        private long cursor;
        private boolean otherLineage;
        private long allowedBytes;
        private long sentBytes;
        private double lastReceivedAtMs;
        private boolean writable = true;

        SubscriberConnection(String name) {
            this.name = name;
        }
    }

    private final RetainedLog retainedLog;
    private final Acknowledgements acknowledgements;
    private final Map<Long, SubscriberConnection> subscribers = new LinkedHashMap<>();
    private final Map<String, Long> connectionsByName = new LinkedHashMap<>();
    private double freshAsOfMs = Double.NEGATIVE_INFINITY;

    public Publisher(RetainedLog retainedLog, Acknowledgements acknowledgements) {
        this.retainedLog = retainedLog;
        this.acknowledgements = acknowledgements;
    }

    /**
     * Records that the retained log contains all entries that were committed at this time.
     * Heartbeats report how long ago that is.
     */
    public void setFreshAsOf(double asOfMs) {
        freshAsOfMs = Math.max(freshAsOfMs, asOfMs);
    }

    /** Sends new entries after the retained log has grown or has been replaced by a snapshot. */
    public void onLogAdvanced(PublisherActions actions) {
        for (Map.Entry<Long, SubscriberConnection> e : List.copyOf(subscribers.entrySet())) {
            sendMissingEntries(e.getKey(), e.getValue(), actions);
        }
    }

    /** Handles a message on a connection. */
    public void received(double now, long connection, Message message, PublisherActions actions) {
        SubscriberConnection subscriber = subscribers.get(connection);
        if (message instanceof Hello h && subscriber == null) {
            subscribe(now, connection, h, actions);
        } else if (message instanceof Ack a && subscriber != null) {
            subscriber.lastReceivedAtMs = now;
            subscriber.allowedBytes = Math.max(subscriber.allowedBytes, a.allowedBytes());
            acknowledgements.acknowledged(now, subscriber.name, a.applied());
            if (a.stamp() >= 0) {
                sendHeartbeat(now, connection, a.stamp(), actions);
            }
            sendMissingEntries(connection, subscriber, actions);
        } else {
            closeConnection(
                    connection,
                    "unexpected message " + message.getClass().getSimpleName(),
                    actions);
        }
    }

    private void subscribe(double now, long connection, Hello hello, PublisherActions actions) {
        if (retainedLog.lineage() == 0) {
            closeConnection(connection, "change stream has no entries yet", actions);
            return;
        }
        Long previousConnection = connectionsByName.put(hello.name(), connection);
        if (previousConnection != null) {
            subscribers.remove(previousConnection);
            actions.close(
                    previousConnection, "replaced by a newer connection of the same subscriber");
        }
        SubscriberConnection subscriber = new SubscriberConnection(hello.name());
        subscriber.cursor = hello.cursor();
        subscriber.otherLineage = hello.lineage() != retainedLog.lineage();
        subscriber.allowedBytes = hello.allowedBytes();
        subscriber.lastReceivedAtMs = now;
        subscribers.put(connection, subscriber);
        if (!subscriber.otherLineage) {
            acknowledgements.acknowledged(now, hello.name(), hello.cursor());
        }
        sendHeartbeat(now, connection, -1, actions);
        sendMissingEntries(connection, subscriber, actions);
    }

    private void sendHeartbeat(double now, long connection, long stamp, PublisherActions actions) {
        long ageMs =
                freshAsOfMs == Double.NEGATIVE_INFINITY
                        ? Integer.MAX_VALUE
                        : Math.max(0, Math.round(now - freshAsOfMs));
        actions.send(connection, new Heartbeat(stamp, retainedLog.head(), ageMs));
    }

    /** Sends the entries that a subscriber lacks, within its byte allowance. */
    private void sendMissingEntries(
            long connection, SubscriberConnection subscriber, PublisherActions actions) {
        while (subscriber.writable && subscribers.get(connection) == subscriber) {
            long remainingBytes = subscriber.allowedBytes - subscriber.sentBytes;
            Message next;
            if (subscriber.otherLineage || !retainedLog.canContinueFrom(subscriber.cursor)) {
                Snapshot snapshot = retainedLog.endSnapshot();
                if (FrameCodec.costBytes(snapshot) > remainingBytes) {
                    return;
                }
                subscriber.otherLineage = false;
                subscriber.cursor = snapshot.seq();
                next = snapshot;
            } else {
                List<Change> changes =
                        retainedLog.changesAfter(
                                subscriber.cursor,
                                TARGET_FRAME_BYTES,
                                remainingBytes - FrameCodec.FRAME_OVERHEAD_BYTES);
                if (changes.isEmpty()) {
                    return;
                }
                next = new Batch(subscriber.cursor + 1, changes);
                subscriber.cursor += changes.size();
            }
            subscriber.sentBytes += FrameCodec.costBytes(next);
            actions.send(connection, next);
        }
    }

    /** Notes whether a connection accepts more data, and sends missing entries if it does. */
    public void writabilityChanged(long connection, boolean writable, PublisherActions actions) {
        SubscriberConnection subscriber = subscribers.get(connection);
        if (subscriber != null) {
            subscriber.writable = writable;
            sendMissingEntries(connection, subscriber, actions);
        }
    }

    /** Removes the subscriber of a connection that was closed. */
    public void closed(long connection) {
        SubscriberConnection subscriber = subscribers.remove(connection);
        if (subscriber != null) {
            connectionsByName.remove(subscriber.name, connection);
        }
    }

    private void closeConnection(long connection, String reason, PublisherActions actions) {
        closed(connection);
        actions.close(connection, reason);
    }

    /** Disconnects silent subscribers; called several times per second. */
    public void tick(double now, PublisherActions actions) {
        for (Map.Entry<Long, SubscriberConnection> e : List.copyOf(subscribers.entrySet())) {
            if (now - e.getValue().lastReceivedAtMs > IDLE_TIMEOUT_MS) {
                closeConnection(e.getKey(), "no message within the idle time-out", actions);
            }
        }
    }

    /** Returns the number of connected subscribers. */
    public int subscriberCount() {
        return subscribers.size();
    }
}
