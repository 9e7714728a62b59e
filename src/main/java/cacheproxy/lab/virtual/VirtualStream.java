package cacheproxy.lab.virtual;

import cacheproxy.lab.ScenarioGenerator;
import cacheproxy.raft.ControlMachine;
import cacheproxy.stream.Acknowledgements.FullyAcknowledged;
import cacheproxy.stream.Change;
import cacheproxy.stream.Entry;
import cacheproxy.stream.FrameCodec;
import cacheproxy.stream.Message;
import cacheproxy.stream.Message.Snapshot;
import cacheproxy.stream.RetainedLog;
import cacheproxy.stream.Subscriber;
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
 * processes but for sockets and files; every message to a proxy passes through {@link FrameCodec}.
 * What proxies are given is held against one another at every entry, and against what its author
 * was told.
 */
final class VirtualStream {

    static final double TICK_INTERVAL_MS = 20;
    private static final double SERVER_TICK_INTERVAL_MS = 50;
    private static final double REPUBLISH_DELAY_MS = 50;
    private static final double INITIAL_RTO_MS = 200;

    /**
     * The length before a frame, TCP and IP's headers, and an acknowledgement of its own for each.
     */
    private static final int PACKET_OVERHEAD_BYTES = 4 + 52 + 52;

    private static final int ENTRIES_PER_SNAPSHOT = 1000;

    /**
     * What is played; links take {@code delayMs} to three times that, a share of the segments is
     * lost, and a share of the messages resets.
     */
    record StreamScenario(
            int subscribers,
            int servers,
            long seed,
            double minDelayMs,
            double lossShare,
            double resetShare,
            RetainedLog.Bounds bounds,
            double rateBytesPerS) {}

    /** A connection, seen by both ends. */
    private final class StreamLink {
        final long id = ++lastLinkId;
        final SubscribingProxy proxy;
        final int attempt;
        final ControlServer server;
        final int serverIncarnation;
        final double delayMs = scenario.minDelayMs() * (1 + 2 * random.nextDouble());
        final double[] lastArrivalAt = new double[2];
        boolean closed;

        StreamLink(SubscribingProxy proxy, int attempt, ControlServer server) {
            this.proxy = proxy;
            this.attempt = attempt;
            this.server = server;
            this.serverIncarnation = server.incarnation;
        }

        /**
         * Carries something; what meets a cut is gone, and the connection with it, though nobody
         * hears of that.
         */
        void transmit(boolean toProxy, int bytes, Runnable onArrival) {
            if (closed || proxy.isolated) {
                closed = true;
                return;
            }
            proxy.countBytes(bytes + PACKET_OVERHEAD_BYTES);
            if (random.nextDouble() < scenario.resetShare()) {
                reset();
                return;
            }
            int direction = toProxy ? 0 : 1;
            lastArrivalAt[direction] =
                    Math.max(
                            lastArrivalAt[direction],
                            eventQueue.now() + delayMs + retransmissionDelayMs());
            eventQueue.scheduleAt(
                    lastArrivalAt[direction],
                    () -> {
                        if (!closed
                                && !proxy.isolated
                                && server.incarnation == serverIncarnation
                                && server.up) {
                            onArrival.run();
                        }
                    });
        }

        /** Both ends hear of the end. */
        void reset() {
            closed = true;
            eventQueue.scheduleIn(
                    delayMs,
                    () -> {
                        server.connectionClosed(id, serverIncarnation);
                        if (!proxy.isolated) {
                            proxy.whenRunning(
                                    () ->
                                            proxy.subscriber.closed(
                                                    eventQueue.now(), attempt, proxy));
                        }
                    });
        }
    }

    /** What a lost segment's retransmissions cost. */
    private double retransmissionDelayMs() {
        double delayMs = 0;
        for (double rto = INITIAL_RTO_MS; random.nextDouble() < scenario.lossShare(); rto *= 2) {
            delayMs += rto;
        }
        return delayMs;
    }

    /** A control machine, life after life. */
    private final class ControlServer implements ControlMachine.Out, RaftNodeExecutor {
        final int index;
        final String name;
        final InMemoryRaftStore store = new InMemoryRaftStore();
        final Map<Long, StreamLink> connections = new HashMap<>();

