package larkworks.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import larkworks.platform.WallClock;
import larkworks.soak.History.ProxyLife;

/**
 * One randomized run: starts the parts, lets the troubles happen, ends all and has the history judged.
 *
 * <pre>
 * java -cp CLASSPATH larkworks.soak.Soak SEED [PROXIES [SECONDS [TROUBLES [SERVERS [large]]]]]
 * </pre>
 *
 * With {@code large}, some requests and answers are large, and some clients that have left send the same id
 * again.
 *
 * {@code -Dsoak.keep=0,3} keeps only those troubles of the schedule, to trim a failing one;
 * {@code -Dsoak.syscalls=false} leaves the system calls alone.
 */
public final class Soak implements AutoCloseable {

    private static final String HOST = "127.31.9.";
    private static final int LAG_LOOK_MS = 10;
    private static final long READY_S = 60;
    private static final long SETTINGS_SALT = 0x5EED_0F_A11L;
    private static final int SERVERS_A_COPY = 5;
    private static final int USUAL_SERVERS = 6;
    /** Of many servers one in so many drains at a time. */
    private static final int DRAINED_PART = 100;
    private static final long SHORT_DEADLINE_US = 500_000;
    private static final int MOST_LINE_US = 60;
    /** Clients open no new connection to a process so long after it was told to end. */
    private static final long CONNECTS_AFTER_TERM_MS = 350;
    private static final long LAST_ANSWERS_MS = 3_500;
    /** A process on a crowded core runs for a part of each of these. */
    private static final long CORE_PERIOD_MS = 100;
    /** Idle connections that fill the descriptors of a process, which may shut new ones unread then. */
    private static final int CROWD = 260;
    /** What is in flight when no more requests come is over by then. */
    private static final long QUIET_MS = 120;
    private static final long CROWD_AFTERMATH_MS = 3_000;

    private final SoakSettings settings;
    private final Path folder;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService signals = Executors.newCachedThreadPool();
    final History history = new History();
    private final SoakDiscovery discovery;
    private final List<SoakServer> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private int serverStarts;
    private volatile boolean ending;
    /** Which troubles of the schedule happen; null for all. */
    private final List<Integer> kept;

    /** What a run came to. */
    public record Result(List<String> broken, long requests, long served, long connections,
            List<Long> latenciesUs, int wholeLists) {

        double servedShare() {
            return served / (double) Math.max(1, requests);
        }

        long percentileUs(double part) {
            return latenciesUs.isEmpty() ? 0 : latenciesUs.get((int) (part * (latenciesUs.size() - 1)));
        }

        @Override
        public String toString() {
            return requests + " requests, " + served + " served, p50 " + percentileUs(0.5) / 1000
                    + " ms, p99 " + percentileUs(0.99) / 1000 + " ms, " + connections
                    + " connections to servers, " + broken.size() + " breaks";
        }
    }

    /** A proxy with its addresses of discovery, its clients and its present process. */
    private final class Node {
        final SoakProxy proxy;
        final SoakClient client;
        final SoakDiscovery.Address[] addresses;
        int inUse;
        int starts;
        ProxyLife life;

