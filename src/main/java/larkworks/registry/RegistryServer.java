package larkworks.registry;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import larkworks.rollout.Plan;
import larkworks.rollout.Report;
import larkworks.transport.TcpListener;

/**
 * The service's HTTP/1.1 side. Reads are PROTOCOL's "Discovery": {@code GET /registry/instances}, with
 * {@code index} and {@code wait} a watch. Writes, each answered {@code {"index": N}} once it is on disk:
 *
 * <pre>
 * PUT    /registry/v1/instances/NAME            {"address", "zone", "type", "group", "weight",
 *                                                "since_ms", "ttl_ms"}
 * PUT    /registry/v1/instances/NAME/status     {"status": "in_service" | "terminating" | "terminated"}
 * PUT    /registry/v1/instances/NAME/heartbeat
 * DELETE /registry/v1/instances/NAME
 * PUT    /registry/v1/rollout                   a {@link larkworks.rollout.Plan}
 * PUT    /registry/v1/rollout/pause, /resume, /rollback
 * PUT    /registry/v1/rollout/reports/NAME      a {@link larkworks.rollout.Report}; answered with the target
 * GET    /registry/v1/rollout
 * PUT    /registry/v1/admission/resume
 * PUT    /registry/v1/replicas                  {"addresses": {ID: address}}, one replaced at a time
 * GET    /registry/v1/status
 * </pre>
 *
 * Errors are {@code {"error": why}}: 400 a bad call, 404 no such instance or path, 405, 409 a name or address
 * that is taken, 413, 503 no writes until the disk works again, 507 not kept, try again.
 */
final class RegistryServer {

    static final String LIST = "/registry/instances";
    private static final String API = "/registry/v1/instances/";
    private static final String STATUS = "/registry/v1/status";
    private static final String REPLICAS = "/registry/v1/replicas";
    private static final String RESUME = "/registry/v1/admission/resume";
    private static final String ROLLOUT = "/registry/v1/rollout";
    private static final String REPORTS = "/reports/";
    private static final Set<String> COMMANDS = Set.of("/pause", "/resume", "/rollback");
    /** PROTOCOL: a watch waits 60 s at most. */
    private static final long MOST_WAIT_MS = 60_000;
    /** A caller that has a newer list than is held here waits so long for it to come, at least. */
    private static final long LEAST_CATCH_UP_MS = 500;
    private static final int MOST_BODY = 48 << 10;
    /** Calls read ahead on one connection; who sends more has no use for the answers. */
    private static final int MOST_AHEAD = 16;
    /** A connection without a call for so long is closed. */
    private static final int IDLE_S = 90;
    private static final int BACKLOG = 1_024;

    private final EventLoop loop;
    private final ListCalls service;
    private final ChannelGroup open;
    private Channel listener;

    RegistryServer(EventLoop loop, ListCalls service) {
        this.loop = loop;
        this.service = service;
        open = new DefaultChannelGroup(loop);
    }

