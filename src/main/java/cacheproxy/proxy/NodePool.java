package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
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
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final double idleTimeoutMs;
    private final int connectTimeoutMs;
    private final int maxConnections;
    private final BodyMemory bodyMemory;
    private final Map<String, Target> targets = new HashMap<>();
    private final Deque<Connection> pausing = new ArrayDeque<>();
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
                baseBootstrap.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMs);
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
        List<Connection> all = new ArrayList<>(target.idle);
        target.idle.clear();
        pausing.stream().filter(c -> c.target == target).forEach(all::add);
        pausing.removeAll(all);
        all.forEach(c -> c.context.close());
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
        Connection idle = takeNewestIdle(target);
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

    private Connection takeNewestIdle(Target target) {
        long now = nanoClock.getAsLong();
        double timeoutMs = Math.min(idleTimeoutMs, idleTimeouts.timeoutMs(now));
        for (Connection connection = target.idle.pollFirst();
                connection != null;
                connection = target.idle.pollFirst()) {
            if (connection.idleMs(now) >= timeoutMs) {
                connection.context.close();
            } else if (connection.isUsable()) {
                return connection;
            } else {
                connection.context.close();
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
            for (Connection connection = target.idle.peekLast();
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
                connection.context.close();
            }
            anyIdle |= !target.idle.isEmpty();
        }
        idleSweepScheduled = false;
        if (anyIdle) {
            scheduleIdleSweep();
        }
    }

    private void connect(Target target, UpstreamAttempt attempt) {
        Connection connection = new Connection(target);
        ChannelFuture connectFuture =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        connection.byteHandler,
                                                        connection.decoder,
                                                        connection.aggregator,
                                                        connection);
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

    private static void onConnected(Target target, Connection connection, UpstreamAttempt attempt) {
        target.connecting.remove(attempt);
        if (attempt.mayBeWritten() && connection.isUsable()) {
            connection.write(attempt);
        } else {
            connection.context.close();
            attempt.connectionBroken();
        }
    }

    /** Closes the oldest idle connection for a new one; false if all connections are busy. */
    private boolean closeOldestIdle() {
        Connection oldest = pausing.peekFirst();
        for (Target target : targets.values()) {
            Connection candidate = target.idle.peekLast();
            if (candidate != null
                    && (oldest == null || candidate.idleSinceNanos - oldest.idleSinceNanos < 0)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            pausing.remove(oldest);
            oldest.target.idle.remove(oldest);
            oldest.context.close();
        }
        return oldest != null;
    }

    /** An endpoint's address, its idle connections, newest first, and the attempts waiting. */
    private static final class Target {
        final SocketAddress address;
        final double startedAtMs;
        final Deque<Connection> idle = new ArrayDeque<>();

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
    }

    /** Makes connections available whose pause has ended; reschedules itself while any remain. */
    private void endPauses() {
        long now = nanoClock.getAsLong();
        while (!pausing.isEmpty()
                && now - pausing.peekFirst().idleSinceNanos
                        >= TimeUnit.MILLISECONDS.toNanos(REUSE_PAUSE_MS)) {
            pausing.removeFirst().endPause();
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

    /** One connection to an endpoint. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements UpstreamAttempt.IncompleteResponse {
        private final Target target;
        private final ResponseAggregator aggregator = new ResponseAggregator(bodyMemory);
        private final StrictHttp.ResponseDecoder decoder = new StrictHttp.ResponseDecoder();
        private final InboundByteHandler byteHandler = new InboundByteHandler();
        private ChannelHandlerContext context;
        private UpstreamAttempt currentAttempt;

        /**
         * The complete response, held until the current read ends, which shows whether surplus
         * bytes came with it.
         */
        private FullHttpResponse completeResponse;

        private boolean hasSurplusInput;
        private int matchedStartBytes;

        /** When the latest bytes were received, in nanoseconds. */
        private long lastReadNanos;

        /** Whether the connection may be kept open after the streamed response. */
        private boolean keepAliveAfterStream;

        /** Whether the streamed response ends only with the connection. */
        private boolean closeDelimited;

        /** Whether the node has closed its sending side in order, as opposed to a reset. */
        private boolean inputShutdown;

        private Future<?> stallTimer;
        private long idleSinceNanos;
        private boolean usedBefore;
        private boolean hasAnswered;

        /**
         * Whether it was opened after the node rejected a connection. Only such a connection shows
         * whether the node accepts connections again.
         */
        private final boolean openedAfterRejection;

        Connection(Target target) {
            this.target = target;
            this.openedAfterRejection = target.backoff.isTableFull();
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        void write(UpstreamAttempt attempt) {
            currentAttempt = attempt;
            matchedStartBytes = 0;
            attempt.connectionIdleMs = usedBefore ? idleMs(nanoClock.getAsLong()) : 0;
            usedBefore = true;
            attempt.channel = context.channel();
            attempt.incompleteResponse = this;
            // The promise covers the head and a complete body: it fails if the connection breaks
            // before the last byte is written.
            context.writeAndFlush(attempt.buildRequest())
                    .addListener(
                            f -> {
                                if (!f.isSuccess()) {
                                    context.close();
                                    attempt.connectionBroken();
                                } else if (attempt.upload == null) {
                                    attempt.written = true;
                                }
                            });
            if (attempt.upload != null) {
                attempt.upload.sendTo(context.channel(), () -> attempt.written = true);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (currentAttempt != null && currentAttempt.upload != null) {
                currentAttempt.upload.updateReading();
            }
        }

        /**
         * Whether the connection is open and nothing has arrived since its last response: neither
         * an end of stream nor bytes that would be read as the start of the next response.
         */
        boolean isUsable() {
            return context.channel().isActive()
                    && (!(context.channel() instanceof NodeChannel node)
                            || node.hasNoPendingInput());
        }

        double idleMs(long now) {
            return Math.max(1, now - idleSinceNanos) / 1e6;
        }

        /** Whether bytes that have arrived can belong to the pending response. */
        private boolean isExpected(ByteBuf buffer) {
            if (currentAttempt == null
                    || currentAttempt.finished && currentAttempt.bodyConsumer == null
                    || !currentAttempt.written && currentAttempt.upload == null) {
                return false;
            }
            for (int i = buffer.readerIndex();
                    matchedStartBytes < STATUS_LINE_START.length && i < buffer.writerIndex();
                    i++, matchedStartBytes++) {
                if (buffer.getByte(i) != STATUS_LINE_START[matchedStartBytes]) {
                    return false;
                }
            }
            currentAttempt.responseStarted = true;
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof FullHttpResponse response) {
                handleFullResponse(ctx, response);
            } else if (part instanceof HttpResponse head) {
                startStreaming(ctx, head);
            } else if (currentAttempt != null && currentAttempt.bodyConsumer != null) {
                streamPart(ctx, ((HttpContent) part).retain());
            }
        }

        /**
         * Starts a streamed response. Fails the attempt if the response is not a success, which
         * would be passed on in vain, or if its end cannot be detected, as it might never end.
         */
        private void startStreaming(ChannelHandlerContext ctx, HttpResponse head) {
            if (currentAttempt == null || completeResponse != null) {
                hasSurplusInput = true;
            } else if (outcomeOf(head) != Outcome.OK || !hasDetectableEnd(head)) {
                failAttempt(ctx, null);
            } else {
                cancelStallTimer();
                keepAliveAfterStream = HttpUtil.isKeepAlive(head);
                closeDelimited = !declaresLength(head);
                currentAttempt.startStreaming(head);
                if (currentAttempt.bodyConsumer == null) {
                    ctx.close();
                }
            }
        }

        private void streamPart(ChannelHandlerContext ctx, HttpContent part) {
            UpstreamAttempt attempt = currentAttempt;
            if (part.decoderResult().isFailure()) {
                part.release();
                failAttempt(ctx, part.decoderResult().cause());
            } else if (part instanceof LastHttpContent && closeDelimited && !inputShutdown) {
                part.release();
                failAttempt(ctx, null);
            } else if (part instanceof LastHttpContent) {
                currentAttempt = null;
                keepOrClose(attempt, keepAliveAfterStream && ctx.channel().isActive());
                recordAnswered();
                attempt.finishStreaming(part);
            } else {
                attempt.streamPart(part);
            }
        }

        /**
         * Records that the node has answered on this connection. If the connection was opened after
         * a rejection, the node has capacity for connections again.
         */
        private void recordAnswered() {
            if (!hasAnswered && openedAfterRejection) {
                target.backoff.recordAccepted();
            }
            hasAnswered = true;
        }

        private void handleFullResponse(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (currentAttempt == null || completeResponse != null) {
                hasSurplusInput = true;
            } else if (response.decoderResult().isFailure()) {
                failAttempt(ctx, response.decoderResult().cause());
            } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                matchedStartBytes = 0;
            } else if (!declaresLength(response) && !(inputShutdown && announcesClose(response))) {
                // Only the end of the connection delimits this response, and the node did not
                // close it in order, so the response may be truncated.
                currentAttempt.connectionBroken();
            } else {
                completeResponse = response.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (completeResponse != null) {
                finishAttempt();
            } else if (currentAttempt != null && mayBeStalled() && stallTimer == null) {
                scheduleStallCheck(ctx, currentAttempt, stallTimeoutMs);
            }
        }

        /** Fails the attempt if no more bytes of its response arrive within the stall timeout. */
        private void scheduleStallCheck(
                ChannelHandlerContext ctx, UpstreamAttempt watchedAttempt, double waitMs) {
            stallTimer =
                    loop.schedule(
                            () -> {
                                stallTimer = null;
                                if (currentAttempt != watchedAttempt || !mayBeStalled()) {
                                    return;
                                } else if (quietMs() >= stallTimeoutMs) {
                                    failAttempt(ctx, null);
                                } else {
                                    scheduleStallCheck(
                                            ctx, watchedAttempt, stallTimeoutMs - quietMs());
                                }
                            },
                            (long) (waitMs * 1e6),
                            TimeUnit.NANOSECONDS);
        }

        /** Whether a response has begun that ends the attempt if no more of it arrives. */
        private boolean mayBeStalled() {
            return matchedStartBytes > 0
                    && currentAttempt.bodyConsumer == null
                    && !isStreamable(aggregator.aggregatedHead());
        }

        @Override
        public double quietMs() {
            return (nanoClock.getAsLong() - lastReadNanos) / 1e6;
        }

        @Override
        public boolean stream() {
            boolean streamable = isStreamable(aggregator.aggregatedHead());
            if (streamable) {
                aggregator.streamAggregated();
            }
            return streamable;
        }

        private void cancelStallTimer() {
            if (stallTimer != null) {
                stallTimer.cancel(false);
                stallTimer = null;
            }
        }

        /**
         * Ends the attempt with its complete response. If surplus bytes arrived with it, the
         * connection is closed, because they would be taken for the next response.
         */
        private void finishAttempt() {
            FullHttpResponse response = completeResponse;
            UpstreamAttempt attempt = currentAttempt;
            completeResponse = null;
            currentAttempt = null;
            cancelStallTimer();
            keepOrClose(attempt, !hasSurplusInput && HttpUtil.isKeepAlive(response));
            Outcome outcome = outcomeOf(response);
            if (!hasAnswered && outcome == Outcome.REJECTED && !HttpUtil.isKeepAlive(response)) {
                // A new connection that is rejected and closed at once: the node's connection table
                // is full, which says nothing about the load of its cores.
                outcome = Outcome.CONNECT_FAILED;
                target.backoff.recordRejection(nanoClock.getAsLong(), random.nextDouble());
                hasAnswered = true;
            } else {
                recordAnswered();
            }
            try {
                attempt.finish(outcome, response);
            } finally {
                response.release();
            }
        }

        /**
         * Keeps the connection for another attempt if that is allowed, the request has been written
         * completely and no unread bytes remain; otherwise closes it.
         */
        private void keepOrClose(UpstreamAttempt attempt, boolean reusable) {
            // Reading may still be paused for a slow client although the last part has arrived.
            context.channel().config().setAutoRead(true);
            boolean requestWritten = attempt.upload == null || attempt.written;
            if (reusable && requestWritten && !decoder.hasUnconsumedBytes() && target.listed) {
                idleSinceNanos = nanoClock.getAsLong();
                pausing.addLast(this);
                schedulePauseEnd();
            } else {
                context.close();
            }
        }

        private void endPause() {
            if (!isUsable() || !target.listed) {
                context.close();
                return;
            }
            UpstreamAttempt waiting = target.pollWaiting();
            if (waiting != null) {
                write(waiting);
                return;
            }
            target.idle.addFirst(this);
            scheduleIdleSweep();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                ctx.close();
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            pausing.remove(this);
            if (completeResponse != null) {
                finishAttempt();
            } else if (currentAttempt != null) {
                currentAttempt.abortStreaming();
                currentAttempt.connectionBroken();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            failAttempt(ctx, cause);
        }

        /**
         * Ends the attempt and closes the connection. A broken connection is reported as such, even
         * in the middle of a response; any other fault means that the response is invalid.
         */
        private void failAttempt(ChannelHandlerContext ctx, Throwable cause) {
            boolean broke =
                    cause instanceof IOException
                            || cause instanceof PrematureChannelClosureException;
            if (completeResponse != null) {
                hasSurplusInput = true;
                finishAttempt();
            } else if (currentAttempt != null && currentAttempt.bodyConsumer != null) {
                currentAttempt.abortStreaming();
            } else if (currentAttempt != null
                    && !broke
                    && (currentAttempt.written || currentAttempt.responseStarted)) {
                currentAttempt.finish(Outcome.ERROR, null);
            } else if (currentAttempt != null) {
                currentAttempt.connectionBroken();
            }
            ctx.close();
        }

        /**
         * Checks bytes before they are decoded. Bytes that arrive while no response is pending, or
         * before the request is written, belong to an earlier request. Bytes that do not start a
         * status line are rejected here, since the decoder would notice that only at the line's
         * end.
         */
        private final class InboundByteHandler extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (completeResponse != null) {
                    hasSurplusInput = true;
                    ReferenceCountUtil.release(message);
                } else if (message instanceof ByteBuf buffer && !isExpected(buffer)) {
                    buffer.release();
                    failAttempt(context, null);
                } else {
                    lastReadNanos = nanoClock.getAsLong();
                    ctx.fireChannelRead(message);
                }
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                inputShutdown |= event instanceof ChannelInputShutdownEvent;
                ctx.fireUserEventTriggered(event);
            }
        }
    }

    /** Aggregates responses; one that exceeds the maximum length is treated as invalid. */
    private static final class ResponseAggregator extends MessageAggregator {
        ResponseAggregator(BodyMemory memory) {
            super(memory);
        }

        @Override
        FullHttpMessage aggregate(HttpMessage head, ByteBuf body) {
            HttpResponse response = (HttpResponse) head;
            return new DefaultFullHttpResponse(
                    response.protocolVersion(),
                    response.status(),
                    body,
                    response.headers(),
                    EmptyHttpHeaders.INSTANCE);
        }
    }

    /**
     * Whether a response with this head may turn out longer than what is aggregated, and may then
     * be streamed. Null stands for a head that is not complete.
     */
    private static boolean isStreamable(HttpMessage head) {
        return head instanceof HttpResponse response
                && !HttpUtil.isContentLengthSet(response)
                && outcomeOf(response) == Outcome.OK
                && hasDetectableEnd(response);
    }

    /**
     * Whether the end of a response can be told from truncation: it declares its length, or it
     * announces that the end of the connection ends it.
     */
    private static boolean hasDetectableEnd(HttpResponse response) {
        return declaresLength(response) || announcesClose(response);
    }

    private static boolean declaresLength(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Whether a response without a declared length announces that it ends with its connection. */
    private static boolean announcesClose(HttpResponse response) {
        return response.headers()
                .contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private static Outcome outcomeOf(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return switch (status.code()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 ->
                    "1".equals(response.headers().get("X-Rejected"))
                            ? Outcome.REJECTED
                            : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
