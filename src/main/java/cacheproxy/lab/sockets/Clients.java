package cacheproxy.lab.sockets;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.ClientTry;
import cacheproxy.lab.ledger.Ledger.FinalAnswer;
import cacheproxy.lab.load.ClientBehavior;
import cacheproxy.lab.load.ClientBehavior.TryOutcome;
import cacheproxy.lab.load.LoadBalancer;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadPlan.PlannedRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The clients and the plain front that spreads them over the proxies of their zone. Open loop: each
 * first try goes out at its planned time whatever became of others, and how late it really went out
 * is kept. Runs on one event loop.
 */
final class Clients implements UpstreamServers.RequestLookup {

    private static final int MAX_RESPONSE_BYTES = Experiment.MAX_VALUE_BYTES + 1024;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int WARMUP_CONNECTIONS = 24;
    private static final int WARMUP_REQUESTS = 100;
    private static final long WARMUP_TIMEOUT_S = 3;
    private static final int WRITE_BODY_BYTES = 200;
    private static final double MS_PER_S = 1000;

    /** How a first try and its retries ended. */
    static final class RequestState {
        final PlannedRequest request;

        /** How late it went out. */
        double sendDelayMs;

        /** When its last answer came, or it was given up; infinite while it goes on. */
        double endedAt = Double.POSITIVE_INFINITY;

        /** Status of the last answer: 0 none, -1 no proxy reached. */
        int status;

        int tries;

        RequestState(PlannedRequest request) {
            this.request = request;
        }
    }

    private final EventLoop loop;
    private final RunClock clock;
    private final Experiment experiment;
    private final ClientBehavior clientBehavior;
    private final Ledger ledger;
    private final List<InetSocketAddress> proxies;
    private final LoadBalancer loadBalancer;
    private final List<Deque<Connection>> idleConnections = new ArrayList<>();
    private final Map<String, PlannedRequest> requestsByTryId = new ConcurrentHashMap<>();
    private final RequestState[] states;
    private volatile OutcomeCounts counts = new OutcomeCounts(0, 0, 0, 0, 0);
    private int nextIndex;
    private int inFlight;

    Clients(
            EventLoop loop,
            RunClock clock,
            Experiment experiment,
            LoadPlan plan,
            Ledger ledger,
            List<InetSocketAddress> proxies,
            List<Integer> zones) {
        this.loop = loop;
        this.clock = clock;
        this.experiment = experiment;
        this.clientBehavior = new ClientBehavior(experiment);
        this.ledger = ledger;
        this.proxies = proxies;
        this.loadBalancer = LoadBalancer.of(experiment, zones);
        this.states = plan.requests().stream().map(RequestState::new).toArray(RequestState[]::new);
        proxies.forEach(p -> idleConnections.add(new ArrayDeque<>()));
    }

    @Override
    public PlannedRequest find(String id) {
        return requestsByTryId.get(id);
    }

    /** How every first try that was sent has ended; read once the loop has. */
    List<cacheproxy.lab.load.RequestRecord> records() {
        return java.util.Arrays.stream(states)
                .limit(nextIndex)
                .map(
                        state ->
                                new cacheproxy.lab.load.RequestRecord(
                                        state.request,
                                        state.sendDelayMs,
                                        state.endedAt,
                                        state.status,
                                        state.tries))
                .toList();
    }

    /** The front puts a proxy into service or takes it out. */
    void setInService(int proxy, boolean inService) {
        loop.execute(() -> loadBalancer.setInService(proxy, inService));
    }

