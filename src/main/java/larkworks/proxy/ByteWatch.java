package larkworks.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells that bytes came on a connection, before anything is made of them. */
final class ByteWatch extends ChannelInboundHandlerAdapter {

    private final Runnable action;

    ByteWatch(Runnable action) {
        this.action = action;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        action.run();
        context.fireChannelRead(bytes);
    }
}
