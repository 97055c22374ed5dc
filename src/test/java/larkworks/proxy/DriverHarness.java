package larkworks.proxy;

import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
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
import larkworks.transport.TcpChannel;

/** A driver with a pool and stub backends, without clients' connections: a test submits requests itself. */
final class DriverHarness implements AutoCloseable {

    final Clock clock = new Clock();
    final TestBench bench;
    final Driver driver;
    final Sockets sockets = new Sockets(64, 0);
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    DriverHarness(Path folder, int backendCount) throws Exception {
        this(folder, backendCount, TcpChannel::new);
    }

    /** Creates a harness whose connections to backends come from the given factory. */
    DriverHarness(Path folder, int backendCount, ChannelFactory<NioSocketChannel> channels)
            throws Exception {
        bench = new TestBench(backendCount);
        Path file = Files.writeString(folder.resolve("config.json"), bench.configJson(0, bench.fullList(1)));
        Config config = Config.read(file.toString(), Map.of(), Map.of());
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs(),
                channels);
        sockets.setEvictors(pool::evictLongestIdle);
        driver = new Driver(config, clock, loop, pool);
    }

    @Override
    public void close() throws IOException {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        bench.close();
    }

    /** Runs a task on the driver's event loop and returns its result. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Lists all backends as up. */
    void listBackends() throws Exception {
        List<Listing.Entry> entries = new ArrayList<>();
        for (int i = 0; i < bench.backends.size(); i++) {
            entries.add(new Listing.Entry(up("b" + i), Config.address(bench.backends.get(i).address())));
        }
        list(entries);
    }

    /** Lists one backend without an address, so that no attempt to it can begin. */
    void listBackendWithoutAddress() throws Exception {
        list(List.of(new Listing.Entry(up("b0"), null)));
    }

    private static Server up(String id) {
        return new Server(id, 0, 0, 0, 1, ServerStatus.UP);
    }

    private void list(List<Listing.Entry> entries) throws Exception {
        onLoop(() -> {
            driver.listChanged(ListKind.WHOLE, entries, clock.nowUs(), Long.MIN_VALUE);
            return null;
        });
    }
}
