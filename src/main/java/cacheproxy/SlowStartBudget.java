package cacheproxy;

import static cacheproxy.measure.Hash.hashText;
import static cacheproxy.measure.Hash.mix;
import static cacheproxy.measure.Hash.unit;

import cacheproxy.measure.GroupedRatio;
import cacheproxy.measure.SlidingSum;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * This proxy's part of what nodes in slow start may be sent.
 *
 * <p>All proxies together may send such a node, within a window, {@code fallMultiple} times what it
 * can do by then. Nobody is told its capacity. Two guides bound it from below, and the higher one
 * is taken: what warm nodes serve, by its stated warmth, and what it has answered itself within the
 * window. Both are counted for this proxy alone, so the parts of all proxies add up to the whole,
 * however few or many there are and however uneven their traffic is. The first one alone would go
 * by demand and not by capacity: where few warm nodes are left it starves a fleet that could serve
 * all.
 *
 * <p>A part of less than one request is rounded by a draw that is made once for a proxy, a node and
 * its start: of a hundred proxies with a tenth of a request each, ten may send one. It has no
 * clock: times are the caller's, in milliseconds.
 */
final class SlowStartBudget {

    /**
     * What is left of the highest figure after a control interval: half of it after some 23 s, a
     * usual slow start.
     */
    private static final double RATE_DECAY_PER_INTERVAL = 0.97;

    /**
     * Part of what warm nodes serve that is used, as nodes of one model differ and requests come in
     * bursts.
     */
    static final double WARM_RATE_MARGIN = 0.75;

    /** The same of what the node itself has answered. */
    static final double ANSWERED_WORK_MARGIN = 0.8;

    /** Work of a miss as a part of that of a hit, which is what the rule counts. */
    private static final double MISS_WORK_FRACTION = 0.3;

    /** What a request counts as at least: a hint may be far too low. */
    private static final double MIN_WORK_UNITS = 0.25;

    private final double loadMultiple;
    private final double windowMs;
    private final long salt;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Double> servedPerMs = new HashMap<>();

    /**
     * Requests that the nodes of a model serve a millisecond and a unit of capacity, as seen in
     * this control interval.
     */
    private final GroupedRatio servedByWarmNodes = new GroupedRatio();

    private final GroupedRatio servedByAllNodes = new GroupedRatio();

    /**
     * {@code proxy} is this proxy's number, which with its seed tells its draws from those of the
     * others.
     */
    SlowStartBudget(Router.Rules rules, int proxy, long seed) {
        this.loadMultiple = rules.slowStartLoadMultiple();
        this.windowMs = rules.slowStartWindowMs();
        this.salt = mix(seed ^ mix(proxy));
    }

    /** Whether the settings bound what such a node is sent; else nothing need be counted. */
    private boolean isEnabled() {
        return loadMultiple > 0;
    }

    /**
     * Takes in what one node answers this proxy.
     *
     * @param servedPerMs requests of mean work a millisecond
     * @param capacity of the node now, in the unit that {@link #allows} is given it in
     */
    void observe(String model, boolean warmingUp, double servedPerMs, double capacity) {
        if (!isEnabled()) {
            return;
        }
        servedByAllNodes.add(model, servedPerMs, capacity);
        if (!warmingUp) {
            servedByWarmNodes.add(model, servedPerMs, capacity);
        }
    }

    /**
     * Ends a control interval, in which each node was observed once. A model of which all nodes are
     * cold goes by what they answer at their part of the ramp.
     *
     * @param startedBefore nodes that started before this time are warm, and forgotten
     */
    void endInterval(double startedBefore) {
        for (String model : servedByAllNodes.groups()) {
            boolean anyWarm = servedByWarmNodes.groups().contains(model);
            recordServedRate(
                    model, anyWarm ? servedByWarmNodes.of(model) : servedByAllNodes.of(model));
        }
        servedByAllNodes.clear();
        servedByWarmNodes.clear();
        removeStartedBefore(startedBefore);
    }

