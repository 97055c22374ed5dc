package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Small parts are joined, large ones are passed on as they are, and the order stays. */
class PartCollectorTest {

    private final List<ByteBuf> passedOn = new ArrayList<>();
    private final PartCollector collector = new PartCollector(passedOn::add);

    private static ByteBuf part(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private String text() {
        StringBuilder text = new StringBuilder();
        passedOn.forEach(part -> text.append(part.toString(StandardCharsets.US_ASCII)));
        return text.toString();
    }

    @Test
    void joinsSmallParts() {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < 4_000; i++) {
            String text = String.format("%08d", i);
            expected.append(text);
            collector.add(part(text));
        }
        collector.flush();
        assertTrue(passedOn.size() <= 2, "parts passed on: " + passedOn.size());
        assertEquals(expected.toString(), text());
    }

    @Test
    void keepsTheOrderAroundALargePart() {
        ByteBuf large = part("x".repeat(3_000));
        collector.add(part("before"));
        collector.add(large);
        collector.add(part("behind"));
        collector.flush();
        collector.flush();
        assertEquals("before" + "x".repeat(3_000) + "behind", text());
        assertSame(large, passedOn.get(1));
    }

    @Test
    void passesNothingOnAfterADiscard() {
        collector.add(part("dropped"));
        collector.discard();
        collector.flush();
        assertEquals("", text());
    }
}
