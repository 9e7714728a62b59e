package cacheproxy;

import static cacheproxy.measure.Hash.hashText;
import static cacheproxy.measure.Hash.mix;
import static cacheproxy.measure.Hash.unit;
import static cacheproxy.measure.Samples.clampedMedianRatios;
import static cacheproxy.measure.Samples.median;

import cacheproxy.maintenance.MaintenanceRegistry;
import cacheproxy.measure.DecayingRate;
import cacheproxy.measure.GroupedRatio;
import cacheproxy.measure.Incarnation;
import cacheproxy.measure.Incarnations;
import cacheproxy.measure.MeanDeviationEstimator;
import cacheproxy.measure.Quotas;
import cacheproxy.measure.RecentKeys;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of cacheproxy; its events, actions and types stand in Router.java beside this
 * file.
 *
 * <p>A read goes to the less busy of its key's two top cache nodes by rendezvous hash; on a miss it
 * draws a token and fetches from the origin. A write draws on arrival. One hysteresis level,
 * stepped once an interval from the outcomes of our own fetches, sets how fast the token bank
 * refills; an empty bank refuses at once and its last token is kept for higher worth. Everything
 * else below is health, time and the rules.
 */
public final class DecisionModule implements Router {

    private static final double MS_PER_S = 1000;

    /**
     * Length of a control interval: long enough for a sample, short against an overload of seconds.
     */
    static final double CONTROL_INTERVAL_MS = 1000;

    /** When a refused client may come again where no bank sets a pace. */
    static final double DEFAULT_RETRY_AFTER_MS = 100;

    /**
     * Usual times of a fetch that a request must have left for one, and the part that goes with
     * less.
     */
    static final double MIN_REMAINING_FETCH_TIMES = 2;

    static final double SHORT_BUDGET_FETCH_FRACTION = 0.05;

    /** What an interval leaves of the usual time of a fetch, before its own answers count. */
    static final double FETCH_TIME_DECAY = 0.7;

    /** Tokens the bank holds: a few, so that a pause buys no burst. */
    static final double TOKEN_BUCKET_CAPACITY = 4;

    /** Weight of a new value in running means; faster at nodes that are paced. */
    static final double SMOOTHING = 0.1;

    static final double PACED_SMOOTHING = 0.3;

    /** Failures in a row before a node is spared, and how long, doubling up to the last. */
    static final int EJECTION_FAILURES = 2;

    /**
     * Running share of errors above which a node is spared though it answers, and the weight of an
     * outcome: one that spoils half of its answers has no failures in a row. Prevents a repeat for
     * each of them; could harm where errors come from the requests and not the node.
     */
    static final double EJECTION_ERROR_RATE = 0.35;

    static final double RECENT_ERROR_SMOOTHING = 0.1;

    /**
     * Weight of an attempt in a node's running share of broken connections: about two seconds'
     * worth.
     */
    static final double FAILURE_RATE_SMOOTHING = 0.02;

    /**
     * Share of connections that break at the median cache node from which on the network is at
     * fault.
     */
    static final double NETWORK_FAULT_RATE = 0.01;

    /**
     * How unlikely a run of broken connections must be by the fleet's usual share to tell of its
     * node.
     */
    static final double OUTLIER_SIGNIFICANCE = 1e-5;

    /** Part of the usual aim that a node's queue may take. */
    static final double MAX_QUEUE_FRACTION = 0.6;

    /**
     * Power of their number by which balancers share a node's queue; over a half, as jams must end.
     */
    static final double PROXY_COUNT_EXPONENT = 0.58;

    /** How long a refused key is taken to be still missing, and how many such keys are kept. */
    static final double KNOWN_MISS_TTL_MS = 3000;

    static final int MAX_KNOWN_MISSES = 1024;

    /** How far from the middle a listed size may go, and a model's learned weight. */
    static final double MAX_SIZE_RATIO = 4;

    static final double MAX_MODEL_WEIGHT = 2;

    /**
     * A new node is taken to need this part of the shortest aim for a request until it has answered
     * some.
     */
    static final double INITIAL_SERVICE_TIME_FRACTION = 0.2;

    /**
     * One of so many nodes may be spared at once. With half of them spared the others took twice
     * their load, turned slow and stayed so, while some of the spared still answered most of what
     * they got. Could harm where more nodes than that are dead: requests go on trying them.
     */
    static final int MIN_NODES_PER_EJECTION = 3;

    static final double BASE_EJECTION_MS = 500;
    static final double MAX_EJECTION_MS = 4000;

    /**
     * How soon a node that peers doubt is probed again; a failed probe spares it for longer than
     * that.
     */
    static final double REPROBE_DELAY_MS = 400;

    /**
     * Of a cache attempt's remaining time, the part it may use while another attempt is still
     * possible.
     */
    static final double NON_FINAL_TIMEOUT_FRACTION = 0.6;

    /**
     * Part of the aim after which a request is taken for lost, where answers come sooner but for
     * losses.
     */
    static final double LOSS_TIMEOUT_FRACTION = 0.4;

    /** Mean deviations by which an answer may be late and still be usual, as in TCP. */
    static final double LATE_DEVIATIONS = 4;

    /**
     * Weight of an attempt in a node's running share of silence; shares that count as losses and as
     * dead.
     */
    static final double TIMEOUT_RATE_SMOOTHING = 0.2;

    static final double DEAD_TIMEOUT_RATE = 0.5;
    static final double LOSSY_NODE_TIMEOUT_RATE = 0.05;

    /**
     * Weight of an attempt in the running share of silence over all nodes, and the share that
     * counts as the network's losses. One attempt in a hundred lost at every node never shows at
     * one of them for long.
     */
    static final double FLEET_TIMEOUT_RATE_SMOOTHING = 0.002;

    static final double LOSSY_NETWORK_TIMEOUT_RATE = 0.004;

    /**
     * Times the mean hinted work from which on a request is heavy: silence then tells of its work.
     */
    static final double HEAVY_WORK_MULTIPLE = 4;

    /** Open connections a node that cost the held price. */
    static final double CONNECTIONS_PER_COST = 100;

    /**
     * Keys of the latest requests, ours or told by peers, that are remembered, to tell a hot key.
     */
    static final int LOCAL_RECENT_KEYS = 64;

    static final int SHARED_RECENT_KEYS = 256;

    /**
     * In a large fleet so many keys a node are remembered, as there a smaller share is hot: in a
     * thousand nodes a key with a hundredth of all requests needs ten. The more nodes, the more
     * pairs a key that came again by luck would be given; a longer memory is what tells luck.
     */
    static final int RECENT_KEYS_PER_NODE = 4;

    /** One in so many caches is what a hot key may be spread over, however few the balancers. */
    static final double MIN_HOT_KEY_SPREAD_DIVISOR = 4;

    /**
     * How many peers hear of a request's key on average: a sample of all requests, at a bounded
     * price.
     */
    static final double MEAN_KEY_RECIPIENTS = 24;

    /** Keys told at once, as each message has a price of its own. */
    static final int KEYS_PER_MESSAGE = 4;

    /**
     * Sends to cache nodes, as a multiple of those answered, beyond which requests are turned away,
     * and how steeply. Prevents collapse, where time-outs bring repeats that bring time-outs;
     * failed connections and attempts left young don't count. Could harm where a few nodes are long
     * silent: all pay a little.
     */
    static final double MAX_SENDS_PER_ANSWER = 1.1;

    static final double SHEDDING_EXPONENT = 3;

    /**
     * Part of the requests that goes on however little is answered. Without it a start whose first
     * attempts all come too late refuses for ten seconds: too little goes out to outweigh the first
     * silence.
     */
    static final double MIN_ADMITTED_SHARE = 0.3;

