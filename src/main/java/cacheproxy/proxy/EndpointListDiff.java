package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.proxy.EndpointListUpdate.Endpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the changes of the endpoint list that are logged. Changes of weights alone are left out:
 * they occur many times per second in a large fleet.
 */
final class EndpointListDiff {

    private final Map<String, Endpoint> lastReported = new HashMap<>();

    /**
     * Returns the endpoints that were added, removed, moved or restarted or that changed their
     * availability since the previous update.
     */
    List<Endpoint> changedEndpoints(EndpointListUpdate update) {
        List<Endpoint> changed = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (Endpoint endpoint : update.endpoints()) {
            listedIds.add(endpoint.node().id());
            Endpoint previous = lastReported.put(endpoint.node().id(), endpoint);
            if (previous == null || !hasSameState(previous, endpoint)) {
                changed.add(endpoint);
            }
        }
        if (update.snapshot()) {
            lastReported.values().stream()
                    .filter(
                            endpoint ->
                                    !listedIds.contains(endpoint.node().id())
                                            && endpoint.node().availability() != Availability.GONE)
                    .map(endpoint -> new Endpoint(asGone(endpoint.node()), endpoint.address()))
                    .forEach(changed::add);
            lastReported.keySet().retainAll(listedIds);
        }
        return changed;
    }

    private static boolean hasSameState(Endpoint a, Endpoint b) {
        return a.node().availability() == b.node().availability()
                && a.node().startedAtMs() == b.node().startedAtMs()
                && (a.address() == null ? b.address() == null : a.address().equals(b.address()));
    }

    private static Node asGone(Node node) {
        return new Node(
                node.id(),
                node.model(),
                node.zone(),
                node.cell(),
                node.weight(),
                node.startedAtMs(),
                Availability.GONE);
    }
}
