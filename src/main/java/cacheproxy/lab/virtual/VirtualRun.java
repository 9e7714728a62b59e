package cacheproxy.lab.virtual;

import cacheproxy.Decide;
import cacheproxy.Router;
import cacheproxy.Router.ListKind;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.Request;
import cacheproxy.Router.Settings;
import cacheproxy.lab.Draw;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.Oracle;
import cacheproxy.lab.ProxySettings;
import cacheproxy.lab.faults.Fault;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Reply;
import cacheproxy.lab.ledger.Ledger.Try;
import cacheproxy.lab.ledger.Ledger.Verdict;
import cacheproxy.lab.ledger.Rules.Rule;
import cacheproxy.lab.ledger.Rules.Violation;
import cacheproxy.lab.load.Front;
import cacheproxy.lab.load.Habits;
import cacheproxy.lab.load.Habits.Ending;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadPlan.First;
import cacheproxy.lab.load.Story;
import cacheproxy.lab.report.Played;
import cacheproxy.lab.report.Results;
import cacheproxy.lab.report.Results.Mark;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.Strikes;
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
 * One experiment in virtual time. The same experiment and seed give the same results to the last
 * digit.
 */
public final class VirtualRun {

    private static final double IDLE_MS = 10_000;
    private static final double CONNECT_MS = 100;
    private static final double MS_PER_S = 1000;
    private static final double FRONT_MS = 300;

    /** How long a proxy waits for a probe's answer, as on sockets. */
    private static final double PROBE_MS = 2 * CONNECT_MS;

    /** How long a proxy's start takes before it serves. */
    private static final double START_MS = 1200;

    private static final double SETTLE_MS = 500;
    private static final int NOT_FOUND = 404;
    private static final int OK = 200;

    /** Makes the router of a proxy that starts. */
    @FunctionalInterface
    public interface Maker {
        Router make(Settings settings, long seed);
    }

    private final Experiment experiment;
    private final Maker maker;
    private final Installation plan;
    private final Habits habits;
    private final LoadPlan load;
    private final World world;
    private final Agenda agenda = new Agenda();
    private final Ledger ledger = new Ledger();
    private final Acts acts = new Acts();
    private final Strikes strikes;
    private final RandomGenerator random;
    private final List<VirtualProxy> proxies = new ArrayList<>();

    /**
     * What discovery has for each proxy, and what that has taken in, in this life or an earlier
     * one.
     */
    private final List<Map<String, Entry>> lists = new ArrayList<>();

    private final List<Map<String, Entry>> known = new ArrayList<>();
    private final boolean[] hasList;
    private final double[] noListBefore;
    private double discoveryFreeAt;
    private final Front front;
    private final Map<Long, Out> out = new HashMap<>();

    /**
     * The attempt that is out for a try; a try goes to one proxy, and that has one attempt out at a
     * time.
     */
    private final Map<String, Out> byTry = new HashMap<>();

    private final VirtualPool pool;
    private final Map<String, Integer> zones;
    private final Map<String, Double> resetShare = new HashMap<>();
    private final Map<String, Double> silentUntil = new HashMap<>();

    /** Nodes that the operators have taken out. */
    private final Set<String> inMaintenance = new TreeSet<>();

    private final Map<String, First> asked = new HashMap<>();
    private final double[] cutUntil;
    private final double[] blindUntil;
    private final int[] levels;
    private final List<Mark> marks = new ArrayList<>();
    private final List<Violation> seen = new ArrayList<>();
    private final Story[] stories;
    private final VirtualPeers peers;
    private final VirtualPolicy policy;
    private long attempts;
    private int lives;
    private long largestTable;

    /** An attempt that has left its proxy. */
    private static final class Out {
        final VirtualProxy proxy;
        final String request;
        final int number;
        final String node;
        final Attempt attempt;
        final double delayMs;
        final VirtualPool.Link link;
        boolean over;

        Out(
                VirtualProxy proxy,
                String request,
                int number,
                String node,
                Attempt attempt,
                double delayMs,
                VirtualPool.Link link) {
            this.proxy = proxy;
            this.request = request;
            this.number = number;
            this.node = node;
            this.attempt = attempt;
            this.delayMs = delayMs;
            this.link = link;
        }
    }

