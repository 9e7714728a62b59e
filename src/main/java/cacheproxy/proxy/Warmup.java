package cacheproxy.proxy;

import cacheproxy.Decide;
import cacheproxy.Router.Availability;
import cacheproxy.Router.Effect;
import cacheproxy.Router.Group;
import cacheproxy.Router.Limits;
import cacheproxy.Router.ListKind;
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
 * Runs the proxy's own path before clients come, with a proxy of its own and nothing that leaves
 * the process. On part of a core the Java machine needs seconds to load and compile it; requests
 * that came meanwhile were all too late, and what the module then learned of nodes and origin was
 * learned of us.
 */
final class Warmup {

    static final int REQUESTS = 2000;

    /**
     * It may take no longer while peers serve: at a rolling restart the next proxy goes down 3 s
     * after this one did.
     */
    private static final long PATIENCE_MS = 2000;

    /**
     * And so much longer where none is heard or none may speak: at the first start of all nobody
     * waits for us, and on half a core all of it takes nine seconds.
     */
    private static final long ALONE_MS = 8000;

    /**
     * All that a proxy which served before may take. It is told to stop 3 s before the next one is,
     * is started anew two seconds later, and the Java machine's start takes one on half a core;
     * once the next has ended, nobody serves.
     */
    private static final long AGAIN_MS = 700;

    private static final int AT_ONCE = 4;

    /**
     * After so many requests the loop has nothing to do for a moment. Where a hundred processes
     * start on a few cores at once, a thread that works for one second of its own without a wait
     * holds its core for a minute, and is taken for one that hangs.
     */
    private static final int REST_EVERY = 40;

    private static final long REST_MS = 1;

    /** How often one that has no answer is waited for. */
    private static final int REST_MOST = 5;

    private static final int NODES = 4;

    /**
     * So many that all its clients may rest: where more than a part of those allowed do, each
     * answer is its connection's last.
     */
    private static final int MOST_CLIENTS = 8 * AT_ONCE;

    /** One of so many requests is a miss at its cache node. */
    private static final int MISS = 4;

    private static final double CONNECT_MS = 1000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Settings settings;
    private final long lastsMs;
    private long endsAt;
    private int sent;

    /** Clients that ask again when the rest is over; null where there is none. */
    private List<Runnable> resting;

    private volatile int rests;
    private volatile int served;
    private volatile boolean over;

    /**
     * Its clients stop asking by themselves after {@code lastsMs}: the loop leaves the core to no
     * other thread as long as it finds work, so whoever waits for the end may get no turn to call
     * it.
     */
    Warmup(Settings settings, long lastsMs) {
        this.settings = settings;
        this.lastsMs = lastsMs;
    }

    /**
     * Returns how many requests were answered, when it has run long enough; a fault in it costs its
     * gain alone. A process that replaces another has time for it: until it is ready the other one
     * serves, yet that waits for no more than seconds.
     */
    static int run(
            Settings settings, InetSocketAddress peerListen, HostList known, boolean replaces)
            throws IOException, InterruptedException {
        long begun = System.nanoTime();
        long started = begun;
        long ending = begun;
        long patience = replaces ? PATIENCE_MS : patienceMs(known);
        Warmup warmup = new Warmup(settings, patience + moreMs(known, replaces));
        try (PeerEar ear = new PeerEar(peerListen)) {
            warmup.start();
            started = System.nanoTime();
            if (!warmup.done.await(patience, TimeUnit.MILLISECONDS)) {
                warmup.done.await(moreMs(known, replaces || ear.heard(0)), TimeUnit.MILLISECONDS);
            }
            ending = System.nanoTime();
        } finally {
            warmup.end();
        }
        Log.event(
                "warmed_up",
                "requests",
                warmup.served,
                "set_up_ms",
                ms(started - begun),
                "at_work_ms",
                ms(ending - started),
                "to_end_ms",
                ms(System.nanoTime() - ending));
        return warmup.served;
    }

