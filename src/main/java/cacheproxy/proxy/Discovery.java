package cacheproxy.proxy;

import cacheproxy.Router.EndpointListKind;
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
    record Times(long silenceTimeoutMs, long firstResponseTimeoutMs, long maxBackoffMs) {
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
    private static final long INITIAL_BACKOFF_MS = 50;

    /**
     * A list that comes on is waited for, as another would bring the same bytes again and be later:
     * the whole list of a large fleet takes longer than {@link Times#firstWordMs} to read. It comes
     * on if so much was read since the last look, and is waited for so long at most.
     */
    private static final int MIN_PROGRESS_BYTES = 16_384;

    private static final long MAX_TRANSFER_MS = 1000;
    private static final long PROGRESS_CHECK_INTERVAL_MS = 150;

    /** Watches that may be waited for at once. */
    private static final int MAX_PENDING_WATCHES = 4;

    /**
     * For so many that are opened after its last byte the quietest of them stays: an agent that is
     * late is late for each.
     */
    private static final int MAX_OPENED_SINCE_LAST_BYTE = 20;

    private final EventLoop loop;
    private InetSocketAddress address;
    private final Proxy proxy;
    private final boolean pushed;
    private final Times times;
    private final Runnable onMessage;
    private final ChannelFactory<Channel> channelFactory;
    private final Log log = new Log();
    private final LongSupplier nanoClock;
    private final DiscoveryOutage outage;
    private final EndpointListDiff listDiff = new EndpointListDiff();
    private final Deque<Watch> pendingWatches = new ArrayDeque<>();

    /** How many watches were opened. */
    private long openedCount;

    private Watch currentWatch;
    private long lastMessageNanos;
    private long version;

    /**
     * Whether something that the present watch told could not be read; {@link #version} stands
     * still from then on.
     */
    private boolean updateMissed;

    private long backoffMs = INITIAL_BACKOFF_MS;
    private Future<?> timer;

    /** {@code heard} runs at every list and heartbeat. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            EndpointListUpdate storedList,
            boolean pushed,
            Times times,
            Runnable onMessage) {
        this(loop, address, proxy, storedList, pushed, times, onMessage, NioSocketChannel::new);
    }

    /** For tests: with channels that may fail to be made, as where no descriptor is left. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            EndpointListUpdate storedList,
            boolean pushed,
            Times times,
            Runnable onMessage,
            ChannelFactory<Channel> channelFactory) {
        this(
                loop,
                address,
                proxy,
                storedList,
                pushed,
                times,
                onMessage,
                channelFactory,
                System::nanoTime);
    }

    /** For tests: with a monotonic clock of theirs too, in nanoseconds. */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            Proxy proxy,
            EndpointListUpdate storedList,
            boolean pushed,
            Times times,
            Runnable onMessage,
            ChannelFactory<Channel> channelFactory,
            LongSupplier nanoClock) {
        this.loop = loop;
        this.address = address;
        this.proxy = proxy;
        this.pushed = pushed;
        this.times = times;
        this.onMessage = onMessage;
        this.channelFactory = channelFactory;
        this.nanoClock = nanoClock;
        this.outage = new DiscoveryOutage(nanoClock);
        this.version = storedList == null ? 0 : storedList.version();
        if (storedList != null) {
            listDiff.changedEndpoints(storedList);
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
        outage.addressChanged();
        version = 0;
        backoffMs = INITIAL_BACKOFF_MS;
        updateMissed = false;
        Watch old = currentWatch;
        currentWatch = null;
        if (old != null) {
            old.close();
        }
        closePendingWatches();
        subscribe();
    }

    /**
     * The module's call; without effect while one is out already or the watch is well, as it may
     * come late.
     */
    void subscribe() {
        if (pendingWatches.isEmpty()
                && (currentWatch == null
                        || updateMissed
                        || msSinceLastMessage() >= times.silenceTimeoutMs)) {
            openWatch();
        }
    }

    /**
     * Asks for a watch from the last version seen; the present one is heard until the new one has
     * spoken.
     */
    private void openWatch() {
        if (pendingWatches.size() >= MAX_PENDING_WATCHES) {
            Watch leastPromising = leastPromising();
            pendingWatches.remove(leastPromising);
            leastPromising.close();
        }
        openedCount++;
        outage.attemptStarted(address);
        setTimer(times.firstResponseTimeoutMs, this::openUnlessReceiving);
        pendingWatches.addLast(new Watch());
    }

    /** Opens another beside those that are asked, unless the list of one of them is on its way. */
    private void openUnlessReceiving() {
        boolean receiving = false;
        for (Watch watch : pendingWatches) {
            receiving |= watch.isReceiving();
        }
        if (receiving) {
            setTimer(PROGRESS_CHECK_INTERVAL_MS, this::openUnlessReceiving);
        } else {
            openWatch();
        }
    }

    /**
     * Those that have begun to speak stay as long as the quietest may, and so does the first of
     * those that have not.
     */
    private Watch leastPromising() {
        List<Watch> byLastByte =
                pendingWatches.stream()
                        .sorted(Comparator.comparingLong(w -> w.openedAtLastByte))
                        .toList();
        List<Watch> withoutData = byLastByte.stream().filter(w -> !w.hasData).toList();
        if (withoutData.isEmpty()
                || openedCount - byLastByte.get(0).openedAtLastByte >= MAX_OPENED_SINCE_LAST_BYTE) {
            return byLastByte.get(0);
        }
        return withoutData.get(Math.min(1, withoutData.size() - 1));
    }

    private void setTimer(long ms, Runnable task) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer = loop.schedule(task, ms, TimeUnit.MILLISECONDS);
    }

    private long msSinceLastMessage() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - lastMessageNanos);
    }

    /**
     * A watch has said a whole word: it is the present one from here on, and no other is waited
     * for.
     */
    private void messageReceived(Watch watch) {
        lastMessageNanos = nanoClock.getAsLong();
        outage.messageReceived(address);
        if (watch == currentWatch && (pendingWatches.isEmpty() || updateMissed)) {
            return;
        }
        Watch previous = watch == currentWatch ? null : currentWatch;
        currentWatch = watch;
        updateMissed = false;
        pendingWatches.remove(watch);
        closePendingWatches();
        if (previous != null) {
            previous.close();
        }
        setTimer(times.silenceTimeoutMs, this::checkSilence);
    }

    private void closePendingWatches() {
        List.copyOf(pendingWatches)
                .forEach(
                        w -> {
                            pendingWatches.remove(w);
                            w.close();
                        });
    }

    /**
     * Looks whether the present watch has fallen silent: then it is broken, as missed heartbeats
     * are the only sign of that.
     */
    private void checkSilence() {
        long quietMs = msSinceLastMessage();
        if (quietMs < times.silenceTimeoutMs) {
            setTimer(times.silenceTimeoutMs - quietMs, this::checkSilence);
            return;
        }
        log.warnLimited("watch_silent", "version", version, "ms", quietMs);
        if (pushed) {
            openWatch();
        } else {
            setTimer(times.maxBackoffMs, this::reopenIfSilent);
            proxy.discoveryFailed();
        }
    }

    /** Asked for anew, unless it was only late. */
    private void reopenIfSilent() {
        if (msSinceLastMessage() < times.silenceTimeoutMs) {
            checkSilence();
        } else {
            openWatch();
        }
    }

    /** A watch has ended; those that were given up before are of no interest any more. */
    private void watchEnded(Watch watch) {
        boolean wasCurrent = watch == currentWatch;
        if (wasCurrent) {
            currentWatch = null;
        } else if (!pendingWatches.remove(watch)) {
            return;
        }
        if (outage.attemptFailed(watch.failureMessage())) {
            log.warnLimited("watch_lost", "version", version);
        }
        if (!pendingWatches.isEmpty()) {
            // Another is waited for already.
            return;
        }
        if (pushed) {
            retryLater();
            return;
        }
        if (wasCurrent) {
            setTimer(times.maxBackoffMs, this::openWatch);
        }
        // After a call that failed the alarm runs on from its start.
        proxy.discoveryFailed();
    }

    /**
     * The pause grows until a list has been read: one that never can be is not to be asked for
     * without end.
     */
    private void retryLater() {
        setTimer(backoffMs, this::openWatch);
        backoffMs =
                Math.min(pushed ? times.maxBackoffMs : times.firstResponseTimeoutMs, 2 * backoffMs);
    }

    /** One connection to discovery. */
    private final class Watch implements JsonObjectSplitter.Sink {
        private final ChannelFuture connecting;
        private final Channel channel;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(this);

        /** What it was asked to go on from. */
        private final long fromVersion = version;

        /** How many had been opened when its last byte came. */
        private long openedAtLastByte = openedCount;

        private boolean hasData;

        /** What was wrong with the answer; null where it was only closed. */
        private String failure;

        private long firstByteNanos;

        /** Bytes of its body so far, and those that there were at the last look. */
        private long receivedBytes;

        private long receivedAtLastCheck;

        Watch() {
            connecting =
                    new Bootstrap()
                            .group(loop)
                            .channelFactory(channelFactory)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                            .handler(
                                    new ChannelInitializer<>() {
                                        @Override
                                        protected void initChannel(Channel opened) {
                                            opened.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new ResponseHandler());
                                        }
                                    })
                            .connect(address);
            channel = connecting.channel();
            channel.closeFuture().addListener(f -> watchEnded(this));
            connecting.addListener(
                    (ChannelFuture f) -> {
                        if (f.isSuccess()) {
                            var request =
                                    new DefaultFullHttpRequest(
                                            HttpVersion.HTTP_1_1,
                                            HttpMethod.GET,
                                            "/discovery/hosts?watch=1&from=" + fromVersion);
                            request.headers().set(HttpHeaderNames.HOST, "discovery.internal");
                            channel.writeAndFlush(request);
                        } else if (!loop.isShuttingDown()) {
                            // Without a descriptor there was no channel, and none that closes.
                            loop.execute(() -> watchEnded(this));
                        }
                    });
        }

        void close() {
            if (connecting.cause() == null) {
                channel.close();
            }
        }

        /** Why it has ended, for the log. */
        private String failureMessage() {
            if (connecting.cause() != null) {
                return connecting.cause().getMessage();
            }
            return failure == null ? "closed by discovery" : failure;
        }

        /** Whether much of it has come since the last look, and it began lately. */
        private boolean isReceiving() {
            boolean hasProgress = receivedBytes - receivedAtLastCheck >= MIN_PROGRESS_BYTES;
            receivedAtLastCheck = receivedBytes;
            return hasProgress
                    && nanoClock.getAsLong() - firstByteNanos
                            < TimeUnit.MILLISECONDS.toNanos(MAX_TRANSFER_MS);
        }

        private void bytesReceived(int bytes) {
            openedAtLastByte = openedCount;
            firstByteNanos = hasData ? firstByteNanos : nanoClock.getAsLong();
            hasData = true;
            receivedBytes += bytes;
        }

        private boolean isActive() {
            return this == currentWatch || pendingWatches.contains(this);
        }

        @Override
        public boolean object(String text, boolean afterMalformed) {
            if (!isActive()) {
                return true;
            }
            try {
                EndpointListUpdate update =
                        EndpointListUpdate.parse(JsonParser.parseString(text).getAsJsonObject());
                messageReceived(this);
                if (afterMalformed) {
                    malformed();
                }
                listDiff.changedEndpoints(update)
                        .forEach(
                                endpoint ->
                                        Log.event(
                                                "list",
                                                "version",
                                                update.version(),
                                                "node",
                                                endpoint.node().id(),
                                                "availability",
                                                endpoint.node().availability(),
                                                "dial",
                                                endpoint.address()));
                proxy.endpointListReceived(
                        update.snapshot() ? EndpointListKind.SNAPSHOT : EndpointListKind.DELTA,
                        update);
                if (updateMissed && update.snapshot()) {
                    updateMissed = false;
                    closePendingWatches();
                    setTimer(times.silenceTimeoutMs, Discovery.this::checkSilence);
                }
                version = updateMissed ? version : update.version();
                backoffMs = INITIAL_BACKOFF_MS;
                onMessage.run();
                return true;
            } catch (RuntimeException e) {
                log.warnLimited("list_dropped", "cause", e.getMessage());
                return false;
            }
        }

        @Override
        public void emptyLine() {
            if (isActive()) {
                messageReceived(this);
                onMessage.run();
            }
        }

        /** What it should have said is asked for again, from the last that was understood. */
        @Override
        public void malformed() {
            if (!isActive()) {
                return;
            }
            messageReceived(this);
            if (!updateMissed) {
                log.warnLimited("list_spoilt", "version", version);
                updateMissed = true;
                retryLater();
            }
        }

        /** Passes on what a good answer's body holds; any other answer ends the try. */
        private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
                if (part.decoderResult().isFailure()) {
                    failure = "not HTTP";
                    ctx.close();
                } else if (part instanceof HttpResponse head
                        && !head.status().equals(HttpResponseStatus.OK)) {
                    failure = "HTTP status " + head.status().code();
                    ctx.close();
                } else if (part instanceof HttpContent content
                        && content.content().isReadable()
                        && isActive()) {
                    bytesReceived(content.content().readableBytes());
                    splitter.read(content.content());
                }
                if (part instanceof LastHttpContent) {
                    ctx.close();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                failure = cause.getMessage();
                if (!outage.hasFailed()) {
                    log.warnLimited("watch_broke", "cause", cause);
                }
                ctx.close();
            }
        }
    }
}
