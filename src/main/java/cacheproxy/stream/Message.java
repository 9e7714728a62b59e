package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import java.util.List;

/**
 * What goes over a connection: {@link Hello} and {@link Ack} up, the others down, {@link Tally}
 * from one control machine to another.
 */
public sealed interface Message
        permits Message.Hello,
                Message.Ack,
                Message.Batch,
                Message.Snapshot,
                Message.Heartbeat,
                Message.Tally {

    /**
     * Opens a connection: whose stream is known ({@code lineage}, 0 for none) up to where, and how
     * many bytes of entries may come.
     */
    record Hello(String name, long lineage, long cursor, long allowedBytes) implements Message {}

    /**
     * All up to {@code applied} is in force here. {@code allowedBytes} counts from the connection's
     * start, as {@link FrameCodec#costBytes} does, and never shrinks. A {@code stamp} of the
     * sender's own clock asks for a beat; a negative one asks for nothing.
     */
    record Ack(long applied, long allowedBytes, long stamp) implements Message {}

    /** Entries without a gap; {@code first} is the place of the first one. */
    record Batch(long firstSeq, List<Change> changes) implements Message {}

    /**
     * Whoever takes it is at {@code seq}: all that was kept from before counts as purged, and
     * {@code epoch} is in force.
     */
    record Snapshot(long lineage, long seq, Epoch epoch) implements Message {}

    /**
     * The sender's last entry, and how old its own knowledge of that is; {@code stamp} is the one
     * that was asked with.
     */
    record Heartbeat(long stamp, long head, long ageMs) implements Message {}

    /** How far those have come whom the sender serves: what has changed since its last tally. */
    record Tally(List<Row> rows) implements Message {}

    /** One subscriber's last confirmed entry. */
    record Row(String name, long acked) {}
}