    public VirtualRun(Experiment experiment) {
        this(experiment, Decide::new);
    }

    /** With another router than the module, to compare them or to show what the ledger catches. */
    public VirtualRun(Experiment experiment, Maker maker) {
        this.experiment = experiment;
        this.maker = maker;
        this.plan = Draw.installation(experiment);
        this.habits = new Habits(experiment);
        this.load = LoadPlan.of(experiment);
        this.world =
                new World(
                        plan,
                        Draw.limits(experiment, load.meanReadMs()),
                        Draw.generator(experiment.seed(), Draw.Stream.WORLD));
        this.strikes = new Strikes(world, acts, plan, ledger);
        this.random = Draw.generator(experiment.seed(), Draw.Stream.CLIENTS);
        this.pool =
                new VirtualPool(
                        agenda,
                        plan,
                        IDLE_MS,
                        CONNECT_MS,
                        Draw.generator(experiment.seed(), Draw.Stream.POOLS));
        this.front = Front.of(experiment, plan.proxyZones());
        this.hasList = new boolean[experiment.proxies().count()];
        this.noListBefore = new double[experiment.proxies().count()];
        this.cutUntil = new double[plan.zones().size()];
        this.blindUntil = new double[experiment.proxies().count()];
        this.levels = new int[(int) Math.ceil(experiment.durationS())];
        this.zones = plan.machineZones();
        this.stories = new Story[load.firsts().size()];
        this.peers =
                new VirtualPeers(
                        experiment,
                        plan,
                        agenda,
                        this::mark,
                        node ->
                                !world.alive(node)
                                        || agenda.now() < silentUntil.getOrDefault(node, 0.0));
        this.policy = new VirtualPolicy(experiment, plan, agenda, peers.links(), this::mark);
    }

    private final class Acts implements World.Effects {
        @Override
        public void answer(long attempt, Answer answer) {
            answered(attempt, answer);
        }

        @Override
        public void list(int proxy, long version, List<Entry> entries) {
            entries.forEach(e -> lists.get(proxy).put(e.id(), e));
            if (hasList[proxy]) {
                entries.forEach(e -> told(proxy, e));
                tell(proxy, version, entries);
            }
        }

        private void tell(int proxy, long version, List<Entry> entries) {
            peers.listed(proxy, () -> serving(proxy));
            proxies.get(proxy)
                    .nodes(
                            ListKind.CHANGES,
                            version,
                            entries.stream().map(VirtualRun.this::node).toList());
        }

        @Override
        public void died(String machine) {
            ledger.changed(machine, Health.REMOVED, -1, agenda.now());
            // Their connections are reset: what was out ends a link's delay later.
            for (Out o : struck(o -> o.node.equals(machine))) {
                drop(o);
                agenda.in(o.delayMs, () -> end(o, Outcome.RESET, 0, 0));
            }
            pool.died(machine);
        }

        @Override
        public void up(String machine) {
            ledger.changed(machine, Health.UP, agenda.now(), agenda.now());
        }

        @Override
        public void originStopped() {
            ledger.originStopped(agenda.now());
        }

        @Override
        public void note(String text) {
            mark(text);
        }
    }

    private void told(int proxy, Entry e) {
        Entry before = known.get(proxy).put(e.id(), e);
        if (before == null
                || before.health() != e.health()
                || before.startedAt() != e.startedAt()) {
            ledger.told(new Ledger.Told(proxy, e.id(), e.health(), e.startedAt(), agenda.now()));
        }
    }

    /** What a proxy takes for the fleet, without those that it was told are gone. */
    private List<Node> remembered(int proxy) {
        return known.get(proxy).values().stream()
                .filter(e -> e.health() != Health.REMOVED)
                .map(this::node)
                .toList();
    }

    /**
     * A proxy that starts asks for the whole list; discovery hands those out one after the other.
     */
    private void askForList(int index, VirtualProxy asking) {
        discoveryFreeAt = Math.max(discoveryFreeAt, agenda.now()) + plan.roster().listMs();
        agenda.at(
                Math.max(discoveryFreeAt, noListBefore[index]),
                () -> {
                    if (!asking.dead()) {
                        hasList[index] = true;
                        lists.get(index).values().forEach(e -> told(index, e));
                        asking.nodes(ListKind.FULL, world.version(), remembered(index));
                    }
                });
    }

