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
    private static final String PATH = "/registry/instances";
    /** Header by which {@code larkworks.registry} names the epoch of its data; versions compare within it. */
    private static final String EPOCH = "X-Registry-Epoch";
    /** Header of a registry replica that has had no contact with a leader for too long. */
    private static final String STALE = "X-Registry-Stale";
    /**
     * Pause after an empty answer that arrived at once, so that proxy and discovery don't poll in a busy
     * loop. Far below 200 ms, after which a watch counts as interrupted.
     */
    private static final long IDLE_PAUSE_MS = 20;
    private static final long FIRST_PAUSE_MS = 50;
    /** Pause before a connection is retried that failed for lack of a descriptor, port or buffer here. */
    private static final long LOCAL_PAUSE_MS = 10;
    private static final int MOST_LOCAL_FAILURES = 10;
    /** Proxies that lose the same discovery address at once spread their fail-over over this time. */
    private static final long FAIL_OVER_MS = 200;
    /** Maximum pause between retries; the constructor lowers it where the drain grace is short. */
    private static final long MOST_PAUSE_MS = 1_000;
    /**
     * With discovery {@code on_request}, a failed call is retried after this time plus a random part of the
     * jitter, unless the decision module asks sooner.
     */
    private static final long LATEST_ASK_MS = 1_000;
    private static final long LATEST_ASK_JITTER_MS = 500;
    /** Reads of an answer per loop iteration: about a hundred backends, so that requests are not delayed. */
    private static final int READS_IN_TURN = 1;

    /** Addresses of the discovery service. {@code at} is the position of the one in use. */
    private List<InetSocketAddress> addresses;
    private int at;
    private final SplittableRandom jitter;
    private final boolean asked;
    private final List<String> zones;
    private final EventLoop loop;
    private final Sockets sockets;
    private final Driver driver;
    private Channel channel;
    private Future<?> silence;
    /** The task that starts the next call after a pause; null before the first pause. */
    private Future<?> next;
    /** The version of the list in force; negative if the next call must ask for the full list. */
    private volatile long index;
    /** The registry epoch of the list in force; null if the service sends none. */
    private String epoch;
    private final long mostPauseMs;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean calling;
    /** The purpose of the call in progress or, between calls, of the next one. */
    private Purpose purpose = Purpose.FIRST;
    private final DiscoveryWaits waits = new DiscoveryWaits();
    private final ListFreshness freshness = new ListFreshness();
    /** Whether bytes of the answer to the call in progress have arrived, since when, and how many. */
    private boolean begun;
    private long begunAt;
    private long answerBytes;
    private long calledAt;
    private long calledUs;
    /**
     * When the list in force was current: the start time of the call that returned it. Used by
     * {@link StartTimes}.
     */
    private long currentUs = Long.MIN_VALUE;
    /**
     * The earliest time, by the driver's clock, at which this proxy may have missed a change. With discovery
     * {@code pushed}, a change counts as delivered once discovery has it, whether or not the proxy asked.
     * {@code Long.MAX_VALUE} if no change can have been missed.
     */
    private long unsureUs;
    private boolean closed;
    /** Consecutive failed calls; counted only with several discovery addresses. */
    private int failedInRow;
    /** Consecutive answers without a usable list. */
    private int refusedInRow;
    /** Consecutive connections that failed for lack of a descriptor, port or buffer on this machine. */
    private int localFailures;
    private boolean heard;
    /**
     * Whether the first call has succeeded, failed or exceeded the time that the start allows it. True from
     * the start with discovery {@code on_request}, where a list counts as delivered only on arrival.
     */
    private boolean settled;
    private Runnable whenSettled = () -> { };

    Discovery(Config config, EventLoop loop, Sockets sockets, Driver driver) {
        this.addresses = config.discovery();
        this.jitter = new SplittableRandom(config.seed());
        this.asked = config.settings().watch();
        this.zones = config.zones();
        this.loop = loop;
        this.sockets = sockets;
        this.driver = driver;
        this.settled = asked;
        this.index = firstIndex(config);
        this.unsureUs = asked ? Long.MAX_VALUE : driver.clock().nowUs();
        // A drain must become known within its grace. The pause with its jitter of a quarter stays within
        // half of the grace.
        this.mostPauseMs = Math.max(FIRST_PAUSE_MS, Math.min(MOST_PAUSE_MS,
                config.settings().rules().drainGraceUs() / 1000 * 2 / 5));
        driver.onWatch(this::call);
    }

    /**
     * Returns the version of the list in the configuration, or -1 if there is none. The first call asks for
     * changes since that version: they cost discovery little, whereas the full list costs much with thousands
     * of backends or many proxies starting at once.
     */
    private static long firstIndex(Config config) {
        Listing known = config.knownList();
        return known != null && known.isFull() && !known.entries().isEmpty() ? known.index() : -1;
    }

    void start() {
        if (!asked) {
            call();
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
        return heard;
    }

    /** Runs the action once: as soon as the first call has ended or counts as ended. */
    void onFirstCallEnded(Runnable action) {
        whenSettled = action;
        if (settled) {
            markFirstCallEnded();
        }
    }

    /**
     * Counts the first call as ended, even if it is in progress; a list that it returns later still applies.
     */
    void markFirstCallEnded() {
        settled = true;
        Runnable action = whenSettled;
        whenSettled = () -> { };
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
    void switchTo(List<InetSocketAddress> others) {
        if (closed || others.equals(addresses)) {
            return;
        }
        addresses = others;
        at = 0;
        purpose = Purpose.FIRST;
        failedInRow = 0;
        refusedInRow = 0;
        if (calling) {
            calling = false;
            silence.cancel(false);
        }
        dropChannel();
        call();
    }

    /** Makes the next call ask for the full list; the present list stays in force until then. */
    private void forget() {
        index = -1;
        epoch = null;
    }

    private void dropChannel() {
        if (channel != null) {
            Channel old = channel;
            channel = null;
            old.close();
        }
    }

    /** Starts a call for the full list or, with a list in force, for the changes since its version. */
    private void call() {
        if (calling || closed) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        calling = true;
        begun = false;
        answerBytes = 0;
        long from = System.nanoTime();
        calledAt = from;
        calledUs = driver.clock().nowUs();
        limit(waits.firstByteTimeoutMs(purpose, index < 0));
        if (channel != null && channel.isActive()) {
            write(channel);
        } else {
            Bootstrap own = new Bootstrap().group(loop).channel(TcpChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RECVBUF_ALLOCATOR,
                            Sockets.readBuffers().maxMessagesPerRead(READS_IN_TURN))
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) DiscoveryWaits.FIRST_CALL_TIMEOUT_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline().addLast(new ByteWatch(() -> stir(fresh)),
                                    new HttpRequestEncoder(), new ResponseDecoder(), new Reader());
                        }
                    });
            channel = sockets.connectReserved(own, loop, addresses.get(at), connected -> {
                if (connected != null && connected.isSuccess()) {
                    write(connected.channel());
                } else if (connected == null || SystemError.of(connected.cause()).isLocal()) {
                    notConnectedHere(from);
                } else {
                    lost(connected.channel());
                }
            });
        }
    }

    /**
     * Retries the call after a short pause: this machine had no descriptor, port or buffer for the
     * connection, which says nothing about discovery. After too many such failures in a row the call counts
     * as failed. Ignored if another call has started meanwhile, for example because the addresses changed.
     *
     * @param from the start time of the call that needed the connection
     */
    private void notConnectedHere(long from) {
        if (from != calledAt || !calling || closed) {
            return;
        }
        if (++localFailures > MOST_LOCAL_FAILURES) {
            failed("no descriptor, port or buffer on this machine for the connection");
            return;
        }
        calling = false;
        silence.cancel(false);
        dropChannel();
        callIn(LOCAL_PAUSE_MS);
    }

    /** Schedules the next call after a pause; a call that starts sooner cancels the schedule. */
    private void callIn(long ms) {
        next = loop.schedule(this::call, ms, TimeUnit.MILLISECONDS);
    }

    private void limit(long ms) {
        silence = loop.schedule(this::silent, ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends a call whose answer did not start or did not continue within the timeout. With discovery
     * {@code on_request} the next call starts at once, as changes that a dead watch misses soon count as
     * delivered; the decision module is not notified of a failure, after which it would pause.
     */
    private void silent() {
        waits.callTimedOut();
        if (asked && calling && !closed) {
            giveUp(begun ? "the answer stalled" : "no answer before the timeout");
            call();
        } else {
            failed(begun ? "the answer stalled" : "no answer before the timeout");
        }
    }

    /** Restarts the timeout when bytes of an answer arrive; it is shorter from the first byte on. */
    private void stir(Channel from) {
        if (from != channel || !calling) {
            return;
        }
        begunAt = begun ? begunAt : System.nanoTime();
        begun = true;
        silence.cancel(false);
        limit(waits.nextBytesTimeoutMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt),
                answerBytes));
    }

    private void write(Channel to) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                index < 0 ? PATH : PATH + "?index=" + index + "&wait=" + waits.waitMs(purpose),
                Unpooled.EMPTY_BUFFER);
        InetSocketAddress address = addresses.get(at);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        to.writeAndFlush(request);
    }

    private void lost(Channel gone) {
        if (gone == channel) {
            channel = null;
            if (calling) {
                failed("the connection closed before the answer was complete");
            }
        }
    }

    /** Ends the call in progress as failed and schedules a retry. The list in force stays. */
    private void failed(String why) {
        if (!calling || closed) {
            return;
        }
        giveUp(why);
        if (asked) {
            callIn(LATEST_ASK_MS + jitter.nextLong(LATEST_ASK_JITTER_MS));
            driver.discoveryFailed();
        } else {
            unsureUs = Math.min(unsureUs, driver.clock().nowUs());
            // Jitter keeps proxies from returning all at once to a service that was down.
            long afterMs = failedInRow == 1 ? jitter.nextLong(FAIL_OVER_MS + 1)
                    : pauseMs * 3 / 4 + jitter.nextLong(pauseMs / 2 + 1);
            callIn(afterMs);
            pauseMs = Math.min(2 * pauseMs, mostPauseMs);
        }
        markFirstCallEnded();
    }

    /** Ends the call in progress; with several addresses the next call goes to another one. */
    private void giveUp(String why) {
        freshness.callFailed(driver.clock().nowUs(), why);
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("why", why).addKeyValue("purpose", purpose)
                    .addKeyValue("index", index).addKeyValue("bytes", answerBytes)
                    .addKeyValue("after_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt))
                    .log("call given up");
        }
        localFailures = 0;
        calling = false;
        purpose = Purpose.CATCH_UP;
        silence.cancel(false);
        dropChannel();
        if (addresses.size() > 1) {
            failOver();
        }
    }

    /**
     * Switches to another address: after the first failure to a random one, so that proxies don't all move to
     * the same, then to each in order. A service that sends an epoch is a replica of the same data, where the
     * watch continues from the version in force. The full list is asked for if no epoch is known, or after as
     * many answers without a usable list as there are addresses.
     */
    private void failOver() {
        failedInRow++;
        int others = addresses.size() - 1;
        at = (at + 1 + (failedInRow == 1 ? jitter.nextInt(others) : 0)) % addresses.size();
        if (epoch == null || refusedInRow > others) {
            forget();
        }
    }

    /** Handles a complete answer; {@code listing} is null if it contained no valid list. */
    private void answered(HttpResponse response, Listing listing) {
        if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            forget();  // the service doesn't know the version in force
        }
        String told = response.headers().get(EPOCH);
        if (listing == null || !listing.isFull() && !follows(listing, told)) {
            refusedInRow++;
            failed("answered " + response.status().code()
                    + (listing == null ? " without a valid list" : " with changes that do not apply"));
            return;
        }
        waits.callAnswered(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt));
        freshness.callAnswered(driver.clock().nowUs());
        epoch = told;
        calling = false;
        long answeredCallUs = calledUs;
        silence.cancel(false);
        heard = true;
        purpose = Purpose.WATCH;
        index = listing.index();
        pauseMs = FIRST_PAUSE_MS;
        failedInRow = 0;
        refusedInRow = 0;
        localFailures = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            dropChannel();
        }
        if (addresses.size() > 1 && response.headers().contains(STALE)) {
            // The replica's list is applied, but another replica may have a newer one.
            at = (at + 1) % addresses.size();
            dropChannel();
        }
        // Starts the next watch before applying the list, which may take long.
        if (listing.entries().isEmpty() && System.nanoTime() - calledAt < IDLE_PAUSE_MS * 1_000_000) {
            callIn(IDLE_PAUSE_MS);
        } else {
            call();
        }
        long toldUs = Math.min(unsureUs, driver.clock().nowUs());
        unsureUs = Long.MAX_VALUE;
        long beforeUs = currentUs;
        currentUs = answeredCallUs;
        driver.listChanged(listing.isFull() ? ListKind.WHOLE : ListKind.CHANGES, listing.entries(), toldUs,
                beforeUs);
        markFirstCallEnded();
    }

    /** Returns whether changes apply to the list in force; if not, the next call asks for the full list. */
    private boolean follows(Listing changes, String told) {
        boolean follows = index >= 0 && changes.index() >= index && Objects.equals(told, epoch);
        if (!follows) {
            LOG.atWarn().addKeyValue("index", changes.index()).addKeyValue("held", index)
                    .log("changes do not apply to the list in force; requesting the full list");
            forget();
        }
        return follows;
    }

    /** Reads answers from the connection to discovery and passes on each when it is complete. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        /** The head of the answer being received, or null. Informational (1xx) answers are skipped. */
        private HttpResponse response;
        /** The reader of the answer's list; null if the answer contains no list or an invalid one. */
        private ListingReader reading;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (context.channel() != channel || !calling || part.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse head
                    && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                response = head;
                reading = head.status().code() == HttpResponseStatus.OK.code()
                        ? new ListingReader(zones) : null;
            }
            if (part instanceof HttpContent content && response != null) {
                answerBytes += content.content().readableBytes();
                read(content);
            }
        }

        private void read(HttpContent content) {
            Listing listing = null;
            boolean last = content instanceof LastHttpContent;
            try {
                if (reading != null) {
                    reading.read(content.content());
                    listing = last ? reading.finish() : null;
                }
            } catch (ListingReader.InvalidListException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage())
                        .log("received an invalid list; requesting the full list");
                reading = null;
                forget();
            }
            if (last) {
                HttpResponse whole = response;
                response = null;
                reading = null;
                answered(whole, listing);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            lost(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
