package cacheproxy.measure;

/**
 * One run of a cache node's process, and its age by the caller's monotonic clock.
 *
 * <p>The endpoint list states a start time of some wall clock, and any machine's wall clock may be
 * stepped. The stated time is therefore an identifier: a different one is another incarnation,
 * whether it is larger or smaller. The age counts from the notification. A stated time may add to
 * the age the delay that an endpoint list can have or, in the first list that our own process
 * receives, any time. All times are in milliseconds.
 */
public final class Incarnation {

    /**
     * Maximum delay of the notification of a start, counted from when discovery knew of it and was
     * reachable: the standing test's limit for silent watches and failed calls.
     */
    public static final double MAX_NOTIFICATION_DELAY_MS = 6000;

    /**
     * Maximum age of a stated start that an outage of discovery can explain. Beyond it the two
     * clocks are assumed to disagree, and the stated time says nothing about the age.
     */
    static final double MAX_DISCOVERY_OUTAGE_MS = 60_000;

    /** Stated start of a process that started long ago. */
    private static final double LONG_AGO = 0;

    private double statedMs = LONG_AGO;

    /** The stated start of the previous incarnation, which an older list may still name. */
    private double previousStatedMs = LONG_AGO;

    private double startedAt = Double.NEGATIVE_INFINITY;

    /**
     * Records the start that a list states and returns whether it is a new incarnation. A start
     * long ago is not, nor is the start of the previous incarnation, which an older list may state.
     *
     * @param now when the list arrived, by our clock
     * @param statedMs the stated start as Unix time, or 0 for long ago
     * @param firstList whether the list may state what happened before our own process started: a
     *     node may then have run for any time, and one that started long before is assumed to be
     *     warm
     */
    public boolean recordStatedStart(double now, double statedMs, boolean firstList) {
        if (statedMs == LONG_AGO
                || isSame(statedMs, this.statedMs)
                || isSame(statedMs, previousStatedMs)) {
            return false;
        }
        previousStatedMs = this.statedMs;
        this.statedMs = statedMs;
        // It cannot have started before the previous incarnation.
        startedAt = Math.max(startedAt, earliestStart(now, statedMs, firstList));
        return true;
    }

    private static double earliestStart(double now, double statedMs, boolean firstList) {
        double ageMs = now - statedMs;
        boolean clocksAgree = ageMs >= 0 && (firstList || ageMs <= MAX_DISCOVERY_OUTAGE_MS);
        if (!clocksAgree) {
            return now;
        }
        return firstList ? statedMs : Math.max(statedMs, now - MAX_NOTIFICATION_DELAY_MS);
    }

    private static boolean isSame(double stated, double known) {
        return Double.compare(stated, known) == 0;
    }

    /**
     * Records that the process was replaced at some time since {@code since}: an incarnation that
     * started earlier has ended, and the next one counts from now until a list states its start.
     */
    public void markReplacedSince(double now, double since) {
        if (startedAt < since) {
            startedAt = now;
        }
    }

    /** Start time by our clock; negative infinity if it started long ago. */
    public double startedAt() {
        return startedAt;
    }

    /** How long it has run; infinite if it started long ago. */
    public double ageMs(double now) {
        return now - startedAt;
    }
}
