package cacheproxy.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;

/**
 * A request as it is forwarded to nodes.
 *
 * @param body the complete body; empty if the body is streamed
 * @param key the idempotency key, or null
 * @param contentType the content type, or null
 * @param upload the streamed body, or null if {@code body} is complete
 * @param length length of the streamed body in bytes, or negative if unknown
 */
record Payload(
        HttpMethod method,
        String uri,
        ByteBuf body,
        String key,
        String contentType,
        Upload upload,
        long length) {

    /** Number of decimal places of the budget in seconds that a node is sent. */
    private static final int BUDGET_SCALE = 3;

    /** Releases the body; no attempt can be built from this payload any more. */
    void release() {
        body.release();
    }

    /**
     * Builds the request for one attempt, with the body unless that is streamed.
     *
     * @param id the request's id
     * @param budgetMs the time budget that is stated to the node, in milliseconds
     */
    HttpRequest newNodeRequest(String id, double budgetMs) {
        HttpRequest request =
                upload != null
                        ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri)
                        : new DefaultFullHttpRequest(
                                HttpVersion.HTTP_1_1, method, uri, body.retainedDuplicate());
        request.headers()
                .set(HttpHeaderNames.HOST, "service.internal")
                .set("X-Call-Id", id)
                .set(
                        "X-Budget",
                        BigDecimal.valueOf(Math.max(1, (long) budgetMs), BUDGET_SCALE)
                                .toPlainString());
        if (key != null) {
            request.headers().set("Idempotency-Key", key);
        }
        if (contentType != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        if (upload != null && length < 0) {
            HttpUtil.setTransferEncodingChunked(request, true);
        } else if (upload != null) {
            HttpUtil.setContentLength(request, length);
        } else if (body.isReadable() || method.equals(HttpMethod.PUT)) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return request;
    }
}
