package cacheproxy.proxy;

import cacheproxy.Router.ListKind;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The watch on the list of hosts. Where lists are pushed it is kept up from the start. Where
 * discovery is asked the module has the first call and decides how soon one follows that failed;
 * whatever it decides, this side lets no more than {@link Times#firstWordMs} go by from one call to
 * the next while nobody speaks, as a change counts as told 6 s after discovery had it and could be
 * reached.
 *
 * <p>One watch is the present one. Those that were opened to follow it are asked beside it, and the
 * first that says a whole word, a list or a heartbeat, takes its place: nobody stops listening to
 * one that may still speak. One timer, {@link #alarm}, owns what happens next.
 */
final class Discovery {

    /**
     * How long a watch may say nothing, how soon another is opened beside one that has not said its
     * first word, and the longest that goes by after the end of one that had spoken, or after
     * something that could not be read.
     */
    record Times(long silentMs, long firstWordMs, long backoffMostMs) {
        /**
         * A heartbeat comes every 2 s, and what a silent watch misses counts as told 6 s after its
         * last: two missed, and the rest is for a new one. The agent that pushes is on this machine
         * and answers at once, at no cost.
         */
        static final Times PUSHED = new Times(4500, 150, 150);

        /**
         * A service that is asked serves calls in turn, and gives them up after 2 s: one that is
         * reached just after a call was lost has the next within 1.9 s and its answer here within
         * 3.9. Where a watch that had spoken breaks, the module's own call comes before 400 ms.
         */
        static final Times ASKED = new Times(4500, 1900, 400);
    }

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long FIRST_BACKOFF_MS = 50;

    /**
     * A list that comes on is waited for, as another would bring the same bytes again and be later:
     * the whole list of a large fleet takes longer than {@link Times#firstWordMs} to read. It comes
     * on if so much was read since the last look, and is waited for so long at most.
     */
    private static final int FLOWING_BYTES = 16_384;

    private static final long FLOWING_MOST_MS = 1000;
    private static final long FLOWING_LOOK_MS = 150;

    /** Watches that may be waited for at once. */
    private static final int MOST_ASKED = 4;

    /**
     * For so many that are opened after its last byte the quietest of them stays: an agent that is
     * late is late for each.
     */
    private static final int PATIENT_FOR = 20;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Proxy proxy;
    private final boolean pushed;
    private final Times times;
    private final Runnable heard;
    private final ChannelFactory<Channel> channels;
    private final Log log = new Log();
    private final LongSupplier nanos;
    private final DiscoveryOutage outage;
    private final ListChanges changes = new ListChanges();
    private final Deque<Watch> asked = new ArrayDeque<>();

    /** How many watches were opened. */
    private long opened;

    private Watch present;
    private long heardAt;
    private long version;

    /**
     * Whether something that the present watch told could not be read; {@link #version} stands
     * still from then on.
     */
    private boolean missed;

    private long backoffMs = FIRST_BACKOFF_MS;
    private Future<?> alarm;

    /** {@code heard} runs at every list and heartbeat. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            HostList known,
            boolean pushed,
            Times times,
            Runnable heard) {
        this(loop, address, proxy, known, pushed, times, heard, NioSocketChannel::new);
    }

    /** For tests: with channels that may fail to be made, as where no descriptor is left. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            HostList known,
            boolean pushed,
            Times times,
            Runnable heard,
            ChannelFactory<Channel> channels) {
        this(loop, address, proxy, known, pushed, times, heard, channels, System::nanoTime);
    }

    /** For tests: with a monotonic clock of theirs too, in nanoseconds. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            HostList known,
            boolean pushed,
            Times times,
            Runnable heard,
            ChannelFactory<Channel> channels,
            LongSupplier nanos) {
        this.loop = loop;
        this.address = address;
        this.proxy = proxy;
        this.pushed = pushed;
        this.times = times;
        this.heard = heard;
        this.channels = channels;
        this.nanos = nanos;
        this.outage = new DiscoveryOutage(nanos);
        this.version = known == null ? 0 : known.version();
        if (known != null) {
            changes.of(known);
        }
    }

    void start() {
        if (pushed) {
            subscribe();
        }
    }

    /**
     * Goes on at another address, from nothing: what the old one numbered may mean something else
     * there. The module keeps its list until the new one has told its own; nothing more of the old
     * watch is heard.
     */
    void moveTo(InetSocketAddress next) {
        if (next.equals(address)) {
            return;
        }
        address = next;
        outage.moved();
        version = 0;
        backoffMs = FIRST_BACKOFF_MS;
        missed = false;
        Watch old = present;
        present = null;
        if (old != null) {
            old.close();
        }
        closeAsked();
        subscribe();
    }

    /**
     * The module's call; without effect while one is out already or the watch is well, as it may
     * come late.
     */
    void subscribe() {
        if (asked.isEmpty() && (present == null || missed || quietMs() >= times.silentMs)) {
            open();
        }
    }

    /**
     * Asks for a watch from the last version seen; the present one is heard until the new one has
     * spoken.
     */
    private void open() {
        if (asked.size() >= MOST_ASKED) {
            Watch least = leastHopeful();
            asked.remove(least);
            least.close();
        }
        opened++;
        outage.attempt(address);
        alarm(times.firstWordMs, this::openUnlessFlowing);
        asked.addLast(new Watch());
    }

    /** Opens another beside those that are asked, unless the list of one of them is on its way. */
    private void openUnlessFlowing() {
        boolean flowing = false;
        for (Watch watch : asked) {
            flowing |= watch.flows();
        }
        if (flowing) {
            alarm(FLOWING_LOOK_MS, this::openUnlessFlowing);
        } else {
            open();
        }
    }

    /**
     * Those that have begun to speak stay as long as the quietest may, and so does the first of
     * those that have not.
     */
    private Watch leastHopeful() {
        List<Watch> quietest =
                asked.stream().sorted(Comparator.comparingLong(w -> w.openedThen)).toList();
        List<Watch> mute = quietest.stream().filter(w -> !w.begun).toList();
        if (mute.isEmpty() || opened - quietest.get(0).openedThen >= PATIENT_FOR) {
            return quietest.get(0);
        }
        return mute.get(Math.min(1, mute.size() - 1));
    }

    private void alarm(long ms, Runnable what) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = loop.schedule(what, ms, TimeUnit.MILLISECONDS);
    }

    private long quietMs() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong() - heardAt);
    }

    /**
     * A watch has said a whole word: it is the present one from here on, and no other is waited
     * for.
     */
    private void spoke(Watch watch) {
        heardAt = nanos.getAsLong();
        outage.heard(address);
        if (watch == present && (asked.isEmpty() || missed)) {
            return;
        }
        Watch before = watch == present ? null : present;
        present = watch;
        missed = false;
        asked.remove(watch);
        closeAsked();
        if (before != null) {
            before.close();
        }
        alarm(times.silentMs, this::listen);
    }

    private void closeAsked() {
        List.copyOf(asked)
                .forEach(
                        w -> {
                            asked.remove(w);
                            w.close();
                        });
    }

    /**
     * Looks whether the present watch has fallen silent: then it is broken, as missed heartbeats
     * are the only sign of that.
     */
    private void listen() {
        long quietMs = quietMs();
        if (quietMs < times.silentMs) {
            alarm(times.silentMs - quietMs, this::listen);
            return;
        }
        log.odd("watch_silent", "version", version, "ms", quietMs);
        if (pushed) {
            open();
        } else {
            alarm(times.backoffMostMs, this::stillSilent);
            proxy.discoveryRefused();
        }
    }

    /** Asked for anew, unless it was only late. */
    private void stillSilent() {
        if (quietMs() < times.silentMs) {
            listen();
        } else {
            open();
        }
    }

    /** A watch has ended; those that were given up before are of no interest any more. */
    private void ended(Watch watch) {
        boolean had = watch == present;
        if (had) {
            present = null;
        } else if (!asked.remove(watch)) {
            return;
        }
        if (outage.failed(watch.error())) {
            log.odd("watch_lost", "version", version);
        }
        if (!asked.isEmpty()) {
            // Another is waited for already.
            return;
        }
        if (pushed) {
            againLater();
            return;
        }
        if (had) {
            alarm(times.backoffMostMs, this::open);
        }
        // After a call that failed the alarm runs on from its start.
        proxy.discoveryRefused();
    }

    /**
     * The pause grows until a list has been read: one that never can be is not to be asked for
     * without end.
     */
    private void againLater() {
        alarm(backoffMs, this::open);
        backoffMs = Math.min(pushed ? times.backoffMostMs : times.firstWordMs, 2 * backoffMs);
    }

    /** One connection to discovery. */
    private final class Watch implements JsonObjects.Sink {
        private final ChannelFuture connecting;
        private final Channel channel;
        private final JsonObjects objects = new JsonObjects(this);

        /** What it was asked to go on from. */
        private final long from = version;

        /** How many had been opened when its last byte came. */
        private long openedThen = opened;

        private boolean begun;

        /** What was wrong with the answer; null where it was only closed. */
        private String fault;

        private long begunAt;

        /** Bytes of its body so far, and those that there were at the last look. */
        private long read;

        private long readBefore;

        Watch() {
            connecting =
                    new Bootstrap()
                            .group(loop)
                            .channelFactory(channels)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .handler(
                                    new ChannelInitializer<>() {
                                        @Override
                                        protected void initChannel(Channel opened) {
                                            opened.pipeline()
                                                    .addLast(new HttpClientCodec(), new Body());
                                        }
                                    })
                            .connect(address);
            channel = connecting.channel();
            channel.closeFuture().addListener(f -> ended(this));
            connecting.addListener(
                    (ChannelFuture f) -> {
                        if (f.isSuccess()) {
                            var request =
                                    new DefaultFullHttpRequest(
                                            HttpVersion.HTTP_1_1,
                                            HttpMethod.GET,
                                            "/discovery/hosts?watch=1&from=" + from);
                            request.headers().set(HttpHeaderNames.HOST, "discovery.internal");
                            channel.writeAndFlush(request);
                        } else if (!loop.isShuttingDown()) {
                            // Without a descriptor there was no channel, and none that closes.
                            loop.execute(() -> ended(this));
                        }
                    });
        }

        void close() {
            if (connecting.cause() == null) {
                channel.close();
            }
        }

        /** Why it has ended, for the log. */
        private String error() {
            if (connecting.cause() != null) {
                return connecting.cause().getMessage();
            }
            return fault == null ? "closed by discovery" : fault;
        }

        /** Whether much of it has come since the last look, and it began lately. */
        private boolean flows() {
            boolean much = read - readBefore >= FLOWING_BYTES;
            readBefore = read;
            return much
                    && nanos.getAsLong() - begunAt < TimeUnit.MILLISECONDS.toNanos(FLOWING_MOST_MS);
        }

        private void took(int bytes) {
            openedThen = opened;
            begunAt = begun ? begunAt : nanos.getAsLong();
            begun = true;
            read += bytes;
        }

        private boolean counts() {
            return this == present || asked.contains(this);
        }

        @Override
        public boolean object(String text, boolean behindSpoilt) {
            if (!counts()) {
                return true;
            }
            try {
                HostList list = HostList.parse(JsonParser.parseString(text).getAsJsonObject());
                spoke(this);
                if (behindSpoilt) {
                    spoilt();
                }
                changes.of(list)
                        .forEach(
                                h ->
                                        Log.event(
                                                "list",
                                                "version",
                                                list.version(),
                                                "node",
                                                h.node().id(),
                                                "availability",
                                                h.node().availability(),
                                                "dial",
                                                h.dial()));
                proxy.hosts(list.whole() ? ListKind.FULL : ListKind.CHANGES, list);
                if (missed && list.whole()) {
                    missed = false;
                    closeAsked();
                    alarm(times.silentMs, Discovery.this::listen);
                }
                version = missed ? version : list.version();
                backoffMs = FIRST_BACKOFF_MS;
                heard.run();
                return true;
            } catch (RuntimeException e) {
                log.odd("list_dropped", "cause", e.getMessage());
                return false;
            }
        }

        @Override
        public void emptyLine() {
            if (counts()) {
                spoke(this);
                heard.run();
            }
        }

        /** What it should have said is asked for again, from the last that was understood. */
        @Override
        public void spoilt() {
            if (!counts()) {
                return;
            }
            spoke(this);
            if (!missed) {
                log.odd("list_spoilt", "version", version);
                missed = true;
                againLater();
            }
        }

        /** Passes on what a good answer's body holds; any other answer ends the try. */
        private final class Body extends SimpleChannelInboundHandler<HttpObject> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
                if (part.decoderResult().isFailure()) {
                    fault = "not HTTP";
                    ctx.close();
                } else if (part instanceof HttpResponse head
                        && !head.status().equals(HttpResponseStatus.OK)) {
                    fault = "HTTP status " + head.status().code();
                    ctx.close();
                } else if (part instanceof HttpContent content
                        && content.content().isReadable()
                        && counts()) {
                    took(content.content().readableBytes());
                    objects.read(content.content());
                }
                if (part instanceof LastHttpContent) {
                    ctx.close();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                fault = cause.getMessage();
                if (!outage.hasFailed()) {
                    log.odd("watch_broke", "cause", cause);
                }
                ctx.close();
            }
        }
    }
}
