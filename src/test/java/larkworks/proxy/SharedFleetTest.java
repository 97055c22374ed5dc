package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import larkworks.Program;
import larkworks.platform.WallClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests verdicts and budgets shared by real proxy processes, with loss and partitions between them. */
@Timeout(180)
class SharedFleetTest {

    private static final String MEMBERSHIP_CONFIG = "\"membership\":{\"probe_interval_ms\":300},";

    @TempDir
    Path folder;

    /** Sends requests through a proxy until it has reached the given verdict. */
    private static void sendUntilVerdict(ProxyFleet fleet, int proxy, String verdict) throws Exception {
        Program.await(30, () -> fleet.verdictsInForce(proxy).toString(), () -> {
            assertEquals(200, fleet.sendLook(proxy), "the other backend must serve the request");
            return fleet.verdictsInForce(proxy).contains(verdict);
        });
    }

    private static void awaitVerdict(ProxyFleet fleet, List<Integer> proxies, String verdict, boolean inForce)
            throws Exception {
        Program.await(30, () -> proxies.stream().map(fleet::verdictsInForce).toList().toString(),
                () -> proxies.stream().allMatch(i -> fleet.verdictsInForce(i).contains(verdict) == inForce));
    }

    @Test
    void verdictReachesAllDespiteLossAndCrossesPartitionOnlyAfterItHealsAndExpires() throws Exception {
        try (ProxyFleet fleet = new ProxyFleet(5, folder, MEMBERSHIP_CONFIG + "\"shared\":{},", 1_000_000)) {
            fleet.startBackend("well", 0);
            fleet.registerServer("gone", 2, 0);  // nothing listens on this port
            fleet.startAll();
            Program.await(30, () -> "not all members are alive", () -> IntStream.range(0, 5)
                    .allMatch(i -> fleet.aliveMemberCount(i) == 5));
            fleet.relay.loss(0.5);
            sendUntilVerdict(fleet, 0, "gone demoted");
            awaitVerdict(fleet, List.of(1, 2, 3, 4), "gone demoted", true);
            fleet.relay.loss(0);
            awaitVerdict(fleet, List.of(0, 1, 2, 3, 4), "gone demoted", false);

            fleet.relay.partition(0, 0, 0, 1, 1);
            sendUntilVerdict(fleet, 0, "gone rests");
            awaitVerdict(fleet, List.of(1, 2), "gone rests", true);
            assertEquals(Set.of(), fleet.verdictsInForce(3), "the verdict must not cross the partition");
            assertEquals(Set.of(), fleet.verdictsInForce(4), "the verdict must not cross the partition");
            fleet.relay.heal();
            awaitVerdict(fleet, List.of(3, 4), "gone rests", true);
            awaitVerdict(fleet, List.of(0, 1, 2, 3, 4), "gone rests", false);
        }
    }

    @Test
    void fleetKeepsColdServersBudgetDuringPartitionKillAndRestart() throws Exception {
        int budget = 50;
        int windowMs = 1_000;
        try (ProxyFleet fleet = new ProxyFleet(10, folder,
                MEMBERSHIP_CONFIG + "\"shared\":{\"cold\":{\"requests\":" + budget
                        + ",\"window_ms\":" + windowMs + "}},", 600_000_000)) {
            fleet.startBackend("warm", 0);
            fleet.startAll();
            AtomicBoolean stopped = new AtomicBoolean();
            List<Thread> clientThreads = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                int proxy = i;
                Thread clientThread = new Thread(() -> {
                    while (!stopped.get()) {
                        fleet.sendLook(proxy);
                    }
                });
                clientThread.setDaemon(true);
                clientThread.start();
                clientThreads.add(clientThread);
            }
            fleet.startBackend("cold", WallClock.unixMs());
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivalTimesMs.get("cold").size() > 60);
            fleet.relay.partition(1, 0, 0, 0, 0, 0, 0, 0, 0, 0);
            fleet.relay.loss(0.3);
            fleet.proxies.get(9).kill();
            int arrivalsAtKill = fleet.arrivalTimesMs.get("cold").size();
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivalTimesMs.get("cold").size() > arrivalsAtKill + 60);
            fleet.startProxy(9);
            int arrivalsAtRestart = fleet.arrivalTimesMs.get("cold").size();
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivalTimesMs.get("cold").size() > arrivalsAtRestart + 60);
            stopped.set(true);
            for (Thread clientThread : clientThreads) {
                clientThread.join(15_000);
            }
            // On a busy machine requests may arrive a little closer together than they were sent, so the
            // arrivals are counted in a slightly shorter window.
            List<Long> coldArrivalsMs = fleet.arrivalTimesMs.get("cold").stream().sorted().toList();
            int maxInWindow = SharedExperiment.maxArrivalsInWindow(coldArrivalsMs, windowMs - 50);
            assertTrue(maxInWindow <= budget, maxInWindow + " requests in a window");
            assertTrue(fleet.arrivalTimesMs.get("warm").size() > fleet.arrivalTimesMs.get("cold").size());
        }
    }
}
