package larkworks.proxy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import larkworks.Program;
import larkworks.adapter.Json;
import larkworks.platform.WallClock;

/**
 * Measures the state that proxies share; not a test. With the arguments {@code N TRIALS LOSS...} it measures
 * how fast verdicts reach N proxies. Each trial registers a server that is down and sends requests through
 * one proxy until that proxy has reached a verdict on the server. By the proxies' own logs, it measures the
 * time until the last of the other proxies has received the verdict. With the arguments
 * {@code budget SECONDS} ten proxies under constant demand send as many requests to one cold server as its
 * budget allows. Meanwhile one proxy is partitioned, and one is killed and restarted. It prints the maximum
 * number of requests that arrived in any window.
 */
public final class SharedExperiment {

    private static final String MEMBERSHIP_AND_LOG_CONFIG =
            "\"membership\":{},\"logs\":{\"levels\":{\"shared\":\"debug\"}},";

    private SharedExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("shared");
        if (args[0].equals("budget")) {
            measureBudget(folder, Integer.parseInt(args[1]));
            return;
        }
        int proxyCount = Integer.parseInt(args[0]);
        try (ProxyFleet fleet = new ProxyFleet(proxyCount, folder,
                MEMBERSHIP_AND_LOG_CONFIG + "\"shared\":{},", 1_000_000)) {
            fleet.startBackend("well", 0);
            fleet.startAll();
            Program.await(60, () -> "not all members are alive",
                    () -> fleet.aliveMemberCount(0) == proxyCount);
            measureSpreadTimesMs(fleet, proxyCount, 5, 0);  // warm-up: these times are not counted
            for (int i = 2; i < args.length; i++) {
                measureVerdicts(fleet, proxyCount, Integer.parseInt(args[1]), Double.parseDouble(args[i]), i);
            }
        }
    }

    private static void measureVerdicts(ProxyFleet fleet, int proxyCount, int trials, double loss, int round)
            throws Exception {
        fleet.relay.loss(loss);
        long startedNs = System.nanoTime();
        long bytesBefore = fleet.relay.bytes.get();
        List<Long> spreadTimesMs = measureSpreadTimesMs(fleet, proxyCount, trials, round);
        double seconds = (System.nanoTime() - startedNs) / 1e9;
        System.out.printf("n=%d loss=%.2f trials=%d time-to-all median=%d ms p99=%d ms max=%d ms "
                + "bytes/member/s=%.0f%n",
                proxyCount, loss, trials, spreadTimesMs.get(spreadTimesMs.size() / 2),
                spreadTimesMs.get((int) Math.ceil(0.99 * spreadTimesMs.size()) - 1),
                spreadTimesMs.get(spreadTimesMs.size() - 1),
                (fleet.relay.bytes.get() - bytesBefore) / seconds / proxyCount);
    }

    /** Returns how long each verdict took to reach all proxies, in ms, in ascending order. */
    private static List<Long> measureSpreadTimesMs(ProxyFleet fleet, int proxyCount, int trials, int round)
            throws Exception {
        List<Long> spreadTimesMs = new ArrayList<>();
        for (int trial = 0; trial < trials; trial++) {
            String server = "down-" + round + "-" + trial;
            int origin = trial % proxyCount;
            fleet.registerServer(server, 2 + round * trials + trial, 0);
            Program.await(60, () -> "no verdict on " + server, () -> fleet.sendLook(origin) > 0
                    && firstLoggedMs(fleet, origin, "own verdict", server) > 0);
            long originLoggedMs = firstLoggedMs(fleet, origin, "own verdict", server);
            long lastLoggedMs = originLoggedMs;
            for (int i = 0; i < proxyCount; i++) {
                int otherProxy = i;
                if (otherProxy != origin) {
                    Program.await(60, () -> server + ": no verdict received by proxy " + otherProxy,
                            () -> firstLoggedMs(fleet, otherProxy, "a peer's verdict", server) > 0);
                    lastLoggedMs = Math.max(lastLoggedMs,
                            firstLoggedMs(fleet, otherProxy, "a peer's verdict", server));
                }
            }
            spreadTimesMs.add(lastLoggedMs - originLoggedMs);
            fleet.registryClient.status(server, "terminated");
        }
        spreadTimesMs.sort(null);
        return spreadTimesMs;
    }

    /** Returns when a proxy first logged a message about a server, in Unix ms; 0 if it has not done so. */
    private static long firstLoggedMs(ProxyFleet fleet, int proxy, String message, String server) {
        for (String line : fleet.proxies.get(proxy).lines) {
            if (line.contains(message) && line.contains('"' + server + '"')) {
                try {
                    return ((Number) Json.object(line.getBytes()).get("ts")).longValue();
                } catch (java.io.IOException e) {
                    throw new IllegalStateException(line, e);
                }
            }
        }
        return 0;
    }

    private static void measureBudget(Path folder, int seconds) throws Exception {
        int budgetRequests = 50;
        int windowMs = 1_000;
        try (ProxyFleet fleet = new ProxyFleet(10, folder,
                MEMBERSHIP_AND_LOG_CONFIG + "\"shared\":{\"cold\":{\"requests\":" + budgetRequests
                        + ",\"window_ms\":" + windowMs + "}},", 600_000_000)) {
            fleet.startBackend("warm", 0);
            fleet.startAll();
            AtomicBoolean stopRequested = new AtomicBoolean();
            Map<Integer, Thread> clientThreads = new HashMap<>();
            for (int i = 0; i < 10; i++) {
                int proxy = i;
                // Demand differs: the first proxy sends without a pause, the last one sends the least.
                clientThreads.put(i, new Thread(() -> {
                    while (!stopRequested.get()) {
                        fleet.sendLook(proxy);
                        sleep(proxy * 5);
                    }
                }));
                clientThreads.get(i).setDaemon(true);
                clientThreads.get(i).start();
            }
            fleet.startBackend("cold", WallClock.unixMs());
            sleep(seconds * 300);
            fleet.relay.partition(1, 0, 0, 0, 0, 0, 0, 0, 0, 0);
            fleet.relay.loss(0.2);
            fleet.proxies.get(9).kill();
            sleep(seconds * 300);
            fleet.startProxy(9);
            sleep(seconds * 400);
            stopRequested.set(true);
            List<Long> coldArrivalsMs = fleet.arrivalTimesMs.get("cold").stream().sorted().toList();
            System.out.printf("budget=%d in %d ms: maximum in any window=%d (overshoot %d), mean=%.1f/s "
                    + "over %d s%n",
                    budgetRequests, windowMs, maxArrivalsInWindow(coldArrivalsMs, windowMs),
                    Math.max(0, maxArrivalsInWindow(coldArrivalsMs, windowMs) - budgetRequests),
                    coldArrivalsMs.size() * 1.0 / seconds, seconds);
        }
    }

    private static void sleep(int durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the maximum number of arrivals in any window of the given length. */
    static int maxArrivalsInWindow(List<Long> sortedTimesMs, long windowMs) {
        int max = 0;
        for (int first = 0, last = 0; last < sortedTimesMs.size(); last++) {
            while (sortedTimesMs.get(last) - sortedTimesMs.get(first) >= windowMs) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }
}