    private List<Node> serving(int proxy) {
        return known.get(proxy).values().stream()
                .filter(e -> e.health() == Health.UP && !e.id().equals(plan.origin().id()))
                .map(this::node)
                .toList();
    }

    private void mark(String what) {
        marks.add(new Mark(Math.round(agenda.now()) / MS_PER_S, what));
    }

    private Node node(Entry e) {
        return ProxySettings.node(plan, e);
    }

    public Results play() {
        Oracle.fill(
                world,
                experiment,
                plan,
                ProxySettings.read(experiment, plan, 0, IDLE_MS, CONNECT_MS));
        for (int i = 0; i < plan.proxyZones().size(); i++) {
            lists.add(new TreeMap<>());
            known.add(new TreeMap<>());
            hasList[i] = true;
            for (Entry e : world.truth()) {
                lists.get(i).put(e.id(), e);
                told(i, e);
            }
            proxies.add(born(i));
            proxies.get(i)
                    .nodes(
                            ListKind.FULL,
                            world.version(),
                            world.truth().stream().map(this::node).toList());
            front.inService(i, true);
        }
        experiment.faults().stream()
                .filter(f -> !f.what().ofLoad())
                .forEach(f -> agenda.at(f.atMs(), () -> begin(f)));
        if (!load.firsts().isEmpty()) {
            agenda.at(load.firsts().get(0).atMs(), () -> arrive(0));
        }
        double longest = experiment.load().longestMs();
        double last =
                experiment.durationS() * MS_PER_S
                        + longest
                        + SETTLE_MS
                        + experiment.rules().slackMs();
        double nextLook = 0;
        while (true) {
            double next = Math.min(agenda.nextAt(), world.nextAt());
            if (next > last) {
                break;
            }
            if (next >= nextLook) {
                look(nextLook);
                nextLook += 100;
            }
            agenda.moveTo(next);
            if (world.nextAt() <= next) {
                world.advance(next, acts);
            } else {
                agenda.step();
            }
        }
        return results();
    }

    private void look(double at) {
        int second = (int) (at / MS_PER_S);
        if (at % MS_PER_S == 0) {
            pool.look();
        }
        for (VirtualProxy p : proxies) {
            if (second < levels.length) {
                levels[second] = Math.max(levels[second], p.level());
            }
            largestTable = Math.max(largestTable, p.table());
        }
    }

    private VirtualProxy born(int index) {
        var settings = ProxySettings.read(experiment, plan, index, IDLE_MS, CONNECT_MS);
        long seed = experiment.seed() * 31 + index * 7919L + lives++;
        VirtualProxy proxy =
                new VirtualProxy(index, agenda, settings, maker.make(settings, seed), new Wires());
        peers.born(proxy, lives, () -> serving(index));
        policy.born(index, lives);
        proxy.start(remembered(index));
        inMaintenance.forEach(node -> proxy.maintain(node, true));
        return proxy;
    }

    // Clients.

    private void arrive(int index) {
        if (index + 1 < load.firsts().size()) {
            agenda.at(load.firsts().get(index + 1).atMs(), () -> arrive(index + 1));
        }
        attempt(load.firsts().get(index), 1);
    }

