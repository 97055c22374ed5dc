package larkworks.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.adapter.Json;
import larkworks.platform.Addresses;
import larkworks.transport.SystemError;
import larkworks.transport.TcpChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the list of backends up to date. Where lists are pushed it watches from the start; where discovery
 * must be asked, the module says when, and each watch goes on until it fails.
 */
final class Discovery {

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    private static final String PATH = "/registry/instances";
    /** Our own list service tells by it which data it holds; see {@code larkworks.registry}. */
    private static final String EPOCH = "X-Registry-Epoch";
    /** A replica of it tells by it that it has not heard of a leader for long. */
    private static final String STALE = "X-Registry-Stale";
    /**
     * How long a watch may wait. What one misses counts as told 6 s after it fell silent, which may be at its
     * beginning: by then its silence must have been noticed, and the pause be over after a call that failed.
     */
    private static final long WAIT_MS = 3_250;
    /** A watch's answer that is so much later than its wait is taken to be lost. */
    private static final long WATCH_SILENCE_MS = 1_250;
    /** A first answer later than this is taken to be lost, and a connection not up by then. */
    private static final long SILENCE_MS = 2_000;
    /**
     * After a call that came to nothing the next one may take so long. With the pause before it, it ends well
     * within the 6 s after which what discovery has counts as told, whether its answer is slow, as calls wait
     * in turn there, or never comes.
     */
    private static final long CATCH_UP_MS = 3_500;
    /** The wait of that call, where it is a watch: it has to show soon that the service is back. */
    private static final long CATCH_UP_WAIT_MS = 500;
    /** An answer that has begun and stops for so long is given up: its news may be of a drain. */
    private static final long STOP_MS = 1_000;
    /** However it goes on, it is due whole by then. */
    private static final long WHOLE_MS = 4_000;
    /**
     * Pause after an answer that came at once and told nothing, lest the two of us do nothing else; far below
     * the 200 ms after which a watch is broken off.
     */
    private static final long IDLE_PAUSE_MS = 20;
    private static final long FIRST_PAUSE_MS = 50;
    /** A connection that this machine could not make is tried again after this pause, so many times. */
    private static final long LOCAL_PAUSE_MS = 10;
    private static final int MOST_LOCAL_FAILURES = 10;
    /** Those who lose one of several services at the same moment come to the others spread over so long. */
    private static final long FAIL_OVER_MS = 200;
    /** The most, and with its jitter of a quarter no more than half of a drain's grace. */
    private static final long MOST_PAUSE_MS = 1_000;
    /** Where discovery must be asked, the module's pause after a failure is cut short by then; see above. */
    private static final long LATEST_ASK_MS = 1_000;
    private static final long LATEST_ASK_JITTER_MS = 500;
    /** The largest list read: some thousand backends. */
    private static final int MOST_LIST = 1 << 20;

