package hopglade.lab.virtual;

import hopglade.lab.Draw;
import hopglade.stream.Change;
import hopglade.stream.Deliveries;
import hopglade.stream.Entry;
import hopglade.stream.Frames;
import hopglade.stream.Message;
import hopglade.stream.Message.Snapshot;
import hopglade.stream.Publisher;
import hopglade.stream.Subscriber;
import hopglade.stream.Window;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.IntPredicate;
import org.HdrHistogram.Histogram;

/**
 * The change stream in virtual time: each proxy's {@link Subscriber}, each control machine's {@link Publisher} with a disk that loses what was
 * not synced, and connections as TCP makes them: in order, a lost segment late by its retransmissions, a reset or a silence at the end. The
 * control machines' agreement is played by a list: an entry is confirmed once three of them have it on their disks, and when they return the
 * longest disk goes on, as the voters of a majority see to. Every message passes through {@link Frames}.
 */
final class VirtualStream {

    static final double STEP_MS = 20;
    private static final double SERVER_STEP_MS = 50;
    private static final double COMMIT_MS = 20;
    private static final double SYNC_MS = 5;
    private static final double RTO_MS = 200;
    private static final double APART_MS = 2600;
    private static final double FORGET_MS = 7_200_000;
    private static final long LINEAGE = 77;
    /** The length before a frame, TCP and IP's headers, and an acknowledgement of its own for each. */
    private static final int PACKET_BYTES = 4 + 52 + 52;
    private static final int MAJORITY = 3;

    /** What is played; links take {@code delayMs} to three times that, a share of the segments is lost, and a share of the messages resets. */
    record Plan(int subscribers, int servers, long seed, double delayMs, double lossShare, double resetShare, Window.Bounds bounds, double paceBytesPerS) { }

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

