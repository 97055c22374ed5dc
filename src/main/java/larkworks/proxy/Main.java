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
    private static final long ACCEPT_MS = 700;
    /** How often the shutdown checks whether all requests have ended. */
    private static final long END_LOOK_MS = 10;
    /**
     * The platform sends SIGKILL no sooner than after the longest deadline of any request class, counted as
     * 3 s at most, plus this time.
     */
    private static final long KILL_MS = 700;
    private static final long LONGEST_MS = 3_000;
    /**
     * Requests that arrive late in the shutdown are answered so long before SIGKILL: time limits have 50 ms
     * of slack on sockets, and the process may pause for 150 ms between reading its clock and writing.
     */
    private static final long KILL_MARGIN_MS = 200;
    /**
     * How long the shutdown waits for large bodies, which have no deadline; platforms commonly wait this long
     * before they kill a process.
     */
    private static final long TRANSFER_MS = 30_000;

    /**
     * Maximum wait for the first list, from the start of the proxy's parts; after it the proxy serves with
     * the list from its configuration. A restarted process may have to be ready within 6 s, of which class
     * loading and warm-up take up to 3 s if twenty processes start at once on shared cores.
     */
    private static final long LIST_WAIT_MS = 2_500;
    /** Pause between attempts to listen that fail for a passing reason, and how long they are repeated. */
    private static final long LISTEN_AGAIN_MS = 20;
    private static final long LISTEN_TRIES_MS = 5_000;
    /** How often the start checks whether the first list has arrived. */
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
    /** Null without an admin address. */
    private Maintenance maintenance;
    private Channel admin;
    /** Null if membership is off. */
    private final FleetMember member;
    /** Null if no state is shared with other proxies. */
    private final SharedState shared;
    /** Null if metrics are off. */
    private final Meters meters;
    /** Null if this proxy does not take part in rollouts. */
    private RolloutClient adoption;
    private final Promise<InetSocketAddress> serving = loop.newPromise();

    Main(Config config) {
        this.config = config;
        sockets = new Sockets(config.sockets(),
                config.adminAddress() == null ? 0 : AdminServer.MAX_CONNECTIONS + 1);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        meters = config.metricsEnabled() ? new Meters(config.settings().classes()) : null;
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
        sockets.evictors(frontend::evictLingering, frontend::evictStranger, pool::evict, frontend::evict);
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
            main.adoption = new RolloutClient(config, main.loop, main.driver,
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
    private SharedState share() {
        SharedState state = new SharedState(config.shared(), config.fleet().self(),
                config.fleet().peers().size(),
                config.settings().classes().stream().map(RequestClass::name).toList(),
                config.settings().rules().coldUs() / 1000, () -> driver.clock().nowUs() / 1000,
                // Mixes in the member's number: proxies with the same seed must choose different members.
                new Random(config.seed() + config.fleet().self() * 0x9E3779B97F4A7C15L), member.peers(),
                driver.new FromPeers());
        member.carry(state);
        driver.share(state);
        return state;
    }

    /** Registers the gauges that are read at each scrape, from another thread than the loop. */
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
     * Starts all parts. Without an admin address the proxy listens for clients at once. With one, another
     * process of this proxy may still serve at the same address, so this process listens there only when it
     * can serve.
     */
    void start() throws Unusable, InterruptedException {
        boolean shared = config.adminAddress() != null;
        long listByNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIST_WAIT_MS);
        maintenance = shared ? new Maintenance(config, loop, driver, sockets) : null;
        loop.submit(() -> {
            polls.start(loop);
            driver.listChanged(ListKind.REMEMBERED,
                    config.knownList() == null ? List.of() : config.knownList().entries(),
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
            AdminServer operators = new AdminServer(loop, frontend::serves, maintenance, tables(), meters);
            admin = listen(() -> operators.listen(config.adminAddress()), config.adminAddress());
        }
        // Warm-up at the shared address could reach the other process and, through it, its backends.
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
                // Changes at discovery may count as delivered from the start, so the first call must have
                // ended.
                discovery.onFirstCallEnded(this::ready);
                loop.schedule(discovery::markFirstCallEnded, listByNanos - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
            }
        }));
    }

    /** Logs each change of a member's state, and whether this proxy sees a minority or a majority. */
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
            // Only counted, in the members table: a log line for each datagram would let a flood fill the
            // log.
        }

        @Override
        public void minority(boolean now) {
            MEMBERS.warn(now ? "minority" : "majority");
        }
    }

    /** Returns the JSON tables that the admin address serves, by path. */
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

    /** Waits for a listener to bind; retries if the system is short of sockets only for a moment. */
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

    /**
     * Listens for clients once a list has been received and a backend can serve. The list in the
     * configuration may be old; after {@code untilNanos} it suffices all the same.
     */
    private void serveOnceListed(long untilNanos) {
        if (frontend.drains()) {
            // SIGTERM arrived during the start; another process serves at the address or soon will.
            return;
        }
        boolean waited = discovery.hasReceivedList() || System.nanoTime() - untilNanos > 0;
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
        frontend.ready();
        if (adoption != null) {
            adoption.start();
        }
    }

    /** Switches to the discovery addresses in the replaced file; its other changes need a restart. */
    private synchronized void reload(String file, Map<String, String> flags) {
        try {
            Config next = Config.read(file, System.getenv(), flags);
            List<String> keys = config.restartNeeded(next);
            if (!keys.isEmpty()) {
                LOG.atWarn().addKeyValue("keys", keys)
                        .log("changes of these keys need a restart and were not applied");
            }
            loop.execute(() -> discovery.switchTo(next.discovery()));
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
        return new ClientUsage(!driver.isIdle(), driver.overdue().size(), frontend.heldBytes(),
                frontend.connections(), driver.invariants().count());
    }

    /** Returns the proxy's only event loop, so that tests can run several steps in one iteration. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the bound admin address; only after a start with an admin address. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) admin.localAddress();
    }

    /** Waits until the proxy serves and returns the address that it listens at. */
    InetSocketAddress awaitServing() throws Unusable, InterruptedException {
        serving.await();
        if (!serving.isSuccess()) {
            throw new Unusable("can't listen at " + config.listen(),
                    List.of(serving.cause().getMessage()));
        }
        return serving.getNow();
    }

    /**
     * Shuts down after SIGTERM: drains and waits until all requests have ended, while the JVM, which runs
     * this as a shutdown hook, waits before it exits. Requests left at its end would be lost, so it takes as
     * long as they need: SIGKILL may come later than its earliest time.
     */
    void drainAndWait() {
        // Read here and not on the loop, which may be busy and run the task late.
        long toldUs = driver.clock().nowUs();
        loop.execute(() -> {
            if (!frontend.listens() && member == null) {
                // No requests were accepted, and there are no members to notify.
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
            // A request sent over 0.7 s after SIGTERM must be answered before the earliest SIGKILL. SIGTERM
            // may have been sent some time before this process handled it, so the bound starts sooner.
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

    /**
     * Ends the shutdown once all requests have ended and all connections are closed, which each answer does
     * while the proxy drains, or once the time for large bodies is over.
     */
    private void endWhenIdle() {
        frontend.closeUnused();
        boolean late = driver.clock().nowUs() > driver.lastDueUs() + TRANSFER_MS * 1000;
        if (late) {
            LOG.warn("stopped with requests that have not ended");
            driver.logPending("the process ends");
        }
        if (late || driver.isIdle() && frontend.isEmpty()) {
            driver.invariants().check(driver.isIdle() && frontend.isEmpty() && frontend.heldBytes() == 0,
                    Invariants.Rule.NOTHING_LEFT, "", () -> clientUsage().toString());
            finished.countDown();
        } else {
            loop.schedule(this::endWhenIdle, END_LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Closes the proxy at once, without draining. */
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
