package cacheproxy.lab.world;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * One installation as it was drawn: every figure is fixed here and told to no proxy. Times are in
 * milliseconds.
 *
 * @param zones names of the zones
 * @param linkMs one-way delay between two zones, by their places in {@code zones}
 * @param nodes the cache nodes that run when the day begins
 * @param spares cache nodes that a fault may start in the place of others
 * @param origin the central database
 * @param proxyZones each proxy's zone, by its number
 * @param roster how late news of the list comes
 * @param storing objects and copies
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
     * A cache node. {@code missWorkMs} is what finding nothing costs; {@code handshakeMs} is work
     * for a new connection and {@code connections} how many it can hold.
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
     * The origin. Sent more than {@code fallMultiple} times its capacity over {@code fallMs}, it
     * stops for a time drawn from {@code downMs}; a multiple of 0 means that it never does. A fetch
     * costs {@code fetchShare} of the request's work and a write {@code writeTimes} as much.
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
     * News of the list reaches a proxy after a delay from {@code delayMs}; weights are renewed at
     * spans from {@code weightMs}. A whole list, for a proxy that starts, takes discovery {@code
     * listMs}, one after the other.
     */
    public record DiscoverySpec(double[] delayMs, double[] weightIntervalMs, double snapshotMs) {}

    /**
     * Objects: how many keys there are, the bytes of one (least and most), and for how long a copy
     * is kept.
     */
    public record DataSpec(long keys, double[] bytes, double ttlMs) {}

    /** Every cache node that may ever run. */
    public List<NodeSpec> allNodes() {
        return Stream.concat(nodes.stream(), spares.stream()).toList();
    }

    /** The zone of each node and of the origin, by its name. */
    public Map<String, Integer> zoneByMachine() {
        Map<String, Integer> zoneOf = new HashMap<>();
        allNodes().forEach(n -> zoneOf.put(n.id(), n.zone()));
        zoneOf.put(origin.id(), origin.zone());
        return zoneOf;
    }

    /** One-way delay between a proxy and a machine's zone. */
    public double delayMs(int proxy, int zone) {
        return linkMs[proxyZones.get(proxy)][zone];
    }
}
