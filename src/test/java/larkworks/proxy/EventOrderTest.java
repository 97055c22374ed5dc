package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The decision module gets the events of a request in the order in which they occurred. */
@Timeout(120)
class EventOrderTest {

    private static final int BACKENDS = 2;
    /** More than the proxy keeps once a backend has been sent it. */
    private static final int LARGE_BODY_BYTES = BackendPool.MAX_BUFFERED_BODY_BYTES + 1;
    /** The positions of the classes {@code look} and {@code act} in the bench's settings. */
    private static final int LOOK = 0;
    private static final int ACT = 2;

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final RecordingClient client = new RecordingClient();
    private final FailingChannels channels = new FailingChannels();
    private TestBench bench;
    private Driver driver;

    @BeforeEach
    void createDriver() throws Exception {
        bench = new TestBench(BACKENDS);
        Path file = Files.writeString(folder.resolve("config.json"), bench.configJson(0, bench.fullList(1)));
        Config config = Config.read(file.toString(), Map.of(), Map.of());
        Sockets sockets = new Sockets(64, 0);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs(),
                channels);
        sockets.setEvictors(pool::evictLongestIdle);
        driver = new Driver(config, clock, loop, pool);
        onLoop(() -> {
            driver.listChanged(ListKind.WHOLE, listing(), clock.nowUs(), Long.MIN_VALUE);
            return null;
        });
    }

    private List<Listing.Entry> listing() {
        List<Listing.Entry> entries = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            entries.add(new Listing.Entry(new Server("b" + i, 0, 0, 0, 1, ServerStatus.UP),
                    Config.address(bench.backends.get(i).address())));
        }
        return entries;
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        bench.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    private PendingRequest submit(String id, int requestClass, Upload upload, RecordingClient sender) {
        return driver.submit(new Driver.Inbound(id, upload == null ? HttpMethod.GET : HttpMethod.POST,
                "/" + id, null, upload == null ? new byte[0] : null, upload, null, requestClass, 0,
                20_000_000, 0, false, clock.nowUs()), sender);
    }

    /** Has every backend serve one request, so that an idle connection to each is pooled. */
    private void poolConnections() throws Exception {
        RecordingClient reader = new RecordingClient();
        for (int i = 0; i < BACKENDS; i++) {
            String id = "look" + i;
            onLoop(() -> submit(id, LOOK, null, reader));
        }
        for (StubServer backend : bench.backends) {
            backend.next().reply(200, "");
        }
        while (onLoop(() -> reader.answers().size()) < BACKENDS) {
            Thread.sleep(1);
        }
        BackendPoolTest.awaitReuseDelay();
    }

    /**
     * Guards against a retry that sends a large body without its beginning: the end of the first attempt
     * reached the module ahead of the event that the beginning was no longer buffered.
     */
    @Test
    void failedAttemptIsNotRetriedOnceBeginningOfItsBodyIsReleased() throws Exception {
        poolConnections();
        PendingRequest request = onLoop(() -> {
            Upload upload = new Upload(new EmbeddedChannel(), new WriteBufferShares(),
                    2 * LARGE_BODY_BYTES, Unpooled.buffer().writeZero(LARGE_BODY_BYTES), () -> { });
            PendingRequest submitted = submit("post", ACT, upload, client);
            channels.failNextWrite();
            upload.addPart(Unpooled.buffer().writeZero(1));
            upload.flush();
            return submitted;
        });
        // By then the loop has run all tasks that were submitted before.
        onLoop(() -> null);
        assertEquals(1, onLoop(request.attempts::size), "attempts of a body whose beginning is released");
        assertEquals(List.of("refused"), onLoop(() -> List.copyOf(client.answers())));
        assertTrue(onLoop(() -> request.attempts.get(0).ended));
    }
}
