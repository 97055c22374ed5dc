package larkworks.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after a last message so that the peer gets it: closed at once, with bytes of the peer's
 * still unread, the connection would be reset, and the message lost with it.
 */
final class Lingering {

    private Lingering() { }

    /**
     * Writes the message, ends the sending, and closes once the peer has or the time is over.
     *
     * @return how the writing of the message ends
     */
    static ChannelFuture close(Channel channel, Object message, long mostMs) {
        channel.config().setAutoRead(true);
        return channel.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                channel.close();
                return;
            }
            ((DuplexChannel) channel).shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), mostMs, TimeUnit.MILLISECONDS);
        });
    }
}