        /** Carries something; what meets a cut is gone, and the connection with it, though nobody hears of that. */
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
            double late = 0;
            for (double rto = RTO_MS; random.nextDouble() < plan.lossShare(); rto *= 2) {
                late += rto;
            }
            int way = down ? 0 : 1;
            last[way] = Math.max(last[way], agenda.now() + delayMs + late);
            agenda.at(last[way], () -> {
                if (!over && !proxy.cut && server.life == life && server.up) {
                    arrives.run();
                }
            });
        }

        /** Both ends hear of the end. */
        void reset() {
            over = true;
            agenda.in(delayMs, () -> {
                server.publisher.closed(id);
                if (!proxy.cut) {
                    proxy.when(() -> proxy.subscriber.closed(agenda.now(), attempt, proxy));
                }
            });
        }
    }

    /** A control machine. */
    private final class Server implements Publisher.Out {
        final String name;
        Snapshot kept = new Snapshot(LINEAGE, 0, Change.Epoch.NONE);
        final List<Entry> synced = new ArrayList<>();
        final Map<Long, Link> connections = new HashMap<>();
        Window window;
        Publisher publisher;
        boolean up;
        int life;
        long fed;

        Server(String name) {
            this.name = name;
        }

        void start() {
            up = true;
            life++;
            window = new Window(plan.bounds());
            window.reset(kept);
            synced.forEach(window::append);
            fed = window.head();
            publisher = new Publisher(window, deliveries);
            step(life);
        }

        void end(boolean silently) {
            up = false;
            connections.values().forEach(l -> {
                l.over = true;
                if (!silently) {
                    agenda.in(l.delayMs, () -> l.proxy.when(() -> l.proxy.subscriber.closed(agenda.now(), l.attempt, l.proxy)));
                }
            });
            connections.clear();
        }

        private void step(int life) {
            if (up && life == this.life) {
                feed();
                publisher.tick(agenda.now(), this);
                agenda.in(SERVER_STEP_MS, () -> step(life));
            }
        }

        /** What the log has and this one lacks is written and synced, and then published. */
        void feed() {
            if (!up) {
                return;
            }
            int now = life;
            double asOf = agenda.now();
            List<Entry> news = List.copyOf(log.subList((int) fed, log.size()));
            fed += news.size();
            agenda.in(SYNC_MS, () -> {
                if (up && life == now) {
                    synced.addAll(news);
                    news.forEach(window::append);
                    confirm();
                    publisher.fresh(asOf);
                    publisher.advanced(this);
                }
            });
        }

        @Override
        public void send(long connection, Message message) {
            Link link = connections.get(connection);
            byte[] frame = Frames.encode(message);
            most = Math.max(most, frame.length);
            link.proxy.onTheWay += frame.length;
            link.carry(true, frame.length, () -> link.proxy.when(() -> {
                link.proxy.onTheWay -= frame.length;
                link.proxy.subscriber.received(agenda.now(), link.attempt, Frames.decode(ByteBuffer.wrap(frame)), link.proxy);
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
            subscriber = new Subscriber(new Subscriber.Parts("proxy-" + index, servers.stream().map(s -> s.name).toList(), plan.paceBytesPerS(),
                    Subscriber.BURST_BYTES, new Random(plan.seed() * 1_000_003 + index)), 0, 0, agenda.now());
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
            when(() -> {
                subscriber.tick(agenda.now(), this);
                agenda.in(STEP_MS, this::step);
            });
        }

        @Override
        public void connect(String to, int attempt) {
            Server server = servers.stream().filter(s -> s.name.equals(to)).findFirst().orElseThrow();
            Link made = new Link(this, attempt, server);
            link = made;
            if (!server.up) {
                if (!silent) {
                    agenda.in(2 * made.delayMs, () -> when(() -> subscriber.closed(agenda.now(), attempt, this)));
                }
                return;
            }
            made.carry(false, 0, () -> made.carry(true, 0, () -> when(() -> {
                server.connections.put(made.id, made);
                subscriber.connected(agenda.now(), attempt, this);
            })));
        }

        @Override
        public void disconnect(int attempt) {
            Link old = link;
            old.over = true;
            if (!cut) {
                agenda.in(old.delayMs, () -> {
                    if (old.server.life == old.life) {
                        old.server.connections.remove(old.id);
                        old.server.publisher.closed(old.id);
                    }
                });
            }
        }

        @Override
        public void send(Message message) {
            Link used = link;
            byte[] frame = Frames.encode(message);
            used.carry(false, frame.length, () -> used.server.publisher.received(agenda.now(), used.id, Frames.decode(ByteBuffer.wrap(frame)), used.server));
        }

        @Override
        public boolean apply(List<Entry> entries) {
            for (Entry e : entries) {
                if (e.seq() != ++last || !e.equals(log.get((int) e.seq() - 1))) {
                    throw new IllegalStateException("proxy-" + index + " at " + (last - 1) + " was given " + e);
                }
                applied(e.seq());
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
    final List<Entry> log = new ArrayList<>();
    private final List<Double> committedAt = new ArrayList<>();
    final Deliveries deliveries = new Deliveries(APART_MS, FORGET_MS);
    final List<Deliveries.Everywhere> summed = new ArrayList<>();
    final Map<Subscriber.What, Integer> events = new HashMap<>();
    private long links;
    private long confirmed;
    private long epochs;
    private boolean silent;
    int most;

    VirtualStream(Plan plan) {
        this.plan = plan;
        random = new Random(Draw.generator(plan.seed(), Draw.Stream.POLICY).nextLong());
        for (int i = 0; i < plan.servers(); i++) {
            servers.add(new Server("control-" + i));
        }
        servers.forEach(Server::start);
        for (int i = 0; i < plan.subscribers(); i++) {
            Proxy p = new Proxy(i);
            proxies.add(p);
            agenda.in(random.nextDouble() * STEP_MS, p::step);
        }
        sum();
    }

    private void sum() {
        summed.addAll(deliveries.everywhere(agenda.now()));
        agenda.in(SERVER_STEP_MS, this::sum);
    }

    private void confirm() {
        long[] heads = servers.stream().mapToLong(s -> s.kept.seq() + s.synced.size()).sorted().toArray();
        confirmed = Math.max(confirmed, heads[heads.length - Math.min(MAJORITY, heads.length)]);
    }

    /** The last entry that its author has been told is kept. */
    long confirmed() {
        return confirmed;
    }

    /** An entry is asked for; it is committed a round between control machines later. */
    void publish(Change change) {
        agenda.in(COMMIT_MS, () -> {
            Entry e = new Entry(log.size() + 1L, change);
            log.add(e);
            committedAt.add(agenda.now());
            deliveries.committed(agenda.now(), e.seq());
            servers.forEach(Server::feed);
        });
    }

    /** Purges at a rate, each as likely at one time as at another, and a configuration now and then, until a time. */
    void load(double purgesPerS, double epochsPerS, double untilMs) {
        double all = purgesPerS + epochsPerS;
        agenda.in(-Math.log(1 - random.nextDouble()) / all * 1000, () -> {
            if (agenda.now() < untilMs) {
                publish(random.nextDouble() * all < epochsPerS ? new Change.Epoch(++epochs, "[log]\n# " + "x".repeat(1990) + epochs)
                        : new Change.Purge(String.format("/objects/%016x/%06x", random.nextLong(), random.nextInt(1 << 24)), random.nextInt(50) == 0));
                load(purgesPerS, epochsPerS, untilMs);
            }
        });
    }

    /** So many purges at once, as a backlog. */
    void backlog(int purges, int changes) {
        for (int i = 0; i < purges + changes; i++) {
            publish(i % (1 + purges / Math.max(1, changes)) == 0 ? new Change.Epoch(++epochs, "[log]\n# " + "x".repeat(1990) + epochs)
                    : new Change.Purge(String.format("/objects/%016x/%06x", random.nextLong(), i), false));
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

    /** A control machine ends, its connections with a reset, or as a machine that loses its power: without a word. */
    void kill(int server, boolean silently) {
        silent = silently;
        servers.get(server).end(silently);
    }

    /** All of them end at once. What none of them had on its disk was confirmed to nobody and never happened. */
    void killAll() {
        servers.forEach(s -> s.end(false));
        long kept = servers.stream().mapToLong(s -> s.kept.seq() + s.synced.size()).max().orElse(0);
        while (log.size() > kept) {
            log.remove(log.size() - 1);
            committedAt.remove(committedAt.size() - 1);
        }
    }

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
        return servers.get(server).window.base();
    }

    int[] readers() {
        return servers.stream().mapToInt(s -> s.up ? s.publisher.readers() : 0).toArray();
    }

    /** From each entry's commit until the last of these had applied it, in ms; one that somebody lacks throws. */
    Histogram everywhere(IntPredicate which) {
        Histogram times = new Histogram(3);
        for (int i = 0; i < log.size(); i++) {
            double last = 0;
            for (Proxy p : proxies) {
                if (which.test(p.index)) {
                    float at = p.appliedAt(i + 1);
                    if (Float.isNaN(at)) {
                        throw new IllegalStateException("proxy-" + p.index + " lacks " + log.get(i) + " of " + log.size());
                    }
                    last = Math.max(last, at);
                }
            }
            times.recordValue(Math.max(0, Math.round(last - committedAt.get(i))));
        }
        return times;
    }
}
