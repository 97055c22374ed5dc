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
 * Issue 11's figures, not a test: {@code java -cp CLASSES larkworks.proxy.SharedExperiment N TRIALS
 * LOSS...} times verdicts: in each trial a server that is down is listed, requests go through one proxy
 * until it holds a verdict, and the time is taken until the last of the others has it, by the proxies' own
 * logs. {@code budget SECONDS} has ten proxies under constant demand send one cold server as much as its
 * budget lets them, one of them cut off and one killed on the way, and prints the most that came in any
 * window.
 */
public final class SharedExperiment {

    private static final String MEMBERSHIP =
            "\"membership\":{},\"logs\":{\"levels\":{\"shared\":\"debug\"}},";

    private SharedExperiment() { }

    /** Runs the experiment; arguments as above. */
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
            Program.await(60, () -> "not all alive", () -> fleet.alive(0) == size);
            times(fleet, size, 5, 0);  // code not run before would be timed with the first
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
        System.out.printf("n=%d loss=%.2f trials=%d to-all median=%d ms p99=%d ms max=%d ms "
                + "bytes/member/s=%.0f%n",
                size, loss, trials, ms.get(ms.size() / 2), ms.get((int) Math.ceil(0.99 * ms.size()) - 1),
                ms.get(ms.size() - 1), (fleet.relay.bytes.get() - bytes) / seconds / size);
    }

    /** How long each verdict took to reach all, in ms, the shortest first. */
    private static List<Long> times(ProxyFleet fleet, int size, int trials, int round) throws Exception {
        List<Long> ms = new ArrayList<>();
        for (int t = 0; t < trials; t++) {
            String name = "down-" + round + "-" + t;
            int origin = t % size;
            fleet.list(name, 2 + round * trials + t, 0);
            Program.await(60, () -> name, () -> fleet.look(origin) > 0
                    && first(fleet, origin, "own verdict", name) > 0);
            long wrote = first(fleet, origin, "own verdict", name);
            long last = wrote;
            for (int i = 0; i < size; i++) {
                int other = i;
                if (other != origin) {
                    Program.await(60, () -> name + " never came to " + other,
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

    /** When a proxy first logged this of a server, Unix ms; 0 where it has not. */
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
                // Demand differs: the first wants all it can get, the last little.
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
            System.out.printf("budget=%d in %d ms: most in any window=%d (overshoot %d), mean=%.1f "
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

    /** The most arrivals in any window. */
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
