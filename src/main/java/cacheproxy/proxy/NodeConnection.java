package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * One connection to an endpoint, which carries one attempt at a time. It judges whether what it
 * receives is the response to the pending attempt, ends the attempt with the outcome, and then
 * returns itself to its owner or closes. Confined to one event loop.
 */
final class NodeConnection extends SimpleChannelInboundHandler<HttpObject>
        implements UpstreamAttempt.IncompleteResponse {

    private static final double NANOS_PER_MS = 1e6;
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /** The endpoint that the connection belongs to, as its pool knows it. */
    interface Owner {
        /** Whether the endpoint is listed, so that connections to it may be kept. */
        boolean isListed();

        /** Whether the endpoint rejected its latest new connection. */
        boolean isTableFull();

        /** Time without progress after which a response that has begun counts as broken. */
        double stallTimeoutMs();

        /** A new connection was rejected and closed at once. */
        void onRejected();

        /** The endpoint has answered on a connection opened after a rejection. */
        void onAcceptedAgain();

        /** The connection may be kept for another attempt. */
        void onReleased(NodeConnection connection);

        /** The pause before the connection is used again is over. */
        void onPauseEnded(NodeConnection connection);

        /** The connection is closed and can't be used any more. */
        void onClosed(NodeConnection connection);
    }

    private final Owner owner;
    private final EventLoop loop;
    private final LongSupplier nanoClock;
    private final ResponseAggregator aggregator;
    private final StrictHttp.ResponseDecoder decoder = new StrictHttp.ResponseDecoder();
    private final InboundByteHandler byteHandler = new InboundByteHandler();
    private ChannelHandlerContext context;
    private UpstreamAttempt currentAttempt;

    /**
     * The complete response, held until the current read ends, which shows whether surplus bytes
     * came with it.
     */
    private FullHttpResponse completeResponse;

    private boolean hasSurplusInput;
    private int matchedStartBytes;

    /** When the latest bytes were received, in nanoseconds. */
    private long lastReadNanos;

    /** The longest time between two arrivals of bytes of the current response, in nanoseconds. */
    private long longestPauseNanos;

    /** Whether the connection may be kept open after the streamed response. */
    private boolean keepAliveAfterStream;

    /** Whether the streamed response ends only with the connection. */
    private boolean closeDelimited;

    /** Whether the node has closed its sending side in order, as opposed to a reset. */
    private boolean inputShutdown;

    private Future<?> stallTimer;
    private long idleSinceNanos;
    private boolean usedBefore;
    private boolean hasAnswered;

    /**
     * Whether it was opened after the node rejected a connection. Only such a connection shows
     * whether the node accepts connections again.
     */
    private final boolean openedAfterRejection;

    /**
     * @param bodyMemory memory for responses that are aggregated
     * @param nanoClock clock for idle times and pauses, in nanoseconds
     */
    NodeConnection(Owner owner, EventLoop loop, BodyMemory bodyMemory, LongSupplier nanoClock) {
        this.owner = owner;
        this.loop = loop;
        this.nanoClock = nanoClock;
        this.aggregator = new ResponseAggregator(bodyMemory);
        this.openedAfterRejection = owner.isTableFull();
    }

    Owner owner() {
        return owner;
    }

    /** When the connection was last released, in nanoseconds. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Adds the handlers of the connection to the pipeline of its channel. */
    void initPipeline(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpRequestEncoder(), byteHandler, decoder, aggregator, this);
    }

    void close() {
        context.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    void write(UpstreamAttempt attempt) {
        currentAttempt = attempt;
        matchedStartBytes = 0;
        longestPauseNanos = 0;
        attempt.connectionIdleMs = usedBefore ? idleMs(nanoClock.getAsLong()) : 0;
        usedBefore = true;
        attempt.channel = context.channel();
        attempt.incompleteResponse = this;
        // The promise covers the head and a complete body: it fails if the connection breaks
        // before the last byte is written.
        context.writeAndFlush(attempt.buildRequest())
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                context.close();
                                attempt.connectionBroken();
                            } else if (attempt.upload == null) {
                                attempt.written = true;
                            }
                        });
        if (attempt.upload != null) {
            attempt.upload.sendTo(context.channel(), () -> attempt.written = true);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (currentAttempt != null && currentAttempt.upload != null) {
            currentAttempt.upload.continueSending();
        }
    }

    /**
     * Whether the connection is open and nothing has arrived since its last response: neither an
     * end of stream nor bytes that would be read as the start of the next response.
     */
    boolean isUsable() {
        return context.channel().isActive()
                && (!(context.channel() instanceof NodeChannel node) || node.hasNoPendingInput());
    }

    double idleMs(long now) {
        return Math.max(1, now - idleSinceNanos) / NANOS_PER_MS;
    }

    /** Whether bytes that have arrived can belong to the pending response. */
    private boolean isExpected(ByteBuf buffer) {
        if (currentAttempt == null
                || currentAttempt.finished && currentAttempt.bodyConsumer == null
                || !currentAttempt.written && currentAttempt.upload == null) {
            return false;
        }
        for (int i = buffer.readerIndex();
                matchedStartBytes < STATUS_LINE_START.length && i < buffer.writerIndex();
                i++, matchedStartBytes++) {
            if (buffer.getByte(i) != STATUS_LINE_START[matchedStartBytes]) {
                return false;
            }
        }
        currentAttempt.responseStarted = true;
        return true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (part instanceof FullHttpResponse response) {
            handleFullResponse(ctx, response);
        } else if (part instanceof HttpResponse head) {
            startStreaming(ctx, head);
        } else if (currentAttempt != null && currentAttempt.bodyConsumer != null) {
            streamPart(ctx, ((HttpContent) part).retain());
        }
    }

    /**
     * Starts a streamed response. Fails the attempt if the response is not a success, which would
     * be passed on in vain, or if its end cannot be detected, as it might never end.
     */
    private void startStreaming(ChannelHandlerContext ctx, HttpResponse head) {
        if (currentAttempt == null || completeResponse != null) {
            hasSurplusInput = true;
        } else if (ResponseHeads.outcomeOf(head) != Outcome.OK
                || !ResponseHeads.hasDetectableEnd(head)) {
            failAttempt(ctx, null);
        } else {
            cancelStallTimer();
            keepAliveAfterStream = HttpUtil.isKeepAlive(head);
            closeDelimited = !ResponseHeads.declaresLength(head);
            currentAttempt.startStreaming(head);
            if (currentAttempt.bodyConsumer == null) {
                ctx.close();
            }
        }
    }

    private void streamPart(ChannelHandlerContext ctx, HttpContent part) {
        UpstreamAttempt attempt = currentAttempt;
        if (part.decoderResult().isFailure()) {
            part.release();
            failAttempt(ctx, part.decoderResult().cause());
        } else if (part instanceof LastHttpContent && closeDelimited && !inputShutdown) {
            part.release();
            failAttempt(ctx, null);
        } else if (part instanceof LastHttpContent) {
            currentAttempt = null;
            keepOrClose(attempt, keepAliveAfterStream && ctx.channel().isActive());
            recordAnswered();
            attempt.finishStreaming(part);
        } else {
            attempt.streamPart(part);
        }
    }

    /**
     * Records that the node has answered on this connection. If the connection was opened after a
     * rejection, the node has capacity for connections again.
     */
    private void recordAnswered() {
        if (!hasAnswered && openedAfterRejection) {
            owner.onAcceptedAgain();
        }
        hasAnswered = true;
    }

    private void handleFullResponse(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (currentAttempt == null || completeResponse != null) {
            hasSurplusInput = true;
        } else if (response.decoderResult().isFailure()) {
            failAttempt(ctx, response.decoderResult().cause());
        } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            matchedStartBytes = 0;
        } else if (!ResponseHeads.declaresLength(response)
                && !(inputShutdown && ResponseHeads.announcesClose(response))) {
            // Only the end of the connection delimits this response, and the node did not
            // close it in order, so the response may be truncated.
            currentAttempt.connectionBroken();
        } else {
            completeResponse = response.retain();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (completeResponse != null) {
            finishAttempt();
        } else if (currentAttempt != null && mayBeStalled() && stallTimer == null) {
            scheduleStallCheck(ctx, currentAttempt, owner.stallTimeoutMs());
        }
    }

    /** Fails the attempt if no more bytes of its response arrive within the stall timeout. */
    private void scheduleStallCheck(
            ChannelHandlerContext ctx, UpstreamAttempt watchedAttempt, double waitMs) {
        stallTimer =
                loop.schedule(
                        () -> checkStall(ctx, watchedAttempt),
                        (long) (waitMs * NANOS_PER_MS),
                        TimeUnit.NANOSECONDS);
    }

    private void checkStall(ChannelHandlerContext ctx, UpstreamAttempt watchedAttempt) {
        stallTimer = null;
        if (currentAttempt != watchedAttempt || !mayBeStalled()) {
            return;
        }
        double remainingMs = owner.stallTimeoutMs() - quietMs();
        if (remainingMs <= 0) {
            failAttempt(ctx, null);
        } else {
            scheduleStallCheck(ctx, watchedAttempt, remainingMs);
        }
    }

    /** Whether a response has begun that ends the attempt if no more of it arrives. */
    private boolean mayBeStalled() {
        return matchedStartBytes > 0
                && currentAttempt.bodyConsumer == null
                && !ResponseHeads.isStreamable(aggregator.aggregatedHead());
    }

    @Override
    public double quietMs() {
        return (nanoClock.getAsLong() - lastReadNanos) / NANOS_PER_MS;
    }

    @Override
    public double longestPauseMs() {
        return longestPauseNanos / NANOS_PER_MS;
    }

    @Override
    public boolean stream() {
        boolean streamable = ResponseHeads.isStreamable(aggregator.aggregatedHead());
        if (streamable) {
            aggregator.streamAggregated();
        }
        return streamable;
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel(false);
            stallTimer = null;
        }
    }

    /**
     * Ends the attempt with its complete response. If surplus bytes arrived with it, the connection
     * is closed, because they would be taken for the next response.
     */
    private void finishAttempt() {
        FullHttpResponse response = completeResponse;
        UpstreamAttempt attempt = currentAttempt;
        completeResponse = null;
        currentAttempt = null;
        cancelStallTimer();
        keepOrClose(attempt, !hasSurplusInput && HttpUtil.isKeepAlive(response));
        Outcome outcome = ResponseHeads.outcomeOf(response);
        if (!hasAnswered && outcome == Outcome.REJECTED && !HttpUtil.isKeepAlive(response)) {
            // A new connection that is rejected and closed at once: the node's connection table
            // is full, which says nothing about the load of its cores.
            outcome = Outcome.CONNECT_FAILED;
            owner.onRejected();
            hasAnswered = true;
        } else {
            recordAnswered();
        }
        try {
            attempt.finish(outcome, response);
        } finally {
            response.release();
        }
    }

    /**
     * Keeps the connection for another attempt if that is allowed, the request has been written
     * completely and no unread bytes remain; otherwise closes it.
     */
    private void keepOrClose(UpstreamAttempt attempt, boolean reusable) {
        // Reading may still be paused for a slow client although the last part has arrived.
        context.channel().config().setAutoRead(true);
        boolean requestWritten = attempt.upload == null || attempt.written;
        if (reusable && requestWritten && !decoder.hasUnconsumedBytes() && owner.isListed()) {
            idleSinceNanos = nanoClock.getAsLong();
            owner.onReleased(this);
        } else {
            context.close();
        }
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
        owner.onClosed(this);
        if (completeResponse != null) {
            finishAttempt();
        } else if (currentAttempt != null) {
            currentAttempt.abortStreaming();
            currentAttempt.connectionBroken();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        failAttempt(ctx, cause);
    }

    /**
     * Ends the attempt and closes the connection. A broken connection is reported as such, even in
     * the middle of a response; any other fault means that the response is invalid.
     */
    private void failAttempt(ChannelHandlerContext ctx, Throwable cause) {
        boolean broke =
                cause instanceof IOException || cause instanceof PrematureChannelClosureException;
        if (completeResponse != null) {
            hasSurplusInput = true;
            finishAttempt();
        } else if (currentAttempt != null && currentAttempt.bodyConsumer != null) {
            currentAttempt.abortStreaming();
        } else if (currentAttempt != null
                && !broke
                && (currentAttempt.written || currentAttempt.responseStarted)) {
            currentAttempt.finish(Outcome.ERROR, null);
        } else if (currentAttempt != null) {
            currentAttempt.connectionBroken();
        }
        ctx.close();
    }

    /**
     * Checks bytes before they are decoded. Bytes that arrive while no response is pending, or
     * before the request is written, belong to an earlier request. Bytes that do not start a status
     * line are rejected here, since the decoder would notice that only at the line's end.
     */
    private final class InboundByteHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            boolean responseBegun = matchedStartBytes > 0;
            if (completeResponse != null) {
                hasSurplusInput = true;
                ReferenceCountUtil.release(message);
            } else if (message instanceof ByteBuf buffer && !isExpected(buffer)) {
                buffer.release();
                failAttempt(context, null);
            } else {
                recordRead(responseBegun);
                ctx.fireChannelRead(message);
            }
        }

        private void recordRead(boolean responseBegun) {
            long now = nanoClock.getAsLong();
            if (responseBegun) {
                longestPauseNanos = Math.max(longestPauseNanos, now - lastReadNanos);
            }
            lastReadNanos = now;
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            inputShutdown |= event instanceof ChannelInputShutdownEvent;
            ctx.fireUserEventTriggered(event);
        }
    }
}
