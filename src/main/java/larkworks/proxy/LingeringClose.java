package larkworks.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections so that their last answers arrive. Closed at once, with bytes of the peer's unread, a
 * connection is reset, and what the system holds of the answer is lost with it. So the sending ends first.
 * What the peer sends from then on is read and dropped, until it has closed too or its time is over. All
 * connections share one timer.
 */
final class LingeringClose {

    /** A peer that takes nothing for so long of what is still to be written is cut off. */
    static final long STALL_MS = 10_000;

    private final EventLoop loop;
    private long mostMs;
    /** Connections whose sending has ended, and when it did, the longest ago first. */
    private final Map<Channel, Long> lingering = new LinkedHashMap<>();
    /** Closes the first of them, or null. */
    private Future<?> expiry;

    /** Lets each connection linger for a time at most. */
    LingeringClose(EventLoop loop, long mostMs) {
        this.loop = loop;
        this.mostMs = mostMs;
    }

    /** Changes the time for all, also for those that linger now. */
    void limit(long ms) {
        mostMs = ms;
        if (expiry != null) {
            expiry.cancel(false);
            expiry = null;
        }
        expire();
    }

    /**
     * Writes the last message, ends the sending once all is written, and closes once the peer has or the time
     * is over. Nothing that comes from here on is decoded.
     *
     * @return told when the message is written
     */
    ChannelFuture close(Channel channel, Object message) {
        channel.pipeline().addFirst(new Discard());
        // Only reading shows that the peer has closed.
        channel.config().setAutoRead(true);
        return watched(channel, channel.writeAndFlush(message)).addListener(done -> {
            if (done.isSuccess()) {
                endSending(channel);
            } else {
                channel.close();
            }
        });
    }

    /** Closes the connection that lingers longest; false where none does. */
    boolean evict() {
        var all = lingering.keySet().iterator();
        if (!all.hasNext()) {
            return false;
        }
        Channel longest = all.next();
        all.remove();
        longest.close();
        return true;
    }

    /** Closes a connection such that its peer can tell that not all has come. */
    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Bytes that the system has not taken yet. */
    static long unwritten(Channel channel) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** The same write, cut off by a reset where the peer takes nothing of it for {@link #STALL_MS}. */
    ChannelFuture watched(Channel channel, ChannelFuture written) {
        if (!written.isDone()) {
            watch(channel, written);
        }
        return written;
    }

    private void watch(Channel channel, ChannelFuture written) {
        long before = unwritten(channel);
        loop.schedule(() -> {
            if (!written.isDone() && unwritten(channel) == before) {
                reset(channel);
            } else if (!written.isDone()) {
                watch(channel, written);
            }
        }, STALL_MS, TimeUnit.MILLISECONDS);
    }

    private void endSending(Channel channel) {
        lingering.put(channel, nowMs());
        channel.closeFuture().addListener(closed -> lingering.remove(channel));
        ((DuplexChannel) channel).shutdownOutput().addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
        expire();
    }

    /** Closes those whose time is over, and comes back for the next. */
    private void expire() {
        while (!lingering.isEmpty() && firstDueMs() <= 0) {
            evict();
        }
        if (expiry == null && !lingering.isEmpty()) {
            expiry = loop.schedule(() -> {
                expiry = null;
                expire();
            }, firstDueMs(), TimeUnit.MILLISECONDS);
        }
    }

    private long firstDueMs() {
        return lingering.values().iterator().next() + mostMs - nowMs();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Drops what comes before anything is made of it. */
    static final class Discard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ReferenceCountUtil.release(bytes);
        }
    }
}