        Node(int number) throws IOException, InterruptedException {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getByName(HOST + (number + 1)),
                    freePort(HOST + (number + 1)));
            proxy = new SoakProxy(number, address, folder, settings);
            client = new SoakClient(number, address, loop, history, settings.seed() * 7 + number,
                    settings.habits(), settings.deadlineUs() / 1000);
            addresses = new SoakDiscovery.Address[] {discovery.address(number), discovery.address(number)};
        }
    }

    Soak(SoakSettings settings, Path folder) {
        this.settings = settings;
        this.folder = folder;
        this.discovery = new SoakDiscovery(loop, history, settings.manner());
        String keep = System.getProperty("soak.keep");
        kept = keep == null ? null : keep.isEmpty() ? List.of()
                : java.util.Arrays.stream(keep.split(",")).map(Integer::valueOf).toList();
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return free.getLocalPort();
        }
    }

    /** Plays the run with all that its seed draws. */
    Result run() throws Exception {
        List<Trouble> schedule = Trouble.schedule(settings);
        return run(null, kept == null ? schedule : kept.stream().map(schedule::get).toList());
    }

    /** Plays these troubles; these rules for system calls hold at each start, null has the seed draw them. */
    Result run(String rules, List<Trouble> schedule) throws Exception {
        for (int i = 0; i < settings.servers(); i++) {
            SoakServer server = server();
            onLoop(() -> discovery.put(server.name, server.address(), "in_service", 0));
            servers.add(server);
        }
        for (int i = 0; i < settings.proxies(); i++) {
            nodes.add(new Node(i));
        }
        for (Node node : nodes) {
            start(node, rules);
        }
        for (Node node : nodes) {
            awaitReady(node);
        }
        watchLag(System.nanoTime());
        long beganUs = history.nowUs();
        for (Node node : nodes) {
            loop.execute(() -> node.client.run(settings.perSecond()));
        }
        for (Trouble trouble : schedule) {
            loop.schedule(() -> begin(trouble, rules), trouble.fromMs(), TimeUnit.MILLISECONDS);
        }
        Thread.sleep(settings.seconds() * 1000L);
        finish();
        List<String> broken = new ArrayList<>(loop.submit(
                () -> new Checker(history, settings).check()).get());
        for (Node node : nodes) {
            broken.addAll(node.proxy.logged("\"level\":\"ERROR\"", "OutOfMemory", "violated"));
        }
        return result(broken, beganUs);
    }

    private Result result(List<String> broken, long beganUs) {
        Collection<History.Request> all = history.requests.values().stream()
                .filter(r -> r.clientLeftUs == History.NEVER && r.sentUs != History.NEVER
                        && r.sentUs >= beganUs).toList();
        List<Long> latencies = all.stream().filter(r -> r.answers > 0)
                .map(r -> r.answeredUs - r.sentUs).sorted().toList();
        return new Result(broken, all.size(), all.stream().filter(r -> r.status == 200).count(),
                servers.stream().mapToLong(s -> s.accepted).sum(), latencies,
                discovery.wholeLists);
    }

    /** Settings of a randomized run of this size: what else varies is drawn from the seed. */
    static SoakSettings drawn(long seed, int proxies, int servers, int seconds, int troubles) {
        SplittableRandom random = new SplittableRandom(seed ^ SETTINGS_SALT);
        double probePrice = random.nextInt(3) == 0 ? 0.05 : 0.002;
        int copies = random.nextBoolean() ? proxies : Math.max(proxies, servers / SERVERS_A_COPY);
        long deadlineUs = random.nextInt(3) == 0 ? SHORT_DEADLINE_US : SoakSettings.USUAL_DEADLINE_US;
        return new SoakSettings(seed, proxies, servers, seconds, 20, SoakClient.Habits.MIXED,
                random.nextBoolean(), probePrice, troubles, copies, deadlineUs,
                new SoakDiscovery.Manner(random.nextInt(MOST_LINE_US), random.nextBoolean()));
    }

    private SoakServer server() throws InterruptedException {
        int number = serverStarts++;
        return new SoakServer("s" + number, loop, history, settings.seed() * 13 + number);
    }

    private interface Step {
        void run() throws Exception;
    }

    private void onLoop(Runnable step) {
        loop.submit(step).syncUninterruptibly();
    }

    /** Off the loop, as it may wait. */
    private void aside(Step step) {
        signals.execute(() -> {
            try {
                step.run();
            } catch (Exception e) {
                if (!ending) {
                    loop.execute(() -> history.unknownAttempts.add("the soak itself failed: " + e));
                }
            }
        });
    }

    private void watchLag(long dueNanos) {
        long lateUs = (System.nanoTime() - dueNanos) / 1000;
        if (lateUs > LAG_LOOK_MS * 1000) {
            history.lags.add(new History.Pause(-1, history.nowUs() - lateUs, history.nowUs()));
        }
        long next = System.nanoTime() + LAG_LOOK_MS * 1_000_000L;
        loop.schedule(() -> watchLag(next), LAG_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    // ---- processes

    private void start(Node node, String rules) throws Exception {
        String known = loop.submit(discovery::whole).get();
        node.proxy.configure(node.addresses[node.inUse].text(), known);
        boolean draws = Boolean.parseBoolean(System.getProperty("soak.syscalls", "true"));
        String drawn = rules != null ? rules
                : draws ? Trouble.systemCalls(settings, node.proxy.number, node.starts) : "";
        if (!drawn.isEmpty()) {
            System.out.println("p" + node.proxy.number + "/" + node.starts + " fails by " + drawn);
        }
        node.proxy.start(drawn, settings.seed() + node.starts++);
        ProxyLife life = new ProxyLife(node.proxy.number, history.nowUs());
        node.life = life;
        onLoop(() -> history.lives.add(life));
        node.proxy.process().onExit().thenRun(() -> loop.execute(() -> life.endedUs = history.nowUs()));
    }

    private void awaitReady(Node node) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S);
        while (!ready(node.proxy.address)) {
            if (System.nanoTime() > until || !node.proxy.process().isAlive()) {
                throw new AssertionError("p" + node.proxy.number + " is not ready: "
                        + node.proxy.logged(""));
            }
            Thread.sleep(20);
        }
        onLoop(() -> {
            node.life.readyUs = history.nowUs();
            node.client.connects(true);
        });
    }

    private static boolean ready(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(12);
            return new String(answer, StandardCharsets.US_ASCII).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** SIGTERM and, at the earliest, SIGKILL; the process is stopped for so long before that. */
    private void terminate(Node node, long stopMs) throws Exception {
        onLoop(() -> node.life.toldToEndUs = history.nowUs());
        node.proxy.signal("TERM");
        if (stopMs > 0) {
            Process ending = node.proxy.process();
            loop.schedule(() -> aside(() -> SoakProxy.signal(ending, "STOP")),
                    settings.killAfterTermUs() / 1000 - stopMs, TimeUnit.MILLISECONDS);
        }
        loop.schedule(() -> node.client.connects(false), CONNECTS_AFTER_TERM_MS, TimeUnit.MILLISECONDS);
        // A process that is stopped has not ended.
        if (!node.proxy.process().waitFor(settings.killAfterTermUs(), TimeUnit.MICROSECONDS)) {
            kill(node);
        }
    }

    private void kill(Node node) throws Exception {
        onLoop(() -> {
            node.life.killedUs = history.nowUs();
            node.client.connects(false);
        });
        node.proxy.process().destroyForcibly().waitFor();
    }

    private void restart(Node node, Step end, String rules) throws Exception {
        synchronized (node) {
            if (ending) {
                return;
            }
            end.run();
            start(node, rules);
            awaitReady(node);
        }
    }

    private void pause(Node node, long ms) throws Exception {
        synchronized (node) {
            boolean excused = ms <= SoakSettings.HELD_UP_US / 1000;
            if (!excused) {
                // No process can tell that it was stopped between its look at the clock and its write.
                onLoop(() -> node.client.hold(true));
                Thread.sleep(QUIET_MS);
            }
            long from = history.nowUs();
            node.proxy.signal("STOP");
            onLoop(() -> node.client.hold(false));
            Thread.sleep(ms);
            node.proxy.signal("CONT");
            loop.execute(() -> history.pauses.add(
                    new History.Pause(node.proxy.number, from, history.nowUs())));
        }
    }

    /** As if the process had a small share of its core: it runs for so long in each period. */
    private void crowdCore(Node node, long ms, long shareMs) throws Exception {
        synchronized (node) {
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            while (System.nanoTime() < untilNanos && !ending) {
                long from = history.nowUs();
                node.proxy.signal("STOP");
                Thread.sleep(CORE_PERIOD_MS - shareMs);
                node.proxy.signal("CONT");
                loop.execute(() -> history.pauses.add(
                        new History.Pause(node.proxy.number, from, history.nowUs())));
                Thread.sleep(shareMs);
            }
        }
    }

    private void hangUp(Node node, long againMs) throws Exception {
        synchronized (node) {
            for (int i = 0; i < 2; i++) {
                node.inUse = 1 - node.inUse;
                node.proxy.configure(node.addresses[node.inUse].text(), loop.submit(discovery::whole).get());
                node.proxy.signal("HUP");
                Thread.sleep(againMs);
            }
            node.inUse = 1 - node.inUse;
            node.proxy.configure(node.addresses[node.inUse].text(), loop.submit(discovery::whole).get());
            node.proxy.signal("HUP");
        }
    }

    // ---- troubles

    private void begin(Trouble trouble, String rules) {
        if (ending) {
            return;
        }
        long ms = trouble.lengthMs();
        switch (trouble.kind()) {
            case SERVER_FAULT -> {
                SoakServer server = servers.get(trouble.target());
                server.fault(SoakServer.Fault.valueOf(trouble.detail()));
                loop.schedule(() -> server.fault(SoakServer.Fault.NONE), ms, TimeUnit.MILLISECONDS);
            }
            case SERVER_DRAIN -> {
                int together = trouble.detail().isEmpty() ? Math.max(1, servers.size() / DRAINED_PART)
                        : Integer.parseInt(trouble.detail());
                for (int i = 0; i < together; i++) {
                    drain((trouble.target() + i) % servers.size(), ms);
                }
            }
            case SERVER_CRASH -> {
                SoakServer server = servers.get(trouble.target());
                server.stop();
                discovery.status(server.name, "terminated");
                replace(trouble.target());
            }
            case SERVER_JOIN -> aside(() -> {
                SoakServer more = server();
                loop.execute(() -> join(more));
            });
            case DISCOVERY_FAULT -> {
                SoakDiscovery.Fault fault = SoakDiscovery.Fault.valueOf(trouble.detail());
                for (Node node : trouble.target() < 0 ? nodes : List.of(nodes.get(trouble.target()))) {
                    SoakDiscovery.Address at = node.addresses[node.inUse];
                    at.fault(fault);
                    loop.schedule(() -> at.fault(SoakDiscovery.Fault.NONE), ms, TimeUnit.MILLISECONDS);
                }
            }
            case HANG_UP -> aside(() -> hangUp(nodes.get(trouble.target()), ms));
            case TERMINATE -> {
                Node node = nodes.get(trouble.target());
                aside(() -> restart(node, () -> terminate(node, ms), rules));
            }
            case KILL -> {
                Node node = nodes.get(trouble.target());
                aside(() -> restart(node, () -> kill(node), rules));
            }
            case PAUSE -> aside(() -> pause(nodes.get(trouble.target()), ms));
            case CROWDED_CORE -> aside(() -> crowdCore(nodes.get(trouble.target()), ms,
                    Long.parseLong(trouble.detail())));
            case IDLE_CROWD -> {
                Node node = nodes.get(trouble.target());
                history.crowds.add(new History.Pause(node.proxy.number, history.nowUs(),
                        history.nowUs() + (ms + CROWD_AFTERMATH_MS) * 1000));
                node.client.crowd(CROWD, ms);
            }
            default -> throw new IllegalStateException(trouble.toString());
        }
    }

    /** Another server takes its place; it is gone some time later. */
    private void drain(int position, long ms) {
        SoakServer server = servers.get(position);
        discovery.status(server.name, "terminating");
        replace(position);
        loop.schedule(() -> discovery.status(server.name, "terminated"), ms, TimeUnit.MILLISECONDS);
    }

    /** How many attempts each server got after a time, by name. */
    Map<String, Long> attemptsSince(long fromUs) {
        return history.requests.values().stream().flatMap(r -> r.attempts.stream())
                .filter(a -> a.wholeUs() >= fromUs)
                .collect(Collectors.groupingBy(History.Attempt::server, Collectors.counting()));
    }

    /** A cold server takes the place of one that leaves. */
    private void replace(int position) {
        aside(() -> {
            SoakServer next = server();
            loop.execute(() -> {
                servers.set(position, next);
                join(next);
            });
        });
    }

    private void join(SoakServer server) {
        history.coldStarts.add(new History.ColdStart(server.name, history.nowUs()));
        discovery.put(server.name, server.address(), "in_service", WallClock.unixMs());
    }

    /** No more requests; what was taken gets its time, then every process has to end by itself. */
    private void finish() throws Exception {
        onLoop(() -> nodes.forEach(node -> node.client.stop()));
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_ANSWERS_MS);
        while (System.nanoTime() < until && loop.submit(() -> history.requests.values().stream()
                .anyMatch(History.Request::open)).get()) {
            Thread.sleep(LAG_LOOK_MS);
        }
        ending = true;
        for (Node node : nodes) {
            synchronized (node) {
                node.proxy.signal("TERM");
            }
        }
        for (Node node : nodes) {
            if (!node.proxy.process().waitFor(10, TimeUnit.SECONDS)) {
                onLoop(() -> history.unknownAttempts.add("p" + node.proxy.number + " does not end"));
            }
        }
        onLoop(() -> { });
    }

    @Override
    public void close() {
        ending = true;
        for (Node node : nodes) {
            node.proxy.close();
        }
        signals.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Plays one seed and prints its schedule and what broke; exits with 1 where something did. */
    public static void main(String[] arguments) throws Exception {
        long seed = Long.parseLong(arguments[0]);
        int proxies = arguments.length > 1 ? Integer.parseInt(arguments[1]) : 10;
        int seconds = arguments.length > 2 ? Integer.parseInt(arguments[2]) : 20;
        int troubles = arguments.length > 3 ? Integer.parseInt(arguments[3]) : 2 * seconds;
        int servers = arguments.length > 4 ? Integer.parseInt(arguments[4]) : USUAL_SERVERS;
        SoakSettings drawn = drawn(seed, proxies, servers, seconds, troubles);
        boolean large = arguments.length > 5 && arguments[5].equals("large");
        SoakSettings settings = large ? drawn.withHabits(SoakClient.Habits.LARGE) : drawn;
        List<Trouble> schedule = Trouble.schedule(settings);
        for (int i = 0; i < schedule.size(); i++) {
            System.out.println(i + ": " + schedule.get(i));
        }
        Path folder = Files.createTempDirectory("soak-" + seed + "-");
        Result result;
        try (Soak soak = new Soak(settings, folder)) {
            result = soak.run();
        }
        result.broken().stream().limit(40).forEach(line -> System.out.println("BROKEN " + line));
        System.out.println("seed " + seed + ": " + result + "; logs in " + folder);
        System.exit(result.broken().isEmpty() ? 0 : 1);
    }
}
