package larkworks.registry;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larkworks.platform.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One list service: its data directory, its event loop and its address, from start to end. */
public final class Registry implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger("registry");

    /**
     * What a service is told.
     *
     * @param listen where callers connect
     * @param data the data directory, made where there is none
     * @param snapshotBytes the log's length at which a snapshot is written
     * @param maxTombstones removed instances that are remembered for those who watch from before
     * @param admission how new servers are admitted
     */
    public record Settings(InetSocketAddress listen, Path data, long snapshotBytes, int maxTombstones,
            Admission.Settings admission) {

        /** Settings under which new servers are admitted at once. */
        public Settings(InetSocketAddress listen, Path data, long snapshotBytes, int maxTombstones) {
            this(listen, data, snapshotBytes, maxTombstones, 0, List.of(), 0);
        }

        /** Settings with staged admission; see {@link Admission.Settings}. */
        public Settings(InetSocketAddress listen, Path data, long snapshotBytes, int maxTombstones,
                double maxNewShare, List<Double> steps, long stepMs) {
            this(listen, data, snapshotBytes, maxTombstones,
                    new Admission.Settings(maxNewShare, steps, stepMs));
        }
    }

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Store store;
    private final ListService service;
    private final RegistryServer server;
    private final InetSocketAddress address;

    /**
     * Starts a service.
     *
     * @throws IOException where the data can't be had or the address is taken; the message is the operator's
     */
    public Registry(Settings settings) throws IOException, InterruptedException {
        long begun = System.nanoTime();
        try {
            store = Store.open(settings.data(), settings.maxTombstones(), settings.snapshotBytes());
        } catch (IOException | RuntimeException e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
        service = new ListService(loop, store, settings.admission());
        server = new RegistryServer(loop, service);
        loop.submit(service::start).sync();
        try {
            address = server.listen(settings.listen());
        } catch (IOException e) {
            close();
            throw e;
        }
        LOG.atInfo().addKeyValue("address", Addresses.text(address))
                .addKeyValue("index", store.catalog().index())
                .addKeyValue("instances", store.catalog().size())
                .addKeyValue("start_ms", (System.nanoTime() - begun) / 1_000_000).log("serving");
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ends: watches are answered, what was granted is written, the data directory is free. */
    @Override
    public void close() throws IOException {
        loop.submit(service::stop).syncUninterruptibly();
        server.close();
        store.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
