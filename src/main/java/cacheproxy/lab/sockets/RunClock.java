package cacheproxy.lab.sockets;

/**
 * The clock of a run, shared by all its parts: milliseconds since the start by the monotonic clock,
 * negative before the start.
 */
final class RunClock {

    private static final double NANOS_PER_MS = 1e6;

    /** Delay until the start that is assumed while no start is scheduled: one hour. */
    private static final double NOT_STARTED_MS = 3_600_000;

    private volatile long startNanos;
    private volatile double startUnixMs;

    RunClock() {
        startIn(NOT_STARTED_MS);
    }

    /** Schedules the start of the run. */
    final void startIn(double delayMs) {
        startUnixMs = System.currentTimeMillis() + delayMs;
        startNanos = System.nanoTime() + (long) (delayMs * NANOS_PER_MS);
    }

    /** Returns the current time of the run in ms. */
    double now() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }

    /** Converts a time of the run to Unix time in ms; 0 for times before the start. */
    long unixMs(double runMs) {
        return runMs < 0 ? 0 : Math.round(startUnixMs + runMs);
    }
}
