package cacheproxy.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Heartbeat;
import cacheproxy.stream.Message.Hello;
import cacheproxy.stream.Message.Row;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Message.Tally;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Frames decode to the message that was encoded, the computed size of a change is exact, and
 * malformed frames are rejected with an IllegalArgumentException only.
 */
class FrameCodecTest {

    private static final List<Message> MESSAGES =
            List.of(
                    new Hello("proxy-7", -3, -1, 24_576),
                    new Ack(0, Long.MAX_VALUE, -1),
                    new Ack(127, 128, 0),
                    new Batch(
                            1L << 40,
                            List.of(
                                    new Purge("/a/ü/€/😀", false),
                                    new Purge("", true),
                                    new Epoch(300, "[log]\nx = 1\n"))),
                    new Batch(1, List.of()),
                    new Snapshot(Long.MIN_VALUE, 16_384, Epoch.NONE),
                    new Heartbeat(-1, 12, 0),
                    new Heartbeat(5, 0, Integer.MAX_VALUE),
                    new Tally(List.of()),
                    new Tally(List.of(new Row("a", 5), new Row("proxy-779", 337_000))));

    @Test
    void decodesWhatItEncodes() {
        for (Message message : MESSAGES) {
            assertEquals(message, FrameCodec.decode(ByteBuffer.wrap(FrameCodec.encode(message))));
        }
        assertEquals(
                34, FrameCodec.encodedBytes(new Purge("/objects/0123456789abcdef/012345", false)));
    }

    @Test
    void computesEncodedLengthOfChange() {
        Random random = new Random(5);
        for (int i = 0; i < 2000; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(200); n > 0; n--) {
                text.append(
                        (char)
                                (random.nextBoolean()
                                        ? random.nextInt(128)
                                        : random.nextInt(0x10000)));
            }
            Change change =
                    random.nextBoolean()
                            ? new Epoch(random.nextLong() >>> random.nextInt(63), text.toString())
                            : new Purge(text.toString(), random.nextBoolean());
            ByteBuffer to = ByteBuffer.allocate(2000);
            FrameCodec.writeChange(to, change);
            assertEquals(to.position(), FrameCodec.encodedBytes(change), change.toString());
        }
        assertTrue(FrameCodec.isEncodable(new Epoch(1, "x".repeat(16_384))));
        assertTrue(!FrameCodec.isEncodable(new Epoch(1, "€".repeat(16_384))));
    }

    @Test
    void rejectsTruncatedAndCorruptedFrames() {
        Random random = new Random(3);
        for (Message message : MESSAGES) {
            byte[] frame = FrameCodec.encode(message);
            for (int length = 0; length < frame.length; length++) {
                ByteBuffer part = ByteBuffer.wrap(Arrays.copyOf(frame, length));
                assertThrows(
                        IllegalArgumentException.class,
                        () -> FrameCodec.decode(part),
                        message + " cut at " + length);
            }
            assertThrows(
                    IllegalArgumentException.class,
                    () ->
                            FrameCodec.decode(
                                    ByteBuffer.wrap(Arrays.copyOf(frame, frame.length + 1))));
            for (int i = 0; i < 500; i++) {
                byte[] corrupted = frame.clone();
                corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
                try {
                    FrameCodec.decode(ByteBuffer.wrap(corrupted));
                } catch (IllegalArgumentException expected) {
                    // Decoding to another message is allowed too; other exceptions are not.
                    continue;
                }
            }
        }
    }
}
