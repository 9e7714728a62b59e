package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.proxy.HostList.Host;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Picks what is worth a line of the log from each list: weights alone change many times a second in
 * a large fleet.
 */
final class ListChanges {

    private final Map<String, Host> told = new HashMap<>();

    /**
     * Hosts that came, went, moved, started anew or changed their availability since the list
     * before.
     */
    List<Host> of(HostList list) {
        List<Host> changed = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (Host host : list.hosts()) {
            named.add(host.node().id());
            Host before = told.put(host.node().id(), host);
            if (before == null || !same(before, host)) {
                changed.add(host);
            }
        }
        if (list.whole()) {
            told.values().stream()
                    .filter(
                            h ->
                                    !named.contains(h.node().id())
                                            && h.node().availability() != Availability.GONE)
                    .map(h -> new Host(gone(h.node()), h.dial()))
                    .forEach(changed::add);
            told.keySet().retainAll(named);
        }
        return changed;
    }

    private static boolean same(Host a, Host b) {
        return a.node().availability() == b.node().availability()
                && a.node().startedAtMs() == b.node().startedAtMs()
                && (a.dial() == null ? b.dial() == null : a.dial().equals(b.dial()));
    }

    private static Node gone(Node node) {
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
