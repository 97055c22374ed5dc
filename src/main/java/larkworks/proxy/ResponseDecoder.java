package larkworks.proxy;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly. Netty's decoder accepts messages that RFC 9112 forbids: it takes the first word
 * of a header line without a colon as a field name, and any number as a version or status. The bytes after
 * such a line can't be trusted to be the answer, so here decoding fails.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final HttpHeadersFactory TRAILERS = RelevantHeaders.keeping(List.of());
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

    /**
     * Creates a decoder.
     *
     * @param headers makes the headers of responses, see {@link #keeping}
     */
    ResponseDecoder(HttpHeadersFactory headers) {
        super(new HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(TRAILERS));
    }

    /** Returns a factory of headers that keep the fields of HTTP's framing and these ones. */
    static HttpHeadersFactory keeping(CharSequence... names) {
        List<CharSequence> kept = new ArrayList<>(List.of(HttpHeaderNames.CONTENT_LENGTH,
                HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.CONNECTION, HttpHeaderNames.UPGRADE));
        kept.addAll(List.of(names));
        return RelevantHeaders.keeping(kept);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches() || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("invalid HTTP/1 status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        HttpFraming.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }
}
