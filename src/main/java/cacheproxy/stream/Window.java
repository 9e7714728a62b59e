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
public final class Window {

    /** How much is kept: when either is passed the older half goes. */
    public record Bounds(int mostEntries, long mostBytes) {}

    private final Bounds bounds;
    private final ArrayList<Entry> entries = new ArrayList<>();
    private long lineage;
    private long base;
    private Epoch epochBefore = Epoch.NONE;
    private Epoch epoch = Epoch.NONE;
    private long bytes;

    /** An empty one, which belongs to no stream yet. */
    public Window(Bounds bounds) {
        this.bounds = bounds;
    }

    /** Begins at a snapshot: what was held is gone, and so is the stream that it belonged to. */
    public void reset(Snapshot s) {
        entries.clear();
        bytes = 0;
        lineage = s.lineage();
        base = s.seq();
        epochBefore = s.epoch();
        epoch = s.epoch();
    }

    /**
     * Adds the next entry; one that is not the next throws, as nobody may be told of a gap as if
     * there were none.
     */
    public void append(Entry e) {
        if (lineage == 0 || e.seq() != head() + 1) {
            throw new IllegalArgumentException(
                    "entry "
                            + e.seq()
                            + " after "
                            + head()
                            + (lineage == 0 ? " of no stream" : ""));
        }
        entries.add(e);
        bytes += Frames.bytes(e.change());
        if (e.change() instanceof Epoch next) {
            epoch = next;
        }
        if (entries.size() > bounds.mostEntries() || bytes > bounds.mostBytes()) {
            cut();
        }
    }

    private void cut() {
        List<Entry> old = entries.subList(0, (entries.size() + 1) / 2);
        for (Entry e : old) {
            bytes -= Frames.bytes(e.change());
            if (e.change() instanceof Epoch past) {
                epochBefore = past;
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
    public Snapshot start() {
        return new Snapshot(lineage, base, epochBefore);
    }

    /** Where whoever is too far behind goes on from. */
    public Snapshot end() {
        return new Snapshot(lineage, head(), epoch);
    }

    /** Whether all entries after this one are held, or it lies ahead. */
    public boolean holds(long cursor) {
        return cursor >= base;
    }

    /**
     * The changes that follow a cursor, so many bytes of them at most; the first comes also where
     * it alone is longer than {@code softBytes}, but not than {@code mostBytes}.
     */
    List<Change> after(long cursor, long softBytes, long mostBytes) {
        List<Change> found = new ArrayList<>();
        long room = mostBytes;
        for (long i = Math.max(0, cursor - base); i < entries.size(); i++) {
            Change next = entries.get((int) i).change();
            room -= Frames.bytes(next);
            if (room < 0 || !found.isEmpty() && mostBytes - room > softBytes) {
                break;
            }
            found.add(next);
        }
        return found;
    }

    /**
     * All that is held, as messages of so many bytes at most, but for one longer change: a snapshot
     * of its start, then batches.
     */
    public List<Message> messages(int softBytes) {
        List<Message> all = new ArrayList<>();
        all.add(start());
        for (long cursor = base; cursor < head(); ) {
            Batch next = new Batch(cursor + 1, after(cursor, softBytes, Long.MAX_VALUE));
            all.add(next);
            cursor += next.changes().size();
        }
        return all;
    }

    /** Takes one of these; in their order they make the same window. */
    public void take(Message m) {
        if (m instanceof Snapshot s) {
            reset(s);
        } else if (m instanceof Batch b) {
            for (int i = 0; i < b.changes().size(); i++) {
                append(new Entry(b.first() + i, b.changes().get(i)));
            }
        } else {
            throw new IllegalArgumentException("no part of a window: " + m);
        }
    }

    /** All that is held, in order. */
    public List<Entry> entries() {
        return List.copyOf(entries);
    }
}
