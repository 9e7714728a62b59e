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
    static final long UNREACHABLE_MS = 4000;

    private static final String NO_ANSWER = "no answer";

    private final LongSupplier nanos;

    /** When the last word came from discovery, or else the first attempt began. */
    private long quietSince;

    private boolean begun;

    /** Attempts since the last word, or since the last move to another address. */
    private int attempts;

    /** Whether one has failed since then. */
    private boolean failed;

    private String lastError = NO_ANSWER;

    /** The address that the log told of as unreachable; null where it told of no outage. */
    private InetSocketAddress reported;

    /** {@code nanos} is a monotonic clock, in nanoseconds. */
    DiscoveryOutage(LongSupplier nanos) {
        this.nanos = nanos;
    }

    /** An attempt begins at this address. */
    void attempt(InetSocketAddress address) {
        if (!begun) {
            begun = true;
            quietSince = nanos.getAsLong();
        }
        if (attempts > 0 && quietMs() > UNREACHABLE_MS && !address.equals(reported)) {
            reported = address;
            Log.warn(
                    "discovery_unreachable",
                    "address",
                    address,
                    "since_ms",
                    quietMs(),
                    "cause",
                    lastError);
        }
        attempts++;
    }

    /** An attempt, or a watch that had spoken, has failed; true for the first since that word. */
    boolean failed(String error) {
        boolean first = !failed;
        failed = true;
        lastError = error;
        return first;
    }

    boolean hasFailed() {
        return failed;
    }

    /** Discovery has said a whole word, from this address. */
    void heard(InetSocketAddress address) {
        if (reported != null) {
            Log.event("discovery_restored", "address", address, "after_ms", quietMs());
            reported = null;
        }
        begun = true;
        quietSince = nanos.getAsLong();
        forgetAttempts();
    }

    /** From here on the attempts go to another address. */
    void moved() {
        forgetAttempts();
    }

    private void forgetAttempts() {
        attempts = 0;
        failed = false;
        lastError = NO_ANSWER;
    }

    private long quietMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - quietSince);
    }
}
