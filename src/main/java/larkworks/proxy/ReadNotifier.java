package larkworks.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Runs an action whenever bytes are read from a connection, before they are decoded. */
final class ReadNotifier extends ChannelInboundHandlerAdapter {

    private final Runnable action;

    ReadNotifier(Runnable action) {
        this.action = action;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        action.run();
        context.fireChannelRead(bytes);
    }
}
