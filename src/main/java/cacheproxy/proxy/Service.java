package cacheproxy.proxy;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * One running proxy: puts the parts together on one event loop, and takes them down without losing
 * a request.
 */
public final class Service {

    /**
     * Descriptors for the listener, the watch, peers, operators, the selector and the Java
     * machine's own files.
     */
    static final int RESERVED_DESCRIPTORS = 48;

    /**
     * Part of the other descriptors that is for clients; each of their requests has one attempt out
     * at most.
     */
    private static final double CLIENT_FRACTION = 0.5;

    /**
     * SIGKILL comes no sooner after SIGTERM than this and the longest deadline, of which no more
     * than so much counts. Until half of that deadline is left the clients that are here are served
     * on; the last answers are written a little before the end, as the signal has its own way to us
     * and the loop may stand still for a moment on part of a core. A proxy that left sooner left
     * them nobody while the next one was starting.
     */
    private static final double SIGKILL_DELAY_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    private static final double FINAL_RESPONSE_MARGIN_MS = 250;
    private static final long TERMINATION_POLL_MS = 10;

    /**
     * How long readiness waits for discovery: a list from the configuration serves if it says
     * nothing.
     */
    private static final long READINESS_TIMEOUT_MS = 2000;

    /**
     * How long the clients' address stays closed for discovery's first word. Discovery's agent may
     * hold drains that are older than this process and count as told, so what comes before its word
     * could go to a node that wants nothing new.
     */
    private static final long INITIAL_DRAIN_STATE_TIMEOUT_MS = 500;

    /** For how long an address that can't be bound is tried again, and how often. */
    private static final long BIND_RETRY_TIMEOUT_MS = 1500;

    private static final long BIND_RETRY_INTERVAL_MS = 50;

    /** A configuration with one of everything, at addresses that any machine has. */
    static final String REHEARSAL_CONFIG =
            """
            {"name": "rehearsal", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:0", "seed": "1", "peer_listen": "127.0.0.1:0",
             "admin": "127.0.0.1:0",
             "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
             "known": {"seq": 0, "whole": true, "hosts": [{"host": "s", "dial": "127.0.0.1:1", "site": "a", "class": "m",
                       "block": 1, "health": "up", "share": 1.0, "born_ms": 0}]},
             "settings": {"rank": 0, "balancers": 1, "zone": "a", "tick_ms": 5, "discovery": "automatic",
                          "domain": {"mode": "aside", "origin_kind": 1}, "kinds": ["m", "origin"], "weights": "live",
                          "limits": {"cancelling": true, "connect_timeout_ms": 100, "max_open": 20000, "try_limit": 5},
                          "obligations": {"answer_slack_ms": 20, "cold_from": 0.1, "cold_ms": 1000},
                          "report": {"fields": ["utilization"], "how": "pull"}, "tariffs": {"probe": 0.01},
                          "services": [{"name": "read", "effect": "retryable", "group": "all", "deadline_ms": 1500}]}}
            """;

    private static final long STATE_LOG_INTERVAL_S = 1;
    private static final long STALL_THRESHOLD_MS = 500;

