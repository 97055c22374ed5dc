package larkworks.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import larkworks.transport.TcpListener;

/** A hollow backend's service: it answers each call with 200 and a short body after a fixed time. */
final class AnsweringServer {

    private static final int MOST_BODY = 64 << 10;
    private static final ByteBuf BODY = Unpooled.unreleasableBuffer(
            Unpooled.wrappedBuffer("x".repeat(200).getBytes(java.nio.charset.StandardCharsets.US_ASCII)));

    private final EventLoop loop;
    private final long afterUs;

    AnsweringServer(EventLoop loop, double afterMs) {
        this.loop = loop;
        afterUs = (long) (1e3 * afterMs);
    }

    ChannelFuture listen(InetSocketAddress address) {
        return new ServerBootstrap().group(loop).channel(TcpListener.class)
                .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new Answering());
                    }
                }).bind(address);
    }

    private final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
            var answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    BODY.duplicate());
            answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, BODY.readableBytes());
            if (afterUs == 0) {
                context.writeAndFlush(answer);
            } else {
                loop.schedule(() -> context.writeAndFlush(answer), afterUs, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
