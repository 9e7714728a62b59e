package cacheproxy;

import static cacheproxy.measure.Hash.hashText;
import static cacheproxy.measure.Hash.mix;
import static cacheproxy.measure.Hash.unit;
import static cacheproxy.measure.Samples.median;
import static cacheproxy.measure.Samples.withinSpan;

import cacheproxy.maintenance.Outages;
import cacheproxy.measure.GroupedRatio;
import cacheproxy.measure.Incarnation;
import cacheproxy.measure.Incarnations;
import cacheproxy.measure.Meter;
import cacheproxy.measure.Quotas;
import cacheproxy.measure.RecentKeys;
import cacheproxy.measure.Spread;
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
public final class Decide implements Router {

    private static final double MS_PER_S = 1000;

    /**
     * Length of a control interval: long enough for a sample, short against an overload of seconds.
     */
    static final double INTERVAL_MS = 1000;

    /** When a refused client may come again where no bank sets a pace. */
    static final double UNPACED_MS = 100;

    /**
     * Usual times of a fetch that a request must have left for one, and the part that goes with
     * less.
     */
    static final double TIME_TO_FETCH = 2;

    static final double TRIED_ANYWAY = 0.05;

    /** What an interval leaves of the usual time of a fetch, before its own answers count. */
    static final double FETCH_FADE = 0.7;

    /** Tokens the bank holds: a few, so that a pause buys no burst. */
    static final double BANK = 4;

    /** Weight of a new value in running means; faster at nodes that are paced. */
    static final double SMOOTH = 0.1;

    static final double PACED_SMOOTH = 0.3;

    /** Failures in a row before a node is spared, and how long, doubling up to the last. */
    static final int STRIKES = 2;

    /**
     * Running share of errors above which a node is spared though it answers, and the weight of an
     * outcome: one that spoils half of its answers has no failures in a row. Prevents a repeat for
     * each of them; could harm where errors come from the requests and not the node.
     */
    static final double SPOILING = 0.35;

    static final double SPOILT_SMOOTH = 0.1;

    /**
     * Weight of an attempt in a node's running share of broken connections: about two seconds'
     * worth.
     */
    static final double BROKEN_SMOOTH = 0.02;

    /**
     * Share of connections that break at the median cache node from which on the network is at
     * fault.
     */
    static final double BREAKING = 0.01;

    /**
     * How unlikely a run of broken connections must be by the fleet's usual share to tell of its
     * node.
     */
    static final double LUCK = 1e-5;

    /** Part of the usual aim that a node's queue may take. */
    static final double CROWD = 0.6;

    /**
     * Power of their number by which balancers share a node's queue; over a half, as jams must end.
     */
    static final double OTHERS = 0.58;

    /** How long a refused key is taken to be still missing, and how many such keys are kept. */
    static final double MISSING_MS = 3000;

    static final int MISSING_KEYS = 1024;

    /** How far from the middle a listed size may go, and a model's learned weight. */
    static final double SIZE_SPAN = 4;

    static final double MODEL_SPAN = 2;

    /**
     * A new node is taken to need this part of the shortest aim for a request until it has answered
     * some.
     */
    static final double FIRST_GUESS = 0.2;

    /**
     * One of so many nodes may be spared at once. With half of them spared the others took twice
     * their load, turned slow and stayed so, while some of the spared still answered most of what
     * they got. Could harm where more nodes than that are dead: requests go on trying them.
     */
    static final int SPARED_PART = 3;

    static final double SPARE_MS = 500;
    static final double SPARE_MOST_MS = 4000;

    /**
     * How soon a node that peers doubt is probed again; a failed probe spares it for longer than
     * that.
     */
    static final double PROBE_AGAIN_MS = 400;

    /**
     * Of a cache attempt's remaining time, the part it may use while another attempt is still
     * possible.
     */
    static final double FIRST_TRY = 0.6;

    /**
     * Part of the aim after which a request is taken for lost, where answers come sooner but for
     * losses.
     */
    static final double SOONEST = 0.4;

    /** Mean deviations by which an answer may be late and still be usual, as in TCP. */
    static final double DEVIATIONS = 4;

    /**
     * Weight of an attempt in a node's running share of silence; shares that count as losses and as
     * dead.
     */
    static final double SILENT_SMOOTH = 0.2;

    static final double SILENT = 0.5;
    static final double LOSING = 0.05;

    /**
     * Weight of an attempt in the running share of silence over all nodes, and the share that
     * counts as the network's losses. One attempt in a hundred lost at every node never shows at
     * one of them for long.
     */
    static final double LOST_SMOOTH = 0.002;

    static final double LOSSY = 0.004;

    /**
     * Times the mean hinted work from which on a request is heavy: silence then tells of its work.
     */
    static final double HEAVY = 4;

    /** Open connections a node that cost the held price. */
    static final double PRICED_TABLE = 100;

    /**
     * Keys of the latest requests, ours or told by peers, that are remembered, to tell a hot key.
     */
    static final int LATELY = 64;

    static final int LATELY_TOLD = 256;

    /**
     * In a large fleet so many keys a node are remembered, as there a smaller share is hot: in a
     * thousand nodes a key with a hundredth of all requests needs ten. The more nodes, the more
     * pairs a key that came again by luck would be given; a longer memory is what tells luck.
     */
    static final int LATELY_A_NODE = 4;

    /** One in so many caches is what a hot key may be spread over, however few the balancers. */
    static final double OWN_LOAD = 4;

    /**
     * How many peers hear of a request's key on average: a sample of all requests, at a bounded
     * price.
     */
    static final double HEARD_BY = 24;

    /** Keys told at once, as each message has a price of its own. */
    static final int KEYS_TOLD = 4;

    /**
     * Sends to cache nodes, as a multiple of those answered, beyond which requests are turned away,
     * and how steeply. Prevents collapse, where time-outs bring repeats that bring time-outs;
     * failed connections and attempts left young don't count. Could harm where a few nodes are long
     * silent: all pay a little.
     */
    static final double PUSH = 1.1;

    static final double PUSH_POWER = 3;

    /**
     * Part of the requests that goes on however little is answered. Without it a start whose first
     * attempts all come too late refuses for ten seconds: too little goes out to outweigh the first
     * silence.
     */
    static final double GO_ON_LEAST = 0.3;

