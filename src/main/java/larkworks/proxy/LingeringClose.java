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
 * Closes connections so that their last answers arrive. Closing a connection that has unread bytes resets it,
 * and the part of the answer that is still in the system's send buffer is lost. So only the output is shut
 * down first; bytes from the peer are read and dropped until the peer closes too or the linger time is over.
 * All connections share one timer.
 */
final class LingeringClose {

    /** A connection whose pending writes make no progress for this long is reset. */
    static final long STALL_TIMEOUT_MS = 10_000;

    private final EventLoop loop;
    private long maxLingerMs;
    /** Connections whose output is shut down, with the time of the shutdown, the earliest first. */
    private final Map<Channel, Long> lingering = new LinkedHashMap<>();
    /** Timer that closes the connection that has lingered longest; null if none lingers. */
    private Future<?> expiryTimer;

    /** Creates an instance that closes each connection after the given linger time at the latest. */
    LingeringClose(EventLoop loop, long maxLingerMs) {
        this.loop = loop;
        this.maxLingerMs = maxLingerMs;
    }

    /** Changes the maximum linger time, also for connections that linger now. */
    void setMaxLinger(long ms) {
        maxLingerMs = ms;
        if (expiryTimer != null) {
            expiryTimer.cancel(false);
            expiryTimer = null;
        }
        closeExpired();
    }

    /**
     * Writes the last message, then shuts down the output, and closes the connection once the peer has closed
     * it or the linger time is over. Bytes received from now on are not decoded.
     *
     * @return the future of the write
     */
    ChannelFuture close(Channel channel, Object message) {
        channel.pipeline().addFirst(new DiscardHandler());
        // Only reading shows that the peer has closed.
        channel.config().setAutoRead(true);
        return resetIfStalled(channel, channel.writeAndFlush(message)).addListener(done -> {
            if (done.isSuccess()) {
                startLingering(channel);
            } else {
                channel.close();
            }
        });
    }

    /** Closes the connection that has lingered longest; false if none lingers. */
    boolean evictLongest() {
        var channels = lingering.keySet().iterator();
        if (!channels.hasNext()) {
            return false;
        }
        Channel longestLingering = channels.next();
        channels.remove();
        longestLingering.close();
        return true;
    }

    /** Closes a connection with a TCP reset, so that the peer sees that the answer is truncated. */
    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Returns the number of bytes in the channel's write buffer, not yet passed to the system. */
    static long unwrittenBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    /** Resets the connection if the write stalls for {@link #STALL_TIMEOUT_MS}; returns the write. */
    ChannelFuture resetIfStalled(Channel channel, ChannelFuture written) {
        if (!written.isDone()) {
            scheduleStallCheck(channel, written);
        }
        return written;
    }

    private void scheduleStallCheck(Channel channel, ChannelFuture written) {
        long unwrittenBefore = unwrittenBytes(channel);
        Future<?> check = loop.schedule(() -> {
            if (!written.isDone() && unwrittenBytes(channel) == unwrittenBefore) {
                reset(channel);
            } else if (!written.isDone()) {
                scheduleStallCheck(channel, written);
            }
        }, STALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        written.addListener(done -> check.cancel(false));
    }

    private void startLingering(Channel channel) {
        lingering.put(channel, nowMs());
        channel.closeFuture().addListener(closed -> lingering.remove(channel));
        ((DuplexChannel) channel).shutdownOutput().addListener(done -> {
            if (!done.isSuccess()) {
                channel.close();
            }
        });
        closeExpired();
    }

    /** Closes the connections whose linger time is over, and starts the timer for the next one. */
    private void closeExpired() {
        while (!lingering.isEmpty() && untilFirstExpiryMs() <= 0) {
            evictLongest();
        }
        if (expiryTimer == null && !lingering.isEmpty()) {
            expiryTimer = loop.schedule(() -> {
                expiryTimer = null;
                closeExpired();
            }, untilFirstExpiryMs(), TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the time until the connection that has lingered longest must be closed. */
    private long untilFirstExpiryMs() {
        return lingering.values().iterator().next() + maxLingerMs - nowMs();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Drops received bytes before they are decoded. */
    static final class DiscardHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            ReferenceCountUtil.release(bytes);
        }
    }
}