        /** When what was sent last to another one comes there: its connections keep their order. */
        final Map<String, Double> lastArrivalAt = new HashMap<>();

        ControlMachine machine;
        boolean up;
        boolean partitioned;
        int incarnation;

        ControlServer(int index) {
            this.index = index;
            this.name = "control-" + index;
        }

        void start() {
            up = true;
            incarnation++;
            machine =
                    new ControlMachine(
                            new ControlMachine.Parts(
                                    name,
                                    servers.stream().map(s -> s.name).toList(),
                                    scenario.bounds(),
                                    this,
                                    eventQueue::now,
                                    scenario.seed() * 31 + index * 7919L + incarnation,
                                    store,
                                    store.restoredState(),
                                    ENTRIES_PER_SNAPSHOT),
                            this);
            machine.start();
            tick(incarnation);
        }

        void kill(boolean withoutReset) {
            up = false;
            store.crash();
            connections
                    .values()
                    .forEach(
                            link -> {
                                link.closed = true;
                                if (!withoutReset) {
                                    eventQueue.scheduleIn(
                                            link.delayMs,
                                            () ->
                                                    link.proxy.whenRunning(
                                                            () ->
                                                                    link.proxy.subscriber.closed(
                                                                            eventQueue.now(),
                                                                            link.attempt,
                                                                            link.proxy)));
                                }
                            });
            connections.clear();
        }

        private void tick(int expected) {
            ifRunning(
                    expected,
                    () -> {
                        machine.tick(eventQueue.now());
                        eventQueue.scheduleIn(SERVER_TICK_INTERVAL_MS, () -> tick(expected));
                    });
        }

        private void ifRunning(int expected, Runnable action) {
            if (up && incarnation == expected) {
                action.run();
            }
        }

        void connectionClosed(long connection, int expected) {
            connections.remove(connection);
            ifRunning(expected, () -> machine.publisher().closed(connection));
        }

        @Override
        public void sendToControl(String control, JsonObject message) {
            ControlServer to =
                    servers.get(Integer.parseInt(control.substring("control-".length())));
            if (!partitioned && !to.partitioned) {
                int expected = to.incarnation;
                double arrivesAt =
                        Math.max(
                                lastArrivalAt.getOrDefault(control, 0.0),
                                eventQueue.now()
                                        + scenario.minDelayMs() * (1 + random.nextDouble())
                                        + retransmissionDelayMs());
                lastArrivalAt.put(control, arrivesAt);
                eventQueue.scheduleAt(
                        arrivesAt,
                        () -> to.ifRunning(expected, () -> to.machine.received(name, message)));
            }
        }

        @Override
        public void fullyAcknowledged(FullyAcknowledged entry) {
            fullyAcknowledgedEntries.add(entry);
        }

        @Override
        public void execute(Runnable task) {
            int expected = incarnation;
            eventQueue.scheduleIn(0, () -> ifRunning(expected, task));
        }

        @Override
        public void submit(Runnable task) {
            execute(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            int expected = incarnation;
            eventQueue.scheduleIn(unit.toMicros(delay) / 1000.0, () -> ifRunning(expected, task));
        }

        @Override
        public void send(long connection, Message message) {
            StreamLink link = connections.get(connection);
            byte[] frame = FrameCodec.encode(message);
            link.proxy.bytesInFlight += frame.length;
            link.transmit(
                    true,
                    frame.length,
                    () ->
                            link.proxy.whenRunning(
                                    () -> {
                                        link.proxy.bytesInFlight -= frame.length;
                                        link.proxy.subscriber.received(
                                                eventQueue.now(),
                                                link.attempt,
                                                FrameCodec.decode(ByteBuffer.wrap(frame)),
                                                link.proxy);
                                    }));
        }

        @Override
        public void close(long connection, String why) {
            StreamLink link = connections.remove(connection);
            if (link != null) {
                link.reset();
            }
        }
    }

    /** A proxy, and what it has been told. */
    final class SubscribingProxy implements Subscriber.SubscriberActions {
        final int index;
        final Subscriber subscriber;
        private float[] appliedAt = new float[0];
        final List<Snapshot> appliedSnapshots = new ArrayList<>();
        final Map<Integer, Integer> bytesBySecond = new HashMap<>();
        private StreamLink link;
        private long lastSeq;
        private double pausedUntil;
        private boolean isolated;
        long bytesInFlight;
        Change.Epoch epoch = Change.Epoch.NONE;

