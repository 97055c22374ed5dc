package larkworks.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Decodes responses strictly. Netty's decoder accepts messages that RFC 9112 forbids: it takes the first word
 * of a header line without a colon as a field name, and any number as a version or status. The bytes after
 * such a line can't be trusted to be the answer, so here decoding fails.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

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
