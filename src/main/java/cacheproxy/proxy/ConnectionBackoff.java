package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Back-off for opening connections to a node whose connection table is full. After a rejected
 * connection no further one is opened for a pause, which starts at {@link #INITIAL_PAUSE_MS} and
 * doubles with each rejection up to {@link #MAX_PAUSE_MS}. All times are nanoseconds of one
 * monotonic clock.
 */
public final class ConnectionBackoff {

    /**
     * Idle time after which every connection to a node but the last one is closed. Nodes accept a
     * limited number of connections, so connections that proxies keep for their own next burst are
     * not available to other proxies. Opening a connection costs a handshake.
     */
    public static final double SPARE_IDLE_TIMEOUT_MS = 250;

    private static final double INITIAL_PAUSE_MS = 50;
    private static final double MAX_PAUSE_MS = 1000;

    private double pauseMs = INITIAL_PAUSE_MS;
    private long pauseEndNanos;
    private boolean tableFull;

    /** Whether the node's table was full at the latest attempt to open a connection. */
    public boolean isTableFull() {
        return tableFull;
    }

    /**
     * Whether the node rejected a new connection so recently that another attempt does not justify
     * its handshake.
     */
    public boolean isPausing(long nowNanos) {
        return tableFull && nowNanos - pauseEndNanos < 0;
    }

    /** Remaining pause in nanoseconds; negative once it is over. */
    public long remainingNanos(long nowNanos) {
        return pauseEndNanos - nowNanos;
    }

    /**
     * Records that the node rejected a new connection.
     *
     * @param jitter random number from 0 to 1 that spreads the pause, as every proxy finds the same
     *     table full
     */
    public void recordRejection(long nowNanos, double jitter) {
        tableFull = true;
        pauseEndNanos =
                nowNanos + (long) (pauseMs * (0.5 + jitter) * TimeUnit.MILLISECONDS.toNanos(1));
        pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
    }

    /** Records that the node accepted a connection that was opened after a rejection. */
    public void recordAccepted() {
        tableFull = false;
        pauseMs = INITIAL_PAUSE_MS;
    }
}
