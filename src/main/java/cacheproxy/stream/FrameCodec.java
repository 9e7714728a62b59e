package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Heartbeat;
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
public final class FrameCodec {

    /** Longest change, encoded; a configuration of 16,384 characters fits where they are ASCII. */
    public static final int MAX_CHANGE_BYTES = 20_000;

    /**
     * A frame's share beside its changes: its length, version, kind and numbers, and the headers of
     * TCP and IP.
     */
    static final int FRAME_OVERHEAD_BYTES = 80;

    private static final byte VERSION = 1;
    private static final int MAX_TALLY_ROWS = 100_000;

    private enum Kind {
        HELLO,
        ACK,
        BATCH,
        SNAPSHOT,
        HEARTBEAT,
        TALLY
    }

    private static final int KEY_PURGE = 0;
    private static final int PREFIX_PURGE = 1;
    private static final int EPOCH = 2;

    private FrameCodec() {}

    /** Bytes that a change takes in a frame or file. */
    public static int encodedBytes(Change change) {
        if (change instanceof Epoch e) {
            return 1 + varintBytes(e.number()) + textBytes(e.content());
        }
        return 1 + textBytes(((Purge) change).key());
    }

    /** Whether a change can be carried at all. */
    public static boolean isEncodable(Change change) {
        return encodedBytes(change) <= MAX_CHANGE_BYTES;
    }

    /**
     * What a frame with entries costs its receiver's pace, in bytes; both ends reckon it by this.
     */
    public static int costBytes(Message message) {
        if (message instanceof Batch b) {
            return FRAME_OVERHEAD_BYTES
                    + b.changes().stream().mapToInt(FrameCodec::encodedBytes).sum();
        }
        return message instanceof Snapshot s ? FRAME_OVERHEAD_BYTES + encodedBytes(s.epoch()) : 0;
    }

    private static int varintBytes(long value) {
        return Math.max(1, (Long.SIZE - Long.numberOfLeadingZeros(value) + 6) / 7);
    }

    private static int textBytes(String text) {
        int length = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            // Half of a pair takes two of its four bytes; one that stands alone becomes a question
            // mark.
            length +=
                    c < 0x80
                            ? 1
                            : c < 0x800
                                    ? 2
                                    : !Character.isSurrogate(c)
                                            ? 3
                                            : isPairedSurrogate(text, i) ? 2 : 1;
        }
        return varintBytes(length) + length;
    }

    private static boolean isPairedSurrogate(String text, int i) {
        char c = text.charAt(i);
        return Character.isHighSurrogate(c)
                ? i + 1 < text.length() && Character.isLowSurrogate(text.charAt(i + 1))
                : i > 0 && Character.isHighSurrogate(text.charAt(i - 1));
    }

    /** A message as one frame, without its length. */
    public static byte[] encode(Message message) {
        ByteBuffer to = ByteBuffer.allocate(maxEncodedBytes(message)).put(VERSION);
        if (message instanceof Hello h) {
            writeKind(to, Kind.HELLO);
            text(to, h.name());
            to.putLong(h.lineage());
            varint(to, h.cursor());
            varint(to, h.allowedBytes());
        } else if (message instanceof Ack a) {
            writeKind(to, Kind.ACK);
            varint(to, a.applied());
            varint(to, a.allowedBytes());
            varint(to, a.stamp() + 1);
        } else if (message instanceof Batch b) {
            writeKind(to, Kind.BATCH);
            varint(to, b.firstSeq());
            varint(to, b.changes().size());
            b.changes().forEach(c -> writeChange(to, c));
        } else if (message instanceof Snapshot s) {
            writeKind(to, Kind.SNAPSHOT);
            to.putLong(s.lineage());
            varint(to, s.seq());
            writeChange(to, s.epoch());
        } else if (message instanceof Heartbeat b) {
            writeKind(to, Kind.HEARTBEAT);
            varint(to, b.stamp() + 1);
            varint(to, b.head());
            varint(to, b.ageMs());
        } else if (message instanceof Tally t) {
            writeKind(to, Kind.TALLY);
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

    private static int maxEncodedBytes(Message message) {
        int fixed = 48;
        if (message instanceof Hello h) {
            return fixed + textBytes(h.name());
        }
        return message instanceof Tally t
                ? fixed + t.rows().stream().mapToInt(r -> textBytes(r.name()) + 10).sum()
                : fixed + costBytes(message);
    }

    private static void writeKind(ByteBuffer to, Kind kind) {
        to.put((byte) kind.ordinal());
    }

    /** Writes a change. */
    public static void writeChange(ByteBuffer to, Change change) {
        if (change instanceof Epoch e) {
            to.put((byte) EPOCH);
            varint(to, e.number());
            text(to, e.content());
        } else if (change instanceof Purge p) {
            to.put((byte) (p.prefix() ? PREFIX_PURGE : KEY_PURGE));
            text(to, p.key());
        }
    }

    /** Reads a change. */
    public static Change readChange(ByteBuffer from) {
        try {
            int kind = from.get();
            return switch (kind) {
                case KEY_PURGE, PREFIX_PURGE -> new Purge(text(from), kind == PREFIX_PURGE);
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
            Message message = decodeBody(Kind.values()[kind], from);
            if (from.hasRemaining()) {
                throw new IllegalArgumentException(from.remaining() + " bytes too many");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a frame that ends too early", e);
        }
    }

    private static Message decodeBody(Kind kind, ByteBuffer from) {
        return switch (kind) {
            case HELLO -> new Hello(text(from), from.getLong(), varint(from), varint(from));
            case ACK -> new Ack(varint(from), varint(from), varint(from) - 1);
            case BATCH -> {
                long first = varint(from);
                // Two bytes at least each: a count beyond that is a lie, and no reason to reserve
                // room for it.
                long count = varint(from);
                List<Change> changes = new ArrayList<>(checkedCount(count, from.remaining() / 2));
                for (long i = 0; i < count; i++) {
                    changes.add(readChange(from));
                }
                yield new Batch(first, changes);
            }
            case SNAPSHOT -> {
                long lineage = from.getLong();
                long seq = varint(from);
                if (readChange(from) instanceof Epoch e) {
                    yield new Snapshot(lineage, seq, e);
                }
                throw new IllegalArgumentException("a snapshot without an epoch");
            }
            case HEARTBEAT -> new Heartbeat(varint(from) - 1, varint(from), varint(from));
            case TALLY -> {
                long count = varint(from);
                List<Row> rows = new ArrayList<>(checkedCount(count, MAX_TALLY_ROWS));
                for (long i = 0; i < count; i++) {
                    rows.add(new Row(text(from), varint(from)));
                }
                yield new Tally(rows);
            }
        };
    }

    private static int checkedCount(long count, int max) {
        if (count < 0 || count > max) {
            throw new IllegalArgumentException("a count of " + count);
        }
        return (int) count;
    }

    private static void varint(ByteBuffer to, long value) {
        long bits = value;
        while ((bits & ~0x7fL) != 0) {
            to.put((byte) (bits & 0x7f | 0x80));
            bits >>>= 7;
        }
        to.put((byte) bits);
    }

    private static long varint(ByteBuffer from) {
        long bits = 0;
        for (int shift = 0; shift < Long.SIZE; shift += 7) {
            byte b = from.get();
            bits |= (long) (b & 0x7f) << shift;
            if (b >= 0) {
                return bits;
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
