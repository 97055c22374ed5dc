package larkworks.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import larkworks.transport.TcpChannel;

/**
 * A hollow client's connection to a service: HTTP/1.1, one call at a time. Of an answer only the
 * beginning is kept, as hundreds of clients may be answered with a whole list at once.
 */
final class ServiceConnection {

    /** What the client hears; on the loop. */
    interface Client {
        /** It is up. */
        void connected();

        /** The call that was out is answered. */
        void answered(Answer answer);

        /** It never came up, or is gone. */
        void lost();
    }

    /**
     * An answer.
     *
     * @param head the beginning of its body, {@link #HEAD} bytes at most
     */
    record Answer(int status, String head) { }

    /** Bytes above TCP, of all connections that count here. */
    static final class Bytes {
        long sent;
        long received;
    }

    private static final int HEAD = 96;
    private static final int CONNECT_MS = 2_000;

    private final Client client;
    private final Bytes bytes;
    private final String host;
    private final Channel channel;
    private boolean over;

    /** @param from local address, by which the service tells hollow clients apart as it would machines */
    ServiceConnection(EventLoop loop, InetSocketAddress from, InetSocketAddress to, Bytes bytes,
            Client client) {
        this.client = client;
        this.bytes = bytes;
        host = to.getHostString() + ":" + to.getPort();
        ChannelFuture connecting = new Bootstrap().group(loop).channel(TcpChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline().addLast(new Counting(), new HttpClientCodec(), new Reader());
                    }
                }).connect(to, from);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (over) {
                channel.close();
            } else if (done.isSuccess()) {
                client.connected();
            } else {
                lost();
            }
        });
    }

    void get(String path) {
        call(HttpMethod.GET, path, "", Map.of());
    }

    void get(String path, Map<String, String> headers) {
        call(HttpMethod.GET, path, "", headers);
    }

    void put(String path, String body) {
        call(HttpMethod.PUT, path, body, Map.of());
    }

    private void call(HttpMethod method, String path, String body, Map<String, String> headers) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, host);
        headers.forEach(request.headers()::set);
        if (!method.equals(HttpMethod.GET)) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        }
        channel.writeAndFlush(request);
    }

    /** Nothing more is heard of it, and the service hears nothing of its end. */
    void silence() {
        over = true;
        channel.config().setAutoRead(false);
    }

    /** Ends it; the client hears nothing. */
    void close() {
        over = true;
        channel.close();
    }

    private void lost() {
        if (!over) {
            over = true;
            client.lost();
        }
    }

    private final class Counting extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytes.received += ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            bytes.sent += ((ByteBuf) message).readableBytes();
            context.write(message, promise);
        }
    }

    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        private final StringBuilder head = new StringBuilder();
        private int status;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (part instanceof HttpResponse response) {
                status = response.status().code();
                head.setLength(0);
            }
            if (part instanceof HttpContent content && head.length() < HEAD) {
                ByteBuf body = content.content();
                head.append(body.toString(body.readerIndex(),
                        Math.min(body.readableBytes(), HEAD - head.length()), StandardCharsets.US_ASCII));
            }
            if (part instanceof LastHttpContent && !over) {
                client.answered(new Answer(status, head.toString()));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
