package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * What a proxy keeps to at a node whose table of connections is full: no further connection is
 * opened for a pause, at first {@link #FIRST_MS} and, doubling with each one turned away, at most
 * {@link #MOST_MS}. Times are nanoseconds of one clock.
 */
public final class ConnectionBackoff {

    /**
     * A connection beyond the first to a node closes after so long without a use. Nodes hold only
     * so many, and what the proxies keep for their own next burst is missing for another's present
     * one; opening one costs a handshake.
     */
    public static final double SPARE_IDLE_TIMEOUT_MS = 250;

    private static final double INITIAL_PAUSE_MS = 50;
    private static final double MAX_PAUSE_MS = 1000;

    private double pauseMs = INITIAL_PAUSE_MS;
    private long pauseEndNanos;
    private boolean tableFull;

    /** Whether the last that is known of the table is that it was full. */
    public boolean isTableFull() {
        return tableFull;
    }

    /**
     * Whether the node turned a new connection away so lately that another is not worth its
     * handshake.
     */
    public boolean isPausing(long nowNanos) {
        return tableFull && nowNanos - pauseEndNanos < 0;
    }

    /** What is left of the pause, below 0 where it is over. */
    public long remainingNanos(long nowNanos) {
        return pauseEndNanos - nowNanos;
    }

    /** {@code draw}, from 0 to 1, spreads the pause, as every proxy meets the same full table. */
    public void recordRejection(long nowNanos, double jitter) {
        tableFull = true;
        pauseEndNanos =
                nowNanos + (long) (pauseMs * (0.5 + jitter) * TimeUnit.MILLISECONDS.toNanos(1));
        pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    }

    /** The node took a connection that was opened after it had turned one away. */
    public void recordAccepted() {
        tableFull = false;
        pauseMs = INITIAL_PAUSE_MS;
    }
}
