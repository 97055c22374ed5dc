package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.proxy.DiscoveryWaits.Purpose;
import larkworks.transport.SystemError;
import larkworks.transport.TcpChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the list of backends up to date by long polls ("watches") of the discovery service. With discovery
 * {@code pushed} it watches from the start. With discovery {@code on_request} the decision module says when
 * to begin a watch, which then goes on until a call fails.
 *
 * <p>A call that times out is followed by a new one, so that the proxy learns of changes as soon as discovery
 * answers again. The second one in a row is also kept for some time, as a service that handles calls one by
 * one may still answer it first; whichever is answered first ends the other.
 */
final class Discovery implements DiscoveryConnection.Listener {

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
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
    /** The connection of the current call or, between calls, the one for the next call; may be null. */
    private DiscoveryConnection connection;
    /** The call in progress; null between calls. */
    private DiscoveryCall currentCall;
    /** An earlier call that has timed out and may still be answered; null if there is none. */
    private DiscoveryCall overdueCall;
    /** The task that starts the next call after a pause; null before the first pause. */
    private Future<?> nextCallTask;
    /** The version of the list in force; negative if the next call must ask for the full list. */
    private volatile long index;
    /** The registry epoch of the list in force; null if the service sends none. */
    private String epoch;
    private final long maxRetryPauseMs;
    private long retryPauseMs = MIN_RETRY_PAUSE_MS;
    /** The purpose of the next call. */
    private Purpose nextPurpose = Purpose.FIRST;
    private final ListFreshness freshness = new ListFreshness();
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
        abandonOverdueCall();
        closeConnection();
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
        nextPurpose = Purpose.FIRST;
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        abandonCurrentCall();
        abandonOverdueCall();
        closeConnection();
        startCall();
    }

    /** Makes the next call ask for the full list; the present list stays in force until then. */
    private void requireFullList() {
        index = -1;
        epoch = null;
    }

    private void closeConnection() {
        if (connection != null) {
            DiscoveryConnection oldConnection = connection;
            connection = null;
            oldConnection.close();
        }
    }

    /** Starts a call for the full list or, with a list in force, for the changes since its version. */
    private void startCall() {
        if (currentCall != null || closed) {
            return;
        }
        if (nextCallTask != null) {
            nextCallTask.cancel(false);
        }
        DiscoveryCall call = new DiscoveryCall(nextPurpose, index, driver.clock().nowUs());
        currentCall = call;
        startTimeout(call, DiscoveryWaits.firstByteTimeoutMs(call.purpose, call.asksForFullList()));
        if (connection != null && connection.isActive()) {
            call.connection = connection;
            connection.send(call);
        } else {
            connect(call);
        }
    }

    /** Opens a connection and sends the call on it. */
    private void connect(DiscoveryCall call) {
        InetSocketAddress address = addresses.get(addressIndex);
        DiscoveryConnection newConnection = new DiscoveryConnection(address, zones, this);
        connection = newConnection;
        call.connection = newConnection;
        Bootstrap bootstrap = new Bootstrap().group(loop).channel(TcpChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, Sockets.HEAP_BUFFERS)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        sockets.readBufferAllocator().maxMessagesPerRead(READS_PER_LOOP_ITERATION))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) DiscoveryWaits.FIRST_CALL_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        newConnection.addHandlers(newChannel.pipeline());
                    }
                });
        sockets.connectReserved(bootstrap, loop, address, connectFuture -> {
            if (call != currentCall) {
                newConnection.close();
            } else if (connectFuture != null && connectFuture.isSuccess()) {
                newConnection.send(call);
            } else if (connectFuture == null || SystemError.of(connectFuture.cause()).isLocal()) {
                localConnectFailed();
            } else {
                closed(newConnection);
            }
        });
    }

    /**
     * Retries the call after a short pause: this machine had no descriptor, port or buffer for the
     * connection, which says nothing about discovery. After too many such failures in a row the call is
     * handled as failed.
     */
    private void localConnectFailed() {
        if (++consecutiveLocalFailures > MAX_LOCAL_FAILURES) {
            callFailed("no descriptor, port or buffer on this machine for the connection");
            return;
        }
        abandonCurrentCall();
        closeConnection();
        scheduleCall(LOCAL_FAILURE_PAUSE_MS);
    }

    /** Schedules the next call after a pause; a call that starts sooner cancels the schedule. */
    private void scheduleCall(long delayMs) {
        nextCallTask = loop.schedule(this::startCall, delayMs, TimeUnit.MILLISECONDS);
    }

    private void startTimeout(DiscoveryCall call, long timeoutMs) {
        call.setTimeout(loop.schedule(() -> answerTimedOut(call), timeoutMs, TimeUnit.MILLISECONDS));
    }

    /**
     * Handles a call whose answer did not start or did not continue within the timeout. With discovery
     * {@code on_request} the next call starts at once: the platform soon regards changes that a dead watch
     * misses as delivered to the proxy. The decision module is not notified of the failure, as it would then
     * wait before it asks for the next watch.
     */
    private void answerTimedOut(DiscoveryCall call) {
        if (call == overdueCall) {
            abandonOverdueCall();
            return;
        }
        if (call != currentCall || closed) {
            return;
        }
        String reason = call.hasAnswerStarted() ? "the answer stalled" : "no answer before the timeout";
        // The first call that times out in a row is not kept: most often its connection is dead.
        if (call.purpose == Purpose.CATCH_UP && overdueCall == null && call.connection.isActive()) {
            keepAsOverdue(call);
        }
        if (isOnRequest) {
            endCurrentCall(reason);
            startCall();
        } else {
            callFailed(reason);
        }
    }

    /** Keeps a call that has timed out, so that a late answer to it is still received. */
    private void keepAsOverdue(DiscoveryCall call) {
        overdueCall = call;
        connection = null;
        startTimeout(call, DiscoveryWaits.OVERDUE_CALL_TIMEOUT_MS);
    }

    /** Restarts the timeout when bytes of an answer arrive; it is shorter from the first byte on. */
    @Override
    public void answerBytesReceived(DiscoveryCall call) {
        call.noteAnswerBytes();
        if (call == currentCall) {
            startTimeout(call, DiscoveryWaits.nextBytesTimeoutMs(call.answerAgeMs(), call.bodyBytes()));
        }
    }

    @Override
    public void invalidListReceived(DiscoveryCall call) {
        if (call == currentCall) {
            requireFullList();
        }
    }

    @Override
    public void closed(DiscoveryConnection closedConnection) {
        if (overdueCall != null && overdueCall.connection == closedConnection) {
            abandonOverdueCall();
        } else if (closedConnection == connection) {
            connection = null;
            if (currentCall != null) {
                callFailed("the connection closed before the answer was complete");
            }
        }
    }

    /** Ends the current call as failed and schedules a retry. The list in force stays. */
    private void callFailed(String reason) {
        if (currentCall == null || closed) {
            return;
        }
        endCurrentCall(reason);
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

    /** Ends the current call without an answer; with several addresses the next call goes to another one. */
    private void endCurrentCall(String reason) {
        freshness.callFailed(driver.clock().nowUs(), reason);
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("why", reason).addKeyValue("purpose", currentCall.purpose)
                    .addKeyValue("index", index).addKeyValue("bytes", currentCall.bodyBytes())
                    .addKeyValue("kept", currentCall == overdueCall)
                    .addKeyValue("after_ms", currentCall.ageMs()).log("call given up");
        }
        consecutiveLocalFailures = 0;
        nextPurpose = Purpose.CATCH_UP;
        abandonCurrentCall();
        closeConnection();
        if (addresses.size() > 1) {
            failOver();
        }
    }

    /** Stops waiting for the answer to the current call, unless it is kept as overdue. */
    private void abandonCurrentCall() {
        if (currentCall != null && currentCall != overdueCall) {
            currentCall.cancelTimeout();
        }
        currentCall = null;
    }

    private void abandonOverdueCall() {
        if (overdueCall != null) {
            DiscoveryCall abandoned = overdueCall;
            overdueCall = null;
            abandoned.cancelTimeout();
            abandoned.connection.close();
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

    @Override
    public void answered(DiscoveryCall call, HttpResponse response, Listing listing) {
        String answerEpoch = response.headers().get(DiscoveryConnection.EPOCH_HEADER);
        if (call == overdueCall
                && (listing == null || !listing.isFull() && !appliesTo(listing, answerEpoch))) {
            abandonOverdueCall();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            requireFullList();  // the service doesn't know the version in force
        }
        if (listing == null || !listing.isFull() && !canApply(listing, answerEpoch)) {
            consecutiveRefusals++;
            callFailed("answered " + response.status().code()
                    + (listing == null ? " without a valid list" : " with changes that do not apply"));
            return;
        }
        endOtherCall(call);
        freshness.callAnswered(driver.clock().nowUs());
        epoch = answerEpoch;
        call.cancelTimeout();
        currentCall = null;
        listReceived = true;
        nextPurpose = Purpose.WATCH;
        index = listing.index();
        retryPauseMs = MIN_RETRY_PAUSE_MS;
        consecutiveFailures = 0;
        consecutiveRefusals = 0;
        consecutiveLocalFailures = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            closeConnection();
        }
        if (addresses.size() > 1 && response.headers().contains(DiscoveryConnection.STALE_HEADER)) {
            // The replica's list is applied, but another replica may have a newer one.
            addressIndex = (addressIndex + 1) % addresses.size();
            closeConnection();
        }
        // Starts the next watch before applying the list, which may take long.
        if (listing.entries().isEmpty() && call.ageMs() < EMPTY_ANSWER_PAUSE_MS) {
            scheduleCall(EMPTY_ANSWER_PAUSE_MS);
        } else {
            startCall();
        }
        long notifiedAtUs = Math.min(missedSinceUs, driver.clock().nowUs());
        missedSinceUs = Long.MAX_VALUE;
        long previousListUs = listCurrentUs;
        listCurrentUs = call.startedUs;
        driver.listChanged(listing.isFull() ? ListKind.WHOLE : ListKind.CHANGES, listing.entries(),
                notifiedAtUs, previousListUs);
        markFirstCallEnded();
    }

    /** Ends the call that was not answered; the next call uses the connection of the one that was. */
    private void endOtherCall(DiscoveryCall answeredCall) {
        if (answeredCall == overdueCall) {
            overdueCall = null;
            abandonCurrentCall();
            closeConnection();
            connection = answeredCall.connection;
        } else {
            abandonOverdueCall();
        }
    }

    /** Returns whether changes apply to the list in force. */
    private boolean appliesTo(Listing changes, String answerEpoch) {
        return index >= 0 && changes.index() >= index && Objects.equals(answerEpoch, epoch);
    }

    /** Returns whether changes apply to the list in force; if not, the next call asks for the full list. */
    private boolean canApply(Listing changes, String answerEpoch) {
        boolean applicable = appliesTo(changes, answerEpoch);
        if (!applicable) {
            LOG.atWarn().addKeyValue("index", changes.index()).addKeyValue("held", index)
                    .log("changes do not apply to the list in force; requesting the full list");
            requireFullList();
        }
        return applicable;
    }
}
