package larkworks.proxy;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.regex.Pattern;

/**
 * Reads responses to the letter. Netty's own reader forgives what RFC 9112 does not: it takes the first word
 * of a field line without a colon for a name, and any number for a version or status. What comes behind such
 * a line can't be trusted to be the answer, so the response is marked as failed to decode.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches() || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("no status line of HTTP/1");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        Framing.requireColon(line, start, length);
        return super.splitHeaderName(line, start, length);
    }
}
