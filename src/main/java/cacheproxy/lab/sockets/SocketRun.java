package cacheproxy.lab.sockets;

import cacheproxy.Router;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.Oracle;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.faults.PeerLinks;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Membership;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.Story;
import cacheproxy.lab.report.Played;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.Strikes;
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
 * One experiment on sockets: starts everything, plays load and faults, ends everything, and counts.
 */
public final class SocketRun {

    /** How a run is going; told a few times a second. */
    public record Progress(
            double atS,
            double ofS,
            int asked,
            int served,
            int refused,
            int failed,
            double worthShare,
            int level) {}

    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final double IDLE_MS = 10_000;
    private static final double CONNECT_MS = 100;
    private static final double BEGIN_MS = 300;
    private static final long READY_MS = 30_000;
    private static final long LOOK_MS = 100;
    private static final int TICK_MS = 1;
    private static final double MS_PER_S = 1000;

    /** Room after the last deadline in which late answers still show. */
    private static final double SETTLE_MS = 500;

    /** What SIGTERM leaves before SIGKILL, beyond the longest deadline. */
    private static final double KILL_MS = 700;

    private static final double LONGEST_MS = 3000;

    /** Clients that are on their way still come for so long after SIGTERM. */
    private static final double FRONT_MS = 300;

    private static final double HOSTILE_MS = 3000;

    /** What the names of gossip's events in a log begin with. */
    private static final String GOSSIP = "gossip_";

    private final Experiment experiment;
    private final Path directory;
    private final Path root;
    private final String run;
    private final RunClock clock = new RunClock();
    private final Ledger ledger = new Ledger();
    private final Membership membership;
    private final Installation plan;
    private final LoadPlan load;
    private final World world;
    private final MultiThreadIoEventLoopGroup worldGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup clientGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScheduledExecutorService hands = Executors.newScheduledThreadPool(8);
    private final EventLoop loop = worldGroup.next();
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final List<DiscoveryServer> discoveries = new ArrayList<>();
    private final List<Mark> marks = Collections.synchronizedList(new ArrayList<>());
    private final List<Violation> seen = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Double> outside = new HashMap<>();
    private final int[] levels;
    private final Set<Integer> down = ConcurrentHashMap.newKeySet();
    private Machines machines;
    private Clients clients;
    private HostilePeers hostile;
    private final PeerLinks peerLinks;

    /** Null without gossip. */
    private PacketRelay relay;

    private final SocketPolicy policy;
    private final World.Effects effects = new Acts();
    private final Strikes strikes;

    /**
     * {@code directory} takes the proxies' logs and configurations; {@code run} starts one from
     * {@code root}.
     */
    public SocketRun(Experiment experiment, Path directory, Path root, String run) {
        this.experiment = experiment;
        this.directory = directory.toAbsolutePath();
        this.root = root;
        this.run = run;
        this.membership = new Membership(experiment);
        this.plan = Draw.installation(experiment);
        this.load = LoadPlan.of(experiment);
        this.levels = new int[(int) Math.ceil(experiment.durationS())];
        this.world =
                new World(
                        plan,
                        Draw.limits(experiment, load.meanReadMs()),
                        Draw.generator(experiment.seed(), Draw.Stream.WORLD));
        this.strikes = new Strikes(world, effects, plan, ledger);
        this.peerLinks =
                new PeerLinks(
                        experiment.proxies().count(),
                        Draw.generator(experiment.seed(), Draw.Stream.GOSSIP));
        this.policy =
                new SocketPolicy(experiment, clock, peerLinks, this.directory, clientGroup.next());
    }

    private final class Acts implements World.Effects {
        @Override
        public void answer(long attempt, Answer answer) {
            machines.answer(attempt, answer);
        }

        @Override
        public void list(int proxy, long version, List<Entry> entries) {
            discoveries.get(proxy).news(version, entries);
        }

        @Override
        public void died(String machine) {
            machines.died(machine);
            ledger.changed(machine, World.Health.REMOVED, -1, clock.now());
        }

        @Override
        public void up(String machine) {
            machines.up(machine);
            ledger.changed(machine, World.Health.UP, clock.now(), clock.now());
        }

        @Override
        public void originStopped() {
            ledger.originStopped(clock.now());
        }

        @Override
        public void note(String text) {
            mark(text);
        }
    }

    private void mark(String what) {
        marks.add(new Mark(Math.round(clock.now()) / MS_PER_S, what));
    }

