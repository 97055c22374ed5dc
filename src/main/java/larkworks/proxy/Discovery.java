package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.platform.Addresses;
import larkworks.proxy.DiscoveryWaits.Purpose;
import larkworks.transport.SystemError;
import larkworks.transport.TcpChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the list of backends up to date by long polls ("watches") of the discovery service. With discovery
 * {@code pushed} it watches from the start. With discovery {@code on_request} the decision module says when
 * to begin a watch, which then goes on until a call fails.
 */
final class Discovery {

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    private static final String INSTANCES_PATH = "/registry/instances";
    /** Header by which {@code larkworks.registry} names the epoch of its data; versions compare within it. */
    private static final String EPOCH_HEADER = "X-Registry-Epoch";
    /** Header of a registry replica that has had no contact with a leader for too long. */
    private static final String STALE_HEADER = "X-Registry-Stale";
    private static final HttpHeadersFactory HEADERS = ResponseDecoder.keeping(EPOCH_HEADER, STALE_HEADER);
    /**
     * Pause after an empty answer that arrived at once, so that proxy and discovery don't poll in a busy
     * loop. Far below 200 ms: if the next call started later than that, the watch would be regarded as
     * interrupted.
     */
    private static final long EMPTY_ANSWER_PAUSE_MS = 20;
    /** Pause before the first retry of a failed call; it doubles with each further failure. */
    private static final long MIN_RETRY_PAUSE_MS = 50;
    /** Pause before a connection is retried that failed for lack of a descriptor, port or buffer here. */
    private static final long LOCAL_FAILURE_PAUSE_MS = 10;
    private static final int MAX_LOCAL_FAILURES = 10;
    /** Proxies that lose the same discovery address at once spread their fail-over over this time. */
    private static final long MAX_FAIL_OVER_DELAY_MS = 200;
    /** Maximum pause between retries; the constructor lowers it where the drain grace is short. */
    private static final long MAX_RETRY_PAUSE_MS = 1_000;
    /**
     * With discovery {@code on_request}, a failed call is retried after this time plus a random part of the
     * jitter, unless the decision module asks for a watch sooner.
     */
    private static final long ON_REQUEST_RETRY_PAUSE_MS = 1_000;
    private static final long ON_REQUEST_RETRY_JITTER_MS = 500;
    /**
     * Reads of an answer per loop iteration. A read holds about a hundred backends; more at a time would
     * delay requests.
     */
    private static final int READS_PER_LOOP_ITERATION = 1;

    /** Addresses of the discovery service. */
    private List<InetSocketAddress> addresses;
    /** Position in {@link #addresses} of the address in use. */
    private int addressIndex;
    private final SplittableRandom random;
    private final boolean isOnRequest;
    private final List<String> zones;
    private final EventLoop loop;
    private final Sockets sockets;
    private final Driver driver;
    private Channel channel;
    private Future<?> timeoutTask;
    /** The task that starts the next call after a pause; null before the first pause. */
    private Future<?> nextCallTask;
    /** The version of the list in force; negative if the next call must ask for the full list. */
    private volatile long index;
    /** The registry epoch of the list in force; null if the service sends none. */
    private String epoch;
    private final long maxRetryPauseMs;
    private long retryPauseMs = MIN_RETRY_PAUSE_MS;
    private boolean callInProgress;
    /** The purpose of the call in progress or, between calls, of the next one. */
    private Purpose purpose = Purpose.FIRST;
    private final DiscoveryWaits waits = new DiscoveryWaits();
    private final ListFreshness freshness = new ListFreshness();
    /** Whether bytes of the answer to the call in progress have arrived. */
    private boolean answerStarted;
    /** When the first bytes of that answer arrived, by {@link System#nanoTime}. */
    private long answerStartedNs;
    /** Bytes of the body of that answer so far. */
    private long answerBytes;
    private long callStartedNs;
    private long callStartedUs;
    /**
     * When the list in force was current: the start time of the call that returned it. Used by
     * {@link StartTimes}.
     */
    private long listCurrentUs = Long.MIN_VALUE;
    /**
     * The earliest time, by the driver's clock, at which this proxy may have missed a change;
     * {@code Long.MAX_VALUE} if none can have been missed. With discovery {@code pushed}, the platform
     * regards a change as delivered to the proxy as soon as discovery has it, even if no call has fetched it.
     */
    private long missedSinceUs;
    private boolean closed;
    /** Consecutive failed calls; counted only with several discovery addresses. */
    private int consecutiveFailures;
    /** Consecutive answers without a usable list. */
    private int consecutiveRefusals;
    /** Consecutive connections that failed for lack of a descriptor, port or buffer on this machine. */
    private int consecutiveLocalFailures;
    private boolean listReceived;
    /**
     * Whether the first call has succeeded, failed or exceeded the time that the start allows it. True from
     * the start with discovery {@code on_request}, where the platform expects the proxy to know a list only
     * once it has arrived.
     */
    private boolean firstCallEnded;
    private Runnable firstCallEndedAction = () -> { };

