package larkworks.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import larkworks.platform.Addresses;

/** Measures what a real proxy adds to a call, and what it costs, beside calls past it. */
final class PathRun implements AutoCloseable {

    private static final int READY_S = 30;
    private static final int PORT = 9_000;
    private static final int SERVICE_HEAP_MB = 64;
    private static final long LEASE_MS = 600_000;

    private final PathScenario scenario;
    private final long seed;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final EventLoop clients = group.next();
    private final EventLoop servers = group.next();
    private final Path folder;
    private final ServiceProcess service;
    private Process proxy;
    private PathClient proxied;

    PathRun(PathScenario scenario, long seed) throws IOException {
        this.scenario = scenario;
        this.seed = seed;
        folder = Files.createTempDirectory("scale");
        service = new ServiceProcess(folder.resolve("data"), SERVICE_HEAP_MB);
    }

    PathResult run(int callsPerS) throws Exception {
        InetSocketAddress discovery = service.start();
        List<InetSocketAddress> backends = serve(discovery);
        InetSocketAddress address = startProxy(discovery);
        PathClient direct = new PathClient(clients, ListRun.local(5, 0), backends, "d1ec");
        proxied = new PathClient(clients, ListRun.local(5, 1), List.of(address), "b09d");
        ProcessFigures figures = new ProcessFigures(proxy);
        drive(direct, callsPerS, scenario.warmS());
        double idleCores = cores(figures, () -> pause(scenario.seconds() / 3));
        clients.submit(() -> {
            direct.clear();
            proxied.clear();
        }).get();
        double cores = cores(figures, () -> drive(direct, callsPerS, scenario.seconds()));
        Distribution without = clients.submit(direct::times).get();
        Distribution with = clients.submit(proxied::times).get();
        return new PathResult("real", callsPerS, ListRun.loadAverage(), without, with,
                with.median() - without.median(), with.p99() - without.p99(),
                clients.submit(() -> proxied.failures().size()).get(), idleCores, cores,
                1e6 * (cores - idleCores) / callsPerS, figures.heapMb(), figures.rssMb());
    }

    /** Describes the calls by the proxy that failed, and what the proxy logged. */
    String describeFailures() throws Exception {
        return clients.submit(proxied::failures).get() + " "
                + Files.readString(folder.resolve("proxy.log"));
    }

    /** Something that takes some time. */
    private interface Work {
        void run() throws Exception;
    }

    private static double cores(ProcessFigures figures, Work work) throws Exception {
        double cpu = figures.cpuS();
        long begun = System.nanoTime();
        work.run();
        return (figures.cpuS() - cpu) / ((System.nanoTime() - begun) / 1e9);
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (1e6 * seconds));
    }

    /** Calls by the proxy and past it take turns. */
    private void drive(PathClient direct, int callsPerS, double seconds)
            throws Exception {
        long everyNs = 500_000_000L / callsPerS;
        PathClient[] turns = {direct, proxied};
        int[] next = {0};
        Future<?> driving = clients.scheduleAtFixedRate(() -> turns[next[0]++ % 2].call(), everyNs, everyNs,
                TimeUnit.NANOSECONDS);
        pause(seconds);
        driving.cancel(false);
        pause(0.5);  // for the answers under way
    }

    private List<InetSocketAddress> serve(InetSocketAddress discovery) throws Exception {
        ListScenario lists = new ListScenario(List.of(), 0, new Topology(1, 1, 1_000), 0, LEASE_MS, LEASE_MS,
                false, 0, 0, 0, 0, 0, 0, null, 0, 0, List.of());
        List<InetSocketAddress> addresses = new ArrayList<>();
        AnsweringServer answering = new AnsweringServer(servers, scenario.answerMs());
        java.util.concurrent.CountDownLatch registered =
                new java.util.concurrent.CountDownLatch(scenario.servers());
        for (int i = 0; i < scenario.servers(); i++) {
            InetSocketAddress own = ListRun.local(2, i);
            addresses.add(new InetSocketAddress(own.getAddress(), PORT));
            answering.listen(addresses.get(i)).sync();
            HollowBackend backend = new HollowBackend(clients, i, own, discovery,
                    new ServiceConnection.Bytes(), lists, new ChangeTimes(1));
            clients.submit(() -> backend.start(index -> registered.countDown())).get();
        }
        if (!registered.await(READY_S, TimeUnit.SECONDS)) {
            throw new IOException("not all backends are registered after " + READY_S + " s");
        }
        return addresses;
    }

    private InetSocketAddress startProxy(InetSocketAddress discovery) throws Exception {
        InetSocketAddress listen;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            listen = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        Path config = folder.resolve("proxy.json");
        Files.writeString(config, """
                {"name": "path", "listen": "%s", "discovery": "%s", "seed": "%x",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "settings": {"balancers": %d, "me": 0, "locality": 0, "dcs": ["zone-0"],
                  "discovery": "pushed", "resolutionUs": 1000,
                  "categories": [{"name": "read", "effect": "pure", "group": "all", "goalTimeUs": 1000000,
                   "deadlineUs": 2000000, "worth": 1.0, "lateWorth": 0.0, "dedupWindowUs": 1000000}],
                  "fees": {"probe": 0.0, "crossZone": 0.0},
                  "limits": {"cancel": true, "connectTimeoutUs": 250000, "keepaliveUs": 10000000,
                   "maxAttempts": 3, "maxRetryAfterUs": 2000000, "mayDuplicate": false, "probes": false,
                   "retryAfter": true},
                  "rules": {"coldFrom": 0.5, "coldUs": 1000000, "drainGraceUs": 2000000, "tipMultiple": 2.5},
                  "tenants": [{"name": "t", "quotaPerS": 0}]}}
                """.formatted(Addresses.text(listen), Addresses.text(discovery), seed, scenario.copies()));
        List<String> command = new ArrayList<>(List.of(ProcessFigures.program("java")));
        command.addAll(scenario.jvm());
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "larkworks.cli.Larkworks",
                "proxy"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve("proxy.log").toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        proxy = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(proxy::destroyForcibly));
        for (int tries = 0; tries < 10 * READY_S; tries++) {
            if (!proxy.isAlive()) {
                break;
            }
            if (ready(listen)) {
                return listen;
            }
            pause(0.1);
        }
        throw new IOException("the proxy is not ready: "
                + String.join(" ", Files.readAllLines(folder.resolve("proxy.log"))));
    }

    private static boolean ready(InetSocketAddress proxy) {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://" + Addresses.text(proxy)
                    + "/health/ready").toURL().openConnection();
            call.setConnectTimeout(1_000);
            call.setReadTimeout(1_000);
            return call.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (proxy != null) {
            proxy.destroyForcibly();
        }
        service.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
