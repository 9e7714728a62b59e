package cacheproxy.proxy;

import cacheproxy.Router.Effect;
import cacheproxy.Router.Request;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * Takes clients' requests in and their answers out. What no node could make sense of is answered
 * here.
 */
final class ClientServer {

    private static final String API_PREFIX = "/api/";
    private static final Pattern ID_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");

    /** A budget past this is a mistake, and as a timer would outlive the process. */
    private static final double MAX_BUDGET_S = 3600;

    private static final int MAX_PIPELINED = 16;

    /**
     * How often the limits in time are looked at: one timer for all, as most connections never
     * reach one.
     */
    private static final long SWEEP_INTERVAL_MS = 100;

    /** How long a connection may say nothing at first. */
    private static final long FIRST_BYTE_TIMEOUT_MS = 2000;

    /**
     * A usual client takes 2 s for a head and then sends 64 kB a second, in bursts. One that sent
     * nothing of use is owed an end 3 s after it came.
     */
    private static final long MIN_RATE_GRACE_MS = 2600;

    /** How long one may pause in the middle of a request; an end is owed within 3 s. */
    private static final long REQUEST_PAUSE_TIMEOUT_MS = 2600;

    private static final long MIN_BYTES_PER_S = 48_000;
    private static final long RESPONSE_STALL_TIMEOUT_MS = 10_000;

    /**
     * How long one that was served is kept for its next request: some clients ask once and stay for
     * good.
     */
    private static final long IDLE_TIMEOUT_MS = 4000;

    /**
     * Part of the connections that may be kept for a next request. Past it each answer is its
     * connection's last and idle ones go sooner: clients that ask once and stay would else use up
     * the connections that clients may hold, and all others would find none. Could do harm where
     * that many clients do ask again: each request then opens a connection.
     */
    private static final int IDLE_CONNECTIONS_DIVISOR = 4;

    private static final long SHORT_IDLE_TIMEOUT_MS = 2000;

    /**
     * When accepting is tried again after it failed: what is out of descriptors would fail at once,
     * and for all.
     */
    private static final long ACCEPT_RETRY_DELAY_MS = 100;

    /** Part of the connections that may have no request and never had a good one. */
    private static final int UNPROVEN_CONNECTIONS_DIVISOR = 4;

    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxConnections;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Log log = new Log();

    /** Null before clients are let in. */
    private Channel listener;

    private boolean ready;

    /** When the last sweep ran. */
    private long lastSweepNanos = System.nanoTime();

    private boolean atConnectionLimit;
    private int idleConnections;
    private boolean draining;
    private boolean operatorDrain;

    /** Whether other processes listen on the same socket. */
    private boolean sharedListener;

    private boolean stopped;

    ClientServer(EventLoop loop, Proxy proxy, Settings settings, int maxConnections) {
        this.loop = loop;
        this.proxy = proxy;
        this.maxConnections = maxConnections;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /**
     * On the loop; null where a drain has begun, after which nobody is let in any more. May be
     * called again after it has failed: there may then be no socket, only a channel that can't be
     * closed either.
     */
    ChannelFuture listen(ConnectionTransport transport, SocketAddress address) {
        return draining
                ? null
                : listening(configure(transport.serverBootstrap(loop)).bind(address));
    }

    /**
     * Takes clients from a socket that listens already and that other processes take them from as
     * well.
     */
    ChannelFuture listen(ServerSocketChannel boundSocket) {
        sharedListener = true;
        return draining
                ? null
                : listening(
                        configure(ConnectionTransport.serverBootstrap(loop, boundSocket))
                                .register());
    }

    boolean listening() {
        return listener != null;
    }

    private ChannelFuture listening(ChannelFuture channelFuture) {
        if (!listening()) {
            loop.scheduleWithFixedDelay(
                    this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
        listener = channelFuture.channel();
        return channelFuture;
    }

    private ServerBootstrap configure(ServerBootstrap server) {
        return server.handler(new AcceptFailureHandler())
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                Connection connection = new Connection(channel);
                                channel.pipeline()
                                        .addLast(
                                                connection.byteHandler,
                                                connection.decoder,
                                                new HttpResponseEncoder(),
                                                new RequestAggregator(),
                                                connection);
                                enforceConnectionLimits();
                                connections.add(connection);
                            }
                        });
    }

