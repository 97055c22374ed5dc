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
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import larkworks.proxy.Invariants.Rule;
import larkworks.transport.PollTimes;
import larkworks.transport.SystemError;
import larkworks.transport.TcpListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The client side of the proxy: reads requests, passes valid ones to the driver and writes the answers. */
final class Frontend {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /**
     * Minimum rate of a request body, in bytes per second. Clients send at 64 kB/s or faster; a connection
     * well below that is cut off.
     */
    private static final long MIN_BODY_BYTES_PER_S = 48_000;
    /** Minimum time granted between a request head and the first bytes of its body. */
    private static final long BODY_GRACE_MS = 500;
    /**
     * Memory limit for all connections together: buffered small bodies, beginnings of bodies that may still
     * turn out to be large, and the buffers of bytes sent ahead.
     */
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    /** A transfer without progress for this long is cut off. */
    private static final long STALL_TIMEOUT_MS = LingeringClose.STALL_TIMEOUT_MS;
    /**
     * An unproven connection, one without a valid request so far, is evicted before idle ones only after this
     * time without bytes, as a valid request head may arrive in several pieces.
     */
    private static final long MIN_SILENCE_MS = 300;
    /**
     * Time for a client to send a whole request head: from the connection's acceptance for the first request,
     * from the head's first byte for later ones. A connection that sends no request, or part of one, must be
     * closed within 3 s, and not within the first 2 s. It is also the maximum linger time.
     */
    private static final long REQUEST_TIMEOUT_MS = 2_500;

    /** Maximum time that a draining process waits for a client to close its side of the connection. */
    private static final long DRAIN_LINGER_MS = 1_000;

    /** Bytes received longer ago than this don't prove that the client is still connected. */
    private static final long RECENT_READ_MS = 50;

    /** Number of polls after which all bytes that arrived before a connection's acceptance have been read. */
    private static final int FIRST_READ_POLLS = 2;

    /** Maximum reads of one connection per loop turn: a usual request and the end of stream after it. */
    private static final int MAX_READS_PER_TURN = 16;
    /** Maximum number of a connection's turns that are read at once when its client's close is looked for. */
    private static final int MAX_TURNS_AT_ONCE = 16;

    /**
     * Size of the system's send buffer, which reports room once about a third of it is free. It holds a whole
     * answer that was buffered, and a client that takes 64 kB a second makes progress every few seconds.
     */
    private static final int SEND_BUFFER_BYTES = 128 << 10;
    /** Maximum number of requests of one connection that begin in a turn of the loop. */
    private static final int MAX_REQUESTS_PER_TURN = 4;
    /** Maximum time in a turn of the loop for requests that were sent ahead. */
    private static final long RESUME_TURN_NS = 2_000_000;
    /** Minimum time between two warnings that memory is short. */
    private static final long MEMORY_LOG_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final Sockets sockets;
    private final Driver driver;
    private final PollTimes polls;
    private final RequestHeadParser headParser;
    /** Connections that have carried a valid request and have none in progress, the longest silent first. */
    private final Set<Connection> idleConnections = new LinkedHashSet<>();
    /** Unproven connections: those without a valid request so far, the longest silent first. */
    private final Set<Connection> unprovenConnections = new LinkedHashSet<>();
    /** Connections that have undecoded bytes and take a request, the one that waits longest first. */
    private final Queue<Connection> resuming = new ArrayDeque<>();
    private boolean resumesScheduled;
    private final WriteBufferShares writeBufferShares = new WriteBufferShares();
    /** Closes connections once their last answers have been written. */
    private final LingeringClose lingering;
    private TcpListener listener;
    private Consumer<SystemError> onAcceptFailure = error -> { };
    /** Changed on the loop only; read by the metrics thread as well. */
    private volatile int openConnections;
    /** The buffered bodies and the buffers of bytes sent ahead, of all connections. */
    private final MemoryBudget buffered = new MemoryBudget(MAX_BUFFERED_BYTES);
    /** The answers that are being received from backends or not written to clients yet. */
    private final MemoryBudget answers;
    /** Whether a call of {@link Connection#readNow} is running, on any connection; such calls don't nest. */
    private boolean readNowRunning;
    private long memoryShortLoggedMs = nowMs() - MEMORY_LOG_INTERVAL_MS;
    private boolean warmedUp;
    private boolean draining;

