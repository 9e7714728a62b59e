package cacheproxy.proxy;

import java.util.concurrent.TimeUnit;

/**
 * What a proxy keeps to at a node whose table of connections is full: no further connection is
 * opened for a pause, at first {@link #FIRST_MS} and, doubling with each one turned away, at most
 * {@link #MOST_MS}. Times are nanoseconds of one clock.
 */
public final class FullTable {

    /**
     * A connection beyond the first to a node closes after so long without a use. Nodes hold only
     * so many, and what the proxies keep for their own next burst is missing for another's present
     * one; opening one costs a handshake.
     */
    public static final double SPARE_MS = 250;

    private static final double FIRST_MS = 50;
    private static final double MOST_MS = 1000;

    private double pauseMs = FIRST_MS;
    private long until;
    private boolean met;

    /** Whether the last that is known of the table is that it was full. */
    public boolean met() {
        return met;
    }

    /**
     * Whether the node turned a new connection away so lately that another is not worth its
     * handshake.
     */
    public boolean pausing(long now) {
        return met && now - until < 0;
    }

    /** What is left of the pause, below 0 where it is over. */
    public long leftNanos(long now) {
        return until - now;
    }

    /** {@code draw}, from 0 to 1, spreads the pause, as every proxy meets the same full table. */
    public void turnedAway(long now, double draw) {
        met = true;
        until = now + (long) (pauseMs * (0.5 + draw) * TimeUnit.MILLISECONDS.toNanos(1));
        pauseMs = Math.min(MOST_MS, 2 * pauseMs);
    }

    /** The node took a connection that was opened after it had turned one away. */
    public void tookOne() {
        met = false;
        pauseMs = FIRST_MS;
    }
}
