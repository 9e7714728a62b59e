package cacheproxy.lab.world;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A generated installation with all its parameters. Proxies do not know these values. Times are in
 * milliseconds.
 *
 * @param zones names of the zones
 * @param linkMs one-way delay between two zones, by their indexes in {@code zones}
 * @param nodes the cache nodes that run at the start
 * @param spares cache nodes that a fault may start as replacements
 * @param origin the central database
 * @param proxyZones the zone index of each proxy, by its number
 * @param discovery delays of endpoint list updates
 * @param data keys, values and the lifetime of copies
 */
public record Installation(
        List<String> zones,
        double[][] linkMs,
        List<NodeSpec> nodes,
        List<NodeSpec> spares,
        OriginSpec origin,
        List<Integer> proxyZones,
        DiscoverySpec discovery,
        DataSpec data) {

    /**
     * A cache node. {@code missWorkMs} is the work of a miss, {@code handshakeMs} the work of
     * accepting a connection, both in core-milliseconds; {@code connections} is its connection
     * limit.
     */
    public record NodeSpec(
            String id,
            String kind,
            int zone,
            Machine.MachineSpec machine,
            long memoryBytes,
            double missWorkMs,
            double handshakeMs,
            int connections,
            double errorShare) {}

    /**
     * The origin. If it is sent more than {@code overloadMultiple} times its capacity over {@code
     * overloadWindowMs}, it stops for a random time in the range {@code stopMs}; with a multiple of
     * 0 it never stops. A fetch costs {@code fetchWorkFactor} times the work of the request, and a
     * write {@code writeWorkFactor} times the work of a fetch.
     */
    public record OriginSpec(
            String id,
            int zone,
            Machine.MachineSpec machine,
            double fetchWorkFactor,
            double writeWorkFactor,
            double overloadMultiple,
            double overloadWindowMs,
            double[] stopMs,
            double handshakeMs,
            int connections) {}

    /**
     * Discovery. An endpoint list update reaches a proxy after a random delay in the range {@code
     * delayMs}; weights are updated at random intervals in the range {@code weightIntervalMs}. A
     * snapshot, for a proxy that starts, takes discovery {@code snapshotMs}; snapshots are produced
     * one after the other.
     */
    public record DiscoverySpec(double[] delayMs, double[] weightIntervalMs, double snapshotMs) {}

    /**
     * The data: number of keys, the range of the size of a value in bytes, and the time to live of
     * a copy.
     */
    public record DataSpec(long keys, double[] bytes, double ttlMs) {}

    /** Returns all cache nodes, including spares. */
    public List<NodeSpec> allNodes() {
        return Stream.concat(nodes.stream(), spares.stream()).toList();
    }

    /** Returns the zone index of each node and of the origin, by name. */
    public Map<String, Integer> zoneByMachine() {
        Map<String, Integer> zoneOf = new HashMap<>();
        allNodes().forEach(n -> zoneOf.put(n.id(), n.zone()));
        zoneOf.put(origin.id(), origin.zone());
        return zoneOf;
    }

    /** Returns the one-way delay between a proxy and a zone. */
    public double delayMs(int proxy, int zone) {
        return linkMs[proxyZones.get(proxy)][zone];
    }
}
