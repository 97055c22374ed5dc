package larkworks.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Takes a list service with so many hollow proxies and backends through its scenario, in real time. */
final class ListRun implements AutoCloseable {

    private static final int LOOK_MS = 5;

    private final ListScenario scenario;
    private final Random random;
    private final Consumer<String> progress;
    private final int watchers;
    private final Path data;
    private final ServiceProcess service;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<HollowProxy> proxies = new ArrayList<>();
    private final List<HollowBackend> backends = new ArrayList<>();
    private final HollowProxy.Counts counts = new HollowProxy.Counts();
    private final ChangeTimes times;
    private long loopThread;
    /** Writes answered since the last part's beginning, and the latest version they made; on the loop. */
    private int made;
    private long latest;

    ListRun(ListScenario scenario, int watchers, long seed, Consumer<String> progress) throws IOException {
        this.scenario = scenario;
        this.watchers = watchers;
        this.progress = progress;
        random = new Random(seed);
        times = new ChangeTimes(watchers);
        data = Files.createTempDirectory("scale");
        service = new ServiceProcess(data, scenario.heapMb());
    }

    ListResult run() throws Exception {
        loopThread = onLoop(() -> Thread.currentThread().getId());
        InetSocketAddress address = service.start();
        int count = scenario.backends() == 0 ? watchers : scenario.backends();
        onLoop(() -> {
            for (int i = 0; i < count; i++) {
                HollowBackend backend = new HollowBackend(loop, i, local(2, i), address,
                        new ServiceConnection.Bytes(), scenario, times);
                backends.add(backend);
                backend.start(this::made);
            }
            return null;
        });
        want("not all backends are registered", () -> made == count);
        onLoop(() -> {
            for (int i = 0; i < watchers; i++) {
                proxies.add(new HollowProxy(loop, local(1, i), address, scenario, times, counts,
                        random.nextLong()));
                proxies.get(i).call();
            }
            return null;
        });
        want("not all proxies have the list", () -> allHold(latest));
        if (scenario.warmChanges() > 0) {
            changes(scenario.warmChanges(), 1 / scenario.changesPerS());
        }
        ListResult.Steady steady = steady();
        progress.accept(watchers + " watches: steady");
        ListResult.Changes changes = scenario.changes() == 0 ? null
                : changes(scenario.changes(), 1 / scenario.changesPerS());
        ListResult.Changes burst = scenario.burst() == 0 ? null : changes(scenario.burst(), 0);
        progress.accept(watchers + " watches: changes made");
        ListResult.Reports reports = scenario.reportMs() == 0 ? null : reports(address);
        List<ListResult.ListFault> faults = new ArrayList<>();
        for (Fault fault : scenario.faults()) {
            faults.add(fault(fault));
            progress.accept(watchers + " watches: " + fault.name() + ", in force after "
                    + faults.get(faults.size() - 1).inForceS() + " s");
        }
        ProcessFigures figures = service.figures();
        return new ListResult("real", watchers, count, loadAverage(), steady, changes, burst, reports, faults,
                new ListResult.Service(figures.heapMb(), figures.rssMb(), figures.peakRssMb()));
    }