    private final Log log = new Log();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, EventLoopMonitor.factory(NioIoHandler.newFactory(), new SlowTurnLogger()));
    private final CountDownLatch terminated = new CountDownLatch(1);
    private final CountDownLatch openingAllowed = new CountDownLatch(1);
    private final EventLoop loop = group.next();
    private final Config config;
    private final Proxy proxy;
    private final NodePool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final PeerSocket peers;
    private final Clock clock;

    /** Null where this proxy shares nothing. */
    private GossipIntegration gossip;

    /** Null where this proxy goes by its own file alone. */
    private PolicyIntegration policy;

    private InetSocketAddress clientAddress;

    /** Whether {@link #finish} looks already whether anything is left. */
    private boolean terminating;

    /**
     * Whether the last answers have been given: the end waits no longer for a disk that takes no
     * writes.
     */
    private boolean finalResponsesSent;

    private String lastState = "";
    private double lastStateLogMs = Double.POSITIVE_INFINITY;
    private Duration lastCpu = Duration.ZERO;

    /** Requests that had come when the last slow turn was told of. */
    private int requestsAtLastSlowTurn;

    /** Null where the platform passes none. */
    private final ServerSocketChannel passedSocket;

    /** Null where there is no operators' address. */
    private Operations operations;

    private OptionsSource optionsSource = () -> Options.DEFAULTS;
    private int tallyIntervalS = Options.DEFAULTS.log().tallyS();

    private Service(Config config, Router router, Discovery.Times times, Clock clock)
            throws ConfigException {
        this.config = config;
        this.clock = clock;
        passedSocket =
                config.passedSocket() == null ? null : PassedSocket.open(config.passedSocket());
        Settings settings = config.settings();
        int sockets = Math.max(2, config.maxSockets() - RESERVED_DESCRIPTORS);
        int clientSockets = Math.max(1, (int) (sockets * CLIENT_FRACTION));
        pool =
                new NodePool(
                        loop,
                        ConnectionTransport.TCP,
                        settings.limits().connectTimeoutMs(),
                        settings.connections().idleTimeoutMs(),
                        Math.max(1, sockets - clientSockets),
                        config.seed());
        pool.setServiceClasses(settings.classes());
        proxy = new Proxy(loop, clock, settings, router, pool, config.maxOpenRequests());
        clients = new ClientServer(loop, proxy, settings, clientSockets);
        discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.knownEndpoints(),
                        !settings.mustSubscribe(),
                        times,
                        this::discoveryHeard);
        peers = config.peerListen() == null ? null : new PeerSocket(loop, config, proxy);
        proxy.setOutputs(discovery::subscribe, peers == null ? contents -> {} : peers::sendToAll);
    }

    /**
     * Runs what a start runs, on a configuration of its own: the build archives the classes that
     * this loads, and what it leaves out each start must find, check and load by itself, on part of
     * a core.
     */
    public static void rehearse() throws IOException, InterruptedException, ConfigException {
        HangupSignal.handle(() -> {});
        Config config = Config.parse(REHEARSAL_CONFIG, Map.of());
        Service service = start(config, Options.DEFAULTS, new CompletableFuture<>());
        service.startShutdown();
        service.stopAccepting();
        service.awaitTermination();
    }

    /** Where the operator's options are read at a reload; throws if they can't be taken. */
    public interface OptionsSource {
        Options read() throws BadFileException;
    }

    /**
     * Uses these options from the start and reads them again at each reload. Called before the
     * first reload.
     */
    public void useOptions(OptionsSource source, Options first) {
        loop.execute(
                () -> {
                    optionsSource = source;
                    configure(first);
                });
    }

    private void configure(Options next) {
        Log.configure(next.log());
        tallyIntervalS = next.log().tallyS();
    }

    private void scheduleTally() {
        loop.schedule(
                () -> {
                    logTally();
                    scheduleTally();
                },
                tallyIntervalS,
                TimeUnit.SECONDS);
    }

    /**
     * Starts a proxy with the project's decisions. {@code opening} is completed with it just before
     * its clients' address opens; where that has been cancelled, as the process is to end already,
     * none opens.
     */
    public static Service start(Config config, Options options, CompletableFuture<Service> opening)
            throws IOException, InterruptedException, ConfigException {
        return start(
                config,
                new DecisionModule(config.settings(), config.seed()),
                options,
                new StartOptions(
                        true, INITIAL_DRAIN_STATE_TIMEOUT_MS, times(config), opening, new Clock()));
    }

    /** For tests: opens the clients' address after so long at the latest. */
    static Service start(
            Config config,
            Router router,
            long initialDrainStateTimeoutMs,
            Discovery.Times times,
            CompletableFuture<Service> opening)
            throws IOException, InterruptedException, ConfigException {
        return start(
                config,
                router,
                Options.DEFAULTS,
                new StartOptions(false, initialDrainStateTimeoutMs, times, opening, new Clock()));
    }

    /** For tests: goes by a clock of theirs. */
    static Service start(Config config, Router router, Discovery.Times times, Clock clock)
            throws IOException, InterruptedException, ConfigException {
        return start(
                config,
                router,
                Options.DEFAULTS,
                new StartOptions(false, 0, times, new CompletableFuture<>(), clock));
    }

    static Service start(Config config, Router router)
            throws IOException, InterruptedException, ConfigException {
        return start(config, router, 0, times(config), new CompletableFuture<>());
    }

    private static Discovery.Times times(Config config) {
        return config.settings().mustSubscribe() ? Discovery.Times.ASKED : Discovery.Times.PUSHED;
    }

    /**
     * How a start goes: warmed up or not, how long it waits for discovery, its watch's times, who
     * may forbid its opening, and its clock.
     */
    private record StartOptions(
            boolean warmUp,
            long initialDrainStateTimeoutMs,
            Discovery.Times watchTimes,
            CompletableFuture<Service> opening,
            Clock clock) {}

    private static Service start(
            Config config, Router router, Options options, StartOptions startOptions)
            throws IOException, InterruptedException, ConfigException {
        Service service = new Service(config, router, startOptions.watchTimes, startOptions.clock);
        try {
            if (config.admin() != null) {
                service.operations =
                        new Operations(
                                service.loop,
                                service.proxy,
                                service.clients,
                                config.sharedDirectory());
                requireBound(
                        listenWithRetries(() -> service.operations.listen(config.admin())),
                        config.admin());
            }
            if (startOptions.warmUp) {
                Warmup.run(
                        config.settings(),
                        config.peerListen(),
                        config.knownEndpoints(),
                        config.mayReplaceProcess());
            }
            if (options.gossip().enabled()) {
                service.joinGossip(options.gossip());
            }
            if (startOptions.opening.complete(service)
                    && service.openToClients(startOptions.initialDrainStateTimeoutMs)
                    && options.policy().enabled()) {
                service.joinPolicy(options);
            }
        } catch (IOException | ConfigException e) {
            service.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw e;
        }
        return service;
    }

    /**
     * Before the list is known and the first client comes: what the others know is then part of the
     * first decisions.
     */
    private void joinGossip(Options.Gossip gossipOptions)
            throws IOException, InterruptedException, ConfigException {
        gossip = GossipIntegration.open(loop, clock, config.seed(), gossipOptions, proxy);
        loop.submit(() -> proxy.setNodeObserver(gossip)).sync();
    }

    private void joinPolicy(Options ownOptions) throws IOException, InterruptedException {
        policy =
                PolicyIntegration.open(
                        loop,
                        ownOptions,
                        config.seed(),
                        proxy,
                        node -> operations != null && operations.isInMaintenance(node),
                        this::configure);
    }

    private void discoveryHeard() {
        clients.markReady();
        openingAllowed.countDown();
    }

    /** Lets clients in; false where the process was told to end meanwhile, and none is let in. */
    private boolean openToClients(long initialDrainStateTimeoutMs)
            throws IOException, InterruptedException {
        Log.event(
                "known",
                "version",
                config.knownEndpoints() == null ? 0 : config.knownEndpoints().version(),
                "hosts",
                config.knownEndpoints() == null ? 0 : config.knownEndpoints().endpoints().size());
        if (peers != null) {
            requireBound(listenWithRetries(peers::listen), config.peerListen());
        }
        // The module knows its list before the first client can come.
        loop.submit(
                        () -> {
                            proxy.start(config.knownEndpoints());
                            if (operations != null) {
                                operations.acceptCalls();
                            }
                        })
                .sync();
        loop.execute(discovery::start);
        if (!config.settings().mustSubscribe()
                && !openingAllowed.await(initialDrainStateTimeoutMs, TimeUnit.MILLISECONDS)) {
            Log.event("untold", "after_ms", initialDrainStateTimeoutMs);
        }
        // On the loop, where a drain comes wholly before it or wholly after.
        Callable<ChannelFuture> listenOnLoop =
                () ->
                        passedSocket == null
                                ? clients.listen(ConnectionTransport.TCP, config.listen())
                                : clients.listen(passedSocket);
        ChannelFuture listener = null;
        try {
            listener = listenWithRetries(() -> loop.submit(listenOnLoop).sync().getNow());
        } catch (RejectedExecutionException e) {
            Log.event("not_opened", "cause", "the proxy has ended");
        }
        if (listener == null) {
            return false;
        }
        clientAddress =
                (InetSocketAddress)
                        requireBound(listener, config.listen()).channel().localAddress();
        long readinessTimeoutMs = config.settings().mustSubscribe() ? 0 : READINESS_TIMEOUT_MS;
        loop.schedule(clients::markReady, readinessTimeoutMs, TimeUnit.MILLISECONDS);
        scheduleTally();
        loop.scheduleAtFixedRate(
                this::logState, STATE_LOG_INTERVAL_S, STATE_LOG_INTERVAL_S, TimeUnit.SECONDS);
        return true;
    }

    /** Begins to listen at an address; null where that is no longer wanted. */
    private interface BindAttempt {
        ChannelFuture bind() throws IOException, InterruptedException;
    }

    /**
     * Listens, and tries again for {@link #BIND_PATIENCE_MS} where that fails: system calls may
     * fail for a while, and a start that ends for it serves nobody. Returns the last attempt, done,
     * or null where listening is no longer wanted.
     */
    private static ChannelFuture listenWithRetries(BindAttempt attempt)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_RETRY_TIMEOUT_MS);
        ChannelFuture bound = attempt.bind();
        while (bound != null && !bound.await().isSuccess() && System.nanoTime() - endNanos < 0) {
            TimeUnit.MILLISECONDS.sleep(BIND_RETRY_INTERVAL_MS);
            bound = attempt.bind();
        }
        return bound;
    }

    private static ChannelFuture requireBound(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        bound.await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage());
        }
        return bound;
    }

    InetSocketAddress peerAddress() {
        return peers.localAddress();
    }

    Operations operations() {
        return operations;
    }

    InetSocketAddress adminAddress() {
        return operations.boundAddress();
    }

    InetSocketAddress clientAddress() {
        return clientAddress;
    }

    /**
     * Takes in the configuration's file as it is now. Discovery's address is what a running proxy
     * can change; a file that can't be read changes nothing. Returns at once: it is called by the
     * thread that has the signal.
     */
    public void reload(Map<String, String> environment) {
        try {
            loop.execute(() -> reloadNow(environment));
        } catch (RejectedExecutionException e) {
            Log.event("reload_refused", "cause", "the proxy has ended");
        }
    }

    /**
     * Runs {@code reload} at each change of the configuration's file, as no signal will tell of
     * one, and says so in the log. Returns at once.
     */
    public void reloadOnChange(ConfigFileWatch watch, Runnable reload) {
        Log.warn(
                "signal_ignored",
                "signal",
                "SIGHUP",
                "cause",
                "ignored by whatever started this process, as nohup does",
                "instead",
                "BALANCER_CONFIG is read when its file changes");
        try {
            loop.scheduleWithFixedDelay(
                    () -> {
                        if (watch.hasChanged()) {
                            reload.run();
                        }
                    },
                    0,
                    ConfigFileWatch.POLL_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Log.event("reload_refused", "cause", "the proxy has ended");
        }
    }

    private void reloadNow(Map<String, String> environment) {
        try {
            Config nextConfig = Config.reread(environment);
            Options nextOptions = optionsSource.read();
            Log.event("reloaded", "discovery", nextConfig.discovery());
            configure(nextOptions);
            discovery.moveTo(nextConfig.discovery());
            if (gossip != null) {
                gossip.reload();
            }
        } catch (ConfigException | BadFileException e) {
            Log.event("reload_refused", "cause", e.getMessage());
        }
    }

    /** Ends the service once nothing is owed, and returns then. */
    public void shutDown() {
        double longestDeadlineMs =
                config.settings().classes().stream()
                        .mapToDouble(ServiceClass::deadlineMs)
                        .max()
                        .orElse(0);
        longestDeadlineMs = Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadlineMs);
        loop.schedule(
                this::stopAccepting,
                (long) (SIGKILL_DELAY_MS + longestDeadlineMs / 2),
                TimeUnit.MILLISECONDS);
        loop.schedule(
                this::answerPendingRequests,
                (long) (SIGKILL_DELAY_MS + longestDeadlineMs - FINAL_RESPONSE_MARGIN_MS),
                TimeUnit.MILLISECONDS);
        // Last, as it ends the loop at once where nobody was ever let in.
        startShutdown();
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Still serves whoever comes; those that come only now for the last time. Where the next
     * process has the clients' socket too it serves whoever comes, and this one ends when all that
     * it took is answered.
     */
    void startShutdown() {
        Log.event(passedSocket == null ? "draining" : "handing_over");
        if (gossip != null) {
            loop.execute(gossip::leave);
        }
        loop.execute(
                () -> {
                    clients.drain();
                    openingAllowed.countDown();
                    if (passedSocket != null || !clients.listening()) {
                        startTermination();
                    }
                });
    }

    /** Takes no more, and ends when all that was taken is answered. */
    void stopAccepting() {
        loop.execute(this::stopAcceptingNow);
    }

    private void stopAcceptingNow() {
        clients.stopAccepting();
        startTermination();
    }

    /**
     * The process ends: whatever is open has its answer now, as one that never comes is a lost
     * request.
     */
    private void answerPendingRequests() {
        stopAcceptingNow();
        finalResponsesSent = true;
        clients.rejectIncomplete();
        proxy.answerPendingRequests();
    }

    private void startTermination() {
        if (!terminating) {
            terminating = true;
            pollTermination();
        }
    }

    /** Ends at once, whatever is owed. */
    void terminateNow() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Waits for the last answers to be written; a client's connection closes once its own has been.
     * What an operator was promised for the next process is waited for too, as long as there is
     * time.
     */
    private void pollTermination() {
        if (finalResponsesSent) {
            clients.rejectIncomplete();
        }
        boolean writesPending =
                operations != null && operations.hasPendingWrites() && !finalResponsesSent;
        if (proxy.pendingRequests() > 0 || clients.connections() > 0 || writesPending) {
            loop.schedule(this::pollTermination, TERMINATION_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            logTally();
            if (gossip != null) {
                gossip.close();
            }
            if (policy != null) {
                policy.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
                    .addListener(f -> terminated.countDown());
        }
    }

    /** Waits until the service has ended. */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    private void logTally() {
        Proxy.Tally tally = proxy.tally();
        Log.event(
                "tally",
                "requests",
                tally.requests,
                "served",
                tally.served,
                "refused",
                tally.refused,
                "failed",
                tally.failed,
                "gone",
                tally.gone,
                "owed",
                proxy.pendingRequests(),
                "clients",
                clients.connections(),
                "nodes",
                pool.connectionCount(),
                "look_ups",
                nonZeroCounts(tally.lookUps),
                "fetches",
                nonZeroCounts(tally.fetches),
                "refused_untried",
                tally.refusedUntried,
                "refused_after",
                nonZeroCounts(tally.refusedAfter),
                "origin_connections",
                pool.connectionCount(proxy.originId()),
                "fetch_ms",
                tally.meanFetchMs());
        if (gossip != null) {
            gossip.logTally();
        }
    }

    /** Tells the log of what kept the loop. */
    private final class SlowTurnLogger implements EventLoopMonitor.SlowTurnListener {
        @Override
        public void slowTurn(long inputMs, int ready, long tasksMs) {
            int requests = proxy.tally().requests;
            log.warnLimited(
                    "slow_turn",
                    "input_ms",
                    inputMs,
                    "ready",
                    ready,
                    "tasks_ms",
                    tasksMs,
                    "requests",
                    requests - requestsAtLastSlowTurn);
            requestsAtLastSlowTurn = requests;
        }

        @Override
        public void lateTimer(long lateMs) {
            log.warnLimited("woke_late", "ms", lateMs);
        }
    }

    private static String nonZeroCounts(int[] outcomes) {
        return Arrays.stream(Outcome.values())
                .filter(o -> outcomes[o.ordinal()] > 0)
                .map(o -> o + "=" + outcomes[o.ordinal()])
                .collect(Collectors.joining(" "));
    }

    /**
     * Tells of the module's state once it is another: when it began to throttle stands beside what
     * it then refused. Tells as well if the loop has stood still, and whether that was its own work
     * or a core that it did not get.
     */
    private void logState() {
        double nowMs = clock.now();
        Duration cpu = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        if (nowMs - lastStateLogMs
                > TimeUnit.SECONDS.toMillis(STATE_LOG_INTERVAL_S) + STALL_THRESHOLD_MS) {
            Log.event(
                    "stood_still",
                    "ms",
                    Math.round(nowMs - lastStateLogMs)
                            - TimeUnit.SECONDS.toMillis(STATE_LOG_INTERVAL_S),
                    "cpu_ms",
                    cpu.minus(lastCpu).toMillis());
        }
        lastStateLogMs = nowMs;
        lastCpu = cpu;
        if (policy != null) {
            policy.applyMaintenance();
        }
        String currentState = proxy.describeState();
        if (!currentState.equals(lastState)) {
            lastState = currentState;
            Log.event("control", "level", proxy.controlLevel(), "state", currentState);
        }
    }
}
