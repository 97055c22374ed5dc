package larkworks.soak;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Writes the large body of one request in parts, as fast as they are taken or at a pace. */
final class SoakUpload {

    private static final int LEAST_BYTES = 70_000;
    private static final int MOST_BYTES = 500_000;
    private static final int MOST_SLOW_BYTES = 200_000;
    private static final int LEAST_PART_BYTES = 500;
    private static final int MOST_PART_BYTES = 32_000;
    /** Clients send at 64 kB a second or faster. */
    private static final int SLOW_BYTES_PER_MS = 100;
    private static final int THOUSAND = 1_000;
    private static final int SLOW_SHARE = 300;

    private final Channel channel;
    private final EventLoop loop;
    private final History history;
    private final History.Request request;
    private final boolean chunked;
    private final int bodyBytes;
    private final int partBytes;
    private final boolean slow;
    private int writtenBytes;

    SoakUpload(Channel channel, EventLoop loop, History history, History.Request request,
            SplittableRandom random) {
        this.channel = channel;
        this.loop = loop;
        this.history = history;
        this.request = request;
        this.chunked = random.nextBoolean();
        this.slow = random.nextInt(THOUSAND) < SLOW_SHARE;
        this.bodyBytes = random.nextInt(LEAST_BYTES, slow ? MOST_SLOW_BYTES : MOST_BYTES);
        this.partBytes = random.nextInt(LEAST_PART_BYTES, MOST_PART_BYTES);
    }

    /** The header field that frames the body. */
    String framing() {
        return chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes;
    }

    /** Writes the head, and the body's parts each after the one before. */
    void start(String head) {
        request.large = true;
        request.firstSentUs = history.nowUs();
        write(head).addListener(done -> next());
    }

    private void next() {
        if (!channel.isActive() || request.answers > 0) {
            return;
        }
        int bytes = Math.min(partBytes, bodyBytes - writtenBytes);
        writtenBytes += bytes;
        boolean last = writtenBytes == bodyBytes;
        String part = "x".repeat(bytes);
        ChannelFuture written = write(!chunked ? part
                : Integer.toHexString(bytes) + "\r\n" + part + (last ? "\r\n0\r\n\r\n" : "\r\n"));
        if (last) {
            written.addListener(done -> request.sentUs = done.isSuccess() ? history.nowUs() : History.NEVER);
        } else if (slow) {
            loop.schedule(this::next, bytes / SLOW_BYTES_PER_MS, TimeUnit.MILLISECONDS);
        } else {
            written.addListener(done -> next());
        }
    }

    private ChannelFuture write(String text) {
        return channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
}
