package larkworks.platform;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/**
 * A log event as one JSON object on a line: {@code ts} (Unix ms), {@code level}, {@code component} (the
 * logger's name), then the process's own fields, {@code message}, and the event's key-value pairs.
 * Jackson escapes quotes, newlines and control characters, so that each line is valid JSON.
 */
public final class JsonLines extends EncoderBase<ILoggingEvent> {

    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NOTHING = {};

    private final Map<String, String> fields;

    /** @param fields of the process, which stand in each line */
    JsonLines(Map<String, String> fields) {
        this.fields = Map.copyOf(fields);
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        ByteArrayOutputStream line = new ByteArrayOutputStream(256);
        try (JsonGenerator g = JSON.createGenerator(line)) {
            g.writeStartObject();
            g.writeNumberField("ts", event.getTimeStamp());
            g.writeStringField("level", event.getLevel().toString());
            g.writeStringField("component", event.getLoggerName());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                g.writeStringField(field.getKey(), field.getValue());
            }
            g.writeStringField("message", event.getFormattedMessage());
            if (event.getKeyValuePairs() != null) {
                for (KeyValuePair pair : event.getKeyValuePairs()) {
                    g.writeFieldName(pair.key);
                    write(g, pair.value);
                }
            }
            if (event.getThrowableProxy() != null) {
                g.writeStringField("stack", ThrowableProxyUtil.asString(event.getThrowableProxy()));
            }
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // an array of bytes raises none
        }
        line.write('\n');
        return line.toByteArray();
    }

    private static void write(JsonGenerator g, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            g.writeNumber(((Number) value).longValue());
        } else if (value instanceof Double number) {
            g.writeNumber(number);
        } else if (value instanceof Boolean truth) {
            g.writeBoolean(truth);
        } else {
            g.writeString(String.valueOf(value));
        }
    }

    @Override
    public byte[] headerBytes() {
        return NOTHING;
    }

    @Override
    public byte[] footerBytes() {
        return NOTHING;
    }
}