    private void sweep() {
        long nowNanos = System.nanoTime();
        boolean delayed =
                nowNanos - lastSweepNanos > 2 * TimeUnit.MILLISECONDS.toNanos(SWEEP_INTERVAL_MS);
        lastSweepNanos = nowNanos;
        if (delayed) {
            // What has come meanwhile lies unread: who seems silent may have asked long ago.
            return;
        }
        List.copyOf(connections).forEach(c -> c.sweep(nowNanos));
    }

    void markReady() {
        ready = true;
    }

    /** Whether clients may come, but for an operator's drain. */
    boolean isReady() {
        return ready && !draining;
    }

    int connections() {
        return connections.size();
    }

    /**
     * From now on each answer is its connection's last, but for clients that were served before:
     * they may have nowhere else to go, as another proxy may be just starting. Where another
     * process listens on the same socket all have, and whoever comes is its client.
     */
    void drain() {
        draining = true;
        if (sharedListener) {
            setAccepting(false);
        } else {
            connections.forEach(c -> c.exemptFromDrain = c.hadValidRequest);
        }
    }

    /**
     * The operators empty this proxy, or end that. Each answer is then its connection's last;
     * clients have elsewhere to go, so those that were served before are not kept either.
     */
    void setOperatorDrain(boolean active) {
        operatorDrain = active;
    }

    boolean isDrainedByOperator() {
        return operatorDrain;
    }

    private boolean closesAfterResponse() {
        return operatorDrain || isHandingOver();
    }

    private boolean isHandingOver() {
        return sharedListener && draining;
    }

    private void setAccepting(boolean enabled) {
        if (listening()) {
            listener.config().setAutoRead(enabled);
        }
    }

    /**
     * No new connections, and none is kept that has no request. One that has begun to come is still
     * read and served, and so is one on a connection that waits to be accepted: closing the
     * listener would reset it.
     */
    void stopAccepting() {
        boolean first = !stopped;
        stopped = true;
        List.copyOf(connections).forEach(Connection::closeIfIdle);
        if (sharedListener) {
            setAccepting(false);
        } else if (first && listening() && listener.isOpen()) {
            acceptPending();
            listener.close();
        }
    }

    private void acceptPending() {
        if (listener instanceof ClientChannel.Listener sockets) {
            sockets.acceptPending(Math.max(0, maxConnections - connections.size()));
        }
    }

    /**
     * Nothing more is taken: whose request has only begun to come is told to ask elsewhere. Called
     * again until no connection is left, as bytes may lie unread at the first call.
     */
    void rejectIncomplete() {
        List.copyOf(connections).forEach(Connection::closeIfIdle);
        List.copyOf(connections).forEach(Connection::rejectIfReading);
    }

    /**
     * Keeps below the descriptors that are ours. Of those that never had a good request a part may
     * stay, so that a crowd that says nothing takes no usual client's place; then the one that has
     * waited longest goes, at once, as it may never end its half. Else the idle one that was used
     * longest ago is ended. If every one is busy the next clients wait in the listener's backlog
     * until one has its answer: accepting past the limit would fail for all.
     */
    private void enforceConnectionLimits() {
        boolean atLimit = connections.size() + 1 >= maxConnections;
        enforceConnectionLimits(atLimit);
        if (atLimit) {
            atConnectionLimit = true;
            setAccepting(false);
        }
    }

    private void enforceConnectionLimits(boolean atLimit) {
        List<Connection> unproven =
                connections.stream()
                        .filter(c -> !c.hadValidRequest && c.hasNoPendingResponse())
                        .toList();
        if (!unproven.isEmpty()
                && (atLimit
                        || unproven.size()
                                >= Math.max(1, maxConnections / UNPROVEN_CONNECTIONS_DIVISOR))) {
            unproven.stream()
                    .min(Comparator.comparingLong(c -> c.timerStartNanos))
                    .ifPresent(Connection::evict);
        } else if (atLimit) {
            closeLeastRecentlyUsedIdle();
        }
    }

    private void closeLeastRecentlyUsedIdle() {
        for (Connection connection : List.copyOf(connections)) {
            if (connection.phase == Phase.IDLE && connection.closeIfIdle()) {
                return;
            }
        }
    }

