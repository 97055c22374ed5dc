package larkworks.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;

/**
 * Reads requests to the letter. Whatever two readers could take for different requests is marked as failed
 * to decode: a length beside a transfer coding, a coding other than chunked, a field name not ended by its
 * colon.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Bytes of a body that are handed on at a time at most. */
    private static final int PART = 32 << 10;

    RequestDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(PART));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and a transfer coding");
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        Framing.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    /** Whether a request names a transfer coding that is not plainly chunked, or that its version lacks. */
    static boolean codedOddly(HttpMessage request) {
        return Framing.codedOddly(request) || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                && !request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}