    private void attempt(First first, int tries) {
        int index = front.pick(first.zone());
        if (index < 0 || proxies.get(index).dead()) {
            over(first, tries, Ending.UNREACHED, -1, 0);
            return;
        }
        VirtualProxy proxy = proxies.get(index);
        String id = habits.id(first, tries);
        asked.put(id, first);
        double budget = habits.budgetMs(first, agenda.now());
        Experiment.Class type = habits.type(first);
        Try entry =
                ledger.sent(
                        id, first.index(), first.type(), first.key(), index, agenda.now(), budget);
        boolean[] done = new boolean[1];
        agenda.in(
                budget,
                () -> {
                    if (!done[0]) {
                        done[0] = true;
                        over(first, tries, Ending.FAILED, 0, 0);
                    }
                });
        agenda.in(
                budget + experiment.rules().slackMs(),
                () -> {
                    if (entry.replies.isEmpty()) {
                        entry.gaveUpAt = agenda.now();
                        proxy.clientGone(id);
                    }
                });
        proxy.request(
                new Request(
                        id,
                        type.name(),
                        null,
                        PathKey.of(Habits.path(first.key())),
                        first.hintMs(),
                        budget,
                        type.write(),
                        tries > 1 && experiment.load().marksRetries()),
                (status, retryAfterMs, made) -> {
                    entry.replies.add(new Reply(agenda.now(), status, retryAfterMs, made));
                    asked.remove(id);
                    if (status != OK) {
                        world.abandoned(id);
                    }
                    if (!done[0]) {
                        done[0] = true;
                        over(first, tries, Habits.ending(status), status, retryAfterMs);
                    }
                });
    }

    private void over(First first, int tries, Ending ending, int status, double retryAfterMs) {
        double again = habits.againAt(first, tries, ending, retryAfterMs, agenda.now());
        if (Double.isNaN(again)) {
            stories[first.index()] = new Story(first, 0, agenda.now(), status, tries);
        } else {
            agenda.at(again, () -> attempt(first, tries + 1));
        }
    }

    // The network between proxies and machines.

    private int zone(String machine) {
        return zones.get(machine);
    }

    private boolean silent(int proxy, String machine) {
        if (agenda.now() < blindUntil[proxy]) {
            return true;
        }
        int here = plan.proxyZones().get(proxy);
        int there = zone(machine);
        return agenda.now() < silentUntil.getOrDefault(machine, 0.0)
                || here != there
                        && (agenda.now() < cutUntil[here] || agenda.now() < cutUntil[there]);
    }

    private final class Wires implements VirtualProxy.Network {
        @Override
        public void send(
                VirtualProxy from, String request, int number, String node, double waitMs) {
            peers.sent(from, node);
            pool.use(
                    from.index,
                    node,
                    new VirtualPool.Exchange() {
                        @Override
                        public boolean wanted() {
                            return from.awaits(request, number);
                        }

                        @Override
                        public void go(VirtualPool.Link link) {
                            write(from, request, number, node, waitMs, link);
                        }

                        @Override
                        public void unconnected() {
                            from.ended(request, number, Outcome.CONNECT_FAILED, 0, 0);
                        }
                    });
        }

        private void write(
                VirtualProxy from,
                String request,
                int number,
                String node,
                double waitMs,
                VirtualPool.Link link) {
            double delay = plan.delayMs(from.index, zone(node));
            boolean silent = silent(from.index, node);
            if (link.fresh && silent) {
                lost(
                        from,
                        request,
                        number,
                        link,
                        Outcome.CONNECT_FAILED,
                        Math.min(CONNECT_MS, waitMs));
                return;
            }
            if (!world.alive(node) && !silent) {
                lost(
                        from,
                        request,
                        number,
                        link,
                        link.fresh ? Outcome.CONNECT_FAILED : Outcome.RESET,
                        2 * delay);
                return;
            }
            if (link.fresh) {
                if (random.nextDouble() < resetShare.getOrDefault(node, 0.0)) {
                    lost(from, request, number, link, Outcome.CONNECT_FAILED, 2 * delay);
                    return;
                }
                world.handshake(agenda.now(), node, acts);
            }
            First first = asked.get(request);
            Experiment.Class type = habits.type(first);
            World.Job job = new World.Job(request, first.key(), type.write(), first.workMs());
            boolean origin = node.equals(plan.origin().id());
            // On sockets the request's bytes are there at once, and wait for the link's delay at
            // the machine.
            Attempt attempt =
                    new Attempt(
                            ++attempts,
                            request,
                            node,
                            origin,
                            from.index,
                            agenda.now(),
                            agenda.now(),
                            silent ? 0 : world.weight(agenda.now(), node, job),
                            silent ? 0 : job.workMs());
            attempt.atColdNode = !origin && world.cold(node, agenda.now());
            ledger.attempt(attempt);
            Out o = new Out(from, request, number, node, attempt, delay, link);
            byTry.put(request, o);
            if (silent) {
                // It never arrives, which its proxy cannot know.
                return;
            }
            out.put(attempt.number, o);
            agenda.in(
                    link.fresh ? 3 * delay : delay,
                    () -> {
                        if (out.get(attempt.number) != o || silent(from.index, node)) {
                            return;
                        }
                        if (link.beyond) {
                            answered(attempt.number, World.rejected());
                        } else {
                            world.request(
                                    agenda.now(), node, attempt.number, from.index, job, acts);
                        }
                    });
        }

