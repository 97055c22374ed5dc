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
 * The HTTP server at the admin address, with one request per connection. Its descriptors are reserved, so
 * that client connections can't exhaust them; connections that send no request, or only a part of one, are
 * closed when others need their descriptors.
 */
final class AdminServer {

    private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    /**
     * Maximum open connections. If another is accepted, one whose answer has been sent is closed, or else the
     * one that has sent nothing for longest.
     */
    static final int MAX_CONNECTIONS = 16;
    private static final int MAX_BODY_BYTES = 4096;
    /** Connections are closed after this time, even if no complete request has arrived. */
    private static final long CONNECTION_TIMEOUT_MS = 2_500;
    /** Time for the operator to read an answer before the connection is closed. */
    private static final long LINGER_TIMEOUT_MS = 500;

    private final EventLoop loop;
    private final BooleanSupplier isReady;
    private final Maintenance maintenance;
    /** Suppliers of JSON tables, by the path that they are served at. */
    private final Map<String, Supplier<String>> jsonTables;
    /** Null if metrics are off. */
    private final Meters meters;
    /** Open connections, the one that has sent nothing for longest first. */
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final LingeringClose lingeringClose;

    AdminServer(EventLoop loop, BooleanSupplier isReady, Maintenance maintenance,
            Map<String, Supplier<String>> jsonTables, Meters meters) {
        this.meters = meters;
        this.loop = loop;
        this.lingeringClose = new LingeringClose(loop, LINGER_TIMEOUT_MS);
        this.isReady = isReady;
        this.maintenance = maintenance;
        this.jsonTables = jsonTables;
    }

    ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap().group(loop).channel(TcpListener.class)
                .option(ChannelOption.SO_BACKLOG, 256)
                // Accepts few connections per loop iteration, so that each is read before new ones evict it.
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(1)
                        .maxMessagesPerRead(MAX_CONNECTIONS / 4))
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connectionOpened(channel);
                        channel.pipeline().addLast(new HttpServerCodec(),
                                new BodyAggregator(), new RequestHandler());
                    }
                }).bind(address);
    }

    private void connectionOpened(Channel channel) {
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        loop.schedule(() -> channel.close(), CONNECTION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (connections.size() > MAX_CONNECTIONS && !lingeringClose.evictLongest()) {
            connections.iterator().next().close();
        }
    }

    private record Reply(HttpResponseStatus status, String type, String text) {
        Reply(HttpResponseStatus status, String text) {
            this(status, "text/plain", text);
        }
    }

    private Reply replyTo(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "no HTTP/1.1 call");
        }
        String path = request.uri();
        boolean inMaintenance = path.equals("/ops/backends/down");
        Supplier<String> jsonTable = jsonTables.get(path);
        boolean isQuery = jsonTable != null || path.equals("/ops/readiness");
        if (!inMaintenance && !isQuery && !path.equals("/ops/backends/up")) {
            return new Reply(HttpResponseStatus.NOT_FOUND, "no such call");
        }
        if (!request.method().equals(isQuery ? HttpMethod.GET : HttpMethod.PUT)) {
            return new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, isQuery ? "GET only" : "PUT only");
        }
        if (jsonTable != null) {
            return new Reply(HttpResponseStatus.OK, "application/json", jsonTable.get());
        }
        if (isQuery) {
            return isReady.getAsBoolean() ? new Reply(HttpResponseStatus.OK, "ready")
                    : new Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready");
        }
        return setMaintenance(request, inMaintenance);
    }

    private Reply setMaintenance(FullHttpRequest request, boolean inMaintenance) {
        Object nameValue;
        try {
            nameValue = Json.object(ByteBufUtil.getBytes(request.content())).get("who");
        } catch (IOException | RuntimeException e) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "the body is no JSON object");
        }
        if (!(nameValue instanceof String backend)) {
            return new Reply(HttpResponseStatus.BAD_REQUEST, "'who' is missing or no string");
        }
        return switch (maintenance.setMaintenance(backend, inMaintenance)) {
            case DONE -> new Reply(HttpResponseStatus.OK, inMaintenance ? "left out" : "may serve again");
            case UNKNOWN_BACKEND -> new Reply(HttpResponseStatus.NOT_FOUND, "no such backend");
            case NOT_STORED -> new Reply(HttpResponseStatus.INTERNAL_SERVER_ERROR, "the call can't be kept");
        };
    }

    private static FullHttpResponse toResponse(Reply reply) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(),
                Unpooled.copiedBuffer(reply.text() + "\n", StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.type())
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, "close");
        return response;
    }

    /**
     * Collects a request's body and refuses one that is too large. The rest of a refused body is still read:
     * closing the connection with unread bytes could reset it before the client has the answer.
     */
    private final class BodyAggregator extends HttpObjectAggregator {

        BodyAggregator() {
            super(MAX_BODY_BYTES, true);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            lingeringClose.close(context.channel(), toResponse(
                    new Reply(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large")));
        }
    }

    /** Answers the request of one connection. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private boolean answered;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            // Moves the connection to the end of the set, which keeps the order of insertion.
            if (connections.remove(context.channel())) {
                connections.add(context.channel());
            }
            super.channelRead(context, message);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (answered) {
                return;
            }
            answered = true;
            if (meters != null && request.uri().equals("/metrics")
                    && request.method().equals(HttpMethod.GET)) {
                Channel channel = context.channel();
                meters.scrape(text -> loop.execute(() -> lingeringClose.close(channel, toResponse(
                        new Reply(HttpResponseStatus.OK, METRICS_CONTENT_TYPE, text)))));
                return;
            }
            lingeringClose.close(context.channel(), toResponse(replyTo(request)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The connection was reset, or its bytes are not HTTP: no answer is possible.
            context.close();
        }
    }
}
