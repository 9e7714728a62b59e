package cacheproxy.lab.virtual;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.ListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ProcessUse;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.QuietActions;
import cacheproxy.lab.world.Installation;
import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.math3.distribution.ZipfDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * What the module itself costs: one router is told of a fleet and of requests, whose attempts all
 * end well some time later, and nothing else runs. Time is the thread's CPU time; it differs from
 * machine to machine, and between two columns of one run it can be compared.
 */
public final class ModuleCost extends QuietActions {

    /**
     * CPU time of a request in microseconds, with its standard deviation over blocks, bytes
     * allocated for it, and the heap in bytes that the router still holds when all are over: by
     * difference of two collected heaps, so true to some tens of KB.
     */
    public record Cost(double cpuUs, double spreadUs, double allocatedBytes, double retainedBytes) {

        /** Its figures by dotted names, as a run has them. */
        public Map<String, Double> figures() {
            return Map.of(
                    "module.cpu_us",
                    cpuUs,
                    "module.allocated_bytes",
                    allocatedBytes,
                    "module.retained_bytes",
                    retainedBytes);
        }
    }

    private static final int BLOCK = 20_000;
    private static final int WARM_BLOCKS = 3;
    private static final int BLOCKS = 7;

    /** One proxy's part of the load: what a proxy on one small core is given. */
    private static final double PER_S = 480;

    private static final double ANSWER_MS = 30;
    private static final double MISSES = 0.15;

    private record Sent(String request, int attempt, String node, double at) {}

    private record Due(double at, String token) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Double.compare(at, other.at);
        }
    }

    private final Router router;
    private final String origin;
    private final Deque<Sent> out = new ArrayDeque<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final RandomGenerator random;
    private final ZipfDistribution keys;
    private final String service;
    private double now = 1;
    private long asked;

    private ModuleCost(Experiment experiment) {
        Installation plan = Draw.installation(experiment);
        Settings settings = ProxySettings.read(experiment, plan, 0, 10_000, 100);
        this.router = new Decide(settings, experiment.seed());
        this.origin = plan.origin().id();
        this.random = Draw.generator(experiment.seed(), Draw.Stream.KEYS);
        this.keys =
                new ZipfDistribution(
                        random, (int) experiment.fleet().keys(), experiment.load().zipf());
        this.service = experiment.load().classes().get(0).name();
        router.started(now, this);
        List<Node> nodes = new ArrayList<>();
        plan.nodes()
                .forEach(
                        n ->
                                nodes.add(
                                        new Node(
                                                n.id(),
                                                n.kind(),
                                                plan.zones().get(n.zone()),
                                                0,
                                                n.machine().cores(),
                                                0,
                                                Router.Availability.UP)));
        nodes.add(
                new Node(
                        origin,
                        "origin",
                        plan.zones().get(plan.origin().zone()),
                        0,
                        plan.origin().machine().cores(),
                        0,
                        Router.Availability.UP));
        router.nodes(now, ListKind.FULL, 1, nodes, this);
    }

    /**
     * Measures one fleet. The experiment's nodes, proxies and keys count; its load and faults are
     * not played.
     */
    public static Cost measure(Experiment experiment) {
        ModuleCost cost = new ModuleCost(experiment);
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        SummaryStatistics cpu = new SummaryStatistics();
        SummaryStatistics bytes = new SummaryStatistics();
        for (int block = 0; block < WARM_BLOCKS + BLOCKS; block++) {
            // Drawn outside of what is timed: the draw of a key costs more than a decision.
            long[] drawn = new long[BLOCK];
            for (int i = 0; i < BLOCK; i++) {
                drawn[i] = (long) cost.keys.sample() * 0x9E3779B97F4A7C15L >>> 1;
            }
            long allocated = threads.getCurrentThreadAllocatedBytes();
            long begun = threads.getCurrentThreadCpuTime();
            for (long key : drawn) {
                cost.one(key);
            }
            if (block >= WARM_BLOCKS) {
                cpu.addValue((threads.getCurrentThreadCpuTime() - begun) / 1000.0 / BLOCK);
                bytes.addValue(
                        (threads.getCurrentThreadAllocatedBytes() - allocated) / (double) BLOCK);
            }
        }
        double held = ProcessUse.retainedBytes();
        // Without this the router may be collected as soon as its last request is over.
        Reference.reachabilityFence(cost);
        cost = null;
        return new Cost(
                cpu.getMean(),
                cpu.getStandardDeviation(),
                bytes.getMean(),
                held - ProcessUse.retainedBytes());
    }

    private void one(long key) {
        now += 1000 / PER_S;
        while (!timers.isEmpty() && timers.peek().at() <= now) {
            router.timer(now, timers.remove().token(), this);
        }
        while (!out.isEmpty() && out.peek().at() <= now - ANSWER_MS) {
            Sent done = out.remove();
            boolean missed = !done.node().equals(origin) && random.nextDouble() < MISSES;
            router.attemptEnded(
                    now,
                    new AttemptEnd(
                            done.request(),
                            done.attempt(),
                            done.node(),
                            missed ? Outcome.MISS : Outcome.OK,
                            ANSWER_MS,
                            !missed,
                            missed ? 2 : 1,
                            Map.of()),
                    this);
        }
        router.request(
                now, new Request("c" + asked++, service, null, key, 35, 1000, false, false), this);
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        out.add(new Sent(request, 0, node, now));
    }

    @Override
    public void timer(double atMs, String token) {
        timers.add(new Due(atMs, token));
    }
}