    /**
     * Answers a second that are taken for granted, so that a fleet that answers none is tried
     * again.
     */
    static final double TRIAL_PER_S = 0.05;

    /**
     * Part of its due that a cold node gets, for what the stated warm-up and our view leave out.
     */
    static final double COLD_CARE = 0.7;

    /**
     * Times a key that we did not see is taken to have come, as it may be hot for others, at a cold
     * node.
     */
    static final double UNSEEN = 0.25;

    /** Pairs a hot key is given, for each node's worth of our requests that ask for it. */
    static final double HOT_SPREAD = 2;

    /**
     * How long a node back from an outage waits for a key of its own; then it gets the next read,
     * and a miss.
     */
    static final double BACK_IN_USE_MS = 2000;

    private static final Comparator<NodeView> BY_ID = Comparator.comparing(n -> n.entry.id());

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Quotas quotas = new Quotas();
    private final Map<String, NodeView> nodes = new LinkedHashMap<>();
    private final Incarnations incarnations = new Incarnations();
    private final Map<Long, List<PendingRequest>> fetching = new HashMap<>();
    private final Map<String, PendingRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Double> missing = new LinkedHashMap<>();
    private final HysteresisController control = new HysteresisController();
    private final TokenBucket bank = new TokenBucket(BANK);
    private final double guardMs;
    private final double shortestAim;
    private final ServiceClass unknown;
    private final boolean hasOrigin;

    /** The cache nodes that may be sent to, in the order of their ids. */
    private List<NodeView> caches = new ArrayList<>();

    /**
     * Nodes that the list no longer names as up; those with attempts out stay in {@link #nodes}.
     */
    private final Set<NodeView> unlisted = new LinkedHashSet<>();

    /** Of {@link #caches}, in their order, side by side: a pick reads all of them. */
    private long[] hashes = {};

    private double[] mostShares = {};

    /** Whether the caches have changed since the two were made of them. */
    private boolean cachesChanged;

    private NodeView origin;
    private final Outages outages = new Outages();

    /** Nodes whose outage has ended and that nothing was sent to since. */
    private final Map<NodeView, Double> returned = new HashMap<>();

    private List<PendingRequest> room = new ArrayList<>();
    private double intervalEnd;
    private double meanWorth;
    private double meanWork;

    /**
     * Running mean of 1 / aim over requests: the usual aim is harmonic, as short aims suffer first.
     */
    private double urgency;

    private final RecentKeys lately;
    private final boolean peers;

    /**
     * Whether a connection from each balancer would cost a node more than opening one for each
     * request: gaps between uses have no memory, so then none is worth holding. Prevents full
     * tables, which refuse, and the work that they take; could harm where opening is far dearer
     * than its price.
     */
    private final boolean closesIdle;

    private final ByteBuffer news;
    private final Meter cacheSends = new Meter();
    private final Meter cacheAnswers = new Meter();
    private final Meter asked = new Meter();
    private double answeredShare = 1, goOn = 1, totalShare = 1, coldChance = COLD_CARE;

    /**
     * Share of attempts whose connection breaks at the median cache node. What breaks everywhere is
     * the network's doing (short idle times, a lossy middlebox, resets) and tells nothing of a node
     * or of the origin's load, so neither is judged by it; a node or an origin that breaks more
     * than that still is. Could harm where one cause overruns all nodes at once and they cut
     * connections instead of waiting.
     */
    private double usualBreaks;

    /** The same of answers that are errors or make no sense. */
    private double usualErrors;

    private double lost, fetchMs;
    private final SlowStartBudget slowStart;
    private final GroupedRatio modelMs = new GroupedRatio();
    private boolean subscribed, gap;
    private int refusedCalls;

    public Decide(Settings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.slowStart = new SlowStartBudget(settings.rules(), settings.index(), seed);
        Connections c = settings.connections();
        this.closesIdle = c.heldPrice() * settings.proxies() > c.openingPrice() * PRICED_TABLE;
        this.peers = settings.limits().peers() && settings.proxies() > 1;
        this.news = ByteBuffer.allocate((peers ? KEYS_TOLD : 1) * Integer.BYTES);
        this.lately = new RecentKeys(peers ? LATELY_TOLD : LATELY);
        this.hasOrigin = settings.originModel() != null;
        this.guardMs = 2 * settings.tickMs();
        this.shortestAim =
                settings.classes().stream().mapToDouble(ServiceClass::aimMs).min().orElse(1);
        this.urgency = 1 / Math.max(1, shortestAim);
        double soonest =
                settings.classes().stream().mapToDouble(ServiceClass::deadlineMs).min().orElse(1);
        // A class that the settings do not name is taken to be worth little and never safe to
        // repeat.
        this.unknown =
                new ServiceClass("", soonest, 0, soonest, 0, 0, Effect.UNSAFE, Group.ALL, 0, false);
        settings.classes().forEach(s -> classes.put(s.name(), s));
        double proxies = Math.max(1, settings.proxies());
        settings.tenants().forEach(t -> quotas.set(t.name(), t.quotaPerS() / proxies));
    }

    @Override
    public void started(double now, Actions out) {
        incarnations.started(now);
        intervalEnd = now + INTERVAL_MS;
        out.timer(intervalEnd, "step");
        if (settings.mustSubscribe()) {
            out.timer(now + random.nextDouble() * INTERVAL_MS, "subscribe");
        }
    }

    @Override
    public void nodes(double now, ListKind kind, long version, List<Node> entries, Actions out) {
        if (kind == ListKind.REFUSED) {
            subscribed = false;
            refusedCalls++;
            // The first try comes soon: what a silent watch misses counts as told 6 s on.
            double wait = INTERVAL_MS * Math.min(8, Math.pow(4, refusedCalls - 2));
            out.timer(now + wait * (0.5 + random.nextDouble()), "subscribe");
            return;
        }
        refusedCalls = kind == ListKind.REMEMBERED ? refusedCalls : 0;
        if (kind != ListKind.CHANGES) {
            nodes.values().forEach(n -> n.listed = false);
        }
        boolean firstList = incarnations.isFirstList(now);
        for (Node entry : entries) {
            NodeView n = nodes.computeIfAbsent(entry.id(), id -> new NodeView(entry));
            n.learn(now, entry, firstList);
            if (!n.isOrigin()) {
                outages.listed(entry.id());
            }
            if (kind == ListKind.CHANGES) {
                place(n);
            }
        }
        if (kind == ListKind.CHANGES) {
            forgetLeft();
            lately.holdAtLeast(LATELY_A_NODE * caches.size());
        } else {
            relist();
        }
        if (kind != ListKind.REMEMBERED && !entries.isEmpty()) {
            incarnations.notified();
        }
    }

