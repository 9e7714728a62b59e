package cacheproxy.membership;

import cacheproxy.membership.Message.RelayedStatement;
import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes packets. A packet consists of an envelope, a message and a signature over
 * both, at most {@link #MAX_PACKET_BYTES} in total, which fits into one unfragmented UDP packet on
 * common network paths. Numbers are big-endian; a string is its length in one byte followed by its
 * bytes.
 */
final class PacketCodec {

    static final int MAX_PACKET_BYTES = 1200;

    /** Maximum size of a packet's envelope, list counts and signature, rounded up. */
    static final int MAX_ENVELOPE_BYTES = 250;

    static final int MAX_NAME_BYTES = 32;
    static final int MAX_ADDRESS_BYTES = 64;
    static final int MAX_NODE_ID_BYTES = 64;
    private static final int MAGIC = 0x464c;

    /** Version 2 added the accuser of a suspected member and the nack of relays (Lifeguard). */
    private static final int VERSION = 2;

    private static final int MAX_AGE_MS = 0xffff;
    private static final int MAX_LIST_ITEMS = 0xff;

    /**
     * The sender and the proof that the packet is fresh.
     *
     * @param nonce identifies the sender's incarnation, a random number drawn at its start
     * @param echo the receiver's nonce as known to the sender; 0 if unknown
     * @param token the token that the receiver has granted to this nonce; 0 if none
     * @param grant the token that the receiver may use in its own packets
     * @param counter increases with each packet
     */
    record Envelope(
            String from, int keyId, long nonce, long echo, long token, long grant, int counter) {}

    record Packet(Envelope envelope, Message message, int signedBytes, byte[] signature) {}

    private PacketCodec() {}

    /**
     * Encodes the envelope and as many statements and members as fit, in list order. Returns the
     * bytes to sign; the buffer's position is their count.
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
        // Statements first: they prevent failed requests, whereas missing members are recovered
        // through the table digest.
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

    /** Returns the bytes that the observer of a statement signs. */
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

    /** Returns the size of a statement in a packet, in bytes. */
    static int encodedBytes(Statement statement) {
        return 2 + bytesToSign(statement).length + Identity.SIGNATURE_BYTES;
    }

    /**
     * Returns the size of a member in a packet, in bytes: three strings, an incarnation and a
     * status.
     */
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
     * Decodes a packet without verifying its signature: the sender's name is only claimed. Returns
     * null if the bytes are not a valid packet of this protocol version.
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
            // Names are written to the log, where no character may end a line or a quoted field.
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
            throw new IllegalArgumentException("malformed gossip packet");
        }
    }
}
