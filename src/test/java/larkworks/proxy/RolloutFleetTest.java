package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import larkworks.Program;
import larkworks.registry.Caller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests staged rollouts to real proxy processes through a process of the list service. */
@Timeout(180)
class RolloutFleetTest {

    @TempDir
    Path folder;

    /** A patch of the configuration that has no effect visible to clients. */
    static final String HARMLESS_PATCH = "{\"settings\":{\"limits\":{\"maxAttempts\":3}}}";
    /**
     * A patch that sets the aim of each class to 1 ms. No call is expected to be answered in that time, so
     * all calls are refused.
     */
    static final String REFUSING_PATCH = "{\"settings\":{\"categories\":[" + category("look") + ","
            + category("pay") + "," + category("act") + "]}}";

    private static String category(String name) {
        return "{\"name\":\"" + name + "\",\"effect\":\"pure\",\"group\":\"all\",\"goalTimeUs\":1000,"
                + "\"deadlineUs\":30000000,\"worth\":1.0,\"lateWorth\":0.0,\"dedupWindowUs\":30000000}";
    }

    static String planJson(String patch, String waves) {
        return "{\"name\":\"r\",\"patch\":" + patch + ",\"waves\":" + waves + ",\"bake_ms\":500,"
                + "\"wait_ms\":20000,\"max_error_share\":0.2,\"min_requests\":10}";
    }

    private static Map<?, ?> rolloutState(ProxyFleet fleet) {
        try {
            return (Map<?, ?>) fleet.registryClient.call("GET", "/registry/v1/rollout", "").body()
                    .get("state");
        } catch (java.io.IOException | InterruptedException e) {
            return Map.of("phase", e.toString());  // the list service is down
        }
    }

    private static void awaitPhase(ProxyFleet fleet, String phase) throws InterruptedException {
        Program.await(60, () -> rolloutState(fleet).toString(),
                () -> phase.equals(rolloutState(fleet).get("phase")));
    }

    private static void awaitVersion(ProxyFleet fleet, long version) throws InterruptedException {
        Program.await(20, () -> "not all proxies run version " + version, () -> {
            try {
                Map<?, ?> reports = (Map<?, ?>) fleet.registryClient.call("GET", "/registry/v1/rollout", "")
                        .body().get("reports");
                return reports.size() == fleet.proxies.size() && reports.values().stream()
                        .allMatch(r -> ((Number) ((Map<?, ?>) r).get("version")).longValue() == version);
            } catch (java.io.IOException | InterruptedException e) {
                return false;
            }
        });
    }

    private static Caller.Answer putRollout(ProxyFleet fleet, String path, String body) throws Exception {
        return fleet.registryClient.call("PUT", "/registry/v1/rollout" + path, body);
    }

    /** The steps of a test, which are run on a fleet under load. */
    private interface FleetSteps {
        void run(ProxyFleet fleet) throws Exception;
    }

    /**
     * Runs the steps on four proxies under load. Returns the number of requests by the status of their
     * answer, with -1 for requests without an answer.
     */
    private Map<Integer, Integer> runUnderLoad(FleetSteps steps) throws Exception {
        Map<Integer, Integer> countsByStatus = new ConcurrentHashMap<>();
        try (ProxyFleet fleet = new ProxyFleet(4, folder, "\"rollout\":{\"report_ms\":200},", 1_000_000)) {
            fleet.startBackend("b0", 0, 20);
            fleet.startBackend("b1", 0, 20);
            fleet.startAll();
            AtomicBoolean stopped = new AtomicBoolean();
            List<Thread> clientThreads = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int proxy = i % 4;
                clientThreads.add(new Thread(() -> {
                    while (!stopped.get()) {
                        countsByStatus.merge(fleet.sendLook(proxy), 1, Integer::sum);
                    }
                }));
            }
            clientThreads.forEach(Thread::start);
            awaitVersion(fleet, 0);
            steps.run(fleet);
            stopped.set(true);
            for (Thread clientThread : clientThreads) {
                clientThread.join();
            }
        }
        return countsByStatus;
    }

    @Test
    void rollsBackHarmfulConfigurationBeforeLaterWavesApplyIt() throws Exception {
        Map<Integer, Integer> countsByStatus = runUnderLoad(fleet -> {
            assertEquals(200, putRollout(fleet, "",
                    planJson(REFUSING_PATCH, "[{\"names\":[\"n0\"]},{\"share\":1.0}]")).status());
            assertEquals(409, putRollout(fleet, "", planJson(HARMLESS_PATCH, "[{\"share\":1.0}]")).status(),
                    "only one rollout may run at a time");
            awaitPhase(fleet, "rolled_back");
            awaitVersion(fleet, 0);
            assertTrue(String.valueOf(rolloutState(fleet).get("reason")).startsWith("wave 1: "));
            for (int i = 1; i < 4; i++) {
                assertTrue(fleet.proxies.get(i).lines.stream()
                        .noneMatch(l -> l.contains("\"configuration version applied\"")));
            }
            assertEquals(409, putRollout(fleet, "/resume", "").status());
        });
        assertTrue(countsByStatus.getOrDefault(503, 0) + countsByStatus.getOrDefault(429, 0) > 0,
                countsByStatus.toString());
        assertEquals(0, countsByStatus.getOrDefault(-1, 0), countsByStatus.toString());
    }

    @Test
    void continuesAfterListServiceIsKilledAndRollsBackByCommandWithoutLostRequests() throws Exception {
        Map<Integer, Integer> countsByStatus = runUnderLoad(fleet -> {
            Caller.Answer published = putRollout(fleet, "",
                    planJson(HARMLESS_PATCH, "[{\"names\":[\"n0\"]},{\"share\":0.5},{\"share\":1.0}]"));
            assertEquals(200, published.status(), published.body()::toString);
            Program.await(30, () -> rolloutState(fleet).toString(),
                    () -> Integer.valueOf(1).equals(rolloutState(fleet).get("wave")));
            fleet.listService.kill();
            fleet.startListService();
            awaitPhase(fleet, "done");
            awaitVersion(fleet, published.index());
            assertEquals(200, putRollout(fleet, "/rollback", "").status());
            awaitVersion(fleet, 0);
            assertEquals(409, putRollout(fleet, "/rollback", "").status());
            String planWithListen = planJson("{\"listen\":\"127.0.0.1:1\"}", "[{\"share\":1.0}]");
            assertEquals(400, putRollout(fleet, "", planWithListen).status(),
                    "a patch must not change anything but the settings");
        });
        assertEquals(java.util.Set.of(200), countsByStatus.keySet(), countsByStatus.toString());
    }
}