    /**
     * Asks every proxy whether it is up, many times: a generator whose own code is still being
     * loaded would send the first requests of a run late, and lay its lateness at the proxies'
     * door.
     */
    void warmUp() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(proxies.size() * WARMUP_CONNECTIONS);
        for (int i = 0; i < proxies.size() * WARMUP_CONNECTIONS; i++) {
            openConnection(
                    i % proxies.size(),
                    channel -> channel.pipeline().addLast(new WarmupHandler(done)));
        }
        done.await(WARMUP_TIMEOUT_S, TimeUnit.SECONDS);
        // And the way of a request: one of no known class is refused with 400 on a connection of
        // its own.
        CountDownLatch rejected = new CountDownLatch(WARMUP_REQUESTS * proxies.size());
        for (int i = 0; i < WARMUP_CONNECTIONS; i++) {
            loop.execute(() -> sendInvalidRequest(rejected));
        }
        rejected.await(WARMUP_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void sendInvalidRequest(CountDownLatch remaining) {
        if (remaining.getCount() == 0 || states.length == 0) {
            return;
        }
        ClientExchange exchange =
                new ClientExchange(
                        states[0],
                        clientBehavior.tryId(states[0].request, WARMUP_CONNECTIONS),
                        (int) (remaining.getCount() % proxies.size()),
                        1000);
        openConnection(exchange.proxy, channel -> {})
                .addListener(
                        (ChannelFuture future) -> {
                            if (future.isSuccess()) {
                                FullHttpRequest request = buildRequest(exchange);
                                request.headers().set("X-Call-Class", "rehearsal");
                                future.channel().writeAndFlush(request);
                            }
                            future.channel()
                                    .closeFuture()
                                    .addListener(
                                            closed -> {
                                                remaining.countDown();
                                                sendInvalidRequest(remaining);
                                            });
                        });
    }

    private static final class WarmupHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CountDownLatch done;
        private int requestsSent;

        WarmupHandler(CountDownLatch done) {
            this.done = done;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendRequest(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (requestsSent < WARMUP_REQUESTS) {
                sendRequest(ctx);
            } else {
                done.countDown();
                ctx.close();
            }
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            requestsSent++;
            FullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/up");
            request.headers().set(HttpHeaderNames.HOST, "service.internal");
            ctx.writeAndFlush(request);
        }
    }

    void start() {
        loop.execute(this::sendDueRequests);
    }

    private void count(RequestState state, TryOutcome outcome) {
        double weightedWork = requestClass(state).worth() * state.request.workMs();
        OutcomeCounts previous = counts;
        counts =
                new OutcomeCounts(
                        previous.ended() + 1,
                        previous.served() + (outcome == TryOutcome.SERVED ? 1 : 0),
                        previous.refused() + (outcome == TryOutcome.REFUSED ? 1 : 0),
                        previous.weightedWork() + weightedWork,
                        previous.weightedWorkServed()
                                + (outcome == TryOutcome.SERVED ? weightedWork : 0));
    }

    /** How many first tries have ended so far, and how; worth is the class's times the work. */
    record OutcomeCounts(
            int ended, int served, int refused, double weightedWork, double weightedWorkServed) {}

    OutcomeCounts counts() {
        return counts;
    }

    /** Sends what is due and comes back when the next one is. */
    private void sendDueRequests() {
        while (nextIndex < states.length && states[nextIndex].request.atMs() <= clock.now()) {
            RequestState state = states[nextIndex++];
            inFlight++;
            state.sendDelayMs = clock.now() - state.request.atMs();
            sendTry(state);
        }
        if (nextIndex < states.length) {
            loop.schedule(
                    this::sendDueRequests,
                    clock.nanosUntil(states[nextIndex].request.atMs()),
                    TimeUnit.NANOSECONDS);
        }
    }

    private Experiment.Class requestClass(RequestState state) {
        return clientBehavior.classOf(state.request);
    }

    private void sendTry(RequestState state) {
        double budgetMs = clientBehavior.tryBudgetMs(state.request, clock.now());
        int proxy = loadBalancer.pick(state.request.zone());
        String id = clientBehavior.tryId(state.request, state.tries);
        state.tries++;
        requestsByTryId.put(id, state.request);
        ClientExchange exchange = new ClientExchange(state, id, proxy, budgetMs);
        if (proxy < 0) {
            exchange.end(TryOutcome.UNREACHED, -1, 0);
            return;
        }
        Connection connection = idleConnections.get(proxy).pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = idleConnections.get(proxy).pollLast();
        }
        if (connection != null) {
            connection.send(exchange);
        } else {
            connect(exchange);
        }
    }

    private void connect(ClientExchange exchange) {
        openConnection(
                        exchange.proxy,
                        channel ->
                                channel.pipeline().addLast(new Connection(channel, exchange.proxy)))
                .addListener(
                        (ChannelFuture future) -> {
                            if (future.isSuccess()) {
                                future.channel().pipeline().get(Connection.class).send(exchange);
                            } else {
                                exchange.end(TryOutcome.UNREACHED, -1, 0);
                            }
                        });
    }