    /** Plays it and returns what came of it; nothing that it started is left, however it ends. */
    public Results play(Consumer<Progress> progress) throws IOException, InterruptedException {
        Files.createDirectories(directory);
        Thread undo = new Thread(this::endAll, "lab-end");
        Runtime.getRuntime().addShutdownHook(undo);
        try {
            open();
            startAll();
            begin();
            watch(progress);
            return results();
        } finally {
            endAll();
            try {
                Runtime.getRuntime().removeShutdownHook(undo);
            } catch (IllegalStateException e) {
                // The Java machine is ending: the hook has done this already.
                Thread.currentThread().interrupt();
            }
        }
    }

    private void endAll() {
        hands.shutdownNow();
        proxies.forEach(ProxyProcess::end);
        worldGroup
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(2, TimeUnit.SECONDS);
        clientGroup
                .shutdownGracefully(0, 1, TimeUnit.SECONDS)
                .awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    private void open() throws IOException, InterruptedException {
        boolean[] writes = new boolean[experiment.load().classes().size()];
        for (int i = 0; i < writes.length; i++) {
            writes[i] = experiment.load().classes().get(i).write();
        }
        // Addresses that are this process's own, so that no other run's port can be ours.
        long pid = ProcessHandle.current().pid();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < experiment.proxies().count(); i++) {
            InetAddress at =
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
                            at,
                            directory,
                            root,
                            experiment.gossip().enabled()
                                    ? SocketPeers.command(run, directory, i)
                                    : run));
            addresses.add(proxies.get(i).address);
            int proxy = i;
            proxies.get(i)
                    .onEvents(
                            (event, subject, evidence) -> {
                                policy.saw(proxy, event, subject, evidence);
                                if (event.startsWith(GOSSIP)) {
                                    membership.saw(
                                            proxy,
                                            event.substring(GOSSIP.length()),
                                            subject,
                                            evidence,
                                            clock.now());
                                }
                            });
        }
        if (experiment.gossip().enabled()) {
            relay = new PacketRelay(clientGroup.next(), clock, peerLinks, addresses);
            relay.open();
            policy.open(addresses);
            SocketPeers.write(directory, experiment, addresses, relay, policy);
        }
        clients =
                new Clients(
                        clientGroup.next(),
                        clock,
                        experiment,
                        load,
                        ledger,
                        addresses,
                        plan.proxyZones());
        machines =
                new Machines(
                        loop,
                        clock,
                        plan,
                        world,
                        effects,
                        ledger,
                        clients,
                        writes,
                        IDLE_MS,
                        Draw.generator(experiment.seed(), Draw.Stream.CLIENTS));
        machines.open();
        for (int i = 0; i < proxies.size(); i++) {
            discoveries.add(new DiscoveryServer(loop, clock, plan, i, machines, ledger, world));
            discoveries.get(i).open();
        }
        hostile =
                new HostilePeers(
                        clientGroup.next(),
                        clock,
                        addresses,
                        Draw.generator(experiment.seed(), Draw.Stream.HOSTILE));
        Oracle.fill(
                world,
                experiment,
                plan,
                ProxySettings.read(experiment, plan, 0, IDLE_MS, CONNECT_MS));
    }

    private void startAll() throws IOException, InterruptedException {
        long begun = System.nanoTime();
        for (int i = 0; i < proxies.size(); i++) {
            proxies.get(i).configure(config(i));
            proxies.get(i).start(discoveries.get(i).dial());
        }
        double slowest = 0;
        for (int i = 0; i < proxies.size(); i++) {
            if (!proxies.get(i).awaitReady(READY_MS)) {
                throw new IOException(
                        "proxy-"
                                + i
                                + " is not ready after "
                                + READY_MS / MS_PER_S
                                + " s; see "
                                + directory.resolve(proxies.get(i).name + ".log"));
            }
            slowest = Math.max(slowest, (System.nanoTime() - begun) / 1e6);
            clients.inService(i, true);
        }
        double startCpu = 0;
        for (ProxyProcess proxy : proxies) {
            ProxyProcess.Usage usage = proxy.usage();
            startCpu += usage == null ? 0 : usage.cpuS();
        }
        outside.put("proxy.start_cpu_s", startCpu);
        outside.put("proxy.ready_ms_max", slowest);
        outside.put(
                "discovery.list_bytes",
                loop.submit(
                                (Callable<Double>)
                                        () ->
                                                (double)
                                                        discoveries
                                                                .get(0)
                                                                .whole()
                                                                .toString()
                                                                .length())
                        .sync()
                        .getNow());
        clients.rehearse();
    }

    private void begin() {
        clock.beginIn(BEGIN_MS);
        loop.scheduleAtFixedRate(
                () -> {
                    if (clock.now() >= 0) {
                        world.advance(clock.now(), effects);
                    }
                },
                TICK_MS,
                TICK_MS,
                TimeUnit.MILLISECONDS);
        for (Fault fault : experiment.faults()) {
            if (!fault.what().ofLoad()) {
                hands.schedule(
                        () -> guarded(fault), clock.nanosUntil(fault.atMs()), TimeUnit.NANOSECONDS);
            }
        }
        clients.start();
    }

    private void guarded(Fault fault) {
        try {
            mark(fault.label());
            new FaultHand(fault).play();
        } catch (IOException | ExecutionException e) {
            mark("fault failed: " + e);
            seen.add(
                    new Violation(
                            Rule.CRASH,
                            fault.label(),
                            clock.now(),
                            "the laboratory could not cause it: " + e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Carries one fault out, begin and end. */
    private final class FaultHand {
        private final Fault fault;

        FaultHand(Fault fault) {
            this.fault = fault;
        }

        void play() throws IOException, InterruptedException, ExecutionException {
            switch (fault.what()) {
                case NODE_SILENT ->
                        between(
                                id -> {
                                    world.stall(clock.now(), id, fault.endMs(), effects);
                                    machines.silence(id, true);
                                },
                                id -> machines.silence(id, false));
                case RESET_BEFORE ->
                        between(
                                id -> machines.resets(id, fault.share()),
                                id -> machines.resets(id, 0));
                case ZONE_CUT -> {
                    int zone = plan.zones().indexOf(fault.target());
                    onLoop(() -> machines.cut(zone, true));
                    atEnd(() -> machines.cut(zone, false));
                }
                case DISCOVERY_SILENT -> {
                    onLoop(
                            () ->
                                    agents(
                                            i -> {
                                                world.holdNews(i, fault.endMs());
                                                discoveries.get(i).silent(true);
                                            }));
                    atEnd(() -> agents(i -> discoveries.get(i).silent(false)));
                }
                case HOSTILE -> hostile.come(fault.factor(), fault.endMs());
                case PROXY_TERM -> eachProxy(this::term);
                case PROXY_KILL -> eachProxy(this::kill);
                case PROXY_HUP -> eachProxy(this::hup);
                case PROXY_STOP -> eachProxy(this::stop);
                case PROXY_STARVED -> eachProxy(this::starve);
                case MACHINE_BUSY -> busy();
                case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS -> lie();
                case GOSSIP_CUT,
                        GOSSIP_SPLIT,
                        GOSSIP_LOSS,
                        GOSSIP_DEAF,
                        GOSSIP_MUTE,
                        GOSSIP_ONEWAY -> {
                    clientGroup.next().execute(() -> peerLinks.begin(fault));
                    hands.schedule(
                            policy::healed,
                            clock.nanosUntil(fault.endMs() + LOOK_MS),
                            TimeUnit.NANOSECONDS);
                }
                case POLICY_PROPOSE ->
                        eachProxy(i -> mark("proxy-" + i + " proposed: " + policy.propose(i)));
                case LEADER_KILL -> {
                    int leader = policy.leader();
                    mark("the leader is " + (leader < 0 ? "nobody" : "proxy-" + leader));
                    if (leader >= 0) {
                        hands.execute(() -> kill(leader));
                    }
                }
                case PROXY_BLIND -> {
                    onLoop(() -> agents(i -> machines.blind(i, true)));
                    atEnd(() -> agents(i -> machines.blind(i, false)));
                }
                case PROXY_CLOCK, NODE_MAINTENANCE ->
                        mark(fault.what().word() + " is not played on sockets");
                default -> {
                    onLoop(() -> strikes.begin(fault, clock.now()));
                    if (fault.forS() > 0) {
                        atEnd(() -> strikes.end(fault, clock.now()));
                    }
                }
            }
        }

        private void lie() throws IOException, InterruptedException, ExecutionException {
            if (!experiment.gossip().enabled()) {
                return;
            }
            List<Router.Node> nodes =
                    loop.submit((Callable<List<Entry>>) world::truth).get().stream()
                            .filter(e -> !e.id().equals(plan.origin().id()))
                            .map(e -> ProxySettings.node(plan, e))
                            .toList();
            Runnable end =
                    SocketPeers.liar(
                            clientGroup.next(),
                            directory,
                            experiment,
                            relay,
                            nodes,
                            fault::accuses);
            atEnd(end);
        }

        private void onLoop(Runnable act) {
            loop.execute(act);
        }

        private void atEnd(Runnable act) {
            loop.schedule(
                    () -> {
                        mark("end of " + fault.label());
                        act.run();
                    },
                    clock.nanosUntil(fault.endMs()),
                    TimeUnit.NANOSECONDS);
        }

        private void nodes(Consumer<String> act) {
            onLoop(() -> strikes.targets(fault).forEach(act));
        }

        private void between(Consumer<String> begin, Consumer<String> end) {
            nodes(begin);
            atEnd(() -> strikes.targets(fault).forEach(end));
        }

        private void agents(Consumer<Integer> act) {
            for (int i = 0; i < discoveries.size(); i++) {
                if (fault.strikes("proxy-", i, discoveries.size())) {
                    act.accept(i);
                }
            }
        }

        private void eachProxy(Consumer<Integer> act) {
            agents(i -> hands.execute(() -> act.accept(i)));
        }

        private void ended(int i) {
            membership.ended(i, clock.now());
            policy.ended(i);
        }

        private void term(int i) {
            attempt(
                    () -> {
                        proxies.get(i).signal("TERM");
                        hands.schedule(
                                () -> clients.inService(i, false),
                                (long) FRONT_MS,
                                TimeUnit.MILLISECONDS);
                        double longest = experiment.load().longestMs();
                        if (!proxies.get(i)
                                .awaitExit(
                                        (long)
                                                (KILL_MS
                                                        + Math.min(LONGEST_MS, longest)
                                                        + SETTLE_MS))) {
                            seen.add(
                                    new Violation(
                                            Rule.CRASH,
                                            "proxy-" + i,
                                            clock.now(),
                                            "it had not ended when SIGKILL was due"));
                            proxies.get(i).signal("KILL");
                            ledger.excuse(
                                    new Ledger.Excuse(i, clock.now(), clock.now(), "SIGKILL"));
                        }
                        proxies.get(i).end();
                        ended(i);
                        clients.inService(i, false);
                        startAgain(i);
                        return null;
                    });
        }

        private void kill(int i) {
            if (!down.add(i)) {
                // It is on its way back already; a second start would take the first one's address.
                return;
            }
            attempt(
                    () -> {
                        ledger.excuse(
                                new Ledger.Excuse(
                                        i,
                                        clock.now(),
                                        clock.now() + experiment.proxies().noticeS() * MS_PER_S,
                                        "SIGKILL"));
                        proxies.get(i).signal("KILL");
                        ended(i);
                        hands.schedule(
                                () -> clients.inService(i, false),
                                (long) (experiment.proxies().noticeS() * MS_PER_S),
                                TimeUnit.MILLISECONDS);
                        proxies.get(i).awaitExit(READY_MS);
                        startAgain(i);
                        return null;
                    });
        }

        private void startAgain(int i)
                throws IOException, InterruptedException, ExecutionException {
            Thread.sleep(
                    TimeUnit.NANOSECONDS.toMillis(
                            clock.nanosUntil(clock.now() + fault.forS() * MS_PER_S)));
            proxies.get(i).configure(loop.submit((Callable<JsonObject>) () -> config(i)).get());
            membership.started(i, clock.now());
            policy.started(i);
            down.remove(i);
            proxies.get(i).start(discoveries.get(i).dial());
            double begun = clock.now();
            if (proxies.get(i).awaitReady(READY_MS)) {
                clients.inService(i, true);
                policy.back(i);
                mark(
                        "proxy-"
                                + i
                                + " is ready again after "
                                + Math.round(clock.now() - begun)
                                + " ms");
                synchronized (outside) {
                    outside.merge("proxy.ready_again_ms_max", clock.now() - begun, Math::max);
                }
            } else {
                seen.add(
                        new Violation(
                                Rule.CRASH, "proxy-" + i, clock.now(), "it did not come back"));
            }
        }

        private void hup(int i) {
            attempt(
                    () -> {
                        String dial = discoveries.get(i).move();
                        JsonObject config =
                                loop.submit((Callable<JsonObject>) () -> config(i)).get();
                        config.addProperty("discovery", dial);
                        proxies.get(i).configure(config);
                        proxies.get(i).signal("HUP");
                        return null;
                    });
        }

        private void stop(int i) {
            attempt(
                    () -> {
                        double until = clock.now() + fault.forS() * MS_PER_S;
                        ledger.excuse(
                                new Ledger.Excuse(i, clock.now(), until + SETTLE_MS, "SIGSTOP"));
                        policy.stopped(i, until);
                        proxies.get(i).signal("STOP");
                        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(clock.nanosUntil(until)));
                        proxies.get(i).signal("CONT");
                        policy.back(i);
                        return null;
                    });
        }

        private void starve(int i) {
            attempt(
                    () -> {
                        ledger.excuse(
                                new Ledger.Excuse(
                                        i, clock.now(), fault.endMs() + SETTLE_MS, "starved"));
                        long stopped = (long) (fault.share() * Fault.STARVE_EVERY_MS);
                        for (double begun = clock.now();
                                begun < fault.endMs();
                                begun += Fault.STARVE_EVERY_MS) {
                            proxies.get(i).signal("STOP");
                            Thread.sleep(stopped);
                            proxies.get(i).signal("CONT");
                            Thread.sleep(
                                    Math.max(
                                            0,
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    clock.nanosUntil(
                                                            begun + Fault.STARVE_EVERY_MS))));
                        }
                        return null;
                    });
        }

        private void busy() {
            for (int i = 0; i < fault.factor(); i++) {
                Thread burner =
                        new Thread(
                                () -> {
                                    while (clock.now() < fault.endMs() && !hands.isShutdown()) {
                                        Thread.onSpinWait();
                                    }
                                },
                                "busy-" + i);
                burner.setDaemon(true);
                burner.start();
            }
        }

        private void attempt(Callable<Void> act) {
            try {
                act.call();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                seen.add(
                        new Violation(
                                Rule.CRASH,
                                fault.label(),
                                clock.now(),
                                "the laboratory could not cause it: " + e));
            }
        }
    }

    /** Looks on until everything asked has ended, or should have long ago. */
    private void watch(Consumer<Progress> progress) throws InterruptedException {
        double longest = experiment.load().longestMs();
        double faultsEnd = experiment.faults().stream().mapToDouble(Fault::endMs).max().orElse(0);
        double last =
                Math.max(
                        experiment.durationS() * MS_PER_S
                                + longest
                                + SETTLE_MS
                                + 2 * experiment.rules().slackMs(),
                        experiment.faults().stream().anyMatch(f -> f.what() == Fault.Kind.HOSTILE)
                                ? faultsEnd + HOSTILE_MS + SETTLE_MS
                                : 0);
        double[] cpu = new double[proxies.size()];
        double[] cpuBefore = new double[proxies.size()];
        double[] system = new double[proxies.size()];
        double[] systemBefore = new double[proxies.size()];
        double resident = 0;
        int descriptors = 0;
        while (clock.now() < last) {
            int level = 0;
            for (int i = 0; i < proxies.size(); i++) {
                ProxyProcess proxy = proxies.get(i);
                level = Math.max(level, proxy.level());
                ProxyProcess.Usage usage = proxy.usage();
                if (usage != null) {
                    // What a start costs is none of the requests'; a new life counts from nothing.
                    cpu[i] +=
                            clock.now() < 0
                                    ? 0
                                    : Math.max(
                                            0,
                                            usage.cpuS()
                                                    - (usage.cpuS() >= cpuBefore[i]
                                                            ? cpuBefore[i]
                                                            : 0));
                    system[i] +=
                            clock.now() < 0
                                    ? 0
                                    : Math.max(
                                            0,
                                            usage.systemS()
                                                    - (usage.cpuS() >= cpuBefore[i]
                                                            ? systemBefore[i]
                                                            : 0));
                    cpuBefore[i] = usage.cpuS();
                    systemBefore[i] = usage.systemS();
                    resident = Math.max(resident, usage.residentMb());
                    descriptors = Math.max(descriptors, usage.descriptors());
                }
                if (proxy.crashed() != null) {
                    seen.add(
                            new Violation(
                                    Rule.CRASH,
                                    proxy.name,
                                    clock.now(),
                                    "exit code "
                                            + proxy.crashed()
                                            + " though nobody had told it to end"));
                    return;
                }
            }
            int second = (int) (clock.now() / MS_PER_S);
            if (second >= 0 && second < levels.length && clock.now() >= 0) {
                levels[second] = Math.max(levels[second], level);
            }
            progress.accept(now(level));
            Thread.sleep(LOOK_MS);
        }
        if (experiment.gossip().enabled()) {
            outside.putAll(membership.figures());
            if (policy.on()) {
                outside.putAll(policy.ledger().figures());
                seen.addAll(policy.ledger().violations());
            }
            outside.put(
                    "gossip.bytes_per_s",
                    proxies.stream().mapToDouble(ProxyProcess::gossipBytesPerS).max().orElse(0));
        }
        outside.put("proxy.cpu_s", java.util.Arrays.stream(cpu).sum());
        outside.put("proxy.cpu_system_s", java.util.Arrays.stream(system).sum());
        outside.put("proxy.resident_mb_max", resident);
        outside.put("proxy.descriptors_max", (double) descriptors);
    }

    private Progress now(int level) {
        Clients.Counts c = clients.counts();
        return new Progress(
                clock.now() / MS_PER_S,
                experiment.durationS(),
                c.ended(),
                c.served(),
                c.refused(),
                c.ended() - c.served() - c.refused(),
                c.worth() == 0 ? 1 : c.worthServed() / c.worth(),
                level);
    }

    private Results results() {
        endAll();
        List<Story> stories = clients.told();
        hostileVerdict();
        outside.put(
                "proxy.cpu_ms_per_request",
                1000 * outside.getOrDefault("proxy.cpu_s", 0.0) / Math.max(1, stories.size()));
        double listBytes = discoveries.stream().mapToDouble(DiscoveryServer::sentBytes).sum();
        outside.put("discovery.sent_bytes", listBytes / discoveries.size());
        outside.put("machines.connections_opened", (double) machines.connections());
        outside.put("machines.connections_turned_away", (double) machines.turnedAway());
        return new Played(experiment, "sockets", plan, load, ledger, stories, levels, marks, seen)
                .judged(outside);
    }

    private void hostileVerdict() {
        List<HostilePeers.Peer> peers = hostile.peers();
        int dealt = 0;
        for (HostilePeers.Peer p : peers) {
            boolean inTime = p.endedAt - p.at <= HOSTILE_MS + experiment.rules().slackMs();
            dealt += inTime && p.status != 200 ? 1 : 0;
            if (p.status >= 200 && p.status < 400) {
                seen.add(
                        new Violation(
                                Rule.BAD_INPUT,
                                p.kind.name().toLowerCase(Locale.ROOT),
                                p.at,
                                "served with " + p.status));
            } else if (!inTime) {
                seen.add(
                        new Violation(
                                Rule.BAD_INPUT,
                                p.kind.name().toLowerCase(Locale.ROOT),
                                p.at,
                                "proxy-"
                                        + p.proxy
                                        + " gave it neither an error nor a close in 3 s"));
            }
        }
        outside.put("hostile.peers", (double) peers.size());
        outside.put("hostile.dealt_share", peers.isEmpty() ? 1.0 : (double) dealt / peers.size());
    }

    // What a proxy is told.

    private JsonObject config(int proxy) {
        JsonObject o = new JsonObject();
        o.addProperty("name", "proxy-" + proxy);
        o.addProperty(
                "listen",
                proxies.get(proxy).address.getAddress().getHostAddress()
                        + ":"
                        + proxies.get(proxy).address.getPort());
        o.addProperty("discovery", discoveries.get(proxy).dial());
        o.addProperty(
                "seed",
                Long.toHexString(
                        experiment.seed() * 31 + proxy * 7919L + proxies.get(proxy).lives()));
        JsonObject limits = new JsonObject();
        limits.addProperty("cores", 1.0);
        limits.addProperty("memory_mb", experiment.proxies().memoryMb());
        limits.addProperty("sockets", experiment.proxies().sockets());
        o.add("limits", limits);
        JsonObject known = discoveries.get(proxy).whole();
        if (proxies.get(proxy).lives() == 0) {
            // A first life: the list is there, but discovery has numbered none for it.
            known.addProperty("seq", 0);
        }
        o.add("known", known);
        o.add("settings", ProxySettings.json(experiment, plan, proxy, IDLE_MS, CONNECT_MS));
        return o;
    }
}