    @Override
    public boolean knows(String node) {
        return outages.knows(node);
    }

    @Override
    public boolean maintain(double now, String node, boolean begins, Actions out) {
        if (!outages.knows(node)) {
            return false;
        }
        NodeView n = nodes.get(node);
        if (begins) {
            outages.begin(now, node);
            out.close(node);
        } else {
            Double since = outages.end(node);
            if (since != null && n != null) {
                n.back(now, since);
            }
        }
        relist();
        return true;
    }

    @Override
    public void request(double now, Request in, Actions out) {
        PendingRequest r =
                new PendingRequest(in, classes.getOrDefault(in.service(), unknown), now, guardMs);
        requests.put(in.id(), r);
        heat(r, out);
        asked.add(now, 1);
        r.priorityWeight = worth(now, in, r.service);
        double weight = r.priorityWeight;
        meanWorth = meanWorth == 0 ? weight : meanWorth + SMOOTH / 10 * (weight - meanWorth);
        r.lowPriority = r.priorityWeight < meanWorth;
        r.heavy = meanWork > 0 && in.workMs() > HEAVY * meanWork;
        meanWork = meanWork == 0 ? in.workMs() : meanWork + SMOOTH / 10 * (in.workMs() - meanWork);
        urgency += SMOOTH / 10 * (1 / Math.max(1, r.service.aimMs()) - urgency);
        out.timer(r.answerBy, "r" + in.id());
        if (!hasTime(now, r)) {
            // A try may come with no time left at all: a timer would answer it too late.
            end(now, r, out);
        } else if (knownMissing(now, r) && !hold(r) && !draw(now, r)) {
            end(now, r, out);
        } else if (r.joinedFetch) {
            return;
        } else if (in.write() && hasOrigin) {
            fetch(now, r, out);
        } else if (r.draw > goOn || in.write() && !bank.draw(now, r.lowPriority)) {
            end(now, r, out);
        } else {
            lookUp(now, r, out);
        }
    }

    @Override
    public void streamStarted(double now, String request, int attempt, String node, Actions out) {
        PendingRequest r = requests.get(request);
        if (r != null) {
            r.streaming = true;
        }
    }

    @Override
    public void attemptEnded(double now, AttemptEnd end, Actions out) {
        NodeView node = nodes.get(end.node());
        PendingRequest r = requests.get(end.request());
        boolean fetched = node != null && node.isOrigin();
        if (node != null) {
            node.ended(now, end, caches);
            if (!fetched && (end.outcome() == Outcome.OK || end.outcome() == Outcome.MISS)) {
                node.served.add(now, sizeOf(r));
                slowStart.answered(
                        now,
                        node.entry.id(),
                        node.incarnation.startedAt(),
                        sizeOf(r),
                        end.outcome() == Outcome.OK);
            }
            if (closesIdle && node.inFlight == 0) {
                out.close(end.node());
            }
            boolean answered =
                    switch (end.outcome()) {
                        case OK, MISS, ERROR -> true;
                        default -> false;
                    };
            if (!fetched && answered) {
                // An error too is an answer: a node that spoils some of its own is no fleet that is
                // overrun.
                cacheAnswers.add(now, 1);
            } else if (!fetched
                    && (end.outcome().broke()
                            || end.outcome() == Outcome.NEVER_SENT
                            || end.outcome() == Outcome.CANCELLED
                                    && 2 * end.elapsedMs() < shortestAim)) {
                cacheSends.add(now, -1);
            }
        }
        if (fetched || !hasOrigin && end.note() > 1) {
            double aim = r == null ? INTERVAL_MS : r.service.aimMs();
            boolean untold =
                    end.outcome() == Outcome.CANCELLED
                            || end.outcome() == Outcome.NEVER_SENT
                            || turnedAway(end)
                            || r != null && r.overdue;
            if (!untold && end.outcome().broke()) {
                control.broken++;
            } else if (!untold && end.outcome() == Outcome.ERROR) {
                control.spoilt++;
            } else if (!untold) {
                control.count(end.outcome() == Outcome.OK && end.elapsedMs() <= aim);
            }
        }
        if (r == null) {
            return;
        }
        r.inFlight = false;
        r.neverRan &= end.outcome().provesNotRun();
        List<PendingRequest> waiting =
                fetched && r.fetches ? fetching.remove(r.request.key()) : null;
        r.fetches = false;
        if (end.finished()) {
            requests.remove(r.request.id());
        } else if (fetched) {
            afterFetch(now, r, end, out);
        } else {
            afterLookUp(now, r, node, end.outcome(), out);
        }
        if (fetched && end.outcome() == Outcome.OK) {
            fetchMs += SMOOTH * (Math.max(0, end.elapsedMs()) - fetchMs);
            missing.remove(r.request.key());
        }
        boolean lost =
                end.outcome() == Outcome.CONNECT_FAILED
                        && !turnedAway(end)
                        && !requests.containsKey(r.request.id());
        release(now, waiting, end.outcome() == Outcome.OK, lost, out);
    }

    @Override
    public void clientGone(double now, String request, Actions out) {
        PendingRequest r = requests.remove(request);
        if (r != null) {
            letGo(now, r, out);
        }
    }

    @Override
    public void timer(double now, String token, Actions out) {
        if (token.equals("step")) {
            step(now);
            out.timer(intervalEnd, "step");
        } else if (token.equals("room")) {
            recallRoom(now, out);
        } else if (token.equals("subscribe")) {
            if (!subscribed) {
                subscribed = true;
                out.subscribe();
            }
        } else if (token.startsWith("p")) {
            NodeView n = nodes.get(token.substring(1));
            if (n != null) {
                probe(n, out);
            }
        } else if (token.startsWith("r")) {
            PendingRequest r = requests.get(token.substring(1));
            if (r != null && !r.streaming) {
                end(now, r, out);
            }
        }
    }

