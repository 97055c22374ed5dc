package larkworks.proxy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import larkworks.Program;

/**
 * Measures rollouts on N proxies under load. This is not a test; run it with
 * {@code java -cp CLASSES larkworks.proxy.RolloutExperiment N}. It publishes a configuration that has all
 * calls refused, first in three waves and then to all proxies at once for comparison. Then it publishes a
 * harmless configuration and rolls it back by command when all proxies run it. It prints the number of
 * requests that were not served, and the times until the rollout stopped and all proxies were back.
 */
public final class RolloutExperiment {

    private static final String STAGED = "[{\"names\":[\"n0\"]},{\"share\":0.25},{\"share\":1.0}]";
    private static final String AT_ONCE = "[{\"share\":1.0}]";

    private RolloutExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
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
            Program.await(60, () -> "not all proxies report their version", () -> running(fleet, 0) == size);
            for (String waves : List.of(STAGED, AT_ONCE)) {
                Map<Integer, Integer> before = Map.copyOf(answers);
                long begun = System.nanoTime();
                publish(fleet, RolloutFleetTest.BAD, waves);
                awaitPhase(fleet, "rolled_back");
                double stopped = (System.nanoTime() - begun) / 1e9;
                Program.await(60, () -> "not all proxies are back at version 0",
                        () -> running(fleet, 0) == size);
                double back = (System.nanoTime() - begun) / 1e9;
                System.out.printf("n=%d refusing, %s: stopped after %.2f s, all back after %.2f s, "
                        + "not served %d of %d, without an answer %d%n", size,
                        waves.equals(STAGED) ? "staged" : "at once", stopped, back,
                        sum(answers) - sum(before) - (answers.getOrDefault(200, 0)
                                - before.getOrDefault(200, 0)), sum(answers) - sum(before),
                        answers.getOrDefault(-1, 0) - before.getOrDefault(-1, 0));
            }
            publish(fleet, RolloutFleetTest.GOOD, AT_ONCE);
            awaitPhase(fleet, "done");
            Program.await(60, () -> "not all proxies run the new version", () -> running(fleet, 0) == 0);
            long begun = System.nanoTime();
            fleet.registry.call("PUT", "/registry/v1/rollout/rollback", "");
            Program.await(60, () -> "not all proxies are back at version 0", () -> running(fleet, 0) == size);
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

    /** Returns the number of proxies that report the given version. */
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
