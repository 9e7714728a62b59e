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
 * The change stream in virtual time: each proxy's {@link Subscriber}, the {@link ControlMachine}s
 * with stores that lose what was not flushed, and connections that behave like TCP: data arrives in
 * order, a lost segment is delayed by its retransmissions, and a connection ends by a reset or
 * without notice. Apart from sockets and files this is the code that runs in real processes; every
 * message between a proxy and a control machine passes through {@link FrameCodec}. Each entry that
 * a proxy receives is compared with the entry that the other proxies received at that sequence
 * number and with the change that was confirmed to its author.
 */
final class VirtualStream {

    static final double TICK_INTERVAL_MS = 20;
    private static final double SERVER_TICK_INTERVAL_MS = 50;
    private static final double REPUBLISH_DELAY_MS = 50;
    private static final double INITIAL_RTO_MS = 200;

    /**
     * Overhead of a frame: its length field, the TCP and IP headers, and one separate TCP
     * acknowledgement.
     */
    private static final int PACKET_OVERHEAD_BYTES = 4 + 52 + 52;

    private static final int ENTRIES_PER_SNAPSHOT = 1000;

    /**
     * The scenario to simulate. The one-way delay of a link is between {@code minDelayMs} and three
     * times that; {@code lossShare} is the share of segments that are lost and {@code resetShare}
     * the share of messages that cause a reset of their connection.
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

    /** A connection between a proxy and a control machine. */
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
         * Transmits a message in one direction. If the proxy is isolated, the message and the
         * connection are lost and neither end is notified.
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

        /** Resets the connection; both ends are notified after the link's delay. */
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

    /** Draws the delay of a segment by retransmissions; the time-out doubles with each loss. */
    private double retransmissionDelayMs() {
        double delayMs = 0;
        for (double rto = INITIAL_RTO_MS; random.nextDouble() < scenario.lossShare(); rto *= 2) {
            delayMs += rto;
        }
        return delayMs;
    }

    /** A control machine across its restarts; {@code incarnation} counts its starts. */
    private final class ControlServer implements ControlMachine.Out, RaftNodeExecutor {
        final int index;
        final String name;
        final InMemoryRaftStore store = new InMemoryRaftStore();
        final Map<Long, StreamLink> connections = new HashMap<>();

        /**
         * Arrival time of the last message to each other control machine. Later messages do not
         * arrive earlier, because the connections preserve their order.
         */
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

    /** A proxy with its subscriber and the entries that it has applied. */
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
                            "proxy-"
                                    + index
                                    + " after entry "
                                    + (lastSeq - 1)
                                    + " received unexpected "
                                    + entry);
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

        /** Returns when the proxy applied an entry, or NaN if it has not. */
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

        /** Returns the highest mean rate over any minute, in bytes/s, both directions together. */
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

    /** The change at each sequence number, as the first proxy received it. */
    private final Map<Long, Change> deliveredChanges = new HashMap<>();

    /** The changes that were confirmed to their authors, by sequence number. */
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

    /** Returns the number of entries that were confirmed to their authors. */
    int confirmedCount() {
        return confirmedChanges.size();
    }

    /** Returns the highest sequence number that any proxy has received. */
    long head() {
        return head;
    }

    /** Publishes a change at the current leader and retries until it is confirmed. */
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
        // A leader that dies does not answer, so the author publishes again.
        int expected = leader.incarnation;
        eventQueue.scheduleIn(
                1000,
                () -> {
                    if (!answered[0] && !(leader.up && leader.incarnation == expected)) {
                        publish(change);
                    }
                });
    }

    /** Publishes purges and epochs as Poisson processes of the given rates until a time. */
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

    /** Publishes a number of purges and epochs at once, as a backlog. */
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

    /** Runs the simulation until a time; returns this stream. */
    VirtualStream runUntil(double untilMs) {
        while (eventQueue.nextEventAt() <= untilMs) {
            eventQueue.runNext();
        }
        eventQueue.advanceTo(untilMs);
        return this;
    }

    /**
     * Kills a control machine. Its connections are reset, or, with {@code withoutReset}, end
     * without notice as when the machine loses power.
     */
    void kill(int server, boolean withoutReset) {
        downWithoutReset = withoutReset;
        servers.get(server).kill(withoutReset);
    }

    /** Kills all control machines at once; their connections are reset. */
    void killAll() {
        downWithoutReset = false;
        servers.forEach(s -> s.kill(false));
    }

    /** Partitions a control machine from the others, but not from proxies, or ends that. */
    void setPartitioned(int server, boolean partitioned) {
        servers.get(server).partitioned = partitioned;
    }

    /** Returns the index of the leading control machine, or -1 if there is none. */
    int leader() {
        return servers.stream()
                .filter(s -> s.up && s.machine.isLeader())
                .mapToInt(s -> s.index)
                .findFirst()
                .orElse(-1);
    }

    /** Returns the names of the subscribers that time out or lack the last entry at the leader. */
    List<String> laggingSubscribers() {
        ControlMachine machine = servers.get(leader()).machine;
        return machine.laggingSubscribers(machine.head());
    }

    /** Starts a control machine with the state in its store. */
    void start(int server) {
        servers.get(server).start();
    }

    /** Isolates proxies from all control machines, or ends that. */
    void setIsolated(IntPredicate which, boolean isolated) {
        proxies.stream().filter(p -> which.test(p.index)).forEach(p -> p.isolated = isolated);
    }

    /** Pauses a proxy until a time. */
    void pause(int proxy, double untilMs) {
        proxies.get(proxy).pausedUntil = untilMs;
    }

    /** Returns the sequence number at which a server's retained log begins. */
    long base(int server) {
        return servers.get(server).machine.base();
    }

    /** Returns the number of subscribers of each control machine; 0 for those that are down. */
    int[] subscriberCounts() {
        return servers.stream()
                .mapToInt(s -> s.up ? s.machine.publisher().subscriberCount() : 0)
                .toArray();
    }

    /**
     * Returns the time of each entry from its first publication until the last of the selected
     * proxies has applied it, in ms.
     *
     * @throws IllegalStateException if a selected proxy lacks an entry, or if an entry differs from
     *     the change that was confirmed at its sequence number
     */
    Histogram deliveryTimes(IntPredicate which) {
        confirmedChanges.forEach(
                (seq, change) -> {
                    if (deliveredChanges.containsKey(seq)
                                    && !change.equals(deliveredChanges.get(seq))
                            || seq > head) {
                        throw new IllegalStateException(
                                "confirmed entry "
                                        + seq
                                        + " of "
                                        + head
                                        + " is "
                                        + change
                                        + ", but delivered was "
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
                                "proxy-"
                                        + proxy.index
                                        + " has not applied entry "
                                        + seq
                                        + " of "
                                        + head);
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