    /**
     * Answers a second that are taken for granted, so that a fleet that answers none is tried
     * again.
     */
    static final double ASSUMED_ANSWERS_PER_S = 0.05;

    /**
     * Part of its due that a cold node gets, for what the stated warm-up and our view leave out.
     */
    static final double SLOW_START_MARGIN = 0.7;

    /**
     * Times a key that we did not see is taken to have come, as it may be hot for others, at a cold
     * node.
     */
    static final double UNSEEN_KEY_COUNT = 0.25;

    /** Pairs a hot key is given, for each node's worth of our requests that ask for it. */
    static final double HOT_KEY_PAIRS_PER_NODE_LOAD = 2;

    /**
     * How long a node back from an outage waits for a key of its own; then it gets the next read,
     * and a miss.
     */
    static final double MAX_RESTORED_IDLE_MS = 2000;

    private static final Comparator<NodeView> BY_ID = Comparator.comparing(node -> node.entry.id());

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Quotas quotas = new Quotas();
    private final Map<String, NodeView> nodes = new LinkedHashMap<>();
    private final Incarnations incarnations = new Incarnations();
    private final Map<Long, List<PendingRequest>> fetchWaiters = new HashMap<>();
    private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Double> knownMisses = new LinkedHashMap<>();
    private final HysteresisController controller = new HysteresisController();
    private final TokenBucket tokenBucket = new TokenBucket(TOKEN_BUCKET_CAPACITY);
    private final double answerMarginMs;
    private final double shortestObjectiveMs;
    private final ServiceClass unknownClass;
    private final boolean hasOrigin;

    /** The cache nodes that may be sent to, in the order of their ids. */
    private List<NodeView> caches = new ArrayList<>();

    /**
     * Nodes that the list no longer names as up; those with attempts out stay in {@link #nodes}.
     */
    private final Set<NodeView> unlisted = new LinkedHashSet<>();

    /** Of {@link #caches}, in their order, side by side: a pick reads all of them. */
    private long[] cacheHashes = {};

    private double[] maxWeights = {};

    /** Whether the caches have changed since the two were made of them. */
    private boolean cachesChanged;

    private NodeView origin;
    private final MaintenanceRegistry maintenance = new MaintenanceRegistry();

    /** Nodes whose outage has ended and that nothing was sent to since. */
    private final Map<NodeView, Double> restoredAt = new HashMap<>();

    private List<PendingRequest> waitingForCapacity = new ArrayList<>();
    private double intervalEndMs;
    private double meanPriorityWeight;
    private double meanWork;

    /**
     * Running mean of 1 / aim over requests: the usual aim is harmonic, as short aims suffer first.
     */
    private double meanInverseObjective;

    private final RecentKeys recentKeys;
    private final boolean exchangesKeys;

    /**
     * Whether a connection from each balancer would cost a node more than opening one for each
     * request: gaps between uses have no memory, so then none is worth holding. Prevents full
     * tables, which refuse, and the work that they take; could harm where opening is far dearer
     * than its price.
     */
    private final boolean closesIdleConnections;

    private final ByteBuffer outgoingKeys;
    private final DecayingRate cacheSendRate = new DecayingRate();
    private final DecayingRate cacheAnswerRate = new DecayingRate();
    private final DecayingRate requestRate = new DecayingRate();
    private double answeredShare = 1,
            admittedShare = 1,
            totalWeight = 1,
            slowStartAdmission = SLOW_START_MARGIN;

    /**
     * Share of attempts whose connection breaks at the median cache node. What breaks everywhere is
     * the network's doing (short idle times, a lossy middlebox, resets) and tells nothing of a node
     * or of the origin's load, so neither is judged by it; a node or an origin that breaks more
     * than that still is. Could harm where one cause overruns all nodes at once and they cut
     * connections instead of waiting.
     */
    private double medianBreakRate;

    /** The same of answers that are errors or make no sense. */
    private double medianErrorRate;

    private double fleetTimeoutRate, meanFetchMs;
    private final SlowStartBudget slowStart;
    private final GroupedRatio modelServiceTimesMs = new GroupedRatio();
    private boolean subscribed, capacityReduced;
    private int discoveryFailures;

    public DecisionModule(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.slowStart = new SlowStartBudget(settings.rules(), settings.index(), seed);
        Connections connections = settings.connections();
        this.closesIdleConnections =
                connections.connectionCost() * settings.proxies()
                        > connections.handshakeCost() * CONNECTIONS_PER_COST;
        this.exchangesKeys = settings.limits().peers() && settings.proxies() > 1;
        this.outgoingKeys =
                ByteBuffer.allocate((exchangesKeys ? KEYS_PER_MESSAGE : 1) * Integer.BYTES);
        this.recentKeys = new RecentKeys(exchangesKeys ? SHARED_RECENT_KEYS : LOCAL_RECENT_KEYS);
        this.hasOrigin = settings.originModel() != null;
        this.answerMarginMs = 2 * settings.tickMs();
        this.shortestObjectiveMs =
                settings.classes().stream()
                        .mapToDouble(ServiceClass::latencyObjectiveMs)
                        .min()
                        .orElse(1);
        this.meanInverseObjective = 1 / Math.max(1, shortestObjectiveMs);
        double shortestDeadlineMs =
                settings.classes().stream().mapToDouble(ServiceClass::deadlineMs).min().orElse(1);
        // A class that the settings do not name is taken to be worth little and never safe to
        // repeat.
        this.unknownClass =
                new ServiceClass(
                        "",
                        shortestDeadlineMs,
                        0,
                        shortestDeadlineMs,
                        0,
                        0,
                        Effect.UNSAFE,
                        Group.ALL,
                        0,
                        false);
        settings.classes().forEach(s -> classes.put(s.name(), s));
        double proxies = Math.max(1, settings.proxies());
        settings.tenants().forEach(t -> quotas.set(t.name(), t.quotaPerS() / proxies));
    }

    @Override
    public void started(double now, Actions out) {
        incarnations.started(now);
        intervalEndMs = now + CONTROL_INTERVAL_MS;
        out.scheduleTimer(intervalEndMs, "step");
        if (settings.mustSubscribe()) {
            out.scheduleTimer(now + random.nextDouble() * CONTROL_INTERVAL_MS, "subscribe");
        }
    }

    @Override
    public void endpointListReceived(
            double now, EndpointListKind kind, long version, List<Node> entries, Actions out) {
        if (kind == EndpointListKind.FAILED) {
            subscribed = false;
            discoveryFailures++;
            // The first try comes soon: what a silent watch misses counts as told 6 s on.
            double retryDelayMs =
                    CONTROL_INTERVAL_MS * Math.min(8, Math.pow(4, discoveryFailures - 2));
            out.scheduleTimer(now + retryDelayMs * (0.5 + random.nextDouble()), "subscribe");
            return;
        }
        discoveryFailures = kind == EndpointListKind.STORED_SNAPSHOT ? discoveryFailures : 0;
        if (kind != EndpointListKind.DELTA) {
            nodes.values().forEach(node -> node.listed = false);
        }
        boolean firstList = incarnations.isFirstList(now);
        for (Node entry : entries) {
            NodeView node = nodes.computeIfAbsent(entry.id(), id -> new NodeView(entry));
            node.update(now, entry, firstList);
            if (!node.isOrigin()) {
                maintenance.recordListed(entry.id());
            }
            if (kind == EndpointListKind.DELTA) {
                updateCacheList(node);
            }
        }
        if (kind == EndpointListKind.DELTA) {
            removeDepartedNodes();
            recentKeys.ensureCapacity(RECENT_KEYS_PER_NODE * caches.size());
        } else {
            rebuildCacheList();
        }
        if (kind != EndpointListKind.STORED_SNAPSHOT && !entries.isEmpty()) {
            incarnations.markNodesReceived();
        }
    }

