package cacheproxy.proxy;

import cacheproxy.Router.Effect;
import cacheproxy.Router.Request;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
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
 * Accepts clients' connections, parses their requests, passes them to the {@link Proxy} and writes
 * the responses. Requests that are invalid or not meant for a cache node are answered here.
 */
final class ClientServer {

    private static final String API_PREFIX = "/api/";
    private static final Pattern ID_PATTERN = Pattern.compile("[0-9A-Za-z_-]{1,64}");

    /**
     * Longest accepted budget. A longer one is a client error, and its timer would outlive the
     * process.
     */
    private static final double MAX_BUDGET_S = 3600;

    /** Requests that may wait on one connection behind the one in progress. */
    private static final int MAX_PIPELINED = 16;

    /**
     * At most one in this many bytes of the heap is used for requests that wait, with no bodies.
     */
    private static final int PIPELINED_HEAP_DIVISOR = 16;

    private static final long MAX_PIPELINED_BYTES =
            Runtime.getRuntime().maxMemory() / PIPELINED_HEAP_DIVISOR;

    /**
     * Interval at which all connections' timeouts are checked. One shared timer suffices, as most
     * connections never reach a timeout.
     */
    private static final long SWEEP_INTERVAL_MS = 100;

    /** How long a new connection may send nothing. */
    private static final long FIRST_BYTE_TIMEOUT_MS = 2000;

    /**
     * Time from the first byte of a request during which no minimum rate applies. A typical client
     * takes 2 s for the request head and then sends 64 kB/s in bursts. A client that sends nothing
     * usable must be answered and closed within 3 s of connecting.
     */
    private static final long MIN_RATE_GRACE_MS = 2600;

    /**
     * Longest pause within a request. A client that stops must be answered and closed within 3 s.
     */
    private static final long REQUEST_PAUSE_TIMEOUT_MS = 2600;

    /**
     * Time from a request's arrival during which its client counts as present. An attempt may begin
     * up to 100 ms after its client has left.
     */
    private static final long PRESUMED_PRESENT_MS = 50;

    /** How long a streamed response may make no progress before its connection is closed. */
    private static final long RESPONSE_STALL_TIMEOUT_MS = 10_000;

    /**
     * How long an idle connection that was served stays open for its next request: some clients
     * send one request and never close.
     */
    private static final long IDLE_TIMEOUT_MS = 4000;

    /**
     * At most one in this many of the connections may be idle for a next request. Beyond that each
     * response closes its connection and idle connections time out sooner; otherwise clients that
     * send one request and stay connected would use up the connection limit and lock out all
     * others. The cost: where that many clients do send further requests, each request opens a new
     * connection.
     */
    private static final int IDLE_CONNECTIONS_DIVISOR = 4;

    /** Idle timeout while the limit on idle connections is reached or this proxy drains. */
    private static final long SHORT_IDLE_TIMEOUT_MS = 2000;

    /**
     * Delay before accepting resumes after a failure. With no file descriptors left, an immediate
     * retry would fail again, in a busy loop.
     */
    private static final long ACCEPT_RETRY_DELAY_MS = 100;

    /**
     * At most one in this many of the connections may be without a pending response and never have
     * sent a valid request.
     */
    private static final int UNPROVEN_CONNECTIONS_DIVISOR = 4;

    private final EventLoop loop;
    private final Proxy proxy;
    private final int maxConnections;
    private final BodyMemory bodyMemory;
    private final Map<String, ServiceClass> classes = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Log log = new Log();
    private final Log closeLog = new Log();

    /** Null until this server listens. */
    private Channel listener;

    private boolean ready;

    /** When the last sweep ran, as {@link System#nanoTime()}. */
    private long lastSweepNanos = System.nanoTime();

    /** Whether accepting is paused because the connection limit is reached. */
    private boolean atConnectionLimit;

    private int idleConnections;

    /** Memory taken by all requests that wait behind another on their connection, estimated. */
    private long pipelinedBytes;

    private boolean draining;
    private boolean operatorDrain;

    /** Whether other processes accept from the same listening socket. */
    private boolean sharedListener;

    private boolean stopped;

    /**
     * Creates a server that does not listen yet.
     *
     * @param bodyMemory memory for requests that are aggregated
     */
    ClientServer(
            EventLoop loop,
            Proxy proxy,
            Settings settings,
            int maxConnections,
            BodyMemory bodyMemory) {
        this.loop = loop;
        this.proxy = proxy;
        this.maxConnections = maxConnections;
        this.bodyMemory = bodyMemory;
        settings.classes().forEach(c -> classes.put(c.name(), c));
    }

