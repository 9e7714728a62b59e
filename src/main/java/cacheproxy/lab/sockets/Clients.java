package cacheproxy.lab.sockets;

import cacheproxy.Router.Effect;
import cacheproxy.lab.Experiment;
import cacheproxy.lab.ledger.Ledger;
import cacheproxy.lab.ledger.Ledger.Reply;
import cacheproxy.lab.ledger.Ledger.Try;
import cacheproxy.lab.load.Front;
import cacheproxy.lab.load.Habits;
import cacheproxy.lab.load.Habits.Ending;
import cacheproxy.lab.load.LoadPlan;
import cacheproxy.lab.load.LoadPlan.First;
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
final class Clients implements Machines.Asked {

    private static final int BODY = Experiment.MOST_BYTES + 1024;
    private static final int CONNECT_MS = 1000;
    private static final int REHEARSALS = 24;
    private static final int REHEARSED = 100;
    private static final long REHEARSAL_S = 3;
    private static final int WRITE_BYTES = 200;
    private static final double MS_PER_S = 1000;

    /** How a first try and its retries ended. */
    static final class Story {
        final First first;

        /** How late it went out. */
        double lateMs;

        /** When its last answer came, or it was given up; infinite while it goes on. */
        double endedAt = Double.POSITIVE_INFINITY;

        /** Status of the last answer: 0 none, -1 no proxy reached. */
        int status;

        int tries;

        Story(First first) {
            this.first = first;
        }
    }

