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

/** Each accepted request completes exactly once: when its answer is written and none of its attempts runs. */
@Timeout(120)
class PendingRequestsTest {

    /** Records the answers that the driver gives, and the deliveries to notify once an answer is written. */
    private static final class Answers implements Driver.Client {
        private final List<String> given = new ArrayList<>();
        private final List<Driver.Delivery> writing = new ArrayList<>();

        private void add(String answer, Driver.Delivery delivery) {
            given.add(answer);
            writing.add(delivery);
        }

        @Override
        public boolean connected() {
            return true;
        }

        @Override
        public void served(byte[] body, String type, Driver.Delivery delivery) {
            add("served", delivery);
        }

        @Override
        public BackendPool.Sink begins(BackendPool.Exchange from, String type, long length,
                Driver.Delivery delivery) {
            throw new AssertionError("an answer was streamed, but these tests send only small ones");
        }

        @Override
        public void refused(long retryAfterUs, Driver.Delivery delivery) {
            add("refused", delivery);
        }

        @Override
        public void failed(Driver.Delivery delivery) {
            add("failed", delivery);
        }
    }

    @TempDir
    Path folder;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final Answers answers = new Answers();
    private Bench bench;
    private Driver driver;
    private Sockets sockets;

    @BeforeEach
    void open() throws Exception {
        bench = new Bench(1);
        Path file = Files.writeString(folder.resolve("config.json"), bench.config(0, bench.all(1)));
        Config config = Config.read(file.toString(), Map.of(), Map.of());
        sockets = new Sockets(64, 0);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        sockets.evictors(pool::evict);
        driver = new Driver(config, clock, loop, pool);
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        bench.close();
    }

    private <T> T onLoop(Callable<T> step) throws Exception {
        return loop.submit(step).get();
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

    private PendingRequest take(long timeLeftUs) throws Exception {
        return onLoop(() -> driver.request(new Driver.Inbound("r1", HttpMethod.GET, "/look", null,
                new byte[0], null, null, 0, 0, timeLeftUs, 0, false, clock.nowUs()), answers));
    }

    private void awaitAnswer() throws Exception {
        long until = System.nanoTime() + Peer.LIMIT_S * 1_000_000_000L;
        while (onLoop(answers.given::isEmpty)) {
            assertTrue(System.nanoTime() < until, "no answer was given");
            Thread.sleep(1);
        }
    }

    @Test
    void aRequestEndsOnlyOnceItsAnswerIsWritten() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        take(20_000_000);
        bench.backends.get(0).next().reply(200, "whole");
        awaitAnswer();
        assertEquals(List.of("served"), onLoop(() -> List.copyOf(answers.given)));
        assertEquals(false, onLoop(driver::isIdle), "the request completed before its answer was written");
        onLoop(() -> {
            answers.writing.get(0).ended(true);
            return null;
        });
        assertTrue(onLoop(driver::isIdle));
    }

    @Test
    void aRequestEndsWhereItsAttemptCannotBegin() throws Exception {
        listBackend(null);
        take(300_000);
        awaitAnswer();
        onLoop(() -> {
            answers.writing.get(0).ended(true);
            return null;
        });
        assertEquals(1, onLoop(answers.given::size));
        assertTrue(onLoop(driver::isIdle), "the request is still pending for an attempt that never began");
        assertEquals(0, onLoop(sockets::open), "a socket that was never opened is counted");
    }

    @Test
    void aRequestWithoutAnAnswerIsOverdueOnceItsDeadlineHasPassed() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        PendingRequest pending = take(20_000_000);
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
    void aRequestIsAnsweredBeforeItIsOverdueWhereItsBackendIsSilent() throws Exception {
        listBackend(Config.address(bench.backends.get(0).address()));
        PendingRequest pending = take(300_000);
        bench.backends.get(0).next();
        awaitAnswer();
        assertTrue(onLoop(() -> driver.overdue().isEmpty()));
        assertEquals(List.of("failed"), onLoop(() -> List.copyOf(answers.given)));
        assertTrue(onLoop(pending::isAnswered));
    }
}
