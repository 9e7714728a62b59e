package cacheproxy.stream;

import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Beat;
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
    static final int FRAME_SOFT_BYTES = 4096;

    static final double SILENT_MS = 3000;

    /** What it asks for. */
    public interface Out {
        /** Sends on a connection. */
        void send(long connection, Message message);

        /** Ends a connection; {@link #closed} need not be called for it. */
        void close(long connection, String why);
    }

    private static final class Reader {
        private final String name;
        private long cursor;
        private boolean foreign;
        private long allowedBytes;
        private long spentBytes;
        private double heardAt;
        private boolean writable = true;

        Reader(String name) {
            this.name = name;
        }
    }

    private final Window window;
    private final Deliveries deliveries;
    private final Map<Long, Reader> readers = new LinkedHashMap<>();
    private final Map<String, Long> byName = new LinkedHashMap<>();
    private double freshAt = Double.NEGATIVE_INFINITY;

    public Publisher(Window window, Deliveries deliveries) {
        this.window = window;
        this.deliveries = deliveries;
    }

    /**
     * The window holds all that was committed at this time; whoever asks is told how old that is.
     */
    public void fresh(double at) {
        freshAt = Math.max(freshAt, at);
    }

    /** The window has grown, or begun anew. */
    public void advanced(Out out) {
        for (Map.Entry<Long, Reader> e : List.copyOf(readers.entrySet())) {
            fill(e.getKey(), e.getValue(), out);
        }
    }

    /** A message on a connection. */
    public void received(double now, long connection, Message m, Out out) {
        Reader reader = readers.get(connection);
        if (m instanceof Hello h && reader == null) {
            hello(now, connection, h, out);
        } else if (m instanceof Ack a && reader != null) {
            reader.heardAt = now;
            reader.allowedBytes = Math.max(reader.allowedBytes, a.allowedBytes());
            deliveries.acked(now, reader.name, a.applied());
            if (a.stamp() >= 0) {
                beat(now, connection, a.stamp(), out);
            }
            fill(connection, reader, out);
        } else {
            refuse(connection, "not expected here: " + m.getClass().getSimpleName(), out);
        }
    }

    private void hello(double now, long connection, Hello h, Out out) {
        if (window.lineage() == 0) {
            refuse(connection, "nothing to serve yet", out);
            return;
        }
        Long earlier = byName.put(h.name(), connection);
        if (earlier != null) {
            readers.remove(earlier);
            out.close(earlier, "its owner has come again");
        }
        Reader reader = new Reader(h.name());
        reader.cursor = h.cursor();
        reader.foreign = h.lineage() != window.lineage();
        reader.allowedBytes = h.allowedBytes();
        reader.heardAt = now;
        readers.put(connection, reader);
        if (!reader.foreign) {
            deliveries.acked(now, h.name(), h.cursor());
        }
        beat(now, connection, -1, out);
        fill(connection, reader, out);
    }

    private void beat(double now, long connection, long stamp, Out out) {
        long ageMs =
                freshAt == Double.NEGATIVE_INFINITY
                        ? Integer.MAX_VALUE
                        : Math.max(0, Math.round(now - freshAt));
        out.send(connection, new Beat(stamp, window.head(), ageMs));
    }

    /** Sends what a reader lacks, as far as it allows. */
    private void fill(long connection, Reader reader, Out out) {
        while (reader.writable && readers.get(connection) == reader) {
            long room = reader.allowedBytes - reader.spentBytes;
            Message next;
            if (reader.foreign || !window.holds(reader.cursor)) {
                Snapshot end = window.end();
                if (Frames.costBytes(end) > room) {
                    return;
                }
                reader.foreign = false;
                reader.cursor = end.seq();
                next = end;
            } else {
                List<Change> changes =
                        window.after(reader.cursor, FRAME_SOFT_BYTES, room - Frames.FRAME_BYTES);
                if (changes.isEmpty()) {
                    return;
                }
                next = new Batch(reader.cursor + 1, changes);
                reader.cursor += changes.size();
            }
            reader.spentBytes += Frames.costBytes(next);
            out.send(connection, next);
        }
    }

    /** Whether a connection takes more now. */
    public void writable(long connection, boolean writable, Out out) {
        Reader reader = readers.get(connection);
        if (reader != null) {
            reader.writable = writable;
            fill(connection, reader, out);
        }
    }

    /** A connection has ended. */
    public void closed(long connection) {
        Reader reader = readers.remove(connection);
        if (reader != null) {
            byName.remove(reader.name, connection);
        }
    }

    private void refuse(long connection, String why, Out out) {
        closed(connection);
        out.close(connection, why);
    }

    /** Called some times a second. */
    public void tick(double now, Out out) {
        for (Map.Entry<Long, Reader> e : List.copyOf(readers.entrySet())) {
            if (now - e.getValue().heardAt > SILENT_MS) {
                refuse(e.getKey(), "silent", out);
            }
        }
    }

    /** How many it serves. */
    public int readers() {
        return readers.size();
    }
}
