package cacheproxy.lab.virtual;

import cacheproxy.lab.Draw;
import cacheproxy.raft.ControlMachine;
import cacheproxy.stream.Change;
import cacheproxy.stream.Deliveries.Everywhere;
import cacheproxy.stream.Entry;
import cacheproxy.stream.Frames;
import cacheproxy.stream.Message;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.Subscriber;
import cacheproxy.stream.Window;
import com.google.gson.JsonObject;
import io.microraft.executor.RaftNodeExecutor;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * The change stream in virtual time: each proxy's {@link Subscriber}, four {@link ControlMachine}s
 * with disks that lose what was not flushed, and connections as TCP makes them: in order, a lost
 * segment late by its retransmissions, a reset or a silence at the end. The same code as in
 * processes but for sockets and files; every message to a proxy passes through {@link Frames}. What
 * proxies are given is held against one another at every entry, and against what its author was
 * told.
 */
final class VirtualStream {

    static final double STEP_MS = 20;
    private static final double SERVER_STEP_MS = 50;
    private static final double AGAIN_MS = 50;
    private static final double RTO_MS = 200;

    /**
     * The length before a frame, TCP and IP's headers, and an acknowledgement of its own for each.
     */
    private static final int PACKET_BYTES = 4 + 52 + 52;

    private static final int SNAPSHOT_EVERY = 1000;

    /**
     * What is played; links take {@code delayMs} to three times that, a share of the segments is
     * lost, and a share of the messages resets.
     */
    record Plan(
            int subscribers,
            int servers,
            long seed,
            double delayMs,
            double lossShare,
            double resetShare,
            Window.Bounds bounds,
            double paceBytesPerS) {}

    /** A connection, seen by both ends. */
    private final class Link {
        final long id = ++links;
        final Proxy proxy;
        final int attempt;
        final Server server;
        final int life;
        final double delayMs = plan.delayMs() * (1 + 2 * random.nextDouble());
        final double[] last = new double[2];
        boolean over;

        Link(Proxy proxy, int attempt, Server server) {
            this.proxy = proxy;
            this.attempt = attempt;
            this.server = server;
            this.life = server.life;
        }

        /**
         * Carries something; what meets a cut is gone, and the connection with it, though nobody
         * hears of that.
         */
        void carry(boolean down, int bytes, Runnable arrives) {
            if (over || proxy.cut) {
                over = true;
                return;
            }
            proxy.count(bytes + PACKET_BYTES);
            if (random.nextDouble() < plan.resetShare()) {
                reset();
                return;
            }
            int way = down ? 0 : 1;
            last[way] = Math.max(last[way], agenda.now() + delayMs + lateMs());
            agenda.at(
                    last[way],
                    () -> {
                        if (!over && !proxy.cut && server.life == life && server.up) {
                            arrives.run();
                        }
                    });
        }

        /** Both ends hear of the end. */
        void reset() {
            over = true;
            agenda.in(
                    delayMs,
                    () -> {
                        server.closed(id, life);
                        if (!proxy.cut) {
                            proxy.when(() -> proxy.subscriber.closed(agenda.now(), attempt, proxy));
                        }
                    });
        }
    }

    /** What a lost segment's retransmissions cost. */
    private double lateMs() {
        double late = 0;
        for (double rto = RTO_MS; random.nextDouble() < plan.lossShare(); rto *= 2) {
            late += rto;
        }
        return late;
    }

    /** A control machine, life after life. */
    private final class Server implements ControlMachine.Out, RaftNodeExecutor {
        final int index;
        final String name;
        final MemoryDisk disk = new MemoryDisk();
        final Map<Long, Link> connections = new HashMap<>();

        /** When what was sent last to another one comes there: its connections keep their order. */
        final Map<String, Double> arrival = new HashMap<>();

        ControlMachine machine;
        boolean up;
        boolean apart;
        int life;

        Server(int index) {
            this.index = index;
            this.name = "control-" + index;
        }

        void start() {
            up = true;
            life++;
            machine =
                    new ControlMachine(
                            new ControlMachine.Parts(
                                    name,
                                    servers.stream().map(s -> s.name).toList(),
                                    plan.bounds(),
                                    this,
                                    agenda::now,
                                    plan.seed() * 31 + index * 7919L + life,
                                    disk,
                                    disk.restored(),
                                    SNAPSHOT_EVERY),
                            this);
            machine.start();
            step(life);
        }

