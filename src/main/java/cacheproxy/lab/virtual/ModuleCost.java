package cacheproxy.lab.virtual;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.AttemptEnd;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.NoopActions;
import cacheproxy.lab.ProcessUse;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.ScenarioGenerator;
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
 * Measures the decision module alone. One router gets a fleet and a sequence of requests whose
 * attempts all succeed after a fixed time or end as a cache miss; nothing else runs. Time is the
 * thread's CPU time: it differs from machine to machine, so only figures of one run are comparable.
 */
public final class ModuleCost extends NoopActions {

    /**
     * The cost of the module. {@code cpuUs} is the mean CPU time per request in microseconds,
     * {@code cpuStdDevUs} its standard deviation over the measured blocks, {@code allocatedBytes}
     * the bytes allocated per request, and {@code retainedBytes} the heap that the router retains
     * after the last request. The latter is the difference of two heap sizes after garbage
     * collection and therefore accurate to some tens of KB.
     */
    public record Cost(
            double cpuUs, double cpuStdDevUs, double allocatedBytes, double retainedBytes) {

        /** Returns the figures by their dotted names, as in the results of a run. */
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

    private static final int REQUESTS_PER_BLOCK = 20_000;
    private static final int WARM_UP_BLOCKS = 3;
    private static final int MEASURED_BLOCKS = 7;

    /** Request rate of one proxy: the load intended for a proxy on one small core. */
    private static final double REQUESTS_PER_S = 480;

    private static final double RESPONSE_TIME_MS = 30;
    private static final double MISS_RATE = 0.15;

    private record OutstandingAttempt(String request, int attempt, String node, double sentAt) {}

    private record PendingTimer(double dueAt, String token) implements Comparable<PendingTimer> {
        @Override
        public int compareTo(PendingTimer other) {
            return Double.compare(dueAt, other.dueAt);
        }
    }

    private final Router router;
    private final String origin;
    private final Deque<OutstandingAttempt> outstanding = new ArrayDeque<>();
    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>();
    private final RandomGenerator random;
    private final ZipfDistribution keys;
    private final String service;
    private double nowMs = 1;
    private long requestCount;

    private ModuleCost(Experiment experiment) {
        Installation plan = ScenarioGenerator.installation(experiment);
        Settings settings = ProxySettings.read(experiment, plan, 0, 10_000, 100);
        this.router = new DecisionModule(settings, experiment.seed());
        this.origin = plan.origin().id();
        this.random =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.KEYS);
        this.keys =
                new ZipfDistribution(
                        random, (int) experiment.fleet().keys(), experiment.load().zipf());
        this.service = experiment.load().classes().get(0).name();
        router.started(nowMs, this);
        List<Node> nodes = new ArrayList<>();
        plan.nodes()
                .forEach(
                        node ->
                                nodes.add(
                                        new Node(
                                                node.id(),
                                                node.kind(),
                                                plan.zones().get(node.zone()),
                                                0,
                                                node.machine().cores(),
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
        router.endpointListReceived(nowMs, EndpointListKind.SNAPSHOT, 1, nodes, this);
    }

    /**
     * Measures the module with the fleet of an experiment. The experiment's nodes, proxies and keys
     * are used; its request rate and faults are not.
     */
    public static Cost measure(Experiment experiment) {
        ModuleCost cost = new ModuleCost(experiment);
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        SummaryStatistics cpuUs = new SummaryStatistics();
        SummaryStatistics allocatedBytes = new SummaryStatistics();
        for (int block = 0; block < WARM_UP_BLOCKS + MEASURED_BLOCKS; block++) {
            // Keys are sampled outside the timed section: sampling one costs more than a decision.
            long[] drawnKeys = new long[REQUESTS_PER_BLOCK];
            for (int i = 0; i < REQUESTS_PER_BLOCK; i++) {
                drawnKeys[i] = (long) cost.keys.sample() * 0x9E3779B97F4A7C15L >>> 1;
            }
            long allocatedBefore = threads.getCurrentThreadAllocatedBytes();
            long startedNs = threads.getCurrentThreadCpuTime();
            for (long key : drawnKeys) {
                cost.processRequest(key);
            }
            if (block >= WARM_UP_BLOCKS) {
                cpuUs.addValue(
                        (threads.getCurrentThreadCpuTime() - startedNs)
                                / 1000.0
                                / REQUESTS_PER_BLOCK);
                allocatedBytes.addValue(
                        (threads.getCurrentThreadAllocatedBytes() - allocatedBefore)
                                / (double) REQUESTS_PER_BLOCK);
            }
        }
        double heapWithRouter = ProcessUse.retainedBytes();
        // Without the fence the router could be collected right after its last request.
        Reference.reachabilityFence(cost);
        cost = null;
        return new Cost(
                cpuUs.getMean(),
                cpuUs.getStandardDeviation(),
                allocatedBytes.getMean(),
                heapWithRouter - ProcessUse.retainedBytes());
    }

    private void processRequest(long key) {
        nowMs += 1000 / REQUESTS_PER_S;
        while (!timers.isEmpty() && timers.peek().dueAt() <= nowMs) {
            router.timerFired(nowMs, timers.remove().token(), this);
        }
        while (!outstanding.isEmpty() && outstanding.peek().sentAt() <= nowMs - RESPONSE_TIME_MS) {
            OutstandingAttempt done = outstanding.remove();
            boolean missed = !done.node().equals(origin) && random.nextDouble() < MISS_RATE;
            router.attemptEnded(
                    nowMs,
                    new AttemptEnd(
                            done.request(),
                            done.attempt(),
                            done.node(),
                            missed ? Outcome.MISS : Outcome.OK,
                            RESPONSE_TIME_MS,
                            !missed,
                            missed ? 2 : 1,
                            Map.of()),
                    this);
        }
        router.requestReceived(
                nowMs,
                new Request("c" + requestCount++, service, null, key, 35, 1000, false, false),
                this);
    }

    @Override
    public void send(String request, String node, double timeoutMs) {
        outstanding.add(new OutstandingAttempt(request, 0, node, nowMs));
    }

    @Override
    public void scheduleTimer(double atMs, String token) {
        timers.add(new PendingTimer(atMs, token));
    }
}
