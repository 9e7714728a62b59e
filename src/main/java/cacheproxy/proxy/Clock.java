package cacheproxy.proxy;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in milliseconds that never runs backwards: the wall clock is read once, and the
 * monotonic clock advances the value from there, so that a step of the wall clock moves no
 * deadline. If the wall clock is wrong at the start, this clock keeps that error until the process
 * ends; the difference to a Unix time from another machine is therefore not a time span (see {@link
 * cacheproxy.measure.Incarnation}).
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

    /** {@code nanoClock} is the monotonic clock, in nanoseconds. */
    Clock(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
        startNanos = nanoClock.getAsLong();
        Instant startInstant = Instant.now();
        startMs = startInstant.getEpochSecond() * MS_PER_S + startInstant.getNano() / NANOS_PER_MS;
    }

    /** Returns the Unix time in milliseconds. */
    double now() {
        return startMs + (nanoClock.getAsLong() - startNanos) / NANOS_PER_MS;
    }

    /**
     * Returns the nanoseconds until {@code atMs} on this clock, rounded up so that a timer never
     * fires early, or 0 if that time has passed.
     */
    long nanosUntil(double atMs) {
        return Math.max(0, (long) Math.ceil((atMs - now()) * NANOS_PER_MS));
    }
}
