package cacheproxy.stream;

/**
 * A token bucket of bytes that is refilled at a constant rate: with a caller that takes no more
 * than is available, at most {@code burst + rate * t} bytes are taken in any period t.
 */
final class ByteTokenBucket {

    private static final double MS_PER_S = 1000;

    private final double bytesPerS;
    private final double burstBytes;
    private double availableBytes;
    private double refilledAtMs;

    ByteTokenBucket(double bytesPerS, double burstBytes, double now) {
        this.bytesPerS = bytesPerS;
        this.burstBytes = burstBytes;
        this.availableBytes = burstBytes;
        this.refilledAtMs = now;
    }

    long available(double now) {
        availableBytes =
                Math.min(
                        burstBytes,
                        availableBytes + Math.max(0, now - refilledAtMs) / MS_PER_S * bytesPerS);
        refilledAtMs = Math.max(refilledAtMs, now);
        return (long) Math.max(0, availableBytes);
    }

    void take(double now, int bytes) {
        available(now);
        availableBytes -= bytes;
    }
}