    @Override
    public void probed(
            double now,
            String node,
            Outcome outcome,
            double elapsedMs,
            Map<String, Double> load,
            Actions out) {
        NodeView n = nodes.get(node);
        if (n == null || !n.probing) {
            return;
        }
        n.probing = false;
        boolean answered = outcome == Outcome.OK || outcome == Outcome.MISS;
        n.failsProbes = !answered && (n.doubted || n.failsProbes);
        if (answered) {
            n.cleared();
        } else if (n.failsProbes) {
            n.spare(now, caches, 1);
            moveOn(now, n, out);
        }
        if (n.doubted || n.failsProbes) {
            out.timer(now + PROBE_AGAIN_MS, "p" + node);
        }
    }

    /**
     * Peers doubt a node, or no longer do. Hearsay alone moves no request: it makes us probe at
     * once, and wait briefly for attempts there; what the probe shows is then acted upon.
     */
    @Override
    public void standing(double now, String node, boolean doubted, Actions out) {
        NodeView n = nodes.get(node);
        if (n != null && !n.isOrigin()) {
            n.doubted = doubted;
            probe(n, out);
        }
    }

    /**
     * What waits at a node that neither peers nor our probe get a word of goes to another in time.
     */
    private void moveOn(double now, NodeView n, Actions out) {
        for (PendingRequest r :
                settings.limits().cancel() ? requests.values() : List.<PendingRequest>of()) {
            boolean waits = r.inFlight && r.node == n && !r.streaming && !r.heavy;
            boolean late = now - r.sentAt > n.usual.latest(DEVIATIONS);
            if (waits && late && r.service.effect() == Effect.SAFE) {
                out.cancel(r.request.id(), r.attempts - 1);
            }
        }
    }

    private void probe(NodeView n, Actions out) {
        boolean asks = caches.contains(n) && (n.doubted || n.failsProbes);
        if (asks && settings.limits().probes() && !n.probing) {
            n.probing = true;
            out.probe(n.entry.id());
        }
    }

    @Override
    public void peerMessage(double now, int from, byte[] contents, Actions out) {
        lately.addAll(ByteBuffer.wrap(contents));
    }

    @Override
    public String state() {
        return (control.level == 0
                        ? "not throttled"
                        : String.format(
                                Locale.ROOT,
                                "throttled at level %d to %.1f fetches/s",
                                control.level,
                                control.rate()))
                + (goOn >= 1 ? "" : String.format(Locale.ROOT, ", %.0f%% go on", 100 * goOn));
    }

    @Override
    public int level() {
        return control.level;
    }

    @Override
    public int entries() {
        return requests.size() + fetching.size() + room.size();
    }

    /** Sends a read to the less busy of its two top nodes, or holds it while we fetch its key. */
    private void lookUp(double now, PendingRequest r, Actions out) {
        if (hold(r)) {
            return;
        }
        NodeView node = pick(now, r);
        if (node != null) {
            double left = r.answerBy - now;
            // A heavy request that is repeated has its work done from the start once more, and is
            // late.
            boolean more =
                    r.attempts + 2 < settings.limits().maxAttempts()
                            && r.request.key() >= 0
                            && !r.heavy;
            double first = Math.min(patience(now, r, node, !r.hurried), left * FIRST_TRY);
            r.hurried = true;
            send(now, r, node, more ? first : left, out);
        } else if (!r.missed.isEmpty() && hasOrigin) {
            fetch(now, r, out);
        } else if (r.crowded && now < r.waitUntil) {
            if (room.isEmpty()) {
                out.timer(now + guardMs, "room");
            }
            room.add(r);
        } else {
            end(now, r, out);
        }
    }

    /**
     * How long an attempt is waited for: its first briefly where silence would mean that it is
     * lost.
     */
    private double patience(double now, PendingRequest r, NodeView node, boolean first) {
        boolean repeats = !r.heavy && r.service.effect() != Effect.UNSAFE;
        boolean hurry = first && repeats && node.loses(r.service.aimMs());
        return hurry ? Math.min(SOONEST * r.service.aimMs(), r.answerBy - now) : r.answerBy - now;
    }

    /**
     * Reads that found their pair crowded wait here for a small part of their aim; higher worth
     * first, then newest. Prevents refusals while nodes idle between bursts; a lasting overload
     * costs each read the wait.
     */
    private void recallRoom(double now, Actions out) {
        List<PendingRequest> waiting = room;
        room = new ArrayList<>();
        waiting.sort(
                Comparator.comparingDouble((PendingRequest r) -> -r.priorityWeight)
                        .thenComparingDouble(r -> -r.waitUntil));
        for (PendingRequest r : waiting) {
            if (requests.get(r.request.id()) == r) {
                lookUp(now, r, out);
            }
        }
    }

    private void afterLookUp(
            double now, PendingRequest r, NodeView node, Outcome outcome, Actions out) {
        boolean network = outcome.broke() && usualBreaks > BREAKING;
        if (network
                && node != null
                && node.usable(now)
                && mayRepeat(now, r)
                && r.sameNodeRetries++ == 0) {
            // The node is fine and may hold the key: another would miss, and a miss is one more
            // fetch.
            lookUp(now, r, out);
            return;
        }
        r.tried.add(node);
        if (outcome == Outcome.MISS && node != null) {
            r.missed.add(node);
            if (r.missed.size() == 1 && r.pickedSecond) {
                lookUp(now, r, out);
            } else {
                fetch(now, r, out);
            }
        } else if (mayRepeat(now, r)
                && r.tried.size() < 2
                && (outcome != Outcome.TIMEOUT || r.draw < 2 * answeredShare - 1)) {
            lookUp(now, r, out);
        } else {
            end(now, r, out);
        }
    }

