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
abstract class Gatherer extends ChannelInboundHandlerAdapter {

    /** What is still gathered, and the longest message of all: peers may send 32 MB. */
    static final int MOST_GATHERED = 64 * 1024;

    static final long LONGEST = 33L << 20;

    /** Of more pieces one is made: each holds a whole read, however few bytes it has. */
    private static final int MOST_PIECES = 64;

    private HttpMessage head;
    private CompositeByteBuf body;
    private long bytes;
    private boolean flows;

    /** Of a message that was given up, the rest is dropped. */
    private boolean drops;

    /** A message and its body as one. */
    abstract FullHttpMessage whole(HttpMessage head, CompositeByteBuf body);

    /** The head was read, and the rest may come. */
    void accepted(ChannelHandlerContext ctx, HttpMessage message) {}

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof FullHttpMessage) {
            ctx.fireChannelRead(message);
        } else if (message instanceof HttpMessage begun) {
            head(ctx, begun);
        } else {
            part(ctx, (HttpContent) message);
        }
    }

    private void head(ChannelHandlerContext ctx, HttpMessage message) {
        head = message;
        bytes = 0;
        long length = length(message);
        drops = message.decoderResult().isFailure() || length > LONGEST;
        flows = !drops && length > MOST_GATHERED;
        if (message.decoderResult().isFailure()) {
            fireWhole(ctx, Unpooled.compositeBuffer());
        } else if (drops) {
            tooLong(ctx);
        } else {
            accepted(ctx, message);
            if (flows) {
                ctx.fireChannelRead(message);
            } else {
                body = Unpooled.compositeBuffer(MOST_PIECES);
            }
        }
    }

    /**
     * The length that it names, 0 without one; one that is no number makes the message one that
     * can't be read.
     */
    private static long length(HttpMessage message) {
        try {
            return HttpUtil.getContentLength(message, 0L);
        } catch (NumberFormatException e) {
            message.setDecoderResult(DecoderResult.failure(e));
            return 0;
        }
    }

    private void fireWhole(ChannelHandlerContext ctx, CompositeByteBuf content) {
        FullHttpMessage whole = whole(head, content);
        whole.setDecoderResult(head.decoderResult());
        ctx.fireChannelRead(whole);
    }

    private void tooLong(ChannelHandlerContext ctx) {
        ctx.fireExceptionCaught(
                new TooLongHttpContentException("a message of over " + LONGEST + " bytes"));
    }

    private void part(ChannelHandlerContext ctx, HttpContent part) {
        bytes += part.content().readableBytes();
        if (part instanceof LastHttpContent last && !last.trailingHeaders().isEmpty()) {
            // What they say belongs to the hop that they came by.
            last.trailingHeaders().clear();
        }
        if (drops) {
            part.release();
        } else if (bytes > LONGEST) {
            drops = true;
            part.release();
            tooLong(ctx);
        } else if (flows) {
            ctx.fireChannelRead(part);
        } else if (part.decoderResult().isFailure()) {
            drops = true;
            head.setDecoderResult(part.decoderResult());
            fireWhole(ctx, taken());
            part.release();
        } else if (bytes > MOST_GATHERED) {
            flows = true;
            CompositeByteBuf first = taken();
            ctx.fireChannelRead(head);
            ctx.fireChannelRead(new DefaultHttpContent(first));
            ctx.fireChannelRead(part);
        } else {
            body.addComponent(true, part.content());
            if (part instanceof LastHttpContent) {
                fireWhole(ctx, taken());
            }
        }
    }

    private CompositeByteBuf taken() {
        CompositeByteBuf taken = body;
        body = null;
        return taken;
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
        ReferenceCountUtil.release(taken());
        drops = true;
    }
}
