package cacheproxy.proxy;

import cacheproxy.DecisionModule;
import cacheproxy.Router.Availability;
import cacheproxy.Router.Effect;
import cacheproxy.Router.EndpointListKind;
import cacheproxy.Router.Group;
import cacheproxy.Router.Limits;
import cacheproxy.Router.Node;
import cacheproxy.Router.Rules;
import cacheproxy.Router.ServiceClass;
import cacheproxy.Router.Settings;
import cacheproxy.Router.Weights;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Runs the proxy's request path before clients connect, with a separate proxy instance whose
 * traffic stays inside the process. On a fraction of a core the JVM needs seconds to load and
 * compile that path; client requests that arrived meanwhile were all answered too late, and the
 * decision module attributed this delay to the nodes and the origin.
 */
final class Warmup {

    static final int REQUEST_COUNT = 2000;

    /**
     * Limit while peers serve clients: in a rolling restart the next proxy stops 3 s after this one
     * did.
     */
    private static final long TIMEOUT_MS = 2000;

    /**
     * Additional time where no peer is heard or peers do not exchange messages: at the first start
     * of the fleet no client waits, and on half a core the whole warm-up takes nine seconds.
     */
    private static final long EXTRA_TIME_WITHOUT_PEERS_MS = 8000;

    /**
     * Limit for a proxy that has served before. In a rolling restart it is stopped 3 s before the
     * next proxy and started again two seconds later, and the start of the JVM takes one second on
     * half a core; once the next proxy has terminated, no proxy serves.
     */
    private static final long RESTART_TIMEOUT_MS = 700;

    private static final int CLIENT_COUNT = 4;

    private static final int NODE_COUNT = 4;

    /**
     * Connection limit, large enough for all clients to be idle at once: when more than a fraction
     * of the allowed connections are idle, each response closes its connection.
     */
    private static final int MAX_CLIENT_CONNECTIONS = 8 * CLIENT_COUNT;

    /** One in this many requests is a miss at its cache node. */
    private static final int REQUESTS_PER_MISS = 4;

    private static final double CONNECT_TIMEOUT_MS = 1000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Settings settings;
    private final long durationMs;

    /** In nanoseconds of {@link System#nanoTime}; no request is sent later. */
    private long endNanos;

    private int sent;

    private volatile int served;
    private volatile boolean stopped;

    /**
     * The clients stop sending on their own after {@code durationMs}: the loop does not yield the
     * core while it has work, so a thread that waits to stop the warm-up may not get to run.
     */
    Warmup(Settings settings, long durationMs) {
        this.settings = settings;
        this.durationMs = durationMs;
    }