    /**
     * Descriptors are out before the connections that may be held are: one that asks for nothing is
     * let go, and accepting rests for a moment. Left to Netty it would rest for a second and then
     * go on whatever has been decided meanwhile.
     */
    private final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.warnLimited(
                    "accept_failed", "cause", cause.getMessage(), "clients", connections.size());
            enforceConnectionLimits(true);
            setAccepting(false);
            loop.schedule(
                    () -> setAccepting(!atConnectionLimit && !isHandingOver() && !stopped),
                    ACCEPT_RETRY_DELAY_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private boolean hasTooManyIdle() {
        return idleConnections >= Math.max(1, maxConnections / IDLE_CONNECTIONS_DIVISOR);
    }

    private void onClosed(Connection connection) {
        connections.remove(connection);
        if (atConnectionLimit && connections.size() < maxConnections) {
            atConnectionLimit = false;
            setAccepting(!isHandingOver());
        }
    }

    /**
     * Puts requests together; one whose body is longer than any may be is told of by an exception.
     */
    private static final class RequestAggregator extends MessageAggregator {
        @Override
        void headAccepted(ChannelHandlerContext ctx, HttpMessage message) {
            if (HttpUtil.is100ContinueExpected(message)) {
                ctx.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }

        @Override
        FullHttpMessage aggregate(HttpMessage head, CompositeByteBuf body) {
            HttpRequest request = (HttpRequest) head;
            return new DefaultFullHttpRequest(
                    request.protocolVersion(),
                    request.method(),
                    request.uri(),
                    body,
                    request.headers(),
                    EmptyHttpHeaders.INSTANCE);
        }
    }

    /** What a connection is doing; the limits in time go by it. */
    private enum Phase {
        AWAITING_FIRST_BYTE,
        READING,
        PROCESSING,
        STREAMING,
        IDLE,
        CLOSING
    }

    /** One client's connection: its requests are answered one at a time, in their order. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements Proxy.Client {
        private final Channel channel;
        private final InboundByteHandler byteHandler = new InboundByteHandler();
        private final StrictHttp.RequestDecoder decoder = new StrictHttp.RequestDecoder();
        private final Queue<PipelinedRequest> pipelined = new ArrayDeque<>();
        private final HalfClose halfClose;

        /**
         * More came behind an open request than may wait: what waits is refused in its turn, and
         * the rest dropped.
         */
        private boolean pipelineOverflow;

        private Phase phase = Phase.AWAITING_FIRST_BYTE;
        private long timerStartNanos = System.nanoTime();
        private ChannelFuture lastWrite;

        /** Whether it ever had a request that could be taken. */
        private boolean hadValidRequest;

        /** Whether it had one before the drain began. */
        private boolean exemptFromDrain;

        private String openRequestId;
        private boolean keepAlive;
        private boolean supportsChunked;

        /** Whether nothing but the end of the connection ends the answer. */
        private boolean closeDelimited;

        /**
         * The body that is coming in parts, and that of the request that is open; null where there
         * is none.
         */
        private Upload incomingUpload;

        private Upload upload;

        /** Bytes read since {@link #since}, and what was left to write when last looked at. */
        private long receivedBytes;

        private long unwrittenBytes;

        /** When its latest bytes came, or {@link #since} if that is later. */
        private long lastReadNanos = timerStartNanos;

        /** Whether bytes have come of a request that has not come whole. */
        private boolean hasPartialRequest;

        /** The long answer that is being passed on. */
        private StreamedResponse streamedResponse;

        Connection(Channel channel) {
            this.channel = channel;
            this.halfClose = new HalfClose(channel);
        }

        private void enterPhase(Phase next) {
            idleConnections += (next == Phase.IDLE ? 1 : 0) - (phase == Phase.IDLE ? 1 : 0);
            phase = next;
            restartTimer();
        }

        private void restartTimer() {
            timerStartNanos = System.nanoTime();
            lastReadNanos = timerStartNanos;
            receivedBytes = 0;
        }

        boolean isBusy() {
            return phase == Phase.PROCESSING || phase == Phase.STREAMING;
        }

        /** Whether it has neither a request open nor an answer on its way. */
        boolean hasNoPendingResponse() {
            return !isBusy() && halfClose.isWriteDone();
        }

        private boolean hasUnreadInput() {
            return channel instanceof ClientChannel socket && socket.hasUnreadInput();
        }

        /**
         * Ends it where nothing has come on it since its last answer, and tells whether that is so:
         * what has come, read or not, is still served or refused. The one place by which a
         * connection without a request is ended.
         */
        boolean closeIfIdle() {
            boolean closable =
                    (phase == Phase.AWAITING_FIRST_BYTE || phase == Phase.IDLE)
                            && !hasUnreadInput();
            if (closable) {
                beginClose();
            }
            return closable;
        }

        /**
         * Gives up its place at once. What has come of a request is refused first, as a close alone
         * would lose it.
         */
        void evict() {
            boolean unread = hasUnreadInput();
            if (phase == Phase.READING || phase == Phase.AWAITING_FIRST_BYTE && unread) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
            channel.close();
        }

        void rejectIfReading() {
            if (phase == Phase.READING) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** The end of this connection, but for one that breaks. */
        private void beginClose() {
            enterPhase(Phase.CLOSING);
            discardPipelined();
            halfClose.begin(lastWrite);
        }

        /**
         * A client that sends no end, reads no answer or just stays would hold its descriptor for
         * good.
         */
        void sweep(long nowNanos) {
            if (hasWriteProgress()) {
                restartTimer();
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - timerStartNanos);
            switch (phase) {
                case AWAITING_FIRST_BYTE -> closeIfIdleFor(elapsedMs, FIRST_BYTE_TIMEOUT_MS);
                case IDLE ->
                        closeIfIdleFor(
                                elapsedMs,
                                closesAfterResponse() || hasTooManyIdle()
                                        ? SHORT_IDLE_TIMEOUT_MS
                                        : IDLE_TIMEOUT_MS);
                case CLOSING -> halfClose.sweep(elapsedMs);
                case READING -> {
                    if (isTooSlow(nowNanos, elapsedMs)) {
                        reject(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case PROCESSING -> {
                    if (upload == null || !upload.isWaitingForClient()) {
                        restartTimer();
                    } else if (isTooSlow(nowNanos, elapsedMs)) {
                        abortRequest(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case STREAMING -> {
                    if (elapsedMs >= RESPONSE_STALL_TIMEOUT_MS) {
                        channel.close();
                    }
                }
            }
        }

        private boolean isTooSlow(long nowNanos, long elapsedMs) {
            boolean paused =
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReadNanos)
                            >= REQUEST_PAUSE_TIMEOUT_MS;
            return paused
                    || elapsedMs >= MIN_RATE_GRACE_MS
                            && receivedBytes
                                    < MIN_BYTES_PER_S * (elapsedMs - MIN_RATE_GRACE_MS) / 1000;
        }

        /** Whether the client has taken something of what it is sent since this was last asked. */
        private boolean hasWriteProgress() {
            ChannelOutboundBuffer outbound =
                    phase == Phase.PROCESSING
                                    || phase == Phase.READING
                                    || phase == Phase.AWAITING_FIRST_BYTE
                            ? null
                            : channel.unsafe().outboundBuffer();
            long previousBytes = unwrittenBytes;
            unwrittenBytes =
                    outbound == null
                            ? 0
                            : outbound.totalPendingWriteBytes() - outbound.currentProgress();
            return unwrittenBytes > 0 && unwrittenBytes != previousBytes;
        }

        /** Ends the request that is open: its client broke off, or is as good as gone. */
        private void abortRequest(HttpResponseStatus status) {
            reportClientGone();
            reject(status);
        }

        @Override
        public boolean hasDisconnected() {
            boolean left =
                    !channel.isActive()
                            || channel instanceof ClientChannel socket && socket.hasClientClosed();
            if (left) {
                // The id may be another's by the time at which the loop tells of the close.
                openRequestId = null;
                channel.close();
            }
            return left;
        }

        private void reportClientGone() {
            if (openRequestId != null) {
                String requestId = openRequestId;
                openRequestId = null;
                proxy.clientDisconnected(requestId);
            }
        }

        private void closeIfIdleFor(long elapsedMs, long timeoutMs) {
            if (elapsedMs >= timeoutMs) {
                closeIfIdle();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (phase == Phase.CLOSING || pipelineOverflow) {
                return;
            }
            if (part instanceof HttpRequest request) {
                incomingUpload = request instanceof FullHttpRequest ? null : new Upload(channel);
                hasPartialRequest = incomingUpload != null || decoder.hasUnconsumedBytes();
                dispatch(
                        new PipelinedRequest(
                                ReferenceCountUtil.retain(request),
                                incomingUpload,
                                System.nanoTime()));
            } else if (incomingUpload != null) {
                receiveContent(((HttpContent) part).retain());
            }
        }

        private void receiveContent(HttpContent part) {
            if (part.decoderResult().isFailure()) {
                // Its body breaks off in nonsense: of what a node was sent, no last byte will come.
                part.release();
                abortRequest(HttpResponseStatus.BAD_REQUEST);
            } else {
                hasPartialRequest =
                        !(part instanceof LastHttpContent) || decoder.hasUnconsumedBytes();
                incomingUpload.addPart(part);
            }
        }

        private void dispatch(PipelinedRequest request) {
            if (!isBusy()) {
                try {
                    handle(request.request(), request.upload(), request.arrivedNanos());
                } finally {
                    ReferenceCountUtil.release(request.request());
                }
            } else {
                pipelined.add(request);
                // Reading has to go on all the same, or its leaving would not be seen.
                pipelineOverflow = pipelined.size() >= MAX_PIPELINED;
                if (pipelineOverflow) {
                    channel.config().setAutoRead(true);
                }
            }
        }

        private void handle(HttpRequest request, Upload body, long arrivedNanos) {
            upload = body;
            keepAlive = HttpUtil.isKeepAlive(request);
            supportsChunked = request.protocolVersion().isKeepAliveDefault();
            if (request.decoderResult().isFailure()
                    || StrictHttp.hasUnsupportedTransferCoding(request)) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String path = path(request.uri());
            HttpMethod method = request.method();
            boolean api = path.startsWith(API_PREFIX) && path.length() > API_PREFIX.length();
            if (!api && !path.equals("/up")) {
                decline(HttpResponseStatus.NOT_FOUND);
            } else if (!method.equals(HttpMethod.GET) && !(api && method.equals(HttpMethod.PUT))) {
                decline(HttpResponseStatus.METHOD_NOT_ALLOWED);
            } else if (!api) {
                respond(
                        isReady() && !operatorDrain
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
                handleApiRequest(request, path, arrivedNanos);
            }
        }

        private void handleApiRequest(HttpRequest httpRequest, String path, long arrivedNanos) {
            HttpHeaders headers = httpRequest.headers();
            String id = headers.get("X-Call-Id", "");
            ServiceClass serviceClass = classes.get(headers.get("X-Call-Class", ""));
            double budgetS = number(headers.get("X-Budget"), -1);
            boolean write = httpRequest.method().equals(HttpMethod.PUT);
            boolean unkeyed =
                    write
                            && serviceClass != null
                            && serviceClass.effect() == Effect.KEYED
                            && headers.get("Idempotency-Key", "").isEmpty();
            // Without its key a keyed write's repeat would not be dropped, and it may be sent
            // again.
            if (!ID_PATTERN.matcher(id).matches()
                    || serviceClass == null
                    || unkeyed
                    || proxy.isRequestOpen(id)
                    || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
                decline(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            // A request that came behind another has waited here already.
            double waitedMs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedNanos) / 1e3;
            Request request =
                    new Request(
                            id,
                            serviceClass.name(),
                            headers.get("X-Caller"),
                            PathKey.of(path),
                            Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000,
                            Math.max(0, budgetS * 1000 - waitedMs),
                            write,
                            "1".equals(headers.get("X-Again")),
                            maxUploadMs(httpRequest));
            enterPhase(Phase.PROCESSING);
            hadValidRequest = true;
            openRequestId = id;
            byte[] body =
                    httpRequest instanceof FullHttpRequest fullRequest
                            ? ByteBufUtil.getBytes(fullRequest.content())
                            : new byte[0];
            proxy.requestReceived(
                    request,
                    new Proxy.Payload(
                            httpRequest.method(),
                            httpRequest.uri(),
                            body,
                            headers.get("Idempotency-Key"),
                            headers.get(HttpHeaderNames.CONTENT_TYPE),
                            upload,
                            HttpUtil.getContentLength(httpRequest, -1L)),
                    this);
        }

        /** How long the rest of its body may take to come. */
        private double maxUploadMs(HttpRequest httpRequest) {
            long remainingBytes =
                    HttpUtil.getContentLength(httpRequest, MessageAggregator.MAX_MESSAGE_BYTES)
                            - (upload == null ? 0 : upload.receivedBytes());
            return upload == null || upload.isComplete()
                    ? 0
                    : MIN_RATE_GRACE_MS + 1000.0 * Math.max(0, remainingBytes) / MIN_BYTES_PER_S;
        }

        @Override
        public void onServed(FullHttpResponse response) {
            FullHttpResponse clientResponse =
                    newResponse(HttpResponseStatus.OK, response.content().retain());
            copyContentType(response, clientResponse);
            respond(clientResponse);
        }

        private void copyContentType(HttpResponse from, HttpResponse to) {
            String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
        }

        @Override
        public void onRejected(double retryAfterMs) {
            FullHttpResponse clientResponse =
                    newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
            if (retryAfterMs > 0) {
                clientResponse
                        .headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf((long) Math.ceil(retryAfterMs), 3)
                                        .toPlainString());
            }
            respond(clientResponse);
        }

        @Override
        public void onFailed() {
            respond(HttpResponseStatus.BAD_GATEWAY);
        }

        private void respond(HttpResponseStatus status) {
            respond(newResponse(status, Unpooled.EMPTY_BUFFER));
        }

        private FullHttpResponse newResponse(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            HttpUtil.setContentLength(response, body.readableBytes());
            return response;
        }

        private void respond(FullHttpResponse clientResponse) {
            finishRequest(markIfLast(clientResponse), channel.writeAndFlush(clientResponse));
        }

        /** Whether part of the request that is answered is still to come. */
        private boolean hasUnreadBody() {
            return upload != null && !upload.isComplete();
        }

        /**
         * Whether this answer is its connection's last; if so it says that. What was read already
         * is answered first.
         */
        private boolean markIfLast(HttpResponse clientResponse) {
            // While clients wait to be accepted, a connection that is kept would keep one of them
            // out.
            boolean closing =
                    stopped
                            || closesAfterResponse()
                            || draining && !exemptFromDrain
                            || atConnectionLimit
                            || hasTooManyIdle();
            boolean last =
                    closing && pipelined.isEmpty() && !hasPartialRequest
                            || !keepAlive
                            || hasUnreadBody();
            if (last) {
                clientResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return last;
        }

        /**
         * The answer has been handed over to be written. What is still coming of its request is
         * read on and dropped.
         */
        private void finishRequest(boolean last, ChannelFuture write) {
            openRequestId = null;
            lastWrite = write;
            if (last) {
                beginClose();
            } else {
                enterPhase(Phase.IDLE);
                // To the end of those that may be closed for room: it was the last to be used.
                if (connections.remove(this)) {
                    connections.add(this);
                }
                processNext();
            }
        }

        /**
         * Answers what is no request for this proxy. Its end is known, so what came behind it still
         * has its answer.
         */
        private void decline(HttpResponseStatus status) {
            if (upload == null && (hasPartialRequest || !pipelined.isEmpty())) {
                respond(status);
            } else {
                reject(status);
            }
        }

        /** Answers what makes no sense, or comes too late, and ends the connection. */
        private void reject(HttpResponseStatus status) {
            FullHttpResponse clientResponse = newResponse(status, Unpooled.EMPTY_BUFFER);
            clientResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (upload != null) {
                upload.discard();
            }
            lastWrite = channel.writeAndFlush(clientResponse);
            beginClose();
        }

        @Override
        public UpstreamAttempt.BodyConsumer onStreamedResponse(
                HttpResponse head, UpstreamAttempt exchange) {
            HttpResponse clientResponse =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            copyContentType(head, clientResponse);
            long length = HttpUtil.getContentLength(head, -1L);
            if (length >= 0) {
                HttpUtil.setContentLength(clientResponse, length);
            } else if (supportsChunked) {
                HttpUtil.setTransferEncodingChunked(clientResponse, true);
            } else {
                keepAlive = false;
                closeDelimited = true;
            }
            openRequestId = null;
            streamedResponse = new StreamedResponse(exchange, markIfLast(clientResponse));
            enterPhase(Phase.STREAMING);
            channel.writeAndFlush(clientResponse);
            return streamedResponse;
        }

        /** A long answer on its way to the client, no faster than the client reads it. */
        private final class StreamedResponse implements UpstreamAttempt.BodyConsumer {
            private final UpstreamAttempt exchange;
            private final boolean last;

            StreamedResponse(UpstreamAttempt exchange, boolean last) {
                this.exchange = exchange;
                this.last = last;
            }

            @Override
            public void onPart(HttpContent part) {
                restartTimer();
                lastWrite = channel.writeAndFlush(part);
                exchange.setPaused(!channel.isWritable());
            }

            @Override
            public void onEnd(boolean complete) {
                streamedResponse = null;
                if (complete) {
                    Connection.this.finishRequest(last, lastWrite);
                } else if (closeDelimited) {
                    halfClose.reset();
                } else {
                    // The client can tell: neither the length nor the last chunk has come.
                    channel.close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (streamedResponse != null) {
                streamedResponse.exchange.setPaused(!channel.isWritable());
            }
        }

        private void processNext() {
            if (pipelineOverflow) {
                rejectPipelined();
                return;
            }
            PipelinedRequest request = pipelined.poll();
            if (request != null) {
                dispatch(request);
            } else if (hasPartialRequest) {
                // Part of the next one came behind the last: it is owed an answer, or an error in
                // time.
                enterPhase(Phase.READING);
            }
        }

        /** None of them was sent on, so each may come again. */
        private void rejectPipelined() {
            for (PipelinedRequest each = pipelined.poll(); each != null; each = pipelined.poll()) {
                each.release();
                keepAlive = !pipelined.isEmpty();
                upload = null;
                FullHttpResponse clientResponse =
                        newResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
                markIfLast(clientResponse);
                lastWrite = channel.writeAndFlush(clientResponse);
            }
            beginClose();
        }

        private void discardPipelined() {
            pipelined.forEach(PipelinedRequest::release);
            pipelined.clear();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            enterPhase(Phase.CLOSING);
            onClosed(this);
            discardPipelined();
            reportClientGone();
            if (streamedResponse != null) {
                streamedResponse.exchange.cancel();
                streamedResponse = null;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            HttpResponseStatus status =
                    cause instanceof TooLongHttpContentException
                            ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                            : HttpResponseStatus.INTERNAL_SERVER_ERROR;
            if (cause instanceof IOException) {
                // The connection is broken: no answer can reach its client.
                ctx.close();
            } else if (phase == Phase.PROCESSING && upload != null && upload == incomingUpload) {
                abortRequest(status);
            } else if (!isBusy() && phase != Phase.CLOSING) {
                reject(status);
            } else {
                // Behind a request that is open: that one has its answer first, and it is the last.
                keepAlive = false;
            }
        }

        /** Sees bytes before they are decoded: the clock for a request runs from its first. */
        private final class InboundByteHandler extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (phase == Phase.CLOSING || pipelineOverflow) {
                    halfClose.discard(message);
                    return;
                }
                if (phase == Phase.AWAITING_FIRST_BYTE) {
                    // Its time runs from when it came.
                    phase = Phase.READING;
                } else if (phase == Phase.IDLE) {
                    enterPhase(Phase.READING);
                }
                receivedBytes += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
                lastReadNanos = System.nanoTime();
                hasPartialRequest = true;
                ctx.fireChannelRead(message);
            }
        }
    }

    /**
     * A request that came while another was open on its connection, and when, as its time runs from
     * then.
     */
    private record PipelinedRequest(HttpRequest request, Upload upload, long arrivedNanos) {
        void release() {
            ReferenceCountUtil.release(request);
            if (upload != null) {
                upload.discard();
            }
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static double number(String text, double defaultValue) {
        if (text == null) {
            return defaultValue;
        }
        try {
            return new BigDecimal(text.trim()).doubleValue();
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
