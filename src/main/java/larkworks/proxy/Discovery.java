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
    /** Reads of an answer in a turn of the loop: some hundred backends, so that requests are not held up. */
    private static final int READS_IN_TURN = 1;

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
    /** What the call that is out is for, or the next one will be. */
    private Purpose purpose = Purpose.FIRST;
    private final DiscoveryWaits waits = new DiscoveryWaits();
    private final ListFreshness freshness = new ListFreshness();
    /** Whether the answer to the call has begun to come, when, and how much of it has. */
    private boolean begun;
    private long begunAt;
    private long answerBytes;
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
        this.asked = config.settings().watchesDiscovery();
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
     * The version to ask from at first, that of the list in the configuration: what changed since costs
     * discovery little, and the whole list much where thousands of backends are listed or many ask at once.
     */
    private static long firstIndex(Config config) {
        Listing known = config.known();
        return known != null && known.whole() && !known.entries().isEmpty() ? known.index() : -1;
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

    /** How far the list held may be trusted. Safe to call from any thread. */
    ListFreshness.State freshness() {
        return freshness.state();
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

    /**
     * From now on asks other addresses of the same service, and first for what is new. One that counts its
     * versions anew shows that by a lower one, or refuses the one held; then the whole list is asked for.
     */
    void moveTo(List<InetSocketAddress> others) {
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
        answerBytes = 0;
        long from = System.nanoTime();
        calledAt = from;
        calledUs = driver.clock().nowUs();
        limit(waits.firstByteMs(purpose, index < 0));
        if (channel != null && channel.isActive()) {
            write(channel);
        } else {
            Bootstrap own = new Bootstrap().group(loop).channel(TcpChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.RECVBUF_ALLOCATOR,
                            Sockets.readBuffers().maxMessagesPerRead(READS_IN_TURN))
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) DiscoveryWaits.FIRST_SILENCE_MS)
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            fresh.pipeline().addLast(new ReadNotifier(() -> stir(fresh)),
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
     * This machine had no descriptor, port or buffer for the connection, which says nothing about discovery:
     * the same call begins anew soon, some times. Told of late: by then discovery may have moved, and another
     * call be out.
     */
    private void notConnectedHere(long from) {
        if (from != calledAt || !calling || closed) {
            return;
        }
        if (++localFailures > MOST_LOCAL_FAILURES) {
            failed("no socket, port or buffer here");
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
        waits.silent();
        if (asked && calling && !closed) {
            giveUp(begun ? "the answer stopped" : "no answer");
            call();
        } else {
            failed(begun ? "the answer stopped" : "no answer");
        }
    }

    /** Bytes of an answer came; one that stops half-way is not waited for as long as a silent watch. */
    private void stir(Channel from) {
        if (from != channel || !calling) {
            return;
        }
        begunAt = begun ? begunAt : System.nanoTime();
        begun = true;
        silence.cancel(false);
        limit(waits.nextByteMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt), answerBytes));
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
                failed("the connection ended");
            }
        }
    }

    /** The call came to nothing. The list held stays in force. */
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
            // With jitter, lest all proxies come back to a service that was down at the same moment.
            long afterMs = failedInRow == 1 ? jitter.nextLong(FAIL_OVER_MS + 1)
                    : pauseMs * 3 / 4 + jitter.nextLong(pauseMs / 2 + 1);
            callIn(afterMs);
            pauseMs = Math.min(2 * pauseMs, mostPauseMs);
        }
        settle();
    }

    /** Ends the call that is out; the next goes to the next service, where there are several. */
    private void giveUp(String why) {
        freshness.failed(driver.clock().nowUs(), why);
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

    /** An answer has come to its end; the list is null where it held none. */
    private void answered(HttpResponse response, Listing listing) {
        if (response.status().codeClass() == HttpStatusClass.CLIENT_ERROR) {
            forget();  // it does not know the version held
        }
        String told = response.headers().get(EPOCH);
        if (listing == null || !listing.whole() && !follows(listing, told)) {
            refusedInRow++;
            failed("answered " + response.status().code() + (listing == null ? " with no list" : ""));
            return;
        }
        waits.answered(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAt));
        freshness.answered(driver.clock().nowUs());
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

    /** Reads what comes on the connection to discovery, and hands on each answer at its end. */
    private final class Reader extends SimpleChannelInboundHandler<HttpObject> {
        /** The answer that is coming, or null; interim ones are passed over. */
        private HttpResponse response;
        /** Its list so far; null where it holds none, or none that can be read. */
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
                    listing = last ? reading.end() : null;
                }
            } catch (ListingReader.Unreadable e) {
                LOG.atWarn().addKeyValue("why", e.getMessage()).log("a list that can't be read");
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
