package larkworks.soak;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Splits bytes into HTTP/1.1 messages whose bodies have a Content-Length or are chunked. */
final class MessageReader {

    private static final String HEAD_END = "\r\n\r\n";

    private final StringBuilder bytes = new StringBuilder();

    /** A whole request or answer. */
    record Message(String startLine, Map<String, String> headers, String body) {

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        long number(String name) {
            return Long.parseLong(headers.getOrDefault(name.toLowerCase(Locale.ROOT), "0"));
        }

        /** The second word of the first line: a request's target, an answer's status. */
        String second() {
            return startLine.split(" ")[1];
        }
    }

    /** Takes what came, and releases it. */
    void add(ByteBuf part) {
        bytes.append(part.toString(StandardCharsets.ISO_8859_1));
        part.release();
    }

    /** The next whole message; null while there is none. */
    Message next() {
        int end = bytes.indexOf(HEAD_END);
        if (end < 0) {
            return null;
        }
        String[] lines = bytes.substring(0, end).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).strip());
        }
        int from = end + HEAD_END.length();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            return nextChunked(lines[0], headers, from);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        if (bytes.length() < from + length) {
            return null;
        }
        Message message = new Message(lines[0], headers, bytes.substring(from, from + length));
        bytes.delete(0, from + length);
        return message;
    }

    /** The chunked message whose body begins there, without trailers; null while its end has not come. */
    private Message nextChunked(String startLine, Map<String, String> headers, int from) {
        StringBuilder body = new StringBuilder();
        int at = from;
        while (true) {
            int lineEnd = bytes.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return null;
            }
            int size = Integer.parseInt(bytes.substring(at, lineEnd), 16);
            int chunkEnd = lineEnd + 2 + size;
            if (bytes.length() < chunkEnd + 2) {
                return null;
            }
            body.append(bytes, lineEnd + 2, chunkEnd);
            at = chunkEnd + 2;
            if (size == 0) {
                bytes.delete(0, at);
                return new Message(startLine, headers, body.toString());
            }
        }
    }

    /** Whether a part of a message has come. */
    boolean hasPart() {
        return bytes.length() > 0;
    }
}
