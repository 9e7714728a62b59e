package cacheproxy.lab.sockets;

import cacheproxy.Router;
import cacheproxy.lab.CachePrefiller;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinkFaults;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.MembershipLedger;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.RequestRecord;
import cacheproxy.lab.report.CompletedRun;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.world.FaultInjector;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.lab.world.World.Answer;
import cacheproxy.lab.world.World.Entry;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * One experiment on sockets: starts all servers and proxies, generates the load, injects the
 * faults, stops everything and evaluates the results.
 */
public final class SocketRun {

    /**
     * The progress of a run, reported several times per second. {@code ended}, {@code served},
     * {@code refused} and {@code failed} count requests.
     */
    public record Progress(
            double elapsedS,
            double durationS,
            int ended,
            int served,
            int refused,
            int failed,
            double servedWeightShare,
            int controlLevel) {}

    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final double IDLE_TIMEOUT_MS = 10_000;
    private static final double CONNECT_TIMEOUT_MS = 100;
    private static final double START_DELAY_MS = 300;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 100;
    private static final int WORLD_TICK_MS = 1;
    private static final double MS_PER_S = 1000;

    /** Time after the last deadline during which late responses are still observed. */
    private static final double SETTLING_TIME_MS = 500;

    /** Time from SIGTERM to SIGKILL, in addition to the longest deadline. */
    private static final double TERM_GRACE_MS = 700;

    /** Upper limit of the deadline that is waited for between SIGTERM and SIGKILL. */
    private static final double MAX_TERM_DEADLINE_MS = 3000;

    /** Time after SIGTERM during which the load balancer still sends requests to the proxy. */
    private static final double LOAD_BALANCER_DELAY_MS = 300;

    /** Time within which a proxy has to answer or disconnect a hostile client. */
    private static final double HOSTILE_TIMEOUT_MS = 3000;

    /** Prefix of the names of gossip events in a log. */
    private static final String GOSSIP_EVENT_PREFIX = "gossip_";

    private final Experiment experiment;
    private final Path directory;
    private final Path root;
    private final String runCommand;
    private final RunClock clock = new RunClock();
    private final Ledger ledger = new Ledger();
    private final MembershipLedger membership;
    private final Installation installation;
    private final LoadPlan loadPlan;
    private final World world;
    private final MultiThreadIoEventLoopGroup worldGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup clientGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScheduledExecutorService faultExecutor = Executors.newScheduledThreadPool(8);
    private final EventLoop worldLoop = worldGroup.next();
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final List<DiscoveryServer> discoveryServers = new ArrayList<>();
    private final List<Mark> marks = Collections.synchronizedList(new ArrayList<>());
    private final List<Violation> violations = Collections.synchronizedList(new ArrayList<>());

    /** Figures that are not computed from the ledger, by their name in the results. */
    private final Map<String, Double> extraFigures = new HashMap<>();

    private final int[] maxControlLevels;
    private final Set<Integer> restartingProxies = ConcurrentHashMap.newKeySet();
    private UpstreamServers upstreamServers;
    private Clients clients;
    private HostileClients hostileClients;
    private final PeerLinkFaults linkFaults;

    /** Null if gossip is disabled. */
    private PacketRelay packetRelay;

    private final SocketPolicy policy;
    private final World.Effects worldEffects = new SocketWorldEffects();
    private final FaultInjector faultInjector;

