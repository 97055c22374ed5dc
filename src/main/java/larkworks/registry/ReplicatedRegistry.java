package larkworks.registry;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import larkworks.platform.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One replica of a list service: its data directory, its event loop, its addresses, from start to end. */
public final class ReplicatedRegistry implements AutoCloseable {

    /** What a replica's data directory holds beside the lock. */
    static final String DATA = "replica";

    private static final Logger LOG = LoggerFactory.getLogger("registry");

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ReplicaService service;
    private final RegistryServer server;
    private final FileChannel lock;
    private final RaftNode node;
    private final InetSocketAddress address;

    /**
     * Starts a replica; it serves once it has heard of a leader.
     *
     * @throws IOException where the data can't be had or an address is taken; the message is the operator's
     */
    public ReplicatedRegistry(Registry.Settings settings, ReplicaSettings replica)
            throws IOException, InterruptedException {
        service = new ReplicaService(loop, replica, settings.admission(), settings.maxTombstones());
        server = new RegistryServer(loop, service);
        FileChannel held = null;
        try {
            held = Folders.lock(settings.data());
            node = new RaftNode(replica, folder(settings.data()), new RatisStateMachine(loop, service));
        } catch (IOException | RuntimeException e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (held != null) {
                held.close();
            }
            throw new IOException("replica '" + replica.id() + "' at " + Addresses.text(replica.listen())
                    + ": " + root(e), e);
        }
        lock = held;
        loop.submit(() -> service.start(node)).sync();
        try {
            address = server.listen(settings.listen());
        } catch (IOException e) {
            close();
            throw e;
        }
        LOG.atInfo().addKeyValue("address", Addresses.text(address))
                .addKeyValue("replica", replica.id()).log("serving");
    }

    private static Path folder(Path data) throws IOException {
        if (Files.exists(data.resolve("epoch"))) {
            throw new IOException(data + ": it holds the data of a list service without replicas");
        }
        return Files.createDirectories(data.resolve(DATA));
    }

    /** What is at the bottom of a failure of the engine, for people. */
    static String root(Throwable e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }

    /** Where callers connect. */
    public InetSocketAddress address() {
        return address;
    }

    /** Ends: watches are answered, what was passed on is given up, the data directory is free. */
    @Override
    public void close() throws IOException {
        loop.submit(service::stop).syncUninterruptibly();
        service.stopForwarding();
        server.close();
        node.close();
        lock.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
