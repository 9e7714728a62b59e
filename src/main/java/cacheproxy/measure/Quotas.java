package cacheproxy.measure;

import java.util.HashMap;
import java.util.Map;

/** How much of their shares tenants use. */
public final class Quotas {

    private final Map<String, Double> quotas = new HashMap<>();
    private final Map<String, DecayingRate> used = new HashMap<>();

    /** Sets the requests a second that stay inside a tenant's share. */
    public void set(String tenant, double perS) {
        quotas.put(tenant, perS);
    }

    /**
     * Counts a request of a tenant's and tells whether it stays inside; those without a quota
     * always do.
     */
    public boolean recordRequest(double now, String tenant) {
        Double quota = quotas.get(tenant);
        if (quota == null) {
            return true;
        }
        DecayingRate meter = used.computeIfAbsent(tenant, t -> new DecayingRate());
        meter.add(now, 1);
        return meter.perS(now) <= quota;
    }
}
