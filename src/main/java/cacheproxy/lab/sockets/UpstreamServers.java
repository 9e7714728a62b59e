package cacheproxy.lab.sockets;

import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Attempt;
import cacheproxy.lab.ledger.Ledger.Verdict;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.world.Installation;
import cacheproxy.lab.world.World;
import cacheproxy.lab.world.World.Answer;
import cacheproxy.lab.world.World.Job;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.apache.commons.math3.random.RandomGenerator;

/**
 * The HTTP/1.1 servers of the simulated cache nodes and the origin. All of them run on one event
 * loop, which is the only caller of {@link World}. Link delays are implemented here by timers. A
 * silent machine, or one whose link is cut, neither reads nor writes.
 */
final class UpstreamServers {

    static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** Finds the planned request behind the id of a try; null if the id is unknown. */
    interface RequestLookup {
        LoadPlan.PlannedRequest find(String id);
    }

    private final EventLoop loop;
    private final RunClock clock;
    private final Installation installation;
    private final World world;
    private final World.Effects effects;
    private final Ledger ledger;
    private final RequestLookup requestLookup;
    private final boolean[] isWriteClass;
    private final RandomGenerator random;
    private final double idleTimeoutMs;
    private final Map<String, UpstreamServer> servers = new LinkedHashMap<>();
    private final Map<Long, PendingResponse> pendingResponses = new HashMap<>();
    private long lastAttemptNumber;
    private int openedConnections;
    private int rejectedConnections;

    /** An attempt without an answer so far, its connection, and the one-way delay of the link. */
    private record PendingResponse(Attempt attempt, ProxyConnection connection, double delayMs) {}

    /** One cache node or the origin, with one listener for each proxy. */
    private static final class UpstreamServer {
        final String id;
        final int zone;
        final int connectionLimit;
        final boolean origin;
        final List<FaultyListener> listeners = new ArrayList<>();
        int openConnections;
        double resetShare;

        UpstreamServer(String id, int zone, int connectionLimit, boolean origin) {
            this.id = id;
            this.zone = zone;
            this.connectionLimit = connectionLimit;
            this.origin = origin;
        }
    }

    UpstreamServers(
            EventLoop loop,
            RunClock clock,
            Installation installation,
            World world,
            World.Effects effects,
            Ledger ledger,
            RequestLookup requestLookup,
            boolean[] isWriteClass,
            double idleTimeoutMs,
            RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.installation = installation;
        this.world = world;
        this.effects = effects;
        this.ledger = ledger;
        this.requestLookup = requestLookup;
        this.isWriteClass = isWriteClass;
        this.idleTimeoutMs = idleTimeoutMs;
        this.random = random;
    }

    void open() throws InterruptedException {
        installation
                .allNodes()
                .forEach(
                        node ->
                                servers.put(
                                        node.id(),
                                        new UpstreamServer(
                                                node.id(),
                                                node.zone(),
                                                node.connections(),
                                                false)));
        servers.put(
                installation.origin().id(),
                new UpstreamServer(
                        installation.origin().id(),
                        installation.origin().zone(),
                        installation.origin().connections(),
                        true));
        for (UpstreamServer server : servers.values()) {
            for (int proxy = 0; proxy < installation.proxyZones().size(); proxy++) {
                int proxyIndex = proxy;
                FaultyListener listener =
                        new FaultyListener(
                                loop, channel -> initializeConnection(channel, server, proxyIndex));
                listener.open();
                server.listeners.add(listener);
            }
        }
        installation
                .spares()
                .forEach(
                        node ->
                                servers.get(node.id())
                                        .listeners
                                        .forEach(FaultyListener::closeAndReset));
    }

    String address(String machine, int proxy) {
        return servers.get(machine).listeners.get(proxy).address();
    }

    /** Returns the number of connections that proxies have opened so far. */
    int openedConnections() {
        return openedConnections;
    }

    /**
     * Returns the number of these connections that were rejected at the connection limit; each is
     * counted when its first request arrives.
     */
    int rejectedConnections() {
        return rejectedConnections;
    }

    // Faults; called on the event loop.

    /** Acts as a crashed machine: resets its connections, refuses new ones and drops attempts. */
    void closeListeners(String machine) {
        servers.get(machine).listeners.forEach(FaultyListener::closeAndReset);
        pendingResponses.values().removeIf(o -> o.attempt().machine.equals(machine));
    }

    void reopenListeners(String machine) {
        servers.get(machine).listeners.forEach(FaultyListener::reopen);
    }

    void setSilent(String machine, boolean silent) {
        servers.get(machine)
                .listeners
                .forEach(
                        listener -> {
                            if (silent) {
                                listener.makeSilent();
                            } else {
                                listener.endSilence();
                            }
                        });
    }

