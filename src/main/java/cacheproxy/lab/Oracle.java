package cacheproxy.lab;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.ListKind;
import cacheproxy.lab.load.Habits;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.proxy.PathKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Asks a router of its own, to which nothing else ever happens, at which cache nodes a key is
 * looked for.
 */
public final class Oracle extends QuietActions {

    /** Far enough apart that no meter of the router's sees a load. */
    private static final double STEP_MS = 50;

    private static final int FILL_KEYS = 200_000;

    private final Router router;
    private final String origin;
    private double now = 1;
    private long asked;
    private String sentTo;

    private Oracle(Router router, List<World.Entry> list, Installation plan) {
        this.router = router;
        this.origin = plan.origin().id();
        router.started(now, this);
        router.nodes(
                now,
                ListKind.FULL,
                1,
                list.stream().map(e -> ProxySettings.node(plan, e)).toList(),
                this);
    }

    /**
     * Nodes that run when the day begins hold what they were asked for lately: a router is asked
     * where each key lives, the popular ones last, so that they are the freshest.
     */
    public static void fill(
            World world, Experiment experiment, Installation plan, Router.Settings settings) {
        Oracle oracle = new Oracle(new Decide(settings, experiment.seed()), world.truth(), plan);
        RandomGenerator ages = Draw.generator(experiment.seed(), Draw.Stream.STORES);
        for (long key = Math.min(FILL_KEYS, plan.storing().keys()) - 1; key >= 0; key--) {
            for (String home :
                    oracle.homes(
                            PathKey.of(Habits.path(key)),
                            experiment.load().classes().get(0).name())) {
                world.keep(home, key, ages.nextDouble() * plan.storing().ttlMs());
            }
        }
    }

    /** The nodes that a read of this key is sent to when the first has missed. */
    private List<String> homes(long key, String service) {
        now += STEP_MS;
        String id = "o" + asked++;
        List<String> homes = new ArrayList<>();
        sentTo = null;
        router.request(
                now, new Router.Request(id, service, null, key, 0, 1000, false, false), this);
        for (int attempt = 0; sentTo != null && !sentTo.equals(origin) && attempt < 2; attempt++) {
            String node = sentTo;
            homes.add(node);
            sentTo = null;
            router.attemptEnded(
                    now,
                    new Router.AttemptEnd(
                            id, attempt, node, Router.Outcome.MISS, 1, false, 2, Map.of()),
                    this);
        }
        router.clientGone(now, id, this);
        if (sentTo != null) {
            router.attemptEnded(
                    now,
                    new Router.AttemptEnd(
                            id,
                            homes.size(),
                            sentTo,
                            Router.Outcome.CANCELLED,
                            1,
                            true,
                            0,
                            Map.of()),
                    this);
        }
        return homes;
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        sentTo = node;
    }
}