        SubscribingProxy(int index) {
            this.index = index;
            subscriber =
                    new Subscriber(
                            new Subscriber.Parts(
                                    "proxy-" + index,
                                    servers.stream().map(s -> s.name).toList(),
                                    scenario.rateBytesPerS(),
                                    Subscriber.BURST_BYTES,
                                    new Random(scenario.seed() * 1_000_003 + index)),
                            0,
                            0,
                            eventQueue.now());
            lastSeq = -1;
        }

        void countBytes(int bytes) {
            bytesBySecond.merge((int) (eventQueue.now() / 1000), bytes, Integer::sum);
        }

        void whenRunning(Runnable action) {
            if (eventQueue.now() < pausedUntil) {
                eventQueue.scheduleAt(pausedUntil, () -> whenRunning(action));
            } else {
                action.run();
            }
        }

        void tick() {
            whenRunning(
                    () -> {
                        subscriber.tick(eventQueue.now(), this);
                        eventQueue.scheduleIn(TICK_INTERVAL_MS, this::tick);
                    });
        }

        @Override
        public void connect(String to, int attempt) {
            ControlServer server =
                    servers.stream().filter(s -> s.name.equals(to)).findFirst().orElseThrow();
            StreamLink newLink = new StreamLink(this, attempt, server);
            link = newLink;
            if (!server.up) {
                if (!downWithoutReset) {
                    eventQueue.scheduleIn(
                            2 * newLink.delayMs,
                            () ->
                                    whenRunning(
                                            () ->
                                                    subscriber.closed(
                                                            eventQueue.now(), attempt, this)));
                }
                return;
            }
            newLink.transmit(
                    false,
                    0,
                    () ->
                            newLink.transmit(
                                    true,
                                    0,
                                    () ->
                                            whenRunning(
                                                    () -> {
                                                        server.connections.put(newLink.id, newLink);
                                                        subscriber.connected(
                                                                eventQueue.now(), attempt, this);
                                                    })));
        }

        @Override
        public void disconnect(int attempt) {
            StreamLink previous = link;
            previous.closed = true;
            if (!isolated) {
                eventQueue.scheduleIn(
                        previous.delayMs,
                        () -> {
                            previous.server.connectionClosed(
                                    previous.id, previous.serverIncarnation);
                        });
            }
        }

        @Override
        public void send(Message message) {
            StreamLink current = link;
            byte[] frame = FrameCodec.encode(message);
            current.transmit(
                    false,
                    frame.length,
                    () ->
                            current.server.machine.received(
                                    current.id, FrameCodec.decode(ByteBuffer.wrap(frame))));
        }

        @Override
        public boolean apply(List<Entry> entries) {
            for (Entry entry : entries) {
                if (entry.seq() != ++lastSeq
                        || !entry.change()
                                .equals(
                                        deliveredChanges.computeIfAbsent(
                                                entry.seq(), n -> entry.change()))) {
                    throw new IllegalStateException(
                            "proxy-" + index + " at " + (lastSeq - 1) + " was given " + entry);
                }
                recordApplied(entry.seq());
                head = Math.max(head, entry.seq());
                if (entry.change() instanceof Change.Epoch next) {
                    epoch = next;
                }
            }
            return true;
        }

        private void recordApplied(long seq) {
            if (seq >= appliedAt.length) {
                int oldLength = appliedAt.length;
                appliedAt = Arrays.copyOf(appliedAt, (int) Math.max(256, seq * 2));
                Arrays.fill(appliedAt, oldLength, appliedAt.length, Float.NaN);
            }
            appliedAt[(int) seq] = (float) eventQueue.now();
        }

        /** When it had this entry; not a number where it has not. */
        float appliedAt(int seq) {
            return seq < appliedAt.length ? appliedAt[seq] : Float.NaN;
        }

        @Override
        public boolean reset(Snapshot snapshot) {
            appliedSnapshots.add(snapshot);
            for (long i = Math.max(1, lastSeq + 1); i <= snapshot.seq(); i++) {
                recordApplied(i);
            }
            lastSeq = snapshot.seq();
            head = Math.max(head, lastSeq);
            epoch = snapshot.epoch();
            return true;
        }

