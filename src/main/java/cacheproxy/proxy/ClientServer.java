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

    private static final String API = "/api/";
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_-]{1,64}");

    /** A budget past this is a mistake, and as a timer would outlive the process. */
    private static final double MAX_BUDGET_S = 3600;

    private static final int MAX_PIPELINED = 16;

    /**
     * How often the limits in time are looked at: one timer for all, as most connections never
     * reach one.
     */
    private static final long SWEEP_MS = 100;

    /** How long a connection may say nothing at first. */
    private static final long SILENT_MS = 2000;

    /**
     * A usual client takes 2 s for a head and then sends 64 kB a second, in bursts. One that sent
     * nothing of use is owed an end 3 s after it came.
     */
    private static final long READING_MS = 2600;

    /** How long one may pause in the middle of a request; an end is owed within 3 s. */
    private static final long PAUSE_MS = 2600;

    private static final long LEAST_BYTES_PER_S = 48_000;
    private static final long STALLED_MS = 10_000;

    /**
     * How long one that was served is kept for its next request: some clients ask once and stay for
     * good.
     */
    private static final long IDLE_MS = 4000;

    /**
     * Part of the connections that may be kept for a next request. Past it each answer is its
     * connection's last and idle ones go sooner: clients that ask once and stay would else use up
     * the connections that clients may hold, and all others would find none. Could do harm where
     * that many clients do ask again: each request then opens a connection.
     */
    private static final int KEPT_PART = 4;

    private static final long CROWDED_IDLE_MS = 2000;

    /**
     * When accepting is tried again after it failed: what is out of descriptors would fail at once,
     * and for all.
     */
    private static final long ACCEPT_AGAIN_MS = 100;

    /** Part of the connections that may have no request and never had a good one. */
    private static final int UNPROVEN_PART = 4;

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
    private long sweptAt = System.nanoTime();

    private boolean full;
    private int idle;
    private boolean draining;
    private boolean emptied;

    /** Whether other processes listen on the same socket. */
    private boolean shared;

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
    ChannelFuture listen(Transport transport, SocketAddress address) {
        return draining ? null : listens(serving(transport.server(loop)).bind(address));
    }

    /**
     * Takes clients from a socket that listens already and that other processes take them from as
     * well.
     */
    ChannelFuture listen(ServerSocketChannel passed) {
        shared = true;
        return draining ? null : listens(serving(Transport.server(loop, passed)).register());
    }

    boolean listens() {
        return listener != null;
    }

    private ChannelFuture listens(ChannelFuture bound) {
        if (!listens()) {
            loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
        listener = bound.channel();
        return bound;
    }

    private ServerBootstrap serving(ServerBootstrap server) {
        return server.handler(new AcceptFailures())
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                Connection connection = new Connection(channel);
                                channel.pipeline()
                                        .addLast(
                                                connection.bytes,
                                                connection.decoder,
                                                new HttpResponseEncoder(),
                                                new Bodies(),
                                                connection);
                                makeRoom();
                                connections.add(connection);
                            }
                        });
    }

    private void sweep() {
        long now = System.nanoTime();
        boolean late = now - sweptAt > 2 * TimeUnit.MILLISECONDS.toNanos(SWEEP_MS);
        sweptAt = now;
        if (late) {
            // What has come meanwhile lies unread: who seems silent may have asked long ago.
            return;
        }
        List.copyOf(connections).forEach(c -> c.sweep(now));
    }

    void ready() {
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
        if (shared) {
            accept(false);
        } else {
            connections.forEach(c -> c.kept = c.proven);
        }
    }

    /**
     * The operators empty this proxy, or end that. Each answer is then its connection's last;
     * clients have elsewhere to go, so those that were served before are not kept either.
     */
    void empty(boolean begins) {
        emptied = begins;
    }

    boolean isEmptied() {
        return emptied;
    }

    private boolean emptying() {
        return emptied || handsOver();
    }

    private boolean handsOver() {
        return shared && draining;
    }

    private void accept(boolean accepts) {
        if (listens()) {
            listener.config().setAutoRead(accepts);
        }
    }

    /**
     * No new connections, and none is kept that has no request. One that has begun to come is still
     * read and served, and so is one on a connection that waits to be accepted: closing the
     * listener would reset it.
     */
    void stop() {
        boolean first = !stopped;
        stopped = true;
        List.copyOf(connections).forEach(Connection::endIfIdle);
        if (shared) {
            accept(false);
        } else if (first && listens() && listener.isOpen()) {
            acceptWaiting();
            listener.close();
        }
    }

    private void acceptWaiting() {
        if (listener instanceof ClientChannel.Listener sockets) {
            sockets.acceptWaiting(Math.max(0, maxConnections - connections.size()));
        }
    }

    /**
     * Nothing more is taken: whose request has only begun to come is told to ask elsewhere. Called
     * again until no connection is left, as bytes may lie unread at the first call.
     */
    void end() {
        List.copyOf(connections).forEach(Connection::endIfIdle);
        List.copyOf(connections).forEach(Connection::endIfReading);
    }

    /**
     * Keeps below the descriptors that are ours. Of those that never had a good request a part may
     * stay, so that a crowd that says nothing takes no usual client's place; then the one that has
     * waited longest goes, at once, as it may never end its half. Else the idle one that was used
     * longest ago is ended. If every one is busy the next clients wait in the listener's backlog
     * until one has its answer: accepting past the limit would fail for all.
     */
    private void makeRoom() {
        boolean crowded = connections.size() + 1 >= maxConnections;
        makeRoom(crowded);
        if (crowded) {
            full = true;
            accept(false);
        }
    }

    private void makeRoom(boolean crowded) {
        List<Connection> unproven =
                connections.stream().filter(c -> !c.proven && c.hasNoAnswer()).toList();
        if (!unproven.isEmpty()
                && (crowded || unproven.size() >= Math.max(1, maxConnections / UNPROVEN_PART))) {
            unproven.stream()
                    .min(Comparator.comparingLong(c -> c.since))
                    .ifPresent(Connection::giveWay);
        } else if (crowded) {
            endFirstIdle();
        }
    }

    private void endFirstIdle() {
        for (Connection connection : List.copyOf(connections)) {
            if (connection.phase == Phase.IDLE && connection.endIfIdle()) {
                return;
            }
        }
    }

    /**
     * Descriptors are out before the connections that may be held are: one that asks for nothing is
     * let go, and accepting rests for a moment. Left to Netty it would rest for a second and then
     * go on whatever has been decided meanwhile.
     */
    private final class AcceptFailures extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.odd("accept_failed", "cause", cause.getMessage(), "clients", connections.size());
            makeRoom(true);
            accept(false);
            loop.schedule(
                    () -> accept(!full && !handsOver() && !stopped),
                    ACCEPT_AGAIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private boolean crowded() {
        return idle >= Math.max(1, maxConnections / KEPT_PART);
    }

    private void closed(Connection connection) {
        connections.remove(connection);
        if (full && connections.size() < maxConnections) {
            full = false;
            accept(!handsOver());
        }
    }

    /**
     * Puts requests together; one whose body is longer than any may be is told of by an exception.
     */
    private static final class Bodies extends Gatherer {
        @Override
        void accepted(ChannelHandlerContext ctx, HttpMessage message) {
            if (HttpUtil.is100ContinueExpected(message)) {
                ctx.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                HttpResponseStatus.CONTINUE,
                                Unpooled.EMPTY_BUFFER));
            }
        }

        @Override
        FullHttpMessage whole(HttpMessage head, CompositeByteBuf body) {
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
        SILENT,
        READING,
        BUSY,
        FLOWING,
        IDLE,
        CLOSING
    }

    /** One client's connection: its requests are answered one at a time, in their order. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject>
            implements Proxy.Client {
        private final Channel channel;
        private final Bytes bytes = new Bytes();
        private final StrictHttp.Requests decoder = new StrictHttp.Requests();
        private final Queue<Pipelined> pipelined = new ArrayDeque<>();
        private final HalfClose halfClose;

        /**
         * More came behind an open request than may wait: what waits is refused in its turn, and
         * the rest dropped.
         */
        private boolean flooded;

        private Phase phase = Phase.SILENT;
        private long since = System.nanoTime();
        private ChannelFuture written;

        /** Whether it ever had a request that could be taken. */
        private boolean proven;

        /** Whether it had one before the drain began. */
        private boolean kept;

        private String open;
        private boolean keepAlive;
        private boolean speaksChunks;

        /** Whether nothing but the end of the connection ends the answer. */
        private boolean endsByClose;

        /**
         * The body that is coming in parts, and that of the request that is open; null where there
         * is none.
         */
        private Upload coming;

        private Upload upload;

        /** Bytes read since {@link #since}, and what was left to write when last looked at. */
        private long received;

        private long unwritten;

        /** When its latest bytes came, or {@link #since} if that is later. */
        private long heardAt = since;

        /** Whether bytes have come of a request that has not come whole. */
        private boolean begun;

        /** The long answer that is being passed on. */
        private Flow flow;

        Connection(Channel channel) {
            this.channel = channel;
            this.halfClose = new HalfClose(channel);
        }

        private void enter(Phase next) {
            idle += (next == Phase.IDLE ? 1 : 0) - (phase == Phase.IDLE ? 1 : 0);
            phase = next;
            restart();
        }

        private void restart() {
            since = System.nanoTime();
            heardAt = since;
            received = 0;
        }

        boolean busy() {
            return phase == Phase.BUSY || phase == Phase.FLOWING;
        }

        /** Whether it has neither a request open nor an answer on its way. */
        boolean hasNoAnswer() {
            return !busy() && halfClose.isWritten();
        }

        private boolean hasUnread() {
            return channel instanceof ClientChannel socket && socket.hasUnread();
        }

        /**
         * Ends it where nothing has come on it since its last answer, and tells whether that is so:
         * what has come, read or not, is still served or refused. The one place by which a
         * connection without a request is ended.
         */
        boolean endIfIdle() {
            boolean idle = (phase == Phase.SILENT || phase == Phase.IDLE) && !hasUnread();
            if (idle) {
                end();
            }
            return idle;
        }

        /**
         * Gives up its place at once. What has come of a request is refused first, as a close alone
         * would lose it.
         */
        void giveWay() {
            boolean unread = hasUnread();
            if (phase == Phase.READING || phase == Phase.SILENT && unread) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
            channel.close();
        }

        void endIfReading() {
            if (phase == Phase.READING) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** The end of this connection, but for one that breaks. */
        private void end() {
            enter(Phase.CLOSING);
            dropPipelined();
            halfClose.begin(written);
        }

        /**
         * A client that sends no end, reads no answer or just stays would hold its descriptor for
         * good.
         */
        void sweep(long now) {
            if (madeWay()) {
                restart();
            }
            long ms = TimeUnit.NANOSECONDS.toMillis(now - since);
            switch (phase) {
                case SILENT -> endAfter(ms, SILENT_MS);
                case IDLE -> endAfter(ms, emptying() || crowded() ? CROWDED_IDLE_MS : IDLE_MS);
                case CLOSING -> halfClose.sweep(ms);
                case READING -> {
                    if (tooSlow(now, ms)) {
                        reject(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case BUSY -> {
                    if (upload == null || !upload.waitsForClient()) {
                        restart();
                    } else if (tooSlow(now, ms)) {
                        giveUp(HttpResponseStatus.REQUEST_TIMEOUT);
                    }
                }
                case FLOWING -> {
                    if (ms >= STALLED_MS) {
                        channel.close();
                    }
                }
            }
        }

        private boolean tooSlow(long now, long ms) {
            boolean stopped = TimeUnit.NANOSECONDS.toMillis(now - heardAt) >= PAUSE_MS;
            return stopped
                    || ms >= READING_MS && received < LEAST_BYTES_PER_S * (ms - READING_MS) / 1000;
        }

        /** Whether the client has taken something of what it is sent since this was last asked. */
        private boolean madeWay() {
            ChannelOutboundBuffer out =
                    phase == Phase.BUSY || phase == Phase.READING || phase == Phase.SILENT
                            ? null
                            : channel.unsafe().outboundBuffer();
            long before = unwritten;
            unwritten = out == null ? 0 : out.totalPendingWriteBytes() - out.currentProgress();
            return unwritten > 0 && unwritten != before;
        }

        /** Ends the request that is open: its client broke off, or is as good as gone. */
        private void giveUp(HttpResponseStatus status) {
            leave();
            reject(status);
        }

        @Override
        public boolean hasLeft() {
            boolean left =
                    !channel.isActive()
                            || channel instanceof ClientChannel socket && socket.hasLeft();
            if (left) {
                // The id may be another's by the time at which the loop tells of the close.
                open = null;
                channel.close();
            }
            return left;
        }

        private void leave() {
            if (open != null) {
                String gone = open;
                open = null;
                proxy.clientGone(gone);
            }
        }

        private void endAfter(long ms, long limit) {
            if (ms >= limit) {
                endIfIdle();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (phase == Phase.CLOSING || flooded) {
                return;
            }
            if (part instanceof HttpRequest request) {
                coming = request instanceof FullHttpRequest ? null : new Upload(channel);
                begun = coming != null || decoder.leftOver();
                take(new Pipelined(ReferenceCountUtil.retain(request), coming, System.nanoTime()));
            } else if (coming != null) {
                coming(((HttpContent) part).retain());
            }
        }

        private void coming(HttpContent part) {
            if (part.decoderResult().isFailure()) {
                // Its body breaks off in nonsense: of what a node was sent, no last byte will come.
                part.release();
                giveUp(HttpResponseStatus.BAD_REQUEST);
            } else {
                begun = !(part instanceof LastHttpContent) || decoder.leftOver();
                coming.part(part);
            }
        }

        private void take(Pipelined request) {
            if (!busy()) {
                try {
                    handle(request.request(), request.upload(), request.arrived());
                } finally {
                    ReferenceCountUtil.release(request.request());
                }
            } else {
                pipelined.add(request);
                // Reading has to go on all the same, or its leaving would not be seen.
                flooded = pipelined.size() >= MAX_PIPELINED;
                if (flooded) {
                    channel.config().setAutoRead(true);
                }
            }
        }

        private void handle(HttpRequest request, Upload body, long arrived) {
            upload = body;
            keepAlive = HttpUtil.isKeepAlive(request);
            speaksChunks = request.protocolVersion().isKeepAliveDefault();
            if (request.decoderResult().isFailure() || StrictHttp.oddCoding(request)) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            String path = path(request.uri());
            HttpMethod method = request.method();
            boolean api = path.startsWith(API) && path.length() > API.length();
            if (!api && !path.equals("/up")) {
                decline(HttpResponseStatus.NOT_FOUND);
            } else if (!method.equals(HttpMethod.GET) && !(api && method.equals(HttpMethod.PUT))) {
                decline(HttpResponseStatus.METHOD_NOT_ALLOWED);
            } else if (!api) {
                answer(
                        isReady() && !emptied
                                ? HttpResponseStatus.OK
                                : HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else {
                call(request, path, arrived);
            }
        }

        private void call(HttpRequest in, String path, long arrived) {
            HttpHeaders headers = in.headers();
            String id = headers.get("X-Call-Id", "");
            ServiceClass service = classes.get(headers.get("X-Call-Class", ""));
            double budgetS = number(headers.get("X-Budget"), -1);
            boolean write = in.method().equals(HttpMethod.PUT);
            boolean unkeyed =
                    write
                            && service != null
                            && service.effect() == Effect.KEYED
                            && headers.get("Idempotency-Key", "").isEmpty();
            // Without its key a keyed write's repeat would not be dropped, and it may be sent
            // again.
            if (!ID.matcher(id).matches()
                    || service == null
                    || unkeyed
                    || proxy.isOpen(id)
                    || !(budgetS >= 0 && budgetS <= MAX_BUDGET_S)) {
                decline(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            // A request that came behind another has waited here already.
            double waitedMs = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrived) / 1e3;
            Request request =
                    new Request(
                            id,
                            service.name(),
                            headers.get("X-Caller"),
                            PathKey.of(path),
                            Math.max(0, number(headers.get("X-Call-Cost"), 0)) / 1000,
                            Math.max(0, budgetS * 1000 - waitedMs),
                            write,
                            "1".equals(headers.get("X-Again")),
                            uploadMs(in));
            enter(Phase.BUSY);
            proven = true;
            open = id;
            byte[] body =
                    in instanceof FullHttpRequest whole
                            ? ByteBufUtil.getBytes(whole.content())
                            : new byte[0];
            proxy.request(
                    request,
                    new Proxy.Payload(
                            in.method(),
                            in.uri(),
                            body,
                            headers.get("Idempotency-Key"),
                            headers.get(HttpHeaderNames.CONTENT_TYPE),
                            upload,
                            HttpUtil.getContentLength(in, -1L)),
                    this);
        }

        /** How long the rest of its body may take to come. */
        private double uploadMs(HttpRequest in) {
            long left =
                    HttpUtil.getContentLength(in, Gatherer.LONGEST)
                            - (upload == null ? 0 : upload.bytes());
            return upload == null || upload.ended()
                    ? 0
                    : READING_MS + 1000.0 * Math.max(0, left) / LEAST_BYTES_PER_S;
        }

        @Override
        public void served(FullHttpResponse response) {
            FullHttpResponse answer = response(HttpResponseStatus.OK, response.content().retain());
            passType(response, answer);
            answer(answer);
        }

        private void passType(HttpResponse from, HttpResponse to) {
            String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                to.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
        }

        @Override
        public void refused(double retryAfterMs) {
            FullHttpResponse answer =
                    response(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
            if (retryAfterMs > 0) {
                answer.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                BigDecimal.valueOf((long) Math.ceil(retryAfterMs), 3)
                                        .toPlainString());
            }
            answer(answer);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY);
        }

        private void answer(HttpResponseStatus status) {
            answer(response(status, Unpooled.EMPTY_BUFFER));
        }

        private FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            HttpUtil.setContentLength(response, body.readableBytes());
            return response;
        }

        private void answer(FullHttpResponse answer) {
            ended(lasts(answer), channel.writeAndFlush(answer));
        }

        /** Whether part of the request that is answered is still to come. */
        private boolean unread() {
            return upload != null && !upload.ended();
        }

        /**
         * Whether this answer is its connection's last; if so it says that. What was read already
         * is answered first.
         */
        private boolean lasts(HttpResponse answer) {
            // While clients wait to be accepted, a connection that is kept would keep one of them
            // out.
            boolean ends = stopped || emptying() || draining && !kept || full || crowded();
            boolean last = ends && pipelined.isEmpty() && !begun || !keepAlive || unread();
            if (last) {
                answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            return last;
        }

        /**
         * The answer has been handed over to be written. What is still coming of its request is
         * read on and dropped.
         */
        private void ended(boolean last, ChannelFuture handedOver) {
            open = null;
            written = handedOver;
            if (last) {
                end();
            } else {
                enter(Phase.IDLE);
                // To the end of those that may be closed for room: it was the last to be used.
                if (connections.remove(this)) {
                    connections.add(this);
                }
                next();
            }
        }

        /**
         * Answers what is no request for this proxy. Its end is known, so what came behind it still
         * has its answer.
         */
        private void decline(HttpResponseStatus status) {
            if (upload == null && (begun || !pipelined.isEmpty())) {
                answer(status);
            } else {
                reject(status);
            }
        }

        /** Answers what makes no sense, or comes too late, and ends the connection. */
        private void reject(HttpResponseStatus status) {
            FullHttpResponse answer = response(status, Unpooled.EMPTY_BUFFER);
            answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (upload != null) {
                upload.drop();
            }
            written = channel.writeAndFlush(answer);
            end();
        }

        @Override
        public Exchange.Rest flows(HttpResponse head, Exchange exchange) {
            HttpResponse answer =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            passType(head, answer);
            long length = HttpUtil.getContentLength(head, -1L);
            if (length >= 0) {
                HttpUtil.setContentLength(answer, length);
            } else if (speaksChunks) {
                HttpUtil.setTransferEncodingChunked(answer, true);
            } else {
                keepAlive = false;
                endsByClose = true;
            }
            open = null;
            flow = new Flow(exchange, lasts(answer));
            enter(Phase.FLOWING);
            channel.writeAndFlush(answer);
            return flow;
        }

        /** A long answer on its way to the client, no faster than the client reads it. */
        private final class Flow implements Exchange.Rest {
            private final Exchange exchange;
            private final boolean last;

            Flow(Exchange exchange, boolean last) {
                this.exchange = exchange;
                this.last = last;
            }

            @Override
            public void part(HttpContent part) {
                restart();
                written = channel.writeAndFlush(part);
                exchange.pause(!channel.isWritable());
            }

            @Override
            public void ended(boolean whole) {
                flow = null;
                if (whole) {
                    Connection.this.ended(last, written);
                } else if (endsByClose) {
                    halfClose.reset();
                } else {
                    // The client can tell: neither the length nor the last chunk has come.
                    channel.close();
                }
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (flow != null) {
                flow.exchange.pause(!channel.isWritable());
            }
        }

        private void next() {
            if (flooded) {
                refusePipelined();
                return;
            }
            Pipelined request = pipelined.poll();
            if (request != null) {
                take(request);
            } else if (begun) {
                // Part of the next one came behind the last: it is owed an answer, or an error in
                // time.
                enter(Phase.READING);
            }
        }

        /** None of them was sent on, so each may come again. */
        private void refusePipelined() {
            for (Pipelined each = pipelined.poll(); each != null; each = pipelined.poll()) {
                each.drop();
                keepAlive = !pipelined.isEmpty();
                upload = null;
                FullHttpResponse answer =
                        response(HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
                lasts(answer);
                written = channel.writeAndFlush(answer);
            }
            end();
        }

        private void dropPipelined() {
            pipelined.forEach(Pipelined::drop);
            pipelined.clear();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            enter(Phase.CLOSING);
            closed(this);
            dropPipelined();
            leave();
            if (flow != null) {
                flow.exchange.cancel();
                flow = null;
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
            } else if (phase == Phase.BUSY && upload != null && upload == coming) {
                giveUp(status);
            } else if (!busy() && phase != Phase.CLOSING) {
                reject(status);
            } else {
                // Behind a request that is open: that one has its answer first, and it is the last.
                keepAlive = false;
            }
        }

        /** Sees bytes before they are decoded: the clock for a request runs from its first. */
        private final class Bytes extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (phase == Phase.CLOSING || flooded) {
                    halfClose.drop(message);
                    return;
                }
                if (phase == Phase.SILENT) {
                    // Its time runs from when it came.
                    phase = Phase.READING;
                } else if (phase == Phase.IDLE) {
                    enter(Phase.READING);
                }
                received += message instanceof ByteBuf in ? in.readableBytes() : 0;
                heardAt = System.nanoTime();
                begun = true;
                ctx.fireChannelRead(message);
            }
        }
    }

    /**
     * A request that came while another was open on its connection, and when, as its time runs from
     * then.
     */
    private record Pipelined(HttpRequest request, Upload upload, long arrived) {
        void drop() {
            ReferenceCountUtil.release(request);
            if (upload != null) {
                upload.drop();
            }
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private static double number(String text, double absent) {
        if (text == null) {
            return absent;
        }
        try {
            return new BigDecimal(text.trim()).doubleValue();
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
