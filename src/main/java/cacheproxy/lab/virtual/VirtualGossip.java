package cacheproxy.lab.virtual;

import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.Fault.Kind;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.MembershipLedger;
import cacheproxy.lab.world.Installation;
import cacheproxy.membership.Gossip;
import cacheproxy.membership.Gossip.EventType;
import cacheproxy.membership.Member;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The proxies' gossip in virtual time: each proxy's {@link Gossip}, the links between the proxies,
 * faulty clocks, and lying proxies. A lying proxy feeds false outcomes into the same gossip code,
 * so its false claims carry valid signatures.
 */
final class VirtualGossip {

    private static final double CLOCK_JUMP_MS = 3_600_000;
    private static final double MS_PER_S = 1000;
    private static final int VERIFICATIONS_PER_S = 400;
    private static final int MAX_MARKS = 100;

    /** The gossip of one proxy process, from its start to its end. */
    private final class GossipInstance implements Gossip.Actions {
        final VirtualProxy proxy;
        final Gossip gossip;
        final double startedAt = eventQueue.now();
        List<Node> nodes = List.of();
        boolean ended;

        GossipInstance(VirtualProxy proxy, int incarnation) {
            this.proxy = proxy;
            List<String> seeds = new ArrayList<>();
            for (int i = 0;
                    i < Math.min(PeerLinkFaults.SEED_COUNT, experiment.proxies().count());
                    i++) {
                seeds.add(address(i));
            }
            gossip =
                    new Gossip(
                            new Gossip.Settings(
                                    address(proxy.index),
                                    seeds,
                                    experiment.gossip().bytesPerS(),
                                    VERIFICATIONS_PER_S,
                                    experiment.gossip().health() ? Gossip.Settings.MAX_HEALTH : 0),
                            new HashIdentity("proxy-" + proxy.index, Set.of()),
                            experiment.seed() * 131 + proxy.index * 7919L + incarnation);
        }

        void tick() {
            if (eventQueue.now() < pausedUntil[proxy.index]) {
                eventQueue.scheduleAt(pausedUntil[proxy.index], this::tick);
            } else if (!ended) {
                gossip.tick(clockMs(proxy.index), this);
                eventQueue.scheduleIn(Gossip.TICK_MS, this::tick);
            }
        }

        @Override
        public void send(String to, byte[] packet) {
            int second = (int) (eventQueue.now() / MS_PER_S);
            if (second < bytesBySecond[proxy.index].length) {
                bytesBySecond[proxy.index][second] += packet.length + Gossip.HEADER_BYTES;
            }
            transmit(proxy.index, Integer.parseInt(to.substring(1)), packet);
        }

        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {
            if (suspected) {
                suspicionCount++;
                falseSuspicionCount += isFaulty.test(node) ? 0 : 1;
                firstSuspicionAt.putIfAbsent(node, eventQueue.now());
                lastSuspicionAt.merge(node, eventQueue.now(), Math::max);
            }
            proxy.suspicionChanged(node, suspected);
        }

        @Override
        public void event(EventType type, String subject, String evidence) {
            events.merge(type, 1, Integer::sum);
            membership.recordEvent(
                    proxy.index,
                    type.name().toLowerCase(Locale.ROOT),
                    subject,
                    evidence,
                    eventQueue.now());
            if (type == EventType.DIED && killedAt.containsKey(subject)) {
                deathDetectionMs.merge(
                        subject, eventQueue.now() - killedAt.get(subject), Math::max);
            }
            if (type != EventType.MEMBER && markCount++ < MAX_MARKS) {
                mark.accept(
                        "proxy-"
                                + proxy.index
                                + " "
                                + type.name().toLowerCase(Locale.ROOT)
                                + " "
                                + subject
                                + " "
                                + evidence);
            }
        }
    }