        /** The attempt never reaches its machine. */
        private void lost(
                VirtualProxy from,
                String request,
                int number,
                VirtualPool.Link link,
                Outcome outcome,
                double afterMs) {
            agenda.in(
                    afterMs,
                    () -> {
                        pool.close(link);
                        from.ended(request, number, outcome, 0, 0);
                    });
        }

        @Override
        public void probe(VirtualProxy from, String node) {
            boolean silent = silent(from.index, node);
            boolean alive = world.alive(node);
            double takes = silent ? PROBE_MS : 2 * plan.delayMs(from.index, zone(node));
            agenda.in(
                    takes,
                    () ->
                            from.probed(
                                    node,
                                    silent
                                            ? Outcome.TIMEOUT
                                            : alive ? Outcome.OK : Outcome.CONNECT_FAILED,
                                    takes));
        }

        @Override
        public void seen(
                VirtualProxy from, String node, Outcome outcome, double elapsedMs, boolean probe) {
            peers.seen(from, node, outcome, elapsedMs, probe);
        }

        @Override
        public void abandon(VirtualProxy from, String request, int number) {
            Out o = byTry.get(request);
            if (o != null && o.number == number) {
                o.attempt.closedAt = agenda.now();
                o.over = true;
                pool.close(o.link);
                byTry.remove(request);
                world.abandoned(request);
            }
        }
    }

    private void drop(Out o) {
        out.remove(o.attempt.number);
    }

    private void end(Out o, Outcome outcome, int note, long made) {
        if (!o.over) {
            o.over = true;
            // Nothing but a whole answer leaves it of use, and that has freed it.
            pool.close(o.link);
            byTry.remove(o.request, o);
            o.attempt.closedAt =
                    Math.min(
                            o.attempt.closedAt,
                            outcome == Outcome.RESET || outcome == Outcome.ERROR
                                    ? agenda.now()
                                    : Double.POSITIVE_INFINITY);
            o.proxy.ended(o.request, o.number, outcome, note, made);
        }
    }

    private void answered(long number, Answer answer) {
        Out o = out.get(number);
        if (o == null) {
            return;
        }
        drop(o);
        o.attempt.ran = answer.ran();
        o.attempt.verdict = Verdict.of(answer);
        agenda.in(
                o.delayMs,
                () -> {
                    if (silent(o.proxy.index, o.node) || o.proxy.dead()) {
                        return;
                    }
                    Outcome outcome =
                            switch (answer.manner()) {
                                case WHOLE ->
                                        o.link.beyond
                                                ? Outcome.CONNECT_FAILED
                                                : answer.rejected()
                                                        ? Outcome.REJECTED
                                                        : answer.status() == NOT_FOUND
                                                                ? Outcome.MISS
                                                                : answer.status() == OK
                                                                        ? Outcome.OK
                                                                        : Outcome.ERROR;
                                case HALF, RESET_AFTER -> Outcome.RESET;
                                case SPOILT -> Outcome.ERROR;
                                case NEVER -> null;
                            };
                    if (outcome == null || o.over) {
                        return;
                    }
                    if (answer.manner() == World.Manner.WHOLE) {
                        o.attempt.answeredAt = agenda.now();
                        if (o.link.beyond) {
                            pool.turnedAway(o.link);
                        } else {
                            pool.free(o.link);
                        }
                    } else {
                        o.attempt.closedAt = agenda.now();
                    }
                    end(
                            o,
                            outcome,
                            answer.hit().equals("hit") ? 1 : answer.hit().equals("miss") ? 2 : 0,
                            number);
                });
    }

    // Faults.

