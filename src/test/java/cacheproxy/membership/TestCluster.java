package cacheproxy.membership;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.lab.virtual.HashIdentity;
import cacheproxy.membership.Gossip.EventType;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * A cluster of gossiping proxies in virtual time, on a network controlled by the test: it can lose,
 * duplicate, delay, record and forge packets.
 */
final class TestCluster {

    static final double DELAY_MS = 2;
    static final int BYTES_PER_S = 8192;

    record RecordedEvent(String by, EventType type, String subject, String evidence, double at) {}

    record SentPacket(double at, String from, String to, byte[] packet) {}

    private record ScheduledTask(double at, long order, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    final class Proxy implements Gossip.Actions {
        final String name;
        final String address;
        final Gossip gossip;
        final double clockOffsetMs;
        final double clockRate;
        final Set<String> suspectedNodes = new HashSet<>();
        boolean dead;

        /**
         * End of the current pause of the process, as after SIGSTOP: until then no timer runs, and
         * packets stay unread in its socket.
         */
        double pausedUntil;

        Proxy(String name, String address, String seed, double clockOffsetMs, double clockRate) {
            this.name = name;
            this.address = address;
            this.clockOffsetMs = clockOffsetMs;
            this.clockRate = clockRate;
            gossip =
                    new Gossip(
                            new Gossip.Settings(
                                    address,
                                    List.of(seed),
                                    BYTES_PER_S,
                                    400,
                                    Gossip.Settings.MAX_HEALTH),
                            new HashIdentity(name, untrustedNames),
                            random.nextLong());
            gossip.updateNodes(clock(), nodes, this);
            gossip.start(clock(), this);
            tick();
        }

        double clock() {
            return clockOffsetMs + now * clockRate;
        }

        private void tick() {
            if (!dead && now < pausedUntil) {
                schedule(pausedUntil - now, this::tick);
            } else if (!dead) {
                gossip.tick(clock(), this);
                schedule(Gossip.TICK_MS, this::tick);
            }
        }

        void recordOutcomes(String node, Outcome outcome, int times) {
            for (int i = 0; i < times; i++) {
                gossip.attemptEnded(clock(), node, outcome, 20);
            }
        }

        Member.Status statusOf(String other) {
            return gossip.table().stream()
                    .filter(m -> m.name().equals(other))
                    .map(Member::status)
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public void send(String to, byte[] packet) {
            sentPackets.add(new SentPacket(now, address, to, packet));
            transmit(address, to, packet);
        }

        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {
            if (suspected) {
                suspectedNodes.add(node);
            } else {
                suspectedNodes.remove(node);
            }
        }

        @Override
        public void event(EventType type, String subject, String evidence) {
            events.add(new RecordedEvent(name, type, subject, evidence, now));
        }
    }

    final SplittableRandom random;
    final List<Proxy> proxies = new ArrayList<>();
    final TreeMap<String, Proxy> proxiesByAddress = new TreeMap<>();
    final List<RecordedEvent> events = new ArrayList<>();
    final List<SentPacket> sentPackets = new ArrayList<>();
    final Set<String> untrustedNames = new HashSet<>();
    final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> taskQueue = new PriorityQueue<>();
    BiPredicate<String, String> linkCut = (from, to) -> false;
    double lossRate;
    double now;
    private long order;

    TestCluster(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < 6; i++) {
            nodes.add(new Node("node-" + i, "std", "a", 0, 1, 0, Availability.UP));
        }
    }

    /**
     * Creates a cluster of {@code count} proxies, with {@code p0} as the seed of all, and runs it
     * until all know each other.
     */
    static TestCluster of(int count, long seed) {
        TestCluster cluster = new TestCluster(seed);
        for (int i = 0; i < count; i++) {
            cluster.join("p" + i, 0, 1);
        }
        cluster.runFor(5000 + 100.0 * count);
        return cluster;
    }

    Proxy join(String name, double clockOffsetMs, double clockRate) {
        return join(name, "10.0.0.1:" + (7000 + proxiesByAddress.size()), clockOffsetMs, clockRate);
    }

    Proxy join(String name, String address, double clockOffsetMs, double clockRate) {
        Proxy proxy = new Proxy(name, address, "10.0.0.1:7000", clockOffsetMs, clockRate);
        proxies.add(proxy);
        proxiesByAddress.put(address, proxy);
        return proxy;
    }

    /** Pauses the process of a proxy for this duration, as SIGSTOP does. */
    void pause(Proxy proxy, double ms) {
        proxy.pausedUntil = now + ms;
    }

    void kill(Proxy proxy) {
        proxy.dead = true;
        proxies.remove(proxy);
    }

    Proxy proxy(int index) {
        return proxies.get(index);
    }

    void schedule(double ms, Runnable task) {
        taskQueue.add(new ScheduledTask(now + ms, order++, task));
    }

    void transmit(String from, String to, byte[] packet) {
        if (linkCut.test(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        for (int copies = random.nextDouble() < lossRate ? 2 : 1; copies > 0; copies--) {
            double extraDelayMs = random.nextDouble() < lossRate ? 300 * random.nextDouble() : 0;
            schedule(DELAY_MS + extraDelayMs, () -> deliver(from, to, packet));
        }
    }

    void deliver(String from, String to, byte[] packet) {
        Proxy proxy = proxiesByAddress.get(to);
        if (proxy != null && !proxy.dead && now < proxy.pausedUntil) {
            schedule(proxy.pausedUntil - now, () -> deliver(from, to, packet));
        } else if (proxy != null && !proxy.dead) {
            proxy.gossip.received(proxy.clock(), from, packet, proxy);
        }
    }

    void runFor(double ms) {
        double end = now + ms;
        while (!taskQueue.isEmpty() && taskQueue.peek().at() <= end) {
            ScheduledTask next = taskQueue.remove();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = end;
    }

    boolean hasEvent(String by, EventType type, String subject) {
        return events.stream()
                .anyMatch(
                        event ->
                                (by == null || event.by().equals(by))
                                        && event.type() == type
                                        && event.subject().equals(subject));
    }

    /** Returns the maximum number of bytes that any proxy sent in one second since this time. */
    double maxBytesInASecond(double since) {
        double max = 0;
        for (Proxy proxy : proxies) {
            TreeMap<Long, Integer> seconds = new TreeMap<>();
            sentPackets.stream()
                    .filter(s -> s.from().equals(proxy.address) && s.at() >= since)
                    .forEach(
                            s ->
                                    seconds.merge(
                                            (long) (s.at() / 1000),
                                            s.packet().length + 28,
                                            Integer::sum));
            max = Math.max(max, seconds.values().stream().mapToInt(b -> b).max().orElse(0));
        }
        return max;
    }
}
