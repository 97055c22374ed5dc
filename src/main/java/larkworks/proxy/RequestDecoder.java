package larkworks.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes requests strictly. Decoding fails for messages that two implementations could read as different
 * requests (request smuggling): Content-Length beside Transfer-Encoding, or a field name that is not directly
 * followed by its colon. Callers reject other transfer codings than chunked, see
 * {@link #hasUnsupportedTransferCoding}.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Maximum size of a body part that is passed on as one message. */
    private static final int MAX_PART_BYTES = 32 << 10;

    private static final HttpHeadersFactory HEADERS = RelevantHeaders.keeping(List.of(
            HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONNECTION,
            HttpHeaderNames.EXPECT, HttpHeaderNames.CONTENT_TYPE, "Idempotency-Key", "X-Call-Id",
            "X-Call-Class", "X-Caller", "X-Budget-Ms", "X-Call-Cost", "X-Again"));
    private static final HttpHeadersFactory TRAILERS = RelevantHeaders.keeping(List.of());

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(MAX_PART_BYTES).setHeadersFactory(HEADERS)
                .setTrailersFactory(TRAILERS));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpFraming.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    /** Returns whether the transfer coding is not chunked, or not defined for the request's HTTP version. */
    static boolean hasUnsupportedTransferCoding(HttpMessage request) {
        return HttpFraming.hasUnsupportedTransferCoding(request)
                || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && !request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
