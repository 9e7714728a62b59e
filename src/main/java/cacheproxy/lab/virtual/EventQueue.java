package cacheproxy.lab.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** What happens next, in the order of time and then of asking. Time moves only here. */
final class EventQueue {

    private record TimedAction(double at, long sequence, Runnable action)
            implements Comparable<TimedAction> {

        @Override
        public int compareTo(TimedAction other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(sequence, other.sequence);
        }
    }

    /**
     * Most of what is asked for is a time-out far ahead; a heap of all of it would not fit a
     * processor's cache.
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

    /** Does something at a time, or now if that has passed. */
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

    void scheduleIn(double delayMs, Runnable action) {
        scheduleAt(now + delayMs, action);
    }

    /** When the next item is due; infinite when there is none. */
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

    /** Moves time on; never back. */
    void advanceTo(double time) {
        now = Math.max(now, time);
    }

    /** Does the next item. */
    void runNext() {
        loadNextBucket();
        TimedAction next = dueSoon.remove();
        advanceTo(next.at());
        next.action().run();
    }
}
