package cacheproxy.epoch;

import java.util.HashMap;
import java.util.Map;

/**
 * The leases that one voter has granted. A proxy with a lease may count itself current at its epoch
 * for the lease's length from when it sent the query. The voter supports no later epoch until the
 * lease has expired or the proxy has reported that it no longer relies on it. These are leases as
 * by Gray and Cheriton (1989), timed by each side's own clock: the voter's runs longer by {@link
 * #CLOCK_DRIFT_MARGIN}, so that clocks whose rates differ by less do no harm.
 */
final class Leases {

    /** Fraction of a lease's length by which the voter waits longer than the proxy. */
    static final double CLOCK_DRIFT_MARGIN = 0.1;

    private final double leaseMs;
    private final Map<String, Double> expiryByProxy = new HashMap<>();

    /**
     * When all leases that an earlier incarnation of this voter may have granted have expired; they
     * are not stored.
     */
    private final double earlierLeasesExpireAt;

    Leases(double leaseMs, double startedAt) {
        this.leaseMs = leaseMs;
        this.earlierLeasesExpireAt = startedAt + leaseMs * (1 + CLOCK_DRIFT_MARGIN);
    }

    void grant(double now, String proxy) {
        expiryByProxy.put(proxy, now + leaseMs * (1 + CLOCK_DRIFT_MARGIN));
    }

    void release(String proxy) {
        expiryByProxy.remove(proxy);
    }

    /** Whether no proxy can still rely on a lease of this voter. */
    boolean allExpired(double now) {
        expiryByProxy.values().removeIf(t -> now >= t);
        return expiryByProxy.isEmpty() && now >= earlierLeasesExpireAt;
    }
}
