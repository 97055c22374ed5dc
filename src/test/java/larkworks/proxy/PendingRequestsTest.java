package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
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

/** Each accepted request completes exactly once: when its answer is written and none of its attempts runs. */
@Timeout(120)
class PendingRequestsTest {

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final RecordingClient client = new RecordingClient();
    private TestBench bench;
    private Driver driver;
    private Sockets sockets;

    @BeforeEach
    void createDriver() throws Exception {
        bench = new TestBench(1);
        Path file = Files.writeString(folder.resolve("config.json"), bench.configJson(0, bench.fullList(1)));
        Config config = Config.read(file.toString(), Map.of(), Map.of());
        sockets = new Sockets(64, 0);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        sockets.setEvictors(pool::evictLongestIdle);
        driver = new Driver(config, clock, loop, pool);
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        bench.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Adds the only backend to the driver's list; with a null address no attempt to it can begin. */
    private void listBackend(InetSocketAddress address) throws Exception {
        onLoop(() -> {
            driver.listChanged(ListKind.WHOLE, List.of(new Listing.Entry(
                    new Server("b0", 0, 0, 0, 1, ServerStatus.UP), address)), clock.nowUs(),
                    Long.MIN_VALUE);
            return null;
        });
    }

    private PendingRequest accept(long timeLeftUs) throws Exception {
        return onLoop(() -> driver.submit(new Driver.Inbound("r1", HttpMethod.GET, "/look", null,
                new byte[0], null, null, 0, 0, timeLeftUs, 0, false, clock.nowUs()), client));
    }

    private void awaitAnswer() throws Exception {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (onLoop(client.answers()::isEmpty)) {
            assertTrue(System.nanoTime() < timeoutAtNs, "the driver gave no answer");
            Thread.sleep(1);
        }
    }

    @Test
    void requestCompletesOnlyOnceItsAnswerIsWritten() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        accept(20_000_000);
        bench.backends.get(0).next().reply(200, "whole");
        awaitAnswer();
        assertEquals(List.of("served"), onLoop(() -> List.copyOf(client.answers())));
        assertEquals(false, onLoop(driver::isIdle), "the request completed before its answer was written");
        onLoop(() -> {
            client.deliveries().get(0).ended(true);
            return null;
        });
        assertTrue(onLoop(driver::isIdle));
    }

    @Test
    void requestCompletesIfItsAttemptCannotBegin() throws Exception {
        listBackend(null);
        accept(300_000);
        awaitAnswer();
        onLoop(() -> {
            client.deliveries().get(0).ended(true);
            return null;
        });
        assertEquals(1, onLoop(client.answers()::size));
        assertTrue(onLoop(driver::isIdle), "the request is still pending for an attempt that never began");
        assertEquals(0, onLoop(sockets::openCount), "a socket that was never opened is counted");
    }

    @Test
    void unansweredRequestIsPastDeadlineOnceItHasPassed() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        PendingRequest pending = accept(20_000_000);
        bench.backends.get(0).next();
        assertEquals(false, pending.isPastDeadline(pending.deadlineUs));
        assertTrue(pending.isPastDeadline(pending.deadlineUs + 1));
        onLoop(() -> {
            driver.clientGone(pending);
            return null;
        });
        assertEquals(false, pending.isPastDeadline(pending.deadlineUs + 1),
                "a request whose client disconnected counts as past its deadline");
    }

    @Test
    void requestIsAnsweredBeforeItsDeadlineIfBackendIsSilent() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        PendingRequest pending = accept(300_000);
        bench.backends.get(0).next();
        awaitAnswer();
        assertTrue(onLoop(() -> driver.requestsPastDeadline().isEmpty()));
        assertEquals(List.of("failed"), onLoop(() -> List.copyOf(client.answers())));
        assertTrue(onLoop(pending::isAnswered));
    }
}
