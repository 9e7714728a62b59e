package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Beat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Row;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Message.Tally;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages and changes as bytes: a version, a kind, then numbers as base-128 varints (the smaller
 * ones first, as in Protocol Buffers) and texts with their length before them. A purge of a key of
 * 32 bytes takes 34. Whatever is malformed throws an IllegalArgumentException.
 */
public final class Frames {

    /** Longest change, encoded; a configuration of 16,384 characters fits where they are ASCII. */
    public static final int MOST_CHANGE_BYTES = 20_000;

    /**
     * A frame's share beside its changes: its length, version, kind and numbers, and the headers of
     * TCP and IP.
     */
    static final int FRAME_BYTES = 80;

    private static final byte VERSION = 1;
    private static final int MOST_ROWS = 100_000;

    private enum Kind {
        HELLO,
        ACK,
        BATCH,
        SNAPSHOT,
        BEAT,
        TALLY
    }

    private static final int KEY = 0;
    private static final int PREFIX = 1;
    private static final int EPOCH = 2;

    private Frames() {}

    /** Bytes that a change takes in a frame or file. */
    public static int bytes(Change change) {
        if (change instanceof Epoch e) {
            return 1 + varintBytes(e.number()) + textBytes(e.content());
        }
        return 1 + textBytes(((Purge) change).key());
    }

    /** Whether a change can be carried at all. */
    public static boolean fits(Change change) {
        return bytes(change) <= MOST_CHANGE_BYTES;
    }

    /**
     * What a frame with entries costs its receiver's pace, in bytes; both ends reckon it by this.
     */
    public static int costBytes(Message m) {
        if (m instanceof Batch b) {
            return FRAME_BYTES + b.changes().stream().mapToInt(Frames::bytes).sum();
        }
        return m instanceof Snapshot s ? FRAME_BYTES + bytes(s.epoch()) : 0;
    }

    private static int varintBytes(long v) {
        return Math.max(1, (Long.SIZE - Long.numberOfLeadingZeros(v) + 6) / 7);
    }

