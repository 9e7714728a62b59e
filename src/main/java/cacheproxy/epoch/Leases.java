package cacheproxy.epoch;

import java.util.HashMap;
import java.util.Map;

/**
 * What one voter has promised: a proxy that is granted an epoch may count itself current at it for
 * the lease from when it asked, and the voter supports no later epoch until that has passed, or the
 * proxy has said that it no longer does. As leases (Gray and Cheriton 1989) on each side's own
 * clock: the voter's runs longer by {@link #DRIFT}, so that clocks which differ in pace by less do
 * no harm.
 */
final class Leases {

    /** Part of a lease by which the voter waits longer. */
    static final double CLOCK_DRIFT_MARGIN = 0.1;

    private final double leaseMs;
    private final Map<String, Double> expiryByProxy = new HashMap<>();

    /** An earlier life's promises are not known; they have passed by then. */
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

    /** Whether no promise may still be relied on. */
    boolean allExpired(double now) {
        expiryByProxy.values().removeIf(t -> now >= t);
        return expiryByProxy.isEmpty() && now >= earlierLeasesExpireAt;
    }
}