    /** Services that hold the list, the one asked at {@code at}; the next is tried when it fails. */
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
    /** The call to come after a pause; null where none was put off yet. */
    private Future<?> next;
    /** The version held; negative where the whole list is wanted. */
    private volatile long index;
    /** Which data the list held is of, as the service tells; null where it doesn't. */
    private String epoch;
    private final long mostPauseMs;
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean calling;
    /** Whether the last call came to nothing. */
    private boolean behind;
    /** Whether the answer to the call has begun to come, and when. */
    private boolean begun;
    private long begunAt;
    private long calledAt;
    private long calledUs;
    /** When the list held was current: when the call was made that it answers; see {@link StartTimes}. */
    private long currentUs = Long.MIN_VALUE;
    /**
     * Since when what isn't known here may count as told, by the driver's clock: where lists are pushed, what
     * the agent has counts whether or not it was asked. The greatest value where all is told at once.
     */
    private long unsureUs;
    private boolean closed;
    /** Calls that came to nothing since the last answer, where there are several services. */
    private int failedInRow;
    /** Those of them that were answered, but with no list. */
    private int refusedInRow;
    /** Connections in a row for which this machine had no descriptor, port or buffer. */
    private int localFailures;
    private boolean heard;
    /** Whether the first call has ended; where lists are asked for, they count only when they come. */
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
        // With a grace of drains shorter than the pause, word of one could come only once that is over.
        this.mostPauseMs = Math.max(FIRST_PAUSE_MS, Math.min(MOST_PAUSE_MS,
                config.settings().rules().drainGraceUs() / 1000 * 2 / 5));
        driver.onWatch(this::call);
    }

    /**
     * The version to ask from at first. Where lists are asked for, it is that of the list in the
     * configuration: calls wait in turn at a slow discovery, and one for the whole list has the watch wait
     * behind it, with no watch open when the first changes are told. With a second address the start waits
     * for a whole list.
     */
    private static long firstIndex(Config config) {
        Listing known = config.known();
        return config.settings().watch() && config.admin() == null && known != null && known.whole()
                ? known.index() : -1;
    }

    void start() {
        if (!asked) {
            call();
        }
    }

    /** The version held; negative where the whole list is wanted. Safe to read from any thread. */
    long index() {
        return index;
    }

    /** Whether a list has come since the start. */
    boolean heard() {
        return heard;
    }

    /** Runs the action, once, as soon as nothing is on its way that may count as told already. */
    void whenSettled(Runnable action) {
        whenSettled = action;
        if (settled) {
            settle();
        }
    }

    /** Counts the first call as ended, though it may go on: what it tells later is taken all the same. */
    void settle() {
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

    /** From now on asks other addresses, and first for the whole list: versions may differ there. */
    void moveTo(List<InetSocketAddress> others) {
        if (closed || others.equals(addresses)) {
            return;
        }
        addresses = others;
        at = 0;
        behind = false;
        failedInRow = 0;
        refusedInRow = 0;
        forget();
        if (calling) {
            calling = false;
            silence.cancel(false);
        }
        dropChannel();
        call();
    }

    /** The list stays in force, but what comes next must be a whole one. */
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

    /** Asks for the list or, once one is held, for what is newer. */
    private void call() {
        if (calling || closed) {
            return;
        }
        if (next != null) {
            next.cancel(false);
        }
        calling = true;
        begun = false;
        long from = System.nanoTime();
        calledAt = from;
        calledUs = driver.clock().nowUs();
        limit(behind ? CATCH_UP_MS : index < 0 ? SILENCE_MS : WAIT_MS + WATCH_SILENCE_MS);
        if (channel != null && channel.isActive()) {
            write(channel);
        } else {
            Bootstrap own = new Bootstrap().group(loop).channel(TcpChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) SILENCE_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline().addLast(new ByteWatch(() -> stir(fresh)),
                                    new HttpRequestEncoder(), new ResponseDecoder(),
                                    new HttpObjectAggregator(MOST_LIST), new Reader());
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
     * This machine had no descriptor, port or buffer for the connection, which says nothing about discovery:
     * the same call begins anew soon, some times. Told of late: by then discovery may have moved, and another
     * call be out.
     */
    private void notConnectedHere(long from) {
        if (from != calledAt || !calling || closed) {
            return;
        }
        if (++localFailures > MOST_LOCAL_FAILURES) {
            failed();
            return;
        }
        calling = false;
        silence.cancel(false);
        dropChannel();
        callIn(LOCAL_PAUSE_MS);
    }

    /** Has the next call begin after a pause, unless something else has it begin sooner. */
    private void callIn(long ms) {
        next = loop.schedule(this::call, ms, TimeUnit.MILLISECONDS);
    }

    private void limit(long ms) {
        silence = loop.schedule(this::silent, ms, TimeUnit.MILLISECONDS);
    }

    /**
     * No answer, or no more of one. What a silent watch misses counts as told soon, so it is opened anew at
     * once; that is no failure for the module to pause after.
     */
    private void silent() {
        if (asked && calling && !closed) {
            giveUp();
            call();
        } else {
            failed();
        }
    }

    /** Bytes of an answer came; one that stops half-way is not waited for as long as a silent watch. */
    private void stir(Channel from) {
        if (from != channel || !calling) {
            return;
        }
        begunAt = begun ? begunAt : System.nanoTime();
        begun = true;
        long leftMs = WHOLE_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt);
        silence.cancel(false);
        limit(Math.max(0, Math.min(STOP_MS, leftMs)));
    }

    private void write(Channel to) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                index < 0 ? PATH : PATH + "?index=" + index + "&wait="
                        + (behind ? CATCH_UP_WAIT_MS : WAIT_MS), Unpooled.EMPTY_BUFFER);
        InetSocketAddress address = addresses.get(at);
        request.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        to.writeAndFlush(request);
    }

    private void lost(Channel gone) {
        if (gone == channel) {
            channel = null;
            if (calling) {
                failed();
            }
        }
    }

    /** The call came to nothing. The list held stays in force. */
    private void failed() {
        if (!calling || closed) {
            return;
        }
        giveUp();
        if (asked) {
            callIn(LATEST_ASK_MS + jitter.nextLong(LATEST_ASK_JITTER_MS));
            driver.discoveryFailed();
        } else {
            unsureUs = Math.min(unsureUs, driver.clock().nowUs());
            // With jitter, lest all proxies come back to a service that was down at the same moment.
            long afterMs = failedInRow == 1 ? jitter.nextLong(FAIL_OVER_MS + 1)
                    : pauseMs * 3 / 4 + jitter.nextLong(pauseMs / 2 + 1);
            callIn(afterMs);
            pauseMs = Math.min(2 * pauseMs, mostPauseMs);
        }
        settle();
    }

    /** Ends the call that is out; the next goes to the next service, where there are several. */
    private void giveUp() {
        localFailures = 0;
        calling = false;
        behind = true;
        silence.cancel(false);
        dropChannel();
        if (addresses.size() > 1) {
            failOver();
        }
    }

    /**
     * Turns to another service: to any first, lest all go from one to the same, and then to each in turn. One
     * that tells which data it has is taken for a replica among others of the same data, where the watch goes
     * on from the version held; the whole list is wanted once as many refused that as there are services.
     */
    private void failOver() {
        failedInRow++;
        int others = addresses.size() - 1;
        at = (at + 1 + (failedInRow == 1 ? jitter.nextInt(others) : 0)) % addresses.size();
        if (epoch == null || refusedInRow > others) {
            forget();
        }
    }

    private void answered(FullHttpResponse response) {
        Listing listing = null;
        if (response.status().code() == 200 && response.decoderResult().isSuccess()) {
            try {
                listing = Listing.of(Json.object(ByteBufUtil.getBytes(response.content())), zones);
            } catch (IOException | RuntimeException e) {
                LOG.atWarn().addKeyValue("why", e.getMessage()).log("a list that can't be read");
                forget();
            }
        } else if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            forget();  // it does not know the version held
        }
        String told = response.headers().get(EPOCH);
        if (listing == null || !listing.whole() && !follows(listing, told)) {
            refusedInRow++;
            failed();
            return;
        }
        epoch = told;
        calling = false;
        long answeredCallUs = calledUs;
        silence.cancel(false);
        heard = true;
        behind = false;
        index = listing.index();
        pauseMs = FIRST_PAUSE_MS;
        failedInRow = 0;
        refusedInRow = 0;
        localFailures = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            dropChannel();
        }
        if (addresses.size() > 1 && response.headers().contains(STALE)) {
            // What it told is in force; another one may know more.
            at = (at + 1) % addresses.size();
            dropChannel();
        }
        // First the next watch, so that it comes in time however long the news takes.
        if (listing.entries().isEmpty() && System.nanoTime() - calledAt < IDLE_PAUSE_MS * 1_000_000) {
            callIn(IDLE_PAUSE_MS);
        } else {
            call();
        }
        long toldUs = Math.min(unsureUs, driver.clock().nowUs());
        unsureUs = Long.MAX_VALUE;
        long beforeUs = currentUs;
        currentUs = answeredCallUs;
        driver.listChanged(listing.whole() ? ListKind.WHOLE : ListKind.CHANGES, listing.entries(), toldUs,
                beforeUs);
        settle();
    }

    /** Whether changes may be applied to the list held; where not, the whole list is wanted next. */
    private boolean follows(Listing changes, String told) {
        boolean follows = index >= 0 && changes.index() >= index && Objects.equals(told, epoch);
        if (!follows) {
            LOG.atWarn().addKeyValue("index", changes.index()).addKeyValue("held", index)
                    .log("changes do not follow the list held");
            forget();
        }
        return follows;
    }

    /** Hands on what comes on the connection to discovery. */
    private final class Reader extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (context.channel() == channel && calling) {
                answered(response);
            } else {
                context.close();
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