    @Override
    public boolean isKnownCacheNode(String node) {
        return maintenance.isKnown(node);
    }

    @Override
    public boolean setMaintenance(double now, String node, boolean begins, Actions out) {
        if (!maintenance.isKnown(node)) {
            return false;
        }
        NodeView view = nodes.get(node);
        if (begins) {
            maintenance.begin(now, node);
            out.closeIdleConnections(node);
        } else {
            Double since = maintenance.end(node);
            if (since != null && view != null) {
                view.endMaintenance(now, since);
            }
        }
        rebuildCacheList();
        return true;
    }

    @Override
    public void requestReceived(double now, Request request, Actions out) {
        PendingRequest pending =
                new PendingRequest(
                        request,
                        classes.getOrDefault(request.service(), unknownClass),
                        now,
                        answerMarginMs);
        requests.put(request.id(), pending);
        recordKey(pending, out);
        requestRate.add(now, 1);
        pending.priorityWeight = priorityWeight(now, request, pending.service);
        double weight = pending.priorityWeight;
        meanPriorityWeight =
                meanPriorityWeight == 0
                        ? weight
                        : meanPriorityWeight + SMOOTHING / 10 * (weight - meanPriorityWeight);
        pending.lowPriority = pending.priorityWeight < meanPriorityWeight;
        pending.heavy = meanWork > 0 && request.workMs() > HEAVY_WORK_MULTIPLE * meanWork;
        meanWork =
                meanWork == 0
                        ? request.workMs()
                        : meanWork + SMOOTHING / 10 * (request.workMs() - meanWork);
        meanInverseObjective +=
                SMOOTHING
                        / 10
                        * (1 / Math.max(1, pending.service.latencyObjectiveMs())
                                - meanInverseObjective);
        out.scheduleTimer(pending.answerBy, "r" + request.id());
        if (!hasTime(now, pending)) {
            // A try may come with no time left at all: a timer would answer it too late.
            rejectOrFail(now, pending, out);
        } else if (isKnownMiss(now, pending)
                && !joinPendingFetch(pending)
                && !takeToken(now, pending)) {
            rejectOrFail(now, pending, out);
        } else if (pending.joinedFetch) {
            return;
        } else if (request.write() && hasOrigin) {
            fetch(now, pending, out);
        } else if (pending.draw > admittedShare
                || request.write() && !tokenBucket.tryTake(now, pending.lowPriority)) {
            rejectOrFail(now, pending, out);
        } else {
            lookUp(now, pending, out);
        }
    }

    @Override
    public void streamStarted(double now, String request, int attempt, String node, Actions out) {
        PendingRequest pending = requests.get(request);
        if (pending != null) {
            pending.streaming = true;
        }
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end, Actions out) {
        NodeView node = nodes.get(end.node());
        PendingRequest pending = requests.get(end.request());
        boolean wasFetch = node != null && node.isOrigin();
        if (node != null) {
            node.recordOutcome(now, end, caches);
            if (!wasFetch && (end.outcome() == Outcome.OK || end.outcome() == Outcome.MISS)) {
                node.servedWork.add(now, workUnitsOf(pending));
                slowStart.recordAnswered(
                        now,
                        node.entry.id(),
                        node.incarnation.startedAt(),
                        workUnitsOf(pending),
                        end.outcome() == Outcome.OK);
            }
            if (closesIdleConnections && node.inFlight == 0) {
                out.closeIdleConnections(end.node());
            }
            boolean answered =
                    switch (end.outcome()) {
                        case OK, MISS, ERROR -> true;
                        default -> false;
                    };
            if (!wasFetch && answered) {
                // An error too is an answer: a node that spoils some of its own is no fleet that is
                // overrun.
                cacheAnswerRate.add(now, 1);
            } else if (!wasFetch
                    && (end.outcome().isConnectionFailure()
                            || end.outcome() == Outcome.NEVER_SENT
                            || end.outcome() == Outcome.CANCELLED
                                    && 2 * end.elapsedMs() < shortestObjectiveMs)) {
                cacheSendRate.add(now, -1);
            }
        }
        if (wasFetch || !hasOrigin && end.cacheStatus() > 1) {
            double objectiveMs =
                    pending == null ? CONTROL_INTERVAL_MS : pending.service.latencyObjectiveMs();
            boolean uninformative =
                    end.outcome() == Outcome.CANCELLED
                            || end.outcome() == Outcome.NEVER_SENT
                            || isConnectionRefused(end)
                            || pending != null && pending.overdue;
            if (!uninformative && end.outcome().isConnectionFailure()) {
                controller.brokenFetches++;
            } else if (!uninformative && end.outcome() == Outcome.ERROR) {
                controller.errorFetches++;
            } else if (!uninformative) {
                controller.count(end.outcome() == Outcome.OK && end.elapsedMs() <= objectiveMs);
            }
        }
        if (pending == null) {
            return;
        }
        pending.inFlight = false;
        pending.neverRan &= end.outcome().provesNotRun();
        List<PendingRequest> waiting =
                wasFetch && pending.leadsFetch ? fetchWaiters.remove(pending.request.key()) : null;
        pending.leadsFetch = false;
        if (end.finished()) {
            requests.remove(pending.request.id());
        } else if (wasFetch) {
            afterFetch(now, pending, end, out);
        } else {
            afterLookUp(now, pending, node, end.outcome(), out);
        }
        if (wasFetch && end.outcome() == Outcome.OK) {
            meanFetchMs += SMOOTHING * (Math.max(0, end.elapsedMs()) - meanFetchMs);
            knownMisses.remove(pending.request.key());
        }
        boolean originUnreachable =
                end.outcome() == Outcome.CONNECT_FAILED
                        && !isConnectionRefused(end)
                        && !requests.containsKey(pending.request.id());
        resumeWaiting(now, waiting, end.outcome() == Outcome.OK, originUnreachable, out);
    }

    @Override
    public void clientDisconnected(double now, String request, Actions out) {
        PendingRequest pending = requests.remove(request);
        if (pending != null) {
            cancelWork(now, pending, out);
        }
    }

    @Override
    public void timerFired(double now, String token, Actions out) {
        if (token.equals("step")) {
            endControlInterval(now);
            out.scheduleTimer(intervalEndMs, "step");
        } else if (token.equals("room")) {
            retryWaitingReads(now, out);
        } else if (token.equals("subscribe")) {
            if (!subscribed) {
                subscribed = true;
                out.subscribe();
            }
        } else if (token.startsWith("p")) {
            NodeView node = nodes.get(token.substring(1));
            if (node != null) {
                probe(node, out);
            }
        } else if (token.startsWith("r")) {
            PendingRequest pending = requests.get(token.substring(1));
            if (pending != null && !pending.streaming) {
                rejectOrFail(now, pending, out);
            }
        }
    }

    @Override
    public void probeCompleted(
            double now,
            String node,
            Outcome outcome,
            double elapsedMs,
            Map<String, Double> load,
            Actions out) {
        NodeView view = nodes.get(node);
        if (view == null || !view.probing) {
            return;
        }
        view.probing = false;
        boolean answered = outcome == Outcome.OK || outcome == Outcome.MISS;
        view.failsProbes = !answered && (view.suspected || view.failsProbes);
        if (answered) {
            view.clearFailures();
        } else if (view.failsProbes) {
            view.eject(now, caches, 1);
            cancelLateAttempts(now, view, out);
        }
        if (view.suspected || view.failsProbes) {
            out.scheduleTimer(now + REPROBE_DELAY_MS, "p" + node);
        }
    }

