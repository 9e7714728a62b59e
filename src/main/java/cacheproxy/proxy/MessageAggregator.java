package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;

/**
 * Aggregates messages of up to 64 KiB and passes each on as one full message. Of a longer message
 * it passes on the head as soon as the length is known to exceed that, and then the content as it
 * arrives; so a connection never buffers more than those 64 KiB. A shorter message is passed on in
 * the same way if the memory that all connections share is too full for its body, or on request.
 */
abstract class MessageAggregator extends ChannelInboundHandlerAdapter {

    /** Largest message that is aggregated. */
    static final int MAX_AGGREGATED_BYTES = 64 * 1024;

    /** Largest message that is accepted: responses and uploads may have 32 MB. */
    static final long MAX_MESSAGE_BYTES = 33L << 20;

    private final BodyMemory memory;
    private ChannelHandlerContext context;

    /** The head of the message that is being aggregated; null while there is none. */
    private HttpMessage head;

    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private long receivedBytes;

    /** Whether the message is passed on as it arrives. */
    private boolean streaming;

    /** Whether the rest of the message is discarded because it was rejected. */
    private boolean discarding;

    MessageAggregator(BodyMemory memory) {
        this.memory = memory;
    }

    /** Combines a message head and its body into one full message. */
    abstract FullHttpMessage aggregate(HttpMessage head, ByteBuf body);

    /** Called when a valid head was read and the body may follow. */
    void headAccepted(ChannelHandlerContext ctx, HttpMessage message) {}

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /**
     * The head of the message of which nothing was passed on yet, or null if there is no such
     * message or its head is still to come.
     */
    HttpMessage aggregatedHead() {
        return head;
    }

    /** Passes on what has arrived of the message being aggregated, and the rest as it arrives. */
    void streamAggregated() {
        startStreaming(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof FullHttpMessage) {
            ctx.fireChannelRead(message);
        } else if (message instanceof HttpMessage messageHead) {
            startMessage(ctx, messageHead);
        } else {
            addContent(ctx, (HttpContent) message);
        }
    }

    private void startMessage(ChannelHandlerContext ctx, HttpMessage message) {
        head = null;
        receivedBytes = 0;
        long length = declaredLength(message);
        discarding = message.decoderResult().isFailure() || length > MAX_MESSAGE_BYTES;
        streaming = !discarding && length > MAX_AGGREGATED_BYTES;
        if (message.decoderResult().isFailure()) {
            fireAggregated(ctx, message, Unpooled.EMPTY_BUFFER);
        } else if (discarding) {
            fireTooLong(ctx);
        } else {
            headAccepted(ctx, message);
            if (streaming) {
                ctx.fireChannelRead(message);
            } else {
                head = message;
            }
        }
    }

    /**
     * The Content-Length of a message, or 0 if it has none. An invalid number marks the message as
     * failed to decode.
     */
    private static long declaredLength(HttpMessage message) {
        try {
            return HttpUtil.getContentLength(message, 0L);
        } catch (NumberFormatException e) {
            message.setDecoderResult(DecoderResult.failure(e));
            return 0;
        }
    }

    private void fireAggregated(
            ChannelHandlerContext ctx, HttpMessage messageHead, ByteBuf content) {
        FullHttpMessage aggregated = aggregate(messageHead, content);
        aggregated.setDecoderResult(messageHead.decoderResult());
        ctx.fireChannelRead(aggregated);
    }

    private void fireTooLong(ChannelHandlerContext ctx) {
        ctx.fireExceptionCaught(
                new TooLongHttpContentException(
                        "message longer than " + MAX_MESSAGE_BYTES + " bytes"));
    }

    private void addContent(ChannelHandlerContext ctx, HttpContent part) {
        receivedBytes += part.content().readableBytes();
        if (part instanceof LastHttpContent last && !last.trailingHeaders().isEmpty()) {
            // Trailers are dropped: they apply to the previous hop only.
            last.trailingHeaders().clear();
        }
        if (discarding) {
            part.release();
        } else if (receivedBytes > MAX_MESSAGE_BYTES) {
            discarding = true;
            part.release();
            fireTooLong(ctx);
        } else if (streaming) {
            ctx.fireChannelRead(part);
        } else if (part.decoderResult().isFailure()) {
            discarding = true;
            head.setDecoderResult(part.decoderResult());
            fireAggregated(ctx, detachHead(), detachBody());
            part.release();
        } else if (receivedBytes > MAX_AGGREGATED_BYTES || !append(part.content())) {
            startStreaming(ctx);
            ctx.fireChannelRead(part);
        } else {
            part.release();
            if (part instanceof LastHttpContent) {
                fireAggregated(ctx, detachHead(), detachBody());
            }
        }
    }

    private boolean append(ByteBuf content) {
        ByteBuf appended = memory.append(body, content, MAX_AGGREGATED_BYTES);
        body = appended == null ? body : appended;
        return appended != null;
    }

    private void startStreaming(ChannelHandlerContext ctx) {
        streaming = true;
        ctx.fireChannelRead(detachHead());
        if (body.isReadable()) {
            ctx.fireChannelRead(new DefaultHttpContent(detachBody()));
        }
    }

    private HttpMessage detachHead() {
        HttpMessage detached = head;
        head = null;
        return detached;
    }

    private ByteBuf detachBody() {
        ByteBuf detached = body;
        body = Unpooled.EMPTY_BUFFER;
        return detached;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        release();
    }

    private void release() {
        ReferenceCountUtil.release(detachBody());
        head = null;
        discarding = true;
    }
}