    /**
     * Creates the client side; it does not listen yet.
     *
     * @param answers counts the memory of answers, shared with the pool that receives them
     */
    Frontend(Config config, EventLoop loop, Sockets sockets, Driver driver, PollTimes polls,
            MemoryBudget answers) {
        this.polls = polls;
        this.answers = answers;
        this.loop = loop;
        this.sockets = sockets;
        this.driver = driver;
        this.lingering = new LingeringClose(loop, REQUEST_TIMEOUT_MS);
        this.headParser = new RequestHeadParser(config.settings());
        sockets.onRelease(() -> setAccepting(true));
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
                .childOption(ChannelOption.ALLOCATOR, Sockets.HEAP_BUFFERS)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                // Reads on after a short read, as the end of stream may follow: the client may have closed.
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, sockets.readBufferAllocator()
                        .respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_TURN))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Connection connection = new Connection(channel);
                        channel.pipeline().addLast(new ReadNotifier(connection::onBytesReceived),
                                connection.decoder, new HttpResponseEncoder(), connection);
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

    /** Sets the action to run after each failed accept. */
    void onAcceptFailure(Consumer<SystemError> action) {
        onAcceptFailure = action;
    }

    /** Ends the warm-up: from now on the proxy is ready whenever some backend can be sent a request. */
    void setWarmedUp() {
        warmedUp = true;
    }

    /** Returns whether clients can connect. */
    boolean isListening() {
        return listener != null && listener.isActive();
    }

    /** Starts draining: the proxy is not ready, and each answer closes its connection; accepting goes on. */
    void drain() {
        draining = true;
        lingering.setMaxLinger(DRAIN_LINGER_MS);
    }

    boolean isDraining() {
        return draining;
    }

    /** Accepts the connections that are in the listener's queue, which a close would reset, and closes it. */
    void stopListening() {
        if (listener != null && listener.isOpen()) {
            listener.drainAndClose();
        }
    }

    /**
     * Closes connections on which no request has begun to arrive: clients go on sending on every connection
     * that stays open, until the process ends. An unproven connection is closed only after a short silence,
     * as its first request may be on its way. Received bytes are read first. A request that crosses the close
     * can't be seen: it is dropped unanswered, and its client, which sees the connection end after a complete
     * answer, sends it again.
     */
    void closeUnusedConnections() {
        List<Connection> unusedConnections = Stream.concat(idleConnections.stream(),
                unprovenConnections.stream().filter(Connection::isSilent))
                .filter(Connection::isUnused).toList();
        unusedConnections.forEach(connection -> {
            connection.readNow();
            if (connection.isUnused()) {
                connection.writeLastAndClose(Unpooled.EMPTY_BUFFER, CloseReason.UNUSED_AT_END);
            }
        });
    }

    /** Returns the size of the buffered bodies and the buffers of bytes sent ahead, of all connections. */
    int bufferedBytes() {
        return buffered.usedBytes();
    }

    /** Returns the size of the answers that are being received or wait for their clients. */
    int answerBytes() {
        return answers.usedBytes();
    }

    /** Returns the number of open client connections. */
    int openConnections() {
        return openConnections;
    }

    /** Returns whether the listener and all client connections are closed. */
    boolean isEmpty() {
        return (listener == null || !listener.isOpen()) && openConnections == 0;
    }

    /** Returns whether the proxy is ready: warmed up, not draining, and able to send to some backend. */
    boolean isReady() {
        return warmedUp && !draining && driver.canServe();
    }

    /** Closes the connection that has waited longest for its client to close; false if there is none. */
    boolean evictLingering() {
        return lingering.evictLongest();
    }

    /** Closes the unproven connection that has been silent longest; false if none has been silent enough. */
    boolean evictUnproven() {
        return evictFirst(unprovenConnections, Connection::isSilent);
    }

    /**
     * Closes the connection that has been idle longest, else one that has sent a part of a request, else any
     * unproven one; false if there is none.
     */
    boolean evictIdle() {
        return evictFirst(idleConnections, Connection::isUnused) || evictFirst(idleConnections, any -> true)
                || evictFirst(unprovenConnections, any -> true);
    }

    private static boolean evictFirst(Set<Connection> candidates, Predicate<Connection> evictable) {
        // Iterates over a copy, as readNow moves each connection that has received bytes.
        for (Connection candidate : List.copyOf(candidates)) {
            if (evictable.test(candidate)) {
                candidate.readNow();
                if (evictable.test(candidate) && candidate.evict()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Has {@link #resumeConnections} run after the loop has polled all connections. */
    private void scheduleResumes() {
        if (!resumesScheduled) {
            resumesScheduled = true;
            loop.schedule(this::resumeConnections, 0, TimeUnit.MILLISECONDS);
        }
    }

    /** Decodes what clients sent ahead, for a short time: clients that wait for their answers go first. */
    private void resumeConnections() {
        resumesScheduled = false;
        long startNs = System.nanoTime();
        while (!resuming.isEmpty() && System.nanoTime() - startNs < RESUME_TURN_NS) {
            resuming.remove().resume();
        }
        if (!resuming.isEmpty()) {
            scheduleResumes();
        }
    }

    private void logMemoryShort() {
        if (nowMs() - memoryShortLoggedMs > MEMORY_LOG_INTERVAL_MS) {
            memoryShortLoggedMs = nowMs();
            LOG.atWarn().addKeyValue("buffered_bytes", buffered.usedBytes())
                    .addKeyValue("connections", openConnections).log("no memory for more request bodies");
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private void setAccepting(boolean on) {
        if (listener != null) {
            listener.suspend(!on);
        }
    }

    /** A client's connection. Its requests are answered in the order in which they arrived. */
    private final class Connection extends ChannelInboundHandlerAdapter {

        private final Channel channel;
        private final long openedMs = nowMs();
        /** The number of the poll that accepted the connection. */
        private final long openedPoll = polls.polls();
        /** The earliest time at which the connection can have entered the listener's queue. */
        private final long queuedSinceNs = listener.queuedSinceNs();
        /** Keeps what arrives behind the current request (HTTP pipelining). */
        private final RequestDecoder decoder =
                new RequestDecoder(this::takesMessages, this::earliestArrivalUs, buffered);
        /** Number of requests that began after the poll with the number {@link #turnPoll}. */
        private int requestsInTurn;
        private long turnPoll;
        private boolean resumeScheduled;
        /** The head of the current request, until its answer has been written; null between requests. */
        private HttpRequest head;
        /** Whether the current request's body is still being received. */
        private boolean receivingBody;
        /** The current body as received so far, while it may be small enough to be buffered; else null. */
        private ByteBuf body;
        /** The current body once it has proved too large to be buffered; else null. */
        private Upload upload;
        private long receivedBodyBytes;
        /** When the client can have written all of the current upload; null without an upload. */
        private EarliestWriteTime writeTime;
        /** The number of the poll after which reading of the current upload last went on. */
        private long uploadResumedPoll;
        /** Timer that checks whether the time of the current upload's request is over, or null. */
        private Future<?> uploadCheck;
        /** The number of bytes of {@link #bufferedBytes} that are reserved for the current request's body. */
        private int reservedBytes;
        /**
         * The time from which the body must arrive at its minimum rate. It lies in the future when the
         * request begins, as the client first has a grace period.
         */
        private long bodyRateStartMs;
        /** The current request as parsed from its head, without the body; null if it was rejected. */
        private InboundRequest parsedRequest;
        private RejectedException rejection;
        private boolean keepAlive;
        /** A complete request, until all bytes received in the same loop turn have been read; else null. */
        private InboundRequest completeRequest;
        /** Whether the driver has the current request and hasn't answered it yet. */
        private boolean awaitingAnswer;
        /** The current request as the driver holds it, or null. */
        private PendingRequest pending;
        private final UnwrittenAnswers unwrittenAnswers =
                new UnwrittenAnswers(answers, this::onAnswerWritten);
        /** The large answer that is being passed on to the client, or null. */
        private StreamedAnswer streamedAnswer;
        /** Whether the last answer is being written; further received messages are dropped. */
        private boolean closing;
        /** Whether a valid request has arrived; connections without one are closed early, to free sockets. */
        private boolean proven;
        /** Whether bytes have arrived since the last request. */
        private boolean bytesArrivedSinceRequest;
        private long lastReceivedMs = openedMs;
        /** Number of reads that have received bytes. */
        private long reads;
        /** Timer that closes the connection if the client doesn't send the rest of its request in time. */
        private Future<?> requestTimeout;

        private Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            openConnections++;
            channel.closeFuture().addListener(closed -> {
                openConnections--;
                setRequestTimeout(null);
                releaseReserved();
                sockets.release();
                driver.invariants().check(
                        openConnections >= 0 && buffered.usedBytes() >= 0 && answers.usedBytes() >= 0
                                && sockets.isConsistent(),
                        Rule.COUNTS_NOT_NEGATIVE, "", () -> "connections=" + openConnections + " held_bytes="
                                + buffered.usedBytes() + " answer_bytes=" + answers.usedBytes() + " sockets="
                                + sockets.openCount());
            });
            if (!sockets.addAccepted()) {
                // Further connections wait in the listener's queue until one closes.
                setAccepting(false);
            }
            startRequestTimeout();
            idleOrUnprovenConnections().add(this);
        }

        /** Returns whether no request is in progress and none has begun to arrive. */
        private boolean isUnused() {
            return !closing && !bytesArrivedSinceRequest && head == null && channel.isActive();
        }

        /** Returns whether the connection has been silent for {@link #MIN_SILENCE_MS}. */
        private boolean isSilent() {
            return nowMs() - lastReceivedMs > MIN_SILENCE_MS;
        }

        /** Reads the bytes that the system has received; doesn't wait for the event loop, which may lag. */
        private void readNow() {
            if (!readNowRunning && channel.config().isAutoRead()) {
                readNowRunning = true;
                try {
                    readAll();
                } finally {
                    readNowRunning = false;
                }
            }
        }

        /**
         * Reads until no bytes are left, up to a limit: a client's close lies behind what it has sent. Within
         * a body, which takes long to process, it reads once.
         */
        private void readAll() {
            int turns = receivingBody ? 1 : MAX_TURNS_AT_ONCE;
            long readsBefore = -1;
            for (int i = 0; i < turns && readsBefore != reads && channel.isActive(); i++) {
                readsBefore = reads;
                ((NioUnsafe) channel.unsafe()).read();
            }
        }

        /**
         * Returns whether the client is still connected, reading first if nothing was received lately: the
         * client's close may be unread while the loop lags, and a delayed request must not be sent to a
         * backend long after its client has gone.
         */
        private boolean isConnected() {
            if (nowMs() - lastReceivedMs > RECENT_READ_MS) {
                readNow();
            }
            return channel.isActive();
        }

        /** Returns whether bytes of an answer wait to be written to the client's socket. */
        private boolean isWritingAnswer() {
            return LingeringClose.unwrittenBytes(channel) > 0;
        }

        /**
         * Closes the connection at once, unless a request or an answer would be lost with it. Returns whether
         * it was closed.
         */
        private boolean evict() {
            if (hasOpenExchange() || !idleOrUnprovenConnections().remove(this)) {
                return false;
            }
            releaseReserved();
            logClosed(CloseReason.EVICTED);
            channel.close();
            return true;
        }

        /**
         * Returns whether an answer is still being written, or received bytes may hold a request that is not
         * decoded yet. An unproven connection has errors and health checks to be answered only; those keep it
         * open only while bytes arrive.
         */
        private boolean hasOpenExchange() {
            if (!proven && nowMs() - lastReceivedMs > REQUEST_TIMEOUT_MS) {
                return false;
            }
            return isWritingAnswer() || resumeScheduled;
        }

        /** Closes the connection unanswered, as no complete request head arrived before the timeout. */
        private void onRequestTimeout() {
            readNow();
            if (!idleOrUnprovenConnections().contains(this)) {
                return;
            }
            closeUnanswered(CloseReason.REQUEST_LATE);
        }

        /** Closes the connection on an incomplete request, once the answers before it have been written. */
        private void closeUnanswered(CloseReason reason) {
            if (isWritingAnswer() && streamedAnswer == null) {
                abandonPending();
                writeLastAndClose(Unpooled.EMPTY_BUFFER, reason);
            } else {
                closeNow(reason);
            }
        }

        /** Returns the set that contains this connection while it has no complete request. */
        private Set<Connection> idleOrUnprovenConnections() {
            return proven ? idleConnections : unprovenConnections;
        }

        private void setRequestTimeout(Future<?> newTimeout) {
            if (requestTimeout != null) {
                requestTimeout.cancel(false);
            }
            requestTimeout = newTimeout;
        }

        /** Notes that bytes arrived; if they begin a new request head, starts the timeout of that head. */
        private void onBytesReceived() {
            if (idleOrUnprovenConnections().remove(this)) {
                idleOrUnprovenConnections().add(this);
            }
            if (!bytesArrivedSinceRequest && head == null && proven && hasRoomForAnswer()) {
                startRequestTimeout();
            }
            reads++;
            noteUploadCaughtUp();
            bytesArrivedSinceRequest = true;
            lastReceivedMs = nowMs();
        }

        /**
         * Returns whether the next message is to be decoded: not while a request is in progress or the client
         * doesn't read its answers, and only some requests in a turn of the loop, which others share.
         */
        private boolean takesMessages() {
            return !closing && channel.isActive()
                    && (receivingBody || head == null && hasRoomForAnswer() && !hasUsedItsTurn());
        }

        /** Returns whether another answer may wait for the client. */
        private boolean hasRoomForAnswer() {
            return channel.isWritable() && unwrittenAnswers.allowAnotherRequest();
        }

        /** Decodes the next request that was sent ahead, if it waited for the client to read its answers. */
        private void onAnswerWritten() {
            if (!closing && head == null && decoder.undecodedBytes() > 0 && hasRoomForAnswer()) {
                scheduleResume();
            }
        }

        private boolean hasUsedItsTurn() {
            return turnPoll == polls.polls() && requestsInTurn >= MAX_REQUESTS_PER_TURN;
        }

        private void countRequestInTurn() {
            if (turnPoll != polls.polls()) {
                turnPoll = polls.polls();
                requestsInTurn = 0;
            }
            requestsInTurn++;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (closing) {
                ReferenceCountUtil.release(message);
            } else {
                process((HttpObject) message, decoder.decodedArrivalUs());
            }
        }

        /**
         * Returns the earliest time at which the message being read can have arrived, as a request's budget
         * also runs while this loop lags. On a connection just accepted the message may have arrived while
         * the connection was in the listener's queue.
         */
        private long earliestArrivalUs() {
            boolean firstRead = polls.polls() <= openedPoll + FIRST_READ_POLLS;
            long unreadNs = firstRead ? polls.unreadSinceNs(queuedSinceNs) : polls.unreadNs();
            return driver.clock().nowUs() - TimeUnit.NANOSECONDS.toMicros(unreadNs);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (upload != null) {
                upload.flush();
                if (channel.config().isAutoRead()) {
                    writeTime.caughtUp();
                }
            }
            if (!closing && head == null && decoder.undecodedBytes() > 0 && hasUsedItsTurn()) {
                scheduleResume();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (streamedAnswer != null && channel.isWritable()) {
                streamedAnswer.exchange.resumeReading();
            }
            if (head == null && channel.isWritable()) {
                scheduleResume();
            }
        }

        private void process(HttpObject object, long arrivalUs) {
            try {
                if (object instanceof HttpRequest request) {
                    beginRequest(request);
                }
                if (object instanceof HttpContent content && receivingBody) {
                    receiveBody(content, arrivalUs);
                }
            } catch (RejectedException e) {
                reject(e);
            } catch (RuntimeException e) {
                LOG.error("request failed", e);
                if (head != null && !closing) {
                    receivingBody = true;
                    answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, null, null);
                }
            } finally {
                ReferenceCountUtil.release(object);
            }
        }

        private void beginRequest(HttpRequest request) throws RejectedException {
            countRequestInTurn();
            head = request;
            receivingBody = true;
            parsedRequest = null;
            rejection = null;
            receivedBodyBytes = 0;
            body = Unpooled.buffer(0);
            keepAlive = HttpUtil.isKeepAlive(request);
            // The timeout of a connection's first valid request starts when the connection is accepted, that
            // of later requests when their head arrives.
            bodyRateStartMs = Math.max(nowMs() + BODY_GRACE_MS,
                    (proven ? nowMs() : openedMs) + REQUEST_TIMEOUT_MS);
            scheduleBodyCheck();
            RequestHeadParser.check(request);
            if (!isHealthCheck()) {
                try {
                    parsedRequest = headParser.parse(request);
                } catch (RejectedException e) {
                    // Rejected once the body has been read, if that is small, so the connection can be kept.
                    rejection = e;
                }
            }
            if (HttpUtil.is100ContinueExpected(request)) {
                if (rejection != null) {
                    throw rejection;
                }
                channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                        HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
            }
        }

        private boolean isHealthCheck() {
            return head.method().equals(HttpMethod.GET) && head.uri().startsWith("/health/");
        }

        /** Ends the request if its body arrives below the minimum rate or no backend takes it. */
        private void scheduleBodyCheck() {
            setRequestTimeout(loop.schedule(() -> {
                readNow();
                if (!receivingBody || closing || !channel.isActive()) {
                    return;
                }
                boolean stalled = upload != null && upload.currentPauseMs() > STALL_TIMEOUT_MS;
                if (stalled && pending != null && !pending.isAnswered()) {
                    driver.failUpload(pending);
                } else if (stalled || bodyDeadlineMs() <= nowMs()) {
                    closeUnanswered(CloseReason.BODY_LATE);
                } else {
                    scheduleBodyCheck();
                }
            }, Math.min(STALL_TIMEOUT_MS, Math.max(1, bodyDeadlineMs() - nowMs())), TimeUnit.MILLISECONDS));
        }

        /** Returns when the client must have sent more of the body. */
        private long bodyDeadlineMs() {
            long rateDeadlineMs = bodyRateStartMs + receivedBodyBytes * 1000 / MIN_BODY_BYTES_PER_S
                    + (upload == null ? 0 : upload.totalPauseMs());
            long silentSinceMs = upload == null ? lastReceivedMs
                    : Math.max(lastReceivedMs, nowMs() - upload.readingForMs());
            return Math.min(rateDeadlineMs, silentSinceMs + REQUEST_TIMEOUT_MS);
        }

        private void receiveBody(HttpContent content, long arrivalUs) throws RejectedException {
            if (content.decoderResult().isFailure()) {
                throw new RejectedException(HttpResponseStatus.BAD_REQUEST, "broken body");
            }
            ByteBuf part = content.content();
            receivedBodyBytes += part.readableBytes();
            if (receivedBodyBytes > BackendPool.MAX_BODY_BYTES
                    || rejection != null && receivedBodyBytes > BackendPool.MAX_BUFFERED_BODY_BYTES) {
                throw new RejectedException(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large");
            }
            boolean last = content instanceof LastHttpContent;
            if (upload != null) {
                if (upload.isWaitingForBackend()) {
                    reserve(part.readableBytes());
                }
                if (last) {
                    upload.setLastPart(part.retain());
                } else {
                    upload.addPart(part.retain());
                }
            } else if (rejection == null && !isHealthCheck()) {
                reserve(part.readableBytes());
                body.writeBytes(part);
                if (body.readableBytes() > BackendPool.MAX_BUFFERED_BODY_BYTES && !last) {
                    startUpload(arrivalUs);
                }
            }
            if (last && receivingBody) {
                onRequestComplete(arrivalUs);
            }
        }

        /** Reserves memory for more of a body, evicting silent unproven connections where it runs short. */
        private void reserve(int bytes) throws RejectedException {
            while (!buffered.fits(bytes) && evictUnproven()) {
                // Each iteration closes one connection, which frees the memory of its body.
            }
            if (!buffered.fits(bytes)) {
                logMemoryShort();
                throw new RejectedException(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the body");
            }
            buffered.add(bytes);
            reservedBytes += bytes;
        }

        /** Gives back the memory that was reserved for this connection's body. */
        private void releaseReserved() {
            buffered.remove(reservedBytes);
            reservedBytes = 0;
        }

        /** Starts to pass the body on as it arrives, as it is too large to be buffered. */
        private void startUpload(long arrivalUs) {
            long length = HttpFraming.bodyLength(head);
            upload = new Upload(channel, writeBufferShares, length, body, this::releaseReserved);
            writeTime = new EarliestWriteTime(length);
            upload.onReadingChanged(this::uploadReadingChanged);
            body = null;
            dispatch(parsedRequest.withBody(null, upload, arrivalUs));
            if (upload != null) {
                upload.updateReading();
            }
        }

        /** During a pause the client may write all of the body though not all of it is read. */
        private void uploadReadingChanged(boolean paused) {
            if (!paused) {
                uploadResumedPoll = polls.polls();
                return;
            }
            writeTime.fellBehind(driver.clock().nowUs(), receivedBodyBytes);
            if (uploadCheck == null) {
                checkUploadTime();
            }
        }

        /** Notes if the loop has polled the connection after a pause and found no bytes. */
        private void noteUploadCaughtUp() {
            if (upload != null && !upload.isReadingPaused()
                    && polls.polls() > uploadResumedPoll + FIRST_READ_POLLS) {
                writeTime.caughtUp();
            }
        }

        /** Fails the request of the current upload if its time may be over, else checks again then. */
        private void checkUploadTime() {
            uploadCheck = null;
            noteUploadCaughtUp();
            if (pending == null || upload == null || !writeTime.isBehind()) {
                return;
            }
            long nowUs = driver.clock().nowUs();
            long writtenUs = writeTime.lastByteUs(nowUs, receivedBodyBytes, nowUs);
            long leftUs = driver.uploadTimeLeftUs(pending,
                    writtenUs == EarliestWriteTime.NOT_YET ? nowUs : writtenUs);
            if (leftUs <= 0) {
                driver.failUpload(pending);
            } else {
                uploadCheck = loop.schedule(this::checkUploadTime, leftUs, TimeUnit.MICROSECONDS);
            }
        }

        private void cancelUploadCheck() {
            if (uploadCheck != null) {
                uploadCheck.cancel(false);
                uploadCheck = null;
            }
        }

        private void onRequestComplete(long arrivalUs) {
            receivingBody = false;
            setRequestTimeout(null);
            if (upload != null) {
                Upload uploaded = upload;
                long writtenUs = writeTime.lastByteUs(driver.clock().nowUs(), receivedBodyBytes, arrivalUs);
                loop.execute(() -> completeUpload(uploaded, writtenUs));
                return;
            }
            byte[] bytes = ByteBufUtil.getBytes(body);
            body.release();
            body = null;
            if (rejection != null) {
                reject(rejection);
            } else if (isHealthCheck()) {
                answer(healthStatus(head.uri()), null, null);
            } else {
                idleOrUnprovenConnections().remove(this);
                proven = true;
                completeRequest = parsedRequest.withBody(bytes, null, arrivalUs);
                loop.execute(this::dispatchCompleteRequest);
            }
        }

        /**
         * Completes the upload, unless the client closed its connection right behind the last part or the
         * request's time is over. Reads first, also during a pause, as the close may be unread.
         */
        private void completeUpload(Upload uploaded, long writtenUs) {
            readAll();
            if (upload != uploaded || !channel.isActive()) {
                return;
            }
            if (pending != null && driver.uploadTimeLeftUs(pending, writtenUs) <= 0) {
                driver.failUpload(pending);
                return;
            }
            upload.complete();
            if (pending != null) {
                driver.uploadCompleted(pending, writtenUs);
            }
        }

        /** Dispatches the complete request, unless the client closed its connection right behind it. */
        private void dispatchCompleteRequest() {
            InboundRequest inbound = completeRequest;
            completeRequest = null;
            if (inbound != null && channel.isActive() && !closing) {
                dispatch(inbound);
            }
        }

        private void dispatch(InboundRequest inbound) {
            driver.invariants().check(!closing && channel.isActive(), Rule.NO_REQUEST_AFTER_CLOSE,
                    inbound.callId(), () -> "closing=" + closing + " active=" + channel.isActive());
            idleOrUnprovenConnections().remove(this);
            proven = true;
            awaitingAnswer = true;
            PendingRequest dispatched = driver.submit(inbound, new Client(this));
            pending = awaitingAnswer ? dispatched : null;
        }

        private void reject(RejectedException reason) {
            if (reason.status().equals(HttpResponseStatus.BAD_REQUEST) && reason != rejection) {
                // After a malformed message the beginning of the next request is unknown.
                keepAlive = false;
            }
            abandonPending();
            if (streamedAnswer == null) {
                answer(reason.status(), reason.getMessage().getBytes(StandardCharsets.US_ASCII),
                        "text/plain");
            } else {
                closeNow(CloseReason.REQUEST_BROKEN);
            }
        }

        /** Ends the request that the driver holds, if any, as its client does not wait for it any more. */
        private void abandonPending() {
            if (pending != null) {
                PendingRequest abandoned = pending;
                pending = null;
                driver.clientGone(abandoned);
            }
        }

        private HttpResponseStatus healthStatus(String uri) {
            return switch (uri) {
                case "/health/live" -> HttpResponseStatus.OK;
                case "/health/ready" -> isReady() ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE;
                default -> HttpResponseStatus.NOT_FOUND;
            };
        }

        /** Answers a request that was not sent to a backend. */
        private void answer(HttpResponseStatus status, byte[] content, String contentType) {
            answer(status, content, contentType, -1, written -> { });
        }

        private void answer(HttpResponseStatus status, byte[] content, String contentType,
                long retryAfterUs, DeliveryListener delivery) {
            boolean bodiless = head.method().equals(HttpMethod.HEAD);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                    content == null || bodiless ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content == null ? 0 : content.length);
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            if (retryAfterUs > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
            }
            int bodyBytes = response.content().readableBytes();
            boolean last = setConnectionHeader(response);
            ChannelFuture write = last ? writeLastAndClose(response, CloseReason.LAST_ANSWER)
                    : lingering.resetIfStalled(channel, channel.writeAndFlush(response));
            unwrittenAnswers.add(bodyBytes, write);
            write.addListener(done -> delivery.ended(done.isSuccess()));
            if (!last) {
                nextRequest();
            }
        }

        /** Sets the answer's Connection header; returns whether the connection closes after this answer. */
        private boolean setConnectionHeader(HttpResponse response) {
            boolean last = !keepAlive || receivingBody
                    || (draining || decoder.hasDropped()) && !decoder.hasWholeHead();
            if (last) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
            }
            return last;
        }

        /**
         * Writes the last message and closes the connection with a lingering close, as the client may read
         * the answer only after it has sent its whole request.
         */
        private ChannelFuture writeLastAndClose(Object last, CloseReason reason) {
            logClosed(reason);
            stopProcessing();
            return lingering.close(channel, last);
        }

        /**
         * Closes at once. Sends a reset if the end of the connection marks the end of the answer being
         * streamed, as a plain close would make the truncated answer look complete.
         */
        private void closeNow(CloseReason reason) {
            logClosed(reason);
            if (streamedAnswer != null && streamedAnswer.endsWithConnection) {
                LingeringClose.reset(channel);
            } else {
                channel.close();
            }
        }

        private void logClosed(CloseReason reason) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("why", reason).addKeyValue("client", channel.remoteAddress())
                        .addKeyValue("request", pending == null ? "" : pending.inbound.callId())
                        .log("connection closed");
            }
        }

        /** Ends request processing: releases all buffers; messages that arrive later are dropped. */
        private void stopProcessing() {
            closing = true;
            completeRequest = null;
            idleOrUnprovenConnections().remove(this);
            setRequestTimeout(null);
            releaseBody();
            decoder.discard();
            pending = null;
            awaitingAnswer = false;
        }

        private void releaseBody() {
            releaseReserved();
            if (body != null) {
                body.release();
                body = null;
            }
            if (upload != null) {
                upload.discard();
                upload = null;
            }
            cancelUploadCheck();
        }

        /** Ends the current request and starts the next one, if it has arrived. */
        private void nextRequest() {
            releaseBody();
            head = null;
            pending = null;
            awaitingAnswer = false;
            bytesArrivedSinceRequest = decoder.undecodedBytes() > 0;
            if (!channel.isActive()) {
                return;
            }
            if (decoder.hasDropped() && !bytesArrivedSinceRequest) {
                writeLastAndClose(Unpooled.EMPTY_BUFFER, CloseReason.TOO_MUCH_AHEAD);
                return;
            }
            idleOrUnprovenConnections().add(this);
            setRequestTimeout(null);
            channel.config().setAutoRead(true);
            if (bytesArrivedSinceRequest) {
                scheduleResume();
            } else if (!proven) {
                startRequestTimeout();
            }
        }

        private void startRequestTimeout() {
            setRequestTimeout(
                    loop.schedule(this::onRequestTimeout, REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }

        /** Decodes what was sent ahead in a later turn of the loop. */
        private void scheduleResume() {
            if (!resumeScheduled) {
                resumeScheduled = true;
                resuming.add(this);
                scheduleResumes();
            }
        }

        private void resume() {
            resumeScheduled = false;
            if (closing || !channel.isActive()) {
                return;
            }
            try {
                decoder.resume();
            } catch (Exception e) {
                LOG.atError().setCause(e).log("failed to decode what was sent ahead");
                closeNow(CloseReason.FAILED);
                return;
            }
            if (head == null && bytesArrivedSinceRequest && requestTimeout == null && takesMessages()) {
                startRequestTimeout();
            }
            if (decoder.hasDropped() && takesMessages()) {
                // All bytes that are left are a part of a request, whose rest was dropped.
                writeLastAndClose(Unpooled.EMPTY_BUFFER, CloseReason.TOO_MUCH_AHEAD);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            unprovenConnections.remove(this);
            idleConnections.remove(this);
            setRequestTimeout(null);
            if (streamedAnswer != null) {
                streamedAnswer.stop(false);
                streamedAnswer = null;
            }
            abandonPending();
            releaseBody();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Usually a reset by the client; channelInactive follows and ends the pending request.
            if (!(cause instanceof IOException)) {
                LOG.atError().setCause(cause).log("client connection failed");
            }
            closeNow(CloseReason.FAILED);
        }

        private BackendPool.AnswerSink beginStreamedAnswer(BackendPool.Exchange exchange, String contentType,
                long length, DeliveryListener delivery) {
            streamedAnswer = new StreamedAnswer(this, exchange, contentType, length, delivery);
            return streamedAnswer;
        }
    }

    /** Writes a large answer to the client as it arrives from the backend. */
    private final class StreamedAnswer implements BackendPool.AnswerSink {

        private final Connection connection;
        private final Channel channel;
        private final BackendPool.Exchange exchange;
        private final DeliveryListener delivery;
        /** Whether closing the connection marks the answer's end, as it has neither a length nor chunks. */
        private final boolean endsWithConnection;
        /** Whether this is the connection's last answer. */
        private final boolean last;
        private final PartCollector collector;
        /** Number of bytes received from the backend. */
        private long receivedBytes;
        /** Number of bytes written to the client's socket at the latest stall check. */
        private long lastWrittenBytes = -1;
        private Future<?> stallCheck;

        private StreamedAnswer(Connection connection, BackendPool.Exchange exchange, String contentType,
                long length, DeliveryListener delivery) {
            this.delivery = delivery;
            this.connection = connection;
            this.channel = connection.channel;
            this.exchange = exchange;
            this.collector = new PartCollector(part -> channel.write(new DefaultHttpContent(part)));
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            endsWithConnection = length < 0
                    && connection.head.protocolVersion().equals(HttpVersion.HTTP_1_0);
            if (endsWithConnection) {
                connection.keepAlive = false;
            } else if (length < 0) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            }
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            last = connection.setConnectionHeader(response);
            writeBufferShares.add(channel);
            channel.writeAndFlush(response);
            scheduleStallCheck();
        }

        /** Cuts off a transfer without progress, whether the client or the backend causes the delay. */
        private void scheduleStallCheck() {
            stallCheck = loop.schedule(() -> {
                long writtenBytes = receivedBytes - LingeringClose.unwrittenBytes(channel);
                if (writtenBytes == lastWrittenBytes) {
                    connection.closeNow(CloseReason.ANSWER_STALLED);
                } else {
                    lastWrittenBytes = writtenBytes;
                    scheduleStallCheck();
                }
            }, STALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean write(ByteBuf content) {
            receivedBytes += content.readableBytes();
            collector.add(content);
            return channel.isWritable();
        }

        @Override
        public void flush() {
            collector.flush();
            channel.flush();
        }

        @Override
        public void complete() {
            collector.flush();
            connection.streamedAnswer = null;
            connection.pending = null;
            if (last) {
                stallCheck.cancel(false);
                connection.writeLastAndClose(LastHttpContent.EMPTY_LAST_CONTENT, CloseReason.LAST_ANSWER)
                        .addListener(done -> stop(done.isSuccess()));
                return;
            }
            // The stall timer runs on until the last byte is written, as the client may still stop reading.
            ChannelFuture write = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            write.addListener(done -> stop(done.isSuccess()));
            // The share of the write buffers limits what is left of the body.
            connection.unwrittenAnswers.add(0, write);
            connection.nextRequest();
        }

        /** Closes the connection so that the client sees a truncated answer, by framing or by a reset. */
        @Override
        public void abort() {
            collector.flush();
            stop(false);
            connection.streamedAnswer = null;
            if (endsWithConnection) {
                connection.logClosed(CloseReason.ANSWER_BROKEN);
                connection.stopProcessing();
                LingeringClose.reset(channel);
            } else {
                connection.writeLastAndClose(Unpooled.EMPTY_BUFFER, CloseReason.ANSWER_BROKEN);
            }
        }

        private void stop(boolean written) {
            stallCheck.cancel(false);
            collector.discard();
            writeBufferShares.remove(channel);
            delivery.ended(written);
        }
    }

    /** Writes the driver's answer to the client's connection. */
    private record Client(Connection connection) implements RequestClient {

        @Override
        public boolean isConnected() {
            return connection.isConnected();
        }

        @Override
        public boolean isOpen() {
            return connection.channel.isActive();
        }

        @Override
        public void sendAnswer(byte[] body, String contentType, DeliveryListener delivery) {
            connection.answer(HttpResponseStatus.OK, body, contentType, -1, delivery);
        }

        @Override
        public BackendPool.AnswerSink startStream(BackendPool.Exchange exchange, String contentType,
                long length, DeliveryListener delivery) {
            return connection.beginStreamedAnswer(exchange, contentType, length, delivery);
        }

        @Override
        public void sendRefusal(long retryAfterUs, DeliveryListener delivery) {
            connection.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, null, null, retryAfterUs, delivery);
        }

        @Override
        public void sendFailure(DeliveryListener delivery) {
            connection.answer(HttpResponseStatus.BAD_GATEWAY, null, null, -1, delivery);
        }
    }
}
