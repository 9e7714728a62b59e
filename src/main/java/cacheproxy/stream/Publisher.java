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
 * A control machine's part towards those it serves. Of each it keeps a cursor into the one {@link
 * Window} and what its reader allows: entries are sent only within that, so one who reads slowly,
 * or not at all, has a bounded number of bytes on the way, costs no memory here and holds nobody
 * else. A reader that is silent is left after three seconds.
 */
public final class Publisher {

    /** Bytes of entries that one frame should hold. */
    static final int TARGET_FRAME_BYTES = 4096;

    static final double IDLE_TIMEOUT_MS = 3000;

    /** What it asks for. */
    public interface PublisherActions {
        /** Sends on a connection. */
        void send(long connection, Message message);

        /** Ends a connection; {@link #closed} need not be called for it. */
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
     * The window holds all that was committed at this time; whoever asks is told how old that is.
     */
    public void setFreshAsOf(double asOfMs) {
        freshAsOfMs = Math.max(freshAsOfMs, asOfMs);
    }

    /** The window has grown, or begun anew. */
    public void onLogAdvanced(PublisherActions actions) {
        for (Map.Entry<Long, SubscriberConnection> e : List.copyOf(subscribers.entrySet())) {
            sendMissingEntries(e.getKey(), e.getValue(), actions);
        }
    }

    /** A message on a connection. */
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
                    "not expected here: " + message.getClass().getSimpleName(),
                    actions);
        }
    }

    private void subscribe(double now, long connection, Hello hello, PublisherActions actions) {
        if (retainedLog.lineage() == 0) {
            closeConnection(connection, "nothing to serve yet", actions);
            return;
        }
        Long previousConnection = connectionsByName.put(hello.name(), connection);
        if (previousConnection != null) {
            subscribers.remove(previousConnection);
            actions.close(previousConnection, "its owner has come again");
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

    /** Sends what a reader lacks, as far as it allows. */
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

    /** Whether a connection takes more now. */
    public void writabilityChanged(long connection, boolean writable, PublisherActions actions) {
        SubscriberConnection subscriber = subscribers.get(connection);
        if (subscriber != null) {
            subscriber.writable = writable;
            sendMissingEntries(connection, subscriber, actions);
        }
    }

    /** A connection has ended. */
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

    /** Called some times a second. */
    public void tick(double now, PublisherActions actions) {
        for (Map.Entry<Long, SubscriberConnection> e : List.copyOf(subscribers.entrySet())) {
            if (now - e.getValue().lastReceivedAtMs > IDLE_TIMEOUT_MS) {
                closeConnection(e.getKey(), "silent", actions);
            }
        }
    }

    /** How many it serves. */
    public int subscriberCount() {
        return subscribers.size();
    }
}