        void end(boolean silently) {
            up = false;
            disk.crash();
            connections
                    .values()
                    .forEach(
                            l -> {
                                l.over = true;
                                if (!silently) {
                                    agenda.in(
                                            l.delayMs,
                                            () ->
                                                    l.proxy.when(
                                                            () ->
                                                                    l.proxy.subscriber.closed(
                                                                            agenda.now(),
                                                                            l.attempt,
                                                                            l.proxy)));
                                }
                            });
            connections.clear();
        }

        private void step(int of) {
            when(
                    of,
                    () -> {
                        machine.tick(agenda.now());
                        agenda.in(SERVER_STEP_MS, () -> step(of));
                    });
        }

        private void when(int of, Runnable act) {
            if (up && life == of) {
                act.run();
            }
        }

        void closed(long connection, int of) {
            connections.remove(connection);
            when(of, () -> machine.publisher().closed(connection));
        }

        @Override
        public void tell(String control, JsonObject message) {
            Server to = servers.get(Integer.parseInt(control.substring("control-".length())));
            if (!apart && !to.apart) {
                int of = to.life;
                double at =
                        Math.max(
                                arrival.getOrDefault(control, 0.0),
                                agenda.now()
                                        + plan.delayMs() * (1 + random.nextDouble())
                                        + lateMs());
                arrival.put(control, at);
                agenda.at(at, () -> to.when(of, () -> to.machine.received(name, message)));
            }
        }

        @Override
        public void everywhere(Everywhere entry) {
            summed.add(entry);
        }

        @Override
        public void execute(Runnable task) {
            int of = life;
            agenda.in(0, () -> when(of, task));
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            int of = life;
            agenda.in(unit.toMicros(delay) / 1000.0, () -> when(of, task));
        }

        @Override
        public void send(long connection, Message message) {
            Link link = connections.get(connection);
            byte[] frame = Frames.encode(message);
            link.proxy.onTheWay += frame.length;
            link.carry(
                    true,
                    frame.length,
                    () ->
                            link.proxy.when(
                                    () -> {
                                        link.proxy.onTheWay -= frame.length;
                                        link.proxy.subscriber.received(
                                                agenda.now(),
                                                link.attempt,
                                                Frames.decode(ByteBuffer.wrap(frame)),
                                                link.proxy);
                                    }));
        }

        @Override
        public void close(long connection, String why) {
            Link link = connections.remove(connection);
            if (link != null) {
                link.reset();
            }
        }
    }

    /** A proxy, and what it has been told. */
    final class Proxy implements Subscriber.Out {
        final int index;
        final Subscriber subscriber;
        private float[] appliedAt = new float[0];
        final List<Snapshot> resets = new ArrayList<>();
        final Map<Integer, Integer> bytesBySecond = new HashMap<>();
        private Link link;
        private long last;
        private double pausedUntil;
        private boolean cut;
        long onTheWay;
        Change.Epoch epoch = Change.Epoch.NONE;

