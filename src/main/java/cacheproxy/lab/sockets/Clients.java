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
 * The load generator: the clients, with a load balancer that distributes their requests over the
 * proxies of their zone. The load is an open loop: each request is sent at its planned time, no
 * matter how others end, and the delay of its sending is recorded. Runs on one event loop.
 */
final class Clients implements UpstreamServers.RequestLookup {

    private static final int MAX_RESPONSE_BYTES = Experiment.MAX_VALUE_BYTES + 1024;
    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int WARMUP_CONNECTIONS = 24;
    private static final int WARMUP_REQUESTS = 100;
    private static final long WARMUP_TIMEOUT_S = 3;
    private static final int WRITE_BODY_BYTES = 200;
    private static final double MS_PER_S = 1000;

    /** The state of a request, including its retries. */
    static final class RequestState {
        final PlannedRequest request;

        /** How late the first try was sent. */
        double sendDelayMs;

        /**
         * Time of the run at which the last response arrived or the client gave up; infinite while
         * the request is in progress.
         */
        double endedAt = Double.POSITIVE_INFINITY;

        /** Status of the last response; 0 if there was none, -1 if no proxy was reached. */
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

    /**
     * Returns the outcomes of all requests that were sent. Must be called after the event loop has
     * terminated.
     */
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

    /** Sets whether the load balancer sends requests to a proxy. */
    void setInService(int proxy, boolean inService) {
        loop.execute(() -> loadBalancer.setInService(proxy, inService));
    }

    /**
     * Warms up the code of the load generator by sending many requests to every proxy. Without
     * warm-up, class loading would delay the first requests of a run, and the delay would be
     * attributed to the proxies.
     */
    void warmUp() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(proxies.size() * WARMUP_CONNECTIONS);
        for (int i = 0; i < proxies.size() * WARMUP_CONNECTIONS; i++) {
            openConnection(
                    i % proxies.size(),
                    channel -> channel.pipeline().addLast(new WarmupHandler(done)));
        }
        done.await(WARMUP_TIMEOUT_S, TimeUnit.SECONDS);
        // Also warms up the code that builds requests. A request of an unknown class is rejected
        // with status 400, each on a separate connection, and reaches no cache node.
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

    /** Sends {@code GET /up} repeatedly on one connection and then closes it. */
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

    /** Starts the load; the first request is sent at its planned time of the run. */
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

    /**
     * Numbers of requests that have ended so far, by outcome. The weighted work of a request is the
     * priority weight of its class times its work in core-milliseconds.
     */
    record OutcomeCounts(
            int ended, int served, int refused, double weightedWork, double weightedWorkServed) {}

    OutcomeCounts counts() {
        return counts;
    }

    /** Sends the requests that are due and schedules itself for the next one. */
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

    /** Opens an HTTP connection to a proxy; {@code configurer} adds handlers behind the codec. */
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

    /** One try of a request, from sending to its end. */
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

        /** Ends the try for the client and schedules a retry if the client makes one. */
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

    /** A connection to a proxy that carries one request at a time. */
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
         * Ends the try as failed because its time is over. The connection is kept open slightly
         * longer, to distinguish a late response from none.
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

        /**
         * Returns the number of the attempt named in a response body, or 0 if the body does not
         * belong to this try.
         */
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
                // The proxy closed a reused connection while the request was on its way: the
                // request is sent again on a new connection.
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
