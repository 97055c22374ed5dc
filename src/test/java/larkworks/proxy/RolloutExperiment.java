package larkworks.proxy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import larkworks.Program;

/**
 * Issue 12's figures, not a test: {@code java -cp CLASSES larkworks.proxy.RolloutExperiment N}. N proxies
 * under load; a configuration that has all calls refused, rolled out in three waves and then at once, side
 * by side; a harmless one, rolled back by command when all run it. Prints requests not served and times.
 */
public final class RolloutExperiment {

    private static final String STAGED = "[{\"names\":[\"n0\"]},{\"share\":0.25},{\"share\":1.0}]";
    private static final String AT_ONCE = "[{\"share\":1.0}]";

    private RolloutExperiment() { }

    /** Runs the experiment; arguments as above. */
    public static void main(String[] args) throws Exception {
        int size = Integer.parseInt(args[0]);
        Path folder = Files.createTempDirectory("rollout");
        try (ProxyFleet fleet = new ProxyFleet(size, folder, "\"rollout\":{\"report_ms\":500},", 1_000_000)) {
            for (int i = 0; i < 4; i++) {
                fleet.backend("b" + i, 0, 10);
            }
            fleet.start();
            Map<Integer, Integer> answers = new ConcurrentHashMap<>();
            AtomicBoolean over = new AtomicBoolean();
            for (int i = 0; i < size; i++) {
                int proxy = i;
                Thread caller = new Thread(() -> {
                    while (!over.get()) {
                        answers.merge(fleet.look(proxy), 1, Integer::sum);
                        pause();
                    }
                });
                caller.setDaemon(true);
                caller.start();
            }
            Program.await(60, () -> "not all report", () -> running(fleet, 0) == size);
            for (String waves : List.of(STAGED, AT_ONCE)) {
                Map<Integer, Integer> before = Map.copyOf(answers);
                long begun = System.nanoTime();
                publish(fleet, RolloutFleetTest.BAD, waves);
                awaitPhase(fleet, "rolled_back");
                double stopped = (System.nanoTime() - begun) / 1e9;
                Program.await(60, () -> "not all back", () -> running(fleet, 0) == size);
                double back = (System.nanoTime() - begun) / 1e9;
                System.out.printf("n=%d bad, %s: stopped after %.2f s, all back after %.2f s, "
                        + "not served %d of %d, lost %d%n", size,
                        waves.equals(STAGED) ? "staged" : "at once", stopped, back,
                        sum(answers) - sum(before) - (answers.getOrDefault(200, 0)
                                - before.getOrDefault(200, 0)), sum(answers) - sum(before),
                        answers.getOrDefault(-1, 0) - before.getOrDefault(-1, 0));
            }
            publish(fleet, RolloutFleetTest.GOOD, AT_ONCE);
            awaitPhase(fleet, "done");
            Program.await(60, () -> "not all run it", () -> running(fleet, 0) == 0);
            long begun = System.nanoTime();
            fleet.registry.call("PUT", "/registry/v1/rollout/rollback", "");
            Program.await(60, () -> "not all back", () -> running(fleet, 0) == size);
            System.out.printf("n=%d rollback by command: all back after %.2f s%n", size,
                    (System.nanoTime() - begun) / 1e9);
            over.set(true);
        }
    }

    private static int sum(Map<Integer, Integer> answers) {
        return answers.values().stream().mapToInt(i -> i).sum();
    }

    private static void publish(ProxyFleet fleet, String patch, String waves) throws Exception {
        var answer = fleet.registry.call("PUT", "/registry/v1/rollout", RolloutFleetTest.plan(patch, waves));
        if (answer.status() != 200) {
            throw new IllegalStateException(answer.toString());
        }
    }

    private static Map<?, ?> rollout(ProxyFleet fleet) {
        try {
            return fleet.registry.call("GET", "/registry/v1/rollout", "").body();
        } catch (java.io.IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitPhase(ProxyFleet fleet, String phase) throws InterruptedException {
        Program.await(120, () -> rollout(fleet).toString(),
                () -> phase.equals(((Map<?, ?>) rollout(fleet).get("state")).get("phase")));
    }

    /** Proxies that report this version. */
    private static long running(ProxyFleet fleet, long version) {
        return ((Map<?, ?>) rollout(fleet).get("reports")).values().stream()
                .filter(r -> ((Number) ((Map<?, ?>) r).get("version")).longValue() == version).count();
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