    /**
     * Fetches from the origin if a token is had; joins a fetch of ours that is out for the same
     * key.
     */
    private void fetch(double now, PendingRequest r, Actions out) {
        if (origin == null || !origin.listed || !hasTime(now, r) || wouldBeLate(now, r)) {
            end(now, r, out);
        } else if (!r.request.write() && hold(r)) {
            return;
        } else if (!draw(now, r)) {
            missing.put(r.request.key(), now);
            if (missing.size() > MISSING_KEYS) {
                missing.remove(missing.keySet().iterator().next());
            }
            end(now, r, out);
        } else {
            r.hasToken = false;
            if (!r.request.write()
                    && r.request.key() >= 0
                    && !fetching.containsKey(r.request.key())) {
                fetching.put(r.request.key(), new ArrayList<>());
                r.fetches = true;
            }
            send(now, r, origin, patience(now, r, origin, r.fetchAttempts == 0), out);
        }
    }

    /**
     * Whether a fetch would most likely end after its client has gone. Retries come with little
     * time left; in a jam their fetches fill the origin's queue and nobody reads the answers. A few
     * are tried all the same, and what is remembered of a jam fades, as answers alone tell that it
     * has passed. Could harm where the origin's times spread widely.
     */
    private boolean wouldBeLate(double now, PendingRequest r) {
        return r.draw >= TRIED_ANYWAY && r.answerBy - now < TIME_TO_FETCH * fetchMs;
    }

    private boolean draw(double now, PendingRequest r) {
        r.hasToken = r.hasToken || control.level == 0 || bank.draw(now, r.lowPriority);
        return r.hasToken;
    }

    /**
     * Whether a read is all but sure to need a fetch: while throttled, its key was refused lately.
     * It draws on arrival, so that clients' retries cost no further misses. Could harm where
     * another has filled it.
     */
    private boolean knownMissing(double now, PendingRequest r) {
        boolean neverMissing = r.request.write() || r.request.key() < 0 || control.level == 0;
        Double at = neverMissing ? null : missing.get(r.request.key());
        return at != null && now - at < MISSING_MS;
    }

    /**
     * Whether a node took no connection and said so at once: its table is full, of idle ones
     * perhaps, which says nothing of the work that it has. One out of reach fails after the time
     * for connecting. Could harm where an origin closes its door as the first sign of overload:
     * late fetches alone then throttle.
     */
    private boolean turnedAway(AttemptEnd end) {
        return end.outcome() == Outcome.CONNECT_FAILED
                && end.elapsedMs() < settings.limits().connectTimeoutMs();
    }

    private void afterFetch(double now, PendingRequest r, AttemptEnd end, Actions out) {
        Outcome outcome = end.outcome();
        boolean again = outcome != Outcome.OK && outcome != Outcome.REJECTED;
        // What the network breaks is repeated while throttled too: the token that it draws bounds
        // the load.
        boolean may =
                control.level == 0
                        || turnedAway(end)
                        || outcome.broke() && usualBreaks > BREAKING
                        || outcome == Outcome.ERROR && usualErrors > BREAKING;
        if (again && may && r.fetchAttempts++ == 0 && mayRepeat(now, r)) {
            fetch(now, r, out);
        } else {
            end(now, r, out);
        }
    }

    private boolean hold(PendingRequest r) {
        boolean single = r.request.key() < 0 || r.request.write();
        List<PendingRequest> waiting = single ? null : fetching.get(r.request.key());
        if (waiting == null || r.joinedFetch) {
            return false;
        }
        r.joinedFetch = true;
        waiting.add(r);
        return true;
    }

    /**
     * After a fetch, those held for it go to the filled node, or on as if they had come just now.
     * Where the origin was out of reach and the one that fetched has given up, so have they: one
     * after the other would find out the same, with the last waiting for all. Could harm where it
     * is back at that moment.
     */
    private void release(
            double now, List<PendingRequest> waiting, boolean filled, boolean lost, Actions out) {
        for (PendingRequest r : waiting == null ? List.<PendingRequest>of() : waiting) {
            if (requests.get(r.request.id()) == r && !r.inFlight) {
                if (filled) {
                    r.tried.clear();
                    r.missed.clear();
                } else {
                    r.joinedFetch = false;
                }
                if (filled || r.missed.isEmpty()) {
                    lookUp(now, r, out);
                } else if (lost) {
                    end(now, r, out);
                } else {
                    fetch(now, r, out);
                }
            }
        }
    }

    /**
     * While nodes are out or cold their keys crowd the others. A read with a crowded pair then goes
     * to a node with half of its places free, unless fetches are throttled. Could harm where all
     * are overrun.
     */
    private NodeView pick(double now, PendingRequest r) {
        NodeView node = pick(now, r, false);
        return node != null || !r.crowded || control.level > 0 || !gap ? node : pick(now, r, true);
    }

    private NodeView pick(double now, PendingRequest r, boolean free) {
        noteCaches();
        NodeView first = null;
        NodeView second = null;
        double firstScore = 0;
        double secondScore = 0;
        long place = mix(r.placementKey);
        for (int i = 0; i < hashes.length; i++) {
            double u = unit(hashes[i] ^ place);
            // As ln(u) <= u - 1: what could not win with its whole share needs no logarithm.
            if (mostShares[i] <= secondScore * (1 - u)) {
                continue;
            }
            NodeView n = caches.get(i);
            double score =
                    n.usable(now) && (!free || 2 * n.inFlight + 1 < n.places())
                            ? -n.share(now) / Math.log(u)
                            : 0;
            if (score > firstScore && (free ? n.relieves(now, r) : n.admits(now, r))) {
                if (first == null || first.relieves(now, r)) {
                    second = first;
                    secondScore = firstScore;
                }
                first = n;
                firstScore = score;
            } else if (score > secondScore && score <= firstScore && n.relieves(now, r)) {
                second = n;
                secondScore = score;
            }
        }
        first = longReturned(now, r, first);
        boolean canFirst =
                first != null && !r.tried.contains(first) && first.open(now, r.lowPriority);
        boolean canSecond =
                second != null && !r.tried.contains(second) && second.open(now, r.lowPriority);
        r.pickedSecond = canSecond && (!canFirst || second.inFlight < first.inFlight);
        r.crowded =
                first != null && !r.tried.contains(first)
                        || second != null && !r.tried.contains(second);
        return r.pickedSecond ? second : canFirst ? first : null;
    }

    private NodeView longReturned(double now, PendingRequest r, NodeView otherwise) {
        return returned.isEmpty() || r.request.write()
                ? otherwise
                : returned.keySet().stream()
                        .filter(n -> now - returned.get(n) >= BACK_IN_USE_MS)
                        .findFirst()
                        .orElse(otherwise);
    }

