package cacheproxy.membership;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Node;
import cacheproxy.Router.Outcome;
import cacheproxy.lab.virtual.HashIdentity;
import cacheproxy.membership.Gossip.What;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Proxies that gossip over a network that the test holds in its hand: it may lose, double, delay,
 * record and forge packets.
 */
final class Town {

    static final double DELAY_MS = 2;
    static final int BYTES_PER_S = 8192;

    record Told(String by, What what, String subject, String evidence, double at) {}

    record Sent(double at, String from, String to, byte[] packet) {}

    private record Item(double at, long order, Runnable act) implements Comparable<Item> {
        @Override
        public int compareTo(Item o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    final class Proxy implements Gossip.Actions {
        final String name;
        final String address;
        final Gossip gossip;
        final double ahead;
        final double pace;
        final Set<String> doubted = new HashSet<>();
        boolean dead;

        /**
         * Until when its process stands still, as under SIGSTOP: no timer runs, and packets wait in
         * its socket.
         */
        double pausedUntil;

        Proxy(String name, String address, String seed, double ahead, double pace) {
            this.name = name;
            this.address = address;
            this.ahead = ahead;
            this.pace = pace;
            gossip =
                    new Gossip(
                            new Gossip.Settings(
                                    address,
                                    List.of(seed),
                                    BYTES_PER_S,
                                    400,
                                    Gossip.Settings.HEALTH_MOST),
                            new HashIdentity(name, strangers),
                            random.nextLong());
            gossip.nodes(clock(), nodes, this);
            gossip.start(clock(), this);
            tick();
        }

        double clock() {
            return ahead + now * pace;
        }

        private void tick() {
            if (!dead && now < pausedUntil) {
                in(pausedUntil - now, this::tick);
            } else if (!dead) {
                gossip.tick(clock(), this);
                in(Gossip.TICK_MS, this::tick);
            }
        }

        void saw(String node, Outcome outcome, int times) {
            for (int i = 0; i < times; i++) {
                gossip.ended(clock(), node, outcome, 20);
            }
        }

        Member.Status knows(String other) {
            return gossip.table().stream()
                    .filter(m -> m.name().equals(other))
                    .map(Member::status)
                    .findFirst()
                    .orElse(null);
        }

        @Override
        public void send(String to, byte[] packet) {
            carried.add(new Sent(now, address, to, packet));
            carry(address, to, packet);
        }

        @Override
        public void standing(String node, boolean doubt) {
            if (doubt) {
                doubted.add(node);
            } else {
                doubted.remove(node);
            }
        }

        @Override
        public void event(What what, String subject, String evidence) {
            told.add(new Told(name, what, subject, evidence, now));
        }
    }

    final SplittableRandom random;
    final List<Proxy> proxies = new ArrayList<>();
    final TreeMap<String, Proxy> at = new TreeMap<>();
    final List<Told> told = new ArrayList<>();
    final List<Sent> carried = new ArrayList<>();
    final Set<String> strangers = new HashSet<>();
    final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Item> agenda = new PriorityQueue<>();
    BiPredicate<String, String> cut = (from, to) -> false;
    double loss;
    double now;
    private long order;

    Town(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < 6; i++) {
            nodes.add(new Node("node-" + i, "std", "a", 0, 1, 0, Availability.UP));
        }
    }

    /** So many proxies, {@code p0} the seed of all, that have found one another. */
    static Town of(int count, long seed) {
        Town town = new Town(seed);
        for (int i = 0; i < count; i++) {
            town.join("p" + i, 0, 1);
        }
        town.runFor(5000 + 100.0 * count);
        return town;
    }

    Proxy join(String name, double ahead, double pace) {
        return join(name, "10.0.0.1:" + (7000 + at.size()), ahead, pace);
    }

    Proxy join(String name, String address, double ahead, double pace) {
        Proxy proxy = new Proxy(name, address, "10.0.0.1:7000", ahead, pace);
        proxies.add(proxy);
        at.put(address, proxy);
        return proxy;
    }

    /** It stands still for so long, as under SIGSTOP. */
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

    void in(double ms, Runnable act) {
        agenda.add(new Item(now + ms, order++, act));
    }

    void carry(String from, String to, byte[] packet) {
        if (cut.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        for (int copies = random.nextDouble() < loss ? 2 : 1; copies > 0; copies--) {
            double late = random.nextDouble() < loss ? 300 * random.nextDouble() : 0;
            in(DELAY_MS + late, () -> deliver(from, to, packet));
        }
    }

    void deliver(String from, String to, byte[] packet) {
        Proxy proxy = at.get(to);
        if (proxy != null && !proxy.dead && now < proxy.pausedUntil) {
            in(proxy.pausedUntil - now, () -> deliver(from, to, packet));
        } else if (proxy != null && !proxy.dead) {
            proxy.gossip.received(proxy.clock(), from, packet, proxy);
        }
    }

    void runFor(double ms) {
        double end = now + ms;
        while (!agenda.isEmpty() && agenda.peek().at() <= end) {
            Item next = agenda.remove();
            now = Math.max(now, next.at());
            next.act().run();
        }
        now = end;
    }

    boolean told(String by, What what, String subject) {
        return told.stream()
                .anyMatch(
                        t ->
                                (by == null || t.by().equals(by))
                                        && t.what() == what
                                        && t.subject().equals(subject));
    }

    /** The most that any proxy put on the wire in any second since then. */
    double mostBytesInASecond(double since) {
        double most = 0;
        for (Proxy p : proxies) {
            TreeMap<Long, Integer> seconds = new TreeMap<>();
            carried.stream()
                    .filter(s -> s.from().equals(p.address) && s.at() >= since)
                    .forEach(
                            s ->
                                    seconds.merge(
                                            (long) (s.at() / 1000),
                                            s.packet().length + 28,
                                            Integer::sum));
            most = Math.max(most, seconds.values().stream().mapToInt(b -> b).max().orElse(0));
        }
        return most;
    }
}
