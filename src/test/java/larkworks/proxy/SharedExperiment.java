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

    private static final String MEMBERSHIP =
            "\"membership\":{},\"logs\":{\"levels\":{\"shared\":\"debug\"}},";

    private SharedExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        Path folder = Files.createTempDirectory("shared");
        if (args[0].equals("budget")) {
            budget(folder, Integer.parseInt(args[1]));
            return;
        }
        int size = Integer.parseInt(args[0]);
        try (ProxyFleet fleet = new ProxyFleet(size, folder, MEMBERSHIP + "\"shared\":{},", 1_000_000)) {
            fleet.backend("well", 0);
            fleet.start();
            Program.await(60, () -> "not all members are alive", () -> fleet.alive(0) == size);
            times(fleet, size, 5, 0);  // warm-up: these times are not counted
            for (int i = 2; i < args.length; i++) {
                verdicts(fleet, size, Integer.parseInt(args[1]), Double.parseDouble(args[i]), i);
            }
        }
    }

    private static void verdicts(ProxyFleet fleet, int size, int trials, double loss, int round)
            throws Exception {
        fleet.relay.loss(loss);
        long begun = System.nanoTime();
        long bytes = fleet.relay.bytes.get();
        List<Long> ms = times(fleet, size, trials, round);
        double seconds = (System.nanoTime() - begun) / 1e9;
        System.out.printf("n=%d loss=%.2f trials=%d time-to-all median=%d ms p99=%d ms max=%d ms "
                + "bytes/member/s=%.0f%n",
                size, loss, trials, ms.get(ms.size() / 2), ms.get((int) Math.ceil(0.99 * ms.size()) - 1),
                ms.get(ms.size() - 1), (fleet.relay.bytes.get() - bytes) / seconds / size);
    }

    /** Returns how long each verdict took to reach all proxies, in ms, in ascending order. */
    private static List<Long> times(ProxyFleet fleet, int size, int trials, int round) throws Exception {
        List<Long> ms = new ArrayList<>();
        for (int t = 0; t < trials; t++) {
            String name = "down-" + round + "-" + t;
            int origin = t % size;
            fleet.list(name, 2 + round * trials + t, 0);
            Program.await(60, () -> "no verdict on " + name, () -> fleet.look(origin) > 0
                    && first(fleet, origin, "own verdict", name) > 0);
            long wrote = first(fleet, origin, "own verdict", name);
            long last = wrote;
            for (int i = 0; i < size; i++) {
                int other = i;
                if (other != origin) {
                    Program.await(60, () -> name + ": no verdict received by proxy " + other,
                            () -> first(fleet, other, "a peer's verdict", name) > 0);
                    last = Math.max(last, first(fleet, other, "a peer's verdict", name));
                }
            }
            ms.add(last - wrote);
            fleet.registry.status(name, "terminated");
        }
        ms.sort(null);
        return ms;
    }

    /** Returns when a proxy first logged a message about a server, in Unix ms; 0 if it has not done so. */
    private static long first(ProxyFleet fleet, int proxy, String message, String server) {
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

    private static void budget(Path folder, int seconds) throws Exception {
        int requests = 50;
        int windowMs = 1_000;
        try (ProxyFleet fleet = new ProxyFleet(10, folder, MEMBERSHIP + "\"shared\":{\"cold\":{\"requests\":"
                + requests + ",\"window_ms\":" + windowMs + "}},", 600_000_000)) {
            fleet.backend("warm", 0);
            fleet.start();
            AtomicBoolean over = new AtomicBoolean();
            Map<Integer, Thread> callers = new HashMap<>();
            for (int i = 0; i < 10; i++) {
                int proxy = i;
                // Demand differs: the first proxy sends without a pause, the last one sends the least.
                callers.put(i, new Thread(() -> {
                    while (!over.get()) {
                        fleet.look(proxy);
                        pause(proxy * 5);
                    }
                }));
                callers.get(i).setDaemon(true);
                callers.get(i).start();
            }
            fleet.backend("cold", WallClock.unixMs());
            pause(seconds * 300);
            fleet.relay.partition(1, 0, 0, 0, 0, 0, 0, 0, 0, 0);
            fleet.relay.loss(0.2);
            fleet.proxies.get(9).kill();
            pause(seconds * 300);
            fleet.start(9);
            pause(seconds * 400);
            over.set(true);
            List<Long> arrivals = fleet.arrivals.get("cold").stream().sorted().toList();
            System.out.printf("budget=%d in %d ms: maximum in any window=%d (overshoot %d), mean=%.1f/s "
                    + "over %d s%n",
                    requests, windowMs, most(arrivals, windowMs), Math.max(0, most(arrivals, windowMs)
                    - requests), arrivals.size() * 1.0 / seconds, seconds);
        }
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the maximum number of arrivals in any window of the given length. */
    static int most(List<Long> sorted, long windowMs) {
        int most = 0;
        for (int from = 0, to = 0; to < sorted.size(); to++) {
            while (sorted.get(to) - sorted.get(from) >= windowMs) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }
}