    /** Opens a connection to a proxy; {@code more} adds to what reads and writes HTTP on it. */
    private ChannelFuture openConnection(int proxy, Consumer<Channel> configurer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_RESPONSE_BYTES));
                                configurer.accept(channel);
                            }
                        })
                .connect(proxies.get(proxy));
    }

    private FullHttpRequest buildRequest(ClientExchange exchange) {
        PlannedRequest plannedRequest = exchange.state.request;
        Experiment.Class requestClass = requestClass(exchange.state);
        byte[] body = requestClass.write() ? new byte[WRITE_BODY_BYTES] : new byte[0];
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        requestClass.write() ? HttpMethod.PUT : HttpMethod.GET,
                        ClientBehavior.pathOf(plannedRequest.key()),
                        Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, "service.internal")
                .set("X-Call-Id", exchange.id)
                .set("X-Call-Class", requestClass.name())
                .set("X-Budget", String.format(Locale.ROOT, "%.3f", exchange.budgetMs / MS_PER_S))
                .set("X-Call-Cost", (long) (plannedRequest.hintMs() * MS_PER_S));
        if (requestClass.write()) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        if (requestClass.effect() == Effect.KEYED) {
            request.headers()
                    .set("Idempotency-Key", String.format("k%015x", plannedRequest.index()));
        }
        if (exchange.state.tries > 1 && experiment.load().marksRetries()) {
            request.headers().set("X-Again", "1");
        }
        return request;
    }

    /** One try from its first byte to its end. */
    private final class ClientExchange {
        final RequestState state;
        final String id;
        final int proxy;
        final double budgetMs;
        ClientTry clientTry;
        boolean ended;
        boolean sentOnNewConnection;

        ClientExchange(RequestState state, String id, int proxy, double budgetMs) {
            this.state = state;
            this.id = id;
            this.proxy = proxy;
            this.budgetMs = budgetMs;
        }

        /** The client's side is over: it has an answer, or has given up. */
        void end(TryOutcome outcome, int status, double retryAfterMs) {
            if (ended) {
                return;
            }
            ended = true;
            state.status = status;
            double retryAt =
                    clientBehavior.retryAt(
                            state.request, state.tries, outcome, retryAfterMs, clock.now());
            if (!Double.isNaN(retryAt)) {
                loop.schedule(
                        () -> sendTry(state), clock.nanosUntil(retryAt), TimeUnit.NANOSECONDS);
            } else {
                state.endedAt = clock.now();
                inFlight--;
                count(state, outcome);
            }
        }
    }

    /** A connection to a proxy; one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private final int proxy;
        private ClientExchange current;
        private boolean used;

        Connection(Channel channel, int proxy) {
            this.channel = channel;
            this.proxy = proxy;
        }

        void send(ClientExchange exchange) {
            current = exchange;
            boolean reused = used;
            used = true;
            if (exchange.clientTry == null) {
                exchange.clientTry =
                        ledger.sent(
                                exchange.id,
                                exchange.state.request.index(),
                                exchange.state.request.classIndex(),
                                exchange.state.request.key(),
                                proxy,
                                clock.now(),
                                exchange.budgetMs);
            }
            exchange.sentOnNewConnection |= !reused;
            exchange.clientTry.firstOnConnection = !reused;
            channel.writeAndFlush(buildRequest(exchange));
            loop.schedule(
                    () -> onTryTimeout(exchange),
                    (long) (exchange.budgetMs * 1e6),
                    TimeUnit.NANOSECONDS);
        }

        /**
         * The client has given up; the connection stays a little longer, to tell a late answer from
         * none.
         */
        private void onTryTimeout(ClientExchange exchange) {
            if (current != exchange || exchange.ended) {
                return;
            }
            exchange.end(TryOutcome.FAILED, 0, 0);
            loop.schedule(
                    () -> {
                        if (current == exchange) {
                            exchange.clientTry.gaveUpAt = clock.now();
                            current = null;
                            channel.close();
                        }
                    },
                    (long) (2 * experiment.rules().slackMs() * 1e6),
                    TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            ClientExchange exchange = current;
            if (exchange == null || response.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            int status = response.status().code();
            String retryAfter = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            double retryAfterMs =
                    retryAfter == null ? Double.NaN : Double.parseDouble(retryAfter) * MS_PER_S;
            exchange.clientTry.replies.add(
                    new FinalAnswer(
                            clock.now(),
                            status,
                            retryAfterMs,
                            servedAttempt(exchange.id, response)));
            current = null;
            boolean keepAlive = HttpUtil.isKeepAlive(response);
            exchange.end(ClientBehavior.outcomeOf(status), status, retryAfterMs);
            if (keepAlive && channel.isActive()) {
                idleConnections.get(proxy).addLast(this);
            } else {
                channel.close();
            }
        }

        /** The attempt that a served body names, if it names this request; else 0. */
        private long servedAttempt(String id, FullHttpResponse response) {
            String body =
                    response.content()
                            .toString(
                                    0,
                                    Math.min(64, response.content().readableBytes()),
                                    StandardCharsets.US_ASCII);
            String[] parts = body.split(":");
            return parts.length >= 3 && parts[0].equals(id) ? Long.parseLong(parts[1]) : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.get(proxy).remove(this);
            ClientExchange exchange = current;
            current = null;
            if (exchange == null) {
                return;
            }
            if (!exchange.sentOnNewConnection) {
                // The proxy's close crossed our request on a connection from before: it is sent
                // once more on a new one.
                exchange.sentOnNewConnection = true;
                connect(exchange);
                return;
            }
            exchange.clientTry.connectionLostAt = clock.now();
            exchange.end(TryOutcome.FAILED, 0, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null
                    && cause instanceof io.netty.handler.codec.PrematureChannelClosureException) {
                current.clientTry.answerBegun = true;
            }
            ctx.close();
        }
    }
}
