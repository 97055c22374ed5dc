package larkworks.proxy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import larkworks.Balancer.Effect;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Settings;
import larkworks.proxy.Invariants.Rule;
import larkworks.transport.PollTimes;
import larkworks.transport.SystemError;
import larkworks.transport.TcpListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The clients' side: reads their requests, hands good ones to the driver, and writes the answers. */
final class Frontend {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** Clients may send a body at 64 kB a second; one that stays well under that is no client. */
    private static final long LEAST_RATE = 48_000;
    /** Time between a head and its body's first bytes that is granted however late the head was. */
    private static final long BODY_GRACE_MS = 500;
    /** What all requests together may fill with bodies that are held whole, or not known to be large yet. */
    private static final int MOST_HELD = 8 << 20;
    /** A transfer that stands still for so long is cut off. */
    private static final long STALL_MS = LingeringClose.STALL_MS;
    /** Who is silent for so long goes first where descriptors run short: honest heads come in pieces. */
    private static final long SILENT_MS = 300;
    /**
     * A connection that has never carried a proper request is closed after so long without a request. Who
     * sends nothing, or not enough, is owed that within 3 s; for the first 2 s anybody may take their time.
     */
    private static final long STRANGER_MS = 2_500;

    /** At its end the process waits no longer for clients to close than this. */
    private static final long LAST_LINGER_MS = 1_000;

    /** What came from a client so long ago does not tell any more whether it is still there. */
    private static final long FRESH_MS = 50;

    /** Polls after a connection's acceptance by which what lay in it then has been read. */
    private static final int FIRST_READ_POLLS = 2;

    /** Reads of one connection in a turn: a request of the usual size, and the end behind it. */
    private static final int MOST_READS = 16;

    private final EventLoop loop;
    private final Sockets sockets;
    private final Driver driver;
    private final PollTimes polls;
    private final Settings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    /** Clients' connections without a request, the longest silent first. */
    private final Set<Connection> idle = new LinkedHashSet<>();
    /** Those that have not carried a whole request yet, likewise. */
    private final Set<Connection> strangers = new LinkedHashSet<>();
    private final Flow flow = new Flow();
    /** Connections whose last answer has gone, with the time that a silent client has. */
    private final LingeringClose lingering;
    private TcpListener listener;
    private Consumer<SystemError> onAcceptFailure = error -> { };
    private int connections;
    private int heldBytes;
    /** Whether a connection is read out of its turn. */
    private boolean readingNow;
    private boolean warm;
    private boolean draining;

