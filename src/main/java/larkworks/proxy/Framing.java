package larkworks.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;

/** Where messages end, read to the letter on both sides of the proxy. */
final class Framing {

    private Framing() { }

    /** A field's name must end at its colon; it ends before a colon or a blank, so a byte is behind it. */
    static void requireColon(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a field's name");
        }
    }

    /** Whether a transfer coding is named that is not plainly chunked, and so is not undone here. */
    static boolean codedOddly(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return !codings.isEmpty() && (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip()));
    }

    /** The length of the body; negative where it is not told. */
    static long length(HttpMessage message) {
        return HttpUtil.isTransferEncodingChunked(message) ? -1 : HttpUtil.getContentLength(message, -1L);
    }
}
