package cacheproxy.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cacheproxy.stream.Change.Epoch;
import cacheproxy.stream.Change.Purge;
import cacheproxy.stream.Message.Ack;
import cacheproxy.stream.Message.Batch;
import cacheproxy.stream.Message.Beat;
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
 * What is written is read again, its length is known beforehand, and what is no frame is refused.
 */
class FramesTest {

    private static final List<Message> ALL =
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
                    new Beat(-1, 12, 0),
                    new Beat(5, 0, Integer.MAX_VALUE),
                    new Tally(List.of()),
                    new Tally(List.of(new Row("a", 5), new Row("proxy-779", 337_000))));

    @Test
    void whatIsWrittenIsReadAgain() {
        for (Message m : ALL) {
            assertEquals(m, Frames.decode(ByteBuffer.wrap(Frames.encode(m))));
        }
        assertEquals(34, Frames.bytes(new Purge("/objects/0123456789abcdef/012345", false)));
    }

    @Test
    void aChangesLengthIsKnownBeforehand() {
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
            Change c =
                    random.nextBoolean()
                            ? new Epoch(random.nextLong() >>> random.nextInt(63), text.toString())
                            : new Purge(text.toString(), random.nextBoolean());
            ByteBuffer to = ByteBuffer.allocate(2000);
            Frames.write(to, c);
            assertEquals(to.position(), Frames.bytes(c), c.toString());
        }
        assertTrue(Frames.fits(new Epoch(1, "x".repeat(16_384))));
        assertTrue(!Frames.fits(new Epoch(1, "€".repeat(16_384))));
    }

    @Test
    void whatIsNoFrameIsRefusedWhereverItIsCutOrSpoilt() {
        Random random = new Random(3);
        for (Message m : ALL) {
            byte[] frame = Frames.encode(m);
            for (int cut = 0; cut < frame.length; cut++) {
                ByteBuffer part = ByteBuffer.wrap(Arrays.copyOf(frame, cut));
                assertThrows(
                        IllegalArgumentException.class,
                        () -> Frames.decode(part),
                        m + " cut at " + cut);
            }
            assertThrows(
                    IllegalArgumentException.class,
                    () -> Frames.decode(ByteBuffer.wrap(Arrays.copyOf(frame, frame.length + 1))));
            for (int i = 0; i < 500; i++) {
                byte[] spoilt = frame.clone();
                spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 + random.nextInt(255));
                try {
                    Frames.decode(ByteBuffer.wrap(spoilt));
                } catch (IllegalArgumentException expected) {
                    // Or another message: only nothing else may be thrown.
                    continue;
                }
            }
        }
    }
}
