package cacheproxy.proxy;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Logs outages of discovery: once when an outage has lasted for {@link #UNREACHABLE_AFTER_MS}, and
 * once when a message is received again. Does not influence the attempts. Not thread-safe: it is
 * used on the event loop only.
 */
final class DiscoveryOutage {

    /** Time without a message after which discovery is logged as unreachable. */
    static final long UNREACHABLE_AFTER_MS = 4000;

    private static final String NO_ANSWER = "no answer";

    private final LongSupplier nanoClock;

    /** When the last message was received, or before any message when the first attempt began. */
    private long silentSinceNanos;

    private boolean started;

    /** Attempts since the last message or the last change of the address. */
    private int attemptCount;

    /** Whether one of these attempts has failed. */
    private boolean hasFailed;

    private String lastError = NO_ANSWER;

    /** The address that was logged as unreachable; null while no outage is logged. */
    private InetSocketAddress reportedAddress;

    /** {@code nanoClock} is a monotonic clock in nanoseconds. */
    DiscoveryOutage(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /** An attempt to reach discovery at this address begins. */
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

    /**
     * An attempt, or a watch that had received messages, has failed. Returns true for the first
     * failure since the last message.
     */
    boolean attemptFailed(String error) {
        boolean first = !hasFailed;
        hasFailed = true;
        lastError = error;
        return first;
    }

    boolean hasFailed() {
        return hasFailed;
    }

    /** A complete message was received from this address. */
    void messageReceived(InetSocketAddress address) {
        if (reportedAddress != null) {
            Log.event("discovery_restored", "address", address, "after_ms", silentMs());
            reportedAddress = null;
        }
        started = true;
        silentSinceNanos = nanoClock.getAsLong();
        resetAttempts();
    }

    /** Further attempts go to another address. */
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
