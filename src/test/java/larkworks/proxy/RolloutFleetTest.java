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

/** Staged rollout to real proxy processes through the list service's process (issue 12). */
@Timeout(180)
class RolloutFleetTest {

    @TempDir
    Path folder;

    /** Changes nothing that clients see. */
    static final String GOOD = "{\"settings\":{\"limits\":{\"maxAttempts\":3}}}";
    /** An aim of a millisecond: all calls look hopeless, and are refused. */
    static final String BAD = "{\"settings\":{\"categories\":[" + kind("look") + "," + kind("pay") + ","
            + kind("act") + "]}}";

    private static String kind(String name) {
        return "{\"name\":\"" + name + "\",\"effect\":\"pure\",\"group\":\"all\",\"goalTimeUs\":1000,"
                + "\"deadlineUs\":30000000,\"worth\":1.0,\"lateWorth\":0.0,\"dedupWindowUs\":30000000}";
    }

    static String plan(String patch, String waves) {
        return "{\"name\":\"r\",\"patch\":" + patch + ",\"waves\":" + waves + ",\"bake_ms\":500,"
                + "\"wait_ms\":20000,\"max_error_share\":0.2,\"min_requests\":10}";
    }

    private static Map<?, ?> state(ProxyFleet fleet) {
        try {
            return (Map<?, ?>) fleet.registry.call("GET", "/registry/v1/rollout", "").body().get("state");
        } catch (java.io.IOException | InterruptedException e) {
            return Map.of("phase", e.toString());  // the service is down
        }
    }

    private static void awaitPhase(ProxyFleet fleet, String phase) throws InterruptedException {
        Program.await(60, () -> state(fleet).toString(), () -> phase.equals(state(fleet).get("phase")));
    }

    private static void awaitVersion(ProxyFleet fleet, long version) throws InterruptedException {
        Program.await(20, () -> "not all run " + version, () -> {
            try {
                Map<?, ?> reports = (Map<?, ?>) fleet.registry.call("GET", "/registry/v1/rollout", "").body()
                        .get("reports");
                return reports.size() == fleet.proxies.size() && reports.values().stream()
                        .allMatch(r -> ((Number) ((Map<?, ?>) r).get("version")).longValue() == version);
            } catch (java.io.IOException | InterruptedException e) {
                return false;
            }
        });
    }

    private static Caller.Answer put(ProxyFleet fleet, String path, String body) throws Exception {
        return fleet.registry.call("PUT", "/registry/v1/rollout" + path, body);
    }

    /** Four proxies under load; counts what clients got: status, and -1 for a request that was lost. */
    private interface Script {
        void run(ProxyFleet fleet) throws Exception;
    }

    private Map<Integer, Integer> underLoad(Script script) throws Exception {
        Map<Integer, Integer> answers = new ConcurrentHashMap<>();
        try (ProxyFleet fleet = new ProxyFleet(4, folder, "\"rollout\":{\"report_ms\":200},", 1_000_000)) {
            fleet.backend("b0", 0, 20);
            fleet.backend("b1", 0, 20);
            fleet.start();
            AtomicBoolean over = new AtomicBoolean();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int proxy = i % 4;
                callers.add(new Thread(() -> {
                    while (!over.get()) {
                        answers.merge(fleet.look(proxy), 1, Integer::sum);
                    }
                }));
            }
            callers.forEach(Thread::start);
            awaitVersion(fleet, 0);
            script.run(fleet);
            over.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
        }
        return answers;
    }

    @Test
    void aBadConfigurationStopsInItsFirstWaveAndTheLaterNeverSeeIt() throws Exception {
        Map<Integer, Integer> answers = underLoad(fleet -> {
            assertEquals(200, put(fleet, "", plan(BAD, "[{\"names\":[\"n0\"]},{\"share\":1.0}]")).status());
            assertEquals(409, put(fleet, "", plan(GOOD, "[{\"share\":1.0}]")).status(), "one at a time");
            awaitPhase(fleet, "rolled_back");
            awaitVersion(fleet, 0);
            assertTrue(String.valueOf(state(fleet).get("reason")).startsWith("wave 1: "));
            for (int i = 1; i < 4; i++) {
                assertTrue(fleet.proxies.get(i).lines.stream()
                        .noneMatch(l -> l.contains("\"configuration version applied\"")));
            }
            assertEquals(409, put(fleet, "/resume", "").status());
        });
        assertTrue(answers.getOrDefault(503, 0) + answers.getOrDefault(429, 0) > 0, answers.toString());
        assertEquals(0, answers.getOrDefault(-1, 0), answers.toString());
    }

    @Test
    void goesOnAfterTheServiceWasKilledAndRollsBackByCommandWithNothingLost() throws Exception {
        Map<Integer, Integer> answers = underLoad(fleet -> {
            Caller.Answer published = put(fleet, "",
                    plan(GOOD, "[{\"names\":[\"n0\"]},{\"share\":0.5},{\"share\":1.0}]"));
            assertEquals(200, published.status(), published.body()::toString);
            Program.await(30, () -> state(fleet).toString(),
                    () -> Integer.valueOf(1).equals(state(fleet).get("wave")));
            fleet.service.kill();
            fleet.startService();
            awaitPhase(fleet, "done");
            awaitVersion(fleet, published.index());
            assertEquals(200, put(fleet, "/rollback", "").status());
            awaitVersion(fleet, 0);
            assertEquals(409, put(fleet, "/rollback", "").status());
            String listen = plan("{\"listen\":\"127.0.0.1:1\"}", "[{\"share\":1.0}]");
            assertEquals(400, put(fleet, "", listen).status(), "nothing but settings is swapped");
        });
        assertEquals(java.util.Set.of(200), answers.keySet(), answers.toString());
    }
}