    /**
     * Peers doubt a node, or no longer do. Hearsay alone moves no request: it makes us probe at
     * once, and wait briefly for attempts there; what the probe shows is then acted upon.
     */
    @Override
    public void suspicionChanged(double now, String node, boolean suspected, Actions out) {
        NodeView view = nodes.get(node);
        if (view != null && !view.isOrigin()) {
            view.suspected = suspected;
            probe(view, out);
        }
    }

    /**
     * What waits at a node that neither peers nor our probe get a word of goes to another in time.
     */
    private void cancelLateAttempts(double now, NodeView node, Actions out) {
        for (PendingRequest pending :
                settings.limits().cancel() ? requests.values() : List.<PendingRequest>of()) {
            boolean waiting =
                    pending.inFlight
                            && pending.node == node
                            && !pending.streaming
                            && !pending.heavy;
            boolean late = now - pending.sentAt > node.responseTimes.upperBound(LATE_DEVIATIONS);
            if (waiting && late && pending.service.effect() == Effect.SAFE) {
                out.cancel(pending.request.id(), pending.attempts - 1);
            }
        }
    }

    private void probe(NodeView node, Actions out) {
        boolean shouldProbe = caches.contains(node) && (node.suspected || node.failsProbes);
        if (shouldProbe && settings.limits().probes() && !node.probing) {
            node.probing = true;
            out.probe(node.entry.id());
        }
    }

    @Override
    public void peerMessageReceived(double now, int from, byte[] contents, Actions out) {
        recentKeys.addAll(ByteBuffer.wrap(contents));
    }

    @Override
    public String describeState() {
        return (controller.level == 0
                        ? "not throttled"
                        : String.format(
                                Locale.ROOT,
                                "throttled at level %d to %.1f fetches/s",
                                controller.level,
                                controller.refillRate()))
                + (admittedShare >= 1
                        ? ""
                        : String.format(Locale.ROOT, ", %.0f%% go on", 100 * admittedShare));
    }

    @Override
    public int controlLevel() {
        return controller.level;
    }

    @Override
    public int entryCount() {
        return requests.size() + fetchWaiters.size() + waitingForCapacity.size();
    }

    /** Sends a read to the less busy of its two top nodes, or holds it while we fetch its key. */
    private void lookUp(double now, PendingRequest pending, Actions out) {
        if (joinPendingFetch(pending)) {
            return;
        }
        NodeView node = chooseNode(now, pending);
        if (node != null) {
            double remainingMs = pending.answerBy - now;
            // A heavy request that is repeated has its work done from the start once more, and is
            // late.
            boolean anotherAttemptPossible =
                    pending.attempts + 2 < settings.limits().maxAttempts()
                            && pending.request.key() >= 0
                            && !pending.heavy;
            double firstTimeoutMs =
                    Math.min(
                            attemptTimeoutMs(now, pending, node, !pending.hadShortTimeout),
                            remainingMs * NON_FINAL_TIMEOUT_FRACTION);
            pending.hadShortTimeout = true;
            send(now, pending, node, anotherAttemptPossible ? firstTimeoutMs : remainingMs, out);
        } else if (!pending.missed.isEmpty() && hasOrigin) {
            fetch(now, pending, out);
        } else if (pending.hasUntriedNode && now < pending.waitUntil) {
            if (waitingForCapacity.isEmpty()) {
                out.scheduleTimer(now + answerMarginMs, "room");
            }
            waitingForCapacity.add(pending);
        } else {
            rejectOrFail(now, pending, out);
        }
    }

    /**
     * How long an attempt is waited for: its first briefly where silence would mean that it is
     * lost.
     */
    private double attemptTimeoutMs(
            double now, PendingRequest pending, NodeView node, boolean firstAttempt) {
        boolean repeatable = !pending.heavy && pending.service.effect() != Effect.UNSAFE;
        boolean shortTimeout =
                firstAttempt
                        && repeatable
                        && node.losesRequests(pending.service.latencyObjectiveMs());
        return shortTimeout
                ? Math.min(
                        LOSS_TIMEOUT_FRACTION * pending.service.latencyObjectiveMs(),
                        pending.answerBy - now)
                : pending.answerBy - now;
    }

    /**
     * Reads that found their pair crowded wait here for a small part of their aim; higher worth
     * first, then newest. Prevents refusals while nodes idle between bursts; a lasting overload
     * costs each read the wait.
     */
    private void retryWaitingReads(double now, Actions out) {
        List<PendingRequest> waiting = waitingForCapacity;
        waitingForCapacity = new ArrayList<>();
        waiting.sort(
                Comparator.comparingDouble((PendingRequest pending) -> -pending.priorityWeight)
                        .thenComparingDouble(pending -> -pending.waitUntil));
        for (PendingRequest pending : waiting) {
            if (requests.get(pending.request.id()) == pending) {
                lookUp(now, pending, out);
            }
        }
    }

    private void afterLookUp(
            double now, PendingRequest pending, NodeView node, Outcome outcome, Actions out) {
        boolean networkFault =
                outcome.isConnectionFailure() && medianBreakRate > NETWORK_FAULT_RATE;
        if (networkFault
                && node != null
                && node.isUsable(now)
                && mayRetry(now, pending)
                && pending.sameNodeRetries++ == 0) {
            // The node is fine and may hold the key: another would miss, and a miss is one more
            // fetch.
            lookUp(now, pending, out);
            return;
        }
        pending.tried.add(node);
        if (outcome == Outcome.MISS && node != null) {
            pending.missed.add(node);
            if (pending.missed.size() == 1 && pending.pickedSecond) {
                lookUp(now, pending, out);
            } else {
                fetch(now, pending, out);
            }
        } else if (mayRetry(now, pending)
                && pending.tried.size() < 2
                && (outcome != Outcome.TIMEOUT || pending.draw < 2 * answeredShare - 1)) {
            lookUp(now, pending, out);
        } else {
            rejectOrFail(now, pending, out);
        }
    }

    /**
     * Fetches from the origin if a token is had; joins a fetch of ours that is out for the same
     * key.
     */
    private void fetch(double now, PendingRequest pending, Actions out) {
        if (origin == null
                || !origin.listed
                || !hasTime(now, pending)
                || wouldMissDeadline(now, pending)) {
            rejectOrFail(now, pending, out);
        } else if (!pending.request.write() && joinPendingFetch(pending)) {
            return;
        } else if (!takeToken(now, pending)) {
            knownMisses.put(pending.request.key(), now);
            if (knownMisses.size() > MAX_KNOWN_MISSES) {
                knownMisses.remove(knownMisses.keySet().iterator().next());
            }
            rejectOrFail(now, pending, out);
        } else {
            pending.hasToken = false;
            if (!pending.request.write()
                    && pending.request.key() >= 0
                    && !fetchWaiters.containsKey(pending.request.key())) {
                fetchWaiters.put(pending.request.key(), new ArrayList<>());
                pending.leadsFetch = true;
            }
            send(
                    now,
                    pending,
                    origin,
                    attemptTimeoutMs(now, pending, origin, pending.fetchAttempts == 0),
                    out);
        }
    }

    /**
     * Whether a fetch would most likely end after its client has gone. Retries come with little
     * time left; in a jam their fetches fill the origin's queue and nobody reads the answers. A few
     * are tried all the same, and what is remembered of a jam fades, as answers alone tell that it
     * has passed. Could harm where the origin's times spread widely.
     */
    private boolean wouldMissDeadline(double now, PendingRequest pending) {
        return pending.draw >= SHORT_BUDGET_FETCH_FRACTION
                && pending.answerBy - now < MIN_REMAINING_FETCH_TIMES * meanFetchMs;
    }

