package larkworks.proxy;

import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

/** Connections on which a single write fails at once, as where the other side has just reset them. */
final class FailingChannels implements ChannelFactory<NioSocketChannel> {

    private final AtomicBoolean failNextWrite = new AtomicBoolean();

    /** Makes the next write to the socket of any of these connections fail. */
    void failNextWrite() {
        failNextWrite.set(true);
    }

    @Override
    public NioSocketChannel newChannel() {
        return new NioSocketChannel() {
            @Override
            protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
                if (failNextWrite.getAndSet(false)) {
                    throw new IOException("Connection reset by peer");
                }
                super.doWrite(buffer);
            }
        };
    }
}
