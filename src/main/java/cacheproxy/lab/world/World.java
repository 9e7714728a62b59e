package cacheproxy.lab.world;

import cacheproxy.lab.world.Installation.NodeMake;
import cacheproxy.lab.world.Installation.OriginMake;
import cacheproxy.measure.SlidingSum;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The installation's machines and list. A driver reports what reaches a machine and asks it to go
 * on to a time; the world answers with effects. Times are milliseconds of the run and never run
 * back. The same calls with the same generator give the same effects.
 */
public final class World {

    /** What a request is, whichever attempt of it comes. {@code workMs} is core time at speed 1. */
    public record Job(String call, long key, boolean write, double workMs) {}

    /** How an answer ends. */
    public enum Manner {
        WHOLE,
        HALF,
        SPOILT,
        RESET_AFTER,
        NEVER
    }

    /**
     * An attempt's answer. {@code hit} is what the node tells of a read, {@code version} that of
     * the value in the body, {@code ran} whether the request had its effect or was worked on.
     */
    public record Answer(
            int status,
            String hit,
            boolean rejected,
            Manner manner,
            int bytes,
            long version,
            boolean ran) {}

    /** What the list says of a machine. */
    public enum Health {
        UP,
        DRAINING,
        REMOVED
    }

    /** One entry of a list. {@code startedAt} is a time of the run, or negative for long ago. */
    public record Entry(
            String id, String kind, int zone, Health health, double weight, double startedAt) {}

    /** What the world wants done. */
    public interface Effects {

        /** An attempt's answer leaves its machine now. */
        void answer(long attempt, Answer answer);

        /** Discovery has this for a proxy now: the entries that changed up to a version. */
        void list(int proxy, long version, List<Entry> entries);

        /** The machine's process died: its connections are reset and new ones refused. */
        void died(String machine);

        /** The machine's process is up, and takes connections. */
        void up(String machine);

        /** The origin was pushed over, and stops for a while. */
        void originStopped();

        /**
         * Something that belongs into the results: an origin that stops, a node that falls over.
         */
        void note(String text);
    }

    private record Open(long attempt, Job job, int proxy, String machine) {}

    private record News(double at, long version, List<Entry> entries) {}

    /**
     * A machine has something to say at a time, unless it has been stamped anew; {@code order}
     * settles ties.
     */
    private record Wake(double at, long order, Unit unit, long stamp) implements Comparable<Wake> {

        @Override
        public int compareTo(Wake other) {
            return at < other.at ? -1 : at > other.at ? 1 : Long.compare(order, other.order);
        }
    }

    private record Due(int proxy, News news) {}

    private static final double LONG_AGO = -1;
    private static final String ORIGIN_KIND = "origin";

    /** Stops of the origin that a load can cause in one run; later ones would say nothing new. */
    private static final int MOST_STOPS = 2;

    private final Installation plan;
    private final RandomGenerator random;
    private final Map<String, Unit> units = new LinkedHashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private final Map<String, List<String>> missedAt = new HashMap<>();
    private final Map<Long, Long> versions = new HashMap<>();

    /** Nodes that may hold a key, so that a write need not ask every node. */
    private final Map<Long, List<Unit>> holdersOf = new HashMap<>();

    private final List<Deque<News>> news = new ArrayList<>();
    private final PriorityQueue<Wake> due = new PriorityQueue<>();
    private final PriorityQueue<Due> told =
            new PriorityQueue<>(
                    Comparator.comparingDouble((Due d) -> d.news().at())
                            .thenComparingLong(d -> d.news().version())
                            .thenComparingInt(Due::proxy));
    private long wakes;
    private final double[] lastNews;
    private final double[] rosterDelay;

    /** Work that was sent to the origin, in core-milliseconds. */
    private final SlidingSum originWork = new SlidingSum();

    private double originOverSince = -1;
    private int originStops;
    private double nextWeights;
    private long version = 1;
    private double extraDelayMs;

    /** A machine's processor and what it keeps. */
    private final class Unit {
        final String id;
        final String kind;
        final int zone;
        final Machine machine;
        final Store store;
        final NodeMake node;
        boolean alive = true;
        Health health = Health.UP;
        double startedAt = LONG_AGO;
        double weight = 1;
        ColdWindow cold;
        double half;
        double spoilt;
        double resets;
        double errors;
        long stamp;

        Unit(String id, String kind, int zone, Machine.Make make, NodeMake node, double now) {
            this.id = id;
            this.kind = kind;
            this.zone = zone;
            this.machine = new Machine(make, now);
            this.node = node;
            this.store = node == null ? null : new Store(node.memoryBytes());
            this.errors = node == null ? 0 : node.errorShare();
            this.weight = make.cores();
        }

        boolean origin() {
            return node == null;
        }

        Entry entry() {
            return new Entry(id, kind, zone, health, weight, startedAt);
        }
    }