    private boolean takeToken(double now, PendingRequest pending) {
        pending.hasToken =
                pending.hasToken
                        || controller.level == 0
                        || tokenBucket.tryTake(now, pending.lowPriority);
        return pending.hasToken;
    }

    /**
     * Whether a read is all but sure to need a fetch: while throttled, its key was refused lately.
     * It draws on arrival, so that clients' retries cost no further misses. Could harm where
     * another has filled it.
     */
    private boolean isKnownMiss(double now, PendingRequest pending) {
        boolean neverMissing =
                pending.request.write() || pending.request.key() < 0 || controller.level == 0;
        Double rejectedAt = neverMissing ? null : knownMisses.get(pending.request.key());
        return rejectedAt != null && now - rejectedAt < KNOWN_MISS_TTL_MS;
    }

    /**
     * Whether a node took no connection and said so at once: its table is full, of idle ones
     * perhaps, which says nothing of the work that it has. One out of reach fails after the time
     * for connecting. Could harm where an origin closes its door as the first sign of overload:
     * late fetches alone then throttle.
     */
    private boolean isConnectionRefused(AttemptEnd end) {
        return end.outcome() == Outcome.CONNECT_FAILED
                && end.elapsedMs() < settings.limits().connectTimeoutMs();
    }

    private void afterFetch(double now, PendingRequest pending, AttemptEnd end, Actions out) {
        Outcome outcome = end.outcome();
        boolean retryable = outcome != Outcome.OK && outcome != Outcome.REJECTED;
        // What the network breaks is repeated while throttled too: the token that it draws bounds
        // the load.
        boolean retryAllowed =
                controller.level == 0
                        || isConnectionRefused(end)
                        || outcome.isConnectionFailure() && medianBreakRate > NETWORK_FAULT_RATE
                        || outcome == Outcome.ERROR && medianErrorRate > NETWORK_FAULT_RATE;
        if (retryable && retryAllowed && pending.fetchAttempts++ == 0 && mayRetry(now, pending)) {
            fetch(now, pending, out);
        } else {
            rejectOrFail(now, pending, out);
        }
    }

    private boolean joinPendingFetch(PendingRequest pending) {
        boolean unshareable = pending.request.key() < 0 || pending.request.write();
        List<PendingRequest> waiting = unshareable ? null : fetchWaiters.get(pending.request.key());
        if (waiting == null || pending.joinedFetch) {
            return false;
        }
        pending.joinedFetch = true;
        waiting.add(pending);
        return true;
    }

    /**
     * After a fetch, those held for it go to the filled node, or on as if they had come just now.
     * Where the origin was out of reach and the one that fetched has given up, so have they: one
     * after the other would find out the same, with the last waiting for all. Could harm where it
     * is back at that moment.
     */
    private void resumeWaiting(
            double now,
            List<PendingRequest> waiting,
            boolean filled,
            boolean originUnreachable,
            Actions out) {
        for (PendingRequest pending : waiting == null ? List.<PendingRequest>of() : waiting) {
            if (requests.get(pending.request.id()) == pending && !pending.inFlight) {
                if (filled) {
                    pending.tried.clear();
                    pending.missed.clear();
                } else {
                    pending.joinedFetch = false;
                }
                if (filled || pending.missed.isEmpty()) {
                    lookUp(now, pending, out);
                } else if (originUnreachable) {
                    rejectOrFail(now, pending, out);
                } else {
                    fetch(now, pending, out);
                }
            }
        }
    }

    /**
     * While nodes are out or cold their keys crowd the others. A read with a crowded pair then goes
     * to a node with half of its places free, unless fetches are throttled. Could harm where all
     * are overrun.
     */
    private NodeView chooseNode(double now, PendingRequest pending) {
        NodeView node = chooseNode(now, pending, false);
        return node != null || !pending.hasUntriedNode || controller.level > 0 || !capacityReduced
                ? node
                : chooseNode(now, pending, true);
    }

    private NodeView chooseNode(double now, PendingRequest pending, boolean halfFreeOnly) {
        refreshCacheArrays();
        NodeView first = null;
        NodeView second = null;
        double firstScore = 0;
        double secondScore = 0;
        long keyHash = mix(pending.placementKey);
        for (int i = 0; i < cacheHashes.length; i++) {
            double uniform = unit(cacheHashes[i] ^ keyHash);
            // As ln(u) <= u - 1: what could not win with its whole share needs no logarithm.
            if (maxWeights[i] <= secondScore * (1 - uniform)) {
                continue;
            }
            NodeView node = caches.get(i);
            double score =
                    node.isUsable(now)
                                    && (!halfFreeOnly
                                            || 2 * node.inFlight + 1 < node.concurrencyLimit())
                            ? -node.slowStartWeight(now) / Math.log(uniform)
                            : 0;
            if (score > firstScore
                    && (halfFreeOnly
                            ? node.admitsOverflow(now, pending)
                            : node.admitsDuringSlowStart(now, pending))) {
                if (first == null || first.admitsOverflow(now, pending)) {
                    second = first;
                    secondScore = firstScore;
                }
                first = node;
                firstScore = score;
            } else if (score > secondScore
                    && score <= firstScore
                    && node.admitsOverflow(now, pending)) {
                second = node;
                secondScore = score;
            }
        }
        first = restoredNodeOr(now, pending, first);
        boolean firstAvailable =
                first != null
                        && !pending.tried.contains(first)
                        && first.hasCapacity(now, pending.lowPriority);
        boolean secondAvailable =
                second != null
                        && !pending.tried.contains(second)
                        && second.hasCapacity(now, pending.lowPriority);
        pending.pickedSecond =
                secondAvailable && (!firstAvailable || second.inFlight < first.inFlight);
        pending.hasUntriedNode =
                first != null && !pending.tried.contains(first)
                        || second != null && !pending.tried.contains(second);
        return pending.pickedSecond ? second : firstAvailable ? first : null;
    }

    private NodeView restoredNodeOr(double now, PendingRequest pending, NodeView otherwise) {
        return restoredAt.isEmpty() || pending.request.write()
                ? otherwise
                : restoredAt.keySet().stream()
                        .filter(node -> now - restoredAt.get(node) >= MAX_RESTORED_IDLE_MS)
                        .findFirst()
                        .orElse(otherwise);
    }

    /**
     * A key that came again within our latest requests is hot: it counts as several keys, each with
     * a pair of its own, as many as keep each node's part of it under a part of its usual work.
     * Prevents jams where one key needs more than a pair and no balancer has enough in flight to
     * see it. Could harm where a key comes again by luck: it costs a miss for each pair.
     */
    private void recordKey(PendingRequest pending, Actions out) {
        int key = (int) mix(pending.request.key());
        int recentCount = recentKeys.size();
        int occurrences = recentKeys.count(key);
        outgoingKeys.putInt(key);
        if (!exchangesKeys) {
            recentKeys.addAll(outgoingKeys);
        } else if (!outgoingKeys.hasRemaining()) {
            if (random.nextDouble() * settings.proxies() < MEAN_KEY_RECIPIENTS) {
                out.sendToPeers(outgoingKeys.array());
                recentKeys.addAll(outgoingKeys);
            }
            outgoingKeys.clear();
        }
        pending.keyFrequency = Math.max(occurrences, UNSEEN_KEY_COUNT) / Math.max(recentCount, 1);
        if (occurrences > 0 && pending.request.key() >= 0) {
            double share = occurrences / Math.max(recentCount, LOCAL_RECENT_KEYS / 2.0);
            double spread =
                    Math.max(settings.proxies(), caches.size() / MIN_HOT_KEY_SPREAD_DIVISOR);
            double maxVariants = HOT_KEY_PAIRS_PER_NODE_LOAD * Math.min(caches.size(), spread);
            pending.variants = 1 + (int) Math.min(caches.size() / 2.0, share * maxVariants);
            int variant =
                    (int)
                            (unit(pending.placementKey ^ Double.doubleToLongBits(pending.draw))
                                    * pending.variants);
            pending.placementKey =
                    variant == 0 ? pending.placementKey : mix(pending.placementKey + variant);
        }
    }

