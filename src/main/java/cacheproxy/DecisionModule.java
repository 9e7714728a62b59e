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
 * Decision logic of the proxy. Its events, actions and types are declared in Router.java, in the
 * same directory.
 *
 * <p>A read goes to the less loaded of the two cache nodes that rank highest for its key by
 * rendezvous hashing; after a miss it takes a token and is fetched from the origin. A write takes a
 * token on arrival. One hysteresis controller, updated once per control interval from the outcomes
 * of this proxy's own fetches, sets the refill rate of the token bucket. An empty bucket rejects at
 * once, and its last token is reserved for requests of higher priority. The rest of this class
 * covers node health, timing and repetition rules.
 */
public final class DecisionModule implements Router {

    private static final double MS_PER_S = 1000;

    /**
     * Length of a control interval: long enough for a sufficient sample of fetches, short compared
     * with an overload of several seconds.
     */
    static final double CONTROL_INTERVAL_MS = 1000;

    /** Retry-After advice for a rejected request while no token bucket limits the rate. */
    static final double DEFAULT_RETRY_AFTER_MS = 100;

    /** A request is fetched only if its remaining time is at least this many mean fetch times. */
    static final double MIN_REMAINING_FETCH_TIMES = 2;

    /** Fraction of the requests with less remaining time that are fetched anyway. */
    static final double SHORT_BUDGET_FETCH_FRACTION = 0.05;

    /**
     * Factor by which the mean fetch time decays per control interval before new fetches update it.
     */
    static final double FETCH_TIME_DECAY = 0.7;

    /** Capacity of the token bucket in tokens: small, so that a pause does not allow a burst. */
    static final double TOKEN_BUCKET_CAPACITY = 4;

    /** Weight of a new value in running means. */
    static final double SMOOTHING = 0.1;

    /** The same at nodes with a concurrency limit below 1, which get few attempts to learn from. */
    static final double PACED_SMOOTHING = 0.3;

    /**
     * Consecutive failures that eject a node. The ejection time doubles from {@link
     * #BASE_EJECTION_MS} to {@link #MAX_EJECTION_MS}.
     */
    static final int EJECTION_FAILURES = 2;

    /**
     * Running error rate above which a node is ejected although it answers: a node that fails half
     * of its answers rarely has consecutive failures. Without this, each of these errors costs a
     * retry. Can eject a healthy node if the requests cause the errors.
     */
    static final double EJECTION_ERROR_RATE = 0.35;

    /**
     * Weight of an outcome in the error rate that is compared with {@link #EJECTION_ERROR_RATE}.
     */
    static final double RECENT_ERROR_SMOOTHING = 0.1;

    /**
     * Weight of an attempt in a node's rates of broken connections and of errors: they cover about
     * the last two seconds.
     */
    static final double FAILURE_RATE_SMOOTHING = 0.02;

    /**
     * Rate of broken connections, or of errors, at the median cache node above which the network is
     * considered faulty.
     */
    static final double NETWORK_FAULT_RATE = 0.01;

    /**
     * A streak of broken connections ejects its node only if the streak's probability at the
     * fleet's median break rate is below this.
     */
    static final double OUTLIER_SIGNIFICANCE = 1e-5;

    /**
     * Fraction of the latency objective (harmonic mean over requests) that queueing at one node may
     * use.
     */
    static final double MAX_QUEUE_FRACTION = 0.6;

    /**
     * The queue of a node is divided among the proxies by this power of their number. The exponent
     * is above 0.5 because queues that have built up must drain.
     */
    static final double PROXY_COUNT_EXPONENT = 0.58;

    /** How long the key of a rejected fetch is assumed to be missing from the cache. */
    static final double KNOWN_MISS_TTL_MS = 3000;

    /** Number of such keys that are remembered. */
    static final int MAX_KNOWN_MISSES = 1024;

    /** Largest ratio of a node's listed size to the median size, and of the median to a size. */
    static final double MAX_SIZE_RATIO = 4;

    /** Largest learned weight of a node model; its inverse is the smallest. */
    static final double MAX_MODEL_WEIGHT = 2;

    /**
     * Initial estimate of a node's service time, as a fraction of the shortest latency objective.
     */
    static final double INITIAL_SERVICE_TIME_FRACTION = 0.2;

