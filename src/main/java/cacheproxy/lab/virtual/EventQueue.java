package cacheproxy.lab.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The simulation's event queue and its only clock. Actions run in the order of their times; those
 * with equal times run in the order in which they were scheduled. Times are milliseconds of the
 * run.
 */
final class EventQueue {

    private record TimedAction(double at, long sequence, Runnable action)
            implements Comparable<TimedAction> {

        @Override
        public int compareTo(TimedAction other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Width of a time bucket. Most scheduled actions are time-outs far in the future, and one heap
     * of all of them would not fit into a processor's cache; only the current bucket is a heap.
     */
    private static final double BUCKET_WIDTH_MS = 4;

    private final PriorityQueue<TimedAction> dueSoon = new PriorityQueue<>();
    private final Map<Long, List<TimedAction>> laterBuckets = new HashMap<>();
    private final PriorityQueue<Long> bucketOrder = new PriorityQueue<>();
    private long currentBucket = -1;
    private double now;
    private long nextSequence;

    double now() {
        return now;
    }

    /** Schedules an action for a time, or for the present time if that has passed. */
    void scheduleAt(double time, Runnable action) {
        TimedAction item = new TimedAction(Math.max(now, time), nextSequence++, action);
        long bucket = (long) (item.at() / BUCKET_WIDTH_MS);
        if (bucket <= currentBucket) {
            dueSoon.add(item);
        } else {
            laterBuckets
                    .computeIfAbsent(
                            bucket,
                            b -> {
                                bucketOrder.add(b);
                                return new ArrayList<>();
                            })
                    .add(item);
        }
    }

    /** Schedules an action for {@code delayMs} from now. */
    void scheduleIn(double delayMs, Runnable action) {
        scheduleAt(now + delayMs, action);
    }

    /** Returns the time of the next action, or infinity if none is scheduled. */
    double nextEventAt() {
        loadNextBucket();
        return dueSoon.isEmpty() ? Double.POSITIVE_INFINITY : dueSoon.peek().at();
    }

    private void loadNextBucket() {
        if (dueSoon.isEmpty() && !bucketOrder.isEmpty()) {
            currentBucket = bucketOrder.remove();
            dueSoon.addAll(laterBuckets.remove(currentBucket));
        }
    }

    /** Advances the clock to a time; a time in the past has no effect. */
    void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** Advances the clock to the next action and runs it. */
    void runNext() {
        loadNextBucket();
        TimedAction next = dueSoon.remove();
        advanceTo(next.at());
        next.action().run();
    }
}
