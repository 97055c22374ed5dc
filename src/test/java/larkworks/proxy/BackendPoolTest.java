package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.ChannelException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests exchanges between the pool and a backend over real connections. */
@Timeout(120)
class BackendPoolTest {

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private StubServer backend;

    @BeforeEach
    void open() throws Exception {
        backend = new StubServer();
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        backend.close();
    }

    private BackendPool createPool(Sockets sockets) {
        BackendPool pool = new BackendPool(group.next(), sockets, 5_000_000, 10_000_000);
        sockets.setEvictors(pool::evictLongestIdle, () -> false);
        return pool;
    }

    private void startExchange(BackendPool pool, StubServer peer, FullHttpRequest request) {
        InetSocketAddress address = Config.address(peer.address());
        group.next().execute(() -> pool.startExchange(address, () -> request,
                answer -> outcomes.add(answer.outcome())));
    }

    static FullHttpRequest newRequest() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    private Outcome nextOutcome() throws InterruptedException {
        return outcomes.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Waits until a connection that has just carried an answer can be reused. */
    static void awaitReuseDelay() throws InterruptedException {
        Thread.sleep(BackendPool.REUSE_DELAY_MS + 1);
    }

    /**
     * If no descriptor is left, an attempt ends as not sent, which does not count as a failure of the
     * backend. Once a descriptor is free, attempts are sent again.
     */
    @Test
    void endsAttemptAsNotSentWhenNoDescriptorIsAvailable() throws Exception {
        BackendPool pool = createPool(new Sockets(4, 0));
        startExchange(pool, backend, newRequest());
        startExchange(pool, backend, newRequest());
        StubServer.Message firstMessage = backend.next();
        backend.next();
        startExchange(pool, backend, newRequest());
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        firstMessage.reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        awaitReuseDelay();
        startExchange(pool, backend, newRequest());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        assertEquals(2, backend.connections());
    }

    /**
     * If the system provides no socket, the answer's receiver is notified on the event loop, and the socket
     * that was counted for the attempt is released.
     */
    @Test
    void notifiesReceiverOnEventLoopWhenSystemProvidesNoSocket() throws Exception {
        Sockets sockets = new Sockets(16, 0);
        AtomicBoolean socketsUnavailable = new AtomicBoolean(true);
        BackendPool pool = new BackendPool(group.next(), sockets, 5_000_000, 10_000_000, () -> {
            if (socketsUnavailable.get()) {
                throw new ChannelException("too many open files");
            }
            return new NioSocketChannel();
        });
        BlockingQueue<Boolean> calledOnEventLoop = new LinkedBlockingQueue<>();
        group.next().execute(() -> {
            BackendPool.Exchange exchange = pool.startExchange(Config.address(backend.address()),
                    BackendPoolTest::newRequest, answer -> {
                        outcomes.add(answer.outcome());
                        calledOnEventLoop.add(group.next().inEventLoop());
                    });
            outcomes.add(exchange.hasStarted() ? Outcome.OK : Outcome.CANCELLED);
        });
        assertEquals(Outcome.CANCELLED, nextOutcome(),
                "the receiver must not be notified before startExchange has returned");
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        assertEquals(true, calledOnEventLoop.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, sockets.openCount());
        socketsUnavailable.set(false);
        startExchange(pool, backend, newRequest());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        assertEquals(1, sockets.openCount());
    }

    @Test
    void closesIdleConnectionToConnectToAnotherBackend() throws Exception {
        try (StubServer otherBackend = new StubServer()) {
            Sockets sockets = new Sockets(2, 0);
            BackendPool pool = createPool(sockets);
            sockets.tryAcquire();
            for (int i = 0; i < 2; i++) {
                startExchange(pool, backend, newRequest());
                StubServer.Message message = backend.next();
                message.reply(200, "");
                assertEquals(Outcome.OK, nextOutcome());
                startExchange(pool, otherBackend, newRequest());
                message.awaitConnectionEnd();
                otherBackend.next().reply(200, "");
                assertEquals(Outcome.OK, nextOutcome());
            }
        }
    }

    @Test
    void sendsNothingWhenRequestHasEndedBeforeItsConnectionIsEstablished() throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        startExchange(pool, backend, null);
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        startExchange(pool, backend, newRequest());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        assertEquals(1, backend.connections(), "the next request must reuse the connection");
        assertEquals(0, backend.pendingMessages());
    }