    private final Experiment experiment;
    private final Installation plan;
    private final EventQueue eventQueue;
    private final Consumer<String> mark;
    private final Predicate<String> isFaulty;
    private final RandomGenerator random;
    private final GossipInstance[] instances;
    private final int[][] bytesBySecond;

    /** Reading of each proxy's clock, in ms, when its rate last changed. */
    private final double[] clockBaseMs;

    /** Time of the run at which each proxy's clock last changed its rate, in ms. */
    private final double[] clockRateChangedAt;

    /** Rate of each proxy's clock; 1 is correct. */
    private final double[] clockRate;

    private final PeerLinkFaults links;
    private final double[] pausedUntil;
    private final MembershipLedger membership;
    private final Kind[] activeLies;
    private final Map<String, Double> killedAt = new HashMap<>();
    private final Map<String, Double> deathDetectionMs = new HashMap<>();
    private final Map<String, Double> firstSuspicionAt = new HashMap<>();
    private final Map<String, Double> lastSuspicionAt = new HashMap<>();
    private final Map<EventType, Integer> events = new HashMap<>();
    private int suspicionCount;
    private int falseSuspicionCount;
    private int markCount;
    private double maxJoinMs;

    /** {@code isFaulty} returns whether a node is in fact dead or silent at the present time. */
    VirtualGossip(
            Experiment experiment,
            Installation plan,
            EventQueue eventQueue,
            Consumer<String> mark,
            Predicate<String> isFaulty) {
        this.experiment = experiment;
        this.plan = plan;
        this.eventQueue = eventQueue;
        this.mark = mark;
        this.isFaulty = isFaulty;
        this.random =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.GOSSIP);
        int count = experiment.proxies().count();
        instances = new GossipInstance[count];
        bytesBySecond = new int[count][(int) Math.ceil(experiment.durationS())];
        clockBaseMs = new double[count];
        clockRateChangedAt = new double[count];
        clockRate = new double[count];
        Arrays.fill(clockRate, 1);
        links = new PeerLinkFaults(count, random);
        activeLies = new Kind[count];
        pausedUntil = new double[count];
        membership = new MembershipLedger(experiment);
    }

    PeerLinkFaults links() {
        return links;
    }

    private static String address(int proxy) {
        return "p" + proxy;
    }

    private double clockMs(int proxy) {
        return clockBaseMs[proxy]
                + (eventQueue.now() - clockRateChangedAt[proxy]) * clockRate[proxy];
    }

    /**
     * Starts the gossip of a proxy process that knows the given nodes. Does nothing if the
     * experiment has no gossip.
     */
    void proxyStarted(VirtualProxy proxy, int incarnation, Supplier<List<Node>> nodes) {
        if (experiment.gossip().enabled()) {
            GossipInstance instance = new GossipInstance(proxy, incarnation);
            instances[proxy.index] = instance;
            updateNodes(proxy.index, nodes);
            instance.gossip.start(clockMs(proxy.index), instance);
            eventQueue.scheduleIn(random.nextDouble() * Gossip.TICK_MS, instance::tick);
            if (instance.startedAt > 0) {
                membership.processStarted(proxy.index, eventQueue.now());
                eventQueue.scheduleIn(1, () -> pollUntilJoined(instance));
            }
        }
    }

    /** Checks every 10 ms whether a restarted proxy has learned of all running proxies. */
    private void pollUntilJoined(GossipInstance instance) {
        long runningCount = Arrays.stream(instances).filter(v -> v != null && !v.ended).count();
        if (instance.gossip.table().stream().filter(Member::isPresent).count() >= runningCount) {
            maxJoinMs = Math.max(maxJoinMs, eventQueue.now() - instance.startedAt);
        } else if (!instance.ended) {
            eventQueue.scheduleIn(10, () -> pollUntilJoined(instance));
        }
    }

    void proxyEnded(int proxy) {
        if (instances[proxy] != null) {
            instances[proxy].ended = true;
            killedAt.put("proxy-" + proxy, eventQueue.now());
            membership.processEnded(proxy, eventQueue.now());
        }
    }

    /** Updates the nodes that a proxy knows from discovery. */
    void updateNodes(int proxy, Supplier<List<Node>> nodes) {
        if (instances[proxy] != null) {
            instances[proxy].nodes = nodes.get();
            instances[proxy].gossip.updateNodes(
                    clockMs(proxy), instances[proxy].nodes, instances[proxy]);
        }
    }

    /** Passes the outcome of a proxy's attempt or probe to its gossip, unless the proxy lies. */
    void outcomeObserved(
            VirtualProxy proxy, String node, Outcome outcome, double elapsedMs, boolean probe) {
        GossipInstance instance = honestInstance(proxy);
        if (instance != null && probe) {
            instance.gossip.probeEnded(clockMs(proxy.index), node, outcome, instance);
        } else if (instance != null) {
            instance.gossip.attemptEnded(clockMs(proxy.index), node, outcome, elapsedMs);
        }
    }

    void attemptStarted(VirtualProxy proxy, String node) {
        GossipInstance instance = honestInstance(proxy);
        if (instance != null) {
            instance.gossip.attemptStarted(clockMs(proxy.index), node);
        }
    }

    /**
     * Returns the gossip of a proxy's current process, or null if the experiment has no gossip, the
     * process has been replaced, or the proxy reports false outcomes instead of its own.
     */
    private GossipInstance honestInstance(VirtualProxy proxy) {
        GossipInstance instance = instances[proxy.index];
        return instance != null && instance.proxy == proxy && activeLies[proxy.index] == null
                ? instance
                : null;
    }

    private void transmit(int from, int to, byte[] packet) {
        double delayMs = plan.delayMs(from, plan.proxyZones().get(to));
        for (double extraDelayMs : links.copyDelaysMs(from, to, eventQueue.now())) {
            eventQueue.scheduleIn(delayMs + extraDelayMs, () -> deliver(from, to, packet));
        }
    }

    /** Delivers a packet. A paused process reads it from its socket buffer when it resumes. */
    private void deliver(int from, int to, byte[] packet) {
        GossipInstance instance = instances[to];
        if (eventQueue.now() < pausedUntil[to]) {
            eventQueue.scheduleAt(pausedUntil[to], () -> deliver(from, to, packet));
        } else if (instance != null && !instance.ended) {
            instance.gossip.received(clockMs(to), address(from), packet, instance);
        }
    }

    void pause(int proxy, double until) {
        pausedUntil[proxy] = until;
    }

    /** Starts a fault of the links, of a proxy's clock, or of a lying proxy. */
    void startFault(Fault fault) {
        if (links.begin(fault)) {
            return;
        }
        for (int i = 0; i < instances.length; i++) {
            int proxy = i;
            boolean affected =
                    !fault.target().isEmpty() && fault.affects("proxy-", i, instances.length);
            switch (fault.kind()) {
                case PROXY_CLOCK -> {
                    if (affected) {
                        adjustClock(i, CLOCK_JUMP_MS, fault.factor());
                        eventQueue.scheduleAt(fault.endMs(), () -> adjustClock(proxy, 0, 1));
                    }
                }
                case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS -> {
                    if (affected) {
                        activeLies[i] = fault.kind();
                        reportFalseOutcomes(i, fault);
                        eventQueue.scheduleAt(fault.endMs(), () -> activeLies[proxy] = null);
                    }
                }
                default -> {}
            }
        }
    }

    /** Moves a proxy's clock forward by {@code jumpMs} and sets its rate from now on. */
    private void adjustClock(int proxy, double jumpMs, double rate) {
        clockBaseMs[proxy] = clockMs(proxy) + jumpMs;
        clockRateChangedAt[proxy] = eventQueue.now();
        clockRate[proxy] = rate;
    }

    private void reportFalseOutcomes(int proxy, Fault fault) {
        GossipInstance instance = instances[proxy];
        if (activeLies[proxy] == null || !fault.isActiveAt(eventQueue.now())) {
            return;
        }
        boolean accuses = fault.accusesAt(eventQueue.now());
        if (instance != null && !instance.ended) {
            for (Node node : instance.nodes) {
                instance.gossip.attemptEnded(
                        clockMs(proxy), node.id(), accuses ? Outcome.TIMEOUT : Outcome.OK, 1);
            }
        }
        eventQueue.scheduleIn(
                Fault.FALSE_CLAIM_INTERVAL_MS, () -> reportFalseOutcomes(proxy, fault));
    }

    /**
     * Returns the figures of the gossip and, for fleets of at most 20 nodes, the number of attempts
     * sent to each node. Without gossip only the latter are present.
     */
    Map<String, Double> figures(List<VirtualProxy> alive, Ledger ledger) {
        Map<String, Double> figures = new TreeMap<>();
        if (plan.nodes().size() <= 20) {
            plan.nodes().forEach(n -> figures.put("sent." + n.id(), 0.0));
            ledger.attempts().stream()
                    .filter(a -> !a.origin)
                    .map((Attempt a) -> a.machine)
                    .forEach(m -> figures.merge("sent." + m, 1.0, Double::sum));
        }
        if (!experiment.gossip().enabled()) {
            return figures;
        }
        double seconds = experiment.durationS();
        figures.put(
                "gossip.bytes_per_s",
                Arrays.stream(bytesBySecond)
                        .mapToDouble(b -> Arrays.stream(b).sum() / seconds)
                        .max()
                        .orElse(0));
        figures.put(
                "gossip.bytes_per_s_peak",
                (double) Arrays.stream(bytesBySecond).flatMapToInt(Arrays::stream).max().orElse(0));
        figures.put("gossip.doubts", (double) suspicionCount);
        figures.put("gossip.false_doubts", (double) falseSuspicionCount);
        figures.put("gossip.distrusts", (double) events.getOrDefault(EventType.DISTRUSTED, 0));
        figures.put(
                "gossip.held_back",
                Arrays.stream(instances).mapToDouble(v -> v.gossip.counts().rateLimited()).sum());
        figures.put(
                "gossip.replays_refused",
                Arrays.stream(instances).mapToDouble(v -> v.gossip.counts().replayed()).sum());
        figures.put(
                "gossip.verified_per_s",
                Arrays.stream(instances)
                        .mapToDouble(
                                v ->
                                        v.gossip.counts().verified()
                                                / Math.max(
                                                        1,
                                                        (eventQueue.now() - v.startedAt)
                                                                / MS_PER_S))
                        .max()
                        .orElse(0));
        figures.put(
                "gossip.death_known_ms",
                deathDetectionMs.values().stream().mapToDouble(d -> d).max().orElse(0));
        figures.put(
                "gossip.doubt_spread_ms",
                firstSuspicionAt.keySet().stream()
                        .mapToDouble(n -> lastSuspicionAt.get(n) - firstSuspicionAt.get(n))
                        .max()
                        .orElse(0));
        figures.put("gossip.learned_ms_max", maxJoinMs);
        figures.putAll(membership.figures());
        int aliveCount = alive.size();
        List<String> present = alive.stream().map(proxy -> "proxy-" + proxy.index).toList();
        double minKnown = aliveCount;
        for (VirtualProxy proxy : alive) {
            List<String> visible =
                    instances[proxy.index].gossip.table().stream()
                            .filter(Member::isPresent)
                            .map(Member::name)
                            .toList();
            minKnown = Math.min(minKnown, present.stream().filter(visible::contains).count());
            figures.merge(
                    "gossip.ghosts",
                    (double) visible.stream().filter(n -> !present.contains(n)).count(),
                    Math::max);
        }
        figures.put("gossip.known_share", aliveCount == 0 ? 1 : minKnown / aliveCount);
        return figures;
    }
}