        @Override
        public void event(Subscriber.SubscriberEvent event, String server) {
            events.merge(event, 1, Integer::sum);
        }

        /** The most bytes that went both ways within any minute, a second. */
        double maxBytesPerSOverOneMinute() {
            int maxBytes = 0;
            for (int from : bytesBySecond.keySet()) {
                int sum = 0;
                for (int second = from; second < from + 60; second++) {
                    sum += bytesBySecond.getOrDefault(second, 0);
                }
                maxBytes = Math.max(maxBytes, sum);
            }
            return maxBytes / 60.0;
        }
    }

    private final StreamScenario scenario;
    final EventQueue eventQueue = new EventQueue();
    private final Random random;
    private final List<ControlServer> servers = new ArrayList<>();
    final List<SubscribingProxy> proxies = new ArrayList<>();

    /** What was given at each place, as the first proxy heard it. */
    private final Map<Long, Change> deliveredChanges = new HashMap<>();

    /** What authors were told is kept. */
    private final Map<Long, Change> confirmedChanges = new TreeMap<>();

    private final Map<Change, Double> publishedAt = new HashMap<>();
    final List<FullyAcknowledged> fullyAcknowledgedEntries = new ArrayList<>();
    final Map<Subscriber.SubscriberEvent, Integer> events = new TreeMap<>();
    private long lastLinkId;
    private long lastEpochNumber;
    private long head;
    private boolean downWithoutReset;

    VirtualStream(StreamScenario scenario) {
        this.scenario = scenario;
        random =
                new Random(
                        ScenarioGenerator.randomGenerator(
                                        scenario.seed(), ScenarioGenerator.RandomStream.POLICY)
                                .nextLong());
        for (int i = 0; i < scenario.servers(); i++) {
            servers.add(new ControlServer(i));
        }
        servers.forEach(ControlServer::start);
        for (int i = 0; i < scenario.subscribers(); i++) {
            SubscribingProxy proxy = new SubscribingProxy(i);
            proxies.add(proxy);
            eventQueue.scheduleIn(random.nextDouble() * TICK_INTERVAL_MS, proxy::tick);
        }
    }

    /** How many entries their authors were told are kept. */
    int confirmedCount() {
        return confirmedChanges.size();
    }

    /** The last entry that anybody was given. */
    long head() {
        return head;
    }

    /** An entry is asked for, of whoever leads, until it is confirmed. */
    void publish(Change change) {
        publishedAt.putIfAbsent(change, eventQueue.now());
        ControlServer leader =
                servers.stream().filter(s -> s.up && s.machine.isLeader()).findFirst().orElse(null);
        if (leader == null) {
            eventQueue.scheduleIn(REPUBLISH_DELAY_MS, () -> publish(change));
            return;
        }
        boolean[] answered = new boolean[1];
        leader.machine.publish(
                change,
                seq -> {
                    answered[0] = true;
                    if (seq != null && seq > 0) {
                        confirmedChanges.put(seq, change);
                    } else if (seq == null || seq < 0) {
                        eventQueue.scheduleIn(REPUBLISH_DELAY_MS, () -> publish(change));
                    }
                });
        // One that dies answers nobody: its author asks again.
        int expected = leader.incarnation;
        eventQueue.scheduleIn(
                1000,
                () -> {
                    if (!answered[0] && !(leader.up && leader.incarnation == expected)) {
                        publish(change);
                    }
                });
    }

    /**
     * Purges at a rate, each as likely at one time as at another, and a configuration now and then,
     * until a time.
     */
    void scheduleLoad(double purgesPerS, double epochsPerS, double untilMs) {
        double totalPerS = purgesPerS + epochsPerS;
        eventQueue.scheduleIn(
                -Math.log(1 - random.nextDouble()) / totalPerS * 1000,
                () -> {
                    if (eventQueue.now() < untilMs) {
                        publish(
                                random.nextDouble() * totalPerS < epochsPerS
                                        ? new Change.Epoch(
                                                ++lastEpochNumber,
                                                "[log]\n# " + "x".repeat(1990) + lastEpochNumber)
                                        : new Change.Purge(
                                                String.format(
                                                        "/objects/%016x/%06x",
                                                        random.nextLong(), random.nextInt(1 << 24)),
                                                random.nextInt(50) == 0));
                        scheduleLoad(purgesPerS, epochsPerS, untilMs);
                    }
                });
    }

