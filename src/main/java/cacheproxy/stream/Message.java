package cacheproxy.stream;

import cacheproxy.stream.Change.Epoch;
import java.util.List;

/**
 * A message of the change stream. Subscribers send {@link Hello} and {@link Ack}; control machines
 * send {@link Tally} to each other and all others to subscribers.
 */
public sealed interface Message
        permits Message.Hello,
                Message.Ack,
                Message.Batch,
                Message.Snapshot,
                Message.Heartbeat,
                Message.Tally {

    /**
     * The first message of a subscriber on a connection.
     *
     * @param lineage the identifier of the stream that the subscriber follows; 0 for none
     * @param cursor the last entry that it has applied
     * @param allowedBytes how many bytes of entries the server may send for now
     */
    record Hello(String name, long lineage, long cursor, long allowedBytes) implements Message {}

    /**
     * Acknowledges that the subscriber has applied all entries up to {@code applied}.
     *
     * @param allowedBytes how many bytes of entries the server may send in total since the start of
     *     the connection, counted by {@link FrameCodec#costBytes}; never decreases
     * @param stamp the subscriber's own clock, to request a {@link Heartbeat} that returns it;
     *     negative to request none
     */
    record Ack(long applied, long allowedBytes, long stamp) implements Message {}

    /** Consecutive entries; {@code firstSeq} is the sequence number of the first one. */
    record Batch(long firstSeq, List<Change> changes) implements Message {}

    /**
     * Replaces all entries up to {@code seq}: the receiver has to treat everything that it cached
     * before as purged, and puts {@code epoch} in force.
     */
    record Snapshot(long lineage, long seq, Epoch epoch) implements Message {}

    /**
     * Reports the last entry of a control machine.
     *
     * @param stamp the stamp of the {@link Ack} that requested it; negative if none did
     * @param head the sequence number of the sender's last entry
     * @param ageMs how old the sender's own view of the log is, in milliseconds
     */
    record Heartbeat(long stamp, long head, long ageMs) implements Message {}

    /** The acknowledgements of the sender's subscribers that are new since its last tally. */
    record Tally(List<Row> rows) implements Message {}

    /** The last entry that a subscriber has acknowledged. */
    record Row(String name, long acked) {}
}
