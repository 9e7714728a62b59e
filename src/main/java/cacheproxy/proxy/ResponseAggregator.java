package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;

/** Aggregates responses; one that exceeds the maximum length is treated as invalid. */
final class ResponseAggregator extends MessageAggregator {
    ResponseAggregator(BodyMemory memory) {
        super(memory);
    }

    @Override
    FullHttpMessage aggregate(HttpMessage head, ByteBuf body) {
        HttpResponse response = (HttpResponse) head;
        return new DefaultFullHttpResponse(
                response.protocolVersion(),
                response.status(),
                body,
                response.headers(),
                EmptyHttpHeaders.INSTANCE);
    }
}
