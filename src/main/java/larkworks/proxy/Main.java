package larkworks.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.RequestClass;
import larkworks.fleet.FleetMember;
import larkworks.fleet.MemberState;
import larkworks.fleet.Membership;
import larkworks.platform.ConfigFile.Unusable;
import larkworks.platform.Logs;
import larkworks.shared.SharedState;
import larkworks.transport.PollTimes;
import larkworks.transport.SystemError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One proxy: its parts and its life from start to SIGTERM. */
public final class Main {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");

    /** New connections come for up to 0.4 s after SIGTERM; each still gets its answers. */
    private static final long ACCEPT_MS = 700;
    /** How often it is seen whether all is finished. */
    private static final long END_LOOK_MS = 10;
    /** SIGKILL comes no sooner than so long after the longest deadline, which counts as 3 s at the most. */
    private static final long KILL_MS = 700;
    private static final long LONGEST_MS = 3_000;
    /**
     * What comes late is answered so long before that: limits in time have 50 ms of slack on sockets, and the
     * process may be held up for 150 between reading its clock and writing.
     */
    private static final long KILL_MARGIN_MS = 200;
    /** Large bodies have no deadline; platforms commonly wait so long before they kill a process. */
    private static final long TRANSFER_MS = 30_000;

    /**
     * So long after the start of its parts the proxy waits for the first list, however that goes on; then the
     * one known from before serves. A restarted process may have to be ready within 6 s, of which loading and
     * warming up take up to 3 s where twenty start at once on shared cores.
     */
    private static final long LIST_WAIT_MS = 2_500;
    /** A socket to listen with that can't be had for a moment is asked for again, and for so long. */
    private static final long LISTEN_AGAIN_MS = 20;
    private static final long LISTEN_TRIES_MS = 5_000;
    /** How often it is seen whether that list has come. */
    private static final long LIST_LOOK_MS = 20;

