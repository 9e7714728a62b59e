package cacheproxy.proxy;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never runs back: read once from the wall clock and carried on by
 * the monotonic one, so that a step of the wall clock moves no deadline. A step before the start
 * leaves it off by that much for the life of the process: the difference to a Unix time from
 * elsewhere is no span of time (see {@link cacheproxy.measure.Incarnation}).
 */
final class Clock {

    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1e3;

    private final LongSupplier nanos;
    private final long originNanos;
    private final double originMs;

    Clock() {
        this(System::nanoTime);
    }

    /** {@code nanos} is the monotonic clock, in nanoseconds. */
    Clock(LongSupplier nanos) {
        this.nanos = nanos;
        originNanos = nanos.getAsLong();
        Instant now = Instant.now();
        originMs = now.getEpochSecond() * MS_PER_S + now.getNano() / NANOS_PER_MS;
    }

    double now() {
        return originMs + (nanos.getAsLong() - originNanos) / NANOS_PER_MS;
    }

    /**
     * Nanoseconds until a time of this clock, rounded up so that a timer never fires early; 0 if it
     * has passed.
     */
    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }
}
