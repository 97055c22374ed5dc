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

/** Exchanges with a backend on real connections. */
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

    private BackendPool pool(Sockets sockets) {
        BackendPool pool = new BackendPool(group.next(), sockets, 5_000_000, 10_000_000);
        sockets.setEvictors(pool::evictLongestIdle, () -> false);
        return pool;
    }

    private void begin(BackendPool pool, StubServer to, FullHttpRequest request) {
        InetSocketAddress address = Config.address(to.address());
        group.next().execute(() -> pool.startExchange(address, () -> request,
                a -> outcomes.add(a.outcome())));
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    private Outcome outcome() throws InterruptedException {
        return outcomes.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Lets the time pass in which connections that just brought an answer are not used again. */
    static void letRest() throws InterruptedException {
        Thread.sleep(BackendPool.REUSE_DELAY_MS + 1);
    }

    /** Running out says nothing of the backend: the attempt was not sent, and the next one may be. */
    @Test
    void endsAnAttemptAsNotSentWhereNoDescriptorIsLeft() throws Exception {
        BackendPool pool = pool(new Sockets(4, 0));
        begin(pool, backend, request());
        begin(pool, backend, request());
        StubServer.Message first = backend.next();
        backend.next();
        begin(pool, backend, request());
        assertEquals(Outcome.NOT_SENT, outcome());
        first.reply(200, "");
        assertEquals(Outcome.OK, outcome());
        letRest();
        begin(pool, backend, request());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, outcome());
        assertEquals(2, backend.connections());
    }

    /** Where the system itself has none, the receiver hears of it on the loop, and nothing stays counted. */
    @Test
    void tellsOnTheLoopThatTheSystemGaveNoSocket() throws Exception {
        Sockets sockets = new Sockets(16, 0);
        AtomicBoolean none = new AtomicBoolean(true);
        BackendPool pool = new BackendPool(group.next(), sockets, 5_000_000, 10_000_000, () -> {
            if (none.get()) {
                throw new ChannelException("too many open files");
            }
            return new NioSocketChannel();
        });
        BlockingQueue<Boolean> onLoop = new LinkedBlockingQueue<>();
        group.next().execute(() -> {
            BackendPool.Exchange exchange = pool.startExchange(Config.address(backend.address()),
                    BackendPoolTest::request, a -> {
                        outcomes.add(a.outcome());
                        onLoop.add(group.next().inEventLoop());
                    });
            outcomes.add(exchange.hasStarted() ? Outcome.OK : Outcome.CANCELLED);
        });
        assertEquals(Outcome.CANCELLED, outcome(), "nothing is told before the exchange is handed out");
        assertEquals(Outcome.NOT_SENT, outcome());
        assertEquals(true, onLoop.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        assertEquals(0, sockets.openCount());
        none.set(false);
        begin(pool, backend, request());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, outcome());
        assertEquals(1, sockets.openCount());
    }

    @Test
    void closesAnIdleConnectionToMakeRoomForAnotherBackend() throws Exception {
        try (StubServer other = new StubServer()) {
            Sockets sockets = new Sockets(2, 0);
            BackendPool pool = pool(sockets);
            sockets.tryAcquire();
            for (int i = 0; i < 2; i++) {
                begin(pool, backend, request());
                StubServer.Message message = backend.next();
                message.reply(200, "");
                assertEquals(Outcome.OK, outcome());
                begin(pool, other, request());
                message.awaitConnectionEnd();
                other.next().reply(200, "");
                assertEquals(Outcome.OK, outcome());
            }
        }
    }

    @Test
    void sendsNothingWhereTheRequestIsOverOnceConnected() throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        begin(pool, backend, null);
        assertEquals(Outcome.NOT_SENT, outcome());
        begin(pool, backend, request());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, outcome());
        assertEquals(1, backend.connections(), "the connection was of use to the next");
        assertEquals(0, backend.pendingMessages());
    }

    @Test
    void aRequestThatCanNotBeWrittenDownLeavesTheConnectionUsable() throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        group.next().execute(() -> pool.startExchange(Config.address(backend.address()), () -> {
            throw new IllegalArgumentException("as a header with a line break would");
        }, a -> outcomes.add(a.outcome())));
        assertEquals(Outcome.NOT_SENT, outcome());
        begin(pool, backend, request());
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, outcome());
        assertEquals(1, backend.connections());
    }

    @Test
    void tellsAResetAfterTheWriteFromAFailureToConnect() throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        begin(pool, backend, request());
        backend.next().reset();
        assertEquals(Outcome.RESET, outcome());
        backend.close();
        begin(pool, backend, request());
        assertEquals(Outcome.CONNECT_FAILED, outcome());
    }

    /** The body behind such a line is as well framed as any other, but may not be what the backend meant. */
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
    void takesNoAnswerThatIsNotHttpToTheLetter(String answer) throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        begin(pool, backend, request());
        StubServer.Message sent = backend.next();
        sent.sendRaw(answer);
        assertEquals(Outcome.RESET, outcome());
        sent.awaitConnectionEnd();
    }

    /** What had come by the reset was served as the whole body. */
    @Test
    void takesABodyThatAResetCutsForNoAnswer() throws Exception {
        BackendPool pool = pool(new Sockets(64, 0));
        for (int i = 0; i < 20; i++) {
            begin(pool, backend, request());
            StubServer.Message sent = backend.next();
            sent.sendRaw("HTTP/1.1 200 OK\r\n\r\nhalf of the bod");
            sent.reset();
            assertEquals(Outcome.RESET, outcome());
        }
        begin(pool, backend, request());
        StubServer.Message sent = backend.next();
        sent.sendRaw("HTTP/1.1 200 OK\r\n\r\nall of it");
        sent.socket().close();
        assertEquals(Outcome.OK, outcome());
    }

    /** Begins an exchange, and the next as soon as it has ended; returns the bodies of their answers. */
    private BlockingQueue<String> askTwice() {
        BackendPool pool = pool(new Sockets(16, 0));
        InetSocketAddress address = Config.address(backend.address());
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        group.next().execute(() -> pool.startExchange(address, BackendPoolTest::request, first -> {
            bodies.add(BackendPool.asciiText(first.body()));
            pool.startExchange(address, BackendPoolTest::request,
                    next -> bodies.add(BackendPool.asciiText(next.body())));
        }));
        return bodies;
    }

    /** The next request was given the second of two answers to the one before. */
    @Test
    void givesNoRequestWhatCameBehindTheAnswerToAnother() throws Exception {
        BlockingQueue<String> bodies = askTwice();
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        StubServer.Message sent = backend.next();
        sent.sendRaw(answer + answer);
        assertEquals("first", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        sent.awaitConnectionEnd();
        backend.next().reply(200, "next");
        assertEquals("next", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Nor a second answer that comes some milliseconds late: the next request takes another connection. */
    @Test
    void givesNoRequestASecondAnswerThatComesLate() throws Exception {
        BlockingQueue<String> bodies = askTwice();
        StubServer.Message sent = backend.next();
        sent.reply(200, "first");
        assertEquals("first", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        StubServer.Message next = backend.next();
        sent.reply(200, "second answer");
        next.reply(200, "next");
        assertEquals("next", bodies.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS));
        sent.awaitConnectionEnd();
    }

    /** The loop is held up while a second answer comes, and for longer than a connection rests. */
    @Test
    void givesNoRequestASecondAnswerThatLayUnreadWhileTheLoopWasLate() throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        InetSocketAddress address = Config.address(backend.address());
        BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        begin(pool, backend, request());
        StubServer.Message sent = backend.next();
        sent.reply(200, "first");
        assertEquals(Outcome.OK, outcome());
        group.next().execute(() -> {
            sent.reply(200, "second answer");
            try {
                letRest();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            pool.startExchange(address, BackendPoolTest::request,
                    a -> bodies.add(BackendPool.asciiText(a.body())));
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
    void takesEveryFormOfAnAnswerThatHttpAllows(String answer) throws Exception {
        BackendPool pool = pool(new Sockets(16, 0));
        begin(pool, backend, request());
        backend.next().sendRaw(answer);
        assertEquals(Outcome.OK, outcome());
    }

    @Test
    void readsLoadReports() {
        assertEquals(new LoadReport(7, 2, 0.61), BackendPool.parseLoadReport("inflight=7,queue=2,util=0.61"));
        assertEquals(new LoadReport(-1, 2, -1), BackendPool.parseLoadReport("queue=2,other=9"));
        assertNull(BackendPool.parseLoadReport("inflight=many"));
        assertNull(BackendPool.parseLoadReport(null));
    }
}