    private static int textBytes(String text) {
        int n = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // Half of a pair takes two of its four bytes; one that stands alone becomes a question
            // mark.
            n +=
                    c < 0x80
                            ? 1
                            : c < 0x800
                                    ? 2
                                    : !Character.isSurrogate(c) ? 3 : paired(text, i) ? 2 : 1;
        }
        return varintBytes(n) + n;
    }

    private static boolean paired(String text, int i) {
        char c = text.charAt(i);
        return Character.isHighSurrogate(c)
                ? i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1))
                : i > 0 && Character.isHighSurrogate(text.charAt(i - 1));
    }

    /** A message as one frame, without its length. */
    public static byte[] encode(Message m) {
        ByteBuffer to = ByteBuffer.allocate(bound(m)).put(VERSION);
        if (m instanceof Hello h) {
            kind(to, Kind.HELLO);
            text(to, h.name());
            to.putLong(h.lineage());
            varint(to, h.cursor());
            varint(to, h.allowedBytes());
        } else if (m instanceof Ack a) {
            kind(to, Kind.ACK);
            varint(to, a.applied());
            varint(to, a.allowedBytes());
            varint(to, a.stamp() + 1);
        } else if (m instanceof Batch b) {
            kind(to, Kind.BATCH);
            varint(to, b.first());
            varint(to, b.changes().size());
            b.changes().forEach(c -> write(to, c));
        } else if (m instanceof Snapshot s) {
            kind(to, Kind.SNAPSHOT);
            to.putLong(s.lineage());
            varint(to, s.seq());
            write(to, s.epoch());
        } else if (m instanceof Beat b) {
            kind(to, Kind.BEAT);
            varint(to, b.stamp() + 1);
            varint(to, b.head());
            varint(to, b.ageMs());
        } else if (m instanceof Tally t) {
            kind(to, Kind.TALLY);
            varint(to, t.rows().size());
            t.rows()
                    .forEach(
                            r -> {
                                text(to, r.name());
                                varint(to, r.acked());
                            });
        }
        byte[] frame = new byte[to.position()];
        to.flip().get(frame);
        return frame;
    }

    private static int bound(Message m) {
        int fixed = 48;
        if (m instanceof Hello h) {
            return fixed + textBytes(h.name());
        }
        return m instanceof Tally t
                ? fixed + t.rows().stream().mapToInt(r -> textBytes(r.name()) + 10).sum()
                : fixed + costBytes(m);
    }

    private static void kind(ByteBuffer to, Kind kind) {
        to.put((byte) kind.ordinal());
    }

    /** Writes a change. */
    public static void write(ByteBuffer to, Change change) {
        if (change instanceof Epoch e) {
            to.put((byte) EPOCH);
            varint(to, e.number());
            text(to, e.content());
        } else if (change instanceof Purge p) {
            to.put((byte) (p.prefix() ? PREFIX : KEY));
            text(to, p.key());
        }
    }

    /** Reads a change. */
    public static Change read(ByteBuffer from) {
        try {
            int kind = from.get();
            return switch (kind) {
                case KEY, PREFIX -> new Purge(text(from), kind == PREFIX);
                case EPOCH -> new Epoch(varint(from), text(from));
                default -> throw new IllegalArgumentException("no such change: " + kind);
            };
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a change that ends too early", e);
        }
    }

    /** A frame's message. */
    public static Message decode(ByteBuffer from) {
        try {
            if (from.get() != VERSION) {
                throw new IllegalArgumentException("another version than " + VERSION);
            }
            int kind = from.get();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IllegalArgumentException("no such frame: " + kind);
            }
            Message m = body(Kind.values()[kind], from);
            if (from.hasRemaining()) {
                throw new IllegalArgumentException(from.remaining() + " bytes too many");
            }
            return m;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a frame that ends too early", e);
        }
    }

    private static Message body(Kind kind, ByteBuffer from) {
        return switch (kind) {
            case HELLO -> new Hello(text(from), from.getLong(), varint(from), varint(from));
            case ACK -> new Ack(varint(from), varint(from), varint(from) - 1);
            case BATCH -> {
                long first = varint(from);
                // Two bytes at least each: a count beyond that is a lie, and no reason to reserve
                // room for it.
                long count = varint(from);
                List<Change> changes = new ArrayList<>(room(count, from.remaining() / 2));
                for (long i = 0; i < count; i++) {
                    changes.add(read(from));
                }
                yield new Batch(first, changes);
            }
            case SNAPSHOT -> {
                long lineage = from.getLong();
                long seq = varint(from);
                if (read(from) instanceof Epoch e) {
                    yield new Snapshot(lineage, seq, e);
                }
                throw new IllegalArgumentException("a snapshot without an epoch");
            }
            case BEAT -> new Beat(varint(from) - 1, varint(from), varint(from));
            case TALLY -> {
                long count = varint(from);
                List<Row> rows = new ArrayList<>(room(count, MOST_ROWS));
                for (long i = 0; i < count; i++) {
                    rows.add(new Row(text(from), varint(from)));
                }
                yield new Tally(rows);
            }
        };
    }

    private static int room(long count, int most) {
        if (count < 0 || count > most) {
            throw new IllegalArgumentException("a count of " + count);
        }
        return (int) count;
    }

    private static void varint(ByteBuffer to, long value) {
        long v = value;
        while ((v & ~0x7fL) != 0) {
            to.put((byte) (v & 0x7f | 0x80));
            v >>>= 7;
        }
        to.put((byte) v);
    }

    private static long varint(ByteBuffer from) {
        long v = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            byte b = from.get();
            v |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return v;
            }
        }
        throw new IllegalArgumentException("a number without end");
    }

    private static void text(ByteBuffer to, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        varint(to, bytes.length);
        to.put(bytes);
    }

    private static String text(ByteBuffer from) {
        long length = varint(from);
        if (length < 0 || length > from.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) length];
        from.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
