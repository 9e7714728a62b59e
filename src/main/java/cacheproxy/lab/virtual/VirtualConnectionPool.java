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
 * The connections of all proxies to all machines, under the rules by which {@code
 * cacheproxy.proxy.NodePool} manages the connections of one proxy: one request at a time per
 * connection, the most recently used idle connection first, connections beyond the first close
 * after a short idle time, and no new connections for a while after a machine's connection table
 * was full. Expired idle connections are closed at the next access; the outcome is the same as if
 * they were closed on time.
 */
final class VirtualConnectionPool {

    /** A request for a connection. */
    interface ConnectionRequest {
        /** Returns whether the proxy still waits for the connection. */
        boolean isStillWaiting();

        /** Hands over a connection; the receiver must release, reject or close it. */
        void connected(PooledConnection connection);

        /** The request has waited for the connect time-out without getting a connection. */
        void timedOut();
    }

    /** The connections of one proxy to one machine. */
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

    /** A machine's connection table: its limit, its open connections, and those of each proxy. */
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

    /** A connection while a request uses it. */
    static final class PooledConnection {
        /** Whether the connection was opened for this request. */
        final boolean newlyOpened;

        /** Whether the machine's connection table was full when the connection was opened. */
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

    /** Pause of a connection between two requests, as in {@code NodePool}. */
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

    /** Closes expired connections and records how many connections each machine has open. */
    void sampleOpenCounts() {
        for (ConnectionTable table : tables.values()) {
            table.setsByProxy.values().forEach(ConnectionSet::closeExpired);
            table.maxOpenCount = Math.max(table.maxOpenCount, table.openCount);
        }
    }

    /** Returns the largest number of open connections that any sample found at a machine. */
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

    /**
     * Gets a connection for a request. An idle connection or a new one is handed over at once;
     * while new connections are suspended the request waits, at most for the connect time-out.
     */
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

    /** Schedules new connections for the waiting requests, one at a time, after the suspension. */
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

    /** Returns a connection to the pool after a complete answer. */
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

    /** The machine rejected the connection because its connection table was full. */
    void rejected(PooledConnection connection) {
        rejectedCount++;
        connection.connectionSet.backoff.recordRejection(nowNanos(), random.nextDouble());
        close(connection);
    }

    /** Closes a connection; without effect if it was released before. */
    void close(PooledConnection connection) {
        if (!connection.released && !connection.connectionSet.discarded) {
            connection.connectionSet.addToOpenCount(-1);
        }
        connection.released = true;
    }

    /** Closes all idle connections to a machine; those in use are closed by their users. */
    void machineDied(String machine) {
        tables.get(machine).setsByProxy.values().forEach(VirtualConnectionPool::closeIdle);
    }

    /** Removes all connections of a proxy whose process has ended, and its connection back-off. */
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
