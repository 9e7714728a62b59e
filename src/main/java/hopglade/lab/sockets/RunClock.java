package hopglade.lab.sockets;

/** Milliseconds of the run, by the monotonic clock; negative before it begins. One for all parties. */
final class RunClock {

    private static final double NANOS_PER_MS = 1e6;

    private volatile long originNanos = System.nanoTime();
    private volatile double originUnixMs = System.currentTimeMillis();

    /** Begins the run so many milliseconds from now. */
    void beginIn(double ms) {
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
