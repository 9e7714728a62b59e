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
 * Encodes and decodes messages and changes. A frame has a version byte and a kind byte, followed by
 * numbers as base-128 varints (least significant group first, as in Protocol Buffers) and
 * length-prefixed UTF-8 strings. A purge of a 32-byte key takes 34 bytes. Malformed input throws an
 * IllegalArgumentException.
 */
public final class FrameCodec {

    /** Maximum encoded size of a change; fits a configuration of 16,384 ASCII characters. */
    public static final int MAX_CHANGE_BYTES = 20_000;

    /**
     * Overhead of a frame beyond its changes: its length prefix, version, kind and numbers, and the
     * TCP and IP headers.
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

    /** Returns the encoded size of a change, in bytes. */
    public static int encodedBytes(Change change) {
        if (change instanceof Epoch e) {
            return 1 + varintBytes(e.number()) + textBytes(e.content());
        }
        return 1 + textBytes(((Purge) change).key());
    }

    /** Whether a change is within {@link #MAX_CHANGE_BYTES}. */
    public static boolean isEncodable(Change change) {
        return encodedBytes(change) <= MAX_CHANGE_BYTES;
    }

    /**
     * Returns the bytes by which a message counts against its receiver's byte allowance; 0 for
     * messages without entries. Both ends use this method, so that their counts agree.
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
            // Each surrogate of a pair counts for two of its four UTF-8 bytes. An unpaired
            // surrogate is encoded as a question mark.
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

    /** Encodes a message as one frame, without the length prefix. */
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

    /** Encodes a change into a buffer. */
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

    /** Decodes a change from a buffer. */
    public static Change readChange(ByteBuffer from) {
        try {
            int kind = from.get();
            return switch (kind) {
                case KEY_PURGE, PREFIX_PURGE -> new Purge(text(from), kind == PREFIX_PURGE);
                case EPOCH -> new Epoch(varint(from), text(from));
                default -> throw new IllegalArgumentException("unknown change kind " + kind);
            };
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("truncated change in change-stream frame", e);
        }
    }

    /** Decodes the message of a frame, without the length prefix. */
    public static Message decode(ByteBuffer from) {
        try {
            if (from.get() != VERSION) {
                throw new IllegalArgumentException(
                        "unsupported change-stream frame version, expected " + VERSION);
            }
            int kind = from.get();
            if (kind < 0 || kind >= Kind.values().length) {
                throw new IllegalArgumentException("unknown change-stream frame kind " + kind);
            }
            Message message = decodeBody(Kind.values()[kind], from);
            if (from.hasRemaining()) {
                throw new IllegalArgumentException(
                        from.remaining() + " unexpected bytes at end of change-stream frame");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("truncated change-stream frame", e);
        }
    }

    private static Message decodeBody(Kind kind, ByteBuffer from) {
        return switch (kind) {
            case HELLO -> new Hello(text(from), from.getLong(), varint(from), varint(from));
            case ACK -> new Ack(varint(from), varint(from), varint(from) - 1);
            case BATCH -> {
                long first = varint(from);
                // Each change takes at least two bytes. A higher count is rejected before memory
                // is allocated for it.
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
                throw new IllegalArgumentException("change-stream snapshot contains no epoch");
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
            throw new IllegalArgumentException(
                    "count " + count + " out of range 0 to " + max + " in change-stream frame");
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
        throw new IllegalArgumentException("varint longer than 64 bits in change-stream frame");
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