    /** Cuts or restores all links between a zone and the others. */
    void setZoneCut(int zone, boolean cut) {
        setCut(
                (proxy, server) ->
                        installation.proxyZones().get(proxy) == zone != (server.zone == zone),
                cut);
    }

    /** Cuts or restores the links of one proxy: while cut, every machine is silent to it. */
    void setProxyCut(int proxy, boolean cut) {
        setCut((other, server) -> other == proxy, cut);
    }

    private void setCut(BiPredicate<Integer, UpstreamServer> filter, boolean cut) {
        for (UpstreamServer server : servers.values()) {
            for (int proxy = 0; proxy < server.listeners.size(); proxy++) {
                if (filter.test(proxy, server)) {
                    FaultyListener listener = server.listeners.get(proxy);
                    if (cut) {
                        listener.makeSilent();
                    } else {
                        listener.endSilence();
                    }
                }
            }
        }
    }

    /** Resets a share of the idle connections now, and the same share of new ones from now on. */
    void setResetShare(String machine, double share) {
        UpstreamServer server = servers.get(machine);
        server.resetShare = share;
        for (FaultyListener listener : server.listeners) {
            for (SocketChannel channel : listener.connections()) {
                ProxyConnection connection = channel.pipeline().get(ProxyConnection.class);
                if (connection != null
                        && connection.pendingCount == 0
                        && random.nextDouble() < share) {
                    FaultyListener.reset(channel);
                }
            }
        }
    }