    /** What a cold node may be sent, and whether it falls over when it gets more. */
    public record Limits(ColdAllowance cold, boolean coldFalls) {}

    private final Limits limits;

    public World(Installation plan, Limits limits, RandomGenerator random) {
        this.plan = plan;
        this.limits = limits;
        this.random = random;
        for (NodeMake node : plan.machines()) {
            units.put(
                    node.id(),
                    new Unit(node.id(), node.kind(), node.zone(), node.machine(), node, 0));
        }
        for (NodeMake spare : plan.spares()) {
            units.get(spare.id()).alive = false;
            units.get(spare.id()).health = Health.REMOVED;
        }
        OriginMake o = plan.origin();
        units.put(o.id(), new Unit(o.id(), ORIGIN_KIND, o.zone(), o.machine(), null, 0));
        plan.proxyZones().forEach(z -> news.add(new ArrayDeque<>()));
        lastNews = new double[plan.proxyZones().size()];
        rosterDelay = new double[plan.proxyZones().size()];
        nextWeights = draw(plan.roster().weightMs());
    }

    private double draw(double[] range) {
        return range[0] + (range[1] - range[0]) * random.nextDouble();
    }

    // What a driver asks.

    /** The whole list as it is now, in truth. */
    public List<Entry> truth() {
        return units.values().stream()
                .filter(u -> u.health != Health.REMOVED)
                .map(Unit::entry)
                .toList();
    }

    public long version() {
        return version;
    }

    /** Bytes of a key's value: the same at each machine. */
    public int bytes(long key) {
        double[] range = plan.storing().bytes();
        long mixed = key * 0x9E3779B97F4A7C15L;
        double part = (mixed >>> 11) * 0x1.0p-53;
        return (int) (range[0] * Math.pow(range[1] / range[0], part));
    }

    public boolean cold(String machine, double now) {
        Unit unit = units.get(machine);
        return unit != null && unit.machine.cold(now);
    }

    /** What a node that has just started may be sent. */
    public ColdAllowance coldAllowance() {
        return limits.cold();
    }

    public boolean alive(String machine) {
        return units.get(machine).alive;
    }

    /**
     * Fills each node with what it would have been asked for lately: the keys of these ranks at
     * these nodes.
     */
    public void keep(String node, long key, double voidAt) {
        store(units.get(node), key, new Store.Copy(bytes(key), versionOf(key), voidAt));
    }

    private void store(Unit unit, long key, Store.Copy copy) {
        unit.store.put(key, copy);
        List<Unit> holders = holdersOf.computeIfAbsent(key, k -> new ArrayList<>(2));
        if (!holders.contains(unit)) {
            holders.add(unit);
        }
    }

    private long versionOf(long key) {
        return versions.getOrDefault(key, 0L);
    }

    /** When the world next has something to do by itself. */
    public double nextAt() {
        dropStale();
        double next = due.isEmpty() ? nextWeights : Math.min(nextWeights, due.peek().at());
        return told.isEmpty() ? next : Math.min(next, told.peek().news().at());
    }

    // Events.

    /** Goes on to a time: work that is done by then is answered, news that is due is told. */
    public void advance(double now, Effects out) {
        dropStale();
        while (!due.isEmpty() && due.peek().at() <= now) {
            work(due.remove().unit(), now, out);
            dropStale();
        }
        if (now >= nextWeights) {
            renewWeights();
            change(
                    now,
                    units.values().stream()
                            .filter(u -> u.health != Health.REMOVED)
                            .map(Unit::entry)
                            .toList());
            nextWeights = now + draw(plan.roster().weightMs());
        }
        while (!told.isEmpty() && told.peek().news().at() <= now) {
            Due next = told.remove();
            if (news.get(next.proxy()).peek() == next.news()) {
                news.get(next.proxy()).remove();
                out.list(next.proxy(), next.news().version(), next.news().entries());
            }
        }
    }

    /** Lets a machine work until now, and notes when it has something to say next. */
    private void work(Unit unit, double now, Effects out) {
        if (unit.alive) {
            unit.machine.advance(now).forEach(d -> finished(d.atMs(), unit, d.job(), out));
            rearm(unit);
        }
    }

    private void rearm(Unit unit) {
        double at = unit.alive ? unit.machine.nextAt() : Double.POSITIVE_INFINITY;
        unit.stamp++;
        if (at < Double.POSITIVE_INFINITY) {
            due.add(new Wake(at, ++wakes, unit, unit.stamp));
        }
    }

    /** Wakes that a later event of the same machine has put off. */
    private void dropStale() {
        while (!due.isEmpty() && due.peek().stamp() != due.peek().unit().stamp) {
            due.remove();
        }
    }

