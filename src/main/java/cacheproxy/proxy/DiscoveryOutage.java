package cacheproxy.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells the log of an outage of discovery: once when it has lasted for {@link #UNREACHABLE_MS}, and
 * once when something is heard again. Decides nothing about attempts. Used on the event loop alone.
 */
final class DiscoveryOutage {

    /** How long nothing may be heard before that is worth a line of the log. */
    static final long UNREACHABLE_AFTER_MS = 4000;

    private static final String NO_ANSWER = "no answer";

    private final LongSupplier nanoClock;

    /** When the last word came from discovery, or else the first attempt began. */
    private long silentSinceNanos;

    private boolean started;

    /** Attempts since the last word, or since the last move to another address. */
    private int attemptCount;

    /** Whether one has failed since then. */
    private boolean hasFailed;

    private String lastError = NO_ANSWER;

    /** The address that the log told of as unreachable; null where it told of no outage. */
    private InetSocketAddress reportedAddress;

    /** {@code nanos} is a monotonic clock, in nanoseconds. */
    DiscoveryOutage(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** An attempt begins at this address. */
    void attemptStarted(InetSocketAddress address) {
        if (!started) {
            started = true;
            silentSinceNanos = nanoClock.getAsLong();
        }
        if (attemptCount > 0
                && silentMs() > UNREACHABLE_AFTER_MS
                && !address.equals(reportedAddress)) {
            reportedAddress = address;
            Log.warn(
                    "discovery_unreachable",
                    "address",
                    address,
                    "since_ms",
                    silentMs(),
                    "cause",
                    lastError);
        }
        attemptCount++;
    }

    /** An attempt, or a watch that had spoken, has failed; true for the first since that word. */
    boolean attemptFailed(String error) {
        boolean first = !hasFailed;
        hasFailed = true;
        lastError = error;
        return first;
    }

    boolean hasFailed() {
        return hasFailed;
    }

    /** Discovery has said a whole word, from this address. */
    void messageReceived(InetSocketAddress address) {
        if (reportedAddress != null) {
            Log.event("discovery_restored", "address", address, "after_ms", silentMs());
            reportedAddress = null;
        }
        started = true;
        silentSinceNanos = nanoClock.getAsLong();
        resetAttempts();
    }

    /** From here on the attempts go to another address. */
    void addressChanged() {
        resetAttempts();
    }

    private void resetAttempts() {
        attemptCount = 0;
        hasFailed = false;
        lastError = NO_ANSWER;
    }

    private long silentMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - silentSinceNanos);
    }
}
