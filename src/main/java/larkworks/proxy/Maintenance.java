package larkworks.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares state between the processes of this proxy, of which two are alive during a replacement. Stores which
 * backends operators put in maintenance in a folder that outlives the process, checks the folder for commands
 * that the other process received, and passes all of them to the driver. The folder also holds the ids of
 * {@link StartedRequests}. While another process is alive, the descriptors are divided between the two.
 */
final class Maintenance {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** The outcome of an operator's command. */
    enum Result { DONE, UNKNOWN_BACKEND, NOT_STORED }

    /** How often the folder is checked within the grace period of a drain; a check is cheap. */
    private static final int CHECKS_PER_DRAIN_GRACE = 5;
    private static final long MIN_CHECK_INTERVAL_US = 10_000;

    private final EventLoop loop;
    private final Driver driver;
    private final Sockets sockets;
    private final long checkIntervalUs;
    private final InetSocketAddress listenAddress;
    /** Folder that outlives this process; if null, commands are lost when the process ends. */
    private final Path stateFolder;
    /** Null until the folder can be opened: a disk that fails for a while must not prevent the start. */
    private MaintenanceStore store;
    /** Null until the folder can be opened. */
    private ProcessLock processLock;
    private boolean lastCheckFailed;

    Maintenance(Config config, EventLoop loop, Driver driver, Sockets sockets) {
        this.loop = loop;
        this.driver = driver;
        this.sockets = sockets;
        this.checkIntervalUs = Math.max(MIN_CHECK_INTERVAL_US,
                config.settings().rules().drainGraceUs() / CHECKS_PER_DRAIN_GRACE);
        this.listenAddress = config.listen();
        this.stateFolder = config.stateFolder();
    }

    private void openFolder() throws IOException {
        if (store == null) {
            Path folder = createFolder(stateFolder, listenAddress);
            StartedRequests startedRequests = StartedRequests.shared(folder);
            processLock = new ProcessLock(folder);
            driver.shareStartedRequests(startedRequests);
            store = new MaintenanceStore(folder);
        }
    }

    /** Creates and returns the proxy's own folder, named after the address that it listens at. */
    private static Path createFolder(Path parent, InetSocketAddress listenAddress) throws IOException {
        String name = listenAddress.getAddress().getHostAddress() + "-" + listenAddress.getPort();
        return Files.createDirectories(parent.resolve("larkworks-" + name.replace(':', '_')));
    }

    /** Applies the stored commands; to be called on the loop, before the first request. */
    void start() {
        if (stateFolder == null) {
            LOG.warn("TMPDIR is not set: operators' commands about backends are lost when this process ends");
            return;
        }
        checkFolder();
    }

    /** Releases the lock that shows other processes that this one is alive. */
    void close() throws IOException {
        if (processLock != null) {
            processLock.close();
        }
    }

    private void checkFolder() {
        try {
            openFolder();
            sockets.setLimitShared(processLock.isOtherProcessAlive());
            Set<String> stored = store.backends();
            stored.forEach(backend -> driver.setMaintenance(backend, true));
            for (String backend : driver.backendsInMaintenance()) {
                if (!stored.contains(backend)) {
                    driver.setMaintenance(backend, false);
                }
            }
            lastCheckFailed = false;
        } catch (IOException e) {
            if (!lastCheckFailed) {
                LOG.error("can't read which backends are in maintenance; trying again", e);
            }
            lastCheckFailed = true;
        }
        loop.schedule(this::checkFolder, checkIntervalUs, TimeUnit.MICROSECONDS);
    }

    /** Puts a backend in maintenance, or lets it serve again. */
    Result setMaintenance(String backend, boolean inMaintenance) {
        if (!driver.isKnown(backend)) {
            return Result.UNKNOWN_BACKEND;
        }
        try {
            if (stateFolder != null) {
                openFolder();
            }
            if (store != null && inMaintenance) {
                store.add(backend);
            } else if (store != null) {
                store.remove(backend);
            }
        } catch (IOException e) {
            LOG.atError().addKeyValue("backend", backend).setCause(e)
                    .log("can't store an operator's command about a backend; it was not applied");
            return Result.NOT_STORED;
        }
        driver.setMaintenance(backend, inMaintenance);
        return Result.DONE;
    }
}