    /** A new connection to a machine was opened: that costs it work, which nobody waits for. */
    public void handshake(double now, String machine, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        double work = unit.origin() ? plan.origin().handshakeMs() : unit.node.handshakeMs();
        if (work > 0 && unit.alive) {
            work(unit, now, out);
            unit.machine.offer(-1, work);
            rearm(unit);
        }
    }

    /**
     * The last byte of an attempt has come to a machine. {@code attempt} is above 0 and never used
     * again.
     */
    public void request(double now, String machine, long attempt, int proxy, Job job, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        if (!unit.alive) {
            return;
        }
        weigh(now, unit, job, out);
        if (!unit.alive) {
            return;
        }
        if (unit.health != Health.UP && unit.health != Health.DRAINING) {
            out.answer(attempt, rejected());
            return;
        }
        work(unit, now, out);
        Open o = new Open(attempt, job, proxy, machine);
        double work = weight(now, machine, job);
        if (unit.machine.offer(attempt, work)) {
            open.put(attempt, o);
            rearm(unit);
        } else {
            out.answer(attempt, rejected());
        }
    }

    /**
     * What a request weighs at a machine now, in core-milliseconds, whether it is taken or turned
     * away.
     */
    public double weight(double now, String machine, Job job) {
        Unit unit = units.get(machine);
        return unit.origin() ? originWork(job) : nodeWork(now, unit, job);
    }

    private double originWork(Job job) {
        return job.workMs()
                * plan.origin().fetchShare()
                * (job.write() ? plan.origin().writeTimes() : 1);
    }

    private double nodeWork(double now, Unit unit, Job job) {
        return job.write() || unit.store.get(job.key(), now) == null
                ? unit.node.missWorkMs()
                : job.workMs();
    }

    /** The answer of a machine that turns a request or its connection away. */
    public static Answer rejected() {
        return new Answer(503, "", true, Manner.WHOLE, 0, 0, false);
    }

    /** Nobody waits for these any more: a fetch of theirs stores nothing. Work goes on. */
    public void abandoned(String call) {
        missedAt.remove(call);
    }

    private void finished(double now, Unit unit, long attempt, Effects out) {
        Open o = open.remove(attempt);
        if (o == null) {
            return;
        }
        Job job = o.job();
        Manner manner = manner(unit);
        if (random.nextDouble() < unit.errors) {
            out.answer(attempt, new Answer(500, "", false, Manner.WHOLE, 0, 0, true));
        } else if (unit.origin()) {
            long made =
                    job.write() ? versions.merge(job.key(), 1L, Long::sum) : versionOf(job.key());
            if (job.write()) {
                List<Unit> holders = holdersOf.remove(job.key());
                (holders == null ? List.<Unit>of() : holders).forEach(u -> u.store.drop(job.key()));
            } else {
                keepWhereMissed(now, job, made);
            }
            missedAt.remove(job.call());
            out.answer(attempt, new Answer(200, "", false, manner, bytes(job.key()), made, true));
        } else {
            Store.Copy copy = job.write() ? null : unit.store.get(job.key(), now);
            if (copy == null) {
                missedAt.computeIfAbsent(job.call(), c -> new ArrayList<>()).add(unit.id);
                out.answer(attempt, new Answer(404, "miss", false, manner, 0, 0, false));
            } else {
                missedAt.remove(job.call());
                out.answer(
                        attempt,
                        new Answer(200, "hit", false, manner, copy.bytes(), copy.version(), true));
            }
        }
    }

    private Manner manner(Unit unit) {
        double u = random.nextDouble();
        if (u < unit.half) {
            return Manner.HALF;
        }
        if (u < unit.half + unit.spoilt) {
            return Manner.SPOILT;
        }
        return u < unit.half + unit.spoilt + unit.resets ? Manner.RESET_AFTER : Manner.WHOLE;
    }

    /** A fetched value is stored at the first two nodes that missed for its request. */
    private void keepWhereMissed(double now, Job job, long made) {
        List<String> missed = missedAt.getOrDefault(job.call(), List.of());
        for (String node : missed.subList(0, Math.min(2, missed.size()))) {
            Unit unit = units.get(node);
            if (unit.alive) {
                store(
                        unit,
                        job.key(),
                        new Store.Copy(bytes(job.key()), made, now + plan.storing().ttlMs()));
            }
        }
    }

    /**
     * Adds what a machine was sent to its budget: a cold node falls over for good, the origin stops
     * for a while.
     */
    private void weigh(double now, Unit unit, Job job, Effects out) {
        if (unit.origin()) {
            weighOrigin(now, unit, originWork(job), out);
        } else if (unit.cold != null
                && unit.cold.cold(now)
                && unit.cold.add(now, job.workMs() / limits.cold().meanWorkMs()) > 1
                && limits.coldFalls()) {
            out.note(unit.id + " was pushed over while cold");
            kill(now, unit.id, out);
        }
    }

