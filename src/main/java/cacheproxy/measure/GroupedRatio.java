package cacheproxy.measure;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Ratios of two sums, one ratio for each named group and one for all groups together. With a
 * divisor of 1 for each value it is the arithmetic mean. Uses one map entry per group.
 */
public final class GroupedRatio {

    private static final class Sums {
        private double dividend;
        private double divisor;

        void add(double dividend, double divisor) {
            this.dividend += dividend;
            this.divisor += divisor;
        }

        double ratio() {
            return dividend / divisor;
        }
    }

    private final Map<String, Sums> groups = new LinkedHashMap<>();
    private Sums all = new Sums();

    /** Adds to both sums of a group. */
    public void add(String group, double dividend, double divisor) {
        Sums sums = groups.get(group);
        if (sums == null) {
            sums = new Sums();
            groups.put(group, sums);
        }
        sums.add(dividend, divisor);
        all.add(dividend, divisor);
    }

    /** The groups that something was added to, in the order of their first addition. */
    public Set<String> groups() {
        return Collections.unmodifiableSet(groups.keySet());
    }

    /** The ratio of a group; NaN where nothing was added to it. */
    public double of(String group) {
        Sums sums = groups.get(group);
        return sums == null ? Double.NaN : sums.ratio();
    }

    /** The ratio of all groups together; NaN where nothing was added. */
    public double ofAll() {
        return all.ratio();
    }

    /** Removes all groups. */
    public void clear() {
        groups.clear();
        all = new Sums();
    }
}
