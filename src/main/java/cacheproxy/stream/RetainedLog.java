package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Snapshot;
import java.util.ArrayList;
import java.util.List;

/**
 * What a control machine keeps of the stream: its last entries, at most so many and so many bytes,
 * and the epoch that was in force before the first of them. Whoever lacks more than it holds takes
 * a {@link Snapshot} of its end. One copy serves all readers; each is a number.
 */
public final class RetainedLog {

    /** How much is kept: when either is passed the older half goes. */
    public record Bounds(int maxEntries, long maxBytes) {}

    private final Bounds bounds;
    private final ArrayList<Entry> entries = new ArrayList<>();
    private long lineage;
    private long base;
    private Epoch baseEpoch = Epoch.NONE;
    private Epoch epoch = Epoch.NONE;
    private long bytes;

    /** An empty one, which belongs to no stream yet. */
    public RetainedLog(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Begins at a snapshot: what was held is gone, and so is the stream that it belonged to. */
    public void reset(Snapshot snapshot) {
        entries.clear();
        bytes = 0;
        lineage = snapshot.lineage();
        base = snapshot.seq();
        baseEpoch = snapshot.epoch();
        epoch = snapshot.epoch();
    }

    /**
     * Adds the next entry; one that is not the next throws, as nobody may be told of a gap as if
     * there were none.
     */
    public void append(Entry entry) {
        if (lineage == 0 || entry.seq() != head() + 1) {
            throw new IllegalArgumentException(
                    "entry "
                            + entry.seq()
                            + " after "
                            + head()
                            + (lineage == 0 ? " of no stream" : ""));
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
     * Names the stream, so that no cursor into another is taken for one into this; 0 where it
     * belongs to none yet.
     */
    public long lineage() {
        return lineage;
    }

    /** The last entry before those that are held. */
    public long base() {
        return base;
    }

    /** The last entry. */
    public long head() {
        return base + entries.size();
    }

    /** What was in force before the first entry that is held. */
    public Snapshot startSnapshot() {
        return new Snapshot(lineage, base, baseEpoch);
    }

    /** Where whoever is too far behind goes on from. */
    public Snapshot endSnapshot() {
        return new Snapshot(lineage, head(), epoch);
    }

    /** Whether all entries after this one are held, or it lies ahead. */
    public boolean canContinueFrom(long cursor) {
        return cursor >= base;
    }

    /**
     * The changes that follow a cursor, so many bytes of them at most; the first comes also where
     * it alone is longer than {@code softBytes}, but not than {@code mostBytes}.
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
     * All that is held, as messages of so many bytes at most, but for one longer change: a snapshot
     * of its start, then batches.
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

    /** Takes one of these; in their order they make the same window. */
    public void restore(Message message) {
        if (message instanceof Snapshot s) {
            reset(s);
        } else if (message instanceof Batch b) {
            for (int i = 0; i < b.changes().size(); i++) {
                append(new Entry(b.firstSeq() + i, b.changes().get(i)));
            }
        } else {
            throw new IllegalArgumentException("no part of a window: " + message);
        }
    }

    /** All that is held, in order. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }
}
