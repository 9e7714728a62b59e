package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Aggregates requests. A body that exceeds the size limit raises an exception. */
final class RequestAggregator extends MessageAggregator {
    RequestAggregator(BodyMemory memory) {
        super(memory);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        super.channelRead(ctx, message);
        if (message instanceof LastHttpContent) {
            setReadsBody(ctx, false);
        }
    }

    private static void setReadsBody(ChannelHandlerContext ctx, boolean enabled) {
        if (ctx.channel() instanceof ClientChannel socket) {
            socket.setReadsBody(enabled);
        }
    }

    @Override
    void headAccepted(ChannelHandlerContext ctx, HttpMessage message) {
        setReadsBody(
                ctx,
                HttpUtil.isTransferEncodingChunked(message)
                        || HttpUtil.getContentLength(message, 0L) > 0);
        if (HttpUtil.is100ContinueExpected(message)) {
            ctx.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    FullHttpMessage aggregate(HttpMessage head, ByteBuf body) {
        HttpRequest request = (HttpRequest) head;
        return new DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                body,
                request.headers(),
                EmptyHttpHeaders.INSTANCE);
    }
}
