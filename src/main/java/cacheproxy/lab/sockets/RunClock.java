package cacheproxy.lab.sockets;

/**
 * Milliseconds of the run, by the monotonic clock; negative before it begins. One for all parties.
 */
final class RunClock {

    private static final double NANOS_PER_MS = 1e6;

    /** Until it begins, the run is far ahead. */
    private static final double NOT_BEGUN_MS = 3_600_000;

    private volatile long originNanos;
    private volatile double originUnixMs;

    RunClock() {
        beginIn(NOT_BEGUN_MS);
    }

    /** Begins the run so many milliseconds from now. */
    final void beginIn(double ms) {
        originUnixMs = System.currentTimeMillis() + ms;
        originNanos = System.nanoTime() + (long) (ms * NANOS_PER_MS);
    }

    double now() {
        return (System.nanoTime() - originNanos) / NANOS_PER_MS;
    }

    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }

    /** A time of the run as discovery tells it. */
    long unixMs(double at) {
        return at < 0 ? 0 : Math.round(originUnixMs + at);
    }
}