    static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    /** A loopback address of a hollow client's own; any port. */
    static InetSocketAddress local(int net, int number) throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, (byte) net,
            (byte) (number / 250), (byte) (1 + number % 250)}), 0);
    }

    // ---- parts

    private ListResult.Steady steady() throws Exception {
        long calls = onLoop(() -> counts.calls);
        long bytes = onLoop(this::bytes);
        double cpu = service.figures().cpuS();
        double clientCpu = loopCpuS();
        long begun = System.nanoTime();
        pause(scenario.steadyS());
        double seconds = since(begun);
        return new ListResult.Steady(seconds, (onLoop(() -> counts.calls) - calls) / seconds / watchers,
                (onLoop(this::bytes) - bytes) / seconds / watchers,
                (service.figures().cpuS() - cpu) / seconds, (loopCpuS() - clientCpu) / seconds);
    }

    private ListResult.Changes changes(int count, double everyS) throws Exception {
        onLoop(this::begin);
        long bytes = onLoop(this::bytes);
        double cpu = service.figures().cpuS();
        long begun = System.nanoTime();
        if (everyS == 0) {
            onLoop(() -> {
                for (int i = 0; i < count; i++) {
                    backends.get(i % backends.size()).turn(this::made);
                }
                return null;
            });
        }
        for (int i = 0; everyS > 0 && i < count; i++) {
            HollowBackend backend = backends.get(i % backends.size());
            onLoop(() -> {
                backend.turn(this::made);
                return null;
            });
            pause(everyS);
        }
        want("not all changes came to all", () -> made == count && allHold(latest));
        double seconds = since(begun);
        return new ListResult.Changes(count, onLoop(times::lag), onLoop(times::toAll),
                (onLoop(this::bytes) - bytes) / (double) watchers / count,
                1e3 * (service.figures().cpuS() - cpu) / count, seconds);
    }

    private ListResult.Reports reports(InetSocketAddress address) throws Exception {
        HollowReporter.Counts reported = new HollowReporter.Counts();
        List<HollowReporter> reporters = new ArrayList<>();
        onLoop(() -> {
            for (int i = 0; i < watchers; i++) {
                HollowReporter reporter = new HollowReporter(loop, i, local(1, i), address,
                        scenario.reportMs(), reported);
                reporters.add(reporter);
                reporter.start((long) (random.nextDouble() * scenario.reportMs()));
            }
            return null;
        });
        // Until all have reported once: the service admits nobody to a rollout in its first seconds.
        pause(Math.max(4, 2 * scenario.reportMs() / 1e3));
        onLoop(reported::clear);
        double cpu = service.figures().cpuS();
        long begun = System.nanoTime();
        pause(scenario.steadyS());
        double seconds = since(begun);
        double cores = (service.figures().cpuS() - cpu) / seconds;
        ListResult.Reports figures = onLoop(() -> new ListResult.Reports(Distribution.of(reported.answers),
                reported.answered / seconds, reported.due / seconds, reported.failed,
                reported.bytesEach(), cores, 0, 0, 0));
        cpu = service.figures().cpuS();
        begun = System.nanoTime();
        double inForceS = rollOut(address, reporters);
        double rolloutCores = (service.figures().cpuS() - cpu) / since(begun);
        onLoop(reported::clear);
        pause(scenario.steadyS() / 2);
        double bytesEachAfter = onLoop(reported::bytesEach);
        onLoop(() -> {
            reporters.forEach(HollowReporter::close);
            return null;
        });
        progress.accept(watchers + " watches: rollout in force after " + inForceS + " s");
        return new ListResult.Reports(figures.answerMs(), figures.reportsPerS(), figures.wantedPerS(),
                figures.failed(), figures.bytesEach(), figures.serviceCores(), rolloutCores, inForceS,
                bytesEachAfter);
    }

    private double rollOut(InetSocketAddress address, List<HollowReporter> reporters) throws Exception {
        String plan = "{\"name\":\"scale\",\"patch\":{\"settings\":{\"text\":\""
                + "x".repeat(scenario.rollout().patchBytes()) + "\"}},\"waves\":["
                + scenario.rollout().wavePercents().stream().map(p -> "{\"share\":" + p / 100.0 + "}")
                .collect(Collectors.joining(",")) + "],\"bake_ms\":" + scenario.rollout().bakeMs()
                + ",\"wait_ms\":600000,\"max_error_share\":0.9,\"min_requests\":0}";
        long begun = System.nanoTime();
        onLoop(() -> new Publisher(address, plan));
        boolean all = await(() -> reporters.stream().allMatch(reporter -> reporter.version() > 0));
        return all ? since(begun) : -1;
    }

    /** Publishes a rollout; made on the loop. */
    private final class Publisher implements ServiceConnection.Client {
        private final String plan;
        private final ServiceConnection connection;

        Publisher(InetSocketAddress address, String plan) throws UnknownHostException {
            this.plan = plan;
            connection = new ServiceConnection(loop, local(3, 0), address, new ServiceConnection.Bytes(),
                    this);
        }

        @Override
        public void connected() {
            connection.put("/registry/v1/rollout", plan);
        }

        @Override
        public void answered(ServiceConnection.Answer answer) {
            progress.accept("rollout published: " + answer.status() + " " + answer.head());
            connection.close();
        }

        @Override
        public void lost() {
            progress.accept("the rollout could not be published");
        }
    }

    private ListResult.ListFault fault(Fault fault) throws Exception {
        onLoop(this::begin);
        long failures = onLoop(() -> counts.failures);
        long whole = onLoop(() -> counts.wholeLists);
        long received = onLoop(() -> counts.bytes.received);
        long before = onLoop(() -> latest);
        List<Integer> chosen = fault.kind() == Fault.Kind.CUT
                ? scenario.topology().choose(fault.target(), watchers, random) : alive(fault);
        long begun = System.nanoTime();
        long affected = chosen.size();
        long ended;
        boolean all;
        if (fault.kind() == Fault.Kind.RESTART) {
            affected = restarts(fault);
            ended = System.nanoTime();
            long expected = 2 * affected;
            all = await(() -> made == expected && allHold(latest));
        } else if (fault.kind() == Fault.Kind.KILL) {
            onLoop(() -> {
                chosen.forEach(i -> backends.get(i).crash());
                return null;
            });
            ended = begun;
            long expected = before + chosen.size();
            all = await(() -> allHold(expected));
        } else {
            begin(fault, chosen);
            onLoop(() -> {
                backends.stream().filter(HollowBackend::alive).findFirst().orElseThrow().turn(this::made);
                return null;
            });
            pause(fault.forS());
            ended = System.nanoTime();
            end(fault, chosen);
            all = await(() -> made == 1 && allHold(latest));
        }
        double inForceS = all ? since(begun) : -1;
        double afterS = all ? since(ended) : -1;
        affected = fault.kind() == Fault.Kind.SERVICE_KILL || fault.kind() == Fault.Kind.SERVICE_PAUSE
                ? watchers : affected;
        long failed = onLoop(() -> counts.failures) - failures;
        return new ListResult.ListFault(fault.name(), fault.kind().word(), fault.forS(), affected, inForceS,
                afterS, failed, onLoop(() -> counts.wholeLists) - whole,
                (onLoop(() -> counts.bytes.received) - received) / (double) watchers,
                service.figures().peakRssMb());
    }

    /** Backends that a fault hits, of those there are. */
    private List<Integer> alive(Fault fault) throws Exception {
        return onLoop(() -> scenario.topology().choose(fault.target(), backends.size(), random).stream()
                .filter(i -> backends.get(i).alive()).toList());
    }

    private void begin(Fault fault, List<Integer> chosen) throws Exception {
        switch (fault.kind()) {
            case SERVICE_KILL -> service.kill();
            case SERVICE_PAUSE -> service.signal("STOP");
            case CUT -> onLoop(() -> {
                chosen.forEach(i -> proxies.get(i).cut());
                return null;
            });
            default -> throw new IllegalArgumentException(fault.kind().word());
        }
    }

    private void end(Fault fault, List<Integer> chosen) throws Exception {
        switch (fault.kind()) {
            case SERVICE_KILL -> service.start();
            case SERVICE_PAUSE -> service.signal("CONT");
            case CUT -> onLoop(() -> {
                chosen.forEach(i -> proxies.get(i).heal());
                return null;
            });
            default -> throw new IllegalArgumentException(fault.kind().word());
        }
    }

    /** Backends drain, end and come back after the fault's time; returns how many, when the last is back. */
    private long restarts(Fault fault) throws Exception {
        Set<Integer> affected = new HashSet<>();
        for (int t = 0; t < fault.times(); t++) {
            // None twice: it might be on its way up still.
            List<Integer> chosen = alive(fault).stream().filter(affected::add).toList();
            onLoop(() -> {
                for (int i : chosen) {
                    HollowBackend backend = backends.get(i);
                    backend.turn(index -> {
                        made(index);
                        backend.crash();
                        loop.schedule(() -> backend.start(this::made), (long) (1e3 * fault.forS()),
                                TimeUnit.MILLISECONDS);
                    });
                }
                return null;
            });
            pause(t + 1 < fault.times() ? fault.everyS() : fault.forS());
        }
        return affected.size();
    }

    // ---- helpers

    private void made(long index) {
        made++;
        latest = Math.max(latest, index);
    }

    private Void begin() {
        made = 0;
        times.clear();
        return null;
    }

    private long bytes() {
        return counts.bytes.sent + counts.bytes.received;
    }

    private boolean allHold(long index) {
        return proxies.stream().allMatch(proxy -> proxy.index() >= index);
    }

    private double loopCpuS() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThread) / 1e9;
    }

    private static double since(long beganNs) {
        return (System.nanoTime() - beganNs) / 1e9;
    }

    private static void pause(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    private <T> T onLoop(Callable<T> call) throws Exception {
        return loop.submit(call).get(60, TimeUnit.SECONDS);
    }

    private boolean await(Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + (long) (scenario.limitS() * 1e9);
        while (!onLoop(condition)) {
            if (System.nanoTime() > until) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        return true;
    }

    private void want(String otherwise, Callable<Boolean> condition) throws Exception {
        if (!await(condition)) {
            throw new IOException(watchers + " watches: " + otherwise + " after " + scenario.limitS() + " s");
        }
    }

    @Override
    public void close() throws IOException {
        loop.submit(() -> {
            proxies.forEach(HollowProxy::close);
            backends.forEach(HollowBackend::crash);
        }).awaitUninterruptibly(10, TimeUnit.SECONDS);
        service.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        try (Stream<Path> files = Files.walk(data)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
