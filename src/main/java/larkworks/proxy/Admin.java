package larkworks.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import larkworks.adapter.Json;
import larkworks.transport.TcpListener;

/**
 * The operators' address: one call to a connection. It has descriptors of its own, so that clients can't
 * crowd it out; callers who send nothing, or half a call, hold one only until others need it.
 */
final class Admin {

    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    /** Connections at a time; past that the longest silent goes. */
    static final int MOST_CONNECTIONS = 16;
    private static final int MOST_BODY = 4096;
    /** Who has not sent a whole call by then is cut off. */
    private static final long PATIENCE_MS = 2_500;
    /** Time to take an answer before the connection closes for good. */
    private static final long LINGER_MS = 500;

    private final EventLoop loop;
    private final BooleanSupplier ready;
    private final Maintenance maintenance;
    /** What else is shown, as JSON, by path. */
    private final Map<String, Supplier<String>> tables;
    /** Null where no metrics are kept. */
    private final Meters meters;
    /** Connections, the longest silent first. */
    private final Set<Channel> open = new LinkedHashSet<>();
    private final LingeringClose lingering;

    Admin(EventLoop loop, BooleanSupplier ready, Maintenance maintenance,
            Map<String, Supplier<String>> tables, Meters meters) {
        this.meters = meters;
        this.loop = loop;
        this.lingering = new LingeringClose(loop, LINGER_MS);
        this.ready = ready;
        this.maintenance = maintenance;
        this.tables = tables;
    }

    ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap().group(loop).channel(TcpListener.class)
                .option(ChannelOption.SO_BACKLOG, 256)
                // Few at a time, so that each is read before as many new ones push it out.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1)
                        .maxMessagesPerRead(MOST_CONNECTIONS / 4))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        opened(channel);
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new Aggregator(), new Calls());
                    }
                }).bind(address);
    }

    private void opened(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        loop.schedule(() -> channel.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (open.size() > MOST_CONNECTIONS && !lingering.evictLongest()) {
            open.iterator().next().close();
        }
    }

    private record Reply(HttpResponseStatus status, String type, String text) {
        Reply(HttpResponseStatus status, String text) {
            this(status, "text/plain", text);
        }
    }

    private Reply reply(FullHttpRequest call) {
        if (call.decoderResult().isFailure()) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "no HTTP/1.1 call");
        }
        String path = call.uri();
        boolean down = path.equals("/ops/backends/down");
        Supplier<String> table = tables.get(path);
        boolean asks = table != null || path.equals("/ops/readiness");
        if (!down && !asks && !path.equals("/ops/backends/up")) {
            return new Reply(HttpResponseStatus.NOT_FOUND, "no such call");
        }
        if (!call.method().equals(asks ? HttpMethod.GET : HttpMethod.PUT)) {
            return new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, asks ? "GET only" : "PUT only");
        }
        if (table != null) {
            return new Reply(HttpResponseStatus.OK, "application/json", table.get());
        }
        if (asks) {
            return ready.getAsBoolean() ? new Reply(HttpResponseStatus.OK, "ready")
                    : new Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
        }
        return backendCall(call, down);
    }

    private Reply backendCall(FullHttpRequest call, boolean down) {
        Object who;
        try {
            who = Json.object(ByteBufUtil.getBytes(call.content())).get("who");
        } catch (IOException | RuntimeException e) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "the body is no JSON object");
        }
        if (!(who instanceof String backend)) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "'who' is missing or no string");
        }
        return switch (maintenance.call(backend, down)) {
            case DONE -> new Reply(HttpResponseStatus.OK, down ? "left out" : "may serve again");
            case UNKNOWN -> new Reply(HttpResponseStatus.NOT_FOUND, "no such backend");
            case NOT_KEPT -> new Reply(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the call can't be kept");
        };
    }

    private static FullHttpResponse response(Reply reply) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(),
                Unpooled.copiedBuffer(reply.text() + "\n", StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.type())
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, "close");
        return response;
    }

    /** Turns away a body that is too large; the rest of it is read, so that the answer arrives. */
    private final class Aggregator extends HttpObjectAggregator {

        Aggregator() {
            super(MOST_BODY, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            lingering.close(context.channel(), response(
                    new Reply(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")));
        }
    }

    /** One connection's call. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            // A new place in the order of silence, which is that of insertion.
            if (open.remove(context.channel())) {
                open.add(context.channel());
            }
            super.channelRead(context, message);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
            if (answered) {
                return;
            }
            answered = true;
            if (meters != null && call.uri().equals("/metrics") && call.method().equals(HttpMethod.GET)) {
                Channel channel = context.channel();
                meters.scrape(text -> loop.execute(() -> lingering.close(channel, response(
                        new Reply(HttpResponseStatus.OK, METRICS_TYPE, text)))));
                return;
            }
            lingering.close(context.channel(), response(reply(call)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset or bytes that are no call; who sent them has no more to expect.
            context.close();
        }
    }
}
