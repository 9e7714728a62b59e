package cacheproxy.measure;

import java.util.HashMap;
import java.util.Map;

/** Compares the request rates of tenants with their quotas. */
public final class Quotas {

    private final Map<String, Double> quotas = new HashMap<>();
    private final Map<String, DecayingRate> used = new HashMap<>();

    /** Sets a tenant's quota in requests per second. */
    public void set(String tenant, double perS) {
        quotas.put(tenant, perS);
    }

    /**
     * Counts a request of a tenant and returns whether the tenant stays within its quota; always
     * true for a tenant without a quota.
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
