package larkworks.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Issue 20's figures of start-up, not a test, from the root after a build:
 * {@code java -cp CLASSES larkworks.proxy.StartupExperiment CORES ADMIN N[,N...] [WAY...]}. N processes of
 * {@code run} start at once on the cores named (as taskset takes them), with a second address where ADMIN
 * is {@code admin}; for each way of discovery it prints the time from start to the first 200 of
 * {@code GET /health/ready}, and the processor time that a process had used by then.
 */
public final class StartupExperiment {

    /** An address that nobody else here listens at, so that a port that was free still is. */
    private static final String HOST = "127.31.7.3";
    private static final int BACKENDS = 10;
    private static final long POLL_MS = 20;
    private static final long LIMIT_S = 60;

    private StartupExperiment() { }

    /** Runs the experiment; arguments as above. */
    public static void main(String[] args) throws Exception {
        List<DiscoveryStandIn.Way> ways = args.length > 3
                ? Arrays.stream(args).skip(3).map(DiscoveryStandIn.Way::valueOf).toList()
                : List.of(DiscoveryStandIn.Way.values());
        for (String n : args[2].split(",")) {
            for (DiscoveryStandIn.Way way : ways) {
                measure(args[0], args[1].equals("admin"), Integer.parseInt(n), way);
            }
        }
        System.exit(0);  // the stand-in's server leaves threads that hold the process
    }

    private static void measure(String cores, boolean admin, int size, DiscoveryStandIn.Way way)
            throws Exception {
        String[] entries = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            entries[i] = TestBench.entry("b" + i, "127.0.0.1:" + (i + 1), "in_service");
        }
        String list = TestBench.listJson(1, true, entries);
        Path folder = Files.createTempDirectory("startup");
        List<RunCommand> processes = new ArrayList<>();
        long[] ms = new long[size];
        long[] ticks = new long[size];
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(way, list);
                TestBench bench = new TestBench(0)) {
            Set<Integer> ports = new HashSet<>();
            while (ports.size() < 2 * size) {
                ports.add(TestBench.freePort());  // the system may give one twice, once it is closed again
            }
            List<Integer> free = List.copyOf(ports);
            List<Thread> pollers = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                Path own = Files.createDirectory(folder.resolve("own" + i));
                Path config = Files.writeString(folder.resolve("config" + i + ".json"),
                        bench.configJson(free.get(i), list).replace(TestBench.HOST, HOST)
                                .replace(bench.discovery.address(), discovery.address()));
                RunCommand run = new RunCommand(cores, config, own, admin
                        ? Map.of("GW_ADMIN_ADDR", HOST + ":" + free.get(size + i)) : Map.of());
                processes.add(run);
                int at = i;
                Thread poller = new Thread(() -> ms[at] = awaitReady(run, free.get(at), ticks, at));
                poller.setDaemon(true);
                poller.start();
                pollers.add(poller);
            }
            for (Thread poller : pollers) {
                poller.join();
            }
            Arrays.sort(ms);
            Arrays.sort(ticks);
            System.out.printf("%-8s n=%-3d %s: ready after median=%.2f s p90=%.2f s max=%.2f s, processor "
                    + "time median=%.2f s max=%.2f s, list asked for %d times%n", way, size,
                    admin ? "second address" : "one address", ms[size / 2] / 1e3,
                    ms[(int) Math.ceil(0.9 * size) - 1] / 1e3, ms[size - 1] / 1e3, ticks[size / 2] / 1e2,
                    ticks[size - 1] / 1e2, discovery.calls.get());
        } finally {
            processes.forEach(RunCommand::close);
            for (RunCommand run : processes) {
                run.process.waitFor();
            }
        }
    }

    private static long awaitReady(RunCommand run, int port, long[] ticks, int at) {
        while (System.nanoTime() - run.startedNs < TimeUnit.SECONDS.toNanos(LIMIT_S)) {
            try (Socket socket = new Socket(InetAddress.getByName(HOST), port)) {
                socket.setSoTimeout(10_000);
                StubServer.Message answer = new TestBench.Client(socket, socket.getInputStream())
                        .send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").answer();
                if (answer != null && answer.line().split(" ")[1].equals("200")) {
                    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - run.startedNs);
                    ticks[at] = run.processorTicks();
                    return tookMs;
                }
            } catch (IOException e) {
                // Nobody listens yet, or not for long.
            }
            try {
                Thread.sleep(POLL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        throw new IllegalStateException("not ready after " + LIMIT_S + " s, port " + port);
    }
}
