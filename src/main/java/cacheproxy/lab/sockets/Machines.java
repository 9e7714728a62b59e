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
 * The world's cache nodes and origin on sockets, in the platform's HTTP/1.1. All of it runs on one
 * event loop, which is the world's only caller. Delays of links are waited for here; a cut or
 * silent machine reads nothing and says nothing.
 */
final class Machines {

    static final int MAX_BODY = 64 * 1024;

    /** What is asked under an id. */
    interface Asked {
        LoadPlan.First first(String id);
    }

    private final EventLoop loop;
    private final RunClock clock;
    private final Installation plan;
    private final World world;
    private final World.Effects effects;
    private final Ledger ledger;
    private final Asked asked;
    private final boolean[] writes;
    private final RandomGenerator random;
    private final double idleMs;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Long, Out> out = new HashMap<>();
    private long attempts;
    private int connections;
    private int turnedAway;

    /** An attempt that waits for its answer, and where that goes. */
    private record Out(Attempt attempt, Link link, double delayMs) {}

    private static final class Host {
        final String id;
        final int zone;
        final int cap;
        final boolean origin;
        final List<Doors> doors = new ArrayList<>();
        int open;
        double resetShare;

        Host(String id, int zone, int cap, boolean origin) {
            this.id = id;
            this.zone = zone;
            this.cap = cap;
            this.origin = origin;
        }
    }

    Machines(
            EventLoop loop,
            RunClock clock,
            Installation plan,
            World world,
            World.Effects effects,
            Ledger ledger,
            Asked asked,
            boolean[] writes,
            double idleMs,
            RandomGenerator random) {
        this.loop = loop;
        this.clock = clock;
        this.plan = plan;
        this.world = world;
        this.effects = effects;
        this.ledger = ledger;
        this.asked = asked;
        this.writes = writes;
        this.idleMs = idleMs;
        this.random = random;
    }

    void open() throws InterruptedException {
        plan.machines()
                .forEach(
                        n -> hosts.put(n.id(), new Host(n.id(), n.zone(), n.connections(), false)));
        hosts.put(
                plan.origin().id(),
                new Host(
                        plan.origin().id(),
                        plan.origin().zone(),
                        plan.origin().connections(),
                        true));
        for (Host host : hosts.values()) {
            for (int proxy = 0; proxy < plan.proxyZones().size(); proxy++) {
                int from = proxy;
                Doors doors = new Doors(loop, channel -> accepted(channel, host, from));
                doors.open();
                host.doors.add(doors);
            }
        }
        plan.spares().forEach(n -> hosts.get(n.id()).doors.forEach(Doors::shut));
    }

    String dial(String machine, int proxy) {
        return hosts.get(machine).doors.get(proxy).dial();
    }

    /** New connections that proxies opened so far. */
    int connections() {
        return connections;
    }

    /** Those of them that a full table turned away. */
    int turnedAway() {
        return turnedAway;
    }

    // Faults, on the loop.

    void died(String machine) {
        hosts.get(machine).doors.forEach(Doors::shut);
        out.values().removeIf(o -> o.attempt().machine.equals(machine));
    }

    void up(String machine) {
        hosts.get(machine).doors.forEach(Doors::openAgain);
    }

    void silence(String machine, boolean on) {
        hosts.get(machine)
                .doors
                .forEach(
                        d -> {
                            if (on) {
                                d.silence();
                            } else {
                                d.heal();
                            }
                        });
    }

    /** Cuts or heals every link between a zone and the others. */
    void cut(int zone, boolean on) {
        sever((proxy, host) -> plan.proxyZones().get(proxy) == zone != (host.zone == zone), on);
    }

    /** Breaks or heals a proxy's own link: every machine is silent to it. */
    void blind(int proxy, boolean on) {
        sever((other, host) -> other == proxy, on);
    }

    private void sever(BiPredicate<Integer, Host> which, boolean on) {
        for (Host host : hosts.values()) {
            for (int proxy = 0; proxy < host.doors.size(); proxy++) {
                if (which.test(proxy, host)) {
                    Doors doors = host.doors.get(proxy);
                    if (on) {
                        doors.silence();
                    } else {
                        doors.heal();
                    }
                }
            }
        }
    }

    /** Resets this share of new connections from now on, and of those that are idle at once. */
    void resets(String machine, double share) {
        Host host = hosts.get(machine);
        host.resetShare = share;
        for (Doors doors : host.doors) {
            for (SocketChannel channel : doors.links()) {
                Link link = channel.pipeline().get(Link.class);
                if (link != null && link.out == 0 && random.nextDouble() < share) {
                    Doors.reset(channel);
                }
            }
        }
    }

