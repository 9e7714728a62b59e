package hopglade.lab.virtual;

import java.util.PriorityQueue;

/** What happens next, in the order of time and then of asking. Time moves only here. */
final class Agenda {

    private record Item(double at, long order, Runnable act) implements Comparable<Item> {

        @Override
        public int compareTo(Item other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Item> items = new PriorityQueue<>();
    private double now;
    private long asked;

    double now() {
        return now;
    }

    /** Does something at a time, or now if that has passed. */
    void at(double time, Runnable act) {
        items.add(new Item(Math.max(now, time), asked++, act));
    }

    void in(double ms, Runnable act) {
        at(now + ms, act);
    }

    /** When the next item is due; infinite when there is none. */
    double nextAt() {
        return items.isEmpty() ? Double.POSITIVE_INFINITY : items.peek().at();
    }

    /** Moves time on; never back. */
    void moveTo(double time) {
        now = Math.max(now, time);
    }

    /** Does the next item. */
    void step() {
        Item next = items.remove();
        moveTo(next.at());
        next.act().run();
    }
}
