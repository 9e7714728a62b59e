package cacheproxy.proxy;

import io.netty.buffer.CompositeByteBuf;
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
 * Puts messages of up to 64 KiB together and hands each on whole. Of a longer one it hands on the
 * head as soon as it knows, and then the parts as they come; so no more than those 64 KiB are ever
 * held for a connection.
 */
abstract class MessageAggregator extends ChannelInboundHandlerAdapter {

    /** What is still gathered, and the longest message of all: peers may send 32 MB. */
    static final int MAX_AGGREGATED_BYTES = 64 * 1024;

    static final long MAX_MESSAGE_BYTES = 33L << 20;

    /** Of more pieces one is made: each holds a whole read, however few bytes it has. */
    private static final int MAX_COMPONENTS = 64;

    private HttpMessage head;
    private CompositeByteBuf body;
    private long receivedBytes;
    private boolean streaming;

    /** Of a message that was given up, the rest is dropped. */
    private boolean discarding;

    /** A message and its body as one. */
    abstract FullHttpMessage aggregate(HttpMessage head, CompositeByteBuf body);

    /** The head was read, and the rest may come. */
    void headAccepted(ChannelHandlerContext ctx, HttpMessage message) {}

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
        head = message;
        receivedBytes = 0;
        long length = declaredLength(message);
        discarding = message.decoderResult().isFailure() || length > MAX_MESSAGE_BYTES;
        streaming = !discarding && length > MAX_AGGREGATED_BYTES;
        if (message.decoderResult().isFailure()) {
            fireAggregated(ctx, Unpooled.compositeBuffer());
        } else if (discarding) {
            fireTooLong(ctx);
        } else {
            headAccepted(ctx, message);
            if (streaming) {
                ctx.fireChannelRead(message);
            } else {
                body = Unpooled.compositeBuffer(MAX_COMPONENTS);
            }
        }
    }

    /**
     * The length that it names, 0 without one; one that is no number makes the message one that
     * can't be read.
     */
    private static long declaredLength(HttpMessage message) {
        try {
            return HttpUtil.getContentLength(message, 0L);
        } catch (NumberFormatException e) {
            message.setDecoderResult(DecoderResult.failure(e));
            return 0;
        }
    }

    private void fireAggregated(ChannelHandlerContext ctx, CompositeByteBuf content) {
        FullHttpMessage aggregated = aggregate(head, content);
        aggregated.setDecoderResult(head.decoderResult());
        ctx.fireChannelRead(aggregated);
    }

    private void fireTooLong(ChannelHandlerContext ctx) {
        ctx.fireExceptionCaught(
                new TooLongHttpContentException(
                        "a message of over " + MAX_MESSAGE_BYTES + " bytes"));
    }

    private void addContent(ChannelHandlerContext ctx, HttpContent part) {
        receivedBytes += part.content().readableBytes();
        if (part instanceof LastHttpContent last && !last.trailingHeaders().isEmpty()) {
            // What they say belongs to the hop that they came by.
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
            fireAggregated(ctx, detachBody());
            part.release();
        } else if (receivedBytes > MAX_AGGREGATED_BYTES) {
            streaming = true;
            CompositeByteBuf first = detachBody();
            ctx.fireChannelRead(head);
            ctx.fireChannelRead(new DefaultHttpContent(first));
            ctx.fireChannelRead(part);
        } else {
            body.addComponent(true, part.content());
            if (part instanceof LastHttpContent) {
                fireAggregated(ctx, detachBody());
            }
        }
    }

    private CompositeByteBuf detachBody() {
        CompositeByteBuf detached = body;
        body = null;
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
        discarding = true;
    }
}
