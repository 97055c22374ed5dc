package larkworks.proxy;

import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the total size of the write buffers of large bodies: the more channels write one, the smaller the
 * share of each. A channel's share is its high water mark, so the channel is not writable while its buffer
 * exceeds the share, and the sender of the body is not read meanwhile.
 */
final class Flow {

    private static final int ALL = 4 << 20;
    private static final int MOST = 64 << 10;
    private static final int LEAST = 4 << 10;

    private final Set<Channel> channels = new HashSet<>();
    private int share = MOST;

    /** Adds a channel to which a large body will be written. */
    void begin(Channel channel) {
        channels.add(channel);
        mark(channel);
        divide();
    }

    /** Removes a channel whose large body has ended. */
    void end(Channel channel) {
        channels.remove(channel);
        divide();
    }

    private void divide() {
        int fair = MOST;
        while (fair > LEAST && (long) fair * channels.size() > ALL) {
            fair /= 2;
        }
        if (fair != share) {
            share = fair;
            channels.forEach(this::mark);
        }
    }

    private void mark(Channel channel) {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(share / 2, share));
    }
}
