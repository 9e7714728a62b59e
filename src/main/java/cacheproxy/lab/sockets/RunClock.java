package cacheproxy.lab.sockets;

/**
 * Milliseconds of the run, by the monotonic clock; negative before it begins. One for all parties.
 */
final class RunClock {

    private static final double NANOS_PER_MS = 1e6;

    /** Until it begins, the run is far ahead. */
    private static final double NOT_STARTED_MS = 3_600_000;

    private volatile long startNanos;
    private volatile double startUnixMs;

    RunClock() {
        startIn(NOT_STARTED_MS);
    }

    /** Begins the run so many milliseconds from now. */
    final void startIn(double delayMs) {
        startUnixMs = System.currentTimeMillis() + delayMs;
        startNanos = System.nanoTime() + (long) (delayMs * NANOS_PER_MS);
    }

    double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }

    /** A time of the run as discovery tells it. */
    long unixMs(double runMs) {
        return runMs < 0 ? 0 : Math.round(startUnixMs + runMs);
    }
}
