package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The connections to the cache nodes and the origin. Each connection carries one attempt at a time.
 * The most recently used idle connection is reused first, so that the others age and are closed.
 * The pool never retries: every attempt ends exactly once, with the outcome that its own connection
 * showed.
 */
final class NodePool {

    /**
     * The part of the node's own idle timeout after which an idle connection is closed. If the node
     * closed it first, a request written at that moment would be lost.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.75;

    /**
     * Pause before a connection is reused after a response. A duplicate of the response that
     * arrives slightly later would be taken for the response to the next request. The pause is
     * measured by timers, which run after all input that has arrived was read, even if the process
     * was stopped for a while.
     */
    private static final long REUSE_PAUSE_MS = 4;

    /** Number of sweeps for idle connections per idle timeout. */
    private static final double SWEEPS_PER_IDLE_TIMEOUT = 10;

    /**
     * A response that has begun but makes no progress for this fraction of the shortest latency
     * objective, limited by {@link #MAX_STALL_TIMEOUT_MS}, is treated as broken if its head is
     * incomplete or states a length that is aggregated. This leaves enough time to get the response
     * from another node. A response of unknown length may be a long one that its node writes
     * slowly; it lasts until the attempt's timeout.
     */
    private static final double STALL_TIMEOUT_FRACTION = 0.25;

    private static final double MAX_STALL_TIMEOUT_MS = 200;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final double idleTimeoutMs;
    private final int connectTimeoutMs;
    private final int maxConnections;
    private final BodyMemory bodyMemory;
    private final Map<String, Target> targets = new HashMap<>();
    private final Deque<NodeConnection> pausing = new ArrayDeque<>();
    private final IdleTimeoutEstimator idleTimeouts = new IdleTimeoutEstimator();
    private final LongSupplier nanoClock;
    private final SplittableRandom random;
    private double stallTimeoutMs = MAX_STALL_TIMEOUT_MS;
    private boolean pauseTimerSet;
    private boolean idleSweepScheduled;
    private int connectionCount;

    NodePool(
            EventLoop loop,
            ConnectionTransport transport,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            BodyMemory bodyMemory,
            long seed) {
        this(
                loop,
                transport,
                connectTimeoutMs,
                idleTimeoutMs,
                maxConnections,
                bodyMemory,
                seed,
                System::nanoTime);
    }

    /**
     * Creates a pool with a given clock.
     *
     * @param bodyMemory memory for responses that are aggregated
     * @param seed seed of the random spread of the back-off pauses
     * @param nanoClock clock for idle times and pauses, in nanoseconds
     */
    NodePool(
            EventLoop loop,
            ConnectionTransport transport,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            BodyMemory bodyMemory,
            long seed,
            LongSupplier nanoClock) {
        this(
                loop,
                transport.clientBootstrap(loop),
                connectTimeoutMs,
                idleTimeoutMs,
                maxConnections,
                bodyMemory,
                seed,
                nanoClock);
    }

