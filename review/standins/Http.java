import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages on blocking sockets. */
final class Http {

    private Http() { }

    /** A message as read from a socket. */
    static final class Message {
        final String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        Message(String startLine) {
            this.startLine = startLine;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** Returns an answer with a length; {@code headers} are whole lines. */
    static byte[] answer(String status, String headers, byte[] body) {
        return join(bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
                + "\r\n\r\n"), body);
    }

    /** Returns the head lines that the protocol page wants in each request; no empty line follows. */
    static String requestHead(String method, String requestClass, String id, long budgetMs) {
        return method + " /" + requestClass + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: " + requestClass + "\r\nX-Budget-Ms: " + budgetMs + "\r\n";
    }

    /** Returns a body in the chunked transfer coding. */
    static byte[] chunked(byte[] body, int chunkBytes) {
        ByteArrayOutputStream coded = new ByteArrayOutputStream(body.length + body.length / 8);
        for (int at = 0; at < body.length; at += chunkBytes) {
            int size = Math.min(chunkBytes, body.length - at);
            coded.writeBytes(bytes(Integer.toHexString(size) + "\r\n"));
            coded.write(body, at, size);
            coded.writeBytes(bytes("\r\n"));
        }
        coded.writeBytes(bytes("0\r\n\r\n"));
        return coded.toByteArray();
    }

    /** Reads the next message; returns null if the stream ends before it. */
    static Message read(InputStream in) throws IOException {
        String startLine = line(in);
        if (startLine == null) {
            return null;
        }
        Message message = new Message(startLine);
        for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            message.headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).strip());
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            String trailer = line(in);
            while (trailer != null && !trailer.isEmpty()) {
                trailer = line(in);
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 && line.size() == 0) {
                return null;
            }
            if (next < 0) {
                throw new EOFException("end of stream inside a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String text = line(in);
        if (text == null) {
            throw new EOFException("end of stream inside a chunked body");
        }
        return Integer.parseInt(text.split(";")[0].strip(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end of stream inside a body");
        }
        return bytes;
    }
}