        Proxy(int index) {
            this.index = index;
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    servers.stream().map(s -> s.name).toList(),
                                    plan.paceBytesPerS(),
                                    Subscriber.BURST_BYTES,
                                    new Random(plan.seed() * 1_000_003 + index)),
                            0,
                            0,
                            agenda.now());
            last = -1;
        }

        void count(int bytes) {
            bytesBySecond.merge((int) (agenda.now() / 1000), bytes, Integer::sum);
        }

        void when(Runnable act) {
            if (agenda.now() < pausedUntil) {
                agenda.at(pausedUntil, () -> when(act));
            } else {
                act.run();
            }
        }

        void step() {
            when(
                    () -> {
                        subscriber.tick(agenda.now(), this);
                        agenda.in(STEP_MS, this::step);
                    });
        }

        @Override
        public void connect(String to, int attempt) {
            Server server =
                    servers.stream().filter(s -> s.name.equals(to)).findFirst().orElseThrow();
            Link made = new Link(this, attempt, server);
            link = made;
            if (!server.up) {
                if (!silent) {
                    agenda.in(
                            2 * made.delayMs,
                            () -> when(() -> subscriber.closed(agenda.now(), attempt, this)));
                }
                return;
            }
            made.carry(
                    false,
                    0,
                    () ->
                            made.carry(
                                    true,
                                    0,
                                    () ->
                                            when(
                                                    () -> {
                                                        server.connections.put(made.id, made);
                                                        subscriber.connected(
                                                                agenda.now(), attempt, this);
                                                    })));
        }

        @Override
        public void disconnect(int attempt) {
            Link old = link;
            old.over = true;
            if (!cut) {
                agenda.in(
                        old.delayMs,
                        () -> {
                            old.server.closed(old.id, old.life);
                        });
            }
        }

        @Override
        public void send(Message message) {
            Link used = link;
            byte[] frame = Frames.encode(message);
            used.carry(
                    false,
                    frame.length,
                    () ->
                            used.server.machine.received(
                                    used.id, Frames.decode(ByteBuffer.wrap(frame))));
        }

        @Override
        public boolean apply(List<Entry> entries) {
            for (Entry e : entries) {
                if (e.seq() != ++last
                        || !e.change().equals(given.computeIfAbsent(e.seq(), n -> e.change()))) {
                    throw new IllegalStateException(
                            "proxy-" + index + " at " + (last - 1) + " was given " + e);
                }
                applied(e.seq());
                head = Math.max(head, e.seq());
                if (e.change() instanceof Change.Epoch next) {
                    epoch = next;
                }
            }
            return true;
        }

        private void applied(long seq) {
            if (seq >= appliedAt.length) {
                int had = appliedAt.length;
                appliedAt = Arrays.copyOf(appliedAt, (int) Math.max(256, seq * 2));
                Arrays.fill(appliedAt, had, appliedAt.length, Float.NaN);
            }
            appliedAt[(int) seq] = (float) agenda.now();
        }

        /** When it had this entry; not a number where it has not. */
        float appliedAt(int seq) {
            return seq < appliedAt.length ? appliedAt[seq] : Float.NaN;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            resets.add(snapshot);
            for (long i = Math.max(1, last + 1); i <= snapshot.seq(); i++) {
                applied(i);
            }
            last = snapshot.seq();
            head = Math.max(head, last);
            epoch = snapshot.epoch();
            return true;
        }

        @Override
        public void event(Subscriber.What what, String server) {
            events.merge(what, 1, Integer::sum);
        }

        /** The most bytes that went both ways within any minute, a second. */
        double bytesPerSInTheWorstMinute() {
            int most = 0;
            for (int from : bytesBySecond.keySet()) {
                int sum = 0;
                for (int s = from; s < from + 60; s++) {
                    sum += bytesBySecond.getOrDefault(s, 0);
                }
                most = Math.max(most, sum);
            }
            return most / 60.0;
        }
    }

    private final Plan plan;
    final Agenda agenda = new Agenda();
    private final Random random;
    private final List<Server> servers = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();

    /** What was given at each place, as the first proxy heard it. */
    private final Map<Long, Change> given = new HashMap<>();

    /** What authors were told is kept. */
    private final Map<Long, Change> confirmed = new TreeMap<>();

    private final Map<Change, Double> askedAt = new HashMap<>();
    final List<Everywhere> summed = new ArrayList<>();
    final Map<Subscriber.What, Integer> events = new TreeMap<>();
    private long links;
    private long epochs;
    private long head;
    private boolean silent;

    VirtualStream(Plan plan) {
        this.plan = plan;
        random = new Random(Draw.generator(plan.seed(), Draw.Stream.POLICY).nextLong());
        for (int i = 0; i < plan.servers(); i++) {
            servers.add(new Server(i));
        }
        servers.forEach(Server::start);
        for (int i = 0; i < plan.subscribers(); i++) {
            Proxy p = new Proxy(i);
            proxies.add(p);
            agenda.in(random.nextDouble() * STEP_MS, p::step);
        }
    }

    /** How many entries their authors were told are kept. */
    int confirmed() {
        return confirmed.size();
    }

    /** The last entry that anybody was given. */
    long head() {
        return head;
    }

    /** An entry is asked for, of whoever leads, until it is confirmed. */
    void publish(Change change) {
        askedAt.putIfAbsent(change, agenda.now());
        Server leader =
                servers.stream().filter(s -> s.up && s.machine.leads()).findFirst().orElse(null);
        if (leader == null) {
            agenda.in(AGAIN_MS, () -> publish(change));
            return;
        }
        boolean[] answered = new boolean[1];
        leader.machine.publish(
                change,
                seq -> {
                    answered[0] = true;
                    if (seq != null && seq > 0) {
                        confirmed.put(seq, change);
                    } else if (seq == null || seq < 0) {
                        agenda.in(AGAIN_MS, () -> publish(change));
                    }
                });
        // One that dies answers nobody: its author asks again.
        int of = leader.life;
        agenda.in(
                1000,
                () -> {
                    if (!answered[0] && !(leader.up && leader.life == of)) {
                        publish(change);
                    }
                });
    }

    /**
     * Purges at a rate, each as likely at one time as at another, and a configuration now and then,
     * until a time.
     */
    void load(double purgesPerS, double epochsPerS, double untilMs) {
        double all = purgesPerS + epochsPerS;
        agenda.in(
                -Math.log(1 - random.nextDouble()) / all * 1000,
                () -> {
                    if (agenda.now() < untilMs) {
                        publish(
                                random.nextDouble() * all < epochsPerS
                                        ? new Change.Epoch(
                                                ++epochs, "[log]\n# " + "x".repeat(1990) + epochs)
                                        : new Change.Purge(
                                                String.format(
                                                        "/objects/%016x/%06x",
                                                        random.nextLong(), random.nextInt(1 << 24)),
                                                random.nextInt(50) == 0));
                        load(purgesPerS, epochsPerS, untilMs);
                    }
                });
    }

    /** So many purges at once, as a backlog. */
    void backlog(int purges, int changes) {
        for (int i = 0; i < purges + changes; i++) {
            publish(
                    i % (1 + purges / Math.max(1, changes)) == 0
                            ? new Change.Epoch(++epochs, "[log]\n# " + "x".repeat(1990) + epochs)
                            : new Change.Purge(
                                    String.format("/objects/%016x/%06x", random.nextLong(), i),
                                    false));
        }
    }

    /** Plays until a time. */
    VirtualStream play(double untilMs) {
        while (agenda.nextAt() <= untilMs) {
            agenda.step();
        }
        agenda.moveTo(untilMs);
        return this;
    }

    /**
     * A control machine ends, its connections with a reset, or as a machine that loses its power:
     * without a word.
     */
    void kill(int server, boolean silently) {
        silent = silently;
        servers.get(server).end(silently);
    }

    /** All of them end at once. */
    void killAll() {
        silent = false;
        servers.forEach(s -> s.end(false));
    }

    /** Cuts a control machine off from the others, but not from proxies, or heals that. */
    void apart(int server, boolean apart) {
        servers.get(server).apart = apart;
    }

    /** Who leads; -1 for nobody. */
    int leader() {
        return servers.stream()
                .filter(s -> s.up && s.machine.leads())
                .mapToInt(s -> s.index)
                .findFirst()
                .orElse(-1);
    }

    /** Those whom the leader misses, or who lack its last entry, by name. */
    List<String> stragglers() {
        ControlMachine m = servers.get(leader()).machine;
        return m.stragglers(m.head());
    }

    /** A control machine begins again with what is on its disk. */
    void start(int server) {
        servers.get(server).start();
    }

    /** Cuts proxies off from all control machines, or heals that. */
    void cut(IntPredicate which, boolean cut) {
        proxies.stream().filter(p -> which.test(p.index)).forEach(p -> p.cut = cut);
    }

    /** A proxy stands still. */
    void pause(int proxy, double untilMs) {
        proxies.get(proxy).pausedUntil = untilMs;
    }

    /** Where a server's window begins. */
    long base(int server) {
        return servers.get(server).machine.base();
    }

    int[] readers() {
        return servers.stream().mapToInt(s -> s.up ? s.machine.publisher().readers() : 0).toArray();
    }

    /**
     * From when each entry was asked for until the last of these had applied it, in ms; one that
     * somebody lacks, or that was confirmed as another, throws.
     */
    Histogram everywhere(IntPredicate which) {
        confirmed.forEach(
                (seq, change) -> {
                    if (given.containsKey(seq) && !change.equals(given.get(seq)) || seq > head) {
                        throw new IllegalStateException(
                                "confirmed at "
                                        + seq
                                        + " of "
                                        + head
                                        + ": "
                                        + change
                                        + ", given: "
                                        + given.get(seq));
                    }
                });
        Histogram times = new Histogram(3);
        for (long seq = 1; seq <= head; seq++) {
            double last = 0;
            for (Proxy p : proxies) {
                if (which.test(p.index)) {
                    float at = p.appliedAt((int) seq);
                    if (Float.isNaN(at)) {
                        throw new IllegalStateException(
                                "proxy-" + p.index + " lacks " + seq + " of " + head);
                    }
                    last = Math.max(last, at);
                }
            }
            if (given.containsKey(seq)) {
                times.recordValue(Math.max(0, Math.round(last - askedAt.get(given.get(seq)))));
            }
        }
        return times;
    }
}