    /** Creates a pool whose connections are made by {@code baseBootstrap}. */
    NodePool(
            EventLoop loop,
            Bootstrap baseBootstrap,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxConnections,
            BodyMemory bodyMemory,
            long seed,
            LongSupplier nanoClock) {
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.random = new SplittableRandom(seed);
        this.idleTimeoutMs = idleTimeoutMs * IDLE_TIMEOUT_FRACTION;
        this.maxConnections = maxConnections;
        this.bodyMemory = bodyMemory;
        this.connectTimeoutMs = Math.max(1, (int) connectTimeoutMs);
        this.bootstrap =
                BufferLimits.forConnections(maxConnections)
                        .applyTo(baseBootstrap)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMs);
    }

    /** Derives the stall timeout from the latency objectives of the served classes. */
    void setServiceClasses(List<ServiceClass> classes) {
        stallTimeoutMs = stallTimeoutMs(classes);
    }

    static double stallTimeoutMs(List<ServiceClass> classes) {
        double shortestObjectiveMs =
                classes.stream()
                        .mapToDouble(ServiceClass::latencyObjectiveMs)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
        return Math.max(
                1, Math.min(MAX_STALL_TIMEOUT_MS, STALL_TIMEOUT_FRACTION * shortestObjectiveMs));
    }

    /**
     * Applies an endpoint list update. Closes idle connections to endpoints that are draining, have
     * left, have moved or have been restarted. Attempts that are not yet written there must not be
     * written any more; they end when the returned action runs, because whoever is notified of
     * their end has to know the new list by then.
     */
    Runnable applyEndpointList(EndpointListUpdate update) {
        List<Runnable> cancellations = new ArrayList<>();
        if (update.snapshot()) {
            Set<String> listedIds =
                    update.endpoints().stream().map(h -> h.node().id()).collect(Collectors.toSet());
            List.copyOf(targets.keySet()).stream()
                    .filter(id -> !listedIds.contains(id))
                    .forEach(id -> removeTarget(id, cancellations));
        }
        for (EndpointListUpdate.Endpoint endpoint : update.endpoints()) {
            Target target = targets.get(endpoint.node().id());
            if (endpoint.node().availability() == Availability.GONE) {
                removeTarget(endpoint.node().id(), cancellations);
            } else if (target == null
                    || !target.address.equals(endpoint.address())
                    || target.startedAtMs != endpoint.node().startedAtMs()) {
                removeTarget(endpoint.node().id(), cancellations);
                targets.put(
                        endpoint.node().id(),
                        new Target(endpoint.address(), endpoint.node().startedAtMs()));
            } else if (endpoint.node().availability() == Availability.DRAINING) {
                closeIdle(target);
                cancellations.add(() -> cancelUnwritten(target, Outcome.NEVER_SENT));
            }
        }
        return () -> cancellations.forEach(Runnable::run);
    }

    private void removeTarget(String node, List<Runnable> cancellations) {
        Target target = targets.remove(node);
        if (target != null) {
            closeIdle(target);
            target.listed = false;
            cancellations.add(() -> cancelUnwritten(target, Outcome.CONNECT_FAILED));
        }
    }

    /** Ends the attempts that wait for a connection there, including one being established. */
    private static void cancelUnwritten(Target target, Outcome outcome) {
        List.copyOf(target.connecting).forEach(attempt -> attempt.abandon(outcome));
        for (UpstreamAttempt attempt = target.pollWaiting();
                attempt != null;
                attempt = target.pollWaiting()) {
            attempt.finish(outcome, null);
        }
    }

    /**
     * Closes the idle connections to a node and ends the attempts that wait for a connection to it,
     * since none of their bytes have been written.
     */
    void closeIdle(String node) {
        Target target = targets.get(node);
        if (target != null) {
            closeIdle(target);
            cancelUnwritten(target, Outcome.NEVER_SENT);
        }
    }

    private void closeIdle(Target target) {
        List<NodeConnection> all = new ArrayList<>(target.idle);
        target.idle.clear();
        pausing.stream().filter(c -> c.owner() == target).forEach(all::add);
        pausing.removeAll(all);
        all.forEach(NodeConnection::close);
    }

    int connectionCount() {
        return connectionCount;
    }

    /** Number of connections to one node, busy and idle. */
    int connectionCount(String node) {
        Target target = targets.get(node);
        return target == null ? 0 : target.connectionCount;
    }

    /** Whether no connection is in the pause that follows a response. */
    boolean hasNoPausingConnection() {
        return pausing.isEmpty();
    }

    /**
     * Starts an attempt that times out after {@code timeoutMs}. The request is built when a
     * connection is ready for it, so that the budget it states is what remains at that time.
     */
    UpstreamAttempt send(
            String node,
            Supplier<FullHttpRequest> request,
            double timeoutMs,
            UpstreamAttempt.Listener listener) {
        return send(node, request, null, timeoutMs, Double.POSITIVE_INFINITY, listener);
    }

    /**
     * Starts an attempt whose body is streamed behind the head.
     *
     * @param upload the body, or null if the request is complete
     * @param writeWithinMs time until the last byte must have been written; otherwise the attempt
     *     ends as never sent
     */
    UpstreamAttempt send(
            String node,
            Supplier<? extends HttpRequest> request,
            Upload upload,
            double timeoutMs,
            double writeWithinMs,
            UpstreamAttempt.Listener listener) {
        UpstreamAttempt attempt =
                new UpstreamAttempt(request, upload, listener, loop, idleTimeouts, nanoClock);
        attempt.setTimeout(timeoutMs);
        attempt.setWriteDeadline(writeWithinMs);
        Target target = targets.get(node);
        if (target == null) {
            attempt.finish(Outcome.CONNECT_FAILED, null);
            return attempt;
        }
        if (!attempt.mayBeWritten()) {
            return attempt;
        }
        NodeConnection idle = takeNewestIdle(target);
        if (idle != null) {
            idle.write(attempt);
        } else if (target.backoff.isPausing(nanoClock.getAsLong())) {
            enqueue(target, attempt);
        } else if (connectionCount < maxConnections || closeOldestIdle()) {
            connect(target, attempt);
        } else {
            // The connection limit is reached: another socket could leave no descriptor for a
            // client that is being accepted. That is no fault of the node, so the outcome must not
            // count as a failure of the node.
            attempt.finish(Outcome.NEVER_SENT, null);
        }
        return attempt;
    }

    /**
     * Queues an attempt until a connection becomes free or one more may be opened, but no longer
     * than connecting may take. If it waited until its own timeout, the response would be late and
     * the decision module would learn of it too late.
     */
    private void enqueue(Target target, UpstreamAttempt attempt) {
        target.waiting.addLast(attempt);
        loop.schedule(attempt::failIfUnconnected, connectTimeoutMs, TimeUnit.MILLISECONDS);
        scheduleConnect(target);
    }

    private void scheduleConnect(Target target) {
        if (!target.connectScheduled && !target.waiting.isEmpty()) {
            target.connectScheduled = true;
            long pauseNanos =
                    Math.max(
                            TimeUnit.MILLISECONDS.toNanos(REUSE_PAUSE_MS),
                            target.backoff.remainingNanos(nanoClock.getAsLong()));
            loop.schedule(() -> connectNext(target), pauseNanos, TimeUnit.NANOSECONDS);
        }
    }

    /** Opens one more connection for the attempt that has waited longest. */
    private void connectNext(Target target) {
        target.connectScheduled = false;
        if (!target.backoff.isPausing(nanoClock.getAsLong())
                && (connectionCount < maxConnections || closeOldestIdle())) {
            UpstreamAttempt attempt = target.pollWaiting();
            if (attempt != null) {
                connect(target, attempt);
            }
        }
        scheduleConnect(target);
    }

    private NodeConnection takeNewestIdle(Target target) {
        long now = nanoClock.getAsLong();
        double timeoutMs = Math.min(idleTimeoutMs, idleTimeouts.timeoutMs(now));
        for (NodeConnection connection = target.idle.pollFirst();
                connection != null;
                connection = target.idle.pollFirst()) {
            if (connection.idleMs(now) >= timeoutMs) {
                connection.close();
            } else if (connection.isUsable()) {
                return connection;
            } else {
                connection.close();
            }
        }
        return null;
    }

    /** Schedules the next sweep for expired idle connections while there are idle connections. */
    private void scheduleIdleSweep() {
        if (!idleSweepScheduled && idleTimeoutMs < Long.MAX_VALUE / 1e6) {
            idleSweepScheduled = true;
            loop.schedule(
                    this::closeExpiredIdle,
                    (long)
                            (Math.min(
                                            idleTimeoutMs / SWEEPS_PER_IDLE_TIMEOUT,
                                            ConnectionBackoff.SPARE_IDLE_TIMEOUT_MS)
                                    * 1e6),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void closeExpiredIdle() {
        long now = nanoClock.getAsLong();
        double timeoutMs = Math.min(idleTimeoutMs, idleTimeouts.timeoutMs(now));
        boolean anyIdle = false;
        for (Target target : targets.values()) {
            int spareConnections = target.connectionCount - 1;
            for (NodeConnection connection = target.idle.peekLast();
                    connection != null
                            && connection.idleMs(now)
                                    >= (spareConnections > 0
                                            ? Math.min(
                                                    timeoutMs,
                                                    ConnectionBackoff.SPARE_IDLE_TIMEOUT_MS)
                                            : timeoutMs);
                    connection = target.idle.peekLast()) {
                spareConnections--;
                target.idle.removeLast();
                connection.close();
            }
            anyIdle |= !target.idle.isEmpty();
        }
        idleSweepScheduled = false;
        if (anyIdle) {
            scheduleIdleSweep();
        }
    }

    private void connect(Target target, UpstreamAttempt attempt) {
        NodeConnection connection = new NodeConnection(target, loop, bodyMemory, nanoClock);
        ChannelFuture connectFuture =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        connection.initPipeline(channel.pipeline());
                                    }
                                })
                        .connect(target.address);
        if (connectFuture.isDone()) {
            // Connecting itself completes later, so no socket could be created: the process is out
            // of descriptors, which is no fault of the node.
            attempt.finish(Outcome.NEVER_SENT, null);
            return;
        }
        connectionCount++;
        target.connectionCount++;
        attempt.channel = connectFuture.channel();
        target.connecting.add(attempt);
        connectFuture
                .channel()
                .closeFuture()
                .addListener(
                        f -> {
                            connectionCount--;
                            target.connectionCount--;
                        });
        connectFuture.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        target.connecting.remove(attempt);
                        connectFuture.channel().close();
                        attempt.finish(Outcome.CONNECT_FAILED, null);
                    } else {
                        onConnected(target, connection, attempt);
                    }
                });
    }

    private static void onConnected(
            Target target, NodeConnection connection, UpstreamAttempt attempt) {
        target.connecting.remove(attempt);
        if (attempt.mayBeWritten() && connection.isUsable()) {
            connection.write(attempt);
        } else {
            connection.close();
            attempt.connectionBroken();
        }
    }

    /** Closes the oldest idle connection for a new one; false if all connections are busy. */
    private boolean closeOldestIdle() {
        NodeConnection oldest = pausing.peekFirst();
        for (Target target : targets.values()) {
            NodeConnection candidate = target.idle.peekLast();
            if (candidate != null
                    && (oldest == null
                            || candidate.idleSinceNanos() - oldest.idleSinceNanos() < 0)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            oldest.owner().onClosed(oldest);
            oldest.close();
        }
        return oldest != null;
    }

    /** An endpoint's address, its idle connections, newest first, and the attempts waiting. */
    private final class Target implements NodeConnection.Owner {
        final SocketAddress address;
        final double startedAtMs;
        final Deque<NodeConnection> idle = new ArrayDeque<>();

        /**
         * False once the endpoint has left, moved or restarted: connections that become free are
         * then closed rather than kept idle.
         */
        boolean listed = true;

        final Deque<UpstreamAttempt> waiting = new ArrayDeque<>();

        /** Attempts for which a connection is being established. */
        final Set<UpstreamAttempt> connecting = new HashSet<>();

        int connectionCount;
        final ConnectionBackoff backoff = new ConnectionBackoff();
        private boolean connectScheduled;

        Target(SocketAddress address, double startedAtMs) {
            this.address = address;
            this.startedAtMs = startedAtMs;
        }

        UpstreamAttempt pollWaiting() {
            UpstreamAttempt next = waiting.pollFirst();
            while (next != null && !next.mayBeWritten()) {
                next = waiting.pollFirst();
            }
            return next;
        }

        @Override
        public boolean isListed() {
            return listed;
        }

        @Override
        public boolean isTableFull() {
            return backoff.isTableFull();
        }

        @Override
        public double stallTimeoutMs() {
            return stallTimeoutMs;
        }

        @Override
        public void onRejected() {
            backoff.recordRejection(nanoClock.getAsLong(), random.nextDouble());
        }

        @Override
        public void onAcceptedAgain() {
            backoff.recordAccepted();
        }

        @Override
        public void onReleased(NodeConnection connection) {
            pausing.addLast(connection);
            schedulePauseEnd();
        }

        @Override
        public void onClosed(NodeConnection connection) {
            idle.remove(connection);
            pausing.remove(connection);
        }

        @Override
        public void onPauseEnded(NodeConnection connection) {
            if (!connection.isUsable() || !listed) {
                connection.close();
                return;
            }
            UpstreamAttempt waitingAttempt = pollWaiting();
            if (waitingAttempt != null) {
                connection.write(waitingAttempt);
                return;
            }
            idle.addFirst(connection);
            scheduleIdleSweep();
        }
    }

    /** Makes connections available whose pause has ended; reschedules itself while any remain. */
    private void endPauses() {
        long now = nanoClock.getAsLong();
        while (!pausing.isEmpty()
                && now - pausing.peekFirst().idleSinceNanos()
                        >= TimeUnit.MILLISECONDS.toNanos(REUSE_PAUSE_MS)) {
            NodeConnection connection = pausing.removeFirst();
            connection.owner().onPauseEnded(connection);
        }
        pauseTimerSet = false;
        schedulePauseEnd();
    }

    private void schedulePauseEnd() {
        if (!pauseTimerSet && !pausing.isEmpty()) {
            pauseTimerSet = true;
            loop.schedule(this::endPauses, REUSE_PAUSE_MS, TimeUnit.MILLISECONDS);
        }
    }
}
