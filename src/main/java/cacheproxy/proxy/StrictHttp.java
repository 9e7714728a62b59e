package cacheproxy.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * HTTP/1.1 decoders that fail on framing which Netty's own would mend: two readers could see two
 * different messages.
 */
final class StrictHttp {

    private static final int MAX_HEADER_BYTES = 8192;

    private StrictHttp() {}

    /**
     * Reads requests. One with both lengths may hide another in its body, which a node would carry
     * out.
     */
    static final class RequestDecoder extends HttpRequestDecoder {
        RequestDecoder() {
            super(decoderConfig());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw ambiguousLength();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            return super.splitHeaderName(line, start, checkedNameLength(line, start, length));
        }

        /** Whether bytes have come that no request has used yet. */
        boolean hasUnconsumedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Reads answers, and tells whether bytes have come that no answer has used. */
    static final class ResponseDecoder extends HttpResponseDecoder {
        ResponseDecoder() {
            super(decoderConfig());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw ambiguousLength();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            return super.splitHeaderName(line, start, checkedNameLength(line, start, length));
        }

        boolean hasUnconsumedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Whether a coding is named that Netty leaves alone, and with it the message's length open. */
    static boolean hasUnsupportedTransferCoding(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return !codings.isEmpty()
                && (codings.size() > 1
                        || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                codings.get(0).trim()));
    }

    private static HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
    }

    /**
     * The length of a header's name, which a colon must follow: Netty takes any line for one, and
     * so spoilt heads.
     */
    private static int checkedNameLength(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("a line of the head is no header");
        }
        return length;
    }

    private static IllegalArgumentException ambiguousLength() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
