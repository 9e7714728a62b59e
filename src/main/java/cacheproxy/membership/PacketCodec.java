package cacheproxy.membership;

import cacheproxy.membership.Message.RelayedStatement;
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
final class PacketCodec {

    static final int MAX_PACKET_BYTES = 1200;

    /** What envelope, counts and signature of a packet take at most, rounded up. */
    static final int MAX_ENVELOPE_BYTES = 250;

    static final int MAX_NAME_BYTES = 32;
    static final int MAX_ADDRESS_BYTES = 64;
    static final int MAX_NODE_ID_BYTES = 64;
    private static final int MAGIC = 0x464c;

    /** 2: members carry who suspects them, and relays answer no (Lifeguard). */
    private static final int VERSION = 2;

    private static final int MAX_AGE_MS = 0xffff;
    private static final int MAX_LIST_ITEMS = 0xff;

    /**
     * Who sends, and what shows that the packet is fresh: {@code nonce} names the sender's life,
     * {@code echo} the receiver's as the sender knows it, {@code token} is what the receiver
     * granted to this life, {@code grant} what it may use in turn, and {@code counter} rises with
     * each packet.
     */
    record Envelope(
            String from, int keyId, long nonce, long echo, long token, long grant, int counter) {}

    record Packet(Envelope envelope, Message message, int signedBytes, byte[] signature) {}

    private PacketCodec() {}

    /**
     * Fills one packet; of members and statements as many as fit, the first ones first. Returns the
     * bytes to sign and their count.
     */
    static ByteBuffer encode(Envelope envelope, Message message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_PACKET_BYTES - Identity.SIGNATURE_BYTES);
        out.putShort((short) MAGIC).put((byte) VERSION).put((byte) message.kind().ordinal());
        text(out, envelope.from());
        out.putInt(envelope.keyId())
                .putLong(envelope.nonce())
                .putLong(envelope.echo())
                .putLong(envelope.token())
                .putLong(envelope.grant())
                .putInt(envelope.counter());
        out.putInt(message.number())
                .putLong(message.digest())
                .put((byte) (message.target() == null ? 0 : 1));
        if (message.target() != null) {
            member(out, message.target());
        }
        // Evidence first: it saves requests, and the table is made good by the digest.
        writeList(
                out,
                message.statements(),
                (buffer, relayed) -> {
                    buffer.putShort((short) Math.min(MAX_AGE_MS, Math.max(0, relayed.ageMs())));
                    buffer.put(bytesToSign(relayed.statement()))
                            .put(relayed.statement().signature());
                },
                1);
        writeList(out, message.members(), PacketCodec::member, 0);
        return out;
    }

    private interface Writer<T> {
        void write(ByteBuffer out, T item);
    }

    private static <T> void writeList(
            ByteBuffer out, List<T> items, Writer<T> writer, int reservedBytes) {
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
            if (out.remaining() < reservedBytes || count == MAX_LIST_ITEMS) {
                out.position(before);
                break;
            }
            count++;
        }
        out.put(countAt, (byte) count);
    }

    /** The bytes that an observer signs. */
    static byte[] bytesToSign(Statement statement) {
        ByteBuffer out = ByteBuffer.allocate(MAX_PACKET_BYTES);
        text(out, statement.observer());
        out.putInt(statement.incarnation())
                .putInt(statement.number())
                .put((byte) statement.claims().size());
        for (Claim claim : statement.claims()) {
            text(out, claim.node());
            out.putLong(claim.startedAtMs())
                    .put((byte) claim.kind().ordinal())
                    .put((byte) claim.attempts())
                    .putInt(claim.failingForMs());
        }
        byte[] bytes = new byte[out.position()];
        out.get(0, bytes);
        return bytes;
    }

    /** How many bytes a statement takes in a packet. */
    static int encodedBytes(Statement statement) {
        return 2 + bytesToSign(statement).length + Identity.SIGNATURE_BYTES;
    }

    /** How many bytes a member takes in a packet: three texts, an incarnation and a status. */
    static int encodedBytes(Member member) {
        return member.name().length()
                + member.address().length()
                + member.suspectedBy().length()
                + 8;
    }

    private static void member(ByteBuffer out, Member member) {
        text(out, member.name());
        text(out, member.address());
        out.putInt(member.incarnation()).put((byte) member.status().ordinal());
        text(out, member.suspectedBy());
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
            return bytes.length > MAX_PACKET_BYTES || bytes.length <= Identity.SIGNATURE_BYTES
                    ? null
                    : readPacket(bytes);
        } catch (BufferUnderflowException | IllegalArgumentException malformed) {
            return null;
        }
    }

    private static Packet readPacket(byte[] bytes) {
        int end = bytes.length - Identity.SIGNATURE_BYTES;
        ByteBuffer in = ByteBuffer.wrap(bytes, 0, end);
        check((in.getShort() & 0xffff) == MAGIC && in.get() == VERSION);
        Message.Kind kind = enumConstant(Message.Kind.values(), in.get());
        String from = text(in, 1, MAX_NAME_BYTES);
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
        Member target = in.get() == 0 ? null : member(in);
        List<RelayedStatement> statements = new ArrayList<>();
        for (int remaining = in.get() & 0xff; remaining > 0; remaining--) {
            int age = in.getShort() & 0xffff;
            statements.add(new RelayedStatement(readStatement(in), age));
        }
        List<Member> members = new ArrayList<>();
        for (int remaining = in.get() & 0xff; remaining > 0; remaining--) {
            members.add(member(in));
        }
        check(!in.hasRemaining());
        byte[] signature = new byte[Identity.SIGNATURE_BYTES];
        System.arraycopy(bytes, end, signature, 0, signature.length);
        return new Packet(
                envelope,
                new Message(kind, number, target, digest, members, statements),
                end,
                signature);
    }

    private static Statement readStatement(ByteBuffer in) {
        String observer = text(in, 1, MAX_NAME_BYTES);
        int incarnation = in.getInt();
        int number = in.getInt();
        int count = in.get() & 0xff;
        check(count <= Statement.MAX_CLAIMS && incarnation >= 0);
        List<Claim> claims = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String node = text(in, 1, MAX_NODE_ID_BYTES);
            long startedAtMs = in.getLong();
            Claim.Kind kind = enumConstant(Claim.Kind.values(), in.get());
            claims.add(new Claim(node, startedAtMs, kind, in.get() & 0xff, in.getInt()));
        }
        byte[] signature = new byte[Identity.SIGNATURE_BYTES];
        in.get(signature);
        return new Statement(observer, incarnation, number, claims, signature);
    }

    private static Member member(ByteBuffer in) {
        String name = text(in, 1, MAX_NAME_BYTES);
        String address = text(in, 1, MAX_ADDRESS_BYTES);
        int incarnation = in.getInt();
        check(incarnation >= 0);
        Member.Status status = enumConstant(Member.Status.values(), in.get());
        return new Member(name, address, incarnation, status, text(in, 0, MAX_NAME_BYTES));
    }

    private static String text(ByteBuffer in, int minLength, int maxLength) {
        int length = in.get() & 0xff;
        check(length >= minLength && length <= maxLength);
        byte[] bytes = new byte[length];
        in.get(bytes);
        for (byte b : bytes) {
            // Names go into the log: nothing there may end a line or pass for another field.
            check(b > ' ' && b < 0x7f && b != '"');
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static <E> E enumConstant(E[] values, byte ordinal) {
        check(ordinal >= 0 && ordinal < values.length);
        return values[ordinal];
    }

    private static void check(boolean valid) {
        if (!valid) {
            throw new IllegalArgumentException("malformed");
        }
    }
}