    /**
     * Runs the warm-up until it is finished or its time limit has passed, and returns the number of
     * requests served. A failure inside it only loses its benefit. A process that replaces another
     * one has time for it, as the other one serves until this one is ready, but the other one waits
     * for a few seconds only.
     */
    static int run(
            Settings settings,
            InetSocketAddress peerListen,
            EndpointListUpdate knownEndpoints,
            boolean mayReplaceProcess)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        long clientsStartedNanos = startNanos;
        long shutDownNanos = startNanos;
        long timeoutMs = mayReplaceProcess ? TIMEOUT_MS : timeoutMs(knownEndpoints);
        Warmup warmup =
                new Warmup(settings, timeoutMs + extraTimeMs(knownEndpoints, mayReplaceProcess));
        try (PeerListener peerListener = new PeerListener(peerListen)) {
            warmup.start();
            clientsStartedNanos = System.nanoTime();
            if (!warmup.done.await(timeoutMs, TimeUnit.MILLISECONDS)) {
                warmup.done.await(
                        extraTimeMs(
                                knownEndpoints, mayReplaceProcess || peerListener.awaitMessage(0)),
                        TimeUnit.MILLISECONDS);
            }
            shutDownNanos = System.nanoTime();
        } finally {
            warmup.shutDown();
        }
        Log.event(
                "warmed_up",
                "requests",
                warmup.served,
                "set_up_ms",
                ms(clientsStartedNanos - startNanos),
                "at_work_ms",
                ms(shutDownNanos - clientsStartedNanos),
                "to_end_ms",
                ms(System.nanoTime() - shutDownNanos));
        return warmup.served;
    }

    private static long ms(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /**
     * Whether this proxy has served before. Discovery has numbered the endpoint list, so an earlier
     * process of this proxy received it: this is a restart, and clients wait.
     */
    private static boolean servedBefore(EndpointListUpdate knownEndpoints) {
        return knownEndpoints != null && knownEndpoints.version() > 0;
    }

    static long timeoutMs(EndpointListUpdate knownEndpoints) {
        return servedBefore(knownEndpoints) ? RESTART_TIMEOUT_MS : TIMEOUT_MS;
    }

    /**
     * Returns the additional time limit. At the first start of the fleet no client connects before
     * all proxies are ready.
     */
    static long extraTimeMs(EndpointListUpdate knownEndpoints, boolean peersServe) {
        return servedBefore(knownEndpoints) || peersServe ? 0 : EXTRA_TIME_WITHOUT_PEERS_MS;
    }

    void awaitDone() throws InterruptedException {
        done.await();
    }

    /**
     * Makes the clients stop sending: a loop that is shutting down continues as long as it has
     * work.
     */
    void stopClients() {
        stopped = true;
    }

    void shutDown() throws InterruptedException {
        stopClients();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
    }

    int served() {
        return served;
    }

    /** Returns how many requests have been sent, read on the event loop. */
    int sentCount() throws InterruptedException, ExecutionException {
        return loop.submit(() -> sent).get();
    }

    /** Settings for a warm-up without a configuration; used by tests. */
    static Settings defaultSettings() {
        return new Settings(
                0,
                1,
                "",
                1,
                List.of(
                        new ServiceClass(
                                "read", 500, 0, 1500, 1, 0, Effect.SAFE, Group.ALL, 0, false)),
                List.of(),
                1,
                false,
                new Limits(NODE_COUNT, true, false, false, true, 1000, false, CONNECT_TIMEOUT_MS),
                new Rules(0, 1, 0, 1, 1000, 0, 0),
                false,
                Weights.NONE,
                "origin");
    }

    void start() throws InterruptedException {
        endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        BodyMemory bodyMemory = new BodyMemory();
        NodePool pool =
                new NodePool(
                        loop,
                        ConnectionTransport.IN_PROCESS,
                        CONNECT_TIMEOUT_MS,
                        settings.connections().idleTimeoutMs(),
                        NODE_COUNT * CLIENT_COUNT,
                        bodyMemory,
                        1);
        Proxy proxy =
                new Proxy(
                        loop,
                        new Clock(),
                        settings,
                        new DecisionModule(settings, 0),
                        pool,
                        CLIENT_COUNT + 1);
        proxy.disableRequestLog();
        ClientServer clients =
                new ClientServer(loop, proxy, settings, MAX_CLIENT_CONNECTIONS, bodyMemory);
        LocalAddress proxyAddress = new LocalAddress(Warmup.class);
        List<EndpointListUpdate.Endpoint> hosts = new ArrayList<>();
        for (int i = 0; i <= NODE_COUNT; i++) {
            LocalAddress address = new LocalAddress(Warmup.class);
            boolean origin = i == NODE_COUNT && settings.originModel() != null;
            startNode(address, origin);
            hosts.add(
                    new EndpointListUpdate.Endpoint(
                            new Node(
                                    "warm-up-" + i,
                                    origin ? settings.originModel() : "",
                                    settings.zone(),
                                    0,
                                    1,
                                    0,
                                    Availability.UP),
                            address));
        }
        loop.submit(
                        () -> {
                            proxy.start(null);
                            proxy.endpointListReceived(
                                    EndpointListKind.SNAPSHOT,
                                    new EndpointListUpdate(1, true, hosts));
                        })
                .sync();
        clients.listen(ConnectionTransport.IN_PROCESS, proxyAddress).sync();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            connectClient(proxyAddress);
        }
    }

    private void startNode(LocalAddress address, boolean origin) throws InterruptedException {
        ConnectionTransport.IN_PROCESS
                .serverBootstrap(loop)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(
                                                        MessageAggregator.MAX_AGGREGATED_BYTES),
                                                new NodeHandler(origin));
                            }
                        })
                .bind(address)
                .sync();
    }

    private void countServed() {
        // Only the event loop writes this field.
        int next = served + 1;
        served = next;
    }

    private void connectClient(LocalAddress proxyAddress) {
        ConnectionTransport.IN_PROCESS
                .clientBootstrap(loop)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(
                                                        MessageAggregator.MAX_AGGREGATED_BYTES),
                                                new ClientHandler());
                            }
                        })
                .connect(proxyAddress);
    }

    /** A cache node that has most keys, or the origin, which has all of them. */
    private static final class NodeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final byte[] BODY = new byte[1000];
        private final boolean origin;

        NodeHandler(boolean origin) {
            this.origin = origin;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean miss = !origin && request.uri().hashCode() % REQUESTS_PER_MISS == 0;
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            miss ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
                            miss ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            answer.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
                    .set("X-Hit", miss ? "miss" : "hit");
            // Not from within the read: the response would overtake the completion of the write of
            // its request.
            ctx.executor().execute(() -> ctx.writeAndFlush(answer));
        }
    }

    /** A client that sends its next request as soon as it has a response. */
    private final class ClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!stopped) {
                sendRequest(ctx);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.status().equals(HttpResponseStatus.OK)) {
                countServed();
            }
            if (sent < REQUEST_COUNT && !stopped && System.nanoTime() - endNanos < 0) {
                sendRequest(ctx);
            } else {
                done.countDown();
            }
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            int number = sent++;
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/warm-up-" + number % 512);
            request.headers()
                    .set(HttpHeaderNames.HOST, "service.internal")
                    .set("X-Call-Id", "warm-up-" + number)
                    .set(
                            "X-Call-Class",
                            settings.classes().get(number % settings.classes().size()).name())
                    .set("X-Caller", "warm-up")
                    .set("X-Budget", "1.000");
            ctx.writeAndFlush(request);
        }
    }
}
