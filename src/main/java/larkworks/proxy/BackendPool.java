package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpHeadersFactory;
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
 * A pool of keep-alive connections to backends. Each connection carries one exchange at a time, and each
 * exchange reports how it ended to its receiver. The pool never repeats a request by itself. To be used on
 * the proxy's event loop only.
 */
final class BackendPool {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /**
     * A body up to this size is buffered as a whole, if there is memory for it; a larger one is forwarded as
     * it arrives.
     */
    static final int MAX_BUFFERED_BODY_BYTES = 64 << 10;
    /** The largest request or response body that the proxy forwards. */
    static final long MAX_BODY_BYTES = 32 << 20;
    /**
     * An idle connection is closed this long before the backend's keep-alive time-out, so that the backend
     * doesn't close it while a request is being sent.
     */
    private static final long IDLE_TIMEOUT_MARGIN_US = 1_000_000;

    /**
     * A connection is not reused for this long after an answer. A faulty backend may send a second answer
     * after the first one, which would be taken for the answer to the next request. Such answers came 1 to
     * 18 ms late.
     */
    static final long REUSE_DELAY_MS = 20;
    /** Retries of a connection attempt that failed because this machine had no descriptor, port or buffer. */
    private static final int MAX_LOCAL_RETRIES = 4;
    /** The delay before the first retry of a connection attempt; doubled before each further retry. */
    private static final long FIRST_LOCAL_RETRY_DELAY_MS = 1;

    private static final HttpHeadersFactory HEADERS =
            ResponseDecoder.keeping(HttpHeaderNames.CONTENT_TYPE, "X-Rejected", "X-Load-Report");

    /**
     * Memory limit for answers, of all connections together: those that are being buffered, and those that
     * wait for their clients. Beyond it answers are passed on in parts as they arrive.
     */
    static final int MAX_ANSWERS_BYTES = 4 << 20;

    private final Bootstrap bootstrap;
    private final EventLoop loop;
    private final Sockets sockets;
    private final long idleTimeoutUs;
    private final MemoryBudget answers;
    /** The idle connections to each backend, the most recently used last. */
    private final Map<InetSocketAddress, ArrayDeque<Connection>> idleByAddress = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Set<Connection> idleOldestFirst = new LinkedHashSet<>();
    /** Backends to which no idle connections are kept. */
    private Set<InetSocketAddress> unpooledAddresses = Set.of();