    /** So many purges at once, as a backlog. */
    void publishBacklog(int purges, int epochCount) {
        for (int i = 0; i < purges + epochCount; i++) {
            publish(
                    i % (1 + purges / Math.max(1, epochCount)) == 0
                            ? new Change.Epoch(
                                    ++lastEpochNumber,
                                    "[log]\n# " + "x".repeat(1990) + lastEpochNumber)
                            : new Change.Purge(
                                    String.format("/objects/%016x/%06x", random.nextLong(), i),
                                    false));
        }
    }

    /** Plays until a time. */
    VirtualStream runUntil(double untilMs) {
        while (eventQueue.nextEventAt() <= untilMs) {
            eventQueue.runNext();
        }
        eventQueue.advanceTo(untilMs);
        return this;
    }

    /**
     * A control machine ends, its connections with a reset, or as a machine that loses its power:
     * without a word.
     */
    void kill(int server, boolean withoutReset) {
        downWithoutReset = withoutReset;
        servers.get(server).kill(withoutReset);
    }

    /** All of them end at once. */
    void killAll() {
        downWithoutReset = false;
        servers.forEach(s -> s.kill(false));
    }

    /** Cuts a control machine off from the others, but not from proxies, or heals that. */
    void setPartitioned(int server, boolean partitioned) {
        servers.get(server).partitioned = partitioned;
    }

    /** Who leads; -1 for nobody. */
    int leader() {
        return servers.stream()
                .filter(s -> s.up && s.machine.isLeader())
                .mapToInt(s -> s.index)
                .findFirst()
                .orElse(-1);
    }

    /** Those whom the leader misses, or who lack its last entry, by name. */
    List<String> laggingSubscribers() {
        ControlMachine machine = servers.get(leader()).machine;
        return machine.laggingSubscribers(machine.head());
    }

    /** A control machine begins again with what is on its disk. */
    void start(int server) {
        servers.get(server).start();
    }

    /** Cuts proxies off from all control machines, or heals that. */
    void setIsolated(IntPredicate which, boolean isolated) {
        proxies.stream().filter(p -> which.test(p.index)).forEach(p -> p.isolated = isolated);
    }

    /** A proxy stands still. */
    void pause(int proxy, double untilMs) {
        proxies.get(proxy).pausedUntil = untilMs;
    }

    /** Where a server's window begins. */
    long base(int server) {
        return servers.get(server).machine.base();
    }

    int[] subscriberCounts() {
        return servers.stream()
                .mapToInt(s -> s.up ? s.machine.publisher().subscriberCount() : 0)
                .toArray();
    }

    /**
     * From when each entry was asked for until the last of these had applied it, in ms; one that
     * somebody lacks, or that was confirmed as another, throws.
     */
    Histogram deliveryTimes(IntPredicate which) {
        confirmedChanges.forEach(
                (seq, change) -> {
                    if (deliveredChanges.containsKey(seq)
                                    && !change.equals(deliveredChanges.get(seq))
                            || seq > head) {
                        throw new IllegalStateException(
                                "confirmed at "
                                        + seq
                                        + " of "
                                        + head
                                        + ": "
                                        + change
                                        + ", given: "
                                        + deliveredChanges.get(seq));
                    }
                });
        Histogram times = new Histogram(3);
        for (long seq = 1; seq <= head; seq++) {
            double lastAt = 0;
            for (SubscribingProxy proxy : proxies) {
                if (which.test(proxy.index)) {
                    float appliedAt = proxy.appliedAt((int) seq);
                    if (Float.isNaN(appliedAt)) {
                        throw new IllegalStateException(
                                "proxy-" + proxy.index + " lacks " + seq + " of " + head);
                    }
                    lastAt = Math.max(lastAt, appliedAt);
                }
            }
            if (deliveredChanges.containsKey(seq)) {
                times.recordValue(
                        Math.max(
                                0,
                                Math.round(lastAt - publishedAt.get(deliveredChanges.get(seq)))));
            }
        }
        return times;
    }
}
