package cacheproxy.stream;

/**
 * A bank of bytes that fills steadily: over any time t, {@code burst + rate * t} at most are taken
 * from it.
 */
final class Pace {

    private static final double MS_PER_S = 1000;

    private final double bytesPerS;
    private final double burstBytes;
    private double held;
    private double at;

    Pace(double bytesPerS, double burstBytes, double now) {
        this.bytesPerS = bytesPerS;
        this.burstBytes = burstBytes;
        this.held = burstBytes;
        this.at = now;
    }

    long held(double now) {
        held = Math.min(burstBytes, held + Math.max(0, now - at) / MS_PER_S * bytesPerS);
        at = Math.max(at, now);
        return (long) Math.max(0, held);
    }

    void take(double now, int bytes) {
        held(now);
        held -= bytes;
    }
}
