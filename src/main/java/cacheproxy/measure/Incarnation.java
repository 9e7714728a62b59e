package cacheproxy.measure;

/**
 * One run of a cache node's process, and its age by the caller's monotonic clock.
 *
 * <p>The host list states a start as a time of some wall clock, and any machine's wall clock may be
 * stepped. The stated time is therefore an identifier: another one is another incarnation, whether
 * it is larger or smaller. The age counts from the notification. A stated time may make it older by
 * what a list may be late or, in the first list of our own process, by any time. All times are in
 * milliseconds.
 */
public final class Incarnation {

    /**
     * The latest that a start may be told, counted from when discovery had it and could be reached:
     * the standing test's term on silent watches and failed calls.
     */
    public static final double MAX_NOTIFICATION_DELAY_MS = 6000;

    /**
     * How far back an outage of discovery may explain a stated start. Further back the two clocks
     * are taken to disagree, and the stated time tells nothing of the age.
     */
    static final double MAX_DISCOVERY_OUTAGE_MS = 60_000;

    /** What the host list states for a process that started long ago. */
    private static final double LONG_AGO = 0;

    private double statedMs = LONG_AGO;

    /** The stated start of the incarnation before: an older list may still name it. */
    private double previousStatedMs = LONG_AGO;

    private double startedAt = Double.NEGATIVE_INFINITY;

    /**
     * Takes in the start that a list states, and tells whether that is a new incarnation. A start
     * long ago is none, nor is that of the incarnation before this one, which an older list states.
     *
     * @param now when the list came, by our clock
     * @param statedMs the stated start, Unix time, or 0 for long ago
     * @param firstList whether the list may tell of what was so before our own process began: a
     *     node may then have run for any time, and one far back is taken to be warm
     */
    public boolean recordStatedStart(double now, double statedMs, boolean firstList) {
        if (statedMs == LONG_AGO
                || isSame(statedMs, this.statedMs)
                || isSame(statedMs, previousStatedMs)) {
            return false;
        }
        previousStatedMs = this.statedMs;
        this.statedMs = statedMs;
        // It cannot have begun before the one that it follows.
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
     * The process has been replaced at some time since {@code since}: an incarnation that began
     * before is over, and the one that follows counts from now until a list states its start.
     */
    public void markReplacedSince(double now, double since) {
        if (startedAt < since) {
            startedAt = now;
        }
    }

    /** When it began, by our clock; negative infinity for one that started long ago. */
    public double startedAt() {
        return startedAt;
    }

    /** How long it has run; infinite for one that started long ago. */
    public double ageMs(double now) {
        return now - startedAt;
    }
}
