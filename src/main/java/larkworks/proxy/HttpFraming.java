package larkworks.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;

/** Strict HTTP/1.1 message framing, for requests from clients and responses from backends. */
final class HttpFraming {

    private HttpFraming() { }

    /**
     * Checks that a header field's name is directly followed by its colon. Netty ends the name before a colon
     * or a blank, so the line has a byte after it.
     */
    static void requireColon(byte[] line, int start, int nameLength) {
        if (line[start + nameLength] != ':') {
            throw new IllegalArgumentException("header field name is not followed by a colon");
        }
    }

    /** Returns whether the message has a transfer coding other than chunked, which the proxy can't decode. */
    static boolean hasUnsupportedTransferCoding(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return !codings.isEmpty() && (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip()));
    }

    /** Returns the length of the body; negative if the head doesn't give it. */
    static long bodyLength(HttpMessage message) {
        return HttpUtil.isTransferEncodingChunked(message) ? -1 : HttpUtil.getContentLength(message, -1L);
    }
}