    Frontend(Config config, EventLoop loop, Sockets sockets, Driver driver, PollTimes polls) {
        this.polls = polls;
        this.loop = loop;
        this.sockets = sockets;
        this.driver = driver;
        this.lingering = new LingeringClose(loop, STRANGER_MS);
        this.settings = config.settings();
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenants.put(settings.tenants().get(i).name(), i);
        }
        sockets.onRelease(() -> accept(true));
    }

    /**
     * Listens for clients.
     *
     * @param shared whether another process of this proxy may listen at the same address
     */
    ChannelFuture listen(SocketAddress address, boolean shared) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop)
                .channelFactory(() -> new TcpListener(polls))
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // To the end of what is there, also past a short read: whoever sent it may have left.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBufferAllocator()
                        .respectMaybeMoreData(false).maxMessagesPerRead(MOST_READS))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(new ByteWatch(connection::stir),
                                new RequestDecoder(), new HttpResponseEncoder(), connection);
                    }
                });
        if (shared) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        ChannelFuture bound = bootstrap.bind(address);
        if (bound.channel() instanceof TcpListener listening) {
            listener = listening;
            listener.onFailure(this::acceptFailed);
        }
        return bound;
    }

    private void acceptFailed(SystemError error, boolean persists) {
        onAcceptFailure.accept(error);
        if (persists && error == SystemError.EMFILE) {
            sockets.evictOne();
        }
    }

    /** Has each failed accept told. */
    void onAcceptFailure(Consumer<SystemError> told) {
        onAcceptFailure = told;
    }

    /** From now on ready, while some backend could be sent a request. */
    void ready() {
        warm = true;
    }

    /** Whether clients can connect. */
    boolean listens() {
        return listener != null && listener.isActive();
    }

    /** From now on not ready, and each answer closes its connection; new connections still come. */
    void drain() {
        draining = true;
        lingering.limit(LAST_LINGER_MS);
    }

    boolean drains() {
        return draining;
    }

    /** Takes no further connections, but for those already in the listener's queue, which would be reset. */
    void stopListening() {
        if (listener != null && listener.isOpen()) {
            listener.drainAndClose();
        }
    }

    /**
     * Closes connections on which no request has begun to come: clients send on every one that stays open, to
     * the end of the process. One that never carried any may have its first on the way for a moment. What has
     * come is read first. What crosses the close can't be seen; it is dropped unanswered, and its client,
     * which has the last answer whole and then the end, sends it once more.
     */
    void closeUnused() {
        List<Connection> unused = Stream.concat(idle.stream(),
                strangers.stream().filter(Connection::silentLong))
                .filter(Connection::unused).toList();
        unused.forEach(connection -> {
            connection.readNow();
            if (connection.unused()) {
                connection.finish(Unpooled.EMPTY_BUFFER, CloseReason.UNUSED_AT_END);
            }
        });
    }

    /** What all requests together hold of bodies. */
    int heldBytes() {
        return heldBytes;
    }

    /** Clients' connections that are open. */
    int connections() {
        return connections;
    }

    /** Whether the listener is closed and so is each client's connection. */
    boolean isEmpty() {
        return (listener == null || !listener.isOpen()) && connections == 0;
    }

    /** Whether clients find this process at their address, and requests some backend. */
    boolean serves() {
        return warm && !draining && driver.canServe();
    }

    /** Closes the connection that only waits for its client to close, for longest; false where none does. */
    boolean evictLingering() {
        return lingering.evict();
    }

    /** Closes the stranger that has been silent longest, if for a while; false where there is none. */
    boolean evictStranger() {
        return evict(strangers, Connection::silentLong);
    }

    /** Closes the client's connection that was idle longest, else any stranger's; false where none is. */
    boolean evict() {
        return evict(idle, any -> true) || evict(strangers, any -> true);
    }

    private static boolean evict(Set<Connection> from, Predicate<Connection> wanted) {
        // A copy, as reading moves those from which something comes.
        for (Connection chosen : List.copyOf(from)) {
            if (wanted.test(chosen)) {
                chosen.readNow();
                if (wanted.test(chosen) && chosen.evict()) {
                    return true;
                }
            }
        }
        return false;
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void accept(boolean on) {
        if (listener != null) {
            listener.suspend(!on);
        }
    }

    /** A request that can't be taken; the status tells why. */
    private static final class Rejected extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient HttpResponseStatus status;

        Rejected(HttpResponseStatus status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    /** What a request asks for, by its head alone. */
    private Driver.Inbound read(HttpRequest request) throws Rejected {
        HttpHeaders headers = request.headers();
        String id = headers.get("X-Call-Id");
        if (id == null || id.isBlank()) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "no X-Call-Id");
        }
        String name = firstPart(request.uri());
        Integer number = classes.get(name);
        if (number == null || !name.equals(headers.get("X-Call-Class", name))) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "unknown class");
        }
        RequestClass kind = settings.classes().get(number);
        HttpMethod wanted = kind.effect() == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST;
        if (!request.method().equals(wanted)) {
            throw new Rejected(HttpResponseStatus.METHOD_NOT_ALLOWED, "wrong method");
        }
        String key = headers.get("Idempotency-Key");
        if (kind.effect() == Effect.KEYED && key == null) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "no Idempotency-Key");
        }
        long budgetUs = number(headers, "X-Budget-Ms", kind.deadlineUs() / 1000) * 1000;
        return new Driver.Inbound(id, request.method(), request.uri(), key, null, null,
                headers.get(HttpHeaderNames.CONTENT_TYPE), number,
                tenants.getOrDefault(headers.get("X-Caller"), 0), budgetUs,
                number(headers, "X-Call-Cost", 0), "1".equals(headers.get("X-Again")), 0);
    }

    /** Whether a body may come, and in a form that is taken here. */
    private static void checkBody(HttpRequest request) throws Rejected {
        if (request.decoderResult().isFailure() || RequestDecoder.codedOddly(request)) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, "broken request");
        }
        if (HttpUtil.getContentLength(request, 0L) > BackendPool.MAX_BODY_BYTES) {
            throw new Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpUtil.is100ContinueExpected(request)) {
            throw new Rejected(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        }
    }

    private static long number(HttpHeaders headers, String name, long absent) throws Rejected {
        String text = headers.get(name);
        if (text == null) {
            return absent;
        }
        try {
            // Longer than a day is as good as any time, and far from overflowing.
            return Math.min(86_400_000, Math.max(0, Long.parseLong(text.strip())));
        } catch (NumberFormatException e) {
            throw new Rejected(HttpResponseStatus.BAD_REQUEST, name + " is no whole number");
        }
    }

    private static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && "/?".indexOf(uri.charAt(end)) < 0) {
            end++;
        }
        return uri.isEmpty() ? "" : uri.substring(1, end);
    }

    /** A client's connection. Its requests are answered in the order in which they came. */
    private final class Connection extends ChannelInboundHandlerAdapter {

        private final Channel channel;
        private final long openedMs = nowMs();
        /** The poll that found it, and since when it may have waited in the listener's queue. */
        private final long openedPoll = polls.polls();
        private final long queuedSinceNs = listener.queuedSinceNs();
        /** What came behind the request in hand. */
        private final Backlog later = new Backlog(change -> MOST_HELD - (heldBytes += change));
        /** The request in hand, from its head until its answer has gone; else null. */
        private HttpRequest head;
        /** Whether its body is still coming. */
        private boolean receiving;
        /** What came of the body, while it may yet be small; else null. */
        private ByteBuf body;
        private Upload upload;
        private long received;
        /** Its part of {@link #heldBytes}. */
        private int holding;
        private long bodyFromMs;
        /** What its head asks for, still without its body; null where it can't be taken. */
        private Driver.Inbound asked;
        private Rejected rejected;
        private boolean keep;
        /** A whole request, until all that came in the same turn of the loop has been read; else null. */
        private Driver.Inbound ready;
        /** Handed to the driver and not answered yet. */
        private boolean busy;
        private PendingRequest held;
        private Answering answering;
        /** The last answer is on its way: nothing that comes counts any more. */
        private boolean closing;
        /** Whether a request came that could be taken: strangers are not to hold descriptors for long. */
        private boolean proper;
        /** Bytes have come since the last request. */
        private boolean stirred;
        private long stirredMs = openedMs;
        /** What is still owed by the client, cut off when it is late. */
        private Future<?> patience;

        private Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            connections++;
            channel.closeFuture().addListener(closed -> {
                connections--;
                patience(null);
                sockets.release();
                driver.invariants().check(connections >= 0 && heldBytes >= 0 && sockets.isConsistent(),
                        Rule.COUNTS_NOT_NEGATIVE, "", () -> "connections=" + connections + " held_bytes="
                                + heldBytes + " sockets=" + sockets.openCount());
            });
            if (!sockets.addAccepted()) {
                // The next connections wait in the listener's queue until one closes.
                accept(false);
            }
            patience(loop.schedule(this::lateRequest, STRANGER_MS, TimeUnit.MILLISECONDS));
            idleOf().add(this);
        }

        /** Whether no request is there, or has begun to come. */
        private boolean unused() {
            return !closing && !stirred && head == null && channel.isActive();
        }

        private boolean silentLong() {
            return nowMs() - stirredMs > SILENT_MS;
        }

        /** Reads what the system has by now, as is done in the loop's next turn: it may be behind. */
        private void readNow() {
            if (!readingNow && channel.isActive() && channel.config().isAutoRead()) {
                readingNow = true;
                try {
                    ((NioUnsafe) channel.unsafe()).read();
                } finally {
                    readingNow = false;
                }
            }
        }

        /**
         * Whether the client is there. Its leaving may lie unread while the loop is behind, and a request
         * that has waited must not be sent on long after it.
         */
        private boolean connected() {
            if (nowMs() - stirredMs > FRESH_MS) {
                readNow();
            }
            return channel.isActive();
        }

        /** Closes at once, but where a whole request has come or an answer goes out; tells whether so. */
        private boolean evict() {
            boolean answered = LingeringClose.unwritten(channel) == 0 || nowMs() - stirredMs > STRANGER_MS;
            if (!answered || !idleOf().remove(this)) {
                return false;
            }
            holdNothing();
            closed(CloseReason.EVICTED);
            channel.close();
            return true;
        }

        /** Who has asked nothing in its time, or only half, is closed: at once, as no answer is due. */
        private void lateRequest() {
            readNow();
            if (!idleOf().contains(this)) {
                return;
            }
            if (LingeringClose.unwritten(channel) > 0) {
                finish(Unpooled.EMPTY_BUFFER, CloseReason.REQUEST_LATE);
            } else {
                closed(CloseReason.REQUEST_LATE);
                channel.close();
            }
        }

        private Set<Connection> idleOf() {
            return proper ? idle : strangers;
        }

        private void patience(Future<?> next) {
            if (patience != null) {
                patience.cancel(false);
            }
            patience = next;
        }

        /** Bytes came: the connection is the least silent of all, and a head that begins has its time. */
        private void stir() {
            if (idleOf().remove(this)) {
                idleOf().add(this);
            }
            if (!stirred && head == null && proper) {
                patience(loop.schedule(this::lateRequest, STRANGER_MS, TimeUnit.MILLISECONDS));
            }
            stirred = true;
            stirredMs = nowMs();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            HttpObject object = (HttpObject) message;
            long now = arrivedUs();
            if (closing) {
                ReferenceCountUtil.release(object);
            } else if (!later.isEmpty() || head != null && !receiving) {
                boolean first = !later.overrun();
                if (!later.add(object, now) && first) {
                    // What comes from here on is not even decoded; but read, else its end would not be seen.
                    context.pipeline().addFirst(new LingeringClose.Discard());
                }
            } else {
                take(object, now);
            }
        }

        /**
         * When what is read now came, at the earliest: a client's time does not wait for this loop. On a
         * connection just accepted it may have come with the connection.
         */
        private long arrivedUs() {
            boolean first = polls.polls() <= openedPoll + FIRST_READ_POLLS;
            long unreadNs = first ? polls.unreadSinceNs(queuedSinceNs) : polls.unreadNs();
            return driver.clock().nowUs() - TimeUnit.NANOSECONDS.toMicros(unreadNs);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (upload != null) {
                upload.flush();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (answering != null && channel.isWritable()) {
                answering.from.resumeReading();
            }
        }

        private void take(HttpObject object, long atUs) {
            try {
                if (object instanceof HttpRequest request) {
                    begin(request);
                }
                if (object instanceof HttpContent content && receiving) {
                    receive(content, atUs);
                }
            } catch (Rejected e) {
                reject(e);
            } catch (RuntimeException e) {
                LOG.error("request failed", e);
                if (head != null && !closing) {
                    receiving = true;
                    answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, null, null);
                }
            } finally {
                ReferenceCountUtil.release(object);
            }
        }

        private void begin(HttpRequest request) throws Rejected {
            head = request;
            receiving = true;
            asked = null;
            rejected = null;
            received = 0;
            body = Unpooled.buffer(0);
            keep = HttpUtil.isKeepAlive(request);
            // A stranger has to be done soon after connecting, others soon after the head.
            bodyFromMs = Math.max(nowMs() + BODY_GRACE_MS, (proper ? nowMs() : openedMs) + STRANGER_MS);
            watchBody();
            checkBody(request);
            if (!isHealth()) {
                try {
                    asked = read(request);
                } catch (Rejected e) {
                    // With its body read, if that is short, the connection can go on.
                    rejected = e;
                }
            }
            if (HttpUtil.is100ContinueExpected(request)) {
                if (rejected != null) {
                    throw rejected;
                }
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private boolean isHealth() {
            return head.method().equals(HttpMethod.GET) && head.uri().startsWith("/health/");
        }

        /** Cuts off a body that comes more slowly than clients may send it, or that no backend takes. */
        private void watchBody() {
            patience(loop.schedule(() -> {
                readNow();
                if (!receiving || closing || !channel.isActive()) {
                    return;
                }
                if (bodyDueMs() <= nowMs() || upload != null && upload.pauseMs() > STALL_MS) {
                    cut(CloseReason.BODY_LATE);
                } else {
                    watchBody();
                }
            }, Math.min(STALL_MS, Math.max(1, bodyDueMs() - nowMs())), TimeUnit.MILLISECONDS));
        }

        private long bodyDueMs() {
            return bodyFromMs + received * 1000 / LEAST_RATE + (upload == null ? 0 : upload.pausedMs());
        }

        private void receive(HttpContent content, long atUs) throws Rejected {
            if (content.decoderResult().isFailure()) {
                throw new Rejected(HttpResponseStatus.BAD_REQUEST, "broken body");
            }
            ByteBuf part = content.content();
            received += part.readableBytes();
            if (received > BackendPool.MAX_BODY_BYTES
                    || rejected != null && received > BackendPool.MAX_BUFFERED_BODY_BYTES) {
                throw new Rejected(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            }
            boolean last = content instanceof LastHttpContent;
            if (upload != null) {
                if (upload.waits()) {
                    hold(part.readableBytes());
                }
                if (last) {
                    upload.lastPart(part.retain());
                } else {
                    upload.part(part.retain());
                }
            } else if (rejected == null && !isHealth()) {
                hold(part.readableBytes());
                body.writeBytes(part);
                if (body.readableBytes() > BackendPool.MAX_BUFFERED_BODY_BYTES && !last) {
                    pass(atUs);
                }
            }
            if (last && receiving) {
                whole(atUs);
            }
        }

        /** Makes room for more of a body: who has sent half a request and fallen silent has to go first. */
        private void hold(int bytes) throws Rejected {
            while (heldBytes + bytes > MOST_HELD && evictStranger()) {
                // Each turn closes one connection, which frees what it holds.
            }
            if (heldBytes + bytes > MOST_HELD) {
                throw new Rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the body");
            }
            heldBytes += bytes;
            holding += bytes;
        }

        private void holdNothing() {
            heldBytes -= holding;
            holding = 0;
        }

        /** The body is too large to be held: what came and what will come goes on as it comes. */
        private void pass(long atUs) {
            upload = new Upload(channel, flow, Framing.length(head), body, this::holdNothing);
            body = null;
            dispatch(asked.withBody(null, upload, atUs));
            if (upload != null) {
                upload.regulate();
            }
        }

        private void whole(long atUs) {
            receiving = false;
            patience(null);
            if (upload != null) {
                Upload uploaded = upload;
                loop.execute(() -> completeUpload(uploaded));
                return;
            }
            byte[] all = ByteBufUtil.getBytes(body);
            body.release();
            body = null;
            if (rejected != null) {
                reject(rejected);
            } else if (isHealth()) {
                answer(health(head.uri()), null, null);
            } else {
                idleOf().remove(this);
                proper = true;
                ready = asked.withBody(all, null, atUs);
                loop.execute(this::dispatchReady);
            }
        }

        /** The client may have left together with its last part: that is known now. */
        private void completeUpload(Upload uploaded) {
            if (upload == uploaded && channel.isActive()) {
                upload.complete();
                if (held != null) {
                    driver.uploadCompleted(held);
                }
            }
        }

        /** The client may have left together with its request: that is known now. */
        private void dispatchReady() {
            Driver.Inbound inbound = ready;
            ready = null;
            if (inbound != null && channel.isActive() && !closing) {
                dispatch(inbound);
            }
        }

        private void dispatch(Driver.Inbound inbound) {
            driver.invariants().check(!closing && channel.isActive(), Rule.NO_REQUEST_AFTER_CLOSE,
                    inbound.callId(), () -> "closing=" + closing + " active=" + channel.isActive());
            idleOf().remove(this);
            proper = true;
            busy = true;
            PendingRequest taken = driver.submit(inbound, new Client(this));
            held = busy ? taken : null;
        }

        private void reject(Rejected why) {
            if (why.status.equals(HttpResponseStatus.BAD_REQUEST) && why != rejected) {
                // Where the next request begins can't be told any more.
                keep = false;
            }
            if (held != null) {
                PendingRequest broken = held;
                held = null;
                driver.clientGone(broken);
            }
            if (answering == null) {
                answer(why.status, why.getMessage().getBytes(StandardCharsets.US_ASCII), "text/plain");
            } else {
                cut(CloseReason.REQUEST_BROKEN);
            }
        }

        private HttpResponseStatus health(String uri) {
            return switch (uri) {
                case "/health/live" -> HttpResponseStatus.OK;
                case "/health/ready" -> serves() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE;
                default -> HttpResponseStatus.NOT_FOUND;
            };
        }

        /** Answers what no backend was asked for. */
        private void answer(HttpResponseStatus status, byte[] text, String type) {
            answer(status, text, type, -1, written -> { });
        }

        private void answer(HttpResponseStatus status, byte[] text, String type, long retryAfterUs,
                Driver.Delivery delivery) {
            boolean bodiless = head.method().equals(HttpMethod.HEAD);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    text == null || bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text == null ? 0 : text.length);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            if (retryAfterUs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
            }
            boolean last = describeEnd(response);
            if (last) {
                tell(finish(response, CloseReason.LAST_ANSWER), delivery);
            } else {
                tell(lingering.watched(channel, channel.writeAndFlush(response)), delivery);
                next();
            }
        }

        private void tell(ChannelFuture writing, Driver.Delivery delivery) {
            writing.addListener(done -> delivery.ended(done.isSuccess()));
        }

        /** Tells the client whether the connection goes on; returns whether this answer is its last. */
        private boolean describeEnd(HttpResponse response) {
            boolean last = !keep || receiving || (draining || later.overrun()) && later.isEmpty();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
            }
            return last;
        }

        /** Writes the last of an answer and closes. The client may read only once it has sent all. */
        private ChannelFuture finish(Object last, CloseReason why) {
            closed(why);
            drop();
            return lingering.close(channel, last);
        }

        /** Closes at once; an answer that ends with its connection must not look whole. */
        private void cut(CloseReason why) {
            closed(why);
            if (answering != null && answering.endsWithConnection) {
                LingeringClose.reset(channel);
            } else {
                channel.close();
            }
        }

        private void closed(CloseReason why) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("why", why).addKeyValue("client", channel.remoteAddress())
                        .addKeyValue("request", held == null ? "" : held.inbound.callId())
                        .log("connection closed");
            }
        }

        /** Nothing that comes counts from here on. */
        private void drop() {
            closing = true;
            ready = null;
            idleOf().remove(this);
            patience(null);
            releaseBody();
            later.clear();
            held = null;
            busy = false;
        }

        private void releaseBody() {
            holdNothing();
            if (body != null) {
                body.release();
                body = null;
            }
            if (upload != null) {
                upload.discard();
                upload = null;
            }
        }

        /** The request in hand is done with; the next one's turn comes. */
        private void next() {
            releaseBody();
            head = null;
            held = null;
            busy = false;
            stirred = !later.isEmpty();
            if (!channel.isActive()) {
                return;
            }
            if (later.overrun() && !stirred) {
                finish(Unpooled.EMPTY_BUFFER, CloseReason.TOO_MUCH_AHEAD);
                return;
            }
            idleOf().add(this);
            patience(proper && !stirred ? null
                    : loop.schedule(this::lateRequest, STRANGER_MS, TimeUnit.MILLISECONDS));
            if (stirred) {
                loop.execute(this::takeLater);
            } else {
                channel.config().setAutoRead(true);
            }
        }

        private void takeLater() {
            while (!later.isEmpty() && !closing && (head == null || receiving)) {
                Backlog.Part first = later.poll();
                take(first.object(), first.atUs());
            }
            if (later.isEmpty() && upload == null) {
                channel.config().setAutoRead(true);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            strangers.remove(this);
            idle.remove(this);
            patience(null);
            PendingRequest gone = held;
            held = null;
            if (answering != null) {
                answering.stop(false);
                answering = null;
            }
            if (gone != null) {
                driver.clientGone(gone);
            }
            releaseBody();
            later.clear();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Most often a reset by the client; channelInactive follows and ends what it asked for.
            if (!(cause instanceof IOException)) {
                LOG.atError().setCause(cause).log("a client's connection failed");
            }
            cut(CloseReason.FAILED);
        }

        private BackendPool.AnswerSink begins(BackendPool.Exchange from, String type, long length,
                Driver.Delivery delivery) {
            answering = new Answering(this, from, type, length, delivery);
            return answering;
        }
    }

    /** A large answer on its way to the client. */
    private final class Answering implements BackendPool.AnswerSink {

        private final Connection connection;
        private final Channel channel;
        private final BackendPool.Exchange from;
        private final Driver.Delivery delivery;
        /** Where neither a length nor chunks tell the client where the answer ends, its connection does. */
        private final boolean endsWithConnection;
        private final boolean last;
        private long passed;
        private long seen = -1;
        private Future<?> watch;

        private Answering(Connection connection, BackendPool.Exchange from, String type, long length,
                Driver.Delivery delivery) {
            this.delivery = delivery;
            this.connection = connection;
            this.channel = connection.channel;
            this.from = from;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            endsWithConnection = length < 0
                    && connection.head.protocolVersion().equals(HttpVersion.HTTP_1_0);
            if (endsWithConnection) {
                connection.keep = false;
            } else if (length < 0) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            }
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            last = connection.describeEnd(response);
            flow.begin(channel);
            channel.writeAndFlush(response);
            watch();
        }

        /** Cuts a transfer off that stands still, whoever makes it wait. */
        private void watch() {
            watch = loop.schedule(() -> {
                long now = passed - LingeringClose.unwritten(channel);
                if (now == seen) {
                    connection.cut(CloseReason.ANSWER_STALLED);
                } else {
                    seen = now;
                    watch();
                }
            }, STALL_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean write(ByteBuf content) {
            passed += content.readableBytes();
            channel.write(new DefaultHttpContent(content));
            return channel.isWritable();
        }

        @Override
        public void flush() {
            channel.flush();
        }

        @Override
        public void complete() {
            connection.answering = null;
            connection.held = null;
            if (last) {
                watch.cancel(false);
                connection.finish(LastHttpContent.EMPTY_LAST_CONTENT, CloseReason.LAST_ANSWER)
                        .addListener(done -> stop(done.isSuccess()));
                return;
            }
            // Until it has all gone out the client may still stand still.
            channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(done -> stop(done.isSuccess()));
            connection.next();
        }

        /** The client can tell: it misses the last chunk or the rest of the length, or gets a reset. */
        @Override
        public void abort() {
            stop(false);
            connection.answering = null;
            if (endsWithConnection) {
                connection.closed(CloseReason.ANSWER_BROKEN);
                connection.drop();
                LingeringClose.reset(channel);
            } else {
                connection.finish(Unpooled.EMPTY_BUFFER, CloseReason.ANSWER_BROKEN);
            }
        }

        private void stop(boolean written) {
            watch.cancel(false);
            flow.end(channel);
            delivery.ended(written);
        }
    }

    /** Where the driver's answer to a request goes. */
    private record Client(Connection connection) implements Driver.Client {

        @Override
        public boolean isConnected() {
            return connection.connected();
        }

        @Override
        public boolean isOpen() {
            return connection.channel.isActive();
        }

        @Override
        public void sendAnswer(byte[] body, String type, Driver.Delivery delivery) {
            connection.answer(HttpResponseStatus.OK, body, type, -1, delivery);
        }

        @Override
        public BackendPool.AnswerSink startStream(BackendPool.Exchange from, String type, long length,
                Driver.Delivery delivery) {
            return connection.begins(from, type, length, delivery);
        }

        @Override
        public void sendRefusal(long retryAfterUs, Driver.Delivery delivery) {
            connection.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, null, null, retryAfterUs, delivery);
        }

        @Override
        public void sendFailure(Driver.Delivery delivery) {
            connection.answer(HttpResponseStatus.BAD_GATEWAY, null, null, -1, delivery);
        }
    }
}
