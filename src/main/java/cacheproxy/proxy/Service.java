package cacheproxy.proxy;

import cacheproxy.Decide;
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
    static final int RESERVED_SOCKETS = 48;

    /**
     * Part of the other descriptors that is for clients; each of their requests has one attempt out
     * at most.
     */
    private static final double CLIENT_PART = 0.5;

    /**
     * SIGKILL comes no sooner after SIGTERM than this and the longest deadline, of which no more
     * than so much counts. Until half of that deadline is left the clients that are here are served
     * on; the last answers are written a little before the end, as the signal has its own way to us
     * and the loop may stand still for a moment on part of a core. A proxy that left sooner left
     * them nobody while the next one was starting.
     */
    private static final double KILL_MS = 700;

    private static final double LONGEST_MS = 3000;
    private static final double LAST_ANSWER_MS = 250;
    private static final long DRAIN_POLL_MS = 10;

    /**
     * How long readiness waits for discovery: a list from the configuration serves if it says
     * nothing.
     */
    private static final long FIRST_NEWS_MS = 2000;

    /**
     * How long the clients' address stays closed for discovery's first word. Discovery's agent may
     * hold drains that are older than this process and count as told, so what comes before its word
     * could go to a node that wants nothing new.
     */
    private static final long UNTOLD_MS = 500;

    /** For how long an address that can't be bound is tried again, and how often. */
    private static final long BIND_PATIENCE_MS = 1500;

    private static final long BIND_AGAIN_MS = 50;

    /** A configuration with one of everything, at addresses that any machine has. */
    static final String REHEARSED =
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

    private static final long STATE_S = 1;
    private static final long STALLED_MS = 500;

    private final Log log = new Log();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(
                    1, LoopWatch.factory(NioIoHandler.newFactory(), new SlowTurns()));
    private final CountDownLatch ended = new CountDownLatch(1);
    private final CountDownLatch told = new CountDownLatch(1);
    private final EventLoop loop = group.next();
    private final Config config;
    private final Proxy proxy;
    private final NodePool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final Peers peers;
    private final Clock clock;

    /** Null where this proxy shares nothing. */
    private Sharing sharing;

    /** Null where this proxy goes by its own file alone. */
    private Governing governing;

    private InetSocketAddress listening;

    /** Whether {@link #finish} looks already whether anything is left. */
    private boolean ending;

    /**
     * Whether the last answers have been given: the end waits no longer for a disk that takes no
     * writes.
     */
    private boolean answeredAll;

    private String state = "";
    private double lastStateMs = Double.POSITIVE_INFINITY;
    private Duration lastCpu = Duration.ZERO;

    /** Requests that had come when the last slow turn was told of. */
    private int requestsBefore;

    /** Null where the platform passes none. */
    private final ServerSocketChannel passed;

    /** Null where there is no operators' address. */
    private Operations operations;

    private OptionsSource options = () -> Options.DEFAULTS;
    private int tallyS = Options.DEFAULTS.log().tallyS();

    private Service(Config config, Router router, Discovery.Times times, Clock clock)
            throws ConfigException {
        this.config = config;
        this.clock = clock;
        passed = config.passedSocket() == null ? null : PassedSocket.take(config.passedSocket());
        Settings settings = config.settings();
        int sockets = Math.max(2, config.sockets() - RESERVED_SOCKETS);
        int clientSockets = Math.max(1, (int) (sockets * CLIENT_PART));
        pool =
                new NodePool(
                        loop,
                        Transport.TCP,
                        settings.limits().connectTimeoutMs(),
                        settings.connections().idleMs(),
                        Math.max(1, sockets - clientSockets),
                        config.seed());
        pool.serve(settings.classes());
        proxy = new Proxy(loop, clock, settings, router, pool, config.maxOpen());
        clients = new ClientServer(loop, proxy, settings, clientSockets);
        discovery =
                new Discovery(
                        loop,
                        config.discovery(),
                        proxy,
                        config.known(),
                        !settings.mustSubscribe(),
                        times,
                        this::heard);
        peers = config.peerListen() == null ? null : new Peers(loop, config, proxy);
        proxy.wire(discovery::subscribe, peers == null ? contents -> {} : peers::tell);
    }

    /**
     * Runs what a start runs, on a configuration of its own: the build archives the classes that
     * this loads, and what it leaves out each start must find, check and load by itself, on part of
     * a core.
     */
    public static void rehearse() throws IOException, InterruptedException, ConfigException {
        Hangup.handle(() -> {});
        Config config = Config.parse(REHEARSED, Map.of());
        Service service = start(config, Options.DEFAULTS, new CompletableFuture<>());
        service.beginDrain();
        service.endDrain();
        service.awaitEnd();
    }

    /** Where the operator's options are read at a reload; throws if they can't be taken. */
    public interface OptionsSource {
        Options read() throws BadFileException;
    }

    /**
     * Uses these options from the start and reads them again at each reload. Called before the
     * first reload.
     */
    public void options(OptionsSource source, Options first) {
        loop.execute(
                () -> {
                    options = source;
                    configure(first);
                });
    }

    private void configure(Options next) {
        Log.configure(next.log());
        tallyS = next.log().tallyS();
    }

    private void tallyLater() {
        loop.schedule(
                () -> {
                    logTally();
                    tallyLater();
                },
                tallyS,
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
                new Decide(config.settings(), config.seed()),
                options,
                new Manner(true, UNTOLD_MS, times(config), opening, new Clock()));
    }

    /** For tests: opens the clients' address after so long at the latest. */
    static Service start(
            Config config,
            Router router,
            long untoldMs,
            Discovery.Times times,
            CompletableFuture<Service> opening)
            throws IOException, InterruptedException, ConfigException {
        return start(
                config,
                router,
                Options.DEFAULTS,
                new Manner(false, untoldMs, times, opening, new Clock()));
    }

    /** For tests: goes by a clock of theirs. */
    static Service start(Config config, Router router, Discovery.Times times, Clock clock)
            throws IOException, InterruptedException, ConfigException {
        return start(
                config,
                router,
                Options.DEFAULTS,
                new Manner(false, 0, times, new CompletableFuture<>(), clock));
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
    private record Manner(
            boolean warm,
            long untoldMs,
            Discovery.Times times,
            CompletableFuture<Service> opening,
            Clock clock) {}

    private static Service start(Config config, Router router, Options options, Manner manner)
            throws IOException, InterruptedException, ConfigException {
        Service service = new Service(config, router, manner.times, manner.clock);
        try {
            if (config.admin() != null) {
                service.operations =
                        new Operations(
                                service.loop, service.proxy, service.clients, config.shared());
                bound(
                        listenPatiently(() -> service.operations.listen(config.admin())),
                        config.admin());
            }
            if (manner.warm) {
                Warmup.run(
                        config.settings(), config.peerListen(), config.known(), config.replaces());
            }
            if (options.gossip().enabled()) {
                service.join(options.gossip());
            }
            if (manner.opening.complete(service)
                    && service.open(manner.untoldMs)
                    && options.policy().enabled()) {
                service.govern(options);
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
    private void join(Options.Gossip shared)
            throws IOException, InterruptedException, ConfigException {
        sharing = Sharing.open(loop, clock, config.seed(), shared, proxy);
        loop.submit(() -> proxy.watch(sharing)).sync();
    }

    private void govern(Options own) throws IOException, InterruptedException {
        governing =
                Governing.open(
                        loop,
                        own,
                        config.seed(),
                        proxy,
                        n -> operations != null && operations.isOut(n),
                        this::configure);
    }

    private void heard() {
        clients.ready();
        told.countDown();
    }

    /** Lets clients in; false where the process was told to end meanwhile, and none is let in. */
    private boolean open(long untoldMs) throws IOException, InterruptedException {
        Log.event(
                "known",
                "version",
                config.known() == null ? 0 : config.known().version(),
                "hosts",
                config.known() == null ? 0 : config.known().hosts().size());
        if (peers != null) {
            bound(listenPatiently(peers::listen), config.peerListen());
        }
        // The module knows its list before the first client can come.
        loop.submit(
                        () -> {
                            proxy.start(config.known());
                            if (operations != null) {
                                operations.open();
                            }
                        })
                .sync();
        loop.execute(discovery::start);
        if (!config.settings().mustSubscribe() && !told.await(untoldMs, TimeUnit.MILLISECONDS)) {
            Log.event("untold", "after_ms", untoldMs);
        }
        // On the loop, where a drain comes wholly before it or wholly after.
        Callable<ChannelFuture> listenOnLoop =
                () ->
                        passed == null
                                ? clients.listen(Transport.TCP, config.listen())
                                : clients.listen(passed);
        ChannelFuture listens = null;
        try {
            listens = listenPatiently(() -> loop.submit(listenOnLoop).sync().getNow());
        } catch (RejectedExecutionException e) {
            Log.event("not_opened", "cause", "the proxy has ended");
        }
        if (listens == null) {
            return false;
        }
        listening = (InetSocketAddress) bound(listens, config.listen()).channel().localAddress();
        long patience = config.settings().mustSubscribe() ? 0 : FIRST_NEWS_MS;
        loop.schedule(clients::ready, patience, TimeUnit.MILLISECONDS);
        tallyLater();
        loop.scheduleAtFixedRate(this::logState, STATE_S, STATE_S, TimeUnit.SECONDS);
        return true;
    }

    /** Begins to listen at an address; null where that is no longer wanted. */
    private interface Listening {
        ChannelFuture begin() throws IOException, InterruptedException;
    }

    /**
     * Listens, and tries again for {@link #BIND_PATIENCE_MS} where that fails: system calls may
     * fail for a while, and a start that ends for it serves nobody. Returns the last attempt, done,
     * or null where listening is no longer wanted.
     */
    private static ChannelFuture listenPatiently(Listening listening)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BIND_PATIENCE_MS);
        ChannelFuture bound = listening.begin();
        while (bound != null && !bound.await().isSuccess() && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(BIND_AGAIN_MS);
            bound = listening.begin();
        }
        return bound;
    }

    private static ChannelFuture bound(ChannelFuture bound, InetSocketAddress address)
            throws IOException, InterruptedException {
        bound.await();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage());
        }
        return bound;
    }

    InetSocketAddress peerListening() {
        return peers.listening();
    }

    Operations operations() {
        return operations;
    }

    InetSocketAddress adminListening() {
        return operations.listening();
    }

    InetSocketAddress listening() {
        return listening;
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
                        if (watch.changed()) {
                            reload.run();
                        }
                    },
                    0,
                    ConfigFileWatch.INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            Log.event("reload_refused", "cause", "the proxy has ended");
        }
    }

    private void reloadNow(Map<String, String> environment) {
        try {
            Config next = Config.reread(environment);
            Options more = options.read();
            Log.event("reloaded", "discovery", next.discovery());
            configure(more);
            discovery.moveTo(next.discovery());
            if (sharing != null) {
                sharing.reload();
            }
        } catch (ConfigException | BadFileException e) {
            Log.event("reload_refused", "cause", e.getMessage());
        }
    }

    /** Ends the service once nothing is owed, and returns then. */
    public void drain() {
        double longest =
                config.settings().classes().stream()
                        .mapToDouble(ServiceClass::deadlineMs)
                        .max()
                        .orElse(0);
        longest = Math.min(LONGEST_MS, longest);
        loop.schedule(this::endDrain, (long) (KILL_MS + longest / 2), TimeUnit.MILLISECONDS);
        loop.schedule(
                this::answerAll,
                (long) (KILL_MS + longest - LAST_ANSWER_MS),
                TimeUnit.MILLISECONDS);
        // Last, as it ends the loop at once where nobody was ever let in.
        beginDrain();
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Still serves whoever comes; those that come only now for the last time. Where the next
     * process has the clients' socket too it serves whoever comes, and this one ends when all that
     * it took is answered.
     */
    void beginDrain() {
        Log.event(passed == null ? "draining" : "handing_over");
        if (sharing != null) {
            loop.execute(sharing::leave);
        }
        loop.execute(
                () -> {
                    clients.drain();
                    told.countDown();
                    if (passed != null || !clients.listens()) {
                        endWhenEmpty();
                    }
                });
    }

    /** Takes no more, and ends when all that was taken is answered. */
    void endDrain() {
        loop.execute(this::stop);
    }

    private void stop() {
        clients.stop();
        endWhenEmpty();
    }

    /**
     * The process ends: whatever is open has its answer now, as one that never comes is a lost
     * request.
     */
    private void answerAll() {
        stop();
        answeredAll = true;
        clients.end();
        proxy.answerAll();
    }

    private void endWhenEmpty() {
        if (!ending) {
            ending = true;
            finish();
        }
    }

    /** Ends at once, whatever is owed. */
    void kill() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /**
     * Waits for the last answers to be written; a client's connection closes once its own has been.
     * What an operator was promised for the next process is waited for too, as long as there is
     * time.
     */
    private void finish() {
        if (answeredAll) {
            clients.end();
        }
        boolean unwritten = operations != null && operations.isAnyOwed() && !answeredAll;
        if (proxy.owed() > 0 || clients.connections() > 0 || unwritten) {
            loop.schedule(this::finish, DRAIN_POLL_MS, TimeUnit.MILLISECONDS);
        } else {
            logTally();
            if (sharing != null) {
                sharing.close();
            }
            if (governing != null) {
                governing.close();
            }
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(f -> ended.countDown());
        }
    }

    /** Waits until the service has ended. */
    public void awaitEnd() throws InterruptedException {
        ended.await();
    }

    private void logTally() {
        Proxy.Tally t = proxy.tally();
        Log.event(
                "tally",
                "requests",
                t.requests,
                "served",
                t.served,
                "refused",
                t.refused,
                "failed",
                t.failed,
                "gone",
                t.gone,
                "owed",
                proxy.owed(),
                "clients",
                clients.connections(),
                "nodes",
                pool.connections(),
                "look_ups",
                counts(t.lookUps),
                "fetches",
                counts(t.fetches),
                "refused_untried",
                t.refusedUntried,
                "refused_after",
                counts(t.refusedAfter),
                "origin_connections",
                pool.connections(proxy.origin()),
                "fetch_ms",
                t.fetchMs());
        if (sharing != null) {
            sharing.logTally();
        }
    }

    /** Tells the log of what kept the loop. */
    private final class SlowTurns implements LoopWatch.Slow {
        @Override
        public void turn(long inputMs, int ready, long tasksMs) {
            int requests = proxy.tally().requests;
            log.odd(
                    "slow_turn",
                    "input_ms",
                    inputMs,
                    "ready",
                    ready,
                    "tasks_ms",
                    tasksMs,
                    "requests",
                    requests - requestsBefore);
            requestsBefore = requests;
        }

        @Override
        public void woke(long lateMs) {
            log.odd("woke_late", "ms", lateMs);
        }
    }

    private static String counts(int[] outcomes) {
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
        double at = clock.now();
        Duration cpu = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
        if (at - lastStateMs > TimeUnit.SECONDS.toMillis(STATE_S) + STALLED_MS) {
            Log.event(
                    "stood_still",
                    "ms",
                    Math.round(at - lastStateMs) - TimeUnit.SECONDS.toMillis(STATE_S),
                    "cpu_ms",
                    cpu.minus(lastCpu).toMillis());
        }
        lastStateMs = at;
        lastCpu = cpu;
        if (governing != null) {
            governing.look();
        }
        String now = proxy.state();
        if (!now.equals(state)) {
            state = now;
            Log.event("control", "level", proxy.level(), "state", now);
        }
    }
}