    Discovery(Config config, EventLoop loop, Sockets sockets, Driver driver) {
        this.addresses = config.discovery();
        this.random = new SplittableRandom(config.seed());
        this.isOnRequest = config.settings().watchesDiscovery();
        this.zones = config.zones();
        this.loop = loop;
        this.sockets = sockets;
        this.driver = driver;
        this.firstCallEnded = isOnRequest;
        this.index = initialIndex(config);
        this.missedSinceUs = isOnRequest ? Long.MAX_VALUE : driver.clock().nowUs();
        // The proxy must learn of a drain within the drain's grace period. The maximum pause, lengthened by
        // up to a quarter as jitter, stays within half of that period.
        this.maxRetryPauseMs = Math.max(MIN_RETRY_PAUSE_MS, Math.min(MAX_RETRY_PAUSE_MS,
                config.settings().rules().drainGraceUs() / 1000 * 2 / 5));
        driver.onWatchRequested(this::startCall);
    }

    /**
     * Returns the version of the list in the configuration, or -1 if there is none. The first call asks for
     * changes since that version: they cost discovery little, whereas the full list costs much with thousands
     * of backends or many proxies starting at once.
     */
    private static long initialIndex(Config config) {
        Listing knownList = config.knownList();
        return knownList != null && knownList.isFull() && !knownList.entries().isEmpty()
                ? knownList.index() : -1;
    }

    void start() {
        if (!isOnRequest) {
            startCall();
        }
    }

    /**
     * Returns the version of the list in force; negative if the next call must ask for the full list. Safe to
     * call from any thread.
     */
    long index() {
        return index;
    }

    /** Returns how far the list in force may be trusted. Safe to call from any thread. */
    ListFreshness.State freshness() {
        return freshness.state();
    }

    /** Returns whether a list has been received since the start. */
    boolean hasReceivedList() {
        return listReceived;
    }

    /** Runs the action once: when the first call ends or {@link #markFirstCallEnded} is called. */
    void onFirstCallEnded(Runnable action) {
        firstCallEndedAction = action;
        if (firstCallEnded) {
            markFirstCallEnded();
        }
    }

    /**
     * Treats the first call as ended, even if it is in progress; a list that it returns later is applied all
     * the same.
     */
    void markFirstCallEnded() {
        firstCallEnded = true;
        Runnable action = firstCallEndedAction;
        firstCallEndedAction = () -> { };
        action.run();
    }

    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    /**
     * Drops the current call and switches to other addresses of the same service, asking for changes since
     * the version in force. If the new service numbers its versions differently, it answers with a lower
     * version or refuses the request; the full list is asked for then.
     */
    void switchTo(List<InetSocketAddress> newAddresses) {
        if (closed || newAddresses.equals(addresses)) {
            return;
        }
        addresses = newAddresses;
        addressIndex = 0;
        purpose = Purpose.FIRST;
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        if (callInProgress) {
            callInProgress = false;
            timeoutTask.cancel(false);
        }
        closeChannel();
        startCall();
    }

    /** Makes the next call ask for the full list; the present list stays in force until then. */
    private void requireFullList() {
        index = -1;
        epoch = null;
    }

    private void closeChannel() {
        if (channel != null) {
            Channel oldChannel = channel;
            channel = null;
            oldChannel.close();
        }
    }

