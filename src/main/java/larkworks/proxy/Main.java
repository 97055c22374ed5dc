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

/** One proxy: creates its parts and runs its lifecycle, from the start to the shutdown after SIGTERM. */
public final class Main {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");

    /**
     * How long connections are accepted after SIGTERM: new ones arrive for up to 0.4 s after it, and their
     * requests are answered too.
     */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 700;
    /** How often the shutdown checks whether all requests have ended. */
    private static final long SHUTDOWN_CHECK_INTERVAL_MS = 10;
    /**
     * The platform sends SIGKILL no sooner than after the longest deadline of any request class plus this
     * time.
     */
    private static final long MIN_KILL_DELAY_MS = 700;
    /** For the earliest time of SIGKILL, the platform replaces a longer deadline by this one. */
    private static final long MAX_DEADLINE_MS = 3_000;
    /**
     * Deadlines of requests that arrive late in the shutdown end this long before the earliest SIGKILL: an
     * answer may be written 50 ms after its deadline, and the process may pause for 150 ms between reading
     * its clock and writing.
     */
    private static final long KILL_MARGIN_MS = 200;
    /**
     * How long the shutdown waits for large bodies, which have no deadline; platforms commonly wait this long
     * before they kill a process.
     */
    private static final long LARGE_BODY_TIMEOUT_MS = 30_000;

    /**
     * Maximum wait for the first list, from the start of the proxy's parts; after it the proxy serves with
     * the list from its configuration. A restarted process may have to be ready within 6 s, of which class
     * loading and warm-up take up to 3 s if twenty processes start at once on shared cores.
     */
    private static final long MAX_LIST_WAIT_MS = 2_500;
    /** Pause before another attempt to listen, if the system was short of sockets only for a moment. */
    private static final long LISTEN_RETRY_MS = 20;
    /** How long attempts to listen are repeated during the start. */
    private static final long LISTEN_TIMEOUT_MS = 5_000;
    /** How often the start checks whether the first list has arrived. */
    private static final long LIST_CHECK_INTERVAL_MS = 20;

