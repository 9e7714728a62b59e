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
 * Who has which entry: the confirmations of a control machine's own subscribers, and the tallies of
 * others. An entry is everywhere once all who are there have confirmed it. Whoever has not been
 * heard for {@code apartMs} is apart: it knows by then that its view is old ({@link
 * Subscriber#asOf}), is not waited for, and is named.
 */
public final class Acknowledgements {

    /** An entry that has come to be everywhere, and how long after it was committed. */
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
     * @param forgetMs who was silent for so long counts as replaced, and is named no more
     */
    public Acknowledgements(double timeoutMs, double retentionMs) {
        this.timeoutMs = timeoutMs;
        this.retentionMs = retentionMs;
    }

    /** A subscriber has confirmed all up to an entry; what is older than known moves nothing. */
    public void acknowledged(double now, String name, long seq) {
        SubscriberProgress before = subscribers.get(name);
        long acked = before == null ? seq : Math.max(before.acked(), seq);
        subscribers.put(name, new SubscriberProgress(acked, now));
        changedSinceTally.put(name, acked);
    }

    /** Another control machine's tally. */
    public void addTally(double now, List<Row> rows) {
        rows.forEach(r -> acknowledged(now, r.name(), r.acked()));
    }

    /** What has been heard since the last call: the tally for whoever sums. */
    public List<Row> takeTally() {
        Map<String, Long> changes = changedSinceTally;
        changedSinceTally = new HashMap<>();
        return changes.entrySet().stream().map(e -> new Row(e.getKey(), e.getValue())).toList();
    }

    /** An entry has been committed; its way is watched from now on. */
    public void entryCommitted(double now, long seq) {
        if (pending.size() < MAX_PENDING_ENTRIES) {
            pending.add(new PendingEntry(seq, now));
        }
    }

    /** Another control machine, which sums, has seen all up to an entry to be everywhere. */
    public void fullyAcknowledgedUpTo(long seq) {
        while (!pending.isEmpty() && pending.peek().seq() <= seq) {
            pending.remove();
        }
    }

    /** The first entry whose way is still watched; {@link Long#MAX_VALUE} where there is none. */
    public long firstPending() {
        return pending.isEmpty() ? Long.MAX_VALUE : pending.peek().seq();
    }

    /** The entries that have come to be everywhere since the last call. */
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

    /** The last entry that all have who are there; -1 where nobody is. */
    public long lowestAcknowledged(double now) {
        return subscribers.values().stream()
                .filter(k -> now - k.lastHeardAtMs() <= timeoutMs)
                .mapToLong(SubscriberProgress::acked)
                .min()
                .orElse(-1);
    }

    /** Those who are there and lack an entry, by name. */
    public List<String> laggingSubscribers(double now, long seq) {
        return subscribers.entrySet().stream()
                .filter(
                        e ->
                                now - e.getValue().lastHeardAtMs() <= timeoutMs
                                        && e.getValue().acked() < seq)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Those who have not been heard for a while, by name. */
    public List<String> timedOutSubscribers(double now) {
        return subscribers.entrySet().stream()
                .filter(e -> now - e.getValue().lastHeardAtMs() > timeoutMs)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** How many are there. */
    public int presentCount(double now) {
        return (int)
                subscribers.values().stream()
                        .filter(k -> now - k.lastHeardAtMs() <= timeoutMs)
                        .count();
    }
}
