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
 * that the other process received, and passes all of them to the driver. While another process is alive, the
 * descriptors are divided between the two.
 */
final class Maintenance {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** The outcome of an operator's command. */
    enum Result { DONE, UNKNOWN_BACKEND, NOT_STORED }

    /** Checks of the folder within the grace of a drain; a check is cheap. */
    private static final int LOOKS_IN_GRACE = 5;
    private static final long LEAST_PAUSE_US = 10_000;

    private final EventLoop loop;
    private final Driver driver;
    private final Sockets sockets;
    private final long pauseUs;
    private final InetSocketAddress listen;
    /** Folder that outlives this process; null if none is given: commands then end with the process. */
    private final Path state;
    /** Null until the folder can be opened: a disk that fails for a while must not prevent the start. */
    private MaintenanceStore kept;
    /** Null until the folder can be opened. */
    private ProcessLock presence;
    private boolean failing;

    Maintenance(Config config, EventLoop loop, Driver driver, Sockets sockets) {
        this.loop = loop;
        this.driver = driver;
        this.sockets = sockets;
        this.pauseUs = Math.max(LEAST_PAUSE_US, config.settings().rules().drainGraceUs() / LOOKS_IN_GRACE);
        this.listen = config.listen();
        this.state = config.stateFolder();
    }

    private void open() throws IOException {
        if (kept == null) {
            Path folder = folder(state, listen);
            presence = new ProcessLock(folder);
            kept = new MaintenanceStore(folder);
        }
    }

    /** Creates and returns the proxy's own folder, named after the address that it listens at. */
    private static Path folder(Path parent, InetSocketAddress listen) throws IOException {
        String name = listen.getAddress().getHostAddress() + "-" + listen.getPort();
        return Files.createDirectories(parent.resolve("larkworks-" + name.replace(':', '_')));
    }

    /** Applies the stored commands; to be called on the loop, before the first request. */
    void start() {
        if (state == null) {
            LOG.warn("TMPDIR is not set: operators' commands about backends are lost when this process ends");
            return;
        }
        look();
    }

    /** Releases the lock by which other processes see that this one is alive. */
    void close() throws IOException {
        if (presence != null) {
            presence.close();
        }
    }

    private void look() {
        try {
            open();
            sockets.share(presence.isOtherProcessAlive());
            Set<String> told = kept.backends();
            told.forEach(backend -> driver.maintenance(backend, true));
            for (String backend : driver.out()) {
                if (!told.contains(backend)) {
                    driver.maintenance(backend, false);
                }
            }
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                LOG.error("can't read which backends are in maintenance; trying again", e);
            }
            failing = true;
        }
        loop.schedule(this::look, pauseUs, TimeUnit.MICROSECONDS);
    }

    /** Puts a backend in maintenance, or lets it serve again. */
    Result setMaintenance(String backend, boolean leave) {
        if (!driver.knows(backend)) {
            return Result.UNKNOWN_BACKEND;
        }
        try {
            if (state != null) {
                open();
            }
            if (kept != null && leave) {
                kept.add(backend);
            } else if (kept != null) {
                kept.remove(backend);
            }
        } catch (IOException e) {
            LOG.atError().addKeyValue("backend", backend).setCause(e)
                    .log("can't store an operator's command about a backend; it was not applied");
            return Result.NOT_STORED;
        }
        driver.maintenance(backend, leave);
        return Result.DONE;
    }
}
