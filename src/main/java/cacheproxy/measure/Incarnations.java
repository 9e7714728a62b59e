package cacheproxy.measure;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The current incarnation of every node that an endpoint list has named. It is retained when the
 * node leaves the list, so that a node that returns with the same stated start keeps its age.
 */
public final class Incarnations {

    /**
     * Number of nodes that are remembered: more than the largest fleet, which has 3,200. The oldest
     * are removed first.
     */
    static final int MAX_NODES = 4096;

    private final Map<String, Incarnation> byNode =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Incarnation> eldest) {
                    return size() > MAX_NODES;
                }
            };

    private double startedAt = Double.NEGATIVE_INFINITY;
    private boolean nodesReceived;

    /** Records the start of our own process. */
    public void started(double now) {
        startedAt = now;
    }

    /**
     * Whether a list that arrives now may state starts long before our own. True while no node is
     * known, and until discovery has sent nodes, but for no longer than {@link
     * Incarnation#MAX_NOTIFICATION_DELAY_MS} after our start: updates from before it may be delayed
     * that long.
     */
    public boolean isFirstList(double now) {
        return byNode.isEmpty()
                || !nodesReceived && now - startedAt <= Incarnation.MAX_NOTIFICATION_DELAY_MS;
    }

    /**
     * Records that discovery has sent nodes, other than in a list stored before our process
     * started.
     */
    public void markNodesReceived() {
        nodesReceived = true;
    }

    /** The incarnation of a node; one that started long ago if no list has named the node. */
    public Incarnation of(String node) {
        return byNode.computeIfAbsent(node, id -> new Incarnation());
    }
}