    /**
     * Takes in what nodes of a model answer for this proxy, per unit of capacity, in requests of
     * mean work a millisecond; called once in a control interval. The highest figure is kept for a
     * while: it is what the nodes have shown that they can do, and a lower one may only mean that
     * less was asked of them, or that this budget held requests back.
     */
    void recordServedRate(String model, double requestsPerMs) {
        if (requestsPerMs > 0) {
            double decayed = RATE_DECAY_PER_INTERVAL * servedPerMs.getOrDefault(model, 0.0);
            servedPerMs.put(model, Math.max(decayed, requestsPerMs));
        }
    }

    /**
     * Whether a node that started at {@code startedAt} may be sent one more request.
     *
     * @param ordinary whether it is the node's by ordinary placement: where this proxy's part is
     *     less than one request, the ramp's own chance bounds those, and one in a window may go
     * @param capacity that the settings allow it by now, in the units of {@link #measured}
     * @param size of the request, in requests of mean work; one that no part would ever hold needs
     *     the whole part
     */
    boolean allows(
            double now,
            String node,
            String model,
            double startedAt,
            double capacity,
            double size,
            boolean byPlacement) {
        if (!isEnabled() || servedPerMs.isEmpty()) {
            // Before any node has answered, as in the first second of a process, the ramp's chance
            // alone bounds it.
            return true;
        }
        double warmNodeLimit = loadMultiple * capacity * servedPerMs(model) * windowMs;
        double sent = 0;
        double answered = 0;
        Account account = account(node, startedAt);
        if (account != null) {
            // What was sent a whole window ago is free again.
            double windowStart = Math.nextUp(now - windowMs);
            sent = account.sentWork.sumSince(windowStart);
            answered = account.answeredWork.sumSince(windowStart);
        }
        double proxyShare =
                Math.max(
                        WARM_RATE_MARGIN * warmNodeLimit,
                        ANSWERED_WORK_MARGIN * loadMultiple * answered);
        double limit = Math.max(proxyShare + roundingOffset(node, startedAt), byPlacement ? 1 : 0);
        return sent + Math.min(size, Math.max(1, proxyShare)) <= limit;
    }

    /**
     * Counts a request that was sent there.
     *
     * @param size of the request, in requests of mean work
     */
    void recordSent(double now, String node, double startedAt, double size) {
        if (!isEnabled()) {
            return;
        }
        Account account = account(node, startedAt);
        if (account == null) {
            account = new Account(startedAt);
            accounts.put(node, account);
        }
        account.sentWork.add(now, size);
    }

    /**
     * Counts a request that it has answered: what it does within a window it can do again.
     *
     * @param hit whether it had what was asked for; a miss shows less of what it can do
     * @param size of the request, in requests of mean work
     */
    void recordAnswered(double now, String node, double startedAt, double size, boolean hit) {
        Account account = account(node, startedAt);
        if (account != null) {
            account.answeredWork.add(now, hit ? size : MISS_WORK_FRACTION * size);
        }
    }

    /** How many requests of mean work one counts as whose work is so many times the mean. */
    static double workUnits(double timesMeanWork) {
        return Math.max(MIN_WORK_UNITS, timesMeanWork);
    }

    private void removeStartedBefore(double startedBefore) {
        for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
            if (all.next().startedAt < startedBefore) {
                all.remove();
            }
        }
    }

    /** A model of which no node was ever warm here is taken for the mean of the others. */
    private double servedPerMs(String model) {
        Double known = servedPerMs.get(model);
        return known != null
                ? known
                : servedPerMs.values().stream().mapToDouble(served -> served).average().orElse(0);
    }

    private double roundingOffset(String node, double startedAt) {
        return unit(mix(hashText(node) ^ mix(salt ^ Double.doubleToLongBits(startedAt))));
    }

    /** That of this start of a node; null where nothing was sent there since. */
    private Account account(String node, double startedAt) {
        Account account = accounts.get(node);
        return account != null && account.startedAt == startedAt ? account : null;
    }

    /** What was sent to one node since its latest start, and what it has answered of that. */
    private static final class Account {

        private final double startedAt;
        private final SlidingSum sentWork = new SlidingSum();
        private final SlidingSum answeredWork = new SlidingSum();

        Account(double startedAt) {
            this.startedAt = startedAt;
        }
    }
}