    private void begin(Fault fault) {
        mark(fault.label());
        if (strikes.begin(fault, agenda.now())) {
            if (fault.forS() > 0) {
                agenda.at(fault.endMs(), () -> strikes.end(fault, agenda.now()));
            }
            return;
        }
        switch (fault.what()) {
            case NODE_SILENT ->
                    strikes.targets(fault)
                            .forEach(
                                    id -> {
                                        world.stall(agenda.now(), id, fault.endMs(), acts);
                                        silentUntil.put(id, fault.endMs());
                                        agenda.at(
                                                fault.endMs(),
                                                () -> healed(o -> o.node.equals(id)));
                                    });
            case NODE_MAINTENANCE -> strikes.targets(fault).forEach(id -> maintain(id, fault));
            case ZONE_CUT -> {
                int zone = plan.zones().indexOf(fault.target());
                cutUntil[zone] = Math.max(cutUntil[zone], fault.endMs());
                agenda.at(
                        fault.endMs(),
                        () ->
                                healed(
                                        o ->
                                                plan.proxyZones().get(o.proxy.index)
                                                        == zone
                                                        != (zone(o.node) == zone)));
            }
            case RESET_BEFORE ->
                    strikes.targets(fault)
                            .forEach(
                                    id -> {
                                        resetShare.put(id, fault.share());
                                        agenda.at(fault.endMs(), () -> resetShare.remove(id));
                                    });
            case DISCOVERY_SILENT ->
                    each(
                            fault,
                            i -> {
                                world.holdNews(i, fault.endMs());
                                noListBefore[i] = Math.max(noListBefore[i], fault.endMs());
                            });
            case PROXY_KILL -> each(fault, i -> kill(i, fault));
            case PROXY_TERM ->
                    each(
                            fault,
                            i -> {
                                agenda.in(FRONT_MS, () -> front.inService(i, false));
                                double longest = experiment.load().longestMs();
                                agenda.in(FRONT_MS + longest + SETTLE_MS, () -> kill(i, fault));
                            });
            case PROXY_STOP ->
                    each(
                            fault,
                            i -> {
                                ledger.excuse(
                                        new Ledger.Excuse(
                                                i,
                                                agenda.now(),
                                                fault.endMs() + SETTLE_MS,
                                                "SIGSTOP"));
                                stop(i, fault.endMs());
                            });
            case PROXY_STARVED ->
                    each(
                            fault,
                            i -> {
                                ledger.excuse(
                                        new Ledger.Excuse(
                                                i,
                                                agenda.now(),
                                                fault.endMs() + SETTLE_MS,
                                                "starved"));
                                starve(i, fault);
                            });
            case MACHINE_BUSY -> mark("a busy machine is not played in virtual time");
            case PROXY_BLIND -> each(fault, i -> blindUntil[i] = fault.endMs());
            case GOSSIP_CUT, GOSSIP_SPLIT, GOSSIP_LOSS, GOSSIP_DEAF, GOSSIP_MUTE, GOSSIP_ONEWAY -> {
                peers.begin(fault);
                policy.begin(fault);
            }
            case POLICY_PROPOSE -> policy.begin(fault);
            case LEADER_KILL -> {
                int leader = policy.leader();
                mark("the leader is " + (leader < 0 ? "nobody" : "proxy-" + leader));
                if (leader >= 0) {
                    kill(leader, fault);
                }
            }
            case LIAR_ACCUSES, LIAR_PRAISES, LIAR_FLIPS, PROXY_CLOCK -> peers.begin(fault);
            case PROXY_HUP -> mark("proxy-hup changes nothing in virtual time");
            case HOSTILE -> mark("hostile peers are not played in virtual time");
            default -> throw new IllegalStateException("no such fault: " + fault.what());
        }
    }

    /**
     * In the order in which they were sent: a hash table's own would not be the same from run to
     * run.
     */
    private List<Out> struck(java.util.function.Predicate<Out> struck) {
        return out.values().stream()
                .filter(struck)
                .sorted(Comparator.comparingLong(o -> o.attempt.number))
                .toList();
    }

    /** Connections from before a cut are reset when the link is back. */
    private void healed(java.util.function.Predicate<Out> struck) {
        for (Out o : struck(struck)) {
            drop(o);
            end(o, Outcome.RESET, 0, 0);
        }
    }

