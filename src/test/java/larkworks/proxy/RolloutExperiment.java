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

    private static final String STAGED_WAVES = "[{\"names\":[\"n0\"]},{\"share\":0.25},{\"share\":1.0}]";
    private static final String SINGLE_WAVE = "[{\"share\":1.0}]";

    private RolloutExperiment() { }

    /** Runs the experiment; the class comment describes the arguments. */
    public static void main(String[] args) throws Exception {
        int proxyCount = Integer.parseInt(args[0]);
        Path folder = Files.createTempDirectory("rollout");
        try (ProxyFleet fleet = new ProxyFleet(proxyCount, folder,
                "\"rollout\":{\"report_ms\":500},", 1_000_000)) {
            for (int i = 0; i < 4; i++) {
                fleet.startBackend("b" + i, 0, 10);
            }
            fleet.startAll();
            Map<Integer, Integer> countsByStatus = new ConcurrentHashMap<>();
            AtomicBoolean stopped = new AtomicBoolean();
            for (int i = 0; i < proxyCount; i++) {
                int proxy = i;
                Thread clientThread = new Thread(() -> {
                    while (!stopped.get()) {
                        countsByStatus.merge(fleet.sendLook(proxy), 1, Integer::sum);
                        pauseBetweenRequests();
                    }
                });
                clientThread.setDaemon(true);
                clientThread.start();
            }
            Program.await(60, () -> "not all proxies report their version",
                    () -> countProxiesAtVersion(fleet, 0) == proxyCount);
            for (String waves : List.of(STAGED_WAVES, SINGLE_WAVE)) {
                Map<Integer, Integer> countsBefore = Map.copyOf(countsByStatus);
                long startedNs = System.nanoTime();
                publish(fleet, RolloutFleetTest.REFUSING_PATCH, waves);
                awaitPhase(fleet, "rolled_back");
                double stoppedAfterS = (System.nanoTime() - startedNs) / 1e9;
                Program.await(60, () -> "not all proxies are back at version 0",
                        () -> countProxiesAtVersion(fleet, 0) == proxyCount);
                double allBackAfterS = (System.nanoTime() - startedNs) / 1e9;
                System.out.printf("n=%d refusing, %s: stopped after %.2f s, all back after %.2f s, "
                        + "not served %d of %d, without an answer %d%n", proxyCount,
                        waves.equals(STAGED_WAVES) ? "staged" : "at once", stoppedAfterS, allBackAfterS,
                        totalCount(countsByStatus) - totalCount(countsBefore)
                                - (countsByStatus.getOrDefault(200, 0) - countsBefore.getOrDefault(200, 0)),
                        totalCount(countsByStatus) - totalCount(countsBefore),
                        countsByStatus.getOrDefault(-1, 0) - countsBefore.getOrDefault(-1, 0));
            }
            publish(fleet, RolloutFleetTest.HARMLESS_PATCH, SINGLE_WAVE);
            awaitPhase(fleet, "done");
            Program.await(60, () -> "not all proxies run the new version",
                    () -> countProxiesAtVersion(fleet, 0) == 0);
            long startedNs = System.nanoTime();
            fleet.registryClient.call("PUT", "/registry/v1/rollout/rollback", "");
            Program.await(60, () -> "not all proxies are back at version 0",
                    () -> countProxiesAtVersion(fleet, 0) == proxyCount);
            System.out.printf("n=%d rollback by command: all back after %.2f s%n", proxyCount,
                    (System.nanoTime() - startedNs) / 1e9);
            stopped.set(true);
        }
    }

    private static int totalCount(Map<Integer, Integer> countsByStatus) {
        return countsByStatus.values().stream().mapToInt(i -> i).sum();
    }

    private static void publish(ProxyFleet fleet, String patch, String waves) throws Exception {
        var answer = fleet.registryClient.call("PUT", "/registry/v1/rollout",
                RolloutFleetTest.planJson(patch, waves));
        if (answer.status() != 200) {
            throw new IllegalStateException(answer.toString());
        }
    }

    private static Map<?, ?> rolloutJson(ProxyFleet fleet) {
        try {
            return fleet.registryClient.call("GET", "/registry/v1/rollout", "").body();
        } catch (java.io.IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void awaitPhase(ProxyFleet fleet, String phase) throws InterruptedException {
        Program.await(120, () -> rolloutJson(fleet).toString(),
                () -> phase.equals(((Map<?, ?>) rolloutJson(fleet).get("state")).get("phase")));
    }

    /** Returns the number of proxies that report the given version. */
    private static long countProxiesAtVersion(ProxyFleet fleet, long version) {
        return ((Map<?, ?>) rolloutJson(fleet).get("reports")).values().stream()
                .filter(r -> ((Number) ((Map<?, ?>) r).get("version")).longValue() == version).count();
    }

    private static void pauseBetweenRequests() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
