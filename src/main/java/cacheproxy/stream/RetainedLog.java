package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Snapshot;
import java.util.ArrayList;
import java.util.List;

/**
 * The latest entries of the stream, within limits for their number and bytes, and the epoch that
 * was in force before the first of them. A subscriber that lacks an entry that is no longer
 * retained receives a {@link Snapshot} of the end. All subscribers share one copy; each is
 * represented by a cursor.
 */
public final class RetainedLog {

    /** Limits of the retained log; when either is exceeded the older half is evicted. */
    public record Bounds(int maxEntries, long maxBytes) {}

    private final Bounds bounds;
    private final ArrayList<Entry> entries = new ArrayList<>();
    private long lineage;
    private long base;
    private Epoch baseEpoch = Epoch.NONE;
    private Epoch epoch = Epoch.NONE;
    private long bytes;

    /** Creates an empty log that belongs to no stream yet. */
    public RetainedLog(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Discards all entries and the identity of their stream, and starts at a snapshot. */
    public void reset(Snapshot snapshot) {
        entries.clear();
        bytes = 0;
        lineage = snapshot.lineage();
        base = snapshot.seq();
        baseEpoch = snapshot.epoch();
        epoch = snapshot.epoch();
    }

    /**
     * Appends the next entry.
     *
     * @throws IllegalArgumentException if its number is not the next one, because a gap would pass
     *     unnoticed to the subscribers
     */
    public void append(Entry entry) {
        if (lineage == 0 || entry.seq() != head() + 1) {
            throw new IllegalArgumentException(
                    "change-stream entry "
                            + entry.seq()
                            + " does not follow entry "
                            + head()
                            + (lineage == 0 ? " (no stream yet)" : ""));
        }
        entries.add(entry);
        bytes += FrameCodec.encodedBytes(entry.change());
        if (entry.change() instanceof Epoch next) {
            epoch = next;
        }
        if (entries.size() > bounds.maxEntries() || bytes > bounds.maxBytes()) {
            evictOlderHalf();
        }
    }

    private void evictOlderHalf() {
        List<Entry> old = entries.subList(0, (entries.size() + 1) / 2);
        for (Entry entry : old) {
            bytes -= FrameCodec.encodedBytes(entry.change());
            if (entry.change() instanceof Epoch evicted) {
                baseEpoch = evicted;
            }
        }
        base += old.size();
        old.clear();
    }

    /**
     * Returns the identifier of the stream, which tells its cursors from those into another stream;
     * 0 if this log belongs to no stream yet.
     */
    public long lineage() {
        return lineage;
    }

    /** Returns the sequence number of the last entry before the retained ones. */
    public long base() {
        return base;
    }

    /** Returns the sequence number of the last entry. */
    public long head() {
        return base + entries.size();
    }

    /** Returns a snapshot of the state before the first retained entry. */
    public Snapshot startSnapshot() {
        return new Snapshot(lineage, base, baseEpoch);
    }

    /** Returns a snapshot of the state after the last entry, for subscribers too far behind. */
    public Snapshot endSnapshot() {
        return new Snapshot(lineage, head(), epoch);
    }

    /** Whether all entries after {@code cursor} are retained; also true for a cursor ahead. */
    public boolean canContinueFrom(long cursor) {
        return cursor >= base;
    }

    /**
     * Returns the changes that follow a cursor.
     *
     * @param targetBytes limit for their encoded size, which the first change alone may exceed
     * @param maxBytes limit for their encoded size without exception
     */
    List<Change> changesAfter(long cursor, long targetBytes, long maxBytes) {
        List<Change> changes = new ArrayList<>();
        long remainingBytes = maxBytes;
        for (long i = Math.max(0, cursor - base); i < entries.size(); i++) {
            Change next = entries.get((int) i).change();
            remainingBytes -= FrameCodec.encodedBytes(next);
            if (remainingBytes < 0
                    || !changes.isEmpty() && maxBytes - remainingBytes > targetBytes) {
                break;
            }
            changes.add(next);
        }
        return changes;
    }

    /**
     * Returns the contents of the log as a snapshot of its start followed by batches. A batch
     * contains at most {@code targetBytes} of changes, or a single longer change.
     */
    public List<Message> toMessages(int targetBytes) {
        List<Message> messages = new ArrayList<>();
        messages.add(startSnapshot());
        for (long cursor = base; cursor < head(); ) {
            Batch next = new Batch(cursor + 1, changesAfter(cursor, targetBytes, Long.MAX_VALUE));
            messages.add(next);
            cursor += next.changes().size();
        }
        return messages;
    }

    /**
     * Restores one of the messages of {@link #toMessages}; all of them in order restore the log.
     */
    public void restore(Message message) {
        if (message instanceof Snapshot s) {
            reset(s);
        } else if (message instanceof Batch b) {
            for (int i = 0; i < b.changes().size(); i++) {
                append(new Entry(b.firstSeq() + i, b.changes().get(i)));
            }
        } else {
            throw new IllegalArgumentException(
                    "not a snapshot or batch of a retained log: " + message);
        }
    }

    /** Returns all retained entries, in order. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }
}