    /**
     * A key that came again within our latest requests is hot: it counts as several keys, each with
     * a pair of its own, as many as keep each node's part of it under a part of its usual work.
     * Prevents jams where one key needs more than a pair and no balancer has enough in flight to
     * see it. Could harm where a key comes again by luck: it costs a miss for each pair.
     */
    private void heat(PendingRequest r, Actions out) {
        int key = (int) mix(r.request.key());
        int known = lately.size();
        int same = lately.count(key);
        news.putInt(key);
        if (!peers) {
            lately.addAll(news);
        } else if (!news.hasRemaining()) {
            if (random.nextDouble() * settings.proxies() < HEARD_BY) {
                out.tell(news.array());
                lately.addAll(news);
            }
            news.clear();
        }
        r.keyFrequency = Math.max(same, UNSEEN) / Math.max(known, 1);
        if (same > 0 && r.request.key() >= 0) {
            double share = same / Math.max(known, LATELY / 2.0);
            double spread = Math.max(settings.proxies(), caches.size() / OWN_LOAD);
            double most = HOT_SPREAD * Math.min(caches.size(), spread);
            r.variants = 1 + (int) Math.min(caches.size() / 2.0, share * most);
            int variant =
                    (int) (unit(r.placementKey ^ Double.doubleToLongBits(r.draw)) * r.variants);
            r.placementKey = variant == 0 ? r.placementKey : mix(r.placementKey + variant);
        }
    }

    private void send(double now, PendingRequest r, NodeView node, double timeoutMs, Actions out) {
        if (r.attempts >= settings.limits().maxAttempts() || !hasTime(now, r)) {
            end(now, r, out);
            return;
        }
        r.attempts++;
        r.inFlight = true;
        r.node = node;
        r.overdue = false;
        r.sentAt = now;
        if (r.neverRan) {
            r.firstSent = now;
        }
        node.inFlight++;
        returned.remove(node);
        if (!node.isOrigin()) {
            cacheSends.add(now, 1);
            if (node.cold(now)) {
                slowStart.sent(now, node.entry.id(), node.incarnation.startedAt(), sizeOf(r));
            }
        }
        out.send(r.request.id(), node.entry.id(), Math.max(1, timeoutMs));
    }

    /** How many requests of mean work it counts as, by its hint; one that is over counts as one. */
    private double sizeOf(PendingRequest r) {
        return r == null || meanWork <= 0 ? 1 : SlowStartBudget.size(r.request.workMs() / meanWork);
    }

    /** The one final answer that we give: a refusal where it is a true promise, else a failure. */
    private void end(double now, PendingRequest r, Actions out) {
        requests.remove(r.request.id());
        letGo(now, r, out);
        boolean harmless =
                switch (r.service.effect()) {
                    case SAFE -> true;
                    case KEYED -> r.neverRan && !r.inFlight || r.service.group() == Group.ALL;
                    case UNSAFE -> r.neverRan && !r.inFlight;
                };
        if (harmless) {
            double pause = control.level == 0 ? UNPACED_MS : 1000 / bank.ratePerS;
            double wait = settings.limits().retryAfter() ? pause : 0;
            out.refuse(r.request.id(), Math.min(wait, settings.limits().maxRetryAfterMs()));
        } else {
            out.fail(r.request.id());
        }
    }

    /** Stops what is still out for a request that is over, and lets others fetch its key. */
    private void letGo(double now, PendingRequest r, Actions out) {
        if (r.inFlight && settings.limits().cancel()) {
            out.cancel(r.request.id(), r.attempts - 1);
        }
        if (r.fetches) {
            r.fetches = false;
            release(now, fetching.remove(r.request.key()), false, false, out);
        }
    }

    private boolean mayRepeat(double now, PendingRequest r) {
        return hasTime(now, r)
                && switch (r.service.effect()) {
                    case SAFE -> true;
                    case UNSAFE -> r.neverRan;
                    case KEYED ->
                            r.neverRan
                                    || r.service.group() == Group.ALL
                                            && now - r.firstSent
                                                    < r.service.repeatWindowMs()
                                                            - Math.max(guardMs, HOLD_UP_MS);
                };
    }

    private boolean hasTime(double now, PendingRequest r) {
        return r.answerBy - now > guardMs;
    }

    private void step(double now) {
        if (now < intervalEnd) {
            return;
        }
        noteCaches();
        countOverdue(now);
        fetchMs *= FETCH_FADE;
        double nodesPerProxy = caches.size() / (double) settings.proxies();
        control.floor = HysteresisController.BASE_FLOOR * Math.min(1, nodesPerProxy);
        usualBreaks = median(caches.stream().mapToDouble(n -> n.broken));
        usualErrors = median(caches.stream().mapToDouble(n -> n.errors));
        control.judge(usualBreaks, usualErrors);
        control.step(INTERVAL_MS, bank.refusals);
        bank.rate(now, control.rate());
        weighModels();
        double answered = cacheAnswers.perS(now) + TRIAL_PER_S;
        // Young attempts tell nothing yet; a balancer with few requests would refuse on their
        // account.
        long young = requests.values().stream().filter(r -> r.isYoung(now)).count();
        answeredShare = Math.min(1, answered / Math.max(1e-9, cacheSends.perS(now, young)));
        goOn = Math.max(GO_ON_LEAST, Math.pow(PUSH * answeredShare, PUSH_POWER));
        coldChance = COLD_CARE * Math.min(answeredShare, answered / asked.perS(now));
        summarizeShares(now);
        budgetSlowStarts(now);
        intervalEnd = now + INTERVAL_MS;
    }

    private void summarizeShares(double now) {
        totalShare = 0;
        gap = outages.any();
        for (NodeView n : caches) {
            double share = n.share(now);
            totalShare += share;
            gap |= share < n.weight;
        }
    }

    private void budgetSlowStarts(double now) {
        for (NodeView n : caches) {
            slowStart.observe(
                    n.model(), n.cold(now), n.served.perS(now) / MS_PER_S, n.capacity(now));
        }
        slowStart.endInterval(now - settings.rules().coldMs());
    }

