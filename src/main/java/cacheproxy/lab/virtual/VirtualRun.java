package cacheproxy.lab.virtual;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.CachePrefiller;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.ClientTry;
import cacheproxy.lab.ledger.Ledger.FinalAnswer;
import cacheproxy.lab.ledger.Ledger.Verdict;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.ClientBehavior;
import cacheproxy.lab.load.ClientBehavior.TryOutcome;
import cacheproxy.lab.load.LoadBalancer;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadPlan.PlannedRequest;
import cacheproxy.lab.load.RequestRecord;
import cacheproxy.lab.report.CompletedRun;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.world.FaultInjector;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.lab.world.World.Answer;
import cacheproxy.lab.world.World.Entry;
import cacheproxy.lab.world.World.Health;
import cacheproxy.proxy.PathKey;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * Runs one experiment in virtual time. The same experiment and seed give identical results, to the
 * last digit.
 */
public final class VirtualRun {

    private static final double IDLE_TIMEOUT_MS = 10_000;
    private static final double CONNECT_TIMEOUT_MS = 100;
    private static final double MS_PER_S = 1000;

    /** Time until the load balancer stops sending to a proxy that shuts down. */
    private static final double LOAD_BALANCER_DELAY_MS = 300;

    /** How long a proxy waits for a probe's answer, as on sockets. */
    private static final double PROBE_TIMEOUT_MS = 2 * CONNECT_TIMEOUT_MS;

    /** Time from the start of a proxy's process until it serves requests. */
    private static final double STARTUP_MS = 1200;

    private static final double SETTLING_TIME_MS = 500;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;

    /** Creates the router of a starting proxy. */
    @FunctionalInterface
    public interface RouterFactory {
        Router create(Settings settings, long seed);
    }

    private final Experiment experiment;
    private final RouterFactory routerFactory;
    private final Installation plan;
    private final ClientBehavior clientBehavior;
    private final LoadPlan loadPlan;
    private final World world;
    private final EventQueue eventQueue = new EventQueue();
    private final Ledger ledger = new Ledger();
    private final WorldEffects worldEffects = new WorldEffects();
    private final FaultInjector faultInjector;
    private final RandomGenerator random;
    private final List<VirtualProxy> proxies = new ArrayList<>();

    /** The endpoint list that discovery has ready for each proxy, by machine. */
    private final List<Map<String, Entry>> discoveryEntries = new ArrayList<>();

    /** The entries that each proxy has received, in its current process or an earlier one. */
    private final List<Map<String, Entry>> knownEntries = new ArrayList<>();

    private final boolean[] hasEndpointList;
    private final double[] listBlockedUntil;
    private double discoveryFreeAt;
    private final LoadBalancer loadBalancer;
    private final Map<Long, InFlightAttempt> inFlightByNumber = new HashMap<>();

    /**
     * The attempt in flight for each client try. A try goes to one proxy, and a proxy has one
     * attempt of it in flight at a time.
     */
    private final Map<String, InFlightAttempt> inFlightByTry = new HashMap<>();

    private final VirtualConnectionPool pool;
    private final Map<String, Integer> zoneByMachine;
    private final Map<String, Double> resetShareByNode = new HashMap<>();
    private final Map<String, Double> silentUntil = new HashMap<>();

    /** Nodes that the operators have in maintenance. */
    private final Set<String> inMaintenance = new TreeSet<>();

    private final Map<String, PlannedRequest> requestsByTry = new HashMap<>();
    private final double[] zoneCutUntil;
    private final double[] blindUntil;
    private final int[] maxControlLevels;
    private final List<Mark> marks = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();
    private final RequestRecord[] records;
    private final VirtualGossip gossip;
    private final VirtualPolicy policy;
    private long attemptCount;
    private int proxyStarts;
    private long maxActiveRequests;

    /** An attempt that its proxy has sent and that has not ended. */
    private static final class InFlightAttempt {
        final VirtualProxy proxy;
        final String request;
        final int number;
        final String node;
        final Attempt attempt;
        final double delayMs;
        final VirtualConnectionPool.PooledConnection connection;
        boolean ended;

        InFlightAttempt(
                VirtualProxy proxy,
                String request,
                int number,
                String node,
                Attempt attempt,
                double delayMs,
                VirtualConnectionPool.PooledConnection connection) {
            this.proxy = proxy;
            this.request = request;
            this.number = number;
            this.node = node;
            this.attempt = attempt;
            this.delayMs = delayMs;
            this.connection = connection;
        }
    }