    @Test
    void keepsConnectionUsableWhenRequestCannotBeBuilt() throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        group.next().execute(() -> pool.startExchange(Config.address(backend.address()), () -> {
            throw new IllegalArgumentException("simulated: a header contains a line break");
        }, answer -> outcomes.add(answer.outcome())));
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        startExchange(pool, backend, newRequest());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        assertEquals(1, backend.connections());
    }

    @Test
    void distinguishesResetAfterWriteFromConnectFailure() throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        startExchange(pool, backend, newRequest());
        backend.next().resetConnection();
        assertEquals(Outcome.RESET, nextOutcome());
        backend.close();
        startExchange(pool, backend, newRequest());
        assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
    }

    /**
     * Each of these answers is malformed or unsupported. The parser may still find a body, but not
     * necessarily the one that the backend meant.
     */
    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 00200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\nab",
        "HTTP/1.1 103 Hints\r\nno colon here\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"})
    void rejectsMalformedOrUnsupportedAnswer(String answer) throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        startExchange(pool, backend, newRequest());
        StubServer.Message message = backend.next();
        message.sendRaw(answer);
        assertEquals(Outcome.RESET, nextOutcome());
        message.awaitConnectionEnd();
    }

    /**
     * Guards against a truncated answer that is served as complete. A body without a declared length ends
     * when the connection is closed, but a reset is no such end.
     */
    @Test
    void rejectsAnswerWhoseBodyIsCutOffByReset() throws Exception {
        BackendPool pool = createPool(new Sockets(64, 0));
        for (int i = 0; i < 20; i++) {
            startExchange(pool, backend, newRequest());
            StubServer.Message message = backend.next();
            message.sendRaw("HTTP/1.1 200 OK\r\n\r\nhalf of the bod");
            message.resetConnection();
            assertEquals(Outcome.RESET, nextOutcome());
        }
        startExchange(pool, backend, newRequest());
        StubServer.Message message = backend.next();
        message.sendRaw("HTTP/1.1 200 OK\r\n\r\nall of it");
        message.socket().close();
        assertEquals(Outcome.OK, nextOutcome());
    }

    /** Starts an exchange, and another as soon as it has ended; returns the bodies of both answers. */
    private BlockingQueue<String> startTwoExchanges() {
        BackendPool pool = createPool(new Sockets(16, 0));
        InetSocketAddress address = Config.address(backend.address());
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        group.next().execute(() -> pool.startExchange(address, BackendPoolTest::newRequest, firstAnswer -> {
            bodies.add(BackendPool.asciiText(firstAnswer.body()));
            pool.startExchange(address, BackendPoolTest::newRequest,
                    nextAnswer -> bodies.add(BackendPool.asciiText(nextAnswer.body())));
        }));
        return bodies;
    }

    /** Guards against a request that is given the second of two answers to the previous request. */
    @Test
    void doesNotDeliverSecondAnswerToNextRequest() throws Exception {
        BlockingQueue<String> bodies = startTwoExchanges();
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        StubServer.Message message = backend.next();
        message.sendRaw(answer + answer);
        assertEquals("first", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        message.awaitConnectionEnd();
        backend.next().reply(200, "next");
        assertEquals("next", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /**
     * Guards against a request that is given a second answer to the previous request, sent some milliseconds
     * after the first one. The next request must use another connection.
     */
    @Test
    void doesNotDeliverDelayedSecondAnswerToNextRequest() throws Exception {
        BlockingQueue<String> bodies = startTwoExchanges();
        StubServer.Message message = backend.next();
        message.reply(200, "first");
        assertEquals("first", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        StubServer.Message nextMessage = backend.next();
        message.reply(200, "second answer");
        nextMessage.reply(200, "next");
        assertEquals("next", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        message.awaitConnectionEnd();
    }

    /**
     * Guards against a request that is given a second answer to the previous request. The event loop is
     * blocked for longer than the reuse delay, so that this answer is still unread when the delay is over.
     */
    @Test
    void doesNotDeliverSecondAnswerLeftUnreadByBlockedEventLoop() throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        InetSocketAddress address = Config.address(backend.address());
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        startExchange(pool, backend, newRequest());
        StubServer.Message message = backend.next();
        message.reply(200, "first");
        assertEquals(Outcome.OK, nextOutcome());
        group.next().execute(() -> {
            message.reply(200, "second answer");
            try {
                awaitReuseDelay();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            pool.startExchange(address, BackendPoolTest::newRequest,
                    answer -> bodies.add(BackendPool.asciiText(answer.body())));
        });
        backend.next().reply(200, "next");
        assertEquals("next", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @ValueSource(strings = {
        "HTTP/1.1 200 OK\r\nContent-Length:2\r\n\r\nab",
        "HTTP/1.0 200 OK\r\nX-Empty:\r\nContent-Length: \t2 \r\n\r\nab",
        "HTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nX-T: z\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"})
    void acceptsEveryValidFormOfAnswer(String answer) throws Exception {
        BackendPool pool = createPool(new Sockets(16, 0));
        startExchange(pool, backend, newRequest());
        backend.next().sendRaw(answer);
        assertEquals(Outcome.OK, nextOutcome());
    }

    @Test
    void parsesLoadReports() {
        assertEquals(new LoadReport(7, 2, 0.61), BackendPool.parseLoadReport("inflight=7,queue=2,util=0.61"));
        assertEquals(new LoadReport(-1, 2, -1), BackendPool.parseLoadReport("queue=2,other=9"));
        assertNull(BackendPool.parseLoadReport("inflight=many"));
        assertNull(BackendPool.parseLoadReport(null));
    }
}