    private void each(Fault fault, java.util.function.IntConsumer act) {
        for (int i = 0; i < proxies.size(); i++) {
            if (fault.strikes("proxy-", i, proxies.size())) {
                act.accept(i);
            }
        }
    }

    /**
     * A node in maintenance is down for the middle half of it, so it is back cold when it may serve
     * again.
     */
    private void maintain(String node, Fault fault) {
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
        proxies.forEach(p -> p.maintain(node, true));
        agenda.at(restart.atMs(), () -> strikes.begin(restart, agenda.now()));
        agenda.at(restart.endMs(), () -> strikes.end(restart, agenda.now()));
        agenda.at(
                fault.endMs(),
                () -> {
                    inMaintenance.remove(node);
                    proxies.forEach(p -> p.maintain(node, false));
                });
    }

    private void stop(int index, double until) {
        proxies.get(index).stop(until);
        peers.stop(index, until);
        policy.stop(index, until);
    }

    private void starve(int index, Fault fault) {
        if (fault.at(agenda.now())) {
            stop(index, agenda.now() + fault.share() * Fault.STARVE_EVERY_MS);
            agenda.in(Fault.STARVE_EVERY_MS, () -> starve(index, fault));
        }
    }

    private void kill(int index, Fault fault) {
        VirtualProxy old = proxies.get(index);
        if (old.dead()) {
            // It is on its way back already; a second start would take the place of the first.
            return;
        }
        if (old.owed() > 0) {
            ledger.excuse(new Ledger.Excuse(index, agenda.now(), agenda.now(), "it ended"));
        }
        old.die();
        hasList[index] = false;
        pool.ended(index);
        peers.died(index);
        policy.died(index);
        agenda.in(
                experiment.proxies().noticeS() * MS_PER_S,
                () -> {
                    if (proxies.get(index).dead()) {
                        front.inService(index, false);
                    }
                });
        agenda.in(
                fault.forS() * MS_PER_S + START_MS,
                () -> {
                    proxies.set(index, born(index));
                    askForList(index, proxies.get(index));
                    front.inService(index, true);
                    mark("proxy-" + index + " is ready again");
                });
    }

    private Results results() {
        List<Story> told =
                java.util.Arrays.stream(stories).filter(java.util.Objects::nonNull).toList();
        if (told.size() < stories.length) {
            seen.add(
                    new Violation(
                            Rule.GENERATOR,
                            "load",
                            agenda.now(),
                            stories.length - told.size() + " first tries have no end"));
        }
        List<VirtualProxy> alive = proxies.stream().filter(p -> !p.dead()).toList();
        alive.stream()
                .filter(p -> p.owed() > 0)
                .forEach(
                        p ->
                                seen.add(
                                        new Violation(
                                                Rule.ONE_ANSWER,
                                                "proxy-" + p.index,
                                                agenda.now(),
                                                p.owed() + " requests are still owed an answer")));
        Map<String, Double> own =
                new TreeMap<>(
                        Map.of(
                                "proxy.table_max",
                                (double) largestTable,
                                "proxy.entries_left",
                                alive.stream().mapToDouble(VirtualProxy::entries).max().orElse(0),
                                "proxy.backstops",
                                proxies.stream().mapToDouble(VirtualProxy::backstops).sum(),
                                "proxy.timers_left",
                                alive.stream().mapToDouble(VirtualProxy::timers).max().orElse(0),
                                "machines.connections_opened",
                                (double) pool.opened(),
                                "machines.connections_open_max",
                                plan.nodes().stream()
                                        .mapToDouble(n -> pool.mostOpen(n.id()))
                                        .max()
                                        .orElse(0),
                                "origin.connections_open_max",
                                (double) pool.mostOpen(plan.origin().id()),
                                "machines.connections_turned_away",
                                (double) pool.turnedAway()));
        own.putAll(peers.figures(alive, ledger));
        own.putAll(policy.figures());
        seen.addAll(policy.violations());
        return new Played(experiment, "virtual", plan, load, ledger, told, levels, marks, seen)
                .judged(own);
    }
}