    private static long ms(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /**
     * A list that discovery has numbered was had from it in an earlier life: this is a restart, and
     * clients wait.
     */
    private static boolean servedBefore(HostList known) {
        return known != null && known.version() > 0;
    }

    static long patienceMs(HostList known) {
        return servedBefore(known) ? AGAIN_MS : PATIENCE_MS;
    }

    /**
     * What it may take on top: at a birth, with nobody else at work, no client comes before all are
     * ready.
     */
    static long moreMs(HostList known, boolean othersServe) {
        return servedBefore(known) || othersServe ? 0 : ALONE_MS;
    }

    void awaitDone() throws InterruptedException {
        done.await();
    }

    /**
     * Its clients ask no more from here on: a loop that is told to end goes on as long as it finds
     * work.
     */
    void halt() {
        over = true;
    }

    void end() throws InterruptedException {
        halt();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await(1, TimeUnit.SECONDS);
    }

    int served() {
        return served;
    }

    /** How often the loop had nothing at all to do, as all its clients waited. */
    int rests() {
        return rests;
    }

    /** Asks now, or when the rest is over that begins here or has begun. */
    private void askInTurn(Runnable ask) {
        if (resting == null && sent % REST_EVERY == 0 && sent > 0) {
            resting = new ArrayList<>();
            loop.schedule(() -> goOn(REST_MOST), REST_MS, TimeUnit.MILLISECONDS);
        }
        if (resting == null) {
            ask.run();
        } else {
            resting.add(ask);
        }
    }

    private void goOn(int left) {
        List<Runnable> next = resting;
        if (next.size() < AT_ONCE && left > 0) {
            // Some have no answer yet.
            loop.schedule(() -> goOn(left - 1), REST_MS, TimeUnit.MILLISECONDS);
            return;
        }
        // Written by the loop alone.
        int so = rests + (next.size() < AT_ONCE ? 0 : 1);
        rests = so;
        resting = null;
        next.forEach(Runnable::run);
    }

    /** How many were asked by now, once the loop has come to say so. */
    int asked() throws InterruptedException, ExecutionException {
        return loop.submit(() -> sent).get();
    }

    /**
     * Settings under which it runs where there is no configuration, as when the class archive is
     * made.
     */
    static Settings anySettings() {
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
                new Limits(NODES, true, false, false, true, 1000, false, CONNECT_MS),
                new Rules(0, 1, 0, 1, 1000, 0, 0),
                false,
                Weights.NONE,
                "origin");
    }

    void start() throws InterruptedException {
        endsAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lastsMs);
        NodePool pool =
                new NodePool(
                        loop,
                        Transport.IN_PROCESS,
                        CONNECT_MS,
                        settings.connections().idleMs(),
                        NODES * AT_ONCE,
                        1);
        Proxy proxy =
                new Proxy(loop, new Clock(), settings, new Decide(settings, 0), pool, AT_ONCE + 1);
        ClientServer clients = new ClientServer(loop, proxy, settings, MOST_CLIENTS);
        LocalAddress front = new LocalAddress(Warmup.class);
        List<HostList.Host> hosts = new ArrayList<>();
        for (int i = 0; i <= NODES; i++) {
            LocalAddress address = new LocalAddress(Warmup.class);
            boolean origin = i == NODES && settings.originModel() != null;
            node(address, origin);
            hosts.add(
                    new HostList.Host(
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
                            proxy.hosts(ListKind.FULL, new HostList(1, true, hosts));
                        })
                .sync();
        clients.listen(Transport.IN_PROCESS, front).sync();
        for (int i = 0; i < AT_ONCE; i++) {
            client(front);
        }
    }

    private void node(LocalAddress address, boolean origin) throws InterruptedException {
        Transport.IN_PROCESS
                .server(loop)
                .childHandler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpServerCodec(),
                                                new HttpObjectAggregator(Gatherer.MOST_GATHERED),
                                                new Answers(origin));
                            }
                        })
                .bind(address)
                .sync();
    }

    private void answered() {
        // Written by the loop alone.
        int next = served + 1;
        served = next;
    }

    private void client(LocalAddress front) {
        Transport.IN_PROCESS
                .client(loop)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(Gatherer.MOST_GATHERED),
                                                new Asks());
                            }
                        })
                .connect(front);
    }

    /** A node that has most keys, or the origin, which has all. */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        private static final byte[] BODY = new byte[1000];
        private final boolean origin;

        Answers(boolean origin) {
            this.origin = origin;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean miss = !origin && request.uri().hashCode() % MISS == 0;
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            miss ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
                            miss ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            answer.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes())
                    .set("X-Hit", miss ? "miss" : "hit");
            // Not from within the read: the answer would overtake the end of the write that asked
            // for it.
            ctx.executor().execute(() -> ctx.writeAndFlush(answer));
        }
    }

    /**
     * A client that asks again as soon as it has its answer, and comes back on a new connection if
     * need be.
     */
    private final class Asks extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (!over) {
                ask(ctx);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (answer.status().equals(HttpResponseStatus.OK)) {
                answered();
            }
            askInTurn(
                    () -> {
                        if (sent < REQUESTS && !over && System.nanoTime() - endsAt < 0) {
                            ask(ctx);
                        } else {
                            done.countDown();
                        }
                    });
        }

        private void ask(ChannelHandlerContext ctx) {
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
