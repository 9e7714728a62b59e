package cacheproxy.stream;

import cacheproxy.stream.Message.Row;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks which subscriber has acknowledged which entry, from the acknowledgements of a control
 * machine's own subscribers and the tallies of other control machines. An entry is fully
 * acknowledged once all present subscribers have acknowledged it. A subscriber that was not heard
 * for {@code timeoutMs} is not present: by then it knows that its own view is old ({@link
 * Subscriber#asOf}), so it is not waited for, and it is reported by name.
 */
public final class Acknowledgements {

    /**
     * An entry that all present subscribers have acknowledged.
     *
     * @param latencyMs the time from its commit to the last acknowledgement, in milliseconds
     */
    public record FullyAcknowledged(long seq, double latencyMs) {}

    private record SubscriberProgress(long acked, double lastHeardAtMs) {}

    private record PendingEntry(long seq, double committedAtMs) {}

    private static final int MAX_PENDING_ENTRIES = 4096;

    private final double timeoutMs;
    private final double retentionMs;
    private final Map<String, SubscriberProgress> subscribers = new TreeMap<>();
    private final Deque<PendingEntry> pending = new ArrayDeque<>();
    private Map<String, Long> changedSinceTally = new HashMap<>();

    /**
     * @param timeoutMs a subscriber that was not heard for this long is not waited for
     * @param retentionMs a subscriber that was not heard for this long counts as replaced and is
     *     removed
     */
    public Acknowledgements(double timeoutMs, double retentionMs) {
        this.timeoutMs = timeoutMs;
        this.retentionMs = retentionMs;
    }

    /**
     * Records that a subscriber has acknowledged all entries up to {@code seq}. A lower number than
     * an earlier one only counts as a sign of life.
     */
    public void acknowledged(double now, String name, long seq) {
        SubscriberProgress before = subscribers.get(name);
        long acked = before == null ? seq : Math.max(before.acked(), seq);
        subscribers.put(name, new SubscriberProgress(acked, now));
        changedSinceTally.put(name, acked);
    }

    /** Adds the acknowledgements in another control machine's tally. */
    public void addTally(double now, List<Row> rows) {
        rows.forEach(r -> acknowledged(now, r.name(), r.acked()));
    }

    /** Returns the acknowledgements since the last call, as a tally for the leader. */
    public List<Row> takeTally() {
        Map<String, Long> changes = changedSinceTally;
        changedSinceTally = new HashMap<>();
        return changes.entrySet().stream().map(e -> new Row(e.getKey(), e.getValue())).toList();
    }

    /** Starts tracking an entry that has been committed. */
    public void entryCommitted(double now, long seq) {
        if (pending.size() < MAX_PENDING_ENTRIES) {
            pending.add(new PendingEntry(seq, now));
        }
    }

    /** Stops tracking the entries up to {@code seq}, which the leader reports as acknowledged. */
    public void fullyAcknowledgedUpTo(long seq) {
        while (!pending.isEmpty() && pending.peek().seq() <= seq) {
            pending.remove();
        }
    }

    /** Returns the first entry that is still tracked; {@link Long#MAX_VALUE} if there is none. */
    public long firstPending() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.peek().seq();
    }

    /** Returns the entries that have become fully acknowledged since the last call. */
    public List<FullyAcknowledged> takeFullyAcknowledged(double now) {
        subscribers.values().removeIf(k -> now - k.lastHeardAtMs() > retentionMs);
        long lowest = lowestAcknowledged(now);
        List<FullyAcknowledged> found = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().seq() <= lowest) {
            PendingEntry entry = pending.remove();
            found.add(new FullyAcknowledged(entry.seq(), now - entry.committedAtMs()));
        }
        return found;
    }

    /** Returns the last entry that all present subscribers have acknowledged; -1 without any. */
    public long lowestAcknowledged(double now) {
        return subscribers.values().stream()
                .filter(k -> now - k.lastHeardAtMs() <= timeoutMs)
                .mapToLong(SubscriberProgress::acked)
                .min()
                .orElse(-1);
    }

    /** Returns the names of the present subscribers that have not acknowledged an entry. */
    public List<String> laggingSubscribers(double now, long seq) {
        return subscribers.entrySet().stream()
                .filter(
                        e ->
                                now - e.getValue().lastHeardAtMs() <= timeoutMs
                                        && e.getValue().acked() < seq)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the names of the subscribers that were not heard within the time-out. */
    public List<String> timedOutSubscribers(double now) {
        return subscribers.entrySet().stream()
                .filter(e -> now - e.getValue().lastHeardAtMs() > timeoutMs)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the number of subscribers that were heard within the time-out. */
    public int presentCount(double now) {
        return (int)
                subscribers.values().stream()
                        .filter(k -> now - k.lastHeardAtMs() <= timeoutMs)
                        .count();
    }
}
