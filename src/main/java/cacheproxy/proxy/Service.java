package cacheproxy.proxy;

import cacheproxy.DecisionModule;
import cacheproxy.Router;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import cacheproxy.config.BadFileException;
import cacheproxy.config.Options;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
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
 * One running proxy: wires its components on a single event loop, and shuts them down without
 * losing a request.
 */
public final class Service {

    /**
     * Descriptors reserved for the listener, the discovery watch, peers, operators, the selector
     * and files of the JVM.
     */
    static final int RESERVED_DESCRIPTORS = 48;

    /**
     * Fraction of the remaining descriptors that clients may use. Half, as each client request has
     * at most one attempt in flight.
     */
    private static final double CLIENT_FRACTION = 0.5;

    /**
     * Least time from SIGTERM to SIGKILL, in addition to the longest deadline of a request, of
     * which at most {@link #MAX_COUNTED_DEADLINE_MS} counts. Connected clients are served until
     * half of that deadline is left. The final responses are written {@link
     * #FINAL_RESPONSE_MARGIN_MS} before SIGKILL, because SIGTERM arrives with a delay and the event
     * loop may stall for a moment on a fraction of a core. Exiting earlier left clients without a
     * proxy until its replacement was ready.
     */
    private static final double SIGKILL_DELAY_MS = 700;

    private static final double MAX_COUNTED_DEADLINE_MS = 3000;
    private static final double FINAL_RESPONSE_MARGIN_MS = 250;
    private static final long TERMINATION_POLL_MS = 10;

    /**
     * How long the proxy reports not ready while discovery has sent nothing. After that it serves
     * from the endpoint list of its configuration.
     */
    private static final long READINESS_TIMEOUT_MS = 2000;

    /**
     * How long the clients' address stays closed while the first watch event is missing. The
     * discovery agent may know of a drain that is older than this process. The proxy counts as
     * notified of it, so a request accepted before that event could go to a draining node.
     */
    private static final long INITIAL_DRAIN_STATE_TIMEOUT_MS = 500;

    /** How long, and at which interval, a failed bind is retried. */
    private static final long BIND_RETRY_TIMEOUT_MS = 1500;

    private static final long BIND_RETRY_INTERVAL_MS = 50;

    /** A configuration that uses every component once, with addresses that exist on any machine. */
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

    /** Name of the file of request ids, beside the directory that the processes share. */
    private static final String REQUEST_IDS_FILE = "flintmill-request-ids";

    private static final long STATE_LOG_INTERVAL_S = 1;
    private static final long STALL_THRESHOLD_MS = 500;

