package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which header fields of a request are kept, and which make it invalid. */
class RelevantHeadersTest {

    private static HttpRequest decode(String fields) {
        EmbeddedChannel channel = new EmbeddedChannel(new RequestDecoder());
        channel.writeInbound(Unpooled.copiedBuffer("GET /look HTTP/1.1\r\n" + fields + "\r\n",
                StandardCharsets.ISO_8859_1));
        HttpRequest request = channel.readInbound();
        channel.finishAndReleaseAll();
        return request;
    }

    @Test
    void keepsOnlyFieldsThatTheProxyReads() {
        HttpRequest request = decode("a:\r\n".repeat(1_500) + "x-call-ID: r\r\nHost: x\r\n");
        assertTrue(request.decoderResult().isSuccess());
        assertEquals("r", request.headers().get("X-Call-Id"));
        assertEquals(1, request.headers().size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"a b: c\r\n", "a\u0001: c\r\n", "a: b\u0000c\r\n", ": c\r\n"})
    void rejectsInvalidFieldsThoughItDoesNotReadThem(String field) {
        assertFalse(decode(field).decoderResult().isSuccess());
    }

    @Test
    void rejectsAFieldThatIsRepeatedWithoutEnd() {
        assertFalse(decode("Expect:\r\n".repeat(65)).decoderResult().isSuccess());
    }
}