    private void send(
            double now, PendingRequest pending, NodeView node, double timeoutMs, Actions out) {
        if (pending.attempts >= settings.limits().maxAttempts() || !hasTime(now, pending)) {
            rejectOrFail(now, pending, out);
            return;
        }
        pending.attempts++;
        pending.inFlight = true;
        pending.node = node;
        pending.overdue = false;
        pending.sentAt = now;
        if (pending.neverRan) {
            pending.firstSentAt = now;
        }
        node.inFlight++;
        restoredAt.remove(node);
        if (!node.isOrigin()) {
            cacheSendRate.add(now, 1);
            if (node.isWarmingUp(now)) {
                slowStart.recordSent(
                        now, node.entry.id(), node.incarnation.startedAt(), workUnitsOf(pending));
            }
        }
        out.send(pending.request.id(), node.entry.id(), Math.max(1, timeoutMs));
    }

    /** How many requests of mean work it counts as, by its hint; one that is over counts as one. */
    private double workUnitsOf(PendingRequest pending) {
        return pending == null || meanWork <= 0
                ? 1
                : SlowStartBudget.workUnits(pending.request.workMs() / meanWork);
    }

    /** The one final answer that we give: a refusal where it is a true promise, else a failure. */
    private void rejectOrFail(double now, PendingRequest pending, Actions out) {
        requests.remove(pending.request.id());
        cancelWork(now, pending, out);
        boolean safeToRetry =
                switch (pending.service.effect()) {
                    case SAFE -> true;
                    case KEYED ->
                            pending.neverRan && !pending.inFlight
                                    || pending.service.group() == Group.ALL;
                    case UNSAFE -> pending.neverRan && !pending.inFlight;
                };
        if (safeToRetry) {
            double pause =
                    controller.level == 0 ? DEFAULT_RETRY_AFTER_MS : 1000 / tokenBucket.ratePerS;
            double wait = settings.limits().retryAfter() ? pause : 0;
            out.reject(pending.request.id(), Math.min(wait, settings.limits().maxRetryAfterMs()));
        } else {
            out.fail(pending.request.id());
        }
    }

    /** Stops what is still out for a request that is over, and lets others fetch its key. */
    private void cancelWork(double now, PendingRequest pending, Actions out) {
        if (pending.inFlight && settings.limits().cancel()) {
            out.cancel(pending.request.id(), pending.attempts - 1);
        }
        if (pending.leadsFetch) {
            pending.leadsFetch = false;
            resumeWaiting(now, fetchWaiters.remove(pending.request.key()), false, false, out);
        }
    }

    private boolean mayRetry(double now, PendingRequest pending) {
        return hasTime(now, pending)
                && switch (pending.service.effect()) {
                    case SAFE -> true;
                    case UNSAFE -> pending.neverRan;
                    case KEYED ->
                            pending.neverRan
                                    || pending.service.group() == Group.ALL
                                            && now - pending.firstSentAt
                                                    < pending.service.repeatWindowMs()
                                                            - Math.max(
                                                                    answerMarginMs,
                                                                    MAX_PROCESSING_DELAY_MS);
                };
    }

    private boolean hasTime(double now, PendingRequest pending) {
        return pending.answerBy - now > answerMarginMs;
    }

    private void endControlInterval(double now) {
        if (now < intervalEndMs) {
            return;
        }
        refreshCacheArrays();
        countOverdueFetches(now);
        meanFetchMs *= FETCH_TIME_DECAY;
        double nodesPerProxy = caches.size() / (double) settings.proxies();
        controller.minBaseRate = HysteresisController.MIN_BASE_RATE * Math.min(1, nodesPerProxy);
        medianBreakRate = median(caches.stream().mapToDouble(node -> node.breakRate));
        medianErrorRate = median(caches.stream().mapToDouble(node -> node.errorRate));
        controller.countUnexplainedFailures(medianBreakRate, medianErrorRate);
        controller.endInterval(CONTROL_INTERVAL_MS, tokenBucket.failedTakes);
        tokenBucket.setRate(now, controller.refillRate());
        updateModelWeights();
        double answered = cacheAnswerRate.perS(now) + ASSUMED_ANSWERS_PER_S;
        // Young attempts tell nothing yet; a balancer with few requests would refuse on their
        // account.
        long recentAttempts =
                requests.values().stream().filter(pending -> pending.isYoung(now)).count();
        answeredShare =
                Math.min(1, answered / Math.max(1e-9, cacheSendRate.perS(now, recentAttempts)));
        admittedShare =
                Math.max(
                        MIN_ADMITTED_SHARE,
                        Math.pow(MAX_SENDS_PER_ANSWER * answeredShare, SHEDDING_EXPONENT));
        slowStartAdmission =
                SLOW_START_MARGIN * Math.min(answeredShare, answered / requestRate.perS(now));
        summarizeWeights(now);
        updateSlowStartBudget(now);
        intervalEndMs = now + CONTROL_INTERVAL_MS;
    }

    private void summarizeWeights(double now) {
        totalWeight = 0;
        capacityReduced = maintenance.anyInMaintenance();
        for (NodeView node : caches) {
            double weight = node.slowStartWeight(now);
            totalWeight += weight;
            capacityReduced |= weight < node.weight;
        }
    }

    private void updateSlowStartBudget(double now) {
        for (NodeView node : caches) {
            slowStart.observe(
                    node.model(),
                    node.isWarmingUp(now),
                    node.servedWork.perS(now) / MS_PER_S,
                    node.capacity(now));
        }
        slowStart.endInterval(now - settings.rules().slowStartMs());
    }

    /**
     * A fetch that is out past its aim is bad already; waiting for its end would tell of a full
     * origin only once its queue has been as long as the clients' patience. Also tells of an origin
     * that has stopped.
     */
    private void countOverdueFetches(double now) {
        for (PendingRequest pending : requests.values()) {
            if (pending.inFlight
                    && !pending.overdue
                    && pending.node == origin
                    && now - pending.sentAt
                            > pending.service.latencyObjectiveMs() + pending.request.uploadMs()) {
                pending.overdue = true;
                controller.count(false);
            }
        }
    }

    /**
     * Where the list tells no sizes, nodes of a model that answers slower get fewer keys. By model
     * and slowly, so that all balancers come to nearly the same weights and keys keep their nodes.
     * Prevents slow models from being crowded while fast ones idle; could harm where a model is
     * slow for a short while.
     */
    private void updateModelWeights() {
        if (settings.weights() == Weights.SIZE) {
            return;
        }
        modelServiceTimesMs.clear();
        for (NodeView node : caches) {
            modelServiceTimesMs.add(node.model(), node.serviceTimeMs, 1);
        }
        double meanOfAll = modelServiceTimesMs.ofAll();
        for (NodeView node : caches) {
            double target =
                    Math.min(
                            MAX_MODEL_WEIGHT,
                            Math.max(
                                    1 / MAX_MODEL_WEIGHT,
                                    meanOfAll / modelServiceTimesMs.of(node.model())));
            node.weight += SMOOTHING * (target - node.weight);
        }
        refreshMaxWeights();
    }

