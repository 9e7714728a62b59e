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
 * Limits what this proxy sends to nodes in slow start.
 *
 * <p>Within a window, all proxies together may send such a node {@code slowStartLoadMultiple} times
 * the work that it can do by then. Its capacity is not known. Two lower bounds are computed and the
 * higher one is used: what warm nodes serve, scaled by the node's stated warm-up, and what the node
 * itself has answered within the window. Both are counted for this proxy alone, so that the shares
 * of all proxies add up to the total, however many proxies there are and however uneven their
 * traffic is. The first bound alone would follow demand and not capacity: if few warm nodes are
 * left, it starves a fleet that could serve all requests.
 *
 * <p>A share of less than one request is rounded by a draw that is made once per proxy, node and
 * start of the node: of a hundred proxies with a tenth of a request each, ten may send one. Has no
 * clock: times are the caller's, in milliseconds.
 */
final class SlowStartBudget {

    /**
     * Factor per control interval on the highest observed rate; it halves in about 23 s, the length
     * of a typical slow start.
     */
    private static final double RATE_DECAY_PER_INTERVAL = 0.97;

    /**
     * Fraction of the warm nodes' rate that is used, as nodes of one model differ and requests
     * arrive in bursts.
     */
    static final double WARM_RATE_MARGIN = 0.75;

    /** Fraction of the node's own answered work that is used, for the same reasons. */
    static final double ANSWERED_WORK_MARGIN = 0.8;

    /** Work of a miss as a fraction of that of a hit, the unit of the limit. */
    private static final double MISS_WORK_FRACTION = 0.3;

    /** Smallest work that a request counts as: a hint may be far too low. */
    private static final double MIN_WORK_UNITS = 0.25;

    private final double loadMultiple;
    private final double windowMs;
    private final long salt;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<String, Double> servedPerMs = new HashMap<>();

    /**
     * Requests that the warm nodes of a model served per millisecond and unit of capacity in this
     * control interval.
     */
    private final GroupedRatio servedByWarmNodes = new GroupedRatio();

    /** The same of all nodes of a model. */
    private final GroupedRatio servedByAllNodes = new GroupedRatio();

    /**
     * Creates the budget of one proxy.
     *
     * @param proxy this proxy's number; with the seed it makes the draws differ between proxies
     */
    SlowStartBudget(Router.Rules rules, int proxy, long seed) {
        this.loadMultiple = rules.slowStartLoadMultiple();
        this.windowMs = rules.slowStartWindowMs();
        this.salt = mix(seed ^ mix(proxy));
    }

    /** Whether the settings limit what such a node is sent; otherwise nothing is counted. */
    private boolean isEnabled() {
        return loadMultiple > 0;
    }

    /**
     * Records what one node serves for this proxy.
     *
     * @param servedPerMs requests of mean work per millisecond
     * @param capacity the node's current capacity, in the unit used by {@link #allows}
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
     * Ends a control interval, in which each node was observed once. For a model whose nodes are
     * all warming up, the rate is what these answer, relative to their current capacity.
     *
     * @param startedBefore nodes that started before this time are warm; their accounts are removed
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
     * Records the rate at which nodes of a model answer this proxy, per unit of capacity, in
     * requests of mean work per millisecond; called once per control interval. The highest rate
     * decays slowly: it shows what the nodes can do, and a lower one may only mean that they were
     * asked less or that this budget rejected requests.
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
     * @param byPlacement whether the node was chosen by ordinary placement: if this proxy's share
     *     is less than one request, these are bounded by the admission probability of slow start,
     *     and one per window is allowed
     * @param capacity the currently permitted capacity, in the unit of {@link #recordServedRate}
     * @param size the request's work, in units of mean work; one that exceeds the whole share needs
     *     all of it
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
            // Before any node has answered, as in the first second of a process, only the admission
            // probability limits it.
            return true;
        }
        double warmNodeLimit = loadMultiple * capacity * servedPerMs(model) * windowMs;
        double sent = 0;
        double answered = 0;
        Account account = account(node, startedAt);
        if (account != null) {
            // Work sent exactly one window ago no longer counts.
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
     * @param size the request's work, in units of mean work
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
     * Counts a request that it has answered: work done within a window can be done again.
     *
     * @param size the request's work, in units of mean work
     * @param hit whether the node had the key; a miss shows less of its capacity
     */
    void recordAnswered(double now, String node, double startedAt, double size, boolean hit) {
        Account account = account(node, startedAt);
        if (account != null) {
            account.answeredWork.add(now, hit ? size : MISS_WORK_FRACTION * size);
        }
    }

    /** The work that a request counts as, given the ratio of its hinted work to the mean. */
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

    /**
     * The highest rate of a model; the mean of the others if no node of the model was ever warm
     * here.
     */
    private double servedPerMs(String model) {
        Double known = servedPerMs.get(model);
        return known != null
                ? known
                : servedPerMs.values().stream().mapToDouble(served -> served).average().orElse(0);
    }

    /**
     * A number in (0, 1], fixed per proxy, node and start, that is added to shares below one
     * request.
     */
    private double roundingOffset(String node, double startedAt) {
        return unit(mix(hashText(node) ^ mix(salt ^ Double.doubleToLongBits(startedAt))));
    }

    /** The account of this start of a node; null if nothing was sent there since. */
    private Account account(String node, double startedAt) {
        Account account = accounts.get(node);
        return account != null && account.startedAt == startedAt ? account : null;
    }

    /** Work sent to one node since its latest start, and the part of it that was answered. */
    private static final class Account {

        private final double startedAt;
        private final SlidingSum sentWork = new SlidingSum();
        private final SlidingSum answeredWork = new SlidingSum();

        Account(double startedAt) {
            this.startedAt = startedAt;
        }
    }
}
