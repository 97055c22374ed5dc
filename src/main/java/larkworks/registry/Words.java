package larkworks.registry;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;

/** The service's JSON: records of the log, bodies of calls, and discovery's answers. */
final class Words {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .disable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
            .build();

    private Words() { }

    static byte[] bytes(Object record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);  // our own records can always be written
        }
    }

    /** Reads a record of our own files. */
    static <T> T record(byte[] json, Class<T> kind) throws IOException {
        return MAPPER.readValue(json, kind);
    }

    /** A record as a tree, to stand in another. */
    static JsonNode tree(Object record) {
        return MAPPER.valueToTree(record);
    }

    /** A record that came as a tree. */
    static <T> T record(JsonNode tree, Class<T> kind) throws IOException {
        return MAPPER.treeToValue(tree, kind);
    }

    /**
     * Reads the body of a call.
     *
     * @throws Refusal 400 saying what was found where
     */
    static <T> T body(byte[] json, Class<T> kind) throws Refusal {
        try {
            T read = MAPPER.readValue(json, kind);
            if (read == null) {
                throw new Refusal(400, "the body is null");
            }
            return read;
        } catch (JsonProcessingException e) {
            throw new Refusal(400, e.getOriginalMessage().lines().findFirst().orElse("no JSON"));
        } catch (IOException e) {
            throw new Refusal(400, "the body can't be read");
        }
    }

    /** An answer in discovery's form. */
    static byte[] listing(long index, boolean whole, Collection<Instance> instances) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64 + 160 * instances.size());
        try (JsonGenerator g = MAPPER.createGenerator(bytes)) {
            g.writeStartObject();
            g.writeNumberField("index", index);
            g.writeBooleanField("snapshot", whole);
            g.writeArrayFieldStart("endpoints");
            for (Instance i : instances) {
                g.writeStartObject();
                g.writeStringField("name", i.name());
                g.writeStringField("address", i.address());
                g.writeStringField("zone", i.zone());
                g.writeStringField("type", i.type());
                g.writeNumberField("group", i.group());
                g.writeStringField("status", i.status().wire());
                g.writeNumberField("weight", i.weight());
                g.writeNumberField("since_ms", i.sinceMs());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // an array of bytes raises none
        }
        return bytes.toByteArray();
    }
}
