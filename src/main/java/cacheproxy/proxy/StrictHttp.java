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
 * HTTP/1.1 decoders that fail on ambiguous framing which Netty's decoders would repair: two parsers
 * could see two different messages.
 */
final class StrictHttp {

    private static final int MAX_HEADER_BYTES = 8192;

    /** Each field takes some 200 bytes of memory, however short it is. */
    private static final int MAX_HEADER_FIELDS = 100;

    private StrictHttp() {}

    /**
     * Decodes requests. A request with both Content-Length and Transfer-Encoding is rejected: it
     * may smuggle another request in its body, which a node would execute.
     */
    static final class RequestDecoder extends HttpRequestDecoder {
        private final FieldCounter fields = new FieldCounter();

        RequestDecoder() {
            super(decoderConfig());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw ambiguousLength();
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            fields.startMessage();
            return super.createMessage(initialLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            fields.countField();
            return super.splitHeaderName(line, start, checkedNameLength(line, start, length));
        }

        /** Whether bytes were received that no request has consumed yet. */
        boolean hasUnconsumedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Decodes responses. */
    static final class ResponseDecoder extends HttpResponseDecoder {
        private final FieldCounter fields = new FieldCounter();

        ResponseDecoder() {
            super(decoderConfig());
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw ambiguousLength();
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            fields.startMessage();
            return super.createMessage(initialLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            fields.countField();
            return super.splitHeaderName(line, start, checkedNameLength(line, start, length));
        }

        /** Whether bytes were received that no response has consumed yet. */
        boolean hasUnconsumedBytes() {
            return actualReadableBytes() > 0;
        }
    }

    /** Limits the number of header and trailer fields of a message. */
    private static final class FieldCounter {
        private int fields;

        void startMessage() {
            fields = 0;
        }

        void countField() {
            fields++;
            if (fields > MAX_HEADER_FIELDS) {
                throw new IllegalArgumentException("more than " + MAX_HEADER_FIELDS + " fields");
            }
        }
    }

    /**
     * Whether a transfer coding is used that Netty doesn't decode, which leaves the message's
     * length undefined.
     */
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
     * Returns the length of a header's name, which must be followed by a colon. Netty accepts any
     * line as a header, and so malformed heads.
     */
    private static int checkedNameLength(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("header line without a colon after its name");
        }
        return length;
    }

    private static IllegalArgumentException ambiguousLength() {
        return new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
