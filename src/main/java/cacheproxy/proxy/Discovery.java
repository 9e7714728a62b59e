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
 * Watches the endpoint list of discovery. Where discovery pushes the list, a watch is open from the
 * start. Where the list has to be requested, the decision module makes the first call and decides
 * how soon a call follows a failed one. In either case this class makes the next call no later than
 * {@link Times#firstResponseTimeoutMs} after one that got no response, because a change counts as
 * notified 6 s after discovery has it and is reachable.
 *
 * <p>One watch is the current one. Its possible successors are opened beside it, and the first of
 * them that delivers a complete message, an endpoint list or a heartbeat, replaces it. So a watch
 * that may still deliver is never closed early. A single timer, {@link #timer}, triggers the next
 * step.
 */
final class Discovery {

    /**
     * Timeouts of watches.
     *
     * @param silenceTimeoutMs time without a message after which a watch is considered broken
     * @param firstResponseTimeoutMs time after which another watch is opened beside one that has
     *     not delivered its first message
     * @param maxBackoffMs longest pause after the end of a watch that had delivered messages, or
     *     after a malformed message
     */
    record Times(long silenceTimeoutMs, long firstResponseTimeoutMs, long maxBackoffMs) {
        /**
         * For an agent that pushes the list. Heartbeats arrive every 2 s, and what a silent watch
         * misses counts as notified 6 s after its last message; 4.5 s allow two missed heartbeats
         * and leave the rest for a new watch. The agent runs on the same machine and answers
         * immediately, so another attempt is cheap.
         */
        static final Times PUSHED = new Times(4500, 150, 150);

        /**
         * For a service that has to be asked. It handles calls one after another and abandons a
         * call after 2 s. If it becomes reachable just after a call was lost, the next call follows
         * within 1.9 s and its response arrives within 3.9 s. If a watch that had delivered
         * messages breaks, the module calls again before 400 ms have passed.
         */
        static final Times ASKED = new Times(4500, 1900, 400);
    }

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final long INITIAL_BACKOFF_MS = 50;

    /**
     * A list that is still arriving is waited for, because another call would transfer the same
     * bytes again and complete later: the full list of a large fleet takes longer to read than
     * {@link Times#firstResponseTimeoutMs}. A transfer makes progress if this many bytes were read
     * since the last check, and is waited for up to {@link #MAX_TRANSFER_MS}.
     */
    private static final int MIN_PROGRESS_BYTES = 16_384;

    private static final long MAX_TRANSFER_MS = 1000;
    private static final long PROGRESS_CHECK_INTERVAL_MS = 150;

    /** Maximum number of watches waiting for their first message. */
    private static final int MAX_PENDING_WATCHES = 4;

    /**
     * Number of watches that may be opened after a watch's last byte before that watch may be
     * closed: a slow agent is slow for all of them, so a newer watch would not be faster.
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

    /** Number of watches opened so far. */
    private long openedCount;

    private Watch currentWatch;
    private long lastMessageNanos;
    private long version;

    /**
     * Whether a message of the current watch was malformed, so that an update may be missing.
     * {@link #version} does not advance from then on.
     */
    private boolean updateMissed;

    private long backoffMs = INITIAL_BACKOFF_MS;
    private Future<?> timer;

    /** {@code onMessage} runs at every endpoint list and heartbeat. */
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

    /** For tests: with channels that cannot be created, as without free file descriptors. */
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

    /** For tests: also with a given monotonic clock in nanoseconds. */
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
     * Moves to another address and starts from version 0 there, as version numbers of the old
     * address may have another meaning. The module keeps its endpoint list until the new address
     * has delivered one. Messages of the old watch are ignored.
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
     * Called by the decision module. The call may come late, so it has no effect while another
     * watch is pending or the current one is healthy.
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
     * Opens a watch from the last version seen. The current watch stays active until the new one
     * has delivered a message.
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

    /** Opens another watch unless a list is arriving on one of the pending watches. */
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
     * Selects the pending watch to close. Watches that have received bytes are kept up to {@link
     * #MAX_OPENED_SINCE_LAST_BYTE}, and so is the oldest of those that have not received any. Where
     * all have received bytes, the oldest is the furthest and is kept for as long as a watch may be
     * without a message.
     */
    private Watch leastPromising() {
        List<Watch> byLastByte =
                pendingWatches.stream()
                        .sorted(Comparator.comparingLong(w -> w.openedAtLastByte))
                        .toList();
        List<Watch> withoutData = byLastByte.stream().filter(w -> !w.hasData).toList();
        if (openedCount - byLastByte.get(0).openedAtLastByte >= MAX_OPENED_SINCE_LAST_BYTE) {
            return byLastByte.get(0);
        }
        if (!withoutData.isEmpty()) {
            return oldestOrNext(withoutData, false);
        }
        List<Watch> byAge = List.copyOf(pendingWatches);
        return oldestOrNext(byAge, byAge.get(0).isOverdue());
    }

    private static Watch oldestOrNext(List<Watch> byAge, boolean oldest) {
        return byAge.get(oldest ? 0 : Math.min(1, byAge.size() - 1));
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
     * A watch has delivered a complete message. It becomes the current watch, and the pending ones
     * are closed.
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
     * Checks whether the current watch has become silent. Missed heartbeats are the only sign that
     * a watch is broken.
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

    /** Opens a watch if the current one is still silent, not merely late. */
    private void reopenIfSilent() {
        if (msSinceLastMessage() < times.silenceTimeoutMs) {
            checkSilence();
        } else {
            openWatch();
        }
    }

    /** A watch has ended. Watches that were closed deliberately are ignored. */
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
            // Another watch is pending already.
            return;
        }
        if (pushed) {
            retryLater();
            return;
        }
        if (wasCurrent) {
            setTimer(times.maxBackoffMs, this::openWatch);
        }
        // After a failed call the timer that was set when the call was made stays in effect.
        proxy.discoveryFailed();
    }

    /**
     * Opens a watch after a pause. The pause grows until a list has been read, so that a list that
     * can never be parsed is not requested at a high rate.
     */
    private void retryLater() {
        setTimer(backoffMs, this::openWatch);
        backoffMs =
                Math.min(pushed ? times.maxBackoffMs : times.firstResponseTimeoutMs, 2 * backoffMs);
    }

    /** One watch: a connection to discovery with a streamed response. */
    private final class Watch implements JsonObjectSplitter.Sink {
        private final ChannelFuture connecting;
        private final Channel channel;
        private final JsonObjectSplitter splitter = new JsonObjectSplitter(this);

        /** The version after which updates were requested. */
        private final long fromVersion = version;

        /** The number of watches opened when this watch's last byte arrived. */
        private long openedAtLastByte = openedCount;

        private boolean hasData;

        /** Why the response was rejected; null if the connection was only closed. */
        private String failure;

        private long firstByteNanos;

        /** Body bytes received so far, and their number at the last progress check. */
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
                            // Without a file descriptor no channel was created, so none closes.
                            loop.execute(() -> watchEnded(this));
                        }
                    });
        }

        void close() {
            if (connecting.cause() == null) {
                channel.close();
            }
        }

        /** Why the watch has ended, for the log. */
        private String failureMessage() {
            if (connecting.cause() != null) {
                return connecting.cause().getMessage();
            }
            return failure == null ? "closed by discovery" : failure;
        }

        /** Whether it has made progress since the last check and its transfer began recently. */
        private boolean isReceiving() {
            boolean hasProgress = receivedBytes - receivedAtLastCheck >= MIN_PROGRESS_BYTES;
            receivedAtLastCheck = receivedBytes;
            return hasProgress
                    && nanoClock.getAsLong() - firstByteNanos
                            < TimeUnit.MILLISECONDS.toNanos(MAX_TRANSFER_MS);
        }

        /** Whether its first message has taken longer than a watch may be silent. */
        private boolean isOverdue() {
            return nanoClock.getAsLong() - firstByteNanos
                    >= TimeUnit.MILLISECONDS.toNanos(times.silenceTimeoutMs);
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
                                                "endpoint_list_changed",
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
                log.warnLimited("endpoint_list_rejected", "cause", e.getMessage());
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

        /** Requests the updates again from the last version that was read completely. */
        @Override
        public void malformed() {
            if (!isActive()) {
                return;
            }
            messageReceived(this);
            if (!updateMissed) {
                log.warnLimited("endpoint_list_malformed", "version", version);
                updateMissed = true;
                retryLater();
            }
        }

        /** Passes on the body of a successful response; any other response ends the watch. */
        private final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
            @Override
            protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
                if (part.decoderResult().isFailure()) {
                    failure = "invalid HTTP response";
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
                    log.warnLimited("watch_failed", "cause", cause);
                }
                ctx.close();
            }
        }
    }
}
