package cacheproxy.proxy;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.Iterator;
import java.util.Map;

/**
 * A request with its arrival time, as its budget counts from then. It waits if another request is
 * in progress on its connection.
 */
record PipelinedRequest(HttpRequest request, Upload upload, long arrivedNanos) {

    /** Estimated memory of a head without its text, and of one of its fields. */
    private static final int HEAD_BYTES = 1000;

    private static final int FIELD_BYTES = 200;

    /** The estimated memory of the request without its body. */
    int headBytes() {
        int bytes = HEAD_BYTES + request.uri().length();
        Iterator<Map.Entry<CharSequence, CharSequence>> fields =
                request.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = fields.next();
            bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }

    void release() {
        ReferenceCountUtil.release(request);
        if (upload != null) {
            upload.discard();
        }
    }
}