    private void initializeConnection(SocketChannel channel, UpstreamServer server, int proxy) {
        openedConnections++;
        server.openConnections++;
        channel.closeFuture().addListener(f -> server.openConnections--);
        if (random.nextDouble() < server.resetShare) {
            // Reset after the accept: the proxy sees an established connection that breaks.
            loop.execute(() -> FaultyListener.reset(channel));
            return;
        }
        world.handshake(clock.now(), server.id, effects);
        ProxyConnection connection =
                new ProxyConnection(
                        channel, server, proxy, server.openConnections > server.connectionLimit);
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, (long) idleTimeoutMs, TimeUnit.MILLISECONDS),
                        connection.firstByteRecorder,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        connection);
    }

    /** Sends an answer from its machine; it reaches the proxy after the delay of the link. */
    void sendAnswer(long number, Answer answer) {
        PendingResponse pending = pendingResponses.remove(number);
        if (pending == null) {
            return;
        }
        Attempt attempt = pending.attempt();
        attempt.executed = answer.executed();
        attempt.verdict = Verdict.of(answer);
        loop.schedule(
                () -> pending.connection().writeAnswer(attempt, answer),
                (long) (pending.delayMs() * 1e6),
                TimeUnit.NANOSECONDS);
    }

    /** One connection from a proxy. */
    private final class ProxyConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private final UpstreamServer server;
        private final int proxy;
        private final ChannelInboundHandlerAdapter firstByteRecorder = new FirstByteRecorder();
        private final FaultyListener listener;

        /**
         * Whether the server was at its connection limit when this connection was accepted. Its
         * first request is then rejected and the connection is closed.
         */
        private final boolean overConnectionLimit;

        private double firstByteAt = -1;
        private boolean used;
        private int pendingCount;
        private Attempt openAttempt;

        ProxyConnection(
                SocketChannel channel,
                UpstreamServer server,
                int proxy,
                boolean overConnectionLimit) {
            this.channel = channel;
            this.server = server;
            this.proxy = proxy;
            this.listener = server.listeners.get(proxy);
            this.overConnectionLimit = overConnectionLimit;
        }

        private final class FirstByteRecorder extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (firstByteAt < 0) {
                    firstByteAt = clock.now();
                }
                ctx.fireChannelRead(message);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            double now = clock.now();
            double startedAt = firstByteAt < 0 ? now : firstByteAt;
            firstByteAt = -1;
            String id = request.headers().get("X-Call-Id");
            if (id == null) {
                if (!listener.isSilent()) {
                    sendEmptyResponse(
                            request.uri().equals("/alive")
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.NOT_FOUND);
                }
                return;
            }
            LoadPlan.PlannedRequest plannedRequest = requestLookup.find(id);
            double delayMs = installation.delayMs(proxy, server.zone);
            // On a new connection the handshake takes one round trip before the first request.
            double arrivalDelayMs = used ? delayMs : 3 * delayMs;
            used = true;
            long number = ++lastAttemptNumber;
            Job job =
                    plannedRequest == null
                            ? null
                            : new Job(
                                    id,
                                    plannedRequest.key(),
                                    isWriteClass[plannedRequest.classIndex()],
                                    plannedRequest.workMs());
            // While the link is cut the request never arrives and is never answered, which the
            // proxy cannot know.
            boolean silent = listener.isSilent();
            double workMs = job == null || silent ? 0 : world.workMsOf(now, server.id, job);
            Attempt attempt =
                    new Attempt(
                            number,
                            id,
                            server.id,
                            server.origin,
                            proxy,
                            startedAt,
                            now,
                            workMs,
                            job == null || silent ? 0 : job.workMs());
            attempt.atWarmingNode = !server.origin && world.isWarmingUp(server.id, now);
            ledger.attempt(attempt);
            if (job == null) {
                sendEmptyResponse(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            openAttempt = attempt;
            if (silent) {
                return;
            }
            pendingCount++;
            UpstreamServers.this.pendingResponses.put(
                    number, new PendingResponse(attempt, this, delayMs));
            loop.schedule(
                    () -> requestArrived(attempt, job),
                    (long) (arrivalDelayMs * 1e6),
                    TimeUnit.NANOSECONDS);
        }

        private void requestArrived(Attempt attempt, Job job) {
            if (listener.isSilent() || !world.isAlive(server.id)) {
                return;
            }
            if (overConnectionLimit) {
                rejectedConnections++;
                sendAnswer(attempt.number, World.rejected());
            } else {
                world.request(clock.now(), server.id, attempt.number, proxy, job, effects);
            }
        }

        private void sendEmptyResponse(HttpResponseStatus status) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            channel.writeAndFlush(response);
        }

        /** Writes an answer that has crossed the link, unless the link is cut by now. */
        void writeAnswer(Attempt attempt, Answer answer) {
            pendingCount--;
            if (!channel.isActive() || listener.isSilent()) {
                return;
            }
            openAttempt = null;
            byte[] body = buildBody(attempt, answer);
            if (answer.completion() != World.AnswerCompletion.COMPLETE
                    && answer.completion() != World.AnswerCompletion.NEVER) {
                // This side closes the connection.
                attempt.closedAt = clock.now();
            }
            switch (answer.completion()) {
                case COMPLETE -> {
                    FullHttpResponse response =
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.valueOf(answer.status()),
                                    Unpooled.wrappedBuffer(body));
                    setHeaders(response, answer, body.length);
                    attempt.answeredAt = clock.now();
                    ChannelFuture written = channel.writeAndFlush(response);
                    if (overConnectionLimit) {
                        written.addListener(ChannelFutureListener.CLOSE);
                    }
                }
                case TRUNCATED -> {
                    DefaultHttpResponse responseHead =
                            new DefaultHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.valueOf(answer.status()));
                    setHeaders(responseHead, answer, Math.max(2, body.length));
                    channel.write(responseHead);
                    channel.writeAndFlush(
                                    new io.netty.handler.codec.http.DefaultHttpContent(
                                            Unpooled.wrappedBuffer(body, 0, body.length / 2)))
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case MALFORMED -> {
                    ByteBuf malformed =
                            Unpooled.copiedBuffer(
                                    "HTP/x.1 2OO \u0000\r\nthis is no answer\r\n\r\n",
                                    StandardCharsets.ISO_8859_1);
                    channel.pipeline()
                            .firstContext()
                            .writeAndFlush(malformed)
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case RESET -> FaultyListener.reset(channel);
                case NEVER -> pendingCount++;
                default ->
                        throw new IllegalStateException(
                                "unknown answer completion: " + answer.completion());
            }
        }

        private void setHeaders(
                io.netty.handler.codec.http.HttpResponse response, Answer answer, int length) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
            if (!answer.cacheStatus().isEmpty()) {
                response.headers().set("X-Hit", answer.cacheStatus());
            }
            if (answer.rejected()) {
                response.headers().set("X-Rejected", "1");
            }
            if (overConnectionLimit) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        /**
         * Returns a body that starts with call id, attempt number and version, from which a client
         * sees which attempt produced it.
         */
        private byte[] buildBody(Attempt attempt, Answer answer) {
            byte[] prefix =
                    (attempt.callId + ":" + attempt.number + ":" + answer.version() + ":")
                            .getBytes(StandardCharsets.US_ASCII);
            if (answer.status() != HttpResponseStatus.OK.code()) {
                return new byte[0];
            }
            byte[] body = new byte[Math.max(prefix.length, answer.bytes())];
            java.util.Arrays.fill(body, (byte) '.');
            System.arraycopy(prefix, 0, body, 0, prefix.length);
            return body;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && pendingCount == 0) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (openAttempt != null) {
                openAttempt.closedAt = Math.min(openAttempt.closedAt, clock.now());
                world.requestAbandoned(openAttempt.callId);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