    /**
     * A fetch that is out past its aim is bad already; waiting for its end would tell of a full
     * origin only once its queue has been as long as the clients' patience. Also tells of an origin
     * that has stopped.
     */
    private void countOverdue(double now) {
        for (PendingRequest r : requests.values()) {
            if (r.inFlight
                    && !r.overdue
                    && r.node == origin
                    && now - r.sentAt > r.service.aimMs() + r.request.uploadMs()) {
                r.overdue = true;
                control.count(false);
            }
        }
    }

    /**
     * Where the list tells no sizes, nodes of a model that answers slower get fewer keys. By model
     * and slowly, so that all balancers come to nearly the same weights and keys keep their nodes.
     * Prevents slow models from being crowded while fast ones idle; could harm where a model is
     * slow for a short while.
     */
    private void weighModels() {
        if (settings.weights() == Weights.SIZE) {
            return;
        }
        modelMs.clear();
        for (NodeView n : caches) {
            modelMs.add(n.model(), n.eachMs, 1);
        }
        double all = modelMs.ofAll();
        for (NodeView n : caches) {
            double target =
                    Math.min(MODEL_SPAN, Math.max(1 / MODEL_SPAN, all / modelMs.of(n.model())));
            n.weight += SMOOTH * (target - n.weight);
        }
        noteShares();
    }

    /** Class gain, by work where value is, cut for what a tenant sends beyond its quota. */
    private double worth(double now, Request in, ServiceClass service) {
        double worth = service.gain();
        worth *= settings.worthByWork() && in.workMs() > 0 ? in.workMs() : 1;
        return quotas.takes(now, in.tenant()) ? worth : worth * settings.overShareWorth();
    }

    /**
     * Makes anew of all nodes what {@link #place} keeps up with a change: the work grows with the
     * fleet.
     */
    private void relist() {
        // Ids that left never come back, and on a long day there is no end to new ones.
        nodes.values().removeIf(n -> !n.listed && hasLeft(n));
        unlisted.clear();
        List<NodeView> list = new ArrayList<>();
        origin = null;
        for (NodeView n : nodes.values()) {
            if (n.listed && n.isOrigin()) {
                origin = n;
            } else if (isCache(n)) {
                list.add(n);
            }
            if (!n.listed) {
                unlisted.add(n);
            }
        }
        list.sort(BY_ID);
        caches = list;
        returned.keySet().retainAll(list);
        lately.holdAtLeast(LATELY_A_NODE * list.size());
        cachesChanged = true;
    }

    /**
     * Puts one node whose entry has changed into the caches or takes it out. A release changes
     * thousands of nodes one by one within seconds, so this must not walk all of them.
     */
    private void place(NodeView n) {
        if (n.isOrigin() || n == origin) {
            relist();
            return;
        }
        if (n.listed) {
            unlisted.remove(n);
        } else {
            unlisted.add(n);
        }
        int at = Collections.binarySearch(caches, n, BY_ID);
        if (at < 0 && isCache(n)) {
            caches.add(-at - 1, n);
        } else if (at >= 0 && !isCache(n)) {
            caches.remove(at);
            returned.remove(n);
        }
        cachesChanged = true;
    }

    private boolean isCache(NodeView n) {
        return n.listed && !n.isOrigin() && !outages.isOut(n.entry.id());
    }

    private void forgetLeft() {
        unlisted.removeIf(n -> hasLeft(n) && nodes.remove(n.entry.id(), n));
    }

    private boolean hasLeft(NodeView n) {
        return n.inFlight == 0 && !outages.isOut(n.entry.id());
    }

    /**
     * What a pick and a step read of all caches is made when it is read, once for all changes
     * before.
     */
    private void noteCaches() {
        if (!cachesChanged) {
            return;
        }
        cachesChanged = false;
        hashes = caches.stream().mapToLong(n -> n.hash).toArray();
        if (settings.weights() == Weights.SIZE) {
            takeSizes();
        }
        noteShares();
    }

    private void noteShares() {
        double most = Math.max(1, settings.rules().coldFrom());
        mostShares = caches.stream().mapToDouble(n -> most * n.weight).toArray();
    }

