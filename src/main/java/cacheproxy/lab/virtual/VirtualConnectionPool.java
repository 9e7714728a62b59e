package cacheproxy.lab.virtual;

import cacheproxy.lab.world.Installation;
import cacheproxy.proxy.ConnectionBackoff;
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
final class VirtualConnectionPool {

    /** Wants a connection. */
    interface ConnectionRequest {
        /** Whether its proxy still waits for it. */
        boolean isStillWaiting();

        /** It has this connection from now on, and frees or closes it. */
        void connected(PooledConnection connection);

        /** It has waited as long as making a connection may take. */
        void timedOut();
    }

    /** A proxy's connections to one machine. */
    private final class ConnectionSet {
        final ConnectionTable table;
        final Deque<Double> idleSince = new ArrayDeque<>();
        final Deque<QueuedRequest> queue = new ArrayDeque<>();
        final ConnectionBackoff backoff = new ConnectionBackoff();
        int openCount;
        boolean openScheduled;
        boolean discarded;

        ConnectionSet(ConnectionTable table) {
            this.table = table;
        }

        void closeExpired() {
            while (!idleSince.isEmpty()
                    && eventQueue.now() - idleSince.peekFirst()
                            >= (openCount > 1
                                    ? Math.min(
                                            idleTimeoutMs, ConnectionBackoff.SPARE_IDLE_TIMEOUT_MS)
                                    : idleTimeoutMs)) {
                idleSince.removeFirst();
                addToOpenCount(-1);
            }
        }

        void addToOpenCount(int change) {
            openCount += change;
            table.openCount += change;
        }

        ConnectionRequest pollWaiting() {
            QueuedRequest next = queue.pollFirst();
            while (next != null && !next.isStillWaiting()) {
                next = queue.pollFirst();
            }
            return next == null ? null : next.take();
        }
    }

    /** A machine's table: how many connections it holds, and by whom. */
    private static final class ConnectionTable {
        final int maxConnections;
        final Map<Integer, ConnectionSet> setsByProxy = new HashMap<>();
        int openCount;
        int maxOpenCount;

        ConnectionTable(int maxConnections) {
            this.maxConnections = maxConnections;
        }
    }

    private static final class QueuedRequest {
        private final ConnectionRequest request;
        private boolean taken;

        QueuedRequest(ConnectionRequest request) {
            this.request = request;
        }

        boolean isStillWaiting() {
            return !taken && request.isStillWaiting();
        }

        ConnectionRequest take() {
            taken = true;
            return request;
        }
    }

    /** One connection while an exchange has it. */
    static final class PooledConnection {
        /** It was made for this exchange. */
        final boolean newlyOpened;

        /** The machine's table was full when it was made. */
        final boolean overLimit;

        private final ConnectionSet connectionSet;
        private final boolean openedAfterRejection;
        private boolean released;

        private PooledConnection(
                ConnectionSet connectionSet, boolean newlyOpened, boolean overLimit) {
            this.connectionSet = connectionSet;
            this.newlyOpened = newlyOpened;
            this.overLimit = overLimit;
            this.openedAfterRejection = newlyOpened && connectionSet.backoff.isTableFull();
        }
    }

    private static final double REUSE_PAUSE_MS = 4;

    private final EventQueue eventQueue;
    private final double idleTimeoutMs;
    private final double connectTimeoutMs;
    private final RandomGenerator random;
    private final Map<String, ConnectionTable> tables = new HashMap<>();
    private int openedCount;
    private int rejectedCount;

    VirtualConnectionPool(
            EventQueue eventQueue,
            Installation plan,
            double idleTimeoutMs,
            double connectTimeoutMs,
            RandomGenerator random) {
        this.eventQueue = eventQueue;
        this.idleTimeoutMs = idleTimeoutMs;
        this.connectTimeoutMs = connectTimeoutMs;
        this.random = random;
        plan.allNodes()
                .forEach(node -> tables.put(node.id(), new ConnectionTable(node.connections())));
        tables.put(plan.origin().id(), new ConnectionTable(plan.origin().connections()));
    }

    int openedCount() {
        return openedCount;
    }

    int rejected() {
        return rejectedCount;
    }

    /** Closes what is due and notes how many connections each machine has. */
    void sampleOpenCounts() {
        for (ConnectionTable table : tables.values()) {
            table.setsByProxy.values().forEach(ConnectionSet::closeExpired);
            table.maxOpenCount = Math.max(table.maxOpenCount, table.openCount);
        }
    }

