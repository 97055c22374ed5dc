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
final class WriteBufferShares {

    /** Limit for all write buffers together, unless the minimum share makes them exceed it. */
    private static final int TOTAL_BYTES = 4 << 20;
    private static final int MAX_SHARE_BYTES = 64 << 10;
    private static final int MIN_SHARE_BYTES = 4 << 10;

    private final Set<Channel> channels = new HashSet<>();
    private int shareBytes = MAX_SHARE_BYTES;

    /** Adds a channel to which a large body will be written. */
    void add(Channel channel) {
        channels.add(channel);
        setWaterMark(channel);
        updateShares();
    }

    /** Removes a channel whose large body has ended. */
    void remove(Channel channel) {
        channels.remove(channel);
        updateShares();
    }

    /** Halves the maximum share until all shares together fit the total or the minimum is reached. */
    private void updateShares() {
        int newShareBytes = MAX_SHARE_BYTES;
        while (newShareBytes > MIN_SHARE_BYTES && (long) newShareBytes * channels.size() > TOTAL_BYTES) {
            newShareBytes /= 2;
        }
        if (newShareBytes != shareBytes) {
            shareBytes = newShareBytes;
            channels.forEach(this::setWaterMark);
        }
    }

    private void setWaterMark(Channel channel) {
        channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(shareBytes / 2, shareBytes));
    }
}