    /**
     * At most one in this many nodes may be ejected at a time. With half of the nodes ejected the
     * others got twice their load, became slow and stayed slow, although some of the ejected nodes
     * still answered most requests. If more nodes than that are dead, requests are still sent to
     * some of them.
     */
    static final int MIN_NODES_PER_EJECTION = 3;

    static final double BASE_EJECTION_MS = 500;
    static final double MAX_EJECTION_MS = 4000;

    /**
     * Delay until a node that peers suspect, or that fails our probes, is probed again. Shorter
     * than the ejection that a failed probe causes.
     */
    static final double REPROBE_DELAY_MS = 400;

    /**
     * Fraction of the remaining time that a look-up may use while a further attempt is still
     * possible.
     */
    static final double NON_FINAL_TIMEOUT_FRACTION = 0.6;

    /**
     * Fraction of the latency objective after which an attempt is considered lost, at a node that
     * either answers sooner than this or not at all.
     */
    static final double LOSS_TIMEOUT_FRACTION = 0.4;

    /**
     * Mean deviations above the mean response time up to which a response is not late, as in TCP.
     */
    static final double LATE_DEVIATIONS = 4;

    /** Weight of an attempt in a node's timeout rate. */
    static final double TIMEOUT_RATE_SMOOTHING = 0.2;

    /** Timeout rate above which a node counts as dead. */
    static final double DEAD_TIMEOUT_RATE = 0.5;

    /** Timeout rate above which a node is considered to lose requests. */
    static final double LOSSY_NODE_TIMEOUT_RATE = 0.05;

    /**
     * Weight of an attempt in the timeout rate over all nodes. The weight is small because a loss
     * of one attempt in a hundred at every node is too rare to raise the rate of a single node for
     * long.
     */
    static final double FLEET_TIMEOUT_RATE_SMOOTHING = 0.002;

    /** Timeout rate over all nodes above which the network is considered lossy. */
    static final double LOSSY_NETWORK_TIMEOUT_RATE = 0.004;

    /**
     * A request whose hinted work is more than this multiple of the mean is heavy: a missing answer
     * may then be due to its own work.
     */
    static final double HEAVY_WORK_MULTIPLE = 4;

    /** Number of open connections per node that {@code connectionCost} is stated for. */
    static final double CONNECTIONS_PER_COST = 100;

    /**
     * Number of recent keys that are remembered to detect hot keys, if proxies do not exchange
     * keys.
     */
    static final int LOCAL_RECENT_KEYS = 64;

    /** The same if proxies exchange keys. */
    static final int SHARED_RECENT_KEYS = 256;

    /**
     * Recent keys that are remembered per cache node, if that is more. In a large fleet a key with
     * a smaller share of the requests is hot: among a thousand nodes, a key with a hundredth of all
     * requests needs ten. But the more nodes there are, the more pairs of nodes would be given to a
     * key that recurs by chance; a longer memory tells chance from a hot key.
     */
    static final int RECENT_KEYS_PER_NODE = 4;

    /**
     * A hot key may be spread over at least one in this many cache nodes, however few proxies there
     * are.
     */
    static final double MIN_HOT_KEY_SPREAD_DIVISOR = 4;

    /**
     * Mean number of peers that receive the key of a request. The keys are a sample of all
     * requests, which bounds the cost of the messages.
     */
    static final double MEAN_KEY_RECIPIENTS = 24;

    /** Keys per message to the peers, as each message has a fixed cost. */
    static final int KEYS_PER_MESSAGE = 4;

    /**
     * Ratio of look-ups sent to look-ups answered above which requests are rejected. Prevents the
     * collapse in which time-outs cause retries that cause more time-outs. Failed connections and
     * attempts cancelled early are not counted as sent. If a few nodes stay silent for long, a few
     * requests to all nodes are rejected.
     */
    static final double MAX_SENDS_PER_ANSWER = 1.1;

    /** Exponent that determines how steeply the admitted share falls beyond that ratio. */
    static final double SHEDDING_EXPONENT = 3;

    /**
     * Smallest admitted share of requests, however few are answered. Without it, a proxy whose
     * first attempts all miss their deadline rejects for ten seconds, because it sends too few
     * further requests to outweigh these.
     */
    static final double MIN_ADMITTED_SHARE = 0.3;

    /**
     * Answers per second that are assumed in addition, so that a fleet that answers nothing is
     * tried again.
     */
    static final double ASSUMED_ANSWERS_PER_S = 0.05;

