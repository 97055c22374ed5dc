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
 * Measures the start-up of proxies. This is not a test; run it from the root directory after a build with
 * {@code java -cp CLASSES larkworks.proxy.StartupExperiment CORES ADMIN N[,N...] [MODE...]}. It starts N
 * processes at once, with the deploy file's {@code run} command, on the given cores (in the form that taskset
 * takes). They have an admin address if ADMIN is {@code admin}. For each response mode of the discovery stub,
 * it prints the time from the start to the first status 200 of {@code GET /health/ready}, and the processor
 * time that a process had used by then.
 */
public final class StartupExperiment {

    /** An address at which nothing else on this machine listens, so that a free port stays free. */
    private static final String HOST = "127.31.7.3";
    private static final int BACKEND_COUNT = 10;
    private static final long POLL_INTERVAL_MS = 20;
    private static final long READY_TIMEOUT_S = 60;

    private StartupExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        List<DiscoveryStub.ResponseMode> modes = args.length > 3
                ? Arrays.stream(args).skip(3).map(DiscoveryStub.ResponseMode::valueOf).toList()
                : List.of(DiscoveryStub.ResponseMode.values());
        for (String processCountText : args[2].split(",")) {
            for (DiscoveryStub.ResponseMode mode : modes) {
                measure(args[0], args[1].equals("admin"), Integer.parseInt(processCountText), mode);
            }
        }
        System.exit(0);  // the stub's server leaves threads that keep the process alive
    }

    private static void measure(String cores, boolean hasAdminAddress, int processCount,
            DiscoveryStub.ResponseMode mode) throws Exception {
        String[] entries = new String[BACKEND_COUNT];
        for (int i = 0; i < BACKEND_COUNT; i++) {
            entries[i] = TestBench.entry("b" + i, "127.0.0.1:" + (i + 1), "in_service");
        }
        String listJson = TestBench.listJson(1, true, entries);
        Path folder = Files.createTempDirectory("startup");
        List<ProxyProcess> processes = new ArrayList<>();
        long[] readyAfterMs = new long[processCount];
        long[] cpuTicks = new long[processCount];
        try (DiscoveryStub discovery = new DiscoveryStub(mode, listJson);
                TestBench bench = new TestBench(0)) {
            Set<Integer> ports = new HashSet<>();
            while (ports.size() < 2 * processCount) {
                // A set, because freePort() closes the port again and may return it twice.
                ports.add(TestBench.freePort());
            }
            List<Integer> freePorts = List.copyOf(ports);
            List<Thread> pollers = new ArrayList<>();
            for (int i = 0; i < processCount; i++) {
                Path processFolder = Files.createDirectory(folder.resolve("own" + i));
                Path config = Files.writeString(folder.resolve("config" + i + ".json"),
                        bench.configJson(freePorts.get(i), listJson).replace(TestBench.HOST, HOST)
                                .replace(bench.discovery.address(), discovery.address()));
                ProxyProcess proxyProcess = new ProxyProcess(cores, config, processFolder, hasAdminAddress
                        ? Map.of("GW_ADMIN_ADDR", HOST + ":" + freePorts.get(processCount + i)) : Map.of());
                processes.add(proxyProcess);
                int index = i;
                Thread poller = new Thread(() -> readyAfterMs[index] =
                        awaitReady(proxyProcess, freePorts.get(index), cpuTicks, index));
                poller.setDaemon(true);
                poller.start();
                pollers.add(poller);
            }
            for (Thread poller : pollers) {
                poller.join();
            }
            Arrays.sort(readyAfterMs);
            Arrays.sort(cpuTicks);
            System.out.printf("%-8s n=%-3d %s: ready after median=%.2f s p90=%.2f s max=%.2f s, processor "
                    + "time median=%.2f s max=%.2f s, list requested %d times%n", mode, processCount,
                    hasAdminAddress ? "admin address" : "no admin address",
                    readyAfterMs[processCount / 2] / 1e3,
                    readyAfterMs[(int) Math.ceil(0.9 * processCount) - 1] / 1e3,
                    readyAfterMs[processCount - 1] / 1e3, cpuTicks[processCount / 2] / 1e2,
                    cpuTicks[processCount - 1] / 1e2, discovery.fullListCalls.get());
        } finally {
            processes.forEach(ProxyProcess::close);
            for (ProxyProcess proxyProcess : processes) {
                proxyProcess.process.waitFor();
            }
        }
    }

    private static long awaitReady(ProxyProcess proxyProcess, int port, long[] cpuTicks, int index) {
        while (System.nanoTime() - proxyProcess.startNs < TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S)) {
            try (Socket socket = new Socket(InetAddress.getByName(HOST), port)) {
                socket.setSoTimeout(10_000);
                StubServer.Message answer = new TestBench.Client(socket, socket.getInputStream())
                        .send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").answer();
                if (answer != null && answer.line().split(" ")[1].equals("200")) {
                    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - proxyProcess.startNs);
                    cpuTicks[index] = proxyProcess.cpuTicks();
                    return tookMs;
                }
            } catch (IOException e) {
                // The process does not listen yet, or does not answer yet.
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        throw new IllegalStateException("not ready after " + READY_TIMEOUT_S + " s, port " + port);
    }
}