    /** Class gain, by work where value is, cut for what a tenant sends beyond its quota. */
    private double priorityWeight(double now, Request request, ServiceClass service) {
        double weight = service.gain();
        weight *= settings.weightByWork() && request.workMs() > 0 ? request.workMs() : 1;
        return quotas.recordRequest(now, request.tenant())
                ? weight
                : weight * settings.overQuotaWeightFactor();
    }

    /**
     * Makes anew of all nodes what {@link #place} keeps up with a change: the work grows with the
     * fleet.
     */
    private void rebuildCacheList() {
        // Ids that left never come back, and on a long day there is no end to new ones.
        nodes.values().removeIf(node -> !node.listed && hasDeparted(node));
        unlisted.clear();
        List<NodeView> cacheNodes = new ArrayList<>();
        origin = null;
        for (NodeView node : nodes.values()) {
            if (node.listed && node.isOrigin()) {
                origin = node;
            } else if (isAvailableCache(node)) {
                cacheNodes.add(node);
            }
            if (!node.listed) {
                unlisted.add(node);
            }
        }
        cacheNodes.sort(BY_ID);
        caches = cacheNodes;
        restoredAt.keySet().retainAll(cacheNodes);
        recentKeys.ensureCapacity(RECENT_KEYS_PER_NODE * cacheNodes.size());
        cachesChanged = true;
    }

    /**
     * Puts one node whose entry has changed into the caches or takes it out. A release changes
     * thousands of nodes one by one within seconds, so this must not walk all of them.
     */
    private void updateCacheList(NodeView node) {
        if (node.isOrigin() || node == origin) {
            rebuildCacheList();
            return;
        }
        if (node.listed) {
            unlisted.remove(node);
        } else {
            unlisted.add(node);
        }
        int index = Collections.binarySearch(caches, node, BY_ID);
        if (index < 0 && isAvailableCache(node)) {
            caches.add(-index - 1, node);
        } else if (index >= 0 && !isAvailableCache(node)) {
            caches.remove(index);
            restoredAt.remove(node);
        }
        cachesChanged = true;
    }

    private boolean isAvailableCache(NodeView node) {
        return node.listed && !node.isOrigin() && !maintenance.isInMaintenance(node.entry.id());
    }

    private void removeDepartedNodes() {
        unlisted.removeIf(node -> hasDeparted(node) && nodes.remove(node.entry.id(), node));
    }

    private boolean hasDeparted(NodeView node) {
        return node.inFlight == 0 && !maintenance.isInMaintenance(node.entry.id());
    }

    /**
     * What a pick and a step read of all caches is made when it is read, once for all changes
     * before.
     */
    private void refreshCacheArrays() {
        if (!cachesChanged) {
            return;
        }
        cachesChanged = false;
        cacheHashes = caches.stream().mapToLong(node -> node.hash).toArray();
        if (settings.weights() == Weights.SIZE) {
            applyListedSizes();
        }
        refreshMaxWeights();
    }

    private void refreshMaxWeights() {
        double maxFactor = Math.max(1, settings.rules().slowStartInitialFraction());
        maxWeights = caches.stream().mapToDouble(node -> maxFactor * node.weight).toArray();
    }

    /**
     * Listed sizes, kept within a span of their median, so that an absurd one shuts no node out.
     */
    private void applyListedSizes() {
        double[] sizes =
                clampedMedianRatios(
                        caches.stream().mapToDouble(node -> node.entry.weight()).toArray(),
                        MAX_SIZE_RATIO);
        for (int i = 0; i < sizes.length; i++) {
            caches.get(i).weight = sizes[i];
        }
    }

    /** What we know of a node. */
    final class NodeView {
        final long hash;
        Node entry;
        boolean listed;
        double weight = 1;
        int inFlight;
        double consecutiveFailures;
        double serviceTimeMs, recentErrorRate, breakRate, errorRate, timeoutRate;

        /** Times of its answered attempts. */
        final MeanDeviationEstimator responseTimes = new MeanDeviationEstimator(SMOOTHING);

        int ejections;
        double lastAttemptEndMs = Double.NEGATIVE_INFINITY;
        boolean onProbation;
        boolean suspected, probing, failsProbes;
        double ejectedUntil;

        /** Requests it has served, each as its work in requests of mean work. */
        final DecayingRate servedWork = new DecayingRate();

        final Incarnation incarnation;

        NodeView(Node entry) {
            this.entry = entry;
            this.incarnation = incarnations.of(entry.id());
            this.hash = mix(hashText(entry.id()));
            this.serviceTimeMs = INITIAL_SERVICE_TIME_FRACTION * shortestObjectiveMs;
        }

        void update(double now, Node newEntry, boolean firstList) {
            if (incarnation.recordStatedStart(now, newEntry.startedAtMs(), firstList)) {
                consecutiveFailures = 0;
                onProbation = false;
                ejectedUntil = 0;
            }
            entry = newEntry;
            listed = newEntry.availability() == Availability.UP;
        }

        String model() {
            return String.valueOf(entry.model());
        }

        boolean isOrigin() {
            return hasOrigin && settings.originModel().equals(entry.model());
        }

        boolean isUsable(double now) {
            return now >= ejectedUntil && (!onProbation || inFlight == 0);
        }

        /**
         * Whether it may take one more of ours now. Prevents jams: a node that holds too many turns
         * slow and stays so. A queue most of the usual aim long is shared among the balancers by a
         * power of their number, as their bursts seldom meet. Less than one place means a pause
         * after each: a jammed node gets its rest also from many balancers that each send little.
         * Low worth leaves the last of several places free. Could harm where one balancer carries
         * nearly all traffic: it then refuses sooner than the node needs.
         */
        boolean hasCapacity(double now, boolean lowPriority) {
            double limit =
                    lowPriority
                            ? Math.max(concurrencyLimit() - 1, Math.min(concurrencyLimit(), 1))
                            : concurrencyLimit();
            return limit >= 1
                    ? inFlight < limit
                    : inFlight == 0 && now - lastAttemptEndMs >= serviceTimeMs * (1 / limit - 1);
        }

        private double concurrencyLimit() {
            double proxyCount = Math.max(1, settings.proxies());
            return MAX_QUEUE_FRACTION
                    / meanInverseObjective
                    / Math.max(1, serviceTimeMs)
                    / Math.pow(proxyCount, PROXY_COUNT_EXPONENT);
        }

        /**
         * Its capacity beside others of its model; a learned weight tells models apart, not nodes.
         */
        double relativeSize() {
            return settings.weights() == Weights.SIZE ? weight : 1;
        }

        /** What the settings allow it now, in units of a warm node's capacity. */
        double capacity(double now) {
            return relativeSize() * slowStartWeight(now) / weight;
        }

        boolean isWarmingUp(double now) {
            return incarnation.ageMs(now) < settings.rules().slowStartMs();
        }

        double slowStartWeight(double now) {
            double ageMs = incarnation.ageMs(now);
            double slowStartMs = settings.rules().slowStartMs();
            if (ageMs >= slowStartMs) {
                return weight;
            }
            double initialFraction = settings.rules().slowStartInitialFraction();
            return weight
                    * (initialFraction + (1 - initialFraction) * Math.max(0, ageMs) / slowStartMs);
        }

