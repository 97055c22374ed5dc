package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Each probe is told once, whatever comes of it. */
@Timeout(120)
class HealthProbesTest {

    /** What a probe's listener heard. */
    private record Heard(Outcome outcome, LoadReport report) { }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<Heard> heard = new LinkedBlockingQueue<>();
    private StubServer backend;
    private HealthProbes probes;

    @BeforeEach
    void open() throws Exception {
        backend = new StubServer();
        Sockets sockets = new Sockets(64, 0);
        BackendPool pool = new BackendPool(loop, sockets, 5_000_000, 10_000_000);
        sockets.setEvictors(pool::evictLongestIdle);
        probes = new HealthProbes(new Clock(), loop, pool, true);
    }

    @AfterEach
    void close() throws Exception {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        backend.close();
    }

    private void send(InetSocketAddress address) throws Exception {
        loop.submit(() -> probes.send("b0", address, () -> false,
                (server, outcome, tookUs, report) -> heard.add(new Heard(outcome, report)))).get();
    }

    private Heard next() throws InterruptedException {
        return heard.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void aBackendThatIsSilentTimesOut() throws Exception {
        send(Config.address(backend.address()));
        assertEquals(Outcome.TIMEOUT, next().outcome());
        assertNull(heard.poll());
    }

    @Test
    void aProbeThatCannotBeginIsToldOnceAsNotSent() throws Exception {
        send(null);
        assertEquals(Outcome.NOT_SENT, next().outcome());
        loop.submit(() -> { }).get();
        send(Config.address(backend.address()));
        assertEquals(Outcome.TIMEOUT, next().outcome(), "and nothing more comes of the first");
        assertNull(heard.poll());
    }
}
