package cacheproxy.lab;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.lab.load.ClientBehavior;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.proxy.PathKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Fills the simulated caches before a run. It uses a separate instance of the decision module,
 * which gets no other traffic, to find the cache nodes at which each key is looked up.
 */
public final class CachePrefiller extends NoopActions {

    /** Time between two requests, long enough that the decision module measures no load. */
    private static final double REQUEST_SPACING_MS = 50;

    private static final int MAX_PREFILLED_KEYS = 200_000;

    private final Router router;
    private final String origin;
    private double now = 1;
    private long requestCount;
    private String lastSentTo;

    private CachePrefiller(Router router, List<World.Entry> endpoints, Installation installation) {
        this.router = router;
        this.origin = installation.origin().id();
        router.started(now, this);
        router.endpointListReceived(
                now,
                EndpointListKind.SNAPSHOT,
                1,
                endpoints.stream().map(e -> ProxySettings.node(installation, e)).toList(),
                this);
    }

    /**
     * Fills the nodes that run at the start with copies of the most popular keys. Keys are added in
     * ascending order of popularity, so that the most popular ones are the most recently used.
     */
    public static void prefill(
            World world,
            Experiment experiment,
            Installation installation,
            Router.Settings settings) {
        CachePrefiller prefiller =
                new CachePrefiller(
                        new DecisionModule(settings, experiment.seed()),
                        world.currentEndpoints(),
                        installation);
        RandomGenerator ages =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.STORES);
        for (long key = Math.min(MAX_PREFILLED_KEYS, installation.data().keys()) - 1;
                key >= 0;
                key--) {
            for (String node :
                    prefiller.lookUpNodes(
                            PathKey.of(ClientBehavior.pathOf(key)),
                            experiment.load().classes().get(0).name())) {
                world.putCopy(node, key, ages.nextDouble() * installation.data().ttlMs());
            }
        }
    }

    /** Returns the nodes that a read of this key is sent to when each of them reports a miss. */
    private List<String> lookUpNodes(long key, String service) {
        now += REQUEST_SPACING_MS;
        String id = "o" + requestCount++;
        List<String> nodes = new ArrayList<>();
        lastSentTo = null;
        router.requestReceived(
                now, new Router.Request(id, service, null, key, 0, 1000, false, false), this);
        for (int attempt = 0;
                lastSentTo != null && !lastSentTo.equals(origin) && attempt < 2;
                attempt++) {
            String node = lastSentTo;
            nodes.add(node);
            lastSentTo = null;
            router.attemptEnded(
                    now,
                    new Router.AttemptEnd(
                            id, attempt, node, Router.Outcome.MISS, 1, false, 2, Map.of()),
                    this);
        }
        router.clientDisconnected(now, id, this);
        if (lastSentTo != null) {
            router.attemptEnded(
                    now,
                    new Router.AttemptEnd(
                            id,
                            nodes.size(),
                            lastSentTo,
                            Router.Outcome.CANCELLED,
                            1,
                            true,
                            0,
                            Map.of()),
                    this);
        }
        return nodes;
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        lastSentTo = node;
    }
}
