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
final class Grants {

    /** Part of a lease by which the voter waits longer. */
    static final double DRIFT = 0.1;

    private final double leaseMs;
    private final Map<String, Double> until = new HashMap<>();

    /** An earlier life's promises are not known; they have passed by then. */
    private final double quietUntil;

    Grants(double leaseMs, double startedAt) {
        this.leaseMs = leaseMs;
        this.quietUntil = startedAt + leaseMs * (1 + DRIFT);
    }

    void grant(double now, String proxy) {
        until.put(proxy, now + leaseMs * (1 + DRIFT));
    }

    void release(String proxy) {
        until.remove(proxy);
    }

    /** Whether no promise may still be relied on. */
    boolean clear(double now) {
        until.values().removeIf(t -> now >= t);
        return until.isEmpty() && now >= quietUntil;
    }
}