    /** Starts a call for the full list or, with a list in force, for the changes since its version. */
    private void startCall() {
        if (callInProgress || closed) {
            return;
        }
        if (nextCallTask != null) {
            nextCallTask.cancel(false);
        }
        callInProgress = true;
        answerStarted = false;
        answerBytes = 0;
        long startedNs = System.nanoTime();
        callStartedNs = startedNs;
        callStartedUs = driver.clock().nowUs();
        startTimeout(waits.firstByteTimeoutMs(purpose, index < 0));
        if (channel != null && channel.isActive()) {
            sendRequest(channel);
        } else {
            Bootstrap bootstrap = new Bootstrap().group(loop).channel(TcpChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOCATOR, Sockets.HEAP_BUFFERS)
                    .option(ChannelOption.RECVBUF_ALLOCATOR,
                            sockets.readBufferAllocator().maxMessagesPerRead(READS_PER_LOOP_ITERATION))
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) DiscoveryWaits.FIRST_CALL_TIMEOUT_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            newChannel.pipeline().addLast(
                                    new ReadNotifier(() -> answerBytesReceived(newChannel)),
                                    new HttpRequestEncoder(), new ResponseDecoder(HEADERS),
                                    new AnswerReader());
                        }
                    });
            channel = sockets.connectReserved(bootstrap, loop, addresses.get(addressIndex), connectFuture -> {
                if (connectFuture != null && connectFuture.isSuccess()) {
                    sendRequest(connectFuture.channel());
                } else if (connectFuture == null || SystemError.of(connectFuture.cause()).isLocal()) {
                    localConnectFailed(startedNs);
                } else {
                    connectionClosed(connectFuture.channel());
                }
            });
        }
    }

    /**
     * Retries the call after a short pause: this machine had no descriptor, port or buffer for the
     * connection, which says nothing about discovery. After too many such failures in a row the call is
     * handled as failed. Does nothing if another call has started since, for example after a change of the
     * addresses.
     *
     * @param startedNs the start time of the call that needed the connection
     */
    private void localConnectFailed(long startedNs) {
        if (startedNs != callStartedNs || !callInProgress || closed) {
            return;
        }
        if (++consecutiveLocalFailures > MAX_LOCAL_FAILURES) {
            callFailed("no descriptor, port or buffer on this machine for the connection");
            return;
        }
        callInProgress = false;
        timeoutTask.cancel(false);
        closeChannel();
        scheduleCall(LOCAL_FAILURE_PAUSE_MS);
    }

    /** Schedules the next call after a pause; a call that starts sooner cancels the schedule. */
    private void scheduleCall(long delayMs) {
        nextCallTask = loop.schedule(this::startCall, delayMs, TimeUnit.MILLISECONDS);
    }

    private void startTimeout(long timeoutMs) {
        timeoutTask = loop.schedule(this::answerTimedOut, timeoutMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends a call whose answer did not start or did not continue within the timeout. With discovery
     * {@code on_request} the next call starts at once: the platform soon regards changes that a dead watch
     * misses as delivered to the proxy. The decision module is not notified of the failure, as it would then
     * wait before it asks for the next watch.
     */
    private void answerTimedOut() {
        waits.callTimedOut();
        if (isOnRequest && callInProgress && !closed) {
            abandonCall(answerStarted ? "the answer stalled" : "no answer before the timeout");
            startCall();
        } else {
            callFailed(answerStarted ? "the answer stalled" : "no answer before the timeout");
        }
    }

    /** Restarts the timeout when bytes of an answer arrive; it is shorter from the first byte on. */
    private void answerBytesReceived(Channel sourceChannel) {
        if (sourceChannel != channel || !callInProgress) {
            return;
        }
        answerStartedNs = answerStarted ? answerStartedNs : System.nanoTime();
        answerStarted = true;
        timeoutTask.cancel(false);
        startTimeout(waits.nextBytesTimeoutMs(
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answerStartedNs), answerBytes));
    }

    private void sendRequest(Channel target) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                index < 0 ? INSTANCES_PATH
                        : INSTANCES_PATH + "?index=" + index + "&wait=" + waits.waitMs(purpose),
                Unpooled.EMPTY_BUFFER);
        InetSocketAddress address = addresses.get(addressIndex);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        target.writeAndFlush(request);
    }

    private void connectionClosed(Channel closedChannel) {
        if (closedChannel == channel) {
            channel = null;
            if (callInProgress) {
                callFailed("the connection closed before the answer was complete");
            }
        }
    }

    /** Ends the call in progress as failed and schedules a retry. The list in force stays. */
    private void callFailed(String reason) {
        if (!callInProgress || closed) {
            return;
        }
        abandonCall(reason);
        if (isOnRequest) {
            scheduleCall(ON_REQUEST_RETRY_PAUSE_MS + random.nextLong(ON_REQUEST_RETRY_JITTER_MS));
            driver.discoveryFailed();
        } else {
            missedSinceUs = Math.min(missedSinceUs, driver.clock().nowUs());
            // Jitter keeps proxies from returning all at once to a service that was down.
            long delayMs = consecutiveFailures == 1 ? random.nextLong(MAX_FAIL_OVER_DELAY_MS + 1)
                    : retryPauseMs * 3 / 4 + random.nextLong(retryPauseMs / 2 + 1);
            scheduleCall(delayMs);
            retryPauseMs = Math.min(2 * retryPauseMs, maxRetryPauseMs);
        }
        markFirstCallEnded();
    }

    /** Ends the call in progress; with several addresses the next call goes to another one. */
    private void abandonCall(String reason) {
        freshness.callFailed(driver.clock().nowUs(), reason);
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("why", reason).addKeyValue("purpose", purpose)
                    .addKeyValue("index", index).addKeyValue("bytes", answerBytes)
                    .addKeyValue("after_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - callStartedNs))
                    .log("call given up");
        }
        consecutiveLocalFailures = 0;
        callInProgress = false;
        purpose = Purpose.CATCH_UP;
        timeoutTask.cancel(false);
        closeChannel();
        if (addresses.size() > 1) {
            failOver();
        }
    }

    /**
     * Switches to another address: after the first failure to a random one, so that proxies don't all move to
     * the same, and after further failures to the next in order. A service that sends an epoch is a replica
     * of the same data, where the watch continues from the version in force. The full list is asked for if
     * no epoch is known, or after as many answers without a usable list as there are addresses.
     */
    private void failOver() {
        consecutiveFailures++;
        int otherAddressCount = addresses.size() - 1;
        addressIndex = (addressIndex + 1 + (consecutiveFailures == 1 ? random.nextInt(otherAddressCount) : 0))
                % addresses.size();
        if (epoch == null || consecutiveRefusals > otherAddressCount) {
            requireFullList();
        }
    }

    /** Handles a complete answer; {@code listing} is null if it contained no valid list. */
    private void answerReceived(HttpResponse response, Listing listing) {
        if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            requireFullList();  // the service doesn't know the version in force
        }
        String answerEpoch = response.headers().get(EPOCH_HEADER);
        if (listing == null || !listing.isFull() && !canApply(listing, answerEpoch)) {
            consecutiveRefusals++;
            callFailed("answered " + response.status().code()
                    + (listing == null ? " without a valid list" : " with changes that do not apply"));
            return;
        }
        waits.callAnswered(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - callStartedNs));
        freshness.callAnswered(driver.clock().nowUs());
        epoch = answerEpoch;
        callInProgress = false;
        long answeredCallStartedUs = callStartedUs;
        timeoutTask.cancel(false);
        listReceived = true;
        purpose = Purpose.WATCH;
        index = listing.index();
        retryPauseMs = MIN_RETRY_PAUSE_MS;
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        consecutiveLocalFailures = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            closeChannel();
        }
        if (addresses.size() > 1 && response.headers().contains(STALE_HEADER)) {
            // The replica's list is applied, but another replica may have a newer one.
            addressIndex = (addressIndex + 1) % addresses.size();
            closeChannel();
        }
        // Starts the next watch before applying the list, which may take long.
        if (listing.entries().isEmpty()
                && System.nanoTime() - callStartedNs < EMPTY_ANSWER_PAUSE_MS * 1_000_000) {
            scheduleCall(EMPTY_ANSWER_PAUSE_MS);
        } else {
            startCall();
        }
        long notifiedAtUs = Math.min(missedSinceUs, driver.clock().nowUs());
        missedSinceUs = Long.MAX_VALUE;
        long previousListUs = listCurrentUs;
        listCurrentUs = answeredCallStartedUs;
        driver.listChanged(listing.isFull() ? ListKind.WHOLE : ListKind.CHANGES, listing.entries(),
                notifiedAtUs, previousListUs);
        markFirstCallEnded();
    }

    /** Returns whether changes apply to the list in force; if not, the next call asks for the full list. */
    private boolean canApply(Listing changes, String answerEpoch) {
        boolean applicable = index >= 0 && changes.index() >= index && Objects.equals(answerEpoch, epoch);
        if (!applicable) {
            LOG.atWarn().addKeyValue("index", changes.index()).addKeyValue("held", index)
                    .log("changes do not apply to the list in force; requesting the full list");
            requireFullList();
        }
        return applicable;
    }

    /** Reads answers from the connection to discovery and passes on each when it is complete. */
    private final class AnswerReader extends SimpleChannelInboundHandler<HttpObject> {
        /** The head of the answer being received, or null. Informational (1xx) answers are skipped. */
        private HttpResponse response;
        /** The reader of the answer's list; null if the answer contains no list or an invalid one. */
        private ListingReader listReader;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (context.channel() != channel || !callInProgress || part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse head
                    && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                response = head;
                listReader = head.status().code() == HttpResponseStatus.OK.code()
                        ? new ListingReader(zones) : null;
            }
            if (part instanceof HttpContent content && response != null) {
                answerBytes += content.content().readableBytes();
                readContent(content);
            }
        }

        private void readContent(HttpContent content) {
            Listing listing = null;
            boolean isLastPart = content instanceof LastHttpContent;
            try {
                if (listReader != null) {
                    listReader.read(content.content());
                    listing = isLastPart ? listReader.finish() : null;
                }
            } catch (ListingReader.InvalidListException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage())
                        .log("received an invalid list; requesting the full list");
                listReader = null;
                requireFullList();
            }
            if (isLastPart) {
                HttpResponse answer = response;
                response = null;
                listReader = null;
                answerReceived(answer, listing);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connectionClosed(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