    /**
     * Factor on the share of requests that a node in slow start gets; a margin for what the stated
     * slow-start time and this proxy's own view do not cover.
     */
    static final double SLOW_START_MARGIN = 0.7;

    /**
     * Assumed number of occurrences of a key that is not among the recent keys, at nodes in slow
     * start: the key may be hot at other proxies.
     */
    static final double UNSEEN_KEY_COUNT = 0.25;

    /** Pairs of nodes for a hot key, per average node's load of our requests that ask for it. */
    static final double HOT_KEY_PAIRS_PER_NODE_LOAD = 2;

    /**
     * How long a node back from maintenance waits for a request by ordinary placement. After that
     * it gets the next read, which misses.
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

    /** The cache nodes that may be used, ordered by ID. */
    private List<NodeView> caches = new ArrayList<>();

    /**
     * Nodes that the endpoint list does not state as up. Those with attempts in flight stay in
     * {@link #nodes}.
     */
    private final Set<NodeView> unlisted = new LinkedHashSet<>();

    /**
     * Hashes of the IDs of {@link #caches}, in the same order, in one array because every pick
     * reads all of them.
     */
    private long[] cacheHashes = {};

    /** Upper bounds of the weights of {@link #caches}, in the same order. */
    private double[] maxWeights = {};

    /** Whether {@link #caches} has changed since the two arrays were computed. */
    private boolean cachesChanged;

    private NodeView origin;
    private final MaintenanceRegistry maintenance = new MaintenanceRegistry();

    /** Nodes back from maintenance that have had no attempt since, and the time of their return. */
    private final Map<NodeView, Double> restoredAt = new HashMap<>();

    /** Reads that wait for capacity at their key's nodes. */
    private List<PendingRequest> waitingForCapacity = new ArrayList<>();

    private double intervalEndMs;
    private double meanPriorityWeight;
    private double meanWork;

    /**
     * Running mean of 1 / latency objective over requests. The mean objective is thus harmonic, as
     * requests with short objectives are the first to miss them.
     */
    private double meanInverseObjective;

    private final RecentKeys recentKeys;
    private final boolean exchangesKeys;

    /**
     * Whether idle connections are closed at once: true if one open connection from each proxy
     * costs a node more than opening one per request. The gaps between uses are memoryless, so then
     * keeping an idle connection never saves cost. Prevents full connection tables, which reject
     * connections, and the work that they cause. Wrong if opening a connection costs far more than
     * its stated price.
     */
    private final boolean closesIdleConnections;

    /** Keys of our own requests that were not sent to the peers yet. */
    private final ByteBuffer outgoingKeys;

    private final DecayingRate cacheSendRate = new DecayingRate();
    private final DecayingRate cacheAnswerRate = new DecayingRate();
    private final DecayingRate requestRate = new DecayingRate();
    private double answeredShare = 1,
            admittedShare = 1,
            totalWeight = 1,
            slowStartAdmission = SLOW_START_MARGIN;

    /**
     * Rate of broken connections at the median cache node. Breaks that occur everywhere are due to
     * the network (short idle timeouts, a lossy middlebox, resets) and say nothing about one node
     * or the load of the origin, so neither is judged by them; a node or an origin with more breaks
     * than that is. Wrong if one cause overloads all nodes at once and they close connections
     * instead of answering late.
     */
    private double medianBreakRate;

    /** Rate of errors and malformed answers at the median cache node; used in the same way. */
    private double medianErrorRate;

    /** Timeout rate over all nodes, and the mean fetch time. */
    private double fleetTimeoutRate, meanFetchMs;

    private final SlowStartBudget slowStart;
    private final GroupedRatio modelServiceTimesMs = new GroupedRatio();
    private boolean subscribed, capacityReduced;
    private int discoveryFailures;

    /** Creates the logic of one proxy; {@code seed} determines its random decisions. */
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
        // A class that the settings do not name gets the lowest priority and is never repeated.
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
            // The first retry comes soon, because changes missed by a silent watch count as
            // notified after 6 s.
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
            // A retry may arrive with no time left at all; a timer would answer it too late.
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
                // An error is an answer too: a node that returns some errors is not evidence of an
                // overloaded fleet.
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
     * Peers have begun or ceased to suspect a node. Their report alone moves no request: it only
     * triggers an immediate probe and shortens the timeout of attempts there. The result of the
     * probe is then acted upon.
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
     * Cancels late attempts at a node that answers neither peers nor our probes, so that another
     * node is tried in time.
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