    /**
     * Listed sizes, kept within a span of their median, so that an absurd one shuts no node out.
     */
    private void takeSizes() {
        double[] sizes =
                withinSpan(caches.stream().mapToDouble(n -> n.entry.weight()).toArray(), SIZE_SPAN);
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
        double strikes;
        double eachMs, spoilt, broken, errors, silent;

        /** Times of its answered attempts. */
        final Spread usual = new Spread(SMOOTH);

        int ejections;
        double lastEnd = Double.NEGATIVE_INFINITY;
        boolean onTrial;
        boolean doubted, probing, failsProbes;
        double sparedUntil;

        /** Requests it has served, each as its work in requests of mean work. */
        final Meter served = new Meter();

        final Incarnation incarnation;

        NodeView(Node entry) {
            this.entry = entry;
            this.incarnation = incarnations.of(entry.id());
            this.hash = mix(hashText(entry.id()));
            this.eachMs = FIRST_GUESS * shortestAim;
        }

        void learn(double now, Node e, boolean firstList) {
            if (incarnation.notified(now, e.startedAtMs(), firstList)) {
                strikes = 0;
                onTrial = false;
                sparedUntil = 0;
            }
            entry = e;
            listed = e.availability() == Availability.UP;
        }

        String model() {
            return String.valueOf(entry.model());
        }

        boolean isOrigin() {
            return hasOrigin && settings.originModel().equals(entry.model());
        }

        boolean usable(double now) {
            return now >= sparedUntil && (!onTrial || inFlight == 0);
        }

        /**
         * Whether it may take one more of ours now. Prevents jams: a node that holds too many turns
         * slow and stays so. A queue most of the usual aim long is shared among the balancers by a
         * power of their number, as their bursts seldom meet. Less than one place means a pause
         * after each: a jammed node gets its rest also from many balancers that each send little.
         * Low worth leaves the last of several places free. Could harm where one balancer carries
         * nearly all traffic: it then refuses sooner than the node needs.
         */
        boolean open(double now, boolean low) {
            double places = low ? Math.max(places() - 1, Math.min(places(), 1)) : places();
            return places >= 1
                    ? inFlight < places
                    : inFlight == 0 && now - lastEnd >= eachMs * (1 / places - 1);
        }

        private double places() {
            double p = Math.max(1, settings.proxies());
            return CROWD / urgency / Math.max(1, eachMs) / Math.pow(p, OTHERS);
        }

        /**
         * Its capacity beside others of its model; a learned weight tells models apart, not nodes.
         */
        double size() {
            return settings.weights() == Weights.SIZE ? weight : 1;
        }

        /** What the settings allow it now, in units of a warm node's capacity. */
        double capacity(double now) {
            return size() * share(now) / weight;
        }

        boolean cold(double now) {
            return incarnation.ageMs(now) < settings.rules().coldMs();
        }

        double share(double now) {
            double age = incarnation.ageMs(now);
            double coldMs = settings.rules().coldMs();
            if (age >= coldMs) {
                return weight;
            }
            double from = settings.rules().coldFrom();
            return weight * (from + (1 - from) * Math.max(0, age) / coldMs);
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
        boolean admits(double now, PendingRequest r) {
            return admits(now, r, true);
        }

        /**
         * Whether a cold node may take this request in another's place. A busy node's requests go
         * there by no weight, so they are bounded by our part of what all proxies may send it.
         * Could harm where only cold nodes are free: beyond their budget requests are refused.
         */
        boolean relieves(double now, PendingRequest r) {
            return admits(now, r, false);
        }

        private boolean admits(double now, PendingRequest r, boolean ordinary) {
            if (!cold(now)) {
                return true;
            }
            double due = share(now) / totalShare * r.variants;
            return r.draw < coldChance * Math.min(1, due / r.keyFrequency)
                    && withinBudget(now, r, ordinary);
        }

        private boolean withinBudget(double now, PendingRequest r, boolean ordinary) {
            // By the middle of the window that ends now, as it gains capacity meanwhile.
            double capacity = capacity(now - settings.rules().fallMs() / 2);
            return slowStart.allows(
                    now,
                    entry.id(),
                    model(),
                    incarnation.startedAt(),
                    capacity,
                    sizeOf(r),
                    ordinary);
        }

        void ended(double now, AttemptEnd end, List<NodeView> peers) {
            inFlight = Math.max(0, inFlight - 1);
            lastEnd = now;
            if (end.outcome() != Outcome.CANCELLED && end.outcome() != Outcome.NEVER_SENT) {
                broken += BROKEN_SMOOTH * ((end.outcome().broke() ? 1 : 0) - broken);
                errors += BROKEN_SMOOTH * ((end.outcome() == Outcome.ERROR ? 1 : 0) - errors);
            }
            switch (end.outcome()) {
                case OK, MISS -> {
                    lost -= LOST_SMOOTH * lost;
                    onTrial = false;
                    strikes = 0;
                    spoilt -= SPOILT_SMOOTH * spoilt;
                    silent -= SILENT_SMOOTH * silent;
                    usual.add(end.elapsedMs());
                    ejections = spoilt < SPOILT_SMOOTH ? 0 : ejections;
                    timed(end.elapsedMs());
                }
                case CONNECT_FAILED, RESET -> strike(now, peers, STRIKES / runOfBreaks());
                case REJECTED -> strike(now, peers, 1);
                case TIMEOUT -> {
                    lost += LOST_SMOOTH * (1 - lost);
                    timed(Math.max(end.elapsedMs(), eachMs * (inFlight + 1)));
                    silent += SILENT_SMOOTH * (1 - silent);
                    // A node that drops one request in four often drops two in a row and is of use.
                    strike(now, peers, silent > SILENT ? 1 : 0);
                }
                case ERROR -> {
                    spoilt += SPOILT_SMOOTH * (1 - spoilt);
                    if (spoilt > SPOILING && now >= sparedUntil) {
                        spare(now, peers, ejections++);
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
        boolean loses(double aimMs) {
            return (silent > LOSING || lost > LOSSY || doubted)
                    && silent < SILENT
                    && usual.latest(DEVIATIONS) < SOONEST * aimMs;
        }

        /**
         * Learns from an attempt's time; faster while paced, as few attempts are left to learn
         * from.
         */
        private void timed(double elapsedMs) {
            double each = elapsedMs >= 0 ? elapsedMs / (inFlight + 1) : eachMs;
            eachMs += (places() < 1 ? PACED_SMOOTH : SMOOTH) * (each - eachMs);
        }

        /**
         * Spares a node after failures in a row, whatever their kind: silent, cut off, full or
         * stalled, while the list still calls it fine. Never more than a part of the nodes, or
         * those left would be overrun. Could harm where time-outs come from the requests and not
         * the node.
         */
        private void strike(double now, List<NodeView> peers, double weight) {
            strikes += weight;
            if (strikes >= STRIKES) {
                spare(now, peers, (int) strikes - STRIKES);
            }
        }

        /**
         * Broken connections in a row that tell of this node and not of luck. Where a twelfth of
         * all breaks, a fleet sees two in a row every second, and sparing for them moves keys to
         * where they miss. Could harm where a node dies while the network breaks: a few more
         * attempts then break at once.
         */
        private double runOfBreaks() {
            return usualBreaks <= 0
                    ? STRIKES
                    : Math.max(
                            STRIKES,
                            Math.ceil(Math.log(LUCK) / Math.log(Math.min(0.5, usualBreaks))));
        }

        /** An own probe was answered: nothing in a row is left that would spare it. */
        void cleared() {
            strikes = 0;
            onTrial = false;
            sparedUntil = 0;
            silent = Math.min(silent, SILENT);
        }

        /**
         * Its outage is over. It was started anew meanwhile: cold from now if no list has told of
         * it.
         */
        void back(double now, double outSince) {
            cleared();
            incarnation.replacedSince(now, outSince);
            returned.put(this, now);
        }

        private void spare(double now, List<NodeView> peers, int times) {
            if (isOrigin()) {
                return;
            }
            long spared = peers.stream().filter(n -> now < n.sparedUntil).count();
            if (SPARED_PART * (spared + 1) <= peers.size()) {
                sparedUntil = now + Math.min(SPARE_MOST_MS, SPARE_MS * Math.pow(2, times));
                onTrial = true;
            }
        }
    }
}
