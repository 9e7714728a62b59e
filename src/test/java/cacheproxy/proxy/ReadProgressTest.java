package cacheproxy.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The time that a client may need to read what the kernel has taken, for readers of any pace. */
class ReadProgressTest {

    private static final long MEBIBYTE = 1 << 20;

    /** A clock's values may be negative. */
    private static final long START_NANOS = -TimeUnit.DAYS.toNanos(3);

    private static final int ROUNDS = 40;

    private final ReadProgress progress = new ReadProgress();

    @ParameterizedTest
    @CsvSource({
        // mebibytes that the kernel takes first, bytes of each later step, bytes read a second
        "4, 1400000, 64000",
        "4, 1400000, 100000",
        "4, 100000, 48000",
        "1, 670000, 64000",
        "0, 20000, 64000",
    })
    void steadyReaderIsNeverOverItsTime(long firstMebibytes, long stepBytes, long bytesPerS) {
        long stepMs = stepBytes * 1000 / bytesPerS;
        long now = START_NANOS;
        progress.recordTaken(firstMebibytes * MEBIBYTE + stepBytes, now);
        for (int round = 0; round < ROUNDS; round++) {
            assertTrue(
                    stepMs <= progress.readingMs() + 1,
                    "round " + round + ": " + progress.readingMs() + " ms for " + stepMs);
            now += TimeUnit.MILLISECONDS.toNanos(stepMs);
            progress.recordTaken(stepBytes, now);
        }
    }

    @Test
    void clientThatReadFastAndStoppedHasTimeForOneBufferOnly() {
        long now = START_NANOS;
        for (int i = 0; i < ROUNDS; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(1);
            progress.recordTaken(MEBIBYTE, now);
        }
        assertEquals(
                ReadProgress.MAX_BUFFERED_BYTES * 1000 / ClientRate.MIN_BYTES_PER_S,
                progress.readingMs());
    }

    @Test
    void shortResponsesLeaveNoTimeOnceTheyCanBeRead() {
        progress.recordTaken(200, START_NANOS);
        progress.recordTaken(200, START_NANOS + TimeUnit.SECONDS.toNanos(1));
        assertEquals(200 * 1000 / ClientRate.MIN_BYTES_PER_S, progress.readingMs());
    }
}