    /**
     * Binds and listens. To be called on the event loop. Returns null once a drain has started, as
     * no more clients are accepted then. May be called again after a failure; the previous channel
     * then has no socket and can't be closed.
     */
    ChannelFuture listen(ConnectionTransport transport, SocketAddress address) {
        return draining
                ? null
                : listening(configure(transport.serverBootstrap(loop)).bind(address));
    }

    /** Accepts clients from a listening socket that other processes accept from as well. */
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
        return BufferLimits.forConnections(maxConnections)
                .applyTo(server)
                .handler(new AcceptFailureHandler())
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
                                                new RequestAggregator(bodyMemory),
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
            // The event loop was delayed, so requests may lie unread: a connection that looks
            // silent may have sent one long ago.
            return;
        }
        List.copyOf(connections).forEach(c -> c.sweep(nowNanos));
    }

    void markReady() {
        ready = true;
    }

    /** Whether this proxy accepts requests, apart from an operator's drain. */
    boolean isReady() {
        return ready && !draining;
    }

    int connections() {
        return connections.size();
    }

    /**
     * Starts the drain: from now on each response closes its connection. Connections that were
     * served before are exempt, as their clients may have no other proxy to use while another one
     * is still starting. If another process listens on the same socket no connection is exempt: new
     * connections go to that process.
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
     * Starts or ends a drain requested by the operators. While it is active each response closes
     * its connection; clients can use other proxies, so connections that were served before are not
     * exempt.
     */
    void setOperatorDrain(boolean active) {
        operatorDrain = active;
    }

    boolean isDrainedByOperator() {
        return operatorDrain;
    }

    /** Whether every response closes its connection, as clients can use another proxy. */
    private boolean closesAfterResponse() {
        return operatorDrain || isHandingOver();
    }

    /** Whether another process takes over the listening socket. */
    private boolean isHandingOver() {
        return sharedListener && draining;
    }

    private void setAccepting(boolean enabled) {
        if (listening()) {
            listener.config().setAutoRead(enabled);
        }
    }

    /**
     * Stops accepting and closes connections without a request. A request that has been received in
     * part is still read and served, and so is one on a connection in the listener's backlog:
     * closing the listener first would reset those.
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
     * Closes connections without a request and rejects requests that have been received only in
     * part, so that their clients retry elsewhere. To be called repeatedly until no connection is
     * left, as there may be unread bytes at the first call.
     */
    void rejectIncomplete() {
        List.copyOf(connections).forEach(Connection::closeIfIdle);
        List.copyOf(connections).forEach(Connection::rejectIfReading);
    }

    /**
     * Keeps the number of connections below the file descriptor limit. Connections without a
     * pending response that never sent a valid request may use only a part of the limit, so that
     * many silent clients can't lock out others. Beyond it the one of them that has waited longest
     * is closed at once, without a half-close, as it may never close its own side. Otherwise the
     * least recently used idle connection is closed. If all are busy, accepting pauses and new
     * clients wait in the listener's backlog until a connection closes: accepting beyond the limit
     * would fail for all.
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
     * Handles failures of accept, such as running out of file descriptors before the connection
     * limit is reached: evicts a connection that has no request and pauses accepting for a moment.
     * Netty's default would pause for a second and then resume even if accepting has been stopped
     * meanwhile.
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

    /** State of a connection; it determines which timeout applies. */
    private enum Phase {
        AWAITING_FIRST_BYTE,
        READING,
        PROCESSING,
        STREAMING,
        IDLE,
        CLOSING
    }

    /** One client's connection. Its requests are answered one at a time, in order. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements Proxy.Client {
        private final Channel channel;
        private final InboundByteHandler byteHandler = new InboundByteHandler();
        private final StrictHttp.RequestDecoder decoder = new StrictHttp.RequestDecoder();
        private final Queue<PipelinedRequest> pipelined = new ArrayDeque<>();
        private final HalfClose halfClose;

        /**
         * Whether more requests were pipelined behind the current one than may wait. Those waiting
         * are then rejected in order and the rest is discarded.
         */
        private boolean pipelineOverflow;

        private Phase phase = Phase.AWAITING_FIRST_BYTE;
        private long timerStartNanos = System.nanoTime();
        private ChannelFuture lastWrite;

        /** Whether this connection ever had a valid request. */
        private boolean hadValidRequest;

        /**
         * Whether this connection had a valid request before the drain started, which exempts it
         * from closing during the drain.
         */
        private boolean exemptFromDrain;

        /** Whether reading is paused because the client does not read its responses. */
        private boolean pausedForUnread;

        private String openRequestId;

        /** When the request in progress arrived, as {@link System#nanoTime()}. */
        private long requestArrivedNanos;

        private boolean keepAlive;
        private boolean supportsChunked;

        /** Whether the end of the response is marked only by the end of the connection. */
        private boolean closeDelimited;

        /**
         * The upload that is being received; null if there is none. It may belong to a pipelined
         * request. {@link #upload} is that of the current request.
         */
        private Upload incomingUpload;

        private Upload upload;

        /** Bytes read since {@link #timerStartNanos}. */
        private long receivedBytes;

        /** Bytes that the kernel had taken at the last check. */
        private long takenBytes;

        private final ReadProgress readProgress = new ReadProgress();

        /** When bytes were last read, or {@link #timerStartNanos} if that is later. */
        private long lastReadNanos = timerStartNanos;

        /** Whether a request has been received in part. */
        private boolean hasPartialRequest;

        /** The long response that is being streamed; null if there is none. */
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

        /**
         * Whether this connection has neither a request in progress nor a response to be written.
         */
        boolean hasNoPendingResponse() {
            return !isBusy() && halfClose.isWriteDone();
        }

        private boolean hasUnreadInput() {
            return channel instanceof ClientChannel socket && socket.hasUnreadInput();
        }

        /**
         * Closes this connection if nothing has been received since the last response, and returns
         * whether it did. A request that has been received, read or not, is still served or
         * rejected. All closes of connections without a request go through this method.
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
         * Closes this connection at once to free its descriptor. A request received in part is
         * rejected first, as a bare close would give its client no response.
         */
        void evict() {
            logClose(CloseCause.EVICTED);
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

        /** Starts closing this connection. Every orderly close goes through this method. */
        private void beginClose() {
            enterPhase(Phase.CLOSING);
            discardPipelined();
            halfClose.begin(lastWrite);
        }

        /**
         * Enforces the timeouts. Without them a client that never completes a request, never reads
         * its response or never closes would keep its descriptor forever.
         */
        void sweep(long nowNanos) {
            if (hasWriteProgress(nowNanos)) {
                restartTimer();
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - timerStartNanos);
            if (pausedForUnread && phase != Phase.CLOSING) {
                closeIfStalledFor(elapsedMs, HalfClose.WRITE_STALL_TIMEOUT_MS);
                return;
            }
            switch (phase) {
                case AWAITING_FIRST_BYTE -> closeIfIdleFor(elapsedMs, FIRST_BYTE_TIMEOUT_MS);
                case IDLE ->
                        closeIfIdleFor(
                                elapsedMs,
                                closesAfterResponse() || hasTooManyIdle()
                                        ? SHORT_IDLE_TIMEOUT_MS
                                        : IDLE_TIMEOUT_MS);
                case CLOSING -> sweepClosing(elapsedMs);
                case READING -> {
                    if (isTooSlow(nowNanos, elapsedMs)) {
                        logClose(CloseCause.SLOW_REQUEST);
                        reject(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case PROCESSING -> {
                    if (upload == null || !upload.isWaitingForClient()) {
                        restartTimer();
                    } else if (isTooSlow(nowNanos, elapsedMs)) {
                        logClose(CloseCause.SLOW_REQUEST);
                        abortRequest(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case STREAMING ->
                        closeIfStalledFor(elapsedMs, RESPONSE_STALL_TIMEOUT_MS + readingMs());
            }
        }

        private void closeIfStalledFor(long elapsedMs, long timeoutMs) {
            if (elapsedMs >= timeoutMs) {
                logClose(CloseCause.RESPONSE_STALLED);
                channel.close();
            }
        }

        private void sweepClosing(long elapsedMs) {
            if (halfClose.hasExpired(elapsedMs, readingMs())) {
                if (!halfClose.isWriteDone()) {
                    logClose(CloseCause.LAST_RESPONSE_STALLED);
                }
                channel.close();
            }
        }

        private void logClose(CloseCause cause) {
            proxy.tally().closed[cause.ordinal()]++;
            closeLog.warnLimited(
                    "client_connection_closed",
                    "cause",
                    Log.lowerCase(cause),
                    "phase",
                    Log.lowerCase(phase),
                    "request",
                    openRequestId == null ? "none" : openRequestId,
                    "pipelined",
                    pipelined.size(),
                    "received_bytes",
                    receivedBytes);
        }

        private boolean isTooSlow(long nowNanos, long elapsedMs) {
            boolean paused =
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReadNanos)
                            >= REQUEST_PAUSE_TIMEOUT_MS;
            return paused
                    || elapsedMs >= MIN_RATE_GRACE_MS
                            && receivedBytes
                                    < ClientRate.MIN_BYTES_PER_S
                                            * (elapsedMs - MIN_RATE_GRACE_MS)
                                            / 1000;
        }

        /**
         * Whether the kernel has taken response bytes since the last call, in a phase whose timer
         * does not watch a request.
         */
        private boolean hasWriteProgress(long nowNanos) {
            long previousBytes = takenBytes;
            takenBytes = channel instanceof ClientChannel socket ? socket.takenBytes() : 0;
            if (takenBytes == previousBytes) {
                return false;
            }
            readProgress.recordTaken(takenBytes - previousBytes, nowNanos);
            return pausedForUnread || !isWatchingRequest();
        }

        private boolean isWatchingRequest() {
            return phase == Phase.PROCESSING
                    || phase == Phase.READING
                    || phase == Phase.AWAITING_FIRST_BYTE;
        }

        /**
         * How long a response may make no progress because its client still reads what the kernel
         * has taken. While clients wait for a connection, one that makes no progress gives way.
         */
        private long readingMs() {
            return atConnectionLimit ? 0 : readProgress.readingMs();
        }

        /** Ends the current request: its upload is malformed, too long or too slow. */
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
                closeForDisconnect();
            }
            return left;
        }

        private void closeForDisconnect() {
            // Cleared first: the id may belong to another request by the time the event loop
            // reports the close.
            openRequestId = null;
            channel.close();
        }

        @Override
        public ClientChannel.Presence presence() {
            ClientChannel.Presence presence =
                    channel.isActive() ? socketPresence() : ClientChannel.Presence.CLOSED;
            if (presence == ClientChannel.Presence.CLOSED) {
                closeForDisconnect();
            }
            return presence;
        }

        private ClientChannel.Presence socketPresence() {
            if (!(channel instanceof ClientChannel socket)) {
                return ClientChannel.Presence.CONNECTED;
            }
            ClientChannel.Presence presence = socket.presence();
            if (presence != ClientChannel.Presence.UNKNOWN) {
                return presence;
            }
            long openNanos = System.nanoTime() - requestArrivedNanos;
            if (openNanos < TimeUnit.MILLISECONDS.toNanos(PRESUMED_PRESENT_MS)) {
                return ClientChannel.Presence.CONNECTED;
            }
            if (hasUnreadBody()) {
                return ClientChannel.Presence.UNKNOWN;
            }
            abandonInput();
            return socket.discardInput();
        }

        /**
         * Gives up what lies behind the request in progress: the requests that wait are rejected
         * once it is answered, and the connection then closes.
         */
        private void abandonInput() {
            pipelineOverflow = true;
            if (incomingUpload != null && incomingUpload != upload) {
                incomingUpload.discard();
            }
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
                incomingUpload =
                        request instanceof FullHttpRequest
                                ? null
                                : new Upload(
                                        channel,
                                        bodyMemory,
                                        HttpUtil.getContentLength(request, -1L));
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
                // The body is malformed; a node that received part of it never gets its last byte.
                part.release();
                logClose(CloseCause.MALFORMED_REQUEST);
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
                pipelinedBytes += request.headBytes();
                // Reading must continue, or a client that disconnects would not be noticed.
                pipelineOverflow =
                        pipelined.size() >= MAX_PIPELINED || pipelinedBytes >= MAX_PIPELINED_BYTES;
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
                logClose(CloseCause.MALFORMED_REQUEST);
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
            // Without its key a repeated keyed write would not be deduplicated, and it may be
            // retried.
            if (!ID_PATTERN.matcher(id).matches()
                    || serviceClass == null
                    || unkeyed
                    || proxy.isRequestOpen(id)
                    || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
                decline(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            // A pipelined request has already spent part of its budget waiting here. The time of
            // one with a streamed body counts from the end of the body, which the proxy enforces.
            double waitedMs =
                    upload == null
                            ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedNanos) / 1e3
                            : 0;
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
            requestArrivedNanos = arrivedNanos;
            ByteBuf body =
                    httpRequest instanceof FullHttpRequest fullRequest
                            ? fullRequest.content().retain()
                            : Unpooled.EMPTY_BUFFER;
            proxy.requestReceived(
                    request,
                    new Payload(
                            httpRequest.method(),
                            httpRequest.uri(),
                            body,
                            headers.get("Idempotency-Key"),
                            headers.get(HttpHeaderNames.CONTENT_TYPE),
                            upload,
                            HttpUtil.getContentLength(httpRequest, -1L)),
                    this);
        }

        /** Longest time that the rest of the body may take to arrive, in milliseconds. */
        private double maxUploadMs(HttpRequest httpRequest) {
            long remainingBytes =
                    HttpUtil.getContentLength(httpRequest, MessageAggregator.MAX_MESSAGE_BYTES)
                            - (upload == null ? 0 : upload.receivedBytes());
            return upload == null || upload.isComplete()
                    ? 0
                    : MIN_RATE_GRACE_MS
                            + 1000.0 * Math.max(0, remainingBytes) / ClientRate.MIN_BYTES_PER_S;
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
            pauseIfResponsesUnread();
        }

        /**
         * Stops reading while the client leaves responses unread; they would take memory without a
         * limit.
         */
        private void pauseIfResponsesUnread() {
            if (!channel.isWritable() && !isBusy() && phase != Phase.CLOSING) {
                pausedForUnread = true;
                channel.config().setAutoRead(false);
            }
        }

        private void resumeAfterUnread() {
            if (pausedForUnread && channel.isWritable()) {
                pausedForUnread = false;
                restartTimer();
                if (incomingUpload == null || incomingUpload.isComplete()) {
                    channel.config().setAutoRead(true);
                } else {
                    incomingUpload.continueSending();
                }
            }
        }

        /** Whether part of the body of the answered request is still to arrive. */
        private boolean hasUnreadBody() {
            return upload != null && !upload.isComplete();
        }

        /**
         * Whether this response closes its connection; if so it gets the header that says so.
         * Requests that were already read are answered first.
         */
        private boolean markIfLast(HttpResponse clientResponse) {
            // While clients wait in the backlog, keeping an idle connection open would lock one of
            // them out.
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
         * Ends the current request after its response was handed over for writing. The rest of its
         * body is read and discarded.
         */
        private void finishRequest(boolean last, ChannelFuture write) {
            openRequestId = null;
            lastWrite = write;
            if (last) {
                beginClose();
            } else {
                enterPhase(Phase.IDLE);
                // Moves to the end of the eviction order: it is now the most recently used.
                if (connections.remove(this)) {
                    connections.add(this);
                }
                processNext();
            }
        }

        /**
         * Answers a well-framed request that is not valid for this proxy. Its end is known, so
         * requests pipelined behind it are still answered.
         */
        private void decline(HttpResponseStatus status) {
            if (upload == null && (hasPartialRequest || !pipelined.isEmpty())) {
                respond(status);
            } else {
                reject(status);
            }
        }

        /** Answers a request that is malformed or too late, and closes the connection. */
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

        /** A long response that is streamed to the client no faster than the client reads it. */
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
                    // The client can detect the truncation: the length is not reached, or the last
                    // chunk is missing.
                    channel.close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (streamedResponse != null) {
                streamedResponse.exchange.setPaused(!channel.isWritable());
            }
            resumeAfterUnread();
        }

        private void processNext() {
            if (pipelineOverflow) {
                rejectPipelined();
                return;
            }
            PipelinedRequest request = pollPipelined();
            if (request != null) {
                dispatch(request);
            } else if (hasPartialRequest) {
                // Part of the next request arrived behind the last one: it needs a response, or an
                // error when it times out.
                enterPhase(Phase.READING);
            }
        }

        /**
         * Rejects all pipelined requests. None of them was sent on, so each may safely be retried.
         */
        private void rejectPipelined() {
            logClose(CloseCause.PIPELINE_OVERFLOW);
            for (PipelinedRequest each = pollPipelined(); each != null; each = pollPipelined()) {
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

        private PipelinedRequest pollPipelined() {
            PipelinedRequest request = pipelined.poll();
            pipelinedBytes -= request == null ? 0 : request.headBytes();
            return request;
        }

        private void discardPipelined() {
            for (PipelinedRequest each = pollPipelined(); each != null; each = pollPipelined()) {
                each.release();
            }
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
                // The connection is broken: no response can reach the client.
                ctx.close();
            } else if (phase == Phase.PROCESSING && upload != null && upload == incomingUpload) {
                abortRequest(status);
            } else if (!isBusy() && phase != Phase.CLOSING) {
                reject(status);
            } else {
                // Behind a request in progress: that one is answered first, and its response is the
                // last.
                keepAlive = false;
            }
        }

        /** Sees bytes before they are decoded: a request's timeouts start at its first byte. */
        private final class InboundByteHandler extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (phase == Phase.CLOSING || pipelineOverflow) {
                    halfClose.discard(message);
                    return;
                }
                if (phase == Phase.AWAITING_FIRST_BYTE) {
                    // Not enterPhase(): the request's time counts from the connect.
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
