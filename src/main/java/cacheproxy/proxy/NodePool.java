package cacheproxy.proxy;

import cacheproxy.Router.Availability;
import cacheproxy.Router.Outcome;
import cacheproxy.Router.ServiceClass;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Connections to the cache nodes and the origin. Each carries one exchange at a time; the newest
 * idle one is used first, so that the rest age and close. Nothing is ever sent a second time from
 * here: every exchange ends once, with the outcome that its own connection showed.
 */
final class NodePool {

    /**
     * Idle connections close at this part of the node's own limit: one that it closes first loses a
     * request.
     */
    private static final double IDLE_PART = 0.75;

    /**
     * How long a connection rests between two exchanges: a second copy of the answer that comes a
     * moment late would be taken for the next one's. Counted by timers, which run after all that
     * has arrived was read, also after a pause.
     */
    private static final long REST_MS = 4;

    /** Idle connections are looked through so often in the time that they may stand. */
    private static final double IDLE_SWEEPS = 10;

    /**
     * An answer that has begun and does not end in this part of the shortest aim, or at most in so
     * long, is spoilt: nodes write theirs in one go, and where one came in part its rest never did.
     * It can then still be had elsewhere in time.
     */
    private static final double STALL_PART = 0.25;

    private static final double STALL_MOST_MS = 200;
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final double idleMs;
    private final int connectTimeoutMs;
    private final int maxConnections;
    private final Map<String, Target> targets = new HashMap<>();
    private final Deque<Connection> resting = new ArrayDeque<>();
    private final IdleAges ages = new IdleAges();
    private final LongSupplier nanos;
    private final SplittableRandom random;
    private double stallMs = STALL_MOST_MS;
    private boolean restsWatched;
    private boolean idleWatched;
    private int connections;

    NodePool(
            EventLoop loop,
            Transport transport,
            double connectTimeoutMs,
            double idleMs,
            int maxConnections,
            long seed) {
        this(loop, transport, connectTimeoutMs, idleMs, maxConnections, seed, System::nanoTime);
    }

    /**
     * {@code nanos} is the clock that idle times and pauses are read from; {@code seed} spreads the
     * pauses.
     */
    NodePool(
            EventLoop loop,
            Transport transport,
            double connectTimeoutMs,
            double idleMs,
            int maxConnections,
            long seed,
            LongSupplier nanos) {
        this(loop, transport.client(loop), connectTimeoutMs, idleMs, maxConnections, seed, nanos);
    }

