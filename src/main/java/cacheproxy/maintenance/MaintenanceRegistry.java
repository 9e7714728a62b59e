package cacheproxy.maintenance;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The cache nodes that the operators have taken out, and every id that a list ever named. An outage
 * outlasts whatever discovery says of its node, and ends by the operators' word alone. Calls cost a
 * look into a hash table.
 */
public final class MaintenanceRegistry {

    /** Ids that are remembered; of more, the oldest go that are not out. */
    static final int MAX_KNOWN_NODES = 4096;

    private final Set<String> known = new LinkedHashSet<>();
    private final Map<String, Double> maintenanceSince = new HashMap<>();

    /** A list has named this cache node. */
    public void recordListed(String node) {
        if (known.add(node) && known.size() > MAX_KNOWN_NODES) {
            known.stream().filter(id -> !isInMaintenance(id)).findFirst().ifPresent(known::remove);
        }
    }

    /** Whether any list ever named it. */
    public boolean isKnown(String node) {
        return known.contains(node);
    }

    /** Begins an outage; one that is on goes on. */
    public void begin(double now, String node) {
        maintenanceSince.putIfAbsent(node, now);
    }

    /** Ends an outage and tells when it began, or null where there was none. */
    public Double end(String node) {
        return maintenanceSince.remove(node);
    }

    public boolean isInMaintenance(String node) {
        return maintenanceSince.containsKey(node);
    }

    /** Whether any node is out. */
    public boolean anyInMaintenance() {
        return !maintenanceSince.isEmpty();
    }
}
