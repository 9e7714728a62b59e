package cacheproxy.measure;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum over a sliding window. Times are the caller's and never decrease, neither those of amounts
 * nor those of windows; amounts before the window are discarded.
 */
public final class SlidingSum {

    private record Amount(double at, double size) {}

    private final Deque<Amount> amounts = new ArrayDeque<>();
    private double sum;

    /** Adds an amount at the given time. */
    public void add(double at, double size) {
        amounts.add(new Amount(at, size));
        sum += size;
    }

    /** The sum of what was added at {@code start} or later. */
    public double sumSince(double start) {
        while (!amounts.isEmpty() && amounts.peek().at() < start) {
            sum -= amounts.remove().size();
        }
        return amounts.isEmpty() ? 0 : sum;
    }

    /** Removes all amounts. */
    public void clear() {
        amounts.clear();
        sum = 0;
    }
}
