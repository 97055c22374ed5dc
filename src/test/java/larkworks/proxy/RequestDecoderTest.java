package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a client sends ahead is kept as bytes, counted, and decoded once the connection takes it. */
class RequestDecoderTest {

    private static final String REQUEST = "GET /look HTTP/1.1\r\nHost: x\r\n\r\n";

    private final MemoryBudget budget = new MemoryBudget(8 << 20);
    private boolean takesMessages = true;
    private long nowUs;
    private final RequestDecoder decoder = new RequestDecoder(() -> takesMessages, () -> nowUs, budget);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    @Test
    void decodesWhatWasSentAheadOnceItIsTaken() throws Exception {
        takesMessages = false;
        receive(REQUEST);
        assertNull(channel.readInbound());
        assertEquals(REQUEST.length(), budget.usedBytes());
        assertTrue(decoder.hasWholeHead());
        takesMessages = true;
        decoder.resume();
        assertTrue(channel.readInbound() instanceof HttpRequest);
        assertNotNull(channel.<LastHttpContent>readInbound());
        assertEquals(0, budget.usedBytes());
        assertFalse(decoder.hasWholeHead());
    }

    @Test
    void datesEachRequestByTheArrivalOfItsBytes() throws Exception {
        takesMessages = false;
        nowUs = 10;
        receive(REQUEST);
        nowUs = 20;
        receive(REQUEST);
        nowUs = 90;
        List<Long> arrivalsUs = new ArrayList<>();
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (message instanceof HttpRequest) {
                    arrivalsUs.add(decoder.decodedArrivalUs());
                }
                ReferenceCountUtil.release(message);
            }
        });
        takesMessages = true;
        decoder.resume();
        assertEquals(List.of(10L, 20L), arrivalsUs);
    }

    @Test
    void dropsWhatIsSentAheadBeyondTheLimit() {
        takesMessages = false;
        for (int i = 0; i < 20; i++) {
            receive("x".repeat(10_000));
        }
        assertTrue(decoder.hasDropped());
        assertTrue(decoder.undecodedBytes() <= 74_000, "bytes kept: " + decoder.undecodedBytes());
        assertTrue(budget.usedBytes() >= decoder.undecodedBytes() && budget.usedBytes() <= 2 * 74_000,
                "bytes counted: " + budget.usedBytes());
    }

    @Test
    void countsNothingOfAConnectionThatHasClosed() {
        receive("GET /look");
        assertTrue(budget.usedBytes() > 0);
        List<Integer> usedAtClose = new ArrayList<>();
        channel.closeFuture().addListener(closed -> usedAtClose.add(budget.usedBytes()));
        channel.close();
        assertEquals(List.of(0), usedAtClose);
        assertEquals(0, budget.usedBytes());
    }
}
