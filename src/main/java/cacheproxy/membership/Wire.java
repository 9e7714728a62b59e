package cacheproxy.membership;

import cacheproxy.membership.Message.Heard;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Packets as bytes: an envelope, a message and a signature over both, at most {@link #MOST_BYTES}
 * in all, which fits one UDP packet of any usual path. Numbers are big-endian; a text is its length
 * in one byte and its bytes.
 */
final class Wire {

    static final int MOST_BYTES = 1200;

    /** What envelope, counts and signature of a packet take at most, rounded up. */
    static final int MOST_ENVELOPE = 250;

    static final int MOST_NAME = 32;
    static final int MOST_ADDRESS = 64;
    static final int MOST_NODE = 64;
    private static final int MAGIC = 0x464c;

    /** 2: members carry who suspects them, and relays answer no (Lifeguard). */
    private static final int VERSION = 2;

    private static final int MOST_AGE_MS = 0xffff;
    private static final int MOST_COUNT = 0xff;

    /**
     * Who sends, and what shows that the packet is fresh: {@code nonce} names the sender's life,
     * {@code echo} the receiver's as the sender knows it, {@code token} is what the receiver
     * granted to this life, {@code grant} what it may use in turn, and {@code counter} rises with
     * each packet.
     */
    record Envelope(
            String from, int keyId, long nonce, long echo, long token, long grant, int counter) {}

    record Packet(Envelope envelope, Message message, int signedBytes, byte[] signature) {}

    private Wire() {}

    /**
     * Fills one packet; of members and statements as many as fit, the first ones first. Returns the
     * bytes to sign and their count.
     */
    static ByteBuffer encode(Envelope e, Message m) {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES - Identity.SIGNATURE_BYTES);
        out.putShort((short) MAGIC).put((byte) VERSION).put((byte) m.kind().ordinal());
        text(out, e.from());
        out.putInt(e.keyId())
                .putLong(e.nonce())
                .putLong(e.echo())
                .putLong(e.token())
                .putLong(e.grant())
                .putInt(e.counter());
        out.putInt(m.number()).putLong(m.digest()).put((byte) (m.about() == null ? 0 : 1));
        if (m.about() != null) {
            member(out, m.about());
        }
        // Evidence first: it saves requests, and the table is made good by the digest.
        list(
                out,
                m.heard(),
                (o, h) -> {
                    o.putShort((short) Math.min(MOST_AGE_MS, Math.max(0, h.ageMs())));
                    o.put(signed(h.statement())).put(h.statement().signature());
                },
                1);
        list(out, m.members(), Wire::member, 0);
        return out;
    }

    private interface Writer<T> {
        void write(ByteBuffer out, T item);
    }

    private static <T> void list(ByteBuffer out, List<T> items, Writer<T> writer, int keptFree) {
        int countAt = out.position();
        out.put((byte) 0);
        int count = 0;
        for (T item : items) {
            int before = out.position();
            try {
                writer.write(out, item);
            } catch (BufferOverflowException full) {
                out.position(before);
                break;
            }
            if (out.remaining() < keptFree || count == MOST_COUNT) {
                out.position(before);
                break;
            }
            count++;
        }
        out.put(countAt, (byte) count);
    }

    /** The bytes that an observer signs. */
    static byte[] signed(Statement s) {
        ByteBuffer out = ByteBuffer.allocate(MOST_BYTES);
        text(out, s.observer());
        out.putInt(s.incarnation()).putInt(s.number()).put((byte) s.claims().size());
        for (Claim c : s.claims()) {
            text(out, c.node());
            out.putLong(c.born())
                    .put((byte) c.kind().ordinal())
                    .put((byte) c.attempts())
                    .putInt(c.sinceMs());
        }
        byte[] bytes = new byte[out.position()];
        out.get(0, bytes);
        return bytes;
    }

    /** How many bytes a statement takes in a packet. */
    static int bytes(Statement s) {
        return 2 + signed(s).length + Identity.SIGNATURE_BYTES;
    }

    /** How many bytes a member takes in a packet: three texts, an incarnation and a status. */
    static int bytes(Member m) {
        return m.name().length() + m.address().length() + m.by().length() + 8;
    }

    private static void member(ByteBuffer out, Member m) {
        text(out, m.name());
        text(out, m.address());
        out.putInt(m.incarnation()).put((byte) m.status().ordinal());
        text(out, m.by());
    }

    private static void text(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.put((byte) bytes.length).put(bytes);
    }

    /**
     * Who claims to have sent it, before anything is verified; null where it is no packet of ours.
     */
    static Packet decode(byte[] bytes) {
        try {
            return bytes.length > MOST_BYTES || bytes.length <= Identity.SIGNATURE_BYTES
                    ? null
                    : read(bytes);
        } catch (BufferUnderflowException | IllegalArgumentException malformed) {
            return null;
        }
    }

    private static Packet read(byte[] bytes) {
        int end = bytes.length - Identity.SIGNATURE_BYTES;
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, end);
        check((in.getShort() & 0xffff) == MAGIC && in.get() == VERSION);
        Message.Kind kind = of(Message.Kind.values(), in.get());
        String from = text(in, 1, MOST_NAME);
        Envelope envelope =
                new Envelope(
                        from,
                        in.getInt(),
                        in.getLong(),
                        in.getLong(),
                        in.getLong(),
                        in.getLong(),
                        in.getInt());
        int number = in.getInt();
        long digest = in.getLong();
        Member about = in.get() == 0 ? null : member(in);
        List<Heard> heard = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            int age = in.getShort() & 0xffff;
            heard.add(new Heard(statement(in), age));
        }
        List<Member> members = new ArrayList<>();
        for (int left = in.get() & 0xff; left > 0; left--) {
            members.add(member(in));
        }
        check(!in.hasRemaining());
        byte[] signature = new byte[Identity.SIGNATURE_BYTES];
        System.arraycopy(bytes, end, signature, 0, signature.length);
        return new Packet(
                envelope, new Message(kind, number, about, digest, members, heard), end, signature);
    }

    private static Statement statement(ByteBuffer in) {
        String observer = text(in, 1, MOST_NAME);
        int incarnation = in.getInt();
        int number = in.getInt();
        int count = in.get() & 0xff;
        check(count <= Statement.MOST_CLAIMS && incarnation >= 0);
        List<Claim> claims = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String node = text(in, 1, MOST_NODE);
            long born = in.getLong();
            Claim.Kind kind = of(Claim.Kind.values(), in.get());
            claims.add(new Claim(node, born, kind, in.get() & 0xff, in.getInt()));
        }
        byte[] signature = new byte[Identity.SIGNATURE_BYTES];
        in.get(signature);
        return new Statement(observer, incarnation, number, claims, signature);
    }

    private static Member member(ByteBuffer in) {
        String name = text(in, 1, MOST_NAME);
        String address = text(in, 1, MOST_ADDRESS);
        int incarnation = in.getInt();
        check(incarnation >= 0);
        Member.Status status = of(Member.Status.values(), in.get());
        return new Member(name, address, incarnation, status, text(in, 0, MOST_NAME));
    }

    private static String text(ByteBuffer in, int least, int most) {
        int length = in.get() & 0xff;
        check(length >= least && length <= most);
        byte[] bytes = new byte[length];
        in.get(bytes);
        for (byte b : bytes) {
            // Names go into the log: nothing there may end a line or pass for another field.
            check(b > ' ' && b < 0x7f && b != '"');
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static <E> E of(E[] values, byte ordinal) {
        check(ordinal >= 0 && ordinal < values.length);
        return values[ordinal];
    }

    private static void check(boolean good) {
        if (!good) {
            throw new IllegalArgumentException("malformed");
        }
    }
}
