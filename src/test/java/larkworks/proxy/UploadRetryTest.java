package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import larkworks.Balancer.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Further attempts of a request whose body is an upload: after a failed one, or beside one in flight. */
@Timeout(120)
class UploadRetryTest {

    private static final int BODY_BYTES = 100_000;
    /** Two parts of this size are more than the proxy keeps once a backend has been sent them. */
    private static final int HELD_BYTES = 40_000;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final FailingChannels channels = new FailingChannels();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final byte[] body = new byte[BODY_BYTES];
    private StubServer firstBackend;
    private StubServer secondBackend;
    private BackendPool pool;

    @BeforeEach
    void open() throws Exception {
        new Random(1).nextBytes(body);
        firstBackend = new StubServer();
        secondBackend = new StubServer();
        Sockets sockets = new Sockets(16, 0);
        pool = new BackendPool(loop, sockets, 5_000_000, 10_000_000, channels);
        sockets.setEvictors(pool::evictLongestIdle);
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        firstBackend.close();
        secondBackend.close();
    }

    private Upload newUpload(Channel client) {
        return new Upload(client, new WriteBufferShares(), BODY_BYTES, Unpooled.copiedBuffer(body),
                () -> { });
    }

    private static HttpRequest head(Upload upload) {
        HttpRequest head = new Upload.RequestHead(HttpVersion.HTTP_1_1, HttpMethod.POST, "/act", upload);
        upload.setLengthHeader(head.headers());
        return head;
    }

    private static void complete(Upload upload) {
        upload.setLastPart(Unpooled.EMPTY_BUFFER);
        upload.complete();
    }

    private Outcome nextOutcome() throws InterruptedException {
        return outcomes.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Serves one exchange, whose connection to the backend stays open and idle. */
    private void poolConnection(StubServer backend) throws Exception {
        InetSocketAddress address = Config.address(backend.address());
        loop.execute(() -> pool.startExchange(address, BackendPoolTest::newRequest,
                answer -> outcomes.add(answer.outcome())));
        backend.next().reply(200, "");
        assertEquals(Outcome.OK, nextOutcome());
        BackendPoolTest.awaitReuseDelay();
    }

    /**
     * Guards against an unsafe request that runs on two backends: the failed write of its first attempt
     * counted as the failure of the second one, which then had a third after it.
     */
    @Test
    void failedWriteOfOneAttemptDoesNotFailTheNextAttempt() throws Exception {
        poolConnection(secondBackend);
        loop.execute(() -> {
            Upload upload = newUpload(new EmbeddedChannel());
            pool.startExchange(Config.address(firstBackend.address()), () -> head(upload), first -> {
                outcomes.add(first.outcome());
                pool.startExchange(Config.address(secondBackend.address()), () -> head(upload),
                        second -> outcomes.add(second.outcome()));
            });
            complete(upload);
            channels.failNextWrite();
        });
        assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
        StubServer.Message request = secondBackend.next();
        assertArrayEquals(body, request.body());
        request.reply(200, "");
        assertEquals(Outcome.OK, nextOutcome(), "the attempt that the backend ran counts as failed");
    }

    /**
     * Guards against a body that goes out with a second end, or without its beginning, as the next attempt
     * begins while a write of the failed one is still being made.
     */
    @Test
    void sendsBodyOnceToNextBackendIfTheFirstOnesConnectionIsClosed() {
        EmbeddedChannel closed = new EmbeddedChannel();
        closed.close();
        EmbeddedChannel open = new EmbeddedChannel();
        Upload upload = newUpload(new EmbeddedChannel());
        complete(upload);
        AtomicBoolean retried = new AtomicBoolean();
        upload.attach(closed, failed -> {
            if (retried.compareAndSet(false, true)) {
                upload.detach(closed);
                upload.attach(open, written -> { });
            }
        });
        assertWhole(open);
    }

    /**
     * Guards against a hedged attempt whose body is empty: the second backend was sent only what the first
     * one had not been sent yet.
     */
    @Test
    void sendsWholeBodyToEachOfTwoBackendsAtOnce() {
        EmbeddedChannel first = new EmbeddedChannel();
        EmbeddedChannel second = new EmbeddedChannel();
        Upload upload = newUpload(new EmbeddedChannel());
        complete(upload);
        upload.attach(first, written -> { });
        upload.attach(second, written -> { });
        assertWhole(first);
        assertWhole(second);
    }

    /** Guards against a body that is cut off where the first of two attempts at once ends. */
    @Test
    void sendsLaterPartsToBothBackendsUntilOneAttemptEnds() {
        EmbeddedChannel first = new EmbeddedChannel();
        EmbeddedChannel second = new EmbeddedChannel();
        Upload upload = new Upload(new EmbeddedChannel(), new WriteBufferShares(), BODY_BYTES,
                Unpooled.buffer().writeBytes(body, 0, HELD_BYTES), () -> { });
        upload.attach(first, written -> { });
        upload.attach(second, written -> { });
        upload.addPart(Unpooled.copiedBuffer(body, HELD_BYTES, HELD_BYTES));
        upload.flush();
        upload.detach(first);
        upload.setLastPart(Unpooled.copiedBuffer(body, 2 * HELD_BYTES, BODY_BYTES - 2 * HELD_BYTES));
        upload.complete();
        assertWhole(second);
        assertArrayEquals(Arrays.copyOf(body, 2 * HELD_BYTES), content(first));
    }

    /**
     * Guards against a request whose end is cut short by an exception: where the write of the body's last
     * part failed at once and so ended the request, that part was released twice.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void releasesLastPartOnceIfItsWriteEndsTheRequest(boolean beginningReleased) {
        EmbeddedChannel backend = new EmbeddedChannel();
        Upload upload = new Upload(new EmbeddedChannel(), new WriteBufferShares(), BODY_BYTES,
                Unpooled.buffer().writeBytes(body, 0, HELD_BYTES), () -> { });
        AtomicReference<Throwable> failure = new AtomicReference<>();
        upload.attach(backend, written -> {
            try {
                upload.detach(backend);
                upload.discard();
            } catch (RuntimeException e) {
                failure.set(e);
            }
        });
        if (beginningReleased) {
            upload.addPart(Unpooled.buffer().writeBytes(body, 0, HELD_BYTES));
        }
        backend.close();
        ByteBuf lastPart = Unpooled.buffer().writeBytes(body, 0, 1);
        upload.setLastPart(lastPart);
        upload.complete();
        assertNull(failure.get());
        assertEquals(0, lastPart.refCnt());
    }

    /** Checks that the whole body and one end were written, and nothing after them. */
    private void assertWhole(EmbeddedChannel channel) {
        List<Object> written = List.copyOf(channel.outboundMessages());
        assertEquals(1, written.stream().filter(LastHttpContent.class::isInstance).count(),
                "ends of the body");
        assertTrue(written.get(written.size() - 1) instanceof LastHttpContent,
                "something was written after the end of the body");
        assertArrayEquals(body, content(channel));
    }

    /** Returns the bytes of the body that were written. */
    private static byte[] content(EmbeddedChannel channel) {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        for (HttpContent part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            written.writeBytes(ByteBufUtil.getBytes(part.content()));
            part.release();
        }
        return written.toByteArray();
    }
}