    /** Probes a node that peers suspect or that fails our probes, unless a probe is in flight. */
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
                        : String.format(Locale.ROOT, ", %.0f%% admitted", 100 * admittedShare));
    }

    @Override
    public int controlLevel() {
        return controller.level;
    }

    @Override
    public int entryCount() {
        return requests.size() + fetchWaiters.size() + waitingForCapacity.size();
    }

    /**
     * Sends a read to the less loaded of its two top nodes, or queues it behind a fetch of its key
     * by this proxy.
     */
    private void lookUp(double now, PendingRequest pending, Actions out) {
        if (joinPendingFetch(pending)) {
            return;
        }
        NodeView node = chooseNode(now, pending);
        if (node != null) {
            double remainingMs = pending.answerBy - now;
            // A heavy request that is retried would redo its work from the start and miss its
            // deadline.
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
     * Timeout of an attempt: short for the first one where no answer would mean that it is lost.
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
     * Retries the reads that found no capacity at their two nodes and wait here for a small part of
     * their latency objective: higher priority first, then newest. Prevents rejections while nodes
     * idle between bursts. In a lasting overload each read pays the wait.
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
            // The node is healthy and may have the key; another node would miss, which costs a
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
     * Fetches from the origin if a token is available. Joins a fetch of the same key by this proxy
     * if one is in flight.
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
     * Whether a fetch would most likely end after its client has timed out. Retries arrive with
     * little time left; in an overload their fetches fill the origin's queue and nobody reads the
     * answers. A small fraction is fetched anyway, and the mean fetch time decays, because only
     * answers show that the overload has passed. Wrong if the origin's response times vary widely.
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
     * Whether a read is almost certain to need a fetch: fetches are throttled and one of its key
     * was rejected recently. Such a read takes its token on arrival, so that clients' retries cause
     * no further misses. Wrong if another proxy has filled the cache meanwhile.
     */
    private boolean isKnownMiss(double now, PendingRequest pending) {
        boolean neverMissing =
                pending.request.write() || pending.request.key() < 0 || controller.level == 0;
        Double rejectedAt = neverMissing ? null : knownMisses.get(pending.request.key());
        return rejectedAt != null && now - rejectedAt < KNOWN_MISS_TTL_MS;
    }

    /**
     * Whether a node refused a connection at once. Its connection table is full, perhaps of idle
     * connections, which says nothing about its load. An unreachable node fails only after the
     * connect timeout. If an origin refuses connections as the first sign of overload, only late
     * fetches cause throttling.
     */
    private boolean isConnectionRefused(AttemptEnd end) {
        return end.outcome() == Outcome.CONNECT_FAILED
                && end.elapsedMs() < settings.limits().connectTimeoutMs();
    }

    private void afterFetch(double now, PendingRequest pending, AttemptEnd end, Actions out) {
        Outcome outcome = end.outcome();
        boolean retryable = outcome != Outcome.OK && outcome != Outcome.REJECTED;
        // Fetches that the network broke are retried while throttled too: the token that a retry
        // takes bounds the load.
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

    /**
     * Queues a read behind a fetch of its key by this proxy; returns false if there is none to join
     * or it has joined one before.
     */
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
     * Resumes the reads that waited for a fetch. After a successful fetch they go to the node that
     * it filled; otherwise they proceed as if they had just arrived. If the origin was unreachable
     * and the request that fetched has given up, they are rejected too: one after another would run
     * into the same failure, and the last would wait for all of them. Wrong if the origin becomes
     * reachable at that moment.
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
     * Chooses a node for a read. While nodes are absent or in slow start, their keys crowd the
     * others. A read without capacity at its two nodes may then go to any node with half of its
     * concurrency limit free, unless fetches are throttled. Can add load if all nodes are
     * overloaded.
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
            // Since ln(u) <= u - 1, a node that could not win even with its largest weight needs no
            // logarithm.
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
     * Records the key of a request and spreads a hot key. A key that occurs among the recent keys
     * is hot: it is treated as several keys, each with its own pair of nodes, so many that each
     * node's part of its requests stays below a fraction of the node's usual load. Prevents queues
     * where one key needs more than two nodes and no single proxy has enough requests in flight to
     * notice. A key that recurs by chance costs one miss per pair.
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

    /**
     * The request's work in units of mean work, by its hint; a request that has ended counts as
     * one.
     */
    private double workUnitsOf(PendingRequest pending) {
        return pending == null || meanWork <= 0
                ? 1
                : SlowStartBudget.workUnits(pending.request.workMs() / meanWork);
    }

    /**
     * Gives the final answer: a rejection if the request can safely be sent again, otherwise a
     * failure.
     */
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

    /** Cancels the attempt in flight of a request that has ended, and lets others fetch its key. */
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

    /**
     * Ends a control interval: updates the hysteresis level, the token rate and the admitted
     * shares.
     */
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
        // Recent attempts carry no information yet; counting them, a proxy with few requests would
        // reject.
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
     * Counts a fetch as bad as soon as it has missed its latency objective. Waiting for its end
     * would reveal an overloaded origin only once its queue is as long as the clients' timeouts.
     * Also detects an origin that has stopped answering.
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
     * Gives fewer keys to nodes of a model that answers more slowly, if the endpoint list states no
     * sizes. Weights are learned per model and slowly, so that all proxies reach nearly the same
     * weights and keys keep their nodes. Prevents overload of slow models while fast ones idle.
     * Wrong if a model is slow only for a short time.
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

    /**
     * The class's gain, multiplied by the work if the settings say so, and reduced for requests
     * beyond the tenant's quota.
     */
    private double priorityWeight(double now, Request request, ServiceClass service) {
        double weight = service.gain();
        weight *= settings.weightByWork() && request.workMs() > 0 ? request.workMs() : 1;
        return quotas.recordRequest(now, request.tenant())
                ? weight
                : weight * settings.overQuotaWeightFactor();
    }

    /**
     * Rebuilds from all nodes what {@link #updateCacheList} maintains incrementally; the cost grows
     * with the fleet.
     */
    private void rebuildCacheList() {
        // IDs of nodes that left are not reused, and over a long run their number is unbounded.
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
     * Adds one node whose entry has changed to the cache nodes, or removes it. A rollout changes
     * thousands of nodes one by one within seconds, so this must not iterate over all of them.
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
     * Recomputes the arrays derived from {@link #caches}: when they are read, once for all changes
     * since the last time.
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
     * Takes the listed sizes, limited to a range around their median, so that an absurd size
     * excludes no node.
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

    /** What this proxy knows about a node. */
    final class NodeView {
        final long hash;
        Node entry;
        boolean listed;
        double weight = 1;
        int inFlight;
        double consecutiveFailures;

        /**
         * Estimated service time of one request, and running rates of errors (fast and slow),
         * broken connections and timeouts.
         */
        double serviceTimeMs, recentErrorRate, breakRate, errorRate, timeoutRate;

        /** Response times of its answered attempts. */
        final MeanDeviationEstimator responseTimes = new MeanDeviationEstimator(SMOOTHING);

        int ejections;
        double lastAttemptEndMs = Double.NEGATIVE_INFINITY;
        boolean onProbation;
        boolean suspected, probing, failsProbes;
        double ejectedUntil;

        /** Work that it has served, in units of a request of mean work. */
        final DecayingRate servedWork = new DecayingRate();

        final Incarnation incarnation;

        NodeView(Node entry) {
            this.entry = entry;
            this.incarnation = incarnations.of(entry.id());
            this.hash = mix(hashText(entry.id()));
            this.serviceTimeMs = INITIAL_SERVICE_TIME_FRACTION * shortestObjectiveMs;
        }

        /** Applies an entry of the endpoint list; a new incarnation starts without failures. */
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

        /** Whether it is not ejected; on probation it takes one attempt at a time. */
        boolean isUsable(double now) {
            return now >= ejectedUntil && (!onProbation || inFlight == 0);
        }

        /**
         * Whether it has capacity for one more request from this proxy. Prevents overload: a node
         * with too many requests becomes slow and stays slow. A queue as long as most of the
         * latency objective is shared among the proxies by a power of their number, because their
         * bursts rarely coincide. A limit below 1 means a pause after each request, so that an
         * overloaded node recovers even if many proxies each send little. Requests of low priority
         * leave the last of several places free. If one proxy carries nearly all traffic, it
         * rejects earlier than the node requires.
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

        /**
         * How many requests this proxy may have in flight there; below 1, the fraction of time with
         * one in flight.
         */
        private double concurrencyLimit() {
            double proxyCount = Math.max(1, settings.proxies());
            return MAX_QUEUE_FRACTION
                    / meanInverseObjective
                    / Math.max(1, serviceTimeMs)
                    / Math.pow(proxyCount, PROXY_COUNT_EXPONENT);
        }

        /**
         * Its capacity relative to others of its model. A learned weight distinguishes models, not
         * nodes.
         */
        double relativeSize() {
            return settings.weights() == Weights.SIZE ? weight : 1;
        }

        /** Its currently permitted capacity, in units of a warm node of relative size 1. */
        double capacity(double now) {
            return relativeSize() * slowStartWeight(now) / weight;
        }

        boolean isWarmingUp(double now) {
            return incarnation.ageMs(now) < settings.rules().slowStartMs();
        }

        /** Its weight in the rendezvous hash, which grows linearly during slow start. */
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
         * Whether the node, if it is in slow start, may take this request. Its reduced weight
         * already bounds the probability that a key is placed there. This bounds two cases that a
         * weight cannot: a key whose share of requests exceeds the node's share of keys, and many
         * requests and retries that the fleet does not answer and that all see a free place at
         * once. It is a probability because counts are rounded up and there are many proxies; it is
         * drawn from the request's ID, so that waiting gives no second draw. A key that none of our
         * recent requests named may still be hot: the fewer keys are known, the fewer of these
         * requests are admitted. Can reject requests for keys that look hot by chance.
         */
        boolean admitsDuringSlowStart(double now, PendingRequest pending) {
            return admitsDuringSlowStart(now, pending, true);
        }

        /**
         * Whether the node, if it is in slow start, may take this request in place of another node.
         * Requests of a busy node are not placed by weight, so they are bounded by this proxy's
         * share of what all proxies may send. If only nodes in slow start have capacity, requests
         * beyond their budget are rejected.
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
            // The capacity at the middle of the window that ends now, as it grows during the
            // window.
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

        /** Updates the node's health by the outcome of an attempt. */
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
                    // A node that drops one request in four often drops two in a row and is still
                    // useful.
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
         * Whether it answers quickly or not at all: a missing answer then means that the request is
         * lost, and it is retried within its latency objective. Handles machines and links that
         * drop some requests while the endpoint list states them as healthy. A node that is merely
         * slow answers late before it stops answering, and keeps the full timeout; so does a node
         * that answers nothing, because it needs less load and no retries. Wrong if a few requests
         * take far longer than all others.
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
         * Updates the service time from the duration of an attempt, faster below a concurrency
         * limit of 1, as few attempts are left to learn from.
         */
        private void recordServiceTime(double elapsedMs) {
            double sampleMs = elapsedMs >= 0 ? elapsedMs / (inFlight + 1) : serviceTimeMs;
            serviceTimeMs +=
                    (concurrencyLimit() < 1 ? PACED_SMOOTHING : SMOOTHING)
                            * (sampleMs - serviceTimeMs);
        }

        /**
         * Counts a failure and ejects the node after consecutive failures of any kind: no answer,
         * connection closed, connection table full, or stalled, while the endpoint list still
         * states it as healthy. Only a part of all nodes is ejected at a time, or the rest would be
         * overloaded. Wrong if time-outs are caused by the requests and not by the node.
         */
        private void countFailure(double now, List<NodeView> cacheNodes, double amount) {
            consecutiveFailures += amount;
            if (consecutiveFailures >= EJECTION_FAILURES) {
                eject(now, cacheNodes, (int) consecutiveFailures - EJECTION_FAILURES);
            }
        }

        /**
         * Consecutive broken connections that are unlikely to be chance and therefore eject this
         * node. If one connection in twelve breaks, a fleet sees two breaks in a row every second,
         * and an ejection for them moves keys to nodes that miss. If a node dies while the network
         * is faulty, a few more attempts fail at once.
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

        /** Clears the failure state after one of our own probes was answered. */
        void clearFailures() {
            consecutiveFailures = 0;
            onProbation = false;
            ejectedUntil = 0;
            timeoutRate = Math.min(timeoutRate, DEAD_TIMEOUT_RATE);
        }

        /**
         * Ends its maintenance. The node was restarted meanwhile: unless a list has stated a new
         * start, its slow start begins now.
         */
        void endMaintenance(double now, double maintenanceSince) {
            clearFailures();
            incarnation.markReplacedSince(now, maintenanceSince);
            restoredAt.put(this, now);
        }

        /**
         * Ejects the node for a time that doubles with {@code doublings}, unless too many are
         * ejected. The origin is never ejected.
         */
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