    private void accepted(SocketChannel channel, Host host, int proxy) {
        connections++;
        host.open++;
        channel.closeFuture().addListener(f -> host.open--);
        if (random.nextDouble() < host.resetShare) {
            // After the accept: the other side sees a connection that comes up and breaks.
            loop.execute(() -> Doors.reset(channel));
            return;
        }
        world.handshake(clock.now(), host.id, effects);
        Link link = new Link(channel, host, proxy, host.open > host.cap);
        channel.pipeline()
                .addLast(
                        new IdleStateHandler(0, 0, (long) idleMs, TimeUnit.MILLISECONDS),
                        link.bytes,
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY),
                        link);
    }

    /** An answer leaves its machine. */
    void answer(long number, Answer answer) {
        Out o = out.remove(number);
        if (o == null) {
            return;
        }
        Attempt a = o.attempt();
        a.ran = answer.ran();
        a.verdict = Verdict.of(answer);
        loop.schedule(
                () -> o.link().write(a, answer), (long) (o.delayMs() * 1e6), TimeUnit.NANOSECONDS);
    }

    /** One connection from a proxy. */
    private final class Link extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private final Host host;
        private final int proxy;
        private final ChannelInboundHandlerAdapter bytes = new FirstByte();
        private final Doors doors;

        /**
         * The host's table was full when it came: its first request is turned away, and it is
         * closed.
         */
        private final boolean beyond;

        private double firstByteAt = -1;
        private boolean used;
        private int out;
        private Attempt open;

        Link(SocketChannel channel, Host host, int proxy, boolean beyond) {
            this.channel = channel;
            this.host = host;
            this.proxy = proxy;
            this.doors = host.doors.get(proxy);
            this.beyond = beyond;
        }

        private final class FirstByte extends ChannelInboundHandlerAdapter {
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
            double began = firstByteAt < 0 ? now : firstByteAt;
            firstByteAt = -1;
            String id = request.headers().get("X-Call-Id");
            if (id == null) {
                if (!doors.silent()) {
                    plain(
                            request.uri().equals("/alive")
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.NOT_FOUND);
                }
                return;
            }
            LoadPlan.First first = asked.first(id);
            double delay = plan.delayMs(proxy, host.zone);
            // A new connection has come up by a round trip before its first request.
            double there = used ? delay : 3 * delay;
            used = true;
            long number = ++attempts;
            Job job =
                    first == null
                            ? null
                            : new Job(id, first.key(), writes[first.type()], first.workMs());
            // When the link is cut it never arrives, which its proxy cannot know, and nothing is
            // ever said.
            boolean silent = doors.silent();
            double weighs = job == null || silent ? 0 : world.weight(now, host.id, job);
            Attempt a =
                    new Attempt(
                            number,
                            id,
                            host.id,
                            host.origin,
                            proxy,
                            began,
                            now,
                            weighs,
                            job == null || silent ? 0 : job.workMs());
            a.atColdNode = !host.origin && world.cold(host.id, now);
            ledger.attempt(a);
            if (job == null) {
                plain(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            open = a;
            if (silent) {
                return;
            }
            out++;
            Machines.this.out.put(number, new Out(a, this, delay));
            loop.schedule(() -> arrived(a, job), (long) (there * 1e6), TimeUnit.NANOSECONDS);
        }

        private void arrived(Attempt a, Job job) {
            if (doors.silent() || !world.alive(host.id)) {
                return;
            }
            if (beyond) {
                turnedAway++;
                answer(a.number, World.rejected());
            } else {
                world.request(clock.now(), host.id, a.number, proxy, job, effects);
            }
        }

        private void plain(HttpResponseStatus status) {
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, 0);
            channel.writeAndFlush(answer);
        }

        /** The answer has crossed the link and reaches the proxy. */
        void write(Attempt a, Answer answer) {
            out--;
            if (!channel.isActive() || doors.silent()) {
                return;
            }
            open = null;
            byte[] body = body(a, answer);
            if (answer.manner() != World.Manner.WHOLE && answer.manner() != World.Manner.NEVER) {
                // It is we who end the connection.
                a.closedAt = clock.now();
            }
            switch (answer.manner()) {
                case WHOLE -> {
                    FullHttpResponse whole =
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.valueOf(answer.status()),
                                    Unpooled.wrappedBuffer(body));
                    head(whole, answer, body.length);
                    a.answeredAt = clock.now();
                    ChannelFuture written = channel.writeAndFlush(whole);
                    if (beyond) {
                        written.addListener(ChannelFutureListener.CLOSE);
                    }
                }
                case HALF -> {
                    DefaultHttpResponse head =
                            new DefaultHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.valueOf(answer.status()));
                    head(head, answer, Math.max(2, body.length));
                    channel.write(head);
                    channel.writeAndFlush(
                                    new io.netty.handler.codec.http.DefaultHttpContent(
                                            Unpooled.wrappedBuffer(body, 0, body.length / 2)))
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case SPOILT -> {
                    ByteBuf rubbish =
                            Unpooled.copiedBuffer(
                                    "HTP/x.1 2OO \u0000\r\nthis is no answer\r\n\r\n",
                                    StandardCharsets.ISO_8859_1);
                    channel.pipeline()
                            .firstContext()
                            .writeAndFlush(rubbish)
                            .addListener(ChannelFutureListener.CLOSE);
                }
                case RESET_AFTER -> Doors.reset(channel);
                case NEVER -> out++;
                default -> throw new IllegalStateException("no such manner: " + answer.manner());
            }
        }

        private void head(
                io.netty.handler.codec.http.HttpResponse response, Answer answer, int length) {
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, length);
            if (!answer.hit().isEmpty()) {
                response.headers().set("X-Hit", answer.hit());
            }
            if (answer.rejected()) {
                response.headers().set("X-Rejected", "1");
            }
            if (beyond) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        /** Names request, attempt and version, so that a client can tell what it was served. */
        private byte[] body(Attempt a, Answer answer) {
            byte[] head =
                    (a.call + ":" + a.number + ":" + answer.version() + ":")
                            .getBytes(StandardCharsets.US_ASCII);
            if (answer.status() != HttpResponseStatus.OK.code()) {
                return new byte[0];
            }
            byte[] body = new byte[Math.max(head.length, answer.bytes())];
            java.util.Arrays.fill(body, (byte) '.');
            System.arraycopy(head, 0, body, 0, head.length);
            return body;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof IdleStateEvent && out == 0) {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (open != null) {
                open.closedAt = Math.min(open.closedAt, clock.now());
                world.abandoned(open.call);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