    private final PollTimes polls = new PollTimes();
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, polls.observe(NioIoHandler.newFactory()));
    private final EventLoop loop = group.next();
    private final CountDownLatch finished = new CountDownLatch(1);
    private final Config config;
    private final Sockets sockets;
    private final Driver driver;
    private final Frontend frontend;
    private final Discovery discovery;
    /** Null where there is no second address. */
    private Maintenance maintenance;
    private Channel admin;
    /** Null where membership is off. */
    private final FleetMember member;
    /** Null where nothing is shared with other proxies. */
    private final SharedState shared;
    /** Null where no metrics are kept. */
    private final Meters meters;
    /** Null where this proxy takes no part in rollouts. */
    private Adoption adoption;
    private final Promise<InetSocketAddress> serving = loop.newPromise();

    Main(Config config) {
        this.config = config;
        sockets = new Sockets(config.sockets(), config.admin() == null ? 0 : Admin.MOST_CONNECTIONS + 1);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        meters = config.metrics() ? new Meters(config.settings().classes()) : null;
        driver = new Driver(config, new Clock(), loop, pool, meters);
        frontend = new Frontend(config, loop, sockets, driver, polls);
        discovery = new Discovery(config, loop, sockets, driver);
        member = config.fleet() == null ? null
                : new FleetMember(loop, config.fleet(), new MemberLog(),
                        text -> LOG.warn(text));
        shared = config.shared() == null ? null : share();
        if (meters != null) {
            measure();
            driver.invariants().onViolation(meters::violated);
            frontend.onAcceptFailure(meters::acceptFailed);
        }
        sockets.evictors(frontend::evictLingering, frontend::evictUnproven, pool::evict, frontend::evictIdle);
    }

    /**
     * Runs the proxy that a file describes; see {@link Config#read}.
     *
     * @param file the configuration's name, null where none was given
     * @param flags values that stand before the file's
     * @throws Unusable where the configuration, or an address in it, can't be used
     */
    public static void run(String file, Map<String, String> flags) throws Unusable, InterruptedException {
        Config config = Config.read(file, System.getenv(), flags);
        Logs.start(config.logs(), config.name().isEmpty() ? Map.of() : Map.of("node", config.name()));
        Main main = new Main(config);
        HangUp.handle(() -> main.reload(file, flags));
        if (config.rolloutReportMs() > 0) {
            main.adoption = new Adoption(config, main.loop, main.driver,
                    patch -> Config.read(file, System.getenv(), flags, patch).settings());
        }
        // Before anything is listened for: what comes then is finished, however early the signal is.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            main.finish();
            Logs.stop();
        }));
        main.start();
        main.awaitServing();
    }

    /** Joins the module's side, the fleet's and what is between them. */
    private SharedState share() {
        SharedState state = new SharedState(config.shared(), config.fleet().self(),
                config.fleet().peers().size(),
                config.settings().classes().stream().map(RequestClass::name).toList(),
                config.settings().rules().coldUs() / 1000, () -> driver.clock().nowUs() / 1000,
                // Processes given one seed must not all choose the same members to tell.
                new Random(config.seed() + config.fleet().self() * 0x9E3779B97F4A7C15L), member.peers(),
                driver.new FromPeers());
        member.carry(state);
        driver.share(state);
        return state;
    }

    /** Figures that are looked at when scraped, each safe to read from another thread. */
    private void measure() {
        meters.gauge("larkworks.discovery.index", discovery, d -> d.index());
        for (ListFreshness.State state : ListFreshness.State.values()) {
            meters.gauge("larkworks.list", discovery, d -> d.freshness() == state ? 1 : 0, "state",
                    state.name().toLowerCase(Locale.ROOT));
        }
        meters.gauge("larkworks.sockets.open", sockets, s -> s.open());
        meters.gauge("larkworks.loop.longest.gap.ms", polls, PollTimes::longestGapMs);
        if (member != null) {
            meters.gauge("larkworks.minority", member, m -> m.minority() ? 1 : 0);
            for (MemberState state : MemberState.values()) {
                meters.gauge("larkworks.members", member, m -> m.count(state), "state",
                        FleetMember.name(state));
            }
        }
    }

    /**
     * Starts everything. Without a second address clients are listened for at once; with one another process
     * may serve them still, so that this one takes its part only when it can serve.
     */
    void start() throws Unusable, InterruptedException {
        boolean shared = config.admin() != null;
        long listByNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIST_WAIT_MS);
        maintenance = shared ? new Maintenance(config, loop, driver, sockets) : null;
        loop.submit(() -> {
            polls.start(loop);
            driver.listChanged(ListKind.REMEMBERED,
                    config.known() == null ? List.of() : config.known().entries(),
                    driver.clock().nowUs(), Long.MIN_VALUE);
            if (shared) {
                maintenance.start();
            }
            discovery.start();
            if (member != null) {
                member.start();
            }
        }).sync();
        if (shared) {
            Admin operators = new Admin(loop, frontend::isReady, maintenance, tables(), meters);
            admin = listen(() -> operators.listen(config.admin()), config.admin());
        }
        // Warming up at the shared address would reach the other process, and backends through it.
        InetSocketAddress first = shared ? new InetSocketAddress(config.listen().getAddress(), 0)
                : config.listen();
        Channel listener = listen(() -> frontend.listen(first, false), first);
        InetSocketAddress self = (InetSocketAddress) listener.localAddress();
        loop.execute(() -> Warmup.run(config, loop, sockets, self, () -> {
            if (shared) {
                listener.close();
                serveOnceListed(listByNanos);
            } else {
                serving.trySuccess(self);
                // What discovery has may count as told from the first moment on.
                discovery.whenSettled(this::ready);
                loop.schedule(discovery::settle, listByNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
            }
        }));
    }

    /** What membership tells the operator: each change of the view, and whether it is to be trusted. */
    private static final class MemberLog implements Membership.Events {
        private static final Logger MEMBERS = LoggerFactory.getLogger("members");

        @Override
        public void changed(int about, MemberState from, MemberState to, long incarnation) {
            MEMBERS.atInfo().addKeyValue("about", about).addKeyValue("from", FleetMember.name(from))
                    .addKeyValue("to", FleetMember.name(to)).addKeyValue("incarnation", incarnation)
                    .log("changed");
        }

        @Override
        public void dropped(String why) {
            // Counted in the table; a line for each would hand the log to whoever floods the address.
        }

        @Override
        public void minority(boolean now) {
            MEMBERS.warn(now ? "minority" : "majority");
        }
    }

    /** What the second address shows beside readiness, by path. */
    private Map<String, Supplier<String>> tables() {
        Map<String, Supplier<String>> tables = new HashMap<>();
        if (member != null) {
            tables.put("/ops/members", member::table);
        }
        if (shared != null) {
            tables.put("/ops/shared", shared::json);
        }
        return tables;
    }

    /** Listens; where the system has no socket for a moment, that must not end the start. */
    private static Channel listen(Supplier<ChannelFuture> binding, InetSocketAddress address)
            throws Unusable, InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_TRIES_MS);
        ChannelFuture bound = binding.get().await();
        while (!bound.isSuccess() && SystemError.of(bound.cause()).isMomentary()
                && System.nanoTime() - untilNanos < 0) {
            Thread.sleep(LISTEN_AGAIN_MS);
            bound = binding.get().await();
        }
        if (!bound.isSuccess()) {
            throw new Unusable("can't listen at " + address, List.of(bound.cause().getMessage()));
        }
        return bound.channel();
    }

    /** The list known from the configuration may be old, so a new one is waited for, but not for long. */
    private void serveOnceListed(long untilNanos) {
        if (frontend.isDraining()) {
            // Told to end during its start: another process serves at the address, or will.
            return;
        }
        boolean waited = discovery.heard() || System.nanoTime() - untilNanos > 0;
        if (!waited || !driver.canServe()) {
            loop.schedule(() -> serveOnceListed(untilNanos), LIST_LOOK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        ChannelFuture bound = frontend.listen(config.listen(), true);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                ready();
                serving.trySuccess((InetSocketAddress) bound.channel().localAddress());
            } else if (SystemError.of(done.cause()).isMomentary()) {
                loop.schedule(() -> serveOnceListed(untilNanos), LISTEN_AGAIN_MS, TimeUnit.MILLISECONDS);
            } else {
                serving.tryFailure(done.cause());
            }
        });
    }

    private void ready() {
        frontend.setWarmedUp();
        if (adoption != null) {
            adoption.start();
        }
    }

    /** Turns to the discovery that the replaced file names; all else in it waits for a restart. */
    private synchronized void reload(String file, Map<String, String> flags) {
        try {
            Config next = Config.read(file, System.getenv(), flags);
            List<String> keys = config.restartNeeded(next);
            if (!keys.isEmpty()) {
                LOG.atWarn().addKeyValue("keys", keys).log("a change that needs a restart is not taken up");
            }
            loop.execute(() -> discovery.moveTo(next.discovery()));
        } catch (Unusable e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("the old configuration is kept");
        }
    }

    /** What is held for clients: requests, how many of them past their deadline, bodies, connections. */
    record Held(boolean requests, int overdue, int bodyBytes, int connections, long violations) { }

    /** What is held for clients now, for tests that show it given back; to be asked on the loop. */
    Held held() {
        return new Held(!driver.isIdle(), driver.overdue().size(), frontend.bufferedBytes(),
                frontend.openConnections(), driver.invariants().count());
    }

    /** The one loop, for tests that make several things happen in one turn of it. */
    EventLoop loop() {
        return loop;
    }

    /** Where the operators' calls come; only after a start with a second address. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) admin.localAddress();
    }

    /** Waits until the proxy serves, and tells where. */
    InetSocketAddress awaitServing() throws Unusable, InterruptedException {
        serving.await();
        if (!serving.isSuccess()) {
            throw new Unusable("can't listen at " + config.listen(),
                    List.of(serving.cause().getMessage()));
        }
        return serving.getNow();
    }

    /**
     * Finishes what was taken, while the JVM waits for this before it exits. It ends only once that is done:
     * whatever was left then would be lost, while SIGKILL may come later than it could.
     */
    void finish() {
        // Not on the loop, which may come to it late.
        long toldUs = driver.clock().nowUs();
        loop.execute(() -> {
            if (!frontend.isListening() && member == null) {
                // Nothing was taken, and nobody is to be told.
                finished.countDown();
                return;
            }
            frontend.drain();
            if (adoption != null) {
                adoption.close();
            }
            if (member != null) {
                member.leave();
            }
            // What comes over 0.7 s after the signal must not be found unanswered by the earliest SIGKILL. It
            // may have been sent some time before it was heard here, so that the bound holds sooner.
            long killMs = Math.min(LONGEST_MS, longestMs()) + KILL_MS;
            driver.answerBy(toldUs + (ACCEPT_MS - KILL_MARGIN_MS) * 1000,
                    toldUs + (killMs - KILL_MARGIN_MS) * 1000);
            loop.schedule(() -> {
                frontend.stopListening();
                endWhenIdle();
            }, ACCEPT_MS, TimeUnit.MILLISECONDS);
        });
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long longestMs() {
        return config.settings().classes().stream().mapToLong(RequestClass::deadlineUs).max().orElse(0)
                / 1000;
    }

    /** All answers have then left: each closes its connection. */
    private void endWhenIdle() {
        frontend.closeUnusedConnections();
        boolean late = driver.clock().nowUs() > driver.lastDueUs() + TRANSFER_MS * 1000;
        if (late) {
            LOG.warn("stopped with requests that have not ended");
            driver.logPending("the process ends");
        }
        if (late || driver.isIdle() && frontend.isEmpty()) {
            driver.invariants().check(driver.isIdle() && frontend.isEmpty() && frontend.bufferedBytes() == 0,
                    Invariants.Rule.NOTHING_LEFT, "", () -> held().toString());
            finished.countDown();
        } else {
            loop.schedule(this::endWhenIdle, END_LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the proxy at once. */
    void close() {
        loop.execute(discovery::close);
        if (member != null) {
            loop.execute(member::leave);
        }
        if (meters != null) {
            meters.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try {
            if (maintenance != null) {
                maintenance.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
