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

    private final LongSupplier nanoClock;
    private final long startNanos;
    private final double startMs;

    Clock() {
        this(System::nanoTime);
    }

    /** {@code nanos} is the monotonic clock, in nanoseconds. */
    Clock(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        startNanos = nanoClock.getAsLong();
        Instant startInstant = Instant.now();
        startMs = startInstant.getEpochSecond() * MS_PER_S + startInstant.getNano() / NANOS_PER_MS;
    }

    double now() {
        return startMs + (nanoClock.getAsLong() - startNanos) / NANOS_PER_MS;
    }

    /**
     * Nanoseconds until a time of this clock, rounded up so that a timer never fires early; 0 if it
     * has passed.
     */
    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }
}
