package cacheproxy.proxy;

import cacheproxy.Router.Outcome;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** What the head of a node's response says about its outcome and its length. */
final class ResponseHeads {

    private ResponseHeads() {}

    /**
     * Whether a response with this head may turn out longer than what is aggregated, and may then
     * be streamed. Null stands for a head that is not complete.
     */
    static boolean isStreamable(HttpMessage head) {
        return head instanceof HttpResponse response
                && !HttpUtil.isContentLengthSet(response)
                && outcomeOf(response) == Outcome.OK
                && hasDetectableEnd(response);
    }

    /**
     * Whether the end of a response can be told from truncation: it declares its length, or it
     * announces that the end of the connection ends it.
     */
    static boolean hasDetectableEnd(HttpResponse response) {
        return declaresLength(response) || announcesClose(response);
    }

    static boolean declaresLength(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    /** Whether a response without a declared length announces that it ends with its connection. */
    static boolean announcesClose(HttpResponse response) {
        return response.headers()
                .contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    static Outcome outcomeOf(HttpResponse response) {
        HttpResponseStatus status = response.status();
        return switch (status.code()) {
            case 200 -> Outcome.OK;
            case 404 -> Outcome.MISS;
            case 503, 504 ->
                    "1".equals(response.headers().get("X-Rejected"))
                            ? Outcome.REJECTED
                            : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }
}
