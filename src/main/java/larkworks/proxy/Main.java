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
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.RequestClass;
import larkworks.fleet.FleetMember;
import larkworks.fleet.MemberState;
import larkworks.fleet.Membership;
import larkworks.proxy.Config.ConfigException;

/** One proxy: its parts and its life from start to SIGTERM. */
public final class Main {

    /** New connections come for up to 0.4 s after SIGTERM; each still gets its answers. */
    private static final long ACCEPT_MS = 700;
    /** How often it is seen whether all is finished. */
    private static final long END_LOOK_MS = 10;
    /** After the longest deadline, SIGKILL comes no sooner than 0.7 s. */
    private static final long FINISH_MS = 500;

    /** With a second address, so long is waited for the first list; then the one known from before serves. */
    private static final long LIST_WAIT_MS = 2_500;
    /** How often it is seen whether that list has come. */
    private static final long LIST_LOOK_MS = 20;

    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
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
    private final Promise<InetSocketAddress> serving = loop.newPromise();

    Main(Config config) {
        this.config = config;
        sockets = new Sockets(config.sockets(), config.admin() == null ? 0 : Admin.MOST_CONNECTIONS + 1);
        BackendPool pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        driver = new Driver(config, new Clock(), loop, pool);
        frontend = new Frontend(config, loop, sockets, driver);
        discovery = new Discovery(config, loop, sockets, driver);
        member = config.fleet() == null ? null
                : new FleetMember(loop, config.fleet(), new MemberLog(), Main::say);
        sockets.evictors(frontend::evictStranger, pool::evict, frontend::evict);
    }

    /**
     * Runs the proxy that a file describes; what {@code GW_ADMIN_ADDR} says goes before the file.
     *
     * @param file the configuration's name, null where none was given
     * @return the exit status: 0 where it serves from now on, 2 where the configuration can't be used
     */
    public static int run(String file) throws InterruptedException {
        try {
            Main main = new Main(Config.read(file, System.getenv()));
            HangUp.handle(() -> main.reload(file));
            main.start();
            Runtime.getRuntime().addShutdownHook(new Thread(main::finish));
            main.awaitServing();
            return 0;
        } catch (ConfigException e) {
            say(e.getMessage());
            return 2;
        }
    }

    /**
     * Starts everything. Without a second address clients are listened for at once; with one another process
     * may serve them still, so that this one takes its part only when it can serve.
     */
    void start() throws ConfigException, InterruptedException {
        boolean shared = config.admin() != null;
        maintenance = shared ? maintenance() : null;
        loop.submit(() -> {
            driver.listChanged(ListKind.REMEMBERED,
                    config.known() == null ? List.of() : config.known().entries());
            if (shared) {
                maintenance.start();
            }
            discovery.start();
            if (member != null) {
                member.start();
            }
        }).sync();
        if (shared) {
            admin = await(new Admin(loop, frontend::serves, maintenance,
                    member == null ? null : member::table).listen(config.admin()),
                    config.admin());
        }
        // Warming up at the shared address would reach the other process, and backends through it.
        InetSocketAddress first = shared ? new InetSocketAddress(config.listen().getAddress(), 0)
                : config.listen();
        Channel listener = await(frontend.listen(first, false), first);
        InetSocketAddress self = (InetSocketAddress) listener.localAddress();
        loop.execute(() -> Warmup.run(config, loop, sockets, self, () -> {
            if (shared) {
                listener.close();
                serveOnceListed(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIST_WAIT_MS));
            } else {
                serve(self);
            }
        }));
    }

    private static void say(String text) {
        System.err.println("larkworks: " + text);
    }

    /** What membership tells the operator: each change of the view, and whether it is to be trusted. */
    private static final class MemberLog implements Membership.Events {
        @Override
        public void changed(int about, MemberState from, MemberState to, long incarnation) {
            say("members: " + about + " " + FleetMember.name(from) + " -> " + FleetMember.name(to)
                    + " at incarnation " + incarnation);
        }

        @Override
        public void dropped(String why) {
            // Counted in the table; a line for each would hand the log to whoever floods the address.
        }

        @Override
        public void minority(boolean now) {
            say(now ? "members: in a minority, this view is stale" : "members: out of the minority");
        }
    }

    private Maintenance maintenance() throws ConfigException {
        try {
            return new Maintenance(config, loop, driver, sockets);
        } catch (IOException e) {
            throw new ConfigException("calls about backends can't be kept in TMPDIR: " + e);
        }
    }

    private static Channel await(ChannelFuture bound, InetSocketAddress address)
            throws ConfigException, InterruptedException {
        bound.await();
        if (!bound.isSuccess()) {
            throw new ConfigException("can't listen at " + address + ": " + bound.cause().getMessage());
        }
        return bound.channel();
    }

    /** The list known from the configuration may be old, so a new one is waited for, but not for long. */
    private void serveOnceListed(long untilNanos) {
        boolean waited = discovery.heard() || System.nanoTime() - untilNanos > 0;
        if (!waited || !driver.canServe()) {
            loop.schedule(() -> serveOnceListed(untilNanos), LIST_LOOK_MS, TimeUnit.MILLISECONDS);
            return;
        }
        ChannelFuture bound = frontend.listen(config.listen(), true);
        bound.addListener(done -> {
            if (done.isSuccess()) {
                serve((InetSocketAddress) bound.channel().localAddress());
            } else {
                serving.tryFailure(done.cause());
            }
        });
    }

    private void serve(InetSocketAddress address) {
        frontend.ready();
        serving.trySuccess(address);
    }

    /** Turns to the discovery that the replaced file names; all else in it waits for a restart. */
    private synchronized void reload(String file) {
        try {
            List<InetSocketAddress> named = Config.read(file, System.getenv()).discovery();
            loop.execute(() -> discovery.moveTo(named));
        } catch (ConfigException e) {
            say("the old configuration is kept: " + e.getMessage());
        }
    }

    /** Where the operators' calls come; only after a start with a second address. */
    InetSocketAddress adminAddress() {
        return (InetSocketAddress) admin.localAddress();
    }

    /** Waits until the proxy serves, and tells where. */
    InetSocketAddress awaitServing() throws ConfigException, InterruptedException {
        serving.await();
        if (!serving.isSuccess()) {
            throw new ConfigException("can't listen at " + config.listen() + ": "
                    + serving.cause().getMessage());
        }
        return serving.getNow();
    }

    /** Finishes what was taken, while the JVM waits for this before it exits. */
    private void finish() {
        loop.execute(() -> {
            frontend.drain();
            if (member != null) {
                member.leave();
            }
            loop.schedule(() -> {
                frontend.stopListening();
                endWhenIdle();
            }, ACCEPT_MS, TimeUnit.MILLISECONDS);
        });
        long longestUs = config.settings().classes().stream().mapToLong(RequestClass::deadlineUs).max()
                .orElse(0);
        try {
            if (!finished.await(longestUs / 1000 + FINISH_MS, TimeUnit.MILLISECONDS)) {
                say("stopped with requests in flight");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All answers have then left: each closes its connection. */
    private void endWhenIdle() {
        if (driver.isIdle() && frontend.isEmpty()) {
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