    /** Runs the experiment with the decision module. */
    public VirtualRun(Experiment experiment) {
        this(experiment, DecisionModule::new);
    }

    /**
     * Runs the experiment with another router than the decision module, to compare routers or to
     * show which faults the ledger detects.
     */
    public VirtualRun(Experiment experiment, RouterFactory routerFactory) {
        this.experiment = experiment;
        this.routerFactory = routerFactory;
        this.plan = ScenarioGenerator.installation(experiment);
        this.clientBehavior = new ClientBehavior(experiment);
        this.loadPlan = LoadPlan.of(experiment);
        this.world =
                new World(
                        plan,
                        ScenarioGenerator.limits(experiment, loadPlan.meanReadMs()),
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.WORLD));
        this.faultInjector = new FaultInjector(world, worldEffects, plan, ledger);
        this.random =
                ScenarioGenerator.randomGenerator(
                        experiment.seed(), ScenarioGenerator.RandomStream.CLIENTS);
        this.pool =
                new VirtualConnectionPool(
                        eventQueue,
                        plan,
                        IDLE_TIMEOUT_MS,
                        CONNECT_TIMEOUT_MS,
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.POOLS));
        this.loadBalancer = LoadBalancer.of(experiment, plan.proxyZones());
        this.hasEndpointList = new boolean[experiment.proxies().count()];
        this.listBlockedUntil = new double[experiment.proxies().count()];
        this.zoneCutUntil = new double[plan.zones().size()];
        this.blindUntil = new double[experiment.proxies().count()];
        this.maxControlLevels = new int[(int) Math.ceil(experiment.durationS())];
        this.zoneByMachine = plan.zoneByMachine();
        this.records = new RequestRecord[loadPlan.requests().size()];
        this.gossip =
                new VirtualGossip(
                        experiment,
                        plan,
                        eventQueue,
                        this::mark,
                        node ->
                                !world.isAlive(node)
                                        || eventQueue.now() < silentUntil.getOrDefault(node, 0.0));
        this.policy = new VirtualPolicy(experiment, plan, eventQueue, gossip.links(), this::mark);
    }

    private final class WorldEffects implements World.Effects {
        @Override
        public void answer(long attempt, Answer answer) {
            handleAnswer(attempt, answer);
        }

        @Override
        public void deliverEndpointList(int proxy, long version, List<Entry> entries) {
            entries.forEach(e -> discoveryEntries.get(proxy).put(e.id(), e));
            if (hasEndpointList[proxy]) {
                entries.forEach(e -> recordNotification(proxy, e));
                sendDelta(proxy, version, entries);
            }
        }

        private void sendDelta(int proxy, long version, List<Entry> entries) {
            gossip.updateNodes(proxy, () -> servingNodes(proxy));
            proxies.get(proxy)
                    .endpointListReceived(
                            EndpointListKind.DELTA,
                            version,
                            entries.stream().map(VirtualRun.this::toNode).toList());
        }

        @Override
        public void machineDied(String machine) {
            ledger.changed(machine, Health.REMOVED, -1, eventQueue.now());
            // Connections to it are reset: attempts in flight end one link delay later.
            for (InFlightAttempt pending :
                    inFlightMatching(pending -> pending.node.equals(machine))) {
                removeInFlight(pending);
                eventQueue.scheduleIn(
                        pending.delayMs, () -> endAttempt(pending, Outcome.RESET, 0, 0));
            }
            pool.machineDied(machine);
        }

        @Override
        public void machineStarted(String machine) {
            ledger.changed(machine, Health.UP, eventQueue.now(), eventQueue.now());
        }

        @Override
        public void originStopped() {
            ledger.originStopped(eventQueue.now());
        }

        @Override
        public void reportEvent(String text) {
            mark(text);
        }
    }

    /** Stores an entry that a proxy receives, and records in the ledger what is new in it. */
    private void recordNotification(int proxy, Entry entry) {
        Entry previous = knownEntries.get(proxy).put(entry.id(), entry);
        if (previous == null
                || previous.health() != entry.health()
                || previous.startedAt() != entry.startedAt()) {
            ledger.notified(
                    new Ledger.ListNotification(
                            proxy,
                            entry.id(),
                            entry.health(),
                            entry.startedAt(),
                            eventQueue.now()));
        }
    }

    /** Returns the nodes that a proxy knows, except those that discovery reported as removed. */
    private List<Node> rememberedNodes(int proxy) {
        return knownEntries.get(proxy).values().stream()
                .filter(e -> e.health() != Health.REMOVED)
                .map(this::toNode)
                .toList();
    }

    /**
     * Requests the full endpoint list for a starting proxy. Discovery sends one full list at a
     * time.
     */
    private void requestEndpointList(int index, VirtualProxy proxy) {
        discoveryFreeAt =
                Math.max(discoveryFreeAt, eventQueue.now()) + plan.discovery().snapshotMs();
        eventQueue.scheduleAt(
                Math.max(discoveryFreeAt, listBlockedUntil[index]),
                () -> {
                    if (!proxy.isDead()) {
                        hasEndpointList[index] = true;
                        discoveryEntries
                                .get(index)
                                .values()
                                .forEach(e -> recordNotification(index, e));
                        proxy.endpointListReceived(
                                EndpointListKind.SNAPSHOT, world.version(), rememberedNodes(index));
                    }
                });
    }

    private List<Node> servingNodes(int proxy) {
        return knownEntries.get(proxy).values().stream()
                .filter(e -> e.health() == Health.UP && !e.id().equals(plan.origin().id()))
                .map(this::toNode)
                .toList();
    }

    /** Adds an annotation to the results' time line. */
    private void mark(String text) {
        marks.add(new Mark(Math.round(eventQueue.now()) / MS_PER_S, text));
    }

    private Node toNode(Entry entry) {
        return ProxySettings.node(plan, entry);
    }

    /** Runs the experiment to its end and returns its results. To be called once. */
    public Results run() {
        CachePrefiller.prefill(
                world,
                experiment,
                plan,
                ProxySettings.read(experiment, plan, 0, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS));
        for (int i = 0; i < plan.proxyZones().size(); i++) {
            discoveryEntries.add(new TreeMap<>());
            knownEntries.add(new TreeMap<>());
            hasEndpointList[i] = true;
            for (Entry entry : world.currentEndpoints()) {
                discoveryEntries.get(i).put(entry.id(), entry);
                recordNotification(i, entry);
            }
            proxies.add(startProxy(i));
            proxies.get(i)
                    .endpointListReceived(
                            EndpointListKind.SNAPSHOT,
                            world.version(),
                            world.currentEndpoints().stream().map(this::toNode).toList());
            loadBalancer.setInService(i, true);
        }
        experiment.faults().stream()
                .filter(fault -> !fault.kind().changesLoad())
                .forEach(fault -> eventQueue.scheduleAt(fault.atMs(), () -> startFault(fault)));
        if (!loadPlan.requests().isEmpty()) {
            eventQueue.scheduleAt(loadPlan.requests().get(0).atMs(), () -> requestArrives(0));
        }
        double longestMs = experiment.load().longestDeadlineMs();
        double endAt =
                experiment.durationS() * MS_PER_S
                        + longestMs
                        + SETTLING_TIME_MS
                        + experiment.rules().slackMs();
        double nextSampleAt = 0;
        while (true) {
            double next = Math.min(eventQueue.nextEventAt(), world.nextEventAt());
            if (next > endAt) {
                break;
            }
            if (next >= nextSampleAt) {
                sample(nextSampleAt);
                nextSampleAt += 100;
            }
            eventQueue.advanceTo(next);
            if (world.nextEventAt() <= next) {
                world.advance(next, worldEffects);
            } else {
                eventQueue.runNext();
            }
        }
        return buildResults();
    }

    /** Samples the control levels, request tables and connections; called every 100 ms. */
    private void sample(double at) {
        int second = (int) (at / MS_PER_S);
        if (at % MS_PER_S == 0) {
            pool.sampleOpenCounts();
        }
        for (VirtualProxy proxy : proxies) {
            if (second < maxControlLevels.length) {
                maxControlLevels[second] = Math.max(maxControlLevels[second], proxy.controlLevel());
            }
            maxActiveRequests = Math.max(maxActiveRequests, proxy.activeRequestCount());
        }
    }

    private VirtualProxy startProxy(int index) {
        var settings =
                ProxySettings.read(experiment, plan, index, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS);
        long seed = experiment.seed() * 31 + index * 7919L + proxyStarts++;
        VirtualProxy proxy =
                new VirtualProxy(
                        index,
                        eventQueue,
                        settings,
                        routerFactory.create(settings, seed),
                        new SimulatedNetwork());
        gossip.proxyStarted(proxy, proxyStarts, () -> servingNodes(index));
        policy.proxyStarted(index, proxyStarts);
        proxy.start(rememberedNodes(index));
        inMaintenance.forEach(node -> proxy.setMaintenance(node, true));
        return proxy;
    }

    // Clients.

    private void requestArrives(int index) {
        if (index + 1 < loadPlan.requests().size()) {
            eventQueue.scheduleAt(
                    loadPlan.requests().get(index + 1).atMs(), () -> requestArrives(index + 1));
        }
        sendTry(loadPlan.requests().get(index), 1);
    }

    private void sendTry(PlannedRequest request, int tryNumber) {
        int proxyIndex = loadBalancer.pick(request.zone());
        if (proxyIndex < 0 || proxies.get(proxyIndex).isDead()) {
            tryEnded(request, tryNumber, TryOutcome.UNREACHED, -1, 0);
            return;
        }
        VirtualProxy proxy = proxies.get(proxyIndex);
        String id = clientBehavior.tryId(request, tryNumber);
        requestsByTry.put(id, request);
        double budget = clientBehavior.tryBudgetMs(request, eventQueue.now());
        Experiment.Class requestClass = clientBehavior.classOf(request);
        ClientTry clientTry =
                ledger.sent(
                        id,
                        request.index(),
                        request.classIndex(),
                        request.key(),
                        proxyIndex,
                        eventQueue.now(),
                        budget);
        boolean[] finished = new boolean[1];
        eventQueue.scheduleIn(
                budget,
                () -> {
                    if (!finished[0]) {
                        finished[0] = true;
                        tryEnded(request, tryNumber, TryOutcome.FAILED, 0, 0);
                    }
                });
        eventQueue.scheduleIn(
                budget + experiment.rules().slackMs(),
                () -> {
                    if (clientTry.replies.isEmpty()) {
                        clientTry.gaveUpAt = eventQueue.now();
                        proxy.clientDisconnected(id);
                    }
                });
        proxy.requestReceived(
                new Request(
                        id,
                        requestClass.name(),
                        null,
                        PathKey.of(ClientBehavior.pathOf(request.key())),
                        request.hintMs(),
                        budget,
                        requestClass.write(),
                        tryNumber > 1 && experiment.load().marksRetries()),
                (status, retryAfterMs, bodyAttempt) -> {
                    clientTry.replies.add(
                            new FinalAnswer(eventQueue.now(), status, retryAfterMs, bodyAttempt));
                    requestsByTry.remove(id);
                    if (status != OK) {
                        world.requestAbandoned(id);
                    }
                    if (!finished[0]) {
                        finished[0] = true;
                        tryEnded(
                                request,
                                tryNumber,
                                ClientBehavior.outcomeOf(status),
                                status,
                                retryAfterMs);
                    }
                });
    }

    private void tryEnded(
            PlannedRequest request,
            int tryNumber,
            TryOutcome outcome,
            int status,
            double retryAfterMs) {
        double retryAt =
                clientBehavior.retryAt(request, tryNumber, outcome, retryAfterMs, eventQueue.now());
        if (Double.isNaN(retryAt)) {
            records[request.index()] =
                    new RequestRecord(request, 0, eventQueue.now(), status, tryNumber);
        } else {
            eventQueue.scheduleAt(retryAt, () -> sendTry(request, tryNumber + 1));
        }
    }

    // The network between proxies and machines.

    private int zoneOf(String machine) {
        return zoneByMachine.get(machine);
    }

    private boolean isSilent(int proxy, String machine) {
        if (eventQueue.now() < blindUntil[proxy]) {
            return true;
        }
        int proxyZone = plan.proxyZones().get(proxy);
        int machineZone = zoneOf(machine);
        return eventQueue.now() < silentUntil.getOrDefault(machine, 0.0)
                || proxyZone != machineZone
                        && (eventQueue.now() < zoneCutUntil[proxyZone]
                                || eventQueue.now() < zoneCutUntil[machineZone]);
    }

    private final class SimulatedNetwork implements VirtualProxy.Network {
        @Override
        public void send(
                VirtualProxy from, String request, int number, String node, double waitMs) {
            gossip.attemptStarted(from, node);
            pool.acquire(
                    from.index,
                    node,
                    new VirtualConnectionPool.ConnectionRequest() {
                        @Override
                        public boolean isStillWaiting() {
                            return from.isAttemptPending(request, number);
                        }

                        @Override
                        public void connected(VirtualConnectionPool.PooledConnection connection) {
                            transmit(from, request, number, node, waitMs, connection);
                        }

                        @Override
                        public void timedOut() {
                            from.attemptEnded(request, number, Outcome.CONNECT_FAILED, 0, 0);
                        }
                    });
        }

        private void transmit(
                VirtualProxy from,
                String request,
                int number,
                String node,
                double waitMs,
                VirtualConnectionPool.PooledConnection connection) {
            double delayMs = plan.delayMs(from.index, zoneOf(node));
            boolean silent = isSilent(from.index, node);
            if (connection.newlyOpened && silent) {
                failLater(
                        from,
                        request,
                        number,
                        connection,
                        Outcome.CONNECT_FAILED,
                        Math.min(CONNECT_TIMEOUT_MS, waitMs));
                return;
            }
            if (!world.isAlive(node) && !silent) {
                failLater(
                        from,
                        request,
                        number,
                        connection,
                        connection.newlyOpened ? Outcome.CONNECT_FAILED : Outcome.RESET,
                        2 * delayMs);
                return;
            }
            if (connection.newlyOpened) {
                if (random.nextDouble() < resetShareByNode.getOrDefault(node, 0.0)) {
                    failLater(
                            from, request, number, connection, Outcome.CONNECT_FAILED, 2 * delayMs);
                    return;
                }
                world.handshake(eventQueue.now(), node, worldEffects);
            }
            PlannedRequest plannedRequest = requestsByTry.get(request);
            Experiment.Class requestClass = clientBehavior.classOf(plannedRequest);
            World.Job job =
                    new World.Job(
                            request,
                            plannedRequest.key(),
                            requestClass.write(),
                            plannedRequest.workMs());
            boolean origin = node.equals(plan.origin().id());
            // Both byte times are the time of sending: on sockets the request's bytes reach the
            // machine at once and wait there for the link delay.
            Attempt attempt =
                    new Attempt(
                            ++attemptCount,
                            request,
                            node,
                            origin,
                            from.index,
                            eventQueue.now(),
                            eventQueue.now(),
                            silent ? 0 : world.workMsOf(eventQueue.now(), node, job),
                            silent ? 0 : job.workMs());
            attempt.atWarmingNode = !origin && world.isWarmingUp(node, eventQueue.now());
            ledger.attempt(attempt);
            InFlightAttempt pending =
                    new InFlightAttempt(from, request, number, node, attempt, delayMs, connection);
            inFlightByTry.put(request, pending);
            if (silent) {
                // The attempt never arrives, which the proxy cannot detect.
                return;
            }
            inFlightByNumber.put(attempt.number, pending);
            eventQueue.scheduleIn(
                    connection.newlyOpened ? 3 * delayMs : delayMs,
                    () -> {
                        if (inFlightByNumber.get(attempt.number) != pending
                                || isSilent(from.index, node)) {
                            return;
                        }
                        if (connection.overLimit) {
                            handleAnswer(attempt.number, World.rejected());
                        } else {
                            world.request(
                                    eventQueue.now(),
                                    node,
                                    attempt.number,
                                    from.index,
                                    job,
                                    worldEffects);
                        }
                    });
        }

        /** Ends an attempt that does not reach its machine, after a delay. */
        private void failLater(
                VirtualProxy from,
                String request,
                int number,
                VirtualConnectionPool.PooledConnection connection,
                Outcome outcome,
                double afterMs) {
            eventQueue.scheduleIn(
                    afterMs,
                    () -> {
                        pool.close(connection);
                        from.attemptEnded(request, number, outcome, 0, 0);
                    });
        }

        @Override
        public void probe(VirtualProxy from, String node) {
            boolean silent = isSilent(from.index, node);
            boolean alive = world.isAlive(node);
            double elapsedMs =
                    silent ? PROBE_TIMEOUT_MS : 2 * plan.delayMs(from.index, zoneOf(node));
            eventQueue.scheduleIn(
                    elapsedMs,
                    () ->
                            from.probeCompleted(
                                    node,
                                    silent
                                            ? Outcome.TIMEOUT
                                            : alive ? Outcome.OK : Outcome.CONNECT_FAILED,
                                    elapsedMs));
        }

        @Override
        public void outcomeObserved(
                VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe) {
            gossip.outcomeObserved(from, node, outcome, elapsedMs, probe);
        }

        @Override
        public void abandon(VirtualProxy from, String request, int number) {
            InFlightAttempt pending = inFlightByTry.get(request);
            if (pending != null && pending.number == number) {
                pending.attempt.closedAt = eventQueue.now();
                pending.ended = true;
                pool.close(pending.connection);
                inFlightByTry.remove(request);
                world.requestAbandoned(request);
            }
        }
    }

    private void removeInFlight(InFlightAttempt pending) {
        inFlightByNumber.remove(pending.attempt.number);
    }

    private void endAttempt(
            InFlightAttempt pending, Outcome outcome, int cacheStatus, long bodyAttempt) {
        if (!pending.ended) {
            pending.ended = true;
            // Only a complete answer leaves the connection usable, and has then released it.
            pool.close(pending.connection);
            inFlightByTry.remove(pending.request, pending);
            pending.attempt.closedAt =
                    Math.min(
                            pending.attempt.closedAt,
                            outcome == Outcome.RESET || outcome == Outcome.ERROR
                                    ? eventQueue.now()
                                    : Double.POSITIVE_INFINITY);
            pending.proxy.attemptEnded(
                    pending.request, pending.number, outcome, cacheStatus, bodyAttempt);
        }
    }

    private void handleAnswer(long number, Answer answer) {
        InFlightAttempt pending = inFlightByNumber.get(number);
        if (pending == null) {
            return;
        }
        removeInFlight(pending);
        pending.attempt.executed = answer.executed();
        pending.attempt.verdict = Verdict.of(answer);
        eventQueue.scheduleIn(
                pending.delayMs,
                () -> {
                    if (isSilent(pending.proxy.index, pending.node) || pending.proxy.isDead()) {
                        return;
                    }
                    Outcome outcome =
                            switch (answer.completion()) {
                                case COMPLETE ->
                                        pending.connection.overLimit
                                                ? Outcome.CONNECT_FAILED
                                                : answer.rejected()
                                                        ? Outcome.REJECTED
                                                        : answer.status() == NOT_FOUND
                                                                ? Outcome.MISS
                                                                : answer.status() == OK
                                                                        ? Outcome.OK
                                                                        : Outcome.ERROR;
                                case TRUNCATED, RESET -> Outcome.RESET;
                                case MALFORMED -> Outcome.ERROR;
                                case NEVER -> null;
                            };
                    if (outcome == null || pending.ended) {
                        return;
                    }
                    if (answer.completion() == World.AnswerCompletion.COMPLETE) {
                        pending.attempt.answeredAt = eventQueue.now();
                        if (pending.connection.overLimit) {
                            pool.rejected(pending.connection);
                        } else {
                            pool.release(pending.connection);
                        }
                    } else {
                        pending.attempt.closedAt = eventQueue.now();
                    }
                    endAttempt(
                            pending,
                            outcome,
                            answer.cacheStatus().equals("hit")
                                    ? 1
                                    : answer.cacheStatus().equals("miss") ? 2 : 0,
                            number);
                });
    }

    // Faults.

    private void startFault(Fault fault) {
        mark(fault.label());
        if (faultInjector.begin(fault, eventQueue.now())) {
            if (fault.forS() > 0) {
                eventQueue.scheduleAt(
                        fault.endMs(), () -> faultInjector.end(fault, eventQueue.now()));
            }
            return;
        }
        switch (fault.kind()) {
            case NODE_SILENT ->
                    faultInjector
                            .affectedNodes(fault)
                            .forEach(
                                    id -> {
                                        world.stall(
                                                eventQueue.now(), id, fault.endMs(), worldEffects);
                                        silentUntil.put(id, fault.endMs());
                                        eventQueue.scheduleAt(
                                                fault.endMs(),
                                                () ->
                                                        resetMatching(
                                                                pending ->
                                                                        pending.node.equals(id)));
                                    });
            case NODE_MAINTENANCE ->
                    faultInjector.affectedNodes(fault).forEach(id -> startMaintenance(id, fault));
            case ZONE_CUT -> {
                int zone = plan.zones().indexOf(fault.target());
                zoneCutUntil[zone] = Math.max(zoneCutUntil[zone], fault.endMs());
                eventQueue.scheduleAt(
                        fault.endMs(),
                        () ->
                                resetMatching(
                                        pending ->
                                                plan.proxyZones().get(pending.proxy.index)
                                                        == zone
                                                        != (zoneOf(pending.node) == zone)));
            }
            case RESET_BEFORE ->
                    faultInjector
                            .affectedNodes(fault)
                            .forEach(
                                    id -> {
                                        resetShareByNode.put(id, fault.share());
                                        eventQueue.scheduleAt(
                                                fault.endMs(), () -> resetShareByNode.remove(id));
                                    });
            case DISCOVERY_SILENT ->
                    forEachTarget(
                            fault,
                            i -> {
                                world.blockListUpdates(i, fault.endMs());
                                listBlockedUntil[i] = Math.max(listBlockedUntil[i], fault.endMs());
                            });
            case PROXY_KILL -> forEachTarget(fault, i -> killProxy(i, fault));
            case PROXY_TERM ->
                    forEachTarget(
                            fault,
                            i -> {
                                eventQueue.scheduleIn(
                                        LOAD_BALANCER_DELAY_MS,
                                        () -> loadBalancer.setInService(i, false));
                                double longest = experiment.load().longestDeadlineMs();
                                eventQueue.scheduleIn(
                                        LOAD_BALANCER_DELAY_MS + longest + SETTLING_TIME_MS,
                                        () -> killProxy(i, fault));
                            });
            case PROXY_STOP ->
                    forEachTarget(
                            fault,
                            i -> {
                                ledger.excuse(
                                        new Ledger.ExcusedInterval(
                                                i,
                                                eventQueue.now(),
                                                fault.endMs() + SETTLING_TIME_MS,
                                                "SIGSTOP"));
                                pauseProxy(i, fault.endMs());
                            });
            case PROXY_STARVED ->
                    forEachTarget(
                            fault,
                            i -> {
                                ledger.excuse(
                                        new Ledger.ExcusedInterval(
                                                i,
                                                eventQueue.now(),
                                                fault.endMs() + SETTLING_TIME_MS,
                                                "starved"));
                                starveProxy(i, fault);
                            });
            case MACHINE_BUSY -> mark("a busy machine is not simulated in virtual time");
            case PROXY_BLIND -> forEachTarget(fault, i -> blindUntil[i] = fault.endMs());
            case GOSSIP_CUT, GOSSIP_SPLIT, GOSSIP_LOSS, GOSSIP_DEAF, GOSSIP_MUTE, GOSSIP_ONEWAY -> {
                gossip.startFault(fault);
                policy.startFault(fault);
            }
            case POLICY_PROPOSE -> policy.startFault(fault);
            case LEADER_KILL -> {
                int leader = policy.leader();
                mark("the leader is " + (leader < 0 ? "nobody" : "proxy-" + leader));
                if (leader >= 0) {
                    killProxy(leader, fault);
                }
            }
            case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS, PROXY_CLOCK -> gossip.startFault(fault);
            case PROXY_HUP -> mark("proxy-hup has no effect in virtual time");
            case HOSTILE -> mark("hostile peers are not simulated in virtual time");
            default ->
                    throw new IllegalStateException(
                            "fault not supported in virtual time: " + fault.kind());
        }
    }

    /**
     * Returns the matching attempts in flight in the order in which they were sent: the iteration
     * order of the hash map could differ from run to run.
     */
    private List<InFlightAttempt> inFlightMatching(
            java.util.function.Predicate<InFlightAttempt> filter) {
        return inFlightByNumber.values().stream()
                .filter(filter)
                .sorted(Comparator.comparingLong(o -> o.attempt.number))
                .toList();
    }

    /** Resets the connections from before a cut when the link works again. */
    private void resetMatching(java.util.function.Predicate<InFlightAttempt> filter) {
        for (InFlightAttempt pending : inFlightMatching(filter)) {
            removeInFlight(pending);
            endAttempt(pending, Outcome.RESET, 0, 0);
        }
    }

    private void forEachTarget(Fault fault, java.util.function.IntConsumer action) {
        for (int i = 0; i < proxies.size(); i++) {
            if (fault.affects("proxy-", i, proxies.size())) {
                action.accept(i);
            }
        }
    }

    /**
     * Starts a node's maintenance. The node is down for the middle half of it, so that its cache is
     * cold when it may serve again.
     */
    private void startMaintenance(String node, Fault fault) {
        Fault restart =
                new Fault(
                        Fault.Kind.NODE_RESTART,
                        fault.atS() + fault.forS() / 4,
                        fault.forS() / 2,
                        node,
                        0,
                        0,
                        0);
        inMaintenance.add(node);
        proxies.forEach(p -> p.setMaintenance(node, true));
        eventQueue.scheduleAt(restart.atMs(), () -> faultInjector.begin(restart, eventQueue.now()));
        eventQueue.scheduleAt(restart.endMs(), () -> faultInjector.end(restart, eventQueue.now()));
        eventQueue.scheduleAt(
                fault.endMs(),
                () -> {
                    inMaintenance.remove(node);
                    proxies.forEach(p -> p.setMaintenance(node, false));
                });
    }

    private void pauseProxy(int index, double until) {
        proxies.get(index).pause(until);
        gossip.pause(index, until);
        policy.pause(index, until);
    }

    private void starveProxy(int index, Fault fault) {
        if (fault.isActiveAt(eventQueue.now())) {
            pauseProxy(index, eventQueue.now() + fault.share() * Fault.STARVATION_PERIOD_MS);
            eventQueue.scheduleIn(Fault.STARVATION_PERIOD_MS, () -> starveProxy(index, fault));
        }
    }

    private void killProxy(int index, Fault fault) {
        VirtualProxy old = proxies.get(index);
        if (old.isDead()) {
            // A restart is already scheduled; a second one would replace the first.
            return;
        }
        if (old.unansweredCount() > 0) {
            ledger.excuse(
                    new Ledger.ExcusedInterval(
                            index, eventQueue.now(), eventQueue.now(), "process ended"));
        }
        old.kill();
        hasEndpointList[index] = false;
        pool.proxyEnded(index);
        gossip.proxyEnded(index);
        policy.proxyEnded(index);
        eventQueue.scheduleIn(
                experiment.proxies().noticeS() * MS_PER_S,
                () -> {
                    if (proxies.get(index).isDead()) {
                        loadBalancer.setInService(index, false);
                    }
                });
        eventQueue.scheduleIn(
                fault.forS() * MS_PER_S + STARTUP_MS,
                () -> {
                    proxies.set(index, startProxy(index));
                    requestEndpointList(index, proxies.get(index));
                    loadBalancer.setInService(index, true);
                    mark("proxy-" + index + " is ready again");
                });
    }

    private Results buildResults() {
        List<RequestRecord> completed =
                java.util.Arrays.stream(records).filter(java.util.Objects::nonNull).toList();
        if (completed.size() < records.length) {
            violations.add(
                    new Violation(
                            Rule.GENERATOR,
                            "load",
                            eventQueue.now(),
                            records.length - completed.size() + " requests have no final outcome"));
        }
        List<VirtualProxy> alive = proxies.stream().filter(p -> !p.isDead()).toList();
        alive.stream()
                .filter(p -> p.unansweredCount() > 0)
                .forEach(
                        p ->
                                violations.add(
                                        new Violation(
                                                Rule.ONE_ANSWER,
                                                "proxy-" + p.index,
                                                eventQueue.now(),
                                                p.unansweredCount()
                                                        + " requests have not been answered")));
        Map<String, Double> proxyFigures =
                new TreeMap<>(
                        Map.of(
                                "proxy.table_max",
                                (double) maxActiveRequests,
                                "proxy.entries_left",
                                alive.stream()
                                        .mapToDouble(VirtualProxy::routerEntryCount)
                                        .max()
                                        .orElse(0),
                                "proxy.backstops",
                                proxies.stream().mapToDouble(VirtualProxy::backstopCount).sum(),
                                "proxy.timers_left",
                                alive.stream()
                                        .mapToDouble(VirtualProxy::pendingTimerCount)
                                        .max()
                                        .orElse(0),
                                "machines.connections_opened",
                                (double) pool.openedCount(),
                                "machines.connections_open_max",
                                plan.nodes().stream()
                                        .mapToDouble(n -> pool.maxOpenCount(n.id()))
                                        .max()
                                        .orElse(0),
                                "origin.connections_open_max",
                                (double) pool.maxOpenCount(plan.origin().id()),
                                "machines.connections_turned_away",
                                (double) pool.rejected()));
        proxyFigures.putAll(gossip.figures(alive, ledger));
        proxyFigures.putAll(policy.figures());
        violations.addAll(policy.violations());
        return new CompletedRun(
                        experiment,
                        "virtual",
                        plan,
                        loadPlan,
                        ledger,
                        completed,
                        maxControlLevels,
                        marks,
                        violations)
                .evaluate(proxyFigures);
    }
}