    private void weighOrigin(double now, Unit unit, double work, Effects out) {
        OriginMake o = plan.origin();
        originWork.add(now, work);
        double latest = originWork.from(now - o.fallMs());
        boolean over =
                o.fallMultiple() > 0
                        && latest > o.fallMultiple() * unit.machine.fullCapacity() * o.fallMs();
        if (over && originStops < MOST_STOPS && !unit.machine.stalled(now)) {
            originStops++;
            double down = draw(o.downMs());
            out.note(
                    "the origin was sent "
                            + o.fallMultiple()
                            + " times its capacity and stops for "
                            + Math.round(down)
                            + " ms");
            out.originStopped();
            work(unit, now, out);
            unit.machine.stall(now + down);
            rearm(unit);
            originWork.clear();
        }
    }

    // The list.

    private void renewWeights() {
        for (Unit unit : units.values()) {
            unit.weight =
                    unit.machine.cores()
                            / (1 + (double) unit.machine.held() / unit.machine.cores());
        }
    }

    private void change(double now, List<Entry> entries) {
        version++;
        for (int proxy = 0; proxy < news.size(); proxy++) {
            double delay = draw(plan.roster().delayMs()) + extraDelayMs;
            // In order of version: news never overtakes older news.
            lastNews[proxy] = Math.max(lastNews[proxy], Math.max(now + delay, rosterDelay[proxy]));
            tell(proxy, new News(lastNews[proxy], version, entries));
        }
    }

    private void tell(int proxy, News item) {
        news.get(proxy).add(item);
        told.add(new Due(proxy, item));
    }

    private void change(double now, Unit unit) {
        change(now, List.of(unit.entry()));
    }

    // Faults.

    /** The process dies; the list hears of it. */
    public void kill(double now, String machine, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        work(unit, now, out);
        unit.alive = false;
        rearm(unit);
        open.values().removeIf(o -> o.machine().equals(machine));
        unit.health = Health.REMOVED;
        out.died(machine);
        change(now, unit);
    }

    /** The process starts, empty and cold. */
    public void start(double now, String machine, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        unit.machine.restartCold(now);
        if (unit.store != null) {
            unit.store.dropAll();
        }
        unit.cold = new ColdWindow(limits.cold(), now, unit.machine.fullCapacity());
        unit.alive = true;
        unit.health = Health.UP;
        unit.startedAt = now;
        out.up(machine);
        change(now, unit);
    }

    /** The list says that the machine wants nothing new; it goes on with all it gets. */
    public void drain(double now, String machine, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        unit.health = Health.DRAINING;
        change(now, unit);
    }

    /** The machine does nothing until then. */
    public void stall(double now, String machine, double until, Effects out) {
        altered(now, machine, m -> m.stall(until), out);
    }

    /** Each piece of work takes so many times as long from now on; 1 is the usual. */
    public void slow(double now, String machine, double factor, Effects out) {
        altered(now, machine, m -> m.slow(factor), out);
    }

    /** A machine that has worked until now goes on in another way. */
    private void altered(double now, String machine, Consumer<Machine> change, Effects out) {
        advance(now, out);
        Unit unit = units.get(machine);
        work(unit, now, out);
        change.accept(unit.machine);
        rearm(unit);
    }

    /**
     * Shares of answers that are cut in half, make no sense, or end in a reset instead, from now
     * on.
     */
    public void spoil(String machine, double half, double spoilt, double resets) {
        Unit unit = units.get(machine);
        unit.half = half;
        unit.spoilt = spoilt;
        unit.resets = resets;
    }

    /** Share of requests that end in an error from now on, beside the node's usual ones. */
    public void err(String machine, double share) {
        Unit unit = units.get(machine);
        unit.errors = share + (unit.node == null ? 0 : unit.node.errorShare());
    }

    /** This share of the keys goes void at every node at once. */
    public void voidCopies(double share) {
        // By key, not by draw: a key is void at all its nodes or at none.
        units.values().stream()
                .filter(u -> !u.origin())
                .forEach(
                        u ->
                                u.store.dropIf(
                                        key ->
                                                ((key * 0xD1B54A32D192ED03L) >>> 11) * 0x1.0p-53
                                                        < share));
    }

    /** News waits until then for a proxy, what is on its way already too. */
    public void holdNews(int proxy, double until) {
        rosterDelay[proxy] = until;
        List<News> waiting = new ArrayList<>(news.get(proxy));
        news.get(proxy).clear();
        waiting.forEach(
                n -> tell(proxy, new News(Math.max(n.at(), until), n.version(), n.entries())));
        lastNews[proxy] = Math.max(lastNews[proxy], until);
    }

    /** Every later news comes so much later than usual; 0 is the usual. */
    public void delayNews(double moreMs) {
        extraDelayMs = moreMs;
    }
}
