package cacheproxy.lab.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** What happens next, in the order of time and then of asking. Time moves only here. */
final class Agenda {

    private record Item(double at, long order, Runnable act) implements Comparable<Item> {

        @Override
        public int compareTo(Item other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(order, other.order);
        }
    }

    /**
     * Most of what is asked for is a time-out far ahead; a heap of all of it would not fit a
     * processor's cache.
     */
    private static final double BUCKET_MS = 4;

    private final PriorityQueue<Item> near = new PriorityQueue<>();
    private final Map<Long, List<Item>> far = new HashMap<>();
    private final PriorityQueue<Long> buckets = new PriorityQueue<>();
    private long nearest = -1;
    private double now;
    private long asked;

    double now() {
        return now;
    }

    /** Does something at a time, or now if that has passed. */
    void at(double time, Runnable act) {
        Item item = new Item(Math.max(now, time), asked++, act);
        long bucket = (long) (item.at() / BUCKET_MS);
        if (bucket <= nearest) {
            near.add(item);
        } else {
            far.computeIfAbsent(
                            bucket,
                            b -> {
                                buckets.add(b);
                                return new ArrayList<>();
                            })
                    .add(item);
        }
    }

    void in(double ms, Runnable act) {
        at(now + ms, act);
    }

    /** When the next item is due; infinite when there is none. */
    double nextAt() {
        refill();
        return near.isEmpty() ? Double.POSITIVE_INFINITY : near.peek().at();
    }

    private void refill() {
        if (near.isEmpty() && !buckets.isEmpty()) {
            nearest = buckets.remove();
            near.addAll(far.remove(nearest));
        }
    }

    /** Moves time on; never back. */
    void moveTo(double time) {
        now = Math.max(now, time);
    }

    /** Does the next item. */
    void step() {
        refill();
        Item next = near.remove();
        moveTo(next.at());
        next.act().run();
    }
}
