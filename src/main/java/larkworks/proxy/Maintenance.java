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
 * What processes of this proxy have in common, as during a replacement two are alive. Keeps the operators'
 * calls about backends where they outlive the process, tells the driver, and sees the calls that came to the
 * other process; while there is one, descriptors are shared with it.
 */
final class Maintenance {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** What became of a call. */
    enum Result { DONE, UNKNOWN, NOT_KEPT }

    /** Looks for the other process's calls in each fifth of the grace that a drain has; a look is cheap. */
    private static final int LOOKS_IN_GRACE = 5;
    private static final long LEAST_PAUSE_US = 10_000;

    private final EventLoop loop;
    private final Driver driver;
    private final Sockets sockets;
    private final long pauseUs;
    private final InetSocketAddress listen;
    /** Outlives this process; null where none does: calls then hold as long as it lives. */
    private final Path state;
    /** Null until the folder can be had: a disk may fail for a while, which must not end the start. */
    private Absences kept;
    /** Null likewise. */
    private Presence presence;
    private boolean failing;

    Maintenance(Config config, EventLoop loop, Driver driver, Sockets sockets) {
        this.loop = loop;
        this.driver = driver;
        this.sockets = sockets;
        this.pauseUs = Math.max(LEAST_PAUSE_US, config.settings().rules().drainGraceUs() / LOOKS_IN_GRACE);
        this.listen = config.listen();
        this.state = config.state();
    }

    private void open() throws IOException {
        if (kept == null) {
            Path folder = folder(state, listen);
            presence = new Presence(folder);
            kept = new Absences(folder);
        }
    }

    /** Each proxy has a folder of its own, by the address it listens on. */
    private static Path folder(Path parent, InetSocketAddress listen) throws IOException {
        String name = listen.getAddress().getHostAddress() + "-" + listen.getPort();
        return Files.createDirectories(parent.resolve("larkworks-" + name.replace(':', '_')));
    }

    /** Takes up what was called before; to be run on the loop, before the first request. */
    void start() {
        if (state == null) {
            LOG.warn("TMPDIR is not set, calls about backends end with this process");
            return;
        }
        look();
    }

    /** Ends what shows other processes that this one lives. */
    void close() throws IOException {
        if (presence != null) {
            presence.close();
        }
    }

    private void look() {
        try {
            open();
            sockets.setLimitShared(presence.accompanied());
            Set<String> told = kept.read();
            told.forEach(backend -> driver.setMaintenance(backend, true));
            for (String backend : driver.backendsInMaintenance()) {
                if (!told.contains(backend)) {
                    driver.setMaintenance(backend, false);
                }
            }
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                LOG.error("can't look for backends called out", e);
            }
            failing = true;
        }
        loop.schedule(this::look, pauseUs, TimeUnit.MICROSECONDS);
    }

    /** Leaves a backend out, or lets it serve again. */
    Result call(String backend, boolean leave) {
        if (!driver.isKnown(backend)) {
            return Result.UNKNOWN;
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
            LOG.atError().addKeyValue("backend", backend).setCause(e).log("a call can't be kept");
            return Result.NOT_KEPT;
        }
        driver.setMaintenance(backend, leave);
        return Result.DONE;
    }
}
