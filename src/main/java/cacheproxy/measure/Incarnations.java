package cacheproxy.measure;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The present incarnation of every node that a list has named. It is kept when the node leaves the
 * list, so that one that comes back with the same stated start has kept its age.
 */
public final class Incarnations {

    /** Nodes that are remembered: more than the largest fleet has, 3,200. The oldest go first. */
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

    /** Our own process has started. */
    public void started(double now) {
        startedAt = now;
    }

    /**
     * Whether a list that comes now may tell of starts long before our own: as long as discovery
     * has told nothing, and while what it had before we started may still be on its way.
     */
    public boolean isFirstList(double now) {
        return byNode.isEmpty()
                || !nodesReceived && now - startedAt <= Incarnation.MAX_NOTIFICATION_DELAY_MS;
    }

    /** Discovery has told of nodes, other than by a list saved before our process began. */
    public void markNodesReceived() {
        nodesReceived = true;
    }

    /** The incarnation of a node; one that started long ago where no list has named the node. */
    public Incarnation of(String node) {
        return byNode.computeIfAbsent(node, id -> new Incarnation());
    }
}
