package cacheproxy.maintenance;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The cache nodes that operators have put into maintenance, and the IDs of all cache nodes seen in
 * an endpoint list. Maintenance is independent of what discovery states about the node and ends
 * only by an operator's command. Each call costs a hash table look-up.
 */
public final class MaintenanceRegistry {

    /**
     * Number of IDs that are remembered. Beyond it the oldest ID that is not in maintenance is
     * removed.
     */
    static final int MAX_KNOWN_NODES = 4096;

    private final Set<String> known = new LinkedHashSet<>();
    private final Map<String, Double> maintenanceSince = new HashMap<>();

    /** Records that an endpoint list named this cache node. */
    public void recordListed(String node) {
        if (known.add(node) && known.size() > MAX_KNOWN_NODES) {
            known.stream().filter(id -> !isInMaintenance(id)).findFirst().ifPresent(known::remove);
        }
    }

    /** Whether any endpoint list named this cache node. */
    public boolean isKnown(String node) {
        return known.contains(node);
    }

    /** Begins maintenance of a node; no effect if it is already in maintenance. */
    public void begin(double now, String node) {
        maintenanceSince.putIfAbsent(node, now);
    }

    /** Ends maintenance and returns when it began, or null if the node was not in maintenance. */
    public Double end(String node) {
        return maintenanceSince.remove(node);
    }

    public boolean isInMaintenance(String node) {
        return maintenanceSince.containsKey(node);
    }

    /** Whether any node is in maintenance. */
    public boolean anyInMaintenance() {
        return !maintenanceSince.isEmpty();
    }
}