    private final EventLoop loop;
    private final RunClock clock;
    private final Experiment experiment;
    private final Habits habits;
    private final Ledger ledger;
    private final List<InetSocketAddress> proxies;
    private final Front front;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final Map<String, First> asked = new ConcurrentHashMap<>();
    private final Story[] stories;
    private volatile Counts counts = new Counts(0, 0, 0, 0, 0);
    private int next;
    private int open;

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
        this.habits = new Habits(experiment);
        this.ledger = ledger;
        this.proxies = proxies;
        this.front = Front.of(experiment, zones);
        this.stories = plan.firsts().stream().map(Story::new).toArray(Story[]::new);
        proxies.forEach(p -> idle.add(new ArrayDeque<>()));
    }

    @Override
    public First first(String id) {
        return asked.get(id);
    }

    /** How every first try that was sent has ended; read once the loop has. */
    List<cacheproxy.lab.load.Story> told() {
        return java.util.Arrays.stream(stories)
                .limit(next)
                .map(
                        s ->
                                new cacheproxy.lab.load.Story(
                                        s.first, s.lateMs, s.endedAt, s.status, s.tries))
                .toList();
    }

    /** The front puts a proxy into service or takes it out. */
    void inService(int proxy, boolean on) {
        loop.execute(() -> front.inService(proxy, on));
    }

    /**
     * Asks every proxy whether it is up, many times: a generator whose own code is still being
     * loaded would send the first requests of a run late, and lay its lateness at the proxies'
     * door.
     */
    void rehearse() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(proxies.size() * REHEARSALS);
        for (int i = 0; i < proxies.size() * REHEARSALS; i++) {
            dial(i % proxies.size(), channel -> channel.pipeline().addLast(new Rehearsal(done)));
        }
        done.await(REHEARSAL_S, TimeUnit.SECONDS);
        // And the way of a request: one of no known class is refused with 400 on a connection of
        // its own.
        CountDownLatch refused = new CountDownLatch(REHEARSED * proxies.size());
        for (int i = 0; i < REHEARSALS; i++) {
            loop.execute(() -> refusedIn(refused));
        }
        refused.await(REHEARSAL_S, TimeUnit.SECONDS);
    }

    private void refusedIn(CountDownLatch left) {
        if (left.getCount() == 0 || stories.length == 0) {
            return;
        }
        Exchange exchange =
                new Exchange(
                        stories[0],
                        habits.id(stories[0].first, REHEARSALS),
                        (int) (left.getCount() % proxies.size()),
                        1000);
        dial(exchange.proxy, channel -> {})
                .addListener(
                        (ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                FullHttpRequest request = request(exchange);
                                request.headers().set("X-Call-Class", "rehearsal");
                                f.channel().writeAndFlush(request);
                            }
                            f.channel()
                                    .closeFuture()
                                    .addListener(
                                            g -> {
                                                left.countDown();
                                                refusedIn(left);
                                            });
                        });
    }

    private static final class Rehearsal extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final CountDownLatch done;
        private int asked;

        Rehearsal(CountDownLatch done) {
            this.done = done;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (asked < REHEARSED) {
                ask(ctx);
            } else {
                done.countDown();
                ctx.close();
            }
        }

        private void ask(ChannelHandlerContext ctx) {
            asked++;
            FullHttpRequest up =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/up");
            up.headers().set(HttpHeaderNames.HOST, "service.internal");
            ctx.writeAndFlush(up);
        }
    }

    void start() {
        loop.execute(this::pump);
    }

    private void count(Story story, Ending ending) {
        double worth = type(story).worth() * story.first.workMs();
        Counts c = counts;
        counts =
                new Counts(
                        c.ended() + 1,
                        c.served() + (ending == Ending.SERVED ? 1 : 0),
                        c.refused() + (ending == Ending.REFUSED ? 1 : 0),
                        c.worth() + worth,
                        c.worthServed() + (ending == Ending.SERVED ? worth : 0));
    }

    /** How many first tries have ended so far, and how; worth is the class's times the work. */
    record Counts(int ended, int served, int refused, double worth, double worthServed) {}

    Counts counts() {
        return counts;
    }

    /** Sends what is due and comes back when the next one is. */
    private void pump() {
        while (next < stories.length && stories[next].first.atMs() <= clock.now()) {
            Story story = stories[next++];
            open++;
            story.lateMs = clock.now() - story.first.atMs();
            attempt(story);
        }
        if (next < stories.length) {
            loop.schedule(
                    this::pump, clock.nanosUntil(stories[next].first.atMs()), TimeUnit.NANOSECONDS);
        }
    }

    private Experiment.Class type(Story story) {
        return habits.type(story.first);
    }

    private void attempt(Story story) {
        double budget = habits.budgetMs(story.first, clock.now());
        int proxy = front.pick(story.first.zone());
        String id = habits.id(story.first, story.tries);
        story.tries++;
        asked.put(id, story.first);
        Exchange exchange = new Exchange(story, id, proxy, budget);
        if (proxy < 0) {
            exchange.end(Ending.UNREACHED, -1, 0);
            return;
        }
        Connection connection = idle.get(proxy).pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = idle.get(proxy).pollLast();
        }
        if (connection != null) {
            connection.send(exchange);
        } else {
            connect(exchange);
        }
    }

    private void connect(Exchange exchange) {
        dial(
                        exchange.proxy,
                        channel ->
                                channel.pipeline().addLast(new Connection(channel, exchange.proxy)))
                .addListener(
                        (ChannelFuture f) -> {
                            if (f.isSuccess()) {
                                f.channel().pipeline().get(Connection.class).send(exchange);
                            } else {
                                exchange.end(Ending.UNREACHED, -1, 0);
                            }
                        });
    }

    /** Opens a connection to a proxy; {@code more} adds to what reads and writes HTTP on it. */
    private ChannelFuture dial(int proxy, Consumer<Channel> more) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(BODY));
                                more.accept(channel);
                            }
                        })
                .connect(proxies.get(proxy));
    }

    private FullHttpRequest request(Exchange exchange) {
        First first = exchange.story.first;
        Experiment.Class type = type(exchange.story);
        byte[] body = type.write() ? new byte[WRITE_BYTES] : new byte[0];
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        type.write() ? HttpMethod.PUT : HttpMethod.GET,
                        Habits.path(first.key()),
                        Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, "service.internal")
                .set("X-Call-Id", exchange.id)
                .set("X-Call-Class", type.name())
                .set("X-Budget", String.format(Locale.ROOT, "%.3f", exchange.budgetMs / MS_PER_S))
                .set("X-Call-Cost", (long) (first.hintMs() * MS_PER_S));
        if (type.write()) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        if (type.effect() == Effect.KEYED) {
            request.headers().set("Idempotency-Key", String.format("k%015x", first.index()));
        }
        if (exchange.story.tries > 1 && experiment.load().marksRetries()) {
            request.headers().set("X-Again", "1");
        }
        return request;
    }

    /** One try from its first byte to its end. */
    private final class Exchange {
        final Story story;
        final String id;
        final int proxy;
        final double budgetMs;
        Try entry;
        boolean over;
        boolean again;

        Exchange(Story story, String id, int proxy, double budgetMs) {
            this.story = story;
            this.id = id;
            this.proxy = proxy;
            this.budgetMs = budgetMs;
        }

        /** The client's side is over: it has an answer, or has given up. */
        void end(Ending ending, int status, double retryAfterMs) {
            if (over) {
                return;
            }
            over = true;
            story.status = status;
            double again =
                    habits.againAt(story.first, story.tries, ending, retryAfterMs, clock.now());
            if (!Double.isNaN(again)) {
                loop.schedule(() -> attempt(story), clock.nanosUntil(again), TimeUnit.NANOSECONDS);
            } else {
                story.endedAt = clock.now();
                open--;
                count(story, ending);
            }
        }
    }

    /** A connection to a proxy; one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private final int proxy;
        private Exchange current;
        private boolean used;

        Connection(Channel channel, int proxy) {
            this.channel = channel;
            this.proxy = proxy;
        }

        void send(Exchange exchange) {
            current = exchange;
            boolean reused = used;
            used = true;
            if (exchange.entry == null) {
                exchange.entry =
                        ledger.sent(
                                exchange.id,
                                exchange.story.first.index(),
                                exchange.story.first.type(),
                                exchange.story.first.key(),
                                proxy,
                                clock.now(),
                                exchange.budgetMs);
            }
            exchange.again |= !reused;
            exchange.entry.fresh = !reused;
            channel.writeAndFlush(request(exchange));
            loop.schedule(
                    () -> gaveUp(exchange), (long) (exchange.budgetMs * 1e6), TimeUnit.NANOSECONDS);
        }

        /**
         * The client has given up; the connection stays a little longer, to tell a late answer from
         * none.
         */
        private void gaveUp(Exchange exchange) {
            if (current != exchange || exchange.over) {
                return;
            }
            exchange.end(Ending.FAILED, 0, 0);
            loop.schedule(
                    () -> {
                        if (current == exchange) {
                            exchange.entry.gaveUpAt = clock.now();
                            current = null;
                            channel.close();
                        }
                    },
                    (long) (2 * experiment.rules().slackMs() * 1e6),
                    TimeUnit.NANOSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            Exchange exchange = current;
            if (exchange == null || answer.decoderResult().isFailure()) {
                ctx.close();
                return;
            }
            int status = answer.status().code();
            String wait = answer.headers().get(HttpHeaderNames.RETRY_AFTER);
            double retryAfterMs = wait == null ? Double.NaN : Double.parseDouble(wait) * MS_PER_S;
            exchange.entry.replies.add(
                    new Reply(clock.now(), status, retryAfterMs, made(exchange.id, answer)));
            current = null;
            boolean keep = HttpUtil.isKeepAlive(answer);
            exchange.end(Habits.ending(status), status, retryAfterMs);
            if (keep && channel.isActive()) {
                idle.get(proxy).addLast(this);
            } else {
                channel.close();
            }
        }

        /** The attempt that a served body names, if it names this request; else 0. */
        private long made(String id, FullHttpResponse answer) {
            String body =
                    answer.content()
                            .toString(
                                    0,
                                    Math.min(64, answer.content().readableBytes()),
                                    StandardCharsets.US_ASCII);
            String[] parts = body.split(":");
            return parts.length >= 3 && parts[0].equals(id) ? Long.parseLong(parts[1]) : 0;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.get(proxy).remove(this);
            Exchange exchange = current;
            current = null;
            if (exchange == null) {
                return;
            }
            if (!exchange.again) {
                // The proxy's close crossed our request on a connection from before: it is sent
                // once more on a new one.
                exchange.again = true;
                connect(exchange);
                return;
            }
            exchange.entry.lostAt = clock.now();
            exchange.end(Ending.FAILED, 0, 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (current != null
                    && cause instanceof io.netty.handler.codec.PrematureChannelClosureException) {
                current.entry.begun = true;
            }
            ctx.close();
        }
    }
}
