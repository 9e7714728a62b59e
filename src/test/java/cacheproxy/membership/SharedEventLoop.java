package cacheproxy.membership;

import cacheproxy.lab.virtual.HashIdentity;
import cacheproxy.membership.Gossip.EventType;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;

/**
 * Members on one event loop, in virtual time. As in Netty, each turn first reads the sockets that
 * were readable when it began, then runs the ticks that are due. Each call of a member takes {@link
 * #callMs} milliseconds. Packets sent to a member stay unread in its socket until its turn.
 */
final class SharedEventLoop {

    static final int BYTES_PER_S = 65_536;
    private static final int VERIFICATIONS_PER_S = 1000;
    private static final int DATAGRAMS_PER_READ = 16;
    private static final int FIRST_PORT = 7000;

    /** An event that one member reported about another, with its time. */
    record Report(String by, EventType type, String subject, double at) {}

    private record Datagram(String from, byte[] packet) {}

    private final class MemberOnLoop implements Gossip.Actions {
        final String name;
        final String address;
        final Gossip gossip;
        final Queue<Datagram> socket = new ArrayDeque<>();
        double nextTick;

        MemberOnLoop(int index, long seed) {
            name = "p" + index;
            address = address(index);
            List<String> seeds = index == 0 ? List.of() : List.of(address(0));
            Gossip.Settings settings =
                    new Gossip.Settings(
                            address,
                            seeds,
                            BYTES_PER_S,
                            VERIFICATIONS_PER_S,
                            Gossip.Settings.MAX_HEALTH);
            gossip = new Gossip(settings, new HashIdentity(name, Set.of()), seed);
            gossip.start(now, this);
            tick();
        }

        /**
         * Runs a tick as the real socket does: it schedules the next tick first and reads the clock
         * before the call.
         */
        void tick() {
            nextTick = now + Gossip.TICK_MS;
            gossip.tick(clockBeforeCall(), this);
        }

        void read() {
            for (int count = 0; count < DATAGRAMS_PER_READ && !socket.isEmpty(); count++) {
                Datagram datagram = socket.remove();
                gossip.received(clockBeforeCall(), datagram.from(), datagram.packet(), this);
            }
        }

        @Override
        public void send(String to, byte[] packet) {
            members.stream()
                    .filter(m -> m.address.equals(to))
                    .forEach(m -> m.socket.add(new Datagram(address, packet)));
        }

        @Override
        public void nodeSuspicionChanged(String node, boolean suspected) {}

        @Override
        public void event(EventType type, String subject, String evidence) {
            reports.add(new Report(name, type, subject, now));
        }
    }

    final List<Report> reports = new ArrayList<>();
    private final List<MemberOnLoop> members = new ArrayList<>();
    private final SplittableRandom random;
    private DoubleSupplier callMs = () -> 0;
    private double now;

    SharedEventLoop(long seed) {
        random = new SplittableRandom(seed);
    }

    private static String address(int index) {
        return "10.0.0.1:" + (FIRST_PORT + index);
    }

    /** Starts {@code count} members with {@code turnsApart} turns of the loop after each. */
    void start(int count, int turnsApart) {
        for (int index = 0; index < count; index++) {
            members.add(new MemberOnLoop(index, random.nextLong()));
            for (int turn = 0; turn < turnsApart; turn++) {
                runTurn();
            }
        }
    }

    /** Sets the duration of each further call of a member. */
    void setCallDuration(DoubleSupplier milliseconds) {
        callMs = milliseconds;
    }

    /** Blocks the loop by another task of this duration. */
    void block(double milliseconds) {
        now += milliseconds;
    }

    void kill(String name) {
        members.removeIf(m -> m.name.equals(name));
    }

    void runFor(double milliseconds) {
        double end = now + milliseconds;
        while (now < end) {
            runTurn();
        }
    }

    long count(EventType type) {
        return reports.stream().filter(r -> r.type() == type).count();
    }

    private double clockBeforeCall() {
        double before = now;
        now += callMs.getAsDouble();
        return before;
    }

    private void runTurn() {
        List<MemberOnLoop> readable = members.stream().filter(m -> !m.socket.isEmpty()).toList();
        if (readable.isEmpty()) {
            now = Math.max(now, members.stream().mapToDouble(m -> m.nextTick).min().orElse(now));
        }
        readable.forEach(MemberOnLoop::read);
        double afterReads = now;
        members.stream()
                .filter(m -> m.nextTick <= afterReads)
                .sorted(Comparator.comparingDouble(m -> m.nextTick))
                .toList()
                .forEach(MemberOnLoop::tick);
    }
}