    private final Log log = new Log();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, EventLoopMonitor.factory(NioIoHandler.newFactory(), new SlowTurnLogger()));
    private final CountDownLatch terminated = new CountDownLatch(1);

    /**
     * Released when the clients' address may open before the timeout: discovery has sent its first
     * watch event, or the shutdown has started.
     */
    private final CountDownLatch openingAllowed = new CountDownLatch(1);

    private final EventLoop loop = group.next();
    private final Config config;
    private final Proxy proxy;
    private final BodyMemory bodyMemory = new BodyMemory();
    private final NodePool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final PeerSocket peers;
    private final Clock clock;

    /** Null where gossip is disabled. */
    private GossipIntegration gossip;

    /** Null where this proxy uses its own options file alone. */
    private PolicyIntegration policy;

    private InetSocketAddress clientAddress;

    /** Whether {@link #pollTermination} is already polling for remaining work. */
    private boolean terminating;

    /**
     * Whether the final responses have been sent; from then on termination no longer waits for
     * pending disk writes.
     */
    private boolean finalResponsesSent;

    /** The state of the decision module that was logged last. */
    private String lastState = "";

    private double lastStateLogMs = Double.POSITIVE_INFINITY;
    private Duration lastCpu = Duration.ZERO;

    /** Number of requests received when the last slow iteration was logged. */
    private int requestsAtLastSlowTurn;

    /** Null where the platform passes no socket. */
    private final ServerSocketChannel passedSocket;

    /** Null where no address for operators is configured. */
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
                        bodyMemory,
                        config.seed());
        pool.setServiceClasses(settings.classes());
        proxy = new Proxy(loop, clock, settings, router, pool, config.maxOpenRequests());
        clients = new ClientServer(loop, proxy, settings, clientSockets, bodyMemory);
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
     * Runs everything that a start runs, with a configuration of its own. The build archives the
     * classes that this loads (class data sharing); a class that it misses has to be found,
     * verified and loaded at each start, on a fraction of a core.
     */
    public static void rehearse() throws IOException, InterruptedException, ConfigException {
        HangupSignal.handle(() -> {});
        Config config = Config.parse(REHEARSAL_CONFIG, Map.of());
        Service service = start(config, Options.DEFAULTS, new CompletableFuture<>());
        service.startShutdown();
        service.stopAccepting();
        service.awaitTermination();
    }

    /** Reads the operators' options at a reload; throws if they are invalid. */
    public interface OptionsSource {
        Options read() throws BadFileException;
    }

    /**
     * Applies {@code first} now, and options read from {@code source} at each reload. Call this
     * before the first reload.
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
     * Starts a proxy with the decision module of this project. {@code opening} is completed with
     * the service just before the clients' address opens. If it has been cancelled by then, because
     * the process is already to terminate, no address opens.
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

    /** For tests: opens the clients' address after {@code initialDrainStateTimeoutMs} at most. */
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

    /** For tests: uses the given clock. */
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
     * Options of a start: whether it warms up, how long it waits for discovery, the times of the
     * watch, the future whose cancellation prevents the opening, and the clock.
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
     * Joins gossip before the endpoint list is known and the first client connects, so that the
     * first decisions already use what the other proxies know.
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

    /**
     * Opens the clients' address. Returns false if the process was asked to terminate meanwhile; no
     * client is accepted then.
     */
    private boolean openToClients(long initialDrainStateTimeoutMs)
            throws IOException, InterruptedException {
        Log.event(
                "endpoint_list_loaded",
                "version",
                config.knownEndpoints() == null ? 0 : config.knownEndpoints().version(),
                "hosts",
                config.knownEndpoints() == null ? 0 : config.knownEndpoints().endpoints().size());
        if (peers != null) {
            requireBound(listenWithRetries(peers::listen), config.peerListen());
        }
        if (config.sharedDirectory() != null) {
            shareRequestIds(config.sharedDirectory().resolveSibling(REQUEST_IDS_FILE));
        }
        // The decision module gets its endpoint list before the first client can connect.
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
            Log.event("initial_drain_state_timeout", "after_ms", initialDrainStateTimeoutMs);
        }
        // Listens on the event loop, so that a shutdown runs either entirely before or after it.
        Callable<ChannelFuture> listenOnLoop =
                () ->
                        passedSocket == null
                                ? clients.listen(ConnectionTransport.TCP, config.listen())
                                : clients.listen(passedSocket);
        ChannelFuture listener = null;
        try {
            listener = listenWithRetries(() -> loop.submit(listenOnLoop).sync().getNow());
        } catch (RejectedExecutionException e) {
            Log.event("listen_cancelled", "cause", "the proxy has terminated");
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

    private void shareRequestIds(Path file) {
        try {
            proxy.setRequestIds(RequestIds.shared(file));
        } catch (IOException e) {
            Log.warn("request_ids_not_shared", "cause", e.toString());
        }
    }

    /** One attempt to listen on an address. Returns null if listening is no longer wanted. */
    private interface BindAttempt {
        ChannelFuture bind() throws IOException, InterruptedException;
    }

    /**
     * Listens, and retries for {@link #BIND_RETRY_TIMEOUT_MS} if that fails: system calls may fail
     * temporarily, and a start that gives up leaves clients without this proxy. Returns the last
     * attempt, completed, or null if listening is no longer wanted.
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
     * Reloads the configuration file and the operators' options. A running proxy can change its
     * discovery address and these options; a file that cannot be read changes nothing. Returns at
     * once, as the signal handler's thread calls it.
     */
    public void reload(Map<String, String> environment) {
        try {
            loop.execute(() -> reloadNow(environment));
        } catch (RejectedExecutionException e) {
            Log.event("reload_rejected", "cause", "the proxy has terminated");
        }
    }

    /**
     * Runs {@code reload} at each change of the configuration file, where SIGHUP is ignored, and
     * logs a warning about that. Returns at once.
     */
    public void reloadOnChange(ConfigFileWatch watch, Runnable reload) {
        Log.warn(
                "signal_ignored",
                "signal",
                "SIGHUP",
                "cause",
                "the process was started with the signal ignored, for example by nohup",
                "instead",
                "the file that BALANCER_CONFIG names is reloaded when it changes");
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
            Log.event("reload_rejected", "cause", "the proxy has terminated");
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
            Log.event("reload_rejected", "cause", e.getMessage());
        }
    }

    /**
     * Shuts the service down: stops accepting clients, waits until all accepted requests are
     * answered, and returns once the service has terminated.
     */
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
        // Called last, as it terminates the loop at once if no client was ever accepted.
        startShutdown();
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts the shutdown while still accepting clients: a connection that had no response before
     * closes after its first one. If the next process accepts clients from the same socket, this
     * one accepts no more and terminates once all its accepted requests are answered.
     */
    void startShutdown() {
        Log.event(passedSocket == null ? "shutdown_started" : "handover_started");
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

    /** Accepts no more clients, and terminates once all accepted requests are answered. */
    void stopAccepting() {
        loop.execute(this::stopAcceptingNow);
    }

    private void stopAcceptingNow() {
        clients.stopAccepting();
        startTermination();
    }

    /**
     * Answers every pending request now, because SIGKILL follows and a request without a response
     * counts as lost.
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

    /** Terminates at once, with requests still pending. */
    void terminateNow() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Terminates once the last responses are written and no client is connected; each connection
     * closes after its own last response. Until the final responses are forced, this also waits for
     * pending writes of operators' state, which the next process reads.
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

    /** Waits until the service has terminated. */
    public void awaitTermination() throws InterruptedException {
        terminated.await();
    }

    private void logTally() {
        RequestTally tally = proxy.tally();
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
                tally.meanFetchMs(),
                "body_bytes",
                bodyMemory.usedBytes(),
                "direct_bytes",
                PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(),
                "answered_late",
                tally.answeredLate,
                "broken_off",
                tally.streamsBroken,
                "closed",
                nonZeroCounts(CloseCause.values(), tally.closed));
        if (gossip != null) {
            gossip.logTally();
        }
    }

    /** Logs what delayed the event loop. */
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
            log.warnLimited("timer_late", "ms", lateMs);
        }
    }

    private static String nonZeroCounts(int[] outcomes) {
        return nonZeroCounts(Outcome.values(), outcomes);
    }

    private static String nonZeroCounts(Enum<?>[] names, int[] counts) {
        return Arrays.stream(names)
                .filter(name -> counts[name.ordinal()] > 0)
                .map(name -> name + "=" + counts[name.ordinal()])
                .collect(Collectors.joining(" "));
    }

    /**
     * Logs the state of the decision module when it changes, so that the log shows the start of
     * throttling next to the requests that it rejected. Also logs a stall of the event loop with
     * the CPU time used, which tells whether the loop was working or waiting for a core.
     */
    private void logState() {
        double nowMs = clock.now();
        Duration cpu = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        if (nowMs - lastStateLogMs
                > TimeUnit.SECONDS.toMillis(STATE_LOG_INTERVAL_S) + STALL_THRESHOLD_MS) {
            Log.event(
                    "event_loop_stalled",
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