    private final PollTimes pollTimes = new PollTimes();
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, pollTimes.observe(NioIoHandler.newFactory()));
    private final EventLoop loop = eventLoopGroup.next();
    private final CountDownLatch shutdownComplete = new CountDownLatch(1);
    private final Config config;
    private final Sockets sockets;
    private final Driver driver;
    private final Frontend frontend;
    private final Discovery discovery;
    /** Null without an admin address. */
    private Maintenance maintenance;
    private Channel adminListener;
    /** Null if membership is off. */
    private final FleetMember fleetMember;
    /** Null if no state is shared with other proxies. */
    private final SharedState sharedState;
    /** Null if metrics are off. */
    private final Meters meters;
    /** Null if this proxy does not take part in rollouts. */
    private RolloutClient rolloutClient;
    private final Promise<InetSocketAddress> servingAddress = loop.newPromise();

    Main(Config config) {
        this.config = config;
        sockets = new Sockets(config.sockets(),
                config.adminAddress() == null ? 0 : AdminServer.MAX_CONNECTIONS + 1);
        MemoryBudget answers = new MemoryBudget(BackendPool.MAX_ANSWERS_BYTES);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs(),
                answers);
        meters = config.metricsEnabled() ? new Meters(config.settings().classes()) : null;
        driver = new Driver(config, new Clock(), loop, pool, meters);
        frontend = new Frontend(config, loop, sockets, driver, pollTimes, answers);
        discovery = new Discovery(config, loop, sockets, driver);
        fleetMember = config.fleet() == null ? null
                : new FleetMember(loop, config.fleet(), new MembershipLog(),
                        text -> LOG.warn(text));
        sharedState = config.shared() == null ? null : createSharedState();
        if (meters != null) {
            registerGauges();
            driver.invariants().onViolation(meters::invariantViolated);
            frontend.onAcceptFailure(meters::acceptFailed);
        }
        sockets.setEvictors(frontend::evictLingering, frontend::evictUnproven, pool::evictLongestIdle,
                frontend::evictIdle);
    }

    /**
     * Runs the proxy with the configuration in a file, read by {@link Config#read}, until it serves.
     *
     * @param file the name of the configuration file, null if none was given
     * @param flags values by key that override those of the file
     * @throws Unusable if the configuration is invalid, or an address in it can't be listened at
     */
    public static void run(String file, Map<String, String> flags) throws Unusable, InterruptedException {
        Config config = Config.read(file, System.getenv(), flags);
        Logs.start(config.logs(), config.name().isEmpty() ? Map.of() : Map.of("node", config.name()));
        Main main = new Main(config);
        SighupHandler.install(() -> main.reload(file, flags));
        if (config.rolloutReportMs() > 0) {
            main.rolloutClient = new RolloutClient(config, main.loop, main.driver,
                    patch -> Config.read(file, System.getenv(), flags, patch).settings());
        }
        // Registered before the proxy listens, so that requests are finished however early SIGTERM comes.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            main.drainAndWait();
            Logs.stop();
        }));
        main.start();
        main.awaitServing();
    }

    /** Creates the state shared with other proxies and connects it with the driver and the fleet member. */
    private SharedState createSharedState() {
        SharedState state = new SharedState(config.shared(), config.fleet().self(),
                config.fleet().peers().size(),
                config.settings().classes().stream().map(RequestClass::name).toList(),
                config.settings().rules().coldUs() / 1000, () -> driver.clock().nowUs() / 1000,
                // Mixes in the member's number: proxies with the same seed must choose different members.
                new Random(config.seed() + config.fleet().self() * 0x9E3779B97F4A7C15L), fleetMember.peers(),
                driver.new PeerStateListener());
        fleetMember.carry(state);
        driver.shareState(state);
        return state;
    }

    /** Registers the gauges that are read at each scrape, from another thread than the loop. */
    private void registerGauges() {
        meters.registerGauge("larkworks.discovery.index", discovery, d -> d.index());
        for (ListFreshness.State state : ListFreshness.State.values()) {
            meters.registerGauge("larkworks.list", discovery, d -> d.freshness() == state ? 1 : 0, "state",
                    state.name().toLowerCase(Locale.ROOT));
        }
        meters.registerGauge("larkworks.sockets.open", sockets, s -> s.openCount());
        meters.registerGauge("larkworks.clients.connections", frontend, f -> f.openConnections());
        meters.registerGauge("larkworks.clients.buffered.bytes", frontend, f -> f.bufferedBytes());
        meters.registerGauge("larkworks.answers.bytes", frontend, f -> f.answerBytes());
        meters.registerGauge("larkworks.heap.used.bytes", Runtime.getRuntime(),
                heap -> heap.totalMemory() - heap.freeMemory());
        meters.registerGauge("larkworks.loop.longest.gap.ms", pollTimes, PollTimes::longestGapMs);
        if (fleetMember != null) {
            meters.registerGauge("larkworks.minority", fleetMember, m -> m.minority() ? 1 : 0);
            for (MemberState state : MemberState.values()) {
                meters.registerGauge("larkworks.members", fleetMember, m -> m.count(state), "state",
                        FleetMember.name(state));
            }
        }
    }

    /**
     * Starts all parts. Without an admin address the proxy listens for clients at once. With one, another
     * process of this proxy may still serve at the same address, so this process listens there only when it
     * can serve.
     */
    void start() throws Unusable, InterruptedException {
        boolean hasAdminAddress = config.adminAddress() != null;
        long listDeadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_LIST_WAIT_MS);
        maintenance = hasAdminAddress ? new Maintenance(config, loop, driver, sockets) : null;
        loop.submit(() -> {
            pollTimes.start(loop);
            driver.listChanged(ListKind.REMEMBERED,
                    config.knownList() == null ? List.of() : config.knownList().entries(),
                    driver.clock().nowUs(), Long.MIN_VALUE);
            if (hasAdminAddress) {
                maintenance.start();
            }
            discovery.start();
            if (fleetMember != null) {
                fleetMember.start();
            }
        }).sync();
        if (hasAdminAddress) {
            AdminServer adminServer = new AdminServer(loop, frontend::isReady, maintenance, jsonTables(),
                    meters);
            adminListener = listenWithRetries(() -> adminServer.listen(config.adminAddress()),
                    config.adminAddress());
        }
        // With an admin address, the warm-up uses a temporary port: at the configured address its requests
        // could reach the other process and, through it, backends.
        InetSocketAddress initialAddress = hasAdminAddress
                ? new InetSocketAddress(config.listen().getAddress(), 0) : config.listen();
        Channel listener = listenWithRetries(() -> frontend.listen(initialAddress, false), initialAddress);
        InetSocketAddress listenerAddress = (InetSocketAddress) listener.localAddress();
        loop.execute(() -> Warmup.run(config, loop, sockets, listenerAddress, () -> {
            if (hasAdminAddress) {
                listener.close();
                serveOnceListReceived(listDeadlineNs);
            } else {
                servingAddress.trySuccess(listenerAddress);
                // The platform may regard changes at discovery as delivered to the proxy from its start on,
                // so the proxy is not ready before the first call has ended.
                discovery.onFirstCallEnded(this::becomeReady);
                loop.schedule(discovery::markFirstCallEnded, listDeadlineNs - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
            }
        }));
    }

    /** Logs each change of a member's state, and whether this proxy sees a minority or a majority. */
    private static final class MembershipLog implements Membership.Events {
        private static final Logger MEMBERS_LOG = LoggerFactory.getLogger("members");

        @Override
        public void changed(int about, MemberState from, MemberState to, long incarnation) {
            MEMBERS_LOG.atInfo().addKeyValue("about", about).addKeyValue("from", FleetMember.name(from))
                    .addKeyValue("to", FleetMember.name(to)).addKeyValue("incarnation", incarnation)
                    .log("changed");
        }

        @Override
        public void dropped(String why) {
            // Dropped datagrams are counted in the members table but not logged: a flood of them would
            // fill the log.
        }

        @Override
        public void minority(boolean now) {
            MEMBERS_LOG.warn(now ? "minority" : "majority");
        }
    }

    /** Returns the JSON tables that the admin address serves, by path. */
    private Map<String, Supplier<String>> jsonTables() {
        Map<String, Supplier<String>> jsonTables = new HashMap<>();
        if (fleetMember != null) {
            jsonTables.put("/ops/members", fleetMember::table);
        }
        if (sharedState != null) {
            jsonTables.put("/ops/shared", sharedState::json);
        }
        return jsonTables;
    }

    /** Waits for a listener to bind; retries if the system is short of sockets only for a moment. */
    private static Channel listenWithRetries(Supplier<ChannelFuture> binding, InetSocketAddress address)
            throws Unusable, InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LISTEN_TIMEOUT_MS);
        ChannelFuture bindFuture = binding.get().await();
        while (!bindFuture.isSuccess() && SystemError.of(bindFuture.cause()).isMomentary()
                && System.nanoTime() - deadlineNs < 0) {
            Thread.sleep(LISTEN_RETRY_MS);
            bindFuture = binding.get().await();
        }
        if (!bindFuture.isSuccess()) {
            throw new Unusable("can't listen at " + address, List.of(bindFuture.cause().getMessage()));
        }
        return bindFuture.channel();
    }

    /**
     * Listens for clients once a list has been received and a backend can serve. The list in the
     * configuration may be old, so it is used without a received one only after {@code deadlineNs}.
     */
    private void serveOnceListReceived(long deadlineNs) {
        if (frontend.isDraining()) {
            // SIGTERM arrived during the start; another process serves at the address or soon will.
            return;
        }
        boolean listWaitEnded = discovery.hasReceivedList() || System.nanoTime() - deadlineNs > 0;
        if (!listWaitEnded || !driver.canServe()) {
            loop.schedule(() -> serveOnceListReceived(deadlineNs), LIST_CHECK_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        ChannelFuture bindFuture = frontend.listen(config.listen(), true);
        bindFuture.addListener(done -> {
            if (done.isSuccess()) {
                becomeReady();
                servingAddress.trySuccess((InetSocketAddress) bindFuture.channel().localAddress());
            } else if (SystemError.of(done.cause()).isMomentary()) {
                loop.schedule(() -> serveOnceListReceived(deadlineNs), LISTEN_RETRY_MS,
                        TimeUnit.MILLISECONDS);
            } else {
                servingAddress.tryFailure(done.cause());
            }
        });
    }

    private void becomeReady() {
        frontend.setWarmedUp();
        if (rolloutClient != null) {
            rolloutClient.start();
        }
    }

    /** Switches to the discovery addresses in the replaced file; its other changes need a restart. */
    private synchronized void reload(String file, Map<String, String> flags) {
        try {
            Config newConfig = Config.read(file, System.getenv(), flags);
            List<String> keys = config.keysNeedingRestart(newConfig);
            if (!keys.isEmpty()) {
                LOG.atWarn().addKeyValue("keys", keys)
                        .log("changes of these keys need a restart and were not applied");
            }
            loop.execute(() -> discovery.switchTo(newConfig.discovery()));
        } catch (Unusable e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("the old configuration is kept");
        }
    }

    /**
     * Requests and resources of clients at one moment, and violated invariants since the start.
     *
     * @param hasRequests whether any request has not ended
     * @param requestsPastDeadline requests whose clients wait for an answer past the deadline
     * @param bodyBytes buffered bytes of request bodies
     * @param connections open connections of clients
     * @param violations violations of invariants
     */
    record ClientUsage(boolean hasRequests, int requestsPastDeadline, int bodyBytes, int connections,
            long violations) { }

    /** Returns the requests and resources of clients now; to be called on the loop. */
    ClientUsage clientUsage() {
        return new ClientUsage(!driver.isIdle(), driver.requestsPastDeadline().size(),
                frontend.bufferedBytes(), frontend.openConnections(), driver.invariants().violationCount());
    }

    /** Returns the proxy's only event loop, so that tests can run several steps in one iteration. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the bound admin address; only after a start with an admin address. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) adminListener.localAddress();
    }

    /** Waits until the proxy serves and returns the address that it listens at. */
    InetSocketAddress awaitServing() throws Unusable, InterruptedException {
        servingAddress.await();
        if (!servingAddress.isSuccess()) {
            throw new Unusable("can't listen at " + config.listen(),
                    List.of(servingAddress.cause().getMessage()));
        }
        return servingAddress.getNow();
    }

    /**
     * Shuts down after SIGTERM: drains and waits until all requests have ended, while the JVM, which runs
     * this as a shutdown hook, waits before it exits. Requests pending when the process exits would be lost,
     * so the shutdown takes as long as they need, even past the earliest time at which SIGKILL may come.
     */
    void drainAndWait() {
        // Reads the clock before the task below is queued, as a busy loop may run that task late.
        long sigtermUs = driver.clock().nowUs();
        loop.execute(() -> {
            if (!frontend.isListening() && fleetMember == null) {
                // No requests were accepted, and there are no members to notify.
                shutdownComplete.countDown();
                return;
            }
            frontend.drain();
            if (rolloutClient != null) {
                rolloutClient.close();
            }
            if (fleetMember != null) {
                fleetMember.leave();
            }
            // A request sent over 0.7 s after SIGTERM must be answered before the earliest SIGKILL. SIGTERM
            // may have been sent some time before this process handled it, so the limit applies to earlier
            // requests too.
            long earliestKillMs = Math.min(MAX_DEADLINE_MS, longestDeadlineMs()) + MIN_KILL_DELAY_MS;
            driver.limitDeadlines(sigtermUs + (ACCEPT_AFTER_SIGTERM_MS - KILL_MARGIN_MS) * 1000,
                    sigtermUs + (earliestKillMs - KILL_MARGIN_MS) * 1000);
            loop.schedule(() -> {
                frontend.stopListening();
                completeShutdownWhenIdle();
            }, ACCEPT_AFTER_SIGTERM_MS, TimeUnit.MILLISECONDS);
        });
        try {
            shutdownComplete.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long longestDeadlineMs() {
        return config.settings().classes().stream().mapToLong(RequestClass::deadlineUs).max().orElse(0)
                / 1000;
    }

    /**
     * Ends the shutdown once all requests have ended and all connections are closed, which each answer does
     * while the proxy drains, or once the time for large bodies is over.
     */
    private void completeShutdownWhenIdle() {
        frontend.closeUnusedConnections();
        boolean timedOut = driver.clock().nowUs() > driver.latestDeadlineUs() + LARGE_BODY_TIMEOUT_MS * 1000;
        if (timedOut) {
            LOG.warn("stopped with requests that have not ended");
            driver.logPending("the process ends");
        }
        if (timedOut || driver.isIdle() && frontend.isEmpty()) {
            driver.invariants().check(driver.isIdle() && frontend.isEmpty() && frontend.bufferedBytes() == 0,
                    Invariants.Rule.NOTHING_LEFT, "", () -> clientUsage().toString());
            shutdownComplete.countDown();
        } else {
            loop.schedule(this::completeShutdownWhenIdle, SHUTDOWN_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the proxy at once, without draining. */
    void close() {
        loop.execute(discovery::close);
        if (fleetMember != null) {
            loop.execute(fleetMember::leave);
        }
        if (meters != null) {
            meters.close();
        }
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try {
            if (maintenance != null) {
                maintenance.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
