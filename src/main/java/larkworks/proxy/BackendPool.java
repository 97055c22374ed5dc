package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import larkworks.transport.SystemError;
import larkworks.transport.TcpChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connections to backends: sends one exchange at a time on each and tells how it ended. It sends nothing
 * again by itself.
 */
final class BackendPool {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** A body up to this is held whole. */
    static final int MOST_BODY = 64 << 10;
    /** The largest body that is passed on. */
    static final long MOST_LARGE = 32 << 20;
    /** An idle connection is given up so long before the backend would close it, maybe under a request. */
    private static final long IDLE_MARGIN_US = 1_000_000;

    /**
     * A connection rests for so long after an answer: a backend at fault may send a second one some
     * milliseconds late, which the next request would be given. Those seen came after 1 to 18 ms.
     */
    static final long REST_MS = 20;
    /** Further tries of a connection for which this machine had no descriptor, port or buffer. */
    private static final int MOST_LOCAL_FAILURES = 4;
    /** The pause before the first of them; doubled before each further one. */
    private static final long FIRST_LOCAL_PAUSE_MS = 1;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final Sockets sockets;
    private final long idleUs;
    /** Idle connections of each backend, the most recently used last. */
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idle = new HashMap<>();
    /** All of them, the longest idle first. */
    private final Set<Connection> idleOrder = new LinkedHashSet<>();
    /** Backends to which no connection is kept. */
    private Set<InetSocketAddress> retired = Set.of();

    BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs) {
        this(loop, sockets, connectTimeoutUs, keepAliveUs, TcpChannel::new);
    }

    /** With a way of getting channels, which a test may have fail. */
    BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs,
            ChannelFactory<NioSocketChannel> channels) {
        this.loop = loop;
        this.sockets = sockets;
        this.idleUs = Math.max(keepAliveUs / 2, keepAliveUs - IDLE_MARGIN_US);
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBuffers())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1000));
    }

    /**
     * Begins an exchange.
     *
     * @param request asked for just before the first byte goes out; null where nothing may go out any more
     * @param receiver told once how it ended, perhaps before this method returns
     */
    Exchange begin(InetSocketAddress address, Supplier<HttpRequest> request, Receiver receiver) {
        Exchange exchange = new Exchange(request, receiver);
        begin(address, exchange);
        return exchange;
    }

    private void begin(InetSocketAddress address, Exchange exchange) {
        Connection connection = takeIdle(address);
        if (connection != null) {
            exchange.write(connection);
        } else if (sockets.take()) {
            connect(address, exchange);
        } else {
            // No descriptor is left here, which says nothing about the backend.
            exchange.end(AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    private void connect(InetSocketAddress address, Exchange exchange) {
        Connection connection = new Connection(address);
        Bootstrap own = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder(), connection);
            }
        });
        connection.channel = sockets.connect(own, loop, address, connected -> {
            if (connected != null && connected.isSuccess()) {
                exchange.write(connection);
            } else if (connected == null || SystemError.of(connected.cause()).isLocal()) {
                notConnectedHere(address, exchange);
            } else {
                exchange.end(AttemptResult.of(Outcome.CONNECT_FAILED));
            }
        });
        exchange.connection = connection.channel == null ? null : connection;
    }

    /**
     * This machine had no descriptor, port or buffer for the connection, which says nothing about the
     * backend. Another try follows soon, on an idle connection first, but only a few: on a machine that stays
     * without, the loop must not spin.
     */
    private void notConnectedHere(InetSocketAddress address, Exchange exchange) {
        exchange.connection = null;
        if (exchange.done) {
            return;
        }
        if (exchange.localFailures == MOST_LOCAL_FAILURES) {
            exchange.end(AttemptResult.of(Outcome.NOT_SENT));
            return;
        }
        loop.schedule(() -> {
            if (!exchange.done) {
                begin(address, exchange);
            }
        }, FIRST_LOCAL_PAUSE_MS << exchange.localFailures++, TimeUnit.MILLISECONDS);
    }

    /** Of those rested the one used last: the others then grow old and close, and a warm one serves. */
    private Connection takeIdle(InetSocketAddress address) {
        ArrayDeque<Connection> free = idle.get(address);
        if (free == null) {
            return null;
        }
        long now = System.nanoTime();
        var newest = free.descendingIterator();
        while (newest.hasNext()) {
            Connection connection = newest.next();
            if (now - connection.restsUntil < 0) {
                continue;
            }
            newest.remove();
            idleOrder.remove(connection);
            if (free.isEmpty()) {
                idle.remove(address);
            }
            connection.readNow();
            if (connection.channel.isActive() && now - connection.idleSince < idleUs * 1000) {
                connection.expiry.cancel(false);
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    private void keep(Connection connection) {
        connection.current = null;
        if (!connection.channel.isActive()) {
            return;
        }
        if (retired.contains(connection.address)) {
            connection.channel.close();
            return;
        }
        connection.idleSince = System.nanoTime();
        connection.expiry = loop.schedule(() -> drop(connection), idleUs, TimeUnit.MICROSECONDS);
        idle.computeIfAbsent(connection.address, a -> new ArrayDeque<>()).addLast(connection);
        idleOrder.add(connection);
    }

    private void drop(Connection connection) {
        ArrayDeque<Connection> free = idle.get(connection.address);
        if (free != null && free.remove(connection) && free.isEmpty()) {
            idle.remove(connection.address);
        }
        idleOrder.remove(connection);
        connection.channel.close();
    }

    /** To these backends no connection is kept from now on; those in use close when their exchange ends. */
    void retire(Set<InetSocketAddress> addresses) {
        retired = addresses;
        for (InetSocketAddress address : addresses) {
            ArrayDeque<Connection> free = idle.get(address);
            while (free != null && !free.isEmpty()) {
                drop(free.getLast());
            }
        }
    }

    /** Closes the connection that was idle longest; false where none is. */
    boolean evict() {
        if (idleOrder.isEmpty()) {
            return false;
        }
        drop(idleOrder.iterator().next());
        return true;
    }

    /** Reads {@code name=value,name=value}; null where there is nothing. */
    static LoadReport report(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        double[] values = {-1, -1, -1};
        for (String pair : text.split(",")) {
            int eq = pair.indexOf('=');
            int at = eq < 0 ? -1 : switch (pair.substring(0, eq).strip()) {
                case "inflight" -> 0;
                case "queue" -> 1;
                case "util" -> 2;
                default -> -1;
            };
            if (at >= 0) {
                try {
                    values[at] = Double.parseDouble(pair.substring(eq + 1).strip());
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return new LoadReport(values[0], values[1], values[2]);
    }

    /** Who waits for what an exchange brings. */
    interface Receiver {

        /**
         * A served answer too large to be held begins; it is told here before it has ended.
         *
         * @param length of its body; negative where it is not told
         * @return where the body goes; null where nobody wants it any more
         */
        default Sink began(Exchange exchange, String type, long length) {
            return null;
        }

        /** For so long an answer of unknown length is held, as it may prove small; negative: to its end. */
        default long holdUs() {
            return -1;
        }

        void ended(AttemptResult answer);
    }

    /** Takes a large answer's body, part by part. */
    interface Sink {

        /** Takes a part over; false where no more should come until {@link Exchange#resume}. */
        boolean part(ByteBuf content);

        /** No more is there at the moment. */
        void flush();

        /** All of it has come. */
        void end();

        /** No more will come, though it is not whole. */
        void broken();
    }

    /** One request to a backend and what comes back. */
    final class Exchange {
        private final Supplier<HttpRequest> request;
        private final Receiver receiver;
        private Connection connection;
        private int localFailures;
        private Upload upload;
        private boolean begun;
        private boolean written;
        private boolean done;

        private Exchange(Supplier<HttpRequest> request, Receiver receiver) {
            this.request = request;
            this.receiver = receiver;
        }

        /** Stops waiting: the backend sees its connection close. Nothing is told to the receiver. */
        void abandon() {
            if (!done) {
                done = true;
                if (connection != null) {
                    connection.channel.close();
                    detach();
                }
            }
        }

        /** False while no byte of the request can have left. */
        boolean begun() {
            return begun;
        }

        /** The answer's sink takes more. */
        void resume() {
            if (!done) {
                connection.channel.config().setAutoRead(true);
            }
        }

        private void write(Connection free) {
            HttpRequest message = null;
            try {
                message = done ? null : request.get();
            } catch (RuntimeException e) {
                // A request that can't be put into words must not take the connection with it.
                LOG.atError().addKeyValue("backend", free.address).setCause(e).log("request not sent");
            }
            if (message == null) {
                keep(free);
                end(AttemptResult.of(Outcome.NOT_SENT));
                return;
            }
            connection = free;
            free.current = this;
            begun = true;
            if (message instanceof Upload.RequestHead head) {
                upload = head.body();
                free.channel.write(head);
                upload.attach(free.channel, sent -> written(free, sent.isSuccess()));
            } else {
                free.channel.writeAndFlush(message).addListener(sent -> written(free, sent.isSuccess()));
            }
        }

        private void written(Connection used, boolean success) {
            written = success;
            if (!written) {
                // Before the connection's end is seen, which would end an answer that has no length.
                used.channel.close();
                if (!done) {
                    used.lost();
                }
            }
        }

        private void detach() {
            if (upload != null) {
                upload.detach(connection.channel);
            }
        }

        /** The connection is gone: the backend begins a request only when its last byte has come. */
        private void lost() {
            end(AttemptResult.of(written ? Outcome.RESET : Outcome.CONNECT_FAILED));
        }

        private void answered(AttemptResult answer, boolean reusable) {
            Connection used = connection;
            if (reusable && written) {
                used.restsUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REST_MS);
                keep(used);
            } else {
                used.current = null;
                used.channel.close();
            }
            end(answer);
        }

        private void end(AttemptResult answer) {
            if (!done) {
                done = true;
                detach();
                receiver.ended(answer);
            }
        }
    }

    /** An answer on its way in. */
    private static final class Incoming {
        final HttpResponse head;
        /** Of the body; negative where it is not told. */
        final long length;
        /** What is held of it, while it may yet be small. */
        ByteBuf held = Unpooled.buffer(256);
        /** Bytes that came, of answers whose body nobody needs. */
        long passed;
        Sink sink;
        Future<?> hold;

        Incoming(HttpResponse head) {
            this.head = head;
            this.length = HttpFraming.bodyLength(head);
        }

        boolean serves() {
            return head.status().code() == 200;
        }

        String type() {
            return head.headers().get(HttpHeaderNames.CONTENT_TYPE);
        }

        AttemptResult answer() {
            HttpResponseStatus status = head.status();
            LoadReport load = report(head.headers().get("X-Load-Report"));
            if (serves()) {
                return new AttemptResult(Outcome.OK, sink == null ? ByteBufUtil.getBytes(held) : null, type(),
                        load, false);
            }
            // Only this mark proves that the request never ran; any other status may come after its effect.
            boolean turnedAway = (status.code() == 503 || status.code() == 504)
                    && "1".equals(head.headers().get("X-Rejected"));
            return new AttemptResult(turnedAway ? Outcome.FULL : Outcome.ERROR, null, null, load,
                    status.equals(HttpResponseStatus.BAD_REQUEST));
        }

        /** No more of it is held, and none waited for. */
        void release() {
            held.release();
            if (hold != null) {
                hold.cancel(false);
            }
        }
    }

    /** A connection to a backend, with at most one exchange on it. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        private Channel channel;
        private Exchange current;
        /** The answer to the current exchange as far as it has come, or null. */
        private Incoming incoming;
        /** Between an interim answer's head and its end. */
        private boolean interim;
        /** The answer to the current exchange, until all that came with it has been read. */
        private AttemptResult answer;
        private boolean reusable;
        private long idleSince;
        private long restsUntil = System.nanoTime();
        private Future<?> expiry;

        private Connection(InetSocketAddress address) {
            this.address = address;
        }

        /**
         * Reads what the system has by now: where the loop is late, a second answer or the connection's end
         * may lie unread, however long it has rested.
         */
        private void readNow() {
            if (channel.isActive()) {
                ((NioUnsafe) channel.unsafe()).read();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject object) {
            if (object.decoderResult().isFailure()) {
                reject();
                return;
            }
            if (object instanceof HttpResponse head) {
                begin(head);
            }
            if (object instanceof HttpContent content) {
                part(content);
            }
        }

        /** Bytes that nobody asked for, or that make no sense: what follows can't be trusted. */
        private void reject() {
            reusable = false;
            channel.close();
        }

        private void begin(HttpResponse head) {
            if (current == null || answer != null || incoming != null
                    || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    || HttpFraming.hasUnsupportedTransferCoding(head)) {
                // Nor is a body the backend's whose transfer coding is not undone here.
                reject();
                return;
            }
            interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                return;
            }
            Incoming begun = new Incoming(head);
            if (begun.serves() && begun.length > MOST_LARGE) {
                begun.release();
                reject();
                return;
            }
            incoming = begun;
            reusable = HttpUtil.isKeepAlive(head);
            if (incoming.serves() && incoming.length > MOST_BODY) {
                pass();
            }
        }

        private void part(HttpContent content) {
            if (interim || incoming == null) {
                interim &= !(content instanceof LastHttpContent);
                return;
            }
            int size = content.content().readableBytes();
            if (!incoming.serves()) {
                incoming.passed += size;
                if (incoming.passed > MOST_BODY) {
                    // Its head has told all; what follows is not worth the reading.
                    reusable = false;
                    complete();
                    channel.close();
                    return;
                }
            } else if (incoming.sink != null) {
                send(content.content().retain());
            } else if (size > 0) {
                incoming.held.writeBytes(content.content());
                if (incoming.held.readableBytes() > MOST_BODY) {
                    pass();
                } else if (incoming.length < 0 && incoming.hold == null
                        && current.receiver.holdUs() >= 0) {
                    incoming.hold = loop.schedule(this::passOn, current.receiver.holdUs(),
                            TimeUnit.MICROSECONDS);
                }
            }
            if (content instanceof LastHttpContent && incoming != null) {
                complete();
            }
        }

        private void complete() {
            answer = incoming.answer();
            if (incoming.sink != null) {
                incoming.sink.end();
            }
            incoming.release();
            incoming = null;
        }

        private void passOn() {
            if (incoming != null && incoming.sink == null && current != null) {
                pass();
                if (incoming != null) {
                    incoming.sink.flush();
                }
            }
        }

        /** From now on the answer is handed on as it comes. */
        private void pass() {
            incoming.sink = current.receiver.began(current, incoming.type(), incoming.length);
            if (incoming.sink == null) {
                current.abandon();
                forget();
                return;
            }
            ByteBuf first = incoming.held;
            incoming.held = Unpooled.EMPTY_BUFFER;
            send(first);
        }

        private void send(ByteBuf content) {
            if (!incoming.sink.part(content)) {
                channel.config().setAutoRead(false);
            }
        }

        private void forget() {
            if (incoming != null) {
                incoming.release();
                incoming = null;
            }
        }

        /**
         * Only now is the answer told: whoever hears of it may send the next request on this connection, and
         * that would be given what came behind the answer.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (answer != null) {
                AttemptResult told = answer;
                answer = null;
                channel.config().setAutoRead(true);
                current.answered(told, reusable);
            } else if (incoming != null && incoming.sink != null) {
                incoming.sink.flush();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (current != null && current.upload != null) {
                current.upload.updateReading();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channelReadComplete(context);
            if (current != null) {
                lost();
            } else {
                drop(this);
            }
            forget();
        }

        private void lost() {
            if (incoming != null && incoming.sink != null && !current.done) {
                incoming.sink.broken();
            }
            forget();
            current.lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (current != null && answer == null) {
                // A body without a length ends with the connection; but one that breaks has not ended.
                lost();
            }
            context.close();
        }
    }

    /** The body of an answer to a probe as text. */
    static String text(byte[] body) {
        return body == null ? null : new String(body, StandardCharsets.US_ASCII);
    }
}
