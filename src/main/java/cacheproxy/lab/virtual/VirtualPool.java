package cacheproxy.lab.virtual;

import cacheproxy.lab.world.Installation;
import cacheproxy.proxy.FullTable;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The connections of all proxies to all machines, kept as {@code cacheproxy.proxy.NodePool} keeps
 * those of one: an exchange each, the newest idle one first, spare ones closed soon, a pause where
 * a machine's table is full. What lies idle for too long is closed when somebody next looks, which
 * nobody can tell from closing it in time.
 */
final class VirtualPool {

    /** Wants a connection. */
    interface Exchange {
        /** Whether its proxy still waits for it. */
        boolean wanted();

        /** It has this connection from now on, and frees or closes it. */
        void go(Link link);

        /** It has waited as long as making a connection may take. */
        void unconnected();
    }

    /** A proxy's connections to one machine. */
    private final class Line {
        final Table machine;
        final Deque<Double> idle = new ArrayDeque<>();
        final Deque<Waiting> waiting = new ArrayDeque<>();
        final FullTable full = new FullTable();
        int open;
        boolean opening;
        boolean over;

        Line(Table machine) {
            this.machine = machine;
        }

        void closeAged() {
            while (!idle.isEmpty()
                    && agenda.now() - idle.peekFirst()
                            >= (open > 1 ? Math.min(idleMs, FullTable.SPARE_MS) : idleMs)) {
                idle.removeFirst();
                count(-1);
            }
        }

        void count(int more) {
            open += more;
            machine.open += more;
        }

        Exchange nextWaiting() {
            Waiting next = waiting.pollFirst();
            while (next != null && !next.stillWanted()) {
                next = waiting.pollFirst();
            }
            return next == null ? null : next.took();
        }
    }

    /** A machine's table: how many connections it holds, and by whom. */
    private static final class Table {
        final int places;
        final Map<Integer, Line> lines = new HashMap<>();
        int open;
        int mostOpen;

        Table(int places) {
            this.places = places;
        }
    }

    private static final class Waiting {
        private final Exchange exchange;
        private boolean over;

        Waiting(Exchange exchange) {
            this.exchange = exchange;
        }

        boolean stillWanted() {
            return !over && exchange.wanted();
        }

        Exchange took() {
            over = true;
            return exchange;
        }
    }

    /** One connection while an exchange has it. */
    static final class Link {
        /** It was made for this exchange. */
        final boolean fresh;

        /** The machine's table was full when it was made. */
        final boolean beyond;

        private final Line line;
        private final boolean tried;
        private boolean closed;

        private Link(Line line, boolean fresh, boolean beyond) {
            this.line = line;
            this.fresh = fresh;
            this.beyond = beyond;
            this.tried = fresh && line.full.met();
        }
    }

    private static final double REST_MS = 4;

    private final Agenda agenda;
    private final double idleMs;
    private final double connectMs;
    private final RandomGenerator random;
    private final Map<String, Table> tables = new HashMap<>();
    private int opened;
    private int turnedAway;

    VirtualPool(
            Agenda agenda,
            Installation plan,
            double idleMs,
            double connectMs,
            RandomGenerator random) {
        this.agenda = agenda;
        this.idleMs = idleMs;
        this.connectMs = connectMs;
        this.random = random;
        plan.machines().forEach(n -> tables.put(n.id(), new Table(n.connections())));
        tables.put(plan.origin().id(), new Table(plan.origin().connections()));
    }

    int opened() {
        return opened;
    }

    int turnedAway() {
        return turnedAway;
    }

    /** Closes what is due and notes how many connections each machine has. */
    void look() {
        for (Table table : tables.values()) {
            table.lines.values().forEach(Line::closeAged);
            table.mostOpen = Math.max(table.mostOpen, table.open);
        }
    }

    /** The most connections that a machine had at any look. */
    int mostOpen(String machine) {
        return tables.get(machine).mostOpen;
    }

    private long nanos() {
        return (long) (agenda.now() * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private Line line(int proxy, String machine) {
        Table table = tables.get(machine);
        return table.lines.computeIfAbsent(proxy, p -> new Line(table));
    }

    /** Finds a connection for an exchange: now, when one comes free, or not at all. */
    void use(int proxy, String machine, Exchange exchange) {
        Line line = line(proxy, machine);
        line.closeAged();
        if (!line.idle.isEmpty()) {
            line.idle.removeLast();
            exchange.go(new Link(line, false, false));
        } else if (line.full.pausing(nanos())) {
            Waiting waiting = new Waiting(exchange);
            line.waiting.addLast(waiting);
            agenda.in(
                    connectMs,
                    () -> {
                        if (waiting.stillWanted()) {
                            waiting.took().unconnected();
                        }
                    });
            openLater(line);
        } else {
            connect(line, exchange);
        }
    }

    private void connect(Line line, Exchange exchange) {
        if (line.machine.open >= line.machine.places) {
            line.machine.lines.values().forEach(Line::closeAged);
        }
        opened++;
        line.count(1);
        exchange.go(new Link(line, true, line.machine.open > line.machine.places));
    }

    private void openLater(Line line) {
        if (!line.opening && !line.waiting.isEmpty()) {
            line.opening = true;
            agenda.in(
                    Math.max(REST_MS, line.full.leftNanos(nanos()) / 1e6),
                    () -> {
                        line.opening = false;
                        if (!line.full.pausing(nanos())) {
                            Exchange first = line.nextWaiting();
                            if (first != null) {
                                connect(line, first);
                            }
                        }
                        openLater(line);
                    });
        }
    }

    /** A whole answer has come over it. */
    void free(Link link) {
        if (link.closed || link.line.over) {
            return;
        }
        link.closed = true;
        if (link.tried) {
            link.line.full.tookOne();
        }
        Line line = link.line;
        if (line.waiting.isEmpty()) {
            line.idle.addLast(agenda.now());
        } else {
            agenda.in(
                    REST_MS,
                    () -> {
                        Exchange next = line.nextWaiting();
                        if (next != null) {
                            next.go(new Link(line, false, false));
                        } else {
                            line.idle.addLast(agenda.now());
                        }
                    });
        }
    }

    /** The machine's table was full, and its word of that has come. */
    void turnedAway(Link link) {
        turnedAway++;
        link.line.full.turnedAway(nanos(), random.nextDouble());
        close(link);
    }

    /** It is of no further use, to either side. */
    void close(Link link) {
        if (!link.closed && !link.line.over) {
            link.line.count(-1);
        }
        link.closed = true;
    }

    /** Every idle connection to a machine is gone; those in use are closed by whoever has them. */
    void died(String machine) {
        tables.get(machine).lines.values().forEach(VirtualPool::closeIdle);
    }

    /** A proxy's process has ended: its connections go, and what it knew of tables. */
    void ended(int proxy) {
        for (Table table : tables.values()) {
            Line line = table.lines.remove(proxy);
            if (line != null) {
                line.count(-line.open);
                line.waiting.clear();
                line.idle.clear();
                line.over = true;
            }
        }
    }

    private static void closeIdle(Line line) {
        line.count(-line.idle.size());
        line.idle.clear();
    }
}