    /** Creates a pool whose answers have a memory limit of their own. */
    BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs) {
        this(loop, sockets, connectTimeoutUs, keepAliveUs, new MemoryBudget(MAX_ANSWERS_BYTES));
    }

    /**
     * Creates a pool.
     *
     * @param answers counts the memory of answers
     */
    BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs,
            MemoryBudget answers) {
        this(loop, sockets, connectTimeoutUs, keepAliveUs, answers, TcpChannel::new);
    }

    /** Creates a pool with a given channel factory, so that tests can make the opening of sockets fail. */
    BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs,
            ChannelFactory<NioSocketChannel> channels) {
        this(loop, sockets, connectTimeoutUs, keepAliveUs, new MemoryBudget(MAX_ANSWERS_BYTES), channels);
    }

    private BackendPool(EventLoop loop, Sockets sockets, long connectTimeoutUs, long keepAliveUs,
            MemoryBudget answers, ChannelFactory<NioSocketChannel> channels) {
        this.loop = loop;
        this.sockets = sockets;
        this.answers = answers;
        this.idleTimeoutUs = Math.max(keepAliveUs / 2, keepAliveUs - IDLE_TIMEOUT_MARGIN_US);
        this.bootstrap = new Bootstrap().group(loop).channelFactory(channels)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, Sockets.HEAP_BUFFERS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, sockets.readBufferAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1000));
    }

    /**
     * Starts an exchange.
     *
     * @param request called just before the first byte is written; returns null if nothing must be sent any
     *     more
     * @param receiver notified once of the end of the exchange, possibly before this method returns
     */
    Exchange startExchange(InetSocketAddress address, Supplier<HttpRequest> request, Receiver receiver) {
        Exchange exchange = new Exchange(request, receiver);
        startExchange(address, exchange);
        return exchange;
    }

    private void startExchange(InetSocketAddress address, Exchange exchange) {
        Connection connection = takeIdle(address);
        if (connection != null) {
            exchange.write(connection);
        } else if (sockets.tryAcquire()) {
            connect(address, exchange);
        } else {
            // This proxy has no descriptor left, which is no failure of the backend.
            exchange.end(AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    private void connect(InetSocketAddress address, Exchange exchange) {
        Connection connection = new Connection(address);
        Bootstrap connectionBootstrap = bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(new HttpRequestEncoder(), new ResponseDecoder(HEADERS),
                        connection);
            }
        });
        connection.channel = sockets.connect(connectionBootstrap, loop, address, connectFuture -> {
            if (connectFuture != null && connectFuture.isSuccess()) {
                exchange.write(connection);
            } else if (connectFuture == null || SystemError.of(connectFuture.cause()).isLocal()) {
                retryAfterLocalFailure(address, exchange);
            } else {
                exchange.end(AttemptResult.of(Outcome.CONNECT_FAILED));
            }
        });
        exchange.connection = connection.channel == null ? null : connection;
    }

    /**
     * Retries after a connection attempt failed because this machine had no descriptor, port or buffer, which
     * is no failure of the backend. A retry uses an idle connection if there is one by then. Retries are
     * limited, so that the event loop doesn't spin while the resource remains unavailable.
     */
    private void retryAfterLocalFailure(InetSocketAddress address, Exchange exchange) {
        exchange.connection = null;
        if (exchange.ended) {
            return;
        }
        if (exchange.localFailures == MAX_LOCAL_RETRIES) {
            exchange.end(AttemptResult.of(Outcome.NOT_SENT));
            return;
        }
        loop.schedule(() -> {
            if (!exchange.ended) {
                startExchange(address, exchange);
            }
        }, FIRST_LOCAL_RETRY_DELAY_MS << exchange.localFailures++, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes the most recently used idle connection whose reuse delay has passed, or returns null if there is
     * none. That one is the least likely to have been closed by the backend, and connections that are not
     * needed expire.
     */
    private Connection takeIdle(InetSocketAddress address) {
        ArrayDeque<Connection> idleConnections = idleByAddress.get(address);
        if (idleConnections == null) {
            return null;
        }
        long nowNs = System.nanoTime();
        var newestFirst = idleConnections.descendingIterator();
        while (newestFirst.hasNext()) {
            Connection connection = newestFirst.next();
            if (nowNs - connection.reusableFromNs < 0) {
                continue;
            }
            newestFirst.remove();
            idleOldestFirst.remove(connection);
            if (idleConnections.isEmpty()) {
                idleByAddress.remove(address);
            }
            connection.readNow();
            if (connection.channel.isActive() && nowNs - connection.idleSinceNs < idleTimeoutUs * 1000) {
                connection.expiryTimer.cancel(false);
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    /** Returns a connection to the pool, or closes it if no idle connections to its backend are kept. */
    private void release(Connection connection) {
        connection.currentExchange = null;
        if (!connection.channel.isActive()) {
            return;
        }
        if (unpooledAddresses.contains(connection.address)) {
            connection.channel.close();
            return;
        }
        connection.idleSinceNs = System.nanoTime();
        connection.expiryTimer = loop.schedule(() -> closeIdle(connection), idleTimeoutUs,
                TimeUnit.MICROSECONDS);
        idleByAddress.computeIfAbsent(connection.address, a -> new ArrayDeque<>()).addLast(connection);
        idleOldestFirst.add(connection);
    }

    /** Closes a connection and removes it from the idle ones. */
    private void closeIdle(Connection connection) {
        ArrayDeque<Connection> idleConnections = idleByAddress.get(connection.address);
        if (idleConnections != null && idleConnections.remove(connection) && idleConnections.isEmpty()) {
            idleByAddress.remove(connection.address);
        }
        idleOldestFirst.remove(connection);
        connection.channel.close();
    }

    /**
     * Replaces the set of backends to which no idle connections are kept. Closes the idle connections to
     * them; connections in use are closed when their exchange ends.
     */
    void setUnpooledAddresses(Set<InetSocketAddress> addresses) {
        unpooledAddresses = addresses;
        for (InetSocketAddress address : addresses) {
            ArrayDeque<Connection> idleConnections = idleByAddress.get(address);
            while (idleConnections != null && !idleConnections.isEmpty()) {
                closeIdle(idleConnections.getLast());
            }
        }
    }

    /** Closes the connection that has been idle for longest; returns false if no connection is idle. */
    boolean evictLongestIdle() {
        if (idleOldestFirst.isEmpty()) {
            return false;
        }
        closeIdle(idleOldestFirst.iterator().next());
        return true;
    }

    /**
     * Parses a load report of the form {@code name=value,name=value}. Returns null if the text is missing or
     * blank, or if one of its values is not a number.
     */
    static LoadReport parseLoadReport(String text) {
        if (text == null || text.isBlank()) {
            return null;
        }
        double[] values = {-1, -1, -1};
        for (String pair : text.split(",")) {
            int separator = pair.indexOf('=');
            int valueIndex = separator < 0 ? -1 : switch (pair.substring(0, separator).strip()) {
                case "inflight" -> 0;
                case "queue" -> 1;
                case "util" -> 2;
                default -> -1;
            };
            if (valueIndex >= 0) {
                try {
                    values[valueIndex] = Double.parseDouble(pair.substring(separator + 1).strip());
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return new LoadReport(values[0], values[1], values[2]);
    }

    /** Receives the answer to an exchange. */
    interface Receiver {

        /**
         * Called when an answer with status 200 is not buffered any longer, before all of it has been
         * received: it proves too large, its time for buffering is over, or memory is short.
         *
         * @param length the length of the body in bytes; negative if the backend did not declare it
         * @return the sink for the body; null if the answer is not needed any more
         */
        default AnswerSink streamStarted(Exchange exchange, String contentType, long length) {
            return null;
        }

        /**
         * Returns for how long an answer of unknown length is buffered, in case it is small enough to be
         * passed on as a whole. Negative: until it is complete or exceeds {@link #MAX_BUFFERED_BODY_BYTES}.
         */
        default long maxBufferingUs() {
            return -1;
        }

        /** Called once, when the exchange has ended. */
        void exchangeEnded(AttemptResult result);
    }

    /** Takes the body of a large answer, part by part. */
    interface AnswerSink {

        /**
         * Takes ownership of the next part. Returns false if no further part should be passed until
         * {@link Exchange#resumeReading} is called.
         */
        boolean write(ByteBuf content);

        /** Flushes the parts written so far; called when no more bytes are available to read. */
        void flush();

        /** Completes the body: all of its parts have been passed to {@link #write}. */
        void complete();

        /** Aborts the body: it is incomplete, and no further part follows. */
        void abort();
    }

    /** A request to a backend and the answer to it. */
    final class Exchange {
        private final Supplier<HttpRequest> requestSupplier;
        private final Receiver receiver;
        private Connection connection;
        private int localFailures;
        private Upload upload;
        /** Whether the request has been handed to a connection for writing. */
        private boolean started;
        /** Whether the request's last byte has been written. */
        private boolean fullyWritten;
        private boolean ended;

        private Exchange(Supplier<HttpRequest> requestSupplier, Receiver receiver) {
            this.requestSupplier = requestSupplier;
            this.receiver = receiver;
        }

        /** Cancels the exchange by closing its connection. The receiver is not notified. */
        void cancel() {
            if (!ended) {
                ended = true;
                if (connection != null) {
                    connection.channel.close();
                    detachUpload();
                }
            }
        }

        /** Returns whether a byte of the request may have been sent. */
        boolean hasStarted() {
            return started;
        }

        /** Resumes reading of the answer; called when its sink can take more. */
        void resumeReading() {
            if (!ended) {
                connection.channel.config().setAutoRead(true);
            }
        }

        /**
         * Writes the request on a connection, or returns the connection to the pool if nothing must be sent.
         */
        private void write(Connection target) {
            HttpRequest message = null;
            try {
                message = ended ? null : requestSupplier.get();
            } catch (RuntimeException e) {
                // An exception here must not leak the connection: it goes back to the pool below.
                LOG.atError().addKeyValue("backend", target.address).setCause(e)
                        .log("failed to build the request, so it is not sent");
            }
            if (message == null) {
                release(target);
                end(AttemptResult.of(Outcome.NOT_SENT));
                return;
            }
            connection = target;
            target.currentExchange = this;
            started = true;
            if (message instanceof Upload.RequestHead head) {
                upload = head.body();
                target.channel.write(head);
                upload.attach(target.channel, sent -> requestWriteEnded(target, sent.isSuccess()));
            } else {
                target.channel.writeAndFlush(message)
                        .addListener(sent -> requestWriteEnded(target, sent.isSuccess()));
            }
        }

        private void requestWriteEnded(Connection used, boolean success) {
            fullyWritten = success;
            if (!fullyWritten) {
                // Reported before the close of the connection is processed, which would count as the regular
                // end of an answer without a declared length.
                used.channel.close();
                if (!ended) {
                    used.connectionLost();
                }
            }
        }

        /** Stops an upload from writing to this exchange's connection. */
        private void detachUpload() {
            if (upload != null) {
                upload.detach(connection.channel);
            }
        }

        /**
         * Ends the exchange after the connection was lost. A backend does not start to process a request
         * before it has received its last byte, so until that is written the request can't have run.
         */
        private void connectionLost() {
            end(AttemptResult.of(fullyWritten ? Outcome.RESET : Outcome.CONNECT_FAILED));
        }

        private void answerReceived(AttemptResult answer, boolean reusable) {
            Connection used = connection;
            if (reusable && fullyWritten) {
                used.reusableFromNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REUSE_DELAY_MS);
                release(used);
            } else {
                used.currentExchange = null;
                used.channel.close();
            }
            end(answer);
        }

        private void end(AttemptResult result) {
            if (!ended) {
                ended = true;
                detachUpload();
                receiver.exchangeEnded(result);
            }
        }
    }

    /** A connection to a backend, which carries at most one exchange at a time. */
    private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress address;
        private Channel channel;
        private Exchange currentExchange;
        /** The answer to the current exchange while it is being received; else null. */
        private IncomingAnswer incoming;
        /** True from the head of an interim (1xx) answer to its end. */
        private boolean inInterimAnswer;
        /** The complete answer to the current exchange, until the current read is complete; else null. */
        private AttemptResult answer;
        /** Whether the connection can carry another exchange after the current one. */
        private boolean reusable;
        private long idleSinceNs;
        private long reusableFromNs = System.nanoTime();
        private Future<?> expiryTimer;

        private Connection(InetSocketAddress address) {
            this.address = address;
        }

        /**
         * Reads all bytes that the system has received by now. If the event loop is delayed, a second answer
         * or the end of the connection may still be unread, even after the reuse delay.
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
                handleHead(head);
            }
            if (object instanceof HttpContent content) {
                handleContent(content);
            }
        }

        /**
         * Closes the connection after unexpected or malformed bytes, since nothing after them can be
         * attributed to a request.
         */
        private void reject() {
            reusable = false;
            channel.close();
        }

        /** Handles the head of an answer. */
        private void handleHead(HttpResponse head) {
            if (currentExchange == null || answer != null || incoming != null
                    || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    || HttpFraming.hasUnsupportedTransferCoding(head)) {
                // This includes transfer codings other than chunked, which the proxy doesn't decode.
                reject();
                return;
            }
            inInterimAnswer = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (inInterimAnswer) {
                return;
            }
            IncomingAnswer received = new IncomingAnswer(head, answers);
            if (received.hasStatusOk() && received.length > MAX_BODY_BYTES) {
                received.release();
                reject();
                return;
            }
            incoming = received;
            reusable = HttpUtil.isKeepAlive(head);
            if (incoming.hasStatusOk() && incoming.length > MAX_BUFFERED_BODY_BYTES) {
                startForwarding();
            }
        }

        /** Handles a part of an answer's body. */
        private void handleContent(HttpContent content) {
            if (inInterimAnswer || incoming == null) {
                inInterimAnswer &= !(content instanceof LastHttpContent);
                return;
            }
            int size = content.content().readableBytes();
            if (!incoming.hasStatusOk()) {
                incoming.discardedBytes += size;
                if (incoming.discardedBytes > MAX_BUFFERED_BODY_BYTES) {
                    // Only the head is needed, and closing is cheaper than reading a large body.
                    reusable = false;
                    completeAnswer();
                    channel.close();
                    return;
                }
            } else if (incoming.sink != null) {
                forward(content.content().retain());
            } else if (size > 0) {
                boolean hasRoom = answers.fits(size);
                incoming.buffer(content.content());
                if (!hasRoom || incoming.bufferedBytes() > MAX_BUFFERED_BODY_BYTES) {
                    startForwarding();
                } else if (incoming.length < 0 && incoming.bufferingTimer == null
                        && currentExchange.receiver.maxBufferingUs() >= 0) {
                    incoming.bufferingTimer = loop.schedule(this::forwardAfterBuffering,
                            currentExchange.receiver.maxBufferingUs(), TimeUnit.MICROSECONDS);
                }
            }
            if (content instanceof LastHttpContent && incoming != null) {
                completeAnswer();
            }
        }

        /** Handles the end of an answer's body. */
        private void completeAnswer() {
            answer = incoming.result();
            if (incoming.sink != null) {
                incoming.sink.complete();
            }
            incoming.release();
            incoming = null;
        }

        /** Starts to forward an answer of unknown length whose buffering time is over. */
        private void forwardAfterBuffering() {
            if (incoming != null && incoming.sink == null && currentExchange != null) {
                startForwarding();
                if (incoming != null) {
                    incoming.sink.flush();
                }
            }
        }

        /**
         * Passes the buffered part of the answer to the receiver's sink; the rest follows as it is received.
         */
        private void startForwarding() {
            incoming.sink = currentExchange.receiver.streamStarted(currentExchange, incoming.contentType(),
                    incoming.length);
            if (incoming.sink == null) {
                currentExchange.cancel();
                discardIncoming();
                return;
            }
            forward(incoming.takeBuffered());
        }

        private void forward(ByteBuf content) {
            if (!incoming.sink.write(content)) {
                channel.config().setAutoRead(false);
            }
        }

        /** Discards the answer that is being received. */
        private void discardIncoming() {
            if (incoming != null) {
                incoming.release();
                incoming = null;
            }
        }

        /**
         * Reports a complete answer only at the end of the read. The receiver may send the next request on
         * this connection at once, and bytes that follow the answer would then be taken for the answer to
         * that request.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (answer != null) {
                AttemptResult completed = answer;
                answer = null;
                channel.config().setAutoRead(true);
                currentExchange.answerReceived(completed, reusable);
            } else if (incoming != null && incoming.sink != null) {
                incoming.sink.flush();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (currentExchange != null && currentExchange.upload != null) {
                currentExchange.upload.updateReading();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            channelReadComplete(context);
            if (currentExchange != null) {
                connectionLost();
            } else {
                closeIdle(this);
            }
            discardIncoming();
        }

        /**
         * Ends the current exchange after the connection was lost, and aborts an answer that is being
         * forwarded.
         */
        private void connectionLost() {
            if (incoming != null && incoming.sink != null && !currentExchange.ended) {
                incoming.sink.abort();
            }
            discardIncoming();
            currentExchange.connectionLost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (currentExchange != null && answer == null) {
                // A body without a declared length ends when the connection is closed. After an error it is
                // incomplete instead, so the loss is reported before the close.
                connectionLost();
            }
            context.close();
        }
    }

    /** Returns the body of an answer to a probe as text, or null if there is no body. */
    static String asciiText(byte[] body) {
        return body == null ? null : new String(body, StandardCharsets.US_ASCII);
    }
}