    /** {@code client} says over what connections are made. */
    NodePool(
            EventLoop loop,
            Bootstrap client,
            double connectTimeoutMs,
            double idleMs,
            int maxConnections,
            long seed,
            LongSupplier nanos) {
        this.loop = loop;
        this.nanos = nanos;
        this.random = new SplittableRandom(seed);
        this.idleMs = idleMs * IDLE_PART;
        this.maxConnections = maxConnections;
        this.connectTimeoutMs = Math.max(1, (int) connectTimeoutMs);
        this.bootstrap = client.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMs);
    }

    /** Takes to heart how soon answers are wanted. */
    void serve(List<ServiceClass> classes) {
        stallMs = stallMs(classes);
    }

    static double stallMs(List<ServiceClass> classes) {
        double aim =
                classes.stream()
                        .mapToDouble(ServiceClass::aimMs)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
        return Math.max(1, Math.min(STALL_MOST_MS, STALL_PART * aim));
    }

    /**
     * Takes in the list. Idle connections to a host that drains, left, moved or started anew are of
     * no use, and what has not been written there is not to be any more. The latter ends when the
     * result runs: whoever is told of it then has to know the list.
     */
    Runnable list(HostList list) {
        List<Runnable> endings = new ArrayList<>();
        if (list.whole()) {
            Set<String> named =
                    list.hosts().stream().map(h -> h.node().id()).collect(Collectors.toSet());
            List.copyOf(targets.keySet()).stream()
                    .filter(id -> !named.contains(id))
                    .forEach(id -> forget(id, endings));
        }
        for (HostList.Host host : list.hosts()) {
            Target known = targets.get(host.node().id());
            if (host.node().availability() == Availability.GONE) {
                forget(host.node().id(), endings);
            } else if (known == null
                    || !known.dial.equals(host.dial())
                    || known.bornMs != host.node().startedAtMs()) {
                forget(host.node().id(), endings);
                targets.put(host.node().id(), new Target(host.dial(), host.node().startedAtMs()));
            } else if (host.node().availability() == Availability.DRAINING) {
                closeIdle(known);
                endings.add(() -> endUnwritten(known, Outcome.NEVER_SENT));
            }
        }
        return () -> endings.forEach(Runnable::run);
    }

    private void forget(String node, List<Runnable> endings) {
        Target target = targets.remove(node);
        if (target != null) {
            closeIdle(target);
            target.current = false;
            endings.add(() -> endUnwritten(target, Outcome.CONNECT_FAILED));
        }
    }

    /** Ends what waits for a connection there, one that is coming up as well. */
    private static void endUnwritten(Target target, Outcome outcome) {
        List.copyOf(target.connecting).forEach(e -> e.abandon(outcome));
        for (Exchange e = target.nextWaiting(); e != null; e = target.nextWaiting()) {
            e.end(outcome, null);
        }
    }

    /**
     * Closes what carries nothing there, and ends what waits for a connection: its request has not
     * been written.
     */
    void closeIdle(String node) {
        Target target = targets.get(node);
        if (target != null) {
            closeIdle(target);
            endUnwritten(target, Outcome.NEVER_SENT);
        }
    }

    private void closeIdle(Target target) {
        List<Connection> all = new ArrayList<>(target.idle);
        target.idle.clear();
        resting.stream().filter(c -> c.target == target).forEach(all::add);
        resting.removeAll(all);
        all.forEach(c -> c.context.close());
    }

    int connections() {
        return connections;
    }

    /** Connections to one node, busy and idle. */
    int connections(String node) {
        Target target = targets.get(node);
        return target == null ? 0 : target.connections;
    }

    /** Whether no connection is in the pause that follows an answer. */
    boolean isRested() {
        return resting.isEmpty();
    }

    /**
     * Starts an exchange that is given up after {@code timeoutMs}. The request is made when a
     * connection is there to write it to, so that the budget it names is what is left then.
     */
    Exchange send(
            String node, Supplier<FullHttpRequest> request, double timeoutMs, Exchange.Done done) {
        return send(node, request, null, timeoutMs, Double.POSITIVE_INFINITY, done);
    }

    /**
     * As above, with a body that flows behind the request's head, null where the request is whole,
     * and with its last byte written within {@code writeWithinMs} or never.
     */
    Exchange send(
            String node,
            Supplier<? extends HttpRequest> request,
            Upload upload,
            double timeoutMs,
            double writeWithinMs,
            Exchange.Done done) {
        Exchange exchange = new Exchange(request, upload, done, loop, ages, nanos);
        exchange.limit(timeoutMs);
        exchange.writeWithin(writeWithinMs);
        Target target = targets.get(node);
        if (target == null) {
            exchange.end(Outcome.CONNECT_FAILED, null);
            return exchange;
        }
        if (!exchange.mayBeWritten()) {
            return exchange;
        }
        Connection idle = newestIdle(target);
        if (idle != null) {
            idle.write(exchange);
        } else if (target.table.pausing(nanos.getAsLong())) {
            waitFor(target, exchange);
        } else if (connections < maxConnections || closeOldestIdle()) {
            connect(target, exchange);
        } else {
            // Out of descriptors: opening one more could leave none for a client that is being
            // accepted. The node is
            // not to blame, so this must not look like a failure of its own.
            exchange.end(Outcome.NEVER_SENT, null);
        }
        return exchange;
    }

    /**
     * Until a connection of ours comes free or one more may be tried, and no longer than making one
     * may take: what waits until its own time is up is answered late, and the module learns of it
     * too late.
     */
    private void waitFor(Target target, Exchange exchange) {
        target.waiting.addLast(exchange);
        loop.schedule(exchange::unconnected, connectTimeoutMs, TimeUnit.MILLISECONDS);
        openLater(target);
    }

    private void openLater(Target target) {
        if (!target.opening && !target.waiting.isEmpty()) {
            target.opening = true;
            long pause =
                    Math.max(
                            TimeUnit.MILLISECONDS.toNanos(REST_MS),
                            target.table.leftNanos(nanos.getAsLong()));
            loop.schedule(() -> open(target), pause, TimeUnit.NANOSECONDS);
        }
    }

    /** Tries one more connection for the exchange that has waited longest. */
    private void open(Target target) {
        target.opening = false;
        if (!target.table.pausing(nanos.getAsLong())
                && (connections < maxConnections || closeOldestIdle())) {
            Exchange first = target.nextWaiting();
            if (first != null) {
                connect(target, first);
            }
        }
        openLater(target);
    }

    private Connection newestIdle(Target target) {
        long now = nanos.getAsLong();
        double limit = Math.min(idleMs, ages.limitMs(now));
        for (Connection c = target.idle.pollFirst(); c != null; c = target.idle.pollFirst()) {
            if (c.idleMs(now) >= limit) {
                c.context.close();
            } else if (c.isQuiet()) {
                return c;
            } else {
                c.context.close();
            }
        }
        return null;
    }

    /** Closes what has been idle for too long; runs as long as something is idle. */
    private void watchIdle() {
        if (!idleWatched && idleMs < Long.MAX_VALUE / 1e6) {
            idleWatched = true;
            loop.schedule(
                    this::closeAged,
                    (long) (Math.min(idleMs / IDLE_SWEEPS, FullTable.SPARE_MS) * 1e6),
                    TimeUnit.NANOSECONDS);
        }
    }

    private void closeAged() {
        long now = nanos.getAsLong();
        double limit = Math.min(idleMs, ages.limitMs(now));
        boolean left = false;
        for (Target target : targets.values()) {
            int spare = target.connections - 1;
            for (Connection c = target.idle.peekLast();
                    c != null
                            && c.idleMs(now)
                                    >= (spare > 0 ? Math.min(limit, FullTable.SPARE_MS) : limit);
                    c = target.idle.peekLast()) {
                spare--;
                target.idle.removeLast();
                c.context.close();
            }
            left |= !target.idle.isEmpty();
        }
        idleWatched = false;
        if (left) {
            watchIdle();
        }
    }

    private void connect(Target target, Exchange exchange) {
        Connection connection = new Connection(target);
        ChannelFuture connecting =
                bootstrap
                        .clone()
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpRequestEncoder(),
                                                        connection.bytes,
                                                        connection.decoder,
                                                        new Answers(),
                                                        connection);
                                    }
                                })
                        .connect(target.dial);
        if (connecting.isDone()) {
            // Connecting itself is a later step: no socket could be made, as descriptors are out,
            // and the node is not to blame.
            exchange.end(Outcome.NEVER_SENT, null);
            return;
        }
        connections++;
        target.connections++;
        exchange.channel = connecting.channel();
        target.connecting.add(exchange);
        connecting
                .channel()
                .closeFuture()
                .addListener(
                        f -> {
                            connections--;
                            target.connections--;
                        });
        connecting.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        target.connecting.remove(exchange);
                        connecting.channel().close();
                        exchange.end(Outcome.CONNECT_FAILED, null);
                    } else {
                        connected(target, connection, exchange);
                    }
                });
    }

    private static void connected(Target target, Connection connection, Exchange exchange) {
        target.connecting.remove(exchange);
        if (exchange.mayBeWritten() && connection.isQuiet()) {
            connection.write(exchange);
        } else {
            connection.context.close();
            exchange.broken();
        }
    }

    /** Makes room for a connection that is needed now; false if every one is busy. */
    private boolean closeOldestIdle() {
        Connection oldest = resting.peekFirst();
        for (Target target : targets.values()) {
            Connection candidate = target.idle.peekLast();
            if (candidate != null
                    && (oldest == null || candidate.idleSince - oldest.idleSince < 0)) {
                oldest = candidate;
            }
        }
        if (oldest != null) {
            resting.remove(oldest);
            oldest.target.idle.remove(oldest);
            oldest.context.close();
        }
        return oldest != null;
    }

    /** A host's address, its idle connections, newest first, and what waits for one. */
    private static final class Target {
        final SocketAddress dial;
        final double bornMs;
        final Deque<Connection> idle = new ArrayDeque<>();

        /**
         * False once the list has moved on: connections that come free then must not wait for a
         * use.
         */
        boolean current = true;

        final Deque<Exchange> waiting = new ArrayDeque<>();

        /** Those for which a connection is being opened. */
        final Set<Exchange> connecting = new HashSet<>();

        int connections;
        final FullTable table = new FullTable();
        private boolean opening;

        Target(SocketAddress dial, double bornMs) {
            this.dial = dial;
            this.bornMs = bornMs;
        }

        Exchange nextWaiting() {
            Exchange next = waiting.pollFirst();
            while (next != null && !next.mayBeWritten()) {
                next = waiting.pollFirst();
            }
            return next;
        }
    }

    /** Hands connections back whose rest is over; runs as long as some are left. */
    private void endRests() {
        long now = nanos.getAsLong();
        while (!resting.isEmpty()
                && now - resting.peekFirst().idleSince >= TimeUnit.MILLISECONDS.toNanos(REST_MS)) {
            resting.removeFirst().rested();
        }
        restsWatched = false;
        watchRests();
    }

    private void watchRests() {
        if (!restsWatched && !resting.isEmpty()) {
            restsWatched = true;
            loop.schedule(this::endRests, REST_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** One connection to a host. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final Target target;
        private final StrictHttp.Responses decoder = new StrictHttp.Responses();
        private final Bytes bytes = new Bytes();
        private ChannelHandlerContext context;
        private Exchange current;

        /**
         * The whole answer, until the read that brought it is over and shows whether more came with
         * it.
         */
        private FullHttpResponse answer;

        private boolean more;
        private int begun;

        /** When its latest bytes came. */
        private long lastFlowed;

        /** Whether the long answer that flows on it leaves it open. */
        private boolean keeps;

        /**
         * Whether nothing but the connection's end ends the long answer; and whether the node has
         * ended its half, no reset.
         */
        private boolean endsByClose;

        private boolean ended;
        private Future<?> stallTimer;
        private long idleSince;
        private boolean used;
        private boolean answered;

        /**
         * Opened after one was turned away: only such a one tells whether the node takes
         * connections again.
         */
        private final boolean tried;

        Connection(Target target) {
            this.target = target;
            this.tried = target.table.met();
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        void write(Exchange exchange) {
            current = exchange;
            begun = 0;
            exchange.idleMs = used ? idleMs(nanos.getAsLong()) : 0;
            used = true;
            exchange.channel = context.channel();
            // The promise covers head and body: it fails if the connection breaks before the last
            // byte is written.
            context.writeAndFlush(exchange.request())
                    .addListener(
                            f -> {
                                if (!f.isSuccess()) {
                                    context.close();
                                    exchange.broken();
                                } else if (exchange.upload == null) {
                                    exchange.written = true;
                                }
                            });
            if (exchange.upload != null) {
                exchange.upload.take(context.channel(), () -> exchange.written = true);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (current != null && current.upload != null) {
                current.upload.flow();
            }
        }

        /**
         * Whether nothing has come on it since its last answer: neither an end nor bytes that the
         * next answer would begin with.
         */
        boolean isQuiet() {
            return context.channel().isActive()
                    && (!(context.channel() instanceof NodeChannel node) || node.isQuiet());
        }

        double idleMs(long now) {
            return Math.max(1, now - idleSince) / 1e6;
        }

        /** Whether bytes that have come can belong to the answer that is awaited. */
        private boolean expected(ByteBuf in) {
            if (current == null
                    || current.over && current.rest == null
                    || !current.written && current.upload == null) {
                return false;
            }
            for (int i = in.readerIndex();
                    begun < START.length && i < in.writerIndex();
                    i++, begun++) {
                if (in.getByte(i) != START[begun]) {
                    return false;
                }
            }
            current.answering = true;
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part instanceof FullHttpResponse response) {
                whole(ctx, response);
            } else if (part instanceof HttpResponse head) {
                begin(ctx, head);
            } else if (current != null && current.rest != null) {
                flow(ctx, ((HttpContent) part).retain());
            }
        }

        /**
         * A long answer: what is not good would be passed on in vain, and of one by far too long
         * the rest never ends.
         */
        private void begin(ChannelHandlerContext ctx, HttpResponse head) {
            if (current == null || answer != null) {
                more = true;
            } else if (outcome(head) != Outcome.OK || !tellsItsEnd(head)) {
                fail(ctx, null);
            } else {
                stopStallTimer();
                keeps = HttpUtil.isKeepAlive(head);
                endsByClose = !tellsLength(head);
                current.begin(head);
                if (current.rest == null) {
                    ctx.close();
                }
            }
        }

        private void flow(ChannelHandlerContext ctx, HttpContent part) {
            Exchange exchange = current;
            if (part.decoderResult().isFailure()) {
                part.release();
                fail(ctx, part.decoderResult().cause());
            } else if (part instanceof LastHttpContent && endsByClose && !ended) {
                part.release();
                fail(ctx, null);
            } else if (part instanceof LastHttpContent) {
                current = null;
                release(exchange, keeps && ctx.channel().isActive());
                taken();
                exchange.lastPart(part);
            } else {
                exchange.rest.part(part);
            }
        }

        /**
         * The node has answered on it: if it was tried after one was turned away, there is room
         * again.
         */
        private void taken() {
            if (!answered && tried) {
                target.table.tookOne();
            }
            answered = true;
        }

        private void whole(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (current == null || answer != null) {
                more = true;
            } else if (response.decoderResult().isFailure()) {
                fail(ctx, response.decoderResult().cause());
            } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                begun = 0;
            } else if (!tellsLength(response) && !(ended && saidToClose(response))) {
                // Nothing but the end of the connection ended it, so nobody can tell whether it is
                // whole; a reset is no end.
                current.broken();
            } else {
                answer = response.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (answer != null) {
                finish();
            } else if (current != null && begun > 0 && current.rest == null && stallTimer == null) {
                watchStall(ctx, current, stallMs);
            }
        }

        /** An answer that comes on in pieces is waited for; one that has stopped is not. */
        private void watchStall(ChannelHandlerContext ctx, Exchange watched, double waitMs) {
            stallTimer =
                    loop.schedule(
                            () -> {
                                stallTimer = null;
                                double quietMs = (nanos.getAsLong() - lastFlowed) / 1e6;
                                if (current != watched || begun == 0) {
                                    return;
                                } else if (quietMs >= stallMs) {
                                    fail(ctx, null);
                                } else {
                                    watchStall(ctx, watched, stallMs - quietMs);
                                }
                            },
                            (long) (waitMs * 1e6),
                            TimeUnit.NANOSECONDS);
        }

        private void stopStallTimer() {
            if (stallTimer != null) {
                stallTimer.cancel(false);
                stallTimer = null;
            }
        }

        /**
         * Ends the exchange with its answer. What came behind it would be taken for the next one's.
         */
        private void finish() {
            FullHttpResponse response = answer;
            Exchange exchange = current;
            answer = null;
            current = null;
            stopStallTimer();
            release(exchange, !more && HttpUtil.isKeepAlive(response));
            Outcome outcome = outcome(response);
            if (!answered && outcome == Outcome.REJECTED && !HttpUtil.isKeepAlive(response)) {
                // A new connection that is closed again unheard: the node's table is full, whatever
                // its cores do.
                outcome = Outcome.CONNECT_FAILED;
                target.table.turnedAway(nanos.getAsLong(), random.nextDouble());
                answered = true;
            } else {
                taken();
            }
            try {
                exchange.end(outcome, response);
            } finally {
                response.release();
            }
        }

        /**
         * Keeps the connection for another exchange if it may be, and if all was read and written
         * on it that was due.
         */
        private void release(Exchange done, boolean mayKeep) {
            // The last part may have come while the connection was held back for its reader.
            context.channel().config().setAutoRead(true);
            boolean sent = done.upload == null || done.written;
            if (mayKeep && sent && !decoder.leftOver() && target.current) {
                idleSince = nanos.getAsLong();
                resting.addLast(this);
                watchRests();
            } else {
                context.close();
            }
        }

        private void rested() {
            if (!isQuiet() || !target.current) {
                context.close();
                return;
            }
            Exchange waits = target.nextWaiting();
            if (waits != null) {
                write(waits);
                return;
            }
            target.idle.addFirst(this);
            watchIdle();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                ctx.close();
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            target.idle.remove(this);
            resting.remove(this);
            if (answer != null) {
                finish();
            } else if (current != null) {
                current.cutShort();
                current.broken();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(ctx, cause);
        }

        /**
         * A connection that broke ends its exchange as such, also inside an answer; else the answer
         * makes no sense.
         */
        private void fail(ChannelHandlerContext ctx, Throwable cause) {
            boolean broke =
                    cause instanceof IOException
                            || cause instanceof PrematureChannelClosureException;
            if (answer != null) {
                more = true;
                finish();
            } else if (current != null && current.rest != null) {
                current.cutShort();
            } else if (current != null && !broke && (current.written || current.answering)) {
                current.end(Outcome.ERROR, null);
            } else if (current != null) {
                current.broken();
            }
            ctx.close();
        }

        /**
         * Sees bytes before they are decoded. Those that come while nothing is awaited, or before
         * the request is out, belong to an older one, and those that start no answer would only be
         * seen as such at the end of a line.
         */
        private final class Bytes extends ChannelInboundHandlerAdapter {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (answer != null) {
                    more = true;
                    ReferenceCountUtil.release(message);
                } else if (message instanceof ByteBuf in && !expected(in)) {
                    in.release();
                    fail(context, null);
                } else {
                    lastFlowed = nanos.getAsLong();
                    ctx.fireChannelRead(message);
                }
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                ended |= event instanceof ChannelInputShutdownEvent;
                ctx.fireUserEventTriggered(event);
            }
        }
    }

    /** Puts answers together; one that is longer than any may be makes no sense. */
    private static final class Answers extends Gatherer {
        @Override
        FullHttpMessage whole(HttpMessage head, CompositeByteBuf body) {
            HttpResponse response = (HttpResponse) head;
            return new DefaultFullHttpResponse(
                    response.protocolVersion(),
                    response.status(),
                    body,
                    response.headers(),
                    EmptyHttpHeaders.INSTANCE);
        }
    }

    /**
     * Whether the end of an answer can be told from its being cut off, as far as a connection's end
     * can tell it.
     */
    private static boolean tellsItsEnd(HttpResponse response) {
        return tellsLength(response) || saidToClose(response);
    }

    private static boolean tellsLength(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Whether an answer that names no length said that its connection's end would be its own. */
    private static boolean saidToClose(HttpResponse response) {
        return response.headers()
                .contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private static Outcome outcome(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return switch (status.code()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 ->
                    "1".equals(response.headers().get("X-Rejected"))
                            ? Outcome.REJECTED
                            : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