        /**
         * Whether a cold node may take this request. Its cut weight already bounds the chance that
         * a key is sent there; this bounds it for what a weight cannot: a key hotter than the
         * node's part of all keys, and a crowd of requests and repeats that the fleet does not
         * answer and that all see a free place at once. A chance and not a count, as counts round
         * up and the balancers are many; drawn from the request's id, so that waiting buys no
         * second draw. A key that none of our requests named may still be hot; fewer of those
         * known, less of it goes here. Could harm where keys look hot by luck.
         */
        boolean admitsDuringSlowStart(double now, PendingRequest pending) {
            return admitsDuringSlowStart(now, pending, true);
        }

        /**
         * Whether a cold node may take this request in another's place. A busy node's requests go
         * there by no weight, so they are bounded by our part of what all proxies may send it.
         * Could harm where only cold nodes are free: beyond their budget requests are refused.
         */
        boolean admitsOverflow(double now, PendingRequest pending) {
            return admitsDuringSlowStart(now, pending, false);
        }

        private boolean admitsDuringSlowStart(
                double now, PendingRequest pending, boolean byPlacement) {
            if (!isWarmingUp(now)) {
                return true;
            }
            double expectedShare = slowStartWeight(now) / totalWeight * pending.variants;
            return pending.draw
                            < slowStartAdmission * Math.min(1, expectedShare / pending.keyFrequency)
                    && withinSlowStartBudget(now, pending, byPlacement);
        }

        private boolean withinSlowStartBudget(
                double now, PendingRequest pending, boolean byPlacement) {
            // By the middle of the window that ends now, as it gains capacity meanwhile.
            double capacity = capacity(now - settings.rules().slowStartWindowMs() / 2);
            return slowStart.allows(
                    now,
                    entry.id(),
                    model(),
                    incarnation.startedAt(),
                    capacity,
                    workUnitsOf(pending),
                    byPlacement);
        }

        void recordOutcome(double now, AttemptEnd end, List<NodeView> cacheNodes) {
            inFlight = Math.max(0, inFlight - 1);
            lastAttemptEndMs = now;
            if (end.outcome() != Outcome.CANCELLED && end.outcome() != Outcome.NEVER_SENT) {
                breakRate +=
                        FAILURE_RATE_SMOOTHING
                                * ((end.outcome().isConnectionFailure() ? 1 : 0) - breakRate);
                errorRate +=
                        FAILURE_RATE_SMOOTHING
                                * ((end.outcome() == Outcome.ERROR ? 1 : 0) - errorRate);
            }
            switch (end.outcome()) {
                case OK, MISS -> {
                    fleetTimeoutRate -= FLEET_TIMEOUT_RATE_SMOOTHING * fleetTimeoutRate;
                    onProbation = false;
                    consecutiveFailures = 0;
                    recentErrorRate -= RECENT_ERROR_SMOOTHING * recentErrorRate;
                    timeoutRate -= TIMEOUT_RATE_SMOOTHING * timeoutRate;
                    responseTimes.add(end.elapsedMs());
                    ejections = recentErrorRate < RECENT_ERROR_SMOOTHING ? 0 : ejections;
                    recordServiceTime(end.elapsedMs());
                }
                case CONNECT_FAILED, RESET ->
                        countFailure(now, cacheNodes, EJECTION_FAILURES / ejectionBreakCount());
                case REJECTED -> countFailure(now, cacheNodes, 1);
                case TIMEOUT -> {
                    fleetTimeoutRate += FLEET_TIMEOUT_RATE_SMOOTHING * (1 - fleetTimeoutRate);
                    recordServiceTime(Math.max(end.elapsedMs(), serviceTimeMs * (inFlight + 1)));
                    timeoutRate += TIMEOUT_RATE_SMOOTHING * (1 - timeoutRate);
                    // A node that drops one request in four often drops two in a row and is of use.
                    countFailure(now, cacheNodes, timeoutRate > DEAD_TIMEOUT_RATE ? 1 : 0);
                }
                case ERROR -> {
                    recentErrorRate += RECENT_ERROR_SMOOTHING * (1 - recentErrorRate);
                    if (recentErrorRate > EJECTION_ERROR_RATE && now >= ejectedUntil) {
                        eject(now, cacheNodes, ejections++);
                    }
                }
                default -> {}
            }
        }

        /**
         * Whether it answers quickly or not at all: then silence means that the request is lost,
         * and it is repeated within its aim. Guards against machines and links that drop some of
         * what they are sent while the list calls them fine. A node that is slow answers late
         * before it falls silent, and keeps its time; so does one that answers nothing, as it needs
         * rest and no repeats. Could harm where a few requests take far longer than all others.
         */
        boolean losesRequests(double latencyObjectiveMs) {
            return (timeoutRate > LOSSY_NODE_TIMEOUT_RATE
                            || fleetTimeoutRate > LOSSY_NETWORK_TIMEOUT_RATE
                            || suspected)
                    && timeoutRate < DEAD_TIMEOUT_RATE
                    && responseTimes.upperBound(LATE_DEVIATIONS)
                            < LOSS_TIMEOUT_FRACTION * latencyObjectiveMs;
        }

        /**
         * Learns from an attempt's time; faster while paced, as few attempts are left to learn
         * from.
         */
        private void recordServiceTime(double elapsedMs) {
            double sampleMs = elapsedMs >= 0 ? elapsedMs / (inFlight + 1) : serviceTimeMs;
            serviceTimeMs +=
                    (concurrencyLimit() < 1 ? PACED_SMOOTHING : SMOOTHING)
                            * (sampleMs - serviceTimeMs);
        }

        /**
         * Spares a node after failures in a row, whatever their kind: silent, cut off, full or
         * stalled, while the list still calls it fine. Never more than a part of the nodes, or
         * those left would be overrun. Could harm where time-outs come from the requests and not
         * the node.
         */
        private void countFailure(double now, List<NodeView> cacheNodes, double amount) {
            consecutiveFailures += amount;
            if (consecutiveFailures >= EJECTION_FAILURES) {
                eject(now, cacheNodes, (int) consecutiveFailures - EJECTION_FAILURES);
            }
        }

        /**
         * Broken connections in a row that tell of this node and not of luck. Where a twelfth of
         * all breaks, a fleet sees two in a row every second, and sparing for them moves keys to
         * where they miss. Could harm where a node dies while the network breaks: a few more
         * attempts then break at once.
         */
        private double ejectionBreakCount() {
            return medianBreakRate <= 0
                    ? EJECTION_FAILURES
                    : Math.max(
                            EJECTION_FAILURES,
                            Math.ceil(
                                    Math.log(OUTLIER_SIGNIFICANCE)
                                            / Math.log(Math.min(0.5, medianBreakRate))));
        }

        /** An own probe was answered: nothing in a row is left that would spare it. */
        void clearFailures() {
            consecutiveFailures = 0;
            onProbation = false;
            ejectedUntil = 0;
            timeoutRate = Math.min(timeoutRate, DEAD_TIMEOUT_RATE);
        }

        /**
         * Its outage is over. It was started anew meanwhile: cold from now if no list has told of
         * it.
         */
        void endMaintenance(double now, double maintenanceSince) {
            clearFailures();
            incarnation.markReplacedSince(now, maintenanceSince);
            restoredAt.put(this, now);
        }

        private void eject(double now, List<NodeView> cacheNodes, int doublings) {
            if (isOrigin()) {
                return;
            }
            long ejected = cacheNodes.stream().filter(node -> now < node.ejectedUntil).count();
            if (MIN_NODES_PER_EJECTION * (ejected + 1) <= cacheNodes.size()) {
                ejectedUntil =
                        now + Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * Math.pow(2, doublings));
                onProbation = true;
            }
        }
    }
}
