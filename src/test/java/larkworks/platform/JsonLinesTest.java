package larkworks.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import larkworks.adapter.Json;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.slf4j.event.KeyValuePair;

/** A log line is one line of valid JSON, whatever was logged. */
class JsonLinesTest {

    @Property(tries = 300)
    void anyTextComesBackAsItWas(@ForAll String message, @ForAll String value, @ForAll long number)
            throws Exception {
        LoggerContext context = new LoggerContext();
        LoggingEvent event = new LoggingEvent("test", context.getLogger("members"), Level.INFO, "{}", null,
                new Object[] {message});
        event.setKeyValuePairs(List.of(new KeyValuePair("request", value + "\"\n\u00e5\u2028"),
                new KeyValuePair("count", number)));
        String line = new String(new JsonLines(Map.of("node", "n1")).encode(event), StandardCharsets.UTF_8);
        assertEquals(line.length() - 1, line.indexOf('\n'));
        Map<String, Object> read = Json.object(line.getBytes(StandardCharsets.UTF_8));
        // A lone surrogate is no text and can't be written in UTF-8.
        if (StandardCharsets.UTF_8.newEncoder().canEncode(message + value)) {
            assertEquals(message, read.get("message"));
            assertEquals(value + "\"\n\u00e5\u2028", read.get("request"));
        }
        assertEquals(number, ((Number) read.get("count")).longValue());
        assertEquals("n1", read.get("node"));
        assertEquals("members", read.get("component"));
    }
}