    /** The most connections that a machine had at any look. */
    int maxOpenCount(String machine) {
        return tables.get(machine).maxOpenCount;
    }

    private long nowNanos() {
        return (long) (eventQueue.now() * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private ConnectionSet connectionSet(int proxy, String machine) {
        ConnectionTable table = tables.get(machine);
        return table.setsByProxy.computeIfAbsent(proxy, p -> new ConnectionSet(table));
    }

    /** Finds a connection for an exchange: now, when one comes free, or not at all. */
    void acquire(int proxy, String machine, ConnectionRequest request) {
        ConnectionSet connections = connectionSet(proxy, machine);
        connections.closeExpired();
        if (!connections.idleSince.isEmpty()) {
            connections.idleSince.removeLast();
            request.connected(new PooledConnection(connections, false, false));
        } else if (connections.backoff.isPausing(nowNanos())) {
            QueuedRequest queued = new QueuedRequest(request);
            connections.queue.addLast(queued);
            eventQueue.scheduleIn(
                    connectTimeoutMs,
                    () -> {
                        if (queued.isStillWaiting()) {
                            queued.take().timedOut();
                        }
                    });
            scheduleOpen(connections);
        } else {
            connect(connections, request);
        }
    }

    private void connect(ConnectionSet connections, ConnectionRequest request) {
        if (connections.table.openCount >= connections.table.maxConnections) {
            connections.table.setsByProxy.values().forEach(ConnectionSet::closeExpired);
        }
        openedCount++;
        connections.addToOpenCount(1);
        request.connected(
                new PooledConnection(
                        connections,
                        true,
                        connections.table.openCount > connections.table.maxConnections));
    }

    private void scheduleOpen(ConnectionSet connections) {
        if (!connections.openScheduled && !connections.queue.isEmpty()) {
            connections.openScheduled = true;
            eventQueue.scheduleIn(
                    Math.max(REUSE_PAUSE_MS, connections.backoff.remainingNanos(nowNanos()) / 1e6),
                    () -> {
                        connections.openScheduled = false;
                        if (!connections.backoff.isPausing(nowNanos())) {
                            ConnectionRequest request = connections.pollWaiting();
                            if (request != null) {
                                connect(connections, request);
                            }
                        }
                        scheduleOpen(connections);
                    });
        }
    }

    /** A whole answer has come over it. */
    void release(PooledConnection connection) {
        if (connection.released || connection.connectionSet.discarded) {
            return;
        }
        connection.released = true;
        if (connection.openedAfterRejection) {
            connection.connectionSet.backoff.recordAccepted();
        }
        ConnectionSet connections = connection.connectionSet;
        if (connections.queue.isEmpty()) {
            connections.idleSince.addLast(eventQueue.now());
        } else {
            eventQueue.scheduleIn(
                    REUSE_PAUSE_MS,
                    () -> {
                        ConnectionRequest request = connections.pollWaiting();
                        if (request != null) {
                            request.connected(new PooledConnection(connections, false, false));
                        } else {
                            connections.idleSince.addLast(eventQueue.now());
                        }
                    });
        }
    }

    /** The machine's table was full, and its word of that has come. */
    void rejected(PooledConnection connection) {
        rejectedCount++;
        connection.connectionSet.backoff.recordRejection(nowNanos(), random.nextDouble());
        close(connection);
    }

    /** It is of no further use, to either side. */
    void close(PooledConnection connection) {
        if (!connection.released && !connection.connectionSet.discarded) {
            connection.connectionSet.addToOpenCount(-1);
        }
        connection.released = true;
    }

    /** Every idle connection to a machine is gone; those in use are closed by whoever has them. */
    void machineDied(String machine) {
        tables.get(machine).setsByProxy.values().forEach(VirtualConnectionPool::closeIdle);
    }

    /** A proxy's process has ended: its connections go, and what it knew of tables. */
    void proxyEnded(int proxy) {
        for (ConnectionTable table : tables.values()) {
            ConnectionSet connections = table.setsByProxy.remove(proxy);
            if (connections != null) {
                connections.addToOpenCount(-connections.openCount);
                connections.queue.clear();
                connections.idleSince.clear();
                connections.discarded = true;
            }
        }
    }

    private static void closeIdle(ConnectionSet connections) {
        connections.addToOpenCount(-connections.idleSince.size());
        connections.idleSince.clear();
    }
}