    /**
     * Listens for callers.
     *
     * @return where it listens
     * @throws IOException where the address can't be had; the message is the operator's
     */
    InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(TcpListener.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        open.add(channel);
                        channel.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_S), new HttpServerCodec(),
                                new HttpObjectAggregator(MOST_BODY), new Connection());
                    }
                }).bind(address);
        listener = bound.channel();
        bound.await();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen at " + address + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return (InetSocketAddress) listener.localAddress();
    }

    /** Ends: no new connections, then the ones there are. */
    void close() {
        listener.close().syncUninterruptibly();
        open.close().syncUninterruptibly();
    }

    /**
     * One caller: its calls are answered one after the other, in their order, and none is taken while the
     * caller doesn't read its answers.
     */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Queue<FullHttpRequest> ahead = new ArrayDeque<>();
        private Watches.Watch watch;
        private boolean answering;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest call) {
            if (ahead.size() >= MOST_AHEAD) {
                context.close();
            } else if (answering || !context.channel().isWritable()) {
                ahead.add(call.retain());
            } else {
                take(context, call);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            takeNext(context);
        }

        /** Takes the next call that was read ahead, unless one is being answered or answers are unread. */
        private void takeNext(ChannelHandlerContext context) {
            if (answering || ahead.isEmpty() || !context.channel().isWritable()) {
                return;
            }
            answering = true;
            FullHttpRequest next = ahead.remove();
            // Not from here: a row of calls would be as many calls deep.
            loop.execute(() -> {
                try {
                    take(context, next);
                } finally {
                    next.release();
                }
            });
        }

        private void take(ChannelHandlerContext context, FullHttpRequest call) {
            answering = true;
            boolean keep = HttpUtil.isKeepAlive(call);
            try {
                if (call.decoderResult().isFailure()) {
                    keep = false;
                    throw new Refusal(400, "no HTTP/1.1 call");
                }
                route(context, call, keep);
            } catch (Refusal e) {
                answer(context, e.status(), error(e.getMessage()), keep);
            }
        }

        private void route(ChannelHandlerContext context, FullHttpRequest call, boolean keep)
                throws Refusal {
            QueryStringDecoder uri = decoded(call.uri());
            String path = uri.path();
            if (path.equals(LIST)) {
                want(call, HttpMethod.GET);
                read(context, uri.parameters(), keep);
            } else if (path.equals(STATUS)) {
                want(call, HttpMethod.GET);
                answer(context, 200, Unpooled.wrappedBuffer(Words.bytes(service.figures())), keep);
            } else if (path.equals(RESUME)) {
                want(call, HttpMethod.PUT);
                service.resumeAdmission(done(context, keep));
            } else if (path.equals(REPLICAS)) {
                want(call, HttpMethod.PUT);
                Replicas asked = Words.body(ByteBufUtil.getBytes(call.content()), Replicas.class);
                service.setReplicas(asked.addresses(), done(context, keep));
            } else if (path.equals(ROLLOUT) || path.startsWith(ROLLOUT + "/")) {
                rollout(context, call, path.substring(ROLLOUT.length()), keep);
            } else if (path.startsWith(API)) {
                write(context, call, path.substring(API.length()).split("/", -1), keep);
            } else {
                throw new Refusal(404, "no such path");
            }
        }

        private void read(ChannelHandlerContext context, Map<String, List<String>> query, boolean keep)
                throws Refusal {
            long from = number(query, "index", -1);
            long wait = Math.min(number(query, "wait", 0), MOST_WAIT_MS);
            service.checkReadable();
            Watches lists = service.lists();
            boolean ahead = from > lists.index();
            Refusal refusal = ahead ? service.ahead(from, false) : null;
            if (refusal != null) {
                throw refusal;
            }
            if (from < 0) {
                answer(context, 200, lists.whole(), keep);
            } else if (from < lists.index() || wait == 0 && !ahead) {
                answer(context, 200, lists.since(from), keep);
            } else {
                watch = lists.watch(from, ahead ? Math.max(wait, LEAST_CATCH_UP_MS) : wait, body -> {
                    watch = null;
                    if (body == null) {
                        Refusal behind = service.ahead(from, true);
                        answer(context, behind.status(), error(behind.getMessage()), keep);
                    } else {
                        answer(context, 200, body, keep);
                    }
                });
            }
        }

        private void write(ChannelHandlerContext context, FullHttpRequest call, String[] path, boolean keep)
                throws Refusal {
            String name = path[0];
            byte[] body = ByteBufUtil.getBytes(call.content());
            if (path.length == 1 && call.method().equals(HttpMethod.DELETE)) {
                service.write(new Command.SetStatus(name, Status.TERMINATED), done(context, keep));
            } else if (path.length == 1) {
                want(call, HttpMethod.PUT);
                Registration asked = Words.body(body, Registration.class);
                service.write(new Command.Register(name, asked), done(context, keep));
            } else if (path.length == 2 && path[1].equals("status")) {
                want(call, HttpMethod.PUT);
                StatusCall asked = Words.body(body, StatusCall.class);
                service.write(new Command.SetStatus(name, asked.status()), done(context, keep));
            } else if (path.length == 2 && path[1].equals("heartbeat")) {
                want(call, HttpMethod.PUT);
                service.heartbeat(name, done(context, keep));
            } else {
                throw new Refusal(404, "no such path");
            }
        }

        private void rollout(ChannelHandlerContext context, FullHttpRequest call, String path, boolean keep)
                throws Refusal {
            if (path.isEmpty() && call.method().equals(HttpMethod.GET)) {
                service.rollout(json(context, keep));
                return;
            }
            want(call, HttpMethod.PUT);
            byte[] body = ByteBufUtil.getBytes(call.content());
            if (path.startsWith(REPORTS) && path.length() > REPORTS.length()) {
                Report report = checked(Words.body(body, Report.class), Report::check);
                service.report(path.substring(REPORTS.length()), report, json(context, keep));
            } else if (path.isEmpty()) {
                Plan plan = checked(Words.body(body, Plan.class), Plan::check);
                service.write(new Command.Publish(plan), done(context, keep));
            } else if (COMMANDS.contains(path)) {
                service.write(new Command.Steer(path.substring(1)), done(context, keep));
            } else {
                throw new Refusal(404, "no such path");
            }
        }

        private Answer<Long> done(ChannelHandlerContext context, boolean keep) {
            return (index, failure) -> answer(context, failure,
                    failure == null ? Words.bytes(Map.of("index", index)) : null, keep);
        }

        private Answer<byte[]> json(ChannelHandlerContext context, boolean keep) {
            return (body, failure) -> answer(context, failure, body, keep);
        }

        private void answer(ChannelHandlerContext context, Exception failure, byte[] body, boolean keep) {
            if (failure == null) {
                answer(context, 200, Unpooled.wrappedBuffer(body), keep);
            } else if (failure instanceof Refusal refusal) {
                answer(context, refusal.status(), error(refusal.getMessage()), keep);
            } else {
                answer(context, failure instanceof Wal.Broken ? 503 : 507,
                        error("not stored: " + failure.getMessage()), keep);
            }
        }

        private void answer(ChannelHandlerContext context, int status, ByteBuf body, boolean keep) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), body);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            service.describe(response.headers());
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = context.writeAndFlush(response);
            if (!keep) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            answering = false;
            takeNext(context);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (watch != null) {
                watch.cancel();
                watch = null;
            }
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
            if (event instanceof IdleStateEvent && !answering) {
                context.close();
            } else {
                super.userEventTriggered(context, event);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A reset, or bytes that are no call: whoever sent them expects no more.
            context.close();
        }
    }

    private static <T> T checked(T body, Consumer<T> check) throws Refusal {
        try {
            check.accept(body);
            return body;
        } catch (IllegalArgumentException e) {
            throw new Refusal(400, e.getMessage());
        }
    }

    /** The body of a call about the replicas: their addresses by id. */
    private record Replicas(Map<String, String> addresses) { }

    /** The body of a call about a status. */
    private record StatusCall(Status status) { }

    /** Which data the service holds: a client must not apply changes to a list of another. */
    static final String EPOCH = "X-Registry-Epoch";

    private static ByteBuf error(String why) {
        return Unpooled.wrappedBuffer(Words.bytes(Map.of("error", why)));
    }

    private static void want(FullHttpRequest call, HttpMethod method) throws Refusal {
        if (!call.method().equals(method)) {
            throw new Refusal(405, method + " is wanted");
        }
    }

    private static QueryStringDecoder decoded(String uri) throws Refusal {
        try {
            QueryStringDecoder decoder = new QueryStringDecoder(uri);
            decoder.parameters();
            return decoder;
        } catch (IllegalArgumentException e) {
            throw new Refusal(400, "the path can't be read");
        }
    }

    private static long number(Map<String, List<String>> query, String key, long fallback) throws Refusal {
        List<String> given = query.get(key);
        if (given == null) {
            return fallback;
        }
        if (given.size() != 1 || !given.get(0).matches("[0-9]{1,18}")) {
            throw new Refusal(400, key + ": one whole number is wanted, not " + given);
        }
        return Long.parseLong(given.get(0));
    }
}