    /**
     * Prepares a run.
     *
     * @param directory directory for the logs and configurations of the proxies
     * @param root working directory of the proxies
     * @param runCommand shell command that starts a proxy
     */
    public SocketRun(Experiment experiment, Path directory, Path root, String runCommand) {
        this.experiment = experiment;
        this.directory = directory.toAbsolutePath();
        this.root = root;
        this.runCommand = runCommand;
        this.membership = new MembershipLedger(experiment);
        this.installation = ScenarioGenerator.installation(experiment);
        this.loadPlan = LoadPlan.of(experiment);
        this.maxControlLevels = new int[(int) Math.ceil(experiment.durationS())];
        this.world =
                new World(
                        installation,
                        ScenarioGenerator.limits(experiment, loadPlan.meanReadMs()),
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.WORLD));
        this.faultInjector = new FaultInjector(world, worldEffects, installation, ledger);
        this.linkFaults =
                new PeerLinkFaults(
                        experiment.proxies().count(),
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.GOSSIP));
        this.policy =
                new SocketPolicy(experiment, clock, linkFaults, this.directory, clientGroup.next());
    }

    /** Carries out the effects of the simulated installation on the servers. */
    private final class SocketWorldEffects implements World.Effects {
        @Override
        public void answer(long attempt, Answer answer) {
            upstreamServers.sendAnswer(attempt, answer);
        }

        @Override
        public void deliverEndpointList(int proxy, long version, List<Entry> entries) {
            discoveryServers.get(proxy).publish(version, entries);
        }

        @Override
        public void machineDied(String machine) {
            upstreamServers.closeListeners(machine);
            ledger.changed(machine, World.Health.REMOVED, -1, clock.now());
        }

        @Override
        public void machineStarted(String machine) {
            upstreamServers.reopenListeners(machine);
            ledger.changed(machine, World.Health.UP, clock.now(), clock.now());
        }

        @Override
        public void originStopped() {
            ledger.originStopped(clock.now());
        }

        @Override
        public void reportEvent(String text) {
            mark(text);
        }
    }

    private void mark(String text) {
        marks.add(new Mark(Math.round(clock.now()) / MS_PER_S, text));
    }

    /**
     * Runs the experiment and returns its results. All processes and threads that it started are
     * stopped, also after a failure.
     */
    public Results run(Consumer<Progress> progress) throws IOException, InterruptedException {
        Files.createDirectories(directory);
        Thread shutdownHook = new Thread(this::shutDown, "lab-end");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            openServers();
            startProxies();
            startLoad();
            monitor(progress);
            return buildResults();
        } finally {
            shutDown();
            try {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
            } catch (IllegalStateException e) {
                // The JVM is shutting down: the hook runs anyway.
                Thread.currentThread().interrupt();
            }
        }
    }

    private void shutDown() {
        faultExecutor.shutdownNow();
        proxies.forEach(ProxyProcess::destroy);
        worldGroup
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(2, TimeUnit.SECONDS);
        clientGroup
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private void openServers() throws IOException, InterruptedException {
        boolean[] isWriteClass = new boolean[experiment.load().classes().size()];
        for (int i = 0; i < isWriteClass.length; i++) {
            isWriteClass[i] = experiment.load().classes().get(i).write();
        }
        // Loopback addresses derived from the process id keep runs apart, so that another run
        // cannot take a port of this one.
        long pid = ProcessHandle.current().pid();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < experiment.proxies().count(); i++) {
            InetAddress listenAddress =
                    InetAddress.getByAddress(
                            new byte[] {
                                127,
                                (byte) (64 + pid % 64),
                                (byte) RUNS.incrementAndGet(),
                                (byte) (10 + i)
                            });
            proxies.add(
                    new ProxyProcess(
                            "proxy-" + i,
                            listenAddress,
                            directory,
                            root,
                            experiment.gossip().enabled()
                                    ? SocketGossip.commandWithOptions(runCommand, directory, i)
                                    : runCommand));
            addresses.add(proxies.get(i).address);
            int proxy = i;
            proxies.get(i)
                    .setEventListener(
                            (event, subject, evidence) -> {
                                policy.recordLogEvent(proxy, event, subject, evidence);
                                if (event.startsWith(GOSSIP_EVENT_PREFIX)) {
                                    membership.recordEvent(
                                            proxy,
                                            event.substring(GOSSIP_EVENT_PREFIX.length()),
                                            subject,
                                            evidence,
                                            clock.now());
                                }
                            });
        }
        if (experiment.gossip().enabled()) {
            packetRelay = new PacketRelay(clientGroup.next(), clock, linkFaults, addresses);
            packetRelay.open();
            policy.open(addresses);
            SocketGossip.writeFiles(directory, experiment, addresses, packetRelay, policy);
        }
        clients =
                new Clients(
                        clientGroup.next(),
                        clock,
                        experiment,
                        loadPlan,
                        ledger,
                        addresses,
                        installation.proxyZones());
        upstreamServers =
                new UpstreamServers(
                        worldLoop,
                        clock,
                        installation,
                        world,
                        worldEffects,
                        ledger,
                        clients,
                        isWriteClass,
                        IDLE_TIMEOUT_MS,
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.CLIENTS));
        upstreamServers.open();
        for (int i = 0; i < proxies.size(); i++) {
            discoveryServers.add(
                    new DiscoveryServer(
                            worldLoop, clock, installation, i, upstreamServers, ledger, world));
            discoveryServers.get(i).open();
        }
        hostileClients =
                new HostileClients(
                        clientGroup.next(),
                        clock,
                        addresses,
                        ScenarioGenerator.randomGenerator(
                                experiment.seed(), ScenarioGenerator.RandomStream.HOSTILE));
        CachePrefiller.prefill(
                world,
                experiment,
                installation,
                ProxySettings.read(
                        experiment, installation, 0, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS));
    }

    private void startProxies() throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < proxies.size(); i++) {
            proxies.get(i).writeConfig(proxyConfig(i));
            proxies.get(i).start(discoveryServers.get(i).address());
        }
        double slowestReadyMs = 0;
        for (int i = 0; i < proxies.size(); i++) {
            if (!proxies.get(i).awaitReady(READY_TIMEOUT_MS)) {
                throw new IOException(
                        "proxy-"
                                + i
                                + " is not ready after "
                                + READY_TIMEOUT_MS / MS_PER_S
                                + " s; see "
                                + directory.resolve(proxies.get(i).name + ".log"));
            }
            slowestReadyMs = Math.max(slowestReadyMs, (System.nanoTime() - startNanos) / 1e6);
            clients.setInService(i, true);
        }
        double startCpuS = 0;
        for (ProxyProcess proxy : proxies) {
            ProxyProcess.Usage usage = proxy.readUsage();
            startCpuS += usage == null ? 0 : usage.cpuS();
        }
        extraFigures.put("proxy.start_cpu_s", startCpuS);
        extraFigures.put("proxy.ready_ms_max", slowestReadyMs);
        extraFigures.put(
                "discovery.list_bytes",
                worldLoop
                        .submit(
                                (Callable<Double>)
                                        () ->
                                                (double)
                                                        discoveryServers
                                                                .get(0)
                                                                .snapshot()
                                                                .toString()
                                                                .length())
                        .sync()
                        .getNow());
        clients.warmUp();
    }

    private void startLoad() {
        clock.startIn(START_DELAY_MS);
        worldLoop.scheduleAtFixedRate(
                () -> {
                    if (clock.now() >= 0) {
                        world.advance(clock.now(), worldEffects);
                    }
                },
                WORLD_TICK_MS,
                WORLD_TICK_MS,
                TimeUnit.MILLISECONDS);
        for (Fault fault : experiment.faults()) {
            if (!fault.kind().changesLoad()) {
                faultExecutor.schedule(
                        () -> runFault(fault),
                        clock.nanosUntil(fault.atMs()),
                        TimeUnit.NANOSECONDS);
            }
        }
        clients.start();
    }

    private void runFault(Fault fault) {
        try {
            mark(fault.label());
            new FaultExecution(fault).inject();
        } catch (IOException | ExecutionException e) {
            mark("fault injection failed: " + e);
            violations.add(
                    new Violation(
                            Rule.CRASH,
                            fault.label(),
                            clock.now(),
                            "the testbed could not inject the fault: " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Injects one fault, and ends it after its duration. */
    private final class FaultExecution {
        private final Fault fault;

        FaultExecution(Fault fault) {
            this.fault = fault;
        }

        void inject() throws IOException, InterruptedException, ExecutionException {
            switch (fault.kind()) {
                case NODE_SILENT ->
                        applyToTargetNodes(
                                id -> {
                                    world.stall(clock.now(), id, fault.endMs(), worldEffects);
                                    upstreamServers.setSilent(id, true);
                                },
                                id -> upstreamServers.setSilent(id, false));
                case RESET_BEFORE ->
                        applyToTargetNodes(
                                id -> upstreamServers.setResetShare(id, fault.share()),
                                id -> upstreamServers.setResetShare(id, 0));
                case ZONE_CUT -> {
                    int zone = installation.zones().indexOf(fault.target());
                    onWorldLoop(() -> upstreamServers.setZoneCut(zone, true));
                    scheduleEnd(() -> upstreamServers.setZoneCut(zone, false));
                }
                case DISCOVERY_SILENT -> {
                    onWorldLoop(
                            () ->
                                    forEachTargetProxy(
                                            i -> {
                                                world.blockListUpdates(i, fault.endMs());
                                                discoveryServers.get(i).setSilent(true);
                                            }));
                    scheduleEnd(
                            () ->
                                    forEachTargetProxy(
                                            i -> discoveryServers.get(i).setSilent(false)));
                }
                case HOSTILE -> hostileClients.start(fault.factor(), fault.endMs());
                case PROXY_TERM -> runForEachTargetProxy(this::terminateProxy);
                case PROXY_KILL -> runForEachTargetProxy(this::killProxy);
                case PROXY_HUP -> runForEachTargetProxy(this::reloadProxy);
                case PROXY_STOP -> runForEachTargetProxy(this::pauseProxy);
                case PROXY_STARVED -> runForEachTargetProxy(this::starveProxy);
                case MACHINE_BUSY -> loadCpu();
                case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS -> startFalseReports();
                case GOSSIP_CUT,
                        GOSSIP_SPLIT,
                        GOSSIP_LOSS,
                        GOSSIP_DEAF,
                        GOSSIP_MUTE,
                        GOSSIP_ONEWAY -> {
                    clientGroup.next().execute(() -> linkFaults.begin(fault));
                    faultExecutor.schedule(
                            policy::linksRestored,
                            clock.nanosUntil(fault.endMs() + POLL_INTERVAL_MS),
                            TimeUnit.NANOSECONDS);
                }
                case POLICY_PROPOSE ->
                        runForEachTargetProxy(
                                i -> mark("proxy-" + i + " proposed: " + policy.propose(i)));
                case LEADER_KILL -> {
                    int leader = policy.leader();
                    mark("the leader is " + (leader < 0 ? "nobody" : "proxy-" + leader));
                    if (leader >= 0) {
                        faultExecutor.execute(() -> killProxy(leader));
                    }
                }
                case PROXY_BLIND -> {
                    onWorldLoop(
                            () -> forEachTargetProxy(i -> upstreamServers.setProxyCut(i, true)));
                    scheduleEnd(
                            () -> forEachTargetProxy(i -> upstreamServers.setProxyCut(i, false)));
                }
                case PROXY_CLOCK, NODE_MAINTENANCE ->
                        mark(fault.kind().configName() + " is not supported on sockets");
                default -> {
                    onWorldLoop(() -> faultInjector.begin(fault, clock.now()));
                    if (fault.forS() > 0) {
                        scheduleEnd(() -> faultInjector.end(fault, clock.now()));
                    }
                }
            }
        }

        private void startFalseReports()
                throws IOException, InterruptedException, ExecutionException {
            if (!experiment.gossip().enabled()) {
                return;
            }
            List<Router.Node> nodes =
                    worldLoop.submit((Callable<List<Entry>>) world::currentEndpoints).get().stream()
                            .filter(e -> !e.id().equals(installation.origin().id()))
                            .map(e -> ProxySettings.node(installation, e))
                            .toList();
            Runnable stopReports =
                    SocketGossip.startFalseReporter(
                            clientGroup.next(),
                            directory,
                            experiment,
                            packetRelay,
                            nodes,
                            fault::accusesAt);
            scheduleEnd(stopReports);
        }

        private void onWorldLoop(Runnable action) {
            worldLoop.execute(action);
        }

        private void scheduleEnd(Runnable action) {
            worldLoop.schedule(
                    () -> {
                        mark("end of " + fault.label());
                        action.run();
                    },
                    clock.nanosUntil(fault.endMs()),
                    TimeUnit.NANOSECONDS);
        }

        private void forEachTargetNode(Consumer<String> action) {
            onWorldLoop(() -> faultInjector.affectedNodes(fault).forEach(action));
        }

        private void applyToTargetNodes(Consumer<String> begin, Consumer<String> end) {
            forEachTargetNode(begin);
            scheduleEnd(() -> faultInjector.affectedNodes(fault).forEach(end));
        }

        private void forEachTargetProxy(Consumer<Integer> action) {
            for (int i = 0; i < discoveryServers.size(); i++) {
                if (fault.affects("proxy-", i, discoveryServers.size())) {
                    action.accept(i);
                }
            }
        }

        private void runForEachTargetProxy(Consumer<Integer> action) {
            forEachTargetProxy(i -> faultExecutor.execute(() -> action.accept(i)));
        }

        private void proxyEnded(int proxy) {
            membership.processEnded(proxy, clock.now());
            policy.processEnded(proxy);
        }

        private void terminateProxy(int proxy) {
            runReportingFailure(
                    () -> {
                        proxies.get(proxy).sendSignal("TERM");
                        faultExecutor.schedule(
                                () -> clients.setInService(proxy, false),
                                (long) LOAD_BALANCER_DELAY_MS,
                                TimeUnit.MILLISECONDS);
                        double longestMs = experiment.load().longestDeadlineMs();
                        if (!proxies.get(proxy)
                                .awaitExit(
                                        (long)
                                                (TERM_GRACE_MS
                                                        + Math.min(MAX_TERM_DEADLINE_MS, longestMs)
                                                        + SETTLING_TIME_MS))) {
                            violations.add(
                                    new Violation(
                                            Rule.CRASH,
                                            "proxy-" + proxy,
                                            clock.now(),
                                            "the proxy had not exited when SIGKILL was due"));
                            proxies.get(proxy).sendSignal("KILL");
                            ledger.excuse(
                                    new Ledger.ExcusedInterval(
                                            proxy, clock.now(), clock.now(), "SIGKILL"));
                        }
                        proxies.get(proxy).destroy();
                        proxyEnded(proxy);
                        clients.setInService(proxy, false);
                        restartProxy(proxy);
                        return null;
                    });
        }

        private void killProxy(int proxy) {
            if (!restartingProxies.add(proxy)) {
                // The proxy is already being restarted. A second start would fail, as its
                // address is already in use.
                return;
            }
            runReportingFailure(
                    () -> {
                        ledger.excuse(
                                new Ledger.ExcusedInterval(
                                        proxy,
                                        clock.now(),
                                        clock.now() + experiment.proxies().noticeS() * MS_PER_S,
                                        "SIGKILL"));
                        proxies.get(proxy).sendSignal("KILL");
                        proxyEnded(proxy);
                        faultExecutor.schedule(
                                () -> clients.setInService(proxy, false),
                                (long) (experiment.proxies().noticeS() * MS_PER_S),
                                TimeUnit.MILLISECONDS);
                        proxies.get(proxy).awaitExit(READY_TIMEOUT_MS);
                        restartProxy(proxy);
                        return null;
                    });
        }

        private void restartProxy(int proxy)
                throws IOException, InterruptedException, ExecutionException {
            Thread.sleep(
                    TimeUnit.NANOSECONDS.toMillis(
                            clock.nanosUntil(clock.now() + fault.forS() * MS_PER_S)));
            proxies.get(proxy)
                    .writeConfig(
                            worldLoop
                                    .submit((Callable<JsonObject>) () -> proxyConfig(proxy))
                                    .get());
            membership.processStarted(proxy, clock.now());
            policy.processStarted(proxy);
            restartingProxies.remove(proxy);
            proxies.get(proxy).start(discoveryServers.get(proxy).address());
            double startedAt = clock.now();
            if (proxies.get(proxy).awaitReady(READY_TIMEOUT_MS)) {
                clients.setInService(proxy, true);
                policy.faultEnded(proxy);
                mark(
                        "proxy-"
                                + proxy
                                + " is ready again after "
                                + Math.round(clock.now() - startedAt)
                                + " ms");
                synchronized (extraFigures) {
                    extraFigures.merge(
                            "proxy.ready_again_ms_max", clock.now() - startedAt, Math::max);
                }
            } else {
                violations.add(
                        new Violation(
                                Rule.CRASH,
                                "proxy-" + proxy,
                                clock.now(),
                                "the proxy did not become ready after its restart"));
            }
        }

        private void reloadProxy(int proxy) {
            runReportingFailure(
                    () -> {
                        String address = discoveryServers.get(proxy).changeAddress();
                        JsonObject config =
                                worldLoop
                                        .submit((Callable<JsonObject>) () -> proxyConfig(proxy))
                                        .get();
                        config.addProperty("discovery", address);
                        proxies.get(proxy).writeConfig(config);
                        proxies.get(proxy).sendSignal("HUP");
                        return null;
                    });
        }

        private void pauseProxy(int proxy) {
            runReportingFailure(
                    () -> {
                        double until = clock.now() + fault.forS() * MS_PER_S;
                        ledger.excuse(
                                new Ledger.ExcusedInterval(
                                        proxy, clock.now(), until + SETTLING_TIME_MS, "SIGSTOP"));
                        policy.processPaused(proxy, until);
                        proxies.get(proxy).sendSignal("STOP");
                        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(clock.nanosUntil(until)));
                        proxies.get(proxy).sendSignal("CONT");
                        policy.faultEnded(proxy);
                        return null;
                    });
        }

        private void starveProxy(int proxy) {
            runReportingFailure(
                    () -> {
                        ledger.excuse(
                                new Ledger.ExcusedInterval(
                                        proxy,
                                        clock.now(),
                                        fault.endMs() + SETTLING_TIME_MS,
                                        "starved"));
                        long pauseMs = (long) (fault.share() * Fault.STARVATION_PERIOD_MS);
                        for (double periodStart = clock.now();
                                periodStart < fault.endMs();
                                periodStart += Fault.STARVATION_PERIOD_MS) {
                            proxies.get(proxy).sendSignal("STOP");
                            Thread.sleep(pauseMs);
                            proxies.get(proxy).sendSignal("CONT");
                            Thread.sleep(
                                    Math.max(
                                            0,
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    clock.nanosUntil(
                                                            periodStart
                                                                    + Fault
                                                                            .STARVATION_PERIOD_MS))));
                        }
                        return null;
                    });
        }

        private void loadCpu() {
            for (int i = 0; i < fault.factor(); i++) {
                Thread burner =
                        new Thread(
                                () -> {
                                    while (clock.now() < fault.endMs()
                                            && !faultExecutor.isShutdown()) {
                                        Thread.onSpinWait();
                                    }
                                },
                                "busy-" + i);
                burner.setDaemon(true);
                burner.start();
            }
        }

        private void runReportingFailure(Callable<Void> action) {
            try {
                action.call();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                violations.add(
                        new Violation(
                                Rule.CRASH,
                                fault.label(),
                                clock.now(),
                                "the testbed could not inject the fault: " + e));
            }
        }
    }

    /**
     * Samples the proxies until the last request and the last hostile client should have ended.
     * Returns early if a proxy exits unexpectedly.
     */
    private void monitor(Consumer<Progress> progress) throws InterruptedException {
        double endMs = endMs();
        UsageTotals usageTotals = new UsageTotals(proxies.size());
        while (clock.now() < endMs) {
            int level = 0;
            for (int i = 0; i < proxies.size(); i++) {
                ProxyProcess proxy = proxies.get(i);
                level = Math.max(level, proxy.controlLevel());
                ProxyProcess.Usage usage = proxy.readUsage();
                if (usage != null) {
                    usageTotals.add(i, usage, clock.now() >= 0);
                }
                if (proxy.unexpectedExitCode() != null) {
                    reportUnexpectedExit(proxy);
                    return;
                }
            }
            recordControlLevel(level);
            progress.accept(currentProgress(level));
            Thread.sleep(POLL_INTERVAL_MS);
        }
        if (experiment.gossip().enabled()) {
            addGossipFigures();
        }
        usageTotals.addFiguresTo(extraFigures);
    }

    /** When the last request and the last hostile client should have ended. */
    private double endMs() {
        double requestsEndMs =
                experiment.durationS() * MS_PER_S
                        + experiment.load().longestDeadlineMs()
                        + SETTLING_TIME_MS
                        + 2 * experiment.rules().slackMs();
        if (experiment.faults().stream().noneMatch(f -> f.kind() == Fault.Kind.HOSTILE)) {
            return requestsEndMs;
        }
        double faultsEndMs = experiment.faults().stream().mapToDouble(Fault::endMs).max().orElse(0);
        return Math.max(requestsEndMs, faultsEndMs + HOSTILE_TIMEOUT_MS + SETTLING_TIME_MS);
    }

    private void reportUnexpectedExit(ProxyProcess proxy) {
        violations.add(
                new Violation(
                        Rule.CRASH,
                        proxy.name,
                        clock.now(),
                        "the proxy exited with code "
                                + proxy.unexpectedExitCode()
                                + " without a signal from the testbed"));
    }

    private void recordControlLevel(int level) {
        double nowMs = clock.now();
        int second = (int) (nowMs / MS_PER_S);
        if (nowMs >= 0 && second < maxControlLevels.length) {
            maxControlLevels[second] = Math.max(maxControlLevels[second], level);
        }
    }

    private void addGossipFigures() {
        extraFigures.putAll(membership.figures());
        if (policy.isEnabled()) {
            extraFigures.putAll(policy.ledger().figures());
            violations.addAll(policy.ledger().violations());
        }
        extraFigures.put(
                "gossip.bytes_per_s",
                proxies.stream().mapToDouble(ProxyProcess::gossipBytesPerS).max().orElse(0));
    }

    private Progress currentProgress(int level) {
        Clients.OutcomeCounts counts = clients.counts();
        return new Progress(
                clock.now() / MS_PER_S,
                experiment.durationS(),
                counts.ended(),
                counts.served(),
                counts.refused(),
                counts.ended() - counts.served() - counts.refused(),
                counts.weightedWork() == 0
                        ? 1
                        : counts.weightedWorkServed() / counts.weightedWork(),
                level);
    }

    private Results buildResults() {
        shutDown();
        List<RequestRecord> records = clients.records();
        checkHostileClients();
        extraFigures.put(
                "proxy.cpu_ms_per_request",
                1000 * extraFigures.getOrDefault("proxy.cpu_s", 0.0) / Math.max(1, records.size()));
        double listBytes = discoveryServers.stream().mapToDouble(DiscoveryServer::sentBytes).sum();
        extraFigures.put("discovery.sent_bytes", listBytes / discoveryServers.size());
        extraFigures.put(
                "machines.connections_opened", (double) upstreamServers.openedConnections());
        extraFigures.put(
                "machines.connections_turned_away", (double) upstreamServers.rejectedConnections());
        return new CompletedRun(
                        experiment,
                        "sockets",
                        installation,
                        loadPlan,
                        ledger,
                        records,
                        maxControlLevels,
                        marks,
                        violations)
                .evaluate(extraFigures);
    }

    private void checkHostileClients() {
        List<HostileClients.HostileClient> observed = hostileClients.clients();
        int handled = 0;
        for (HostileClients.HostileClient client : observed) {
            boolean inTime =
                    client.endedAt - client.openedAt
                            <= HOSTILE_TIMEOUT_MS + experiment.rules().slackMs();
            handled += inTime && client.status != 200 ? 1 : 0;
            if (client.status >= 200 && client.status < 400) {
                violations.add(
                        new Violation(
                                Rule.BAD_INPUT,
                                client.kind.name().toLowerCase(Locale.ROOT),
                                client.openedAt,
                                "a hostile client was served with status " + client.status));
            } else if (!inTime) {
                violations.add(
                        new Violation(
                                Rule.BAD_INPUT,
                                client.kind.name().toLowerCase(Locale.ROOT),
                                client.openedAt,
                                "proxy-"
                                        + client.proxy
                                        + " sent neither an error response nor a close in 3 s"));
            }
        }
        extraFigures.put("hostile.peers", (double) observed.size());
        extraFigures.put(
                "hostile.dealt_share",
                observed.isEmpty() ? 1.0 : (double) handled / observed.size());
    }

    // Configuration of the proxies.

    private JsonObject proxyConfig(int proxy) {
        JsonObject config = new JsonObject();
        config.addProperty("name", "proxy-" + proxy);
        config.addProperty(
                "listen",
                proxies.get(proxy).address.getAddress().getHostAddress()
                        + ":"
                        + proxies.get(proxy).address.getPort());
        config.addProperty("discovery", discoveryServers.get(proxy).address());
        config.addProperty(
                "seed",
                Long.toHexString(
                        experiment.seed() * 31 + proxy * 7919L + proxies.get(proxy).startCount()));
        JsonObject limits = new JsonObject();
        limits.addProperty("cores", 1.0);
        limits.addProperty("memory_mb", experiment.proxies().memoryMb());
        limits.addProperty("sockets", experiment.proxies().sockets());
        config.add("limits", limits);
        JsonObject known = discoveryServers.get(proxy).snapshot();
        if (proxies.get(proxy).startCount() == 0) {
            // At its first start a proxy has the list, but no sequence number from discovery.
            known.addProperty("seq", 0);
        }
        config.add("known", known);
        config.add(
                "settings",
                ProxySettings.json(
                        experiment, installation, proxy, IDLE_TIMEOUT_MS, CONNECT_TIMEOUT_MS));
        return config;
    }
}
