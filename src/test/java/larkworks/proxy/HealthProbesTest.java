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

/** Tests that the result of each probe is reported exactly once, whatever it is. */
@Timeout(120)
class HealthProbesTest {

    /** The result that was reported to a probe's listener. */
    private record ProbeResult(Outcome outcome, LoadReport report) { }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ProbeResult> results = new LinkedBlockingQueue<>();
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

    private void sendProbe(InetSocketAddress address) throws Exception {
        loop.submit(() -> probes.send("b0", address, () -> false,
                (server, outcome, tookUs, report) -> results.add(new ProbeResult(outcome, report)))).get();
    }

    private ProbeResult nextResult() throws InterruptedException {
        return results.poll(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void reportsTimeoutWhenBackendDoesNotAnswer() throws Exception {
        sendProbe(Config.address(backend.address()));
        assertEquals(Outcome.TIMEOUT, nextResult().outcome());
        assertNull(results.poll());
    }

    @Test
    void reportsNotSentOnceWhenProbeCannotStart() throws Exception {
        sendProbe(null);
        assertEquals(Outcome.NOT_SENT, nextResult().outcome());
        loop.submit(() -> { }).get();
        sendProbe(Config.address(backend.address()));
        assertEquals(Outcome.TIMEOUT, nextResult().outcome(), "the first probe must not be reported again");
        assertNull(results.poll());
    }
}
