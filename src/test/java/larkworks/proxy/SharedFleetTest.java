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

    private static final String MEMBERSHIP = "\"membership\":{\"probe_interval_ms\":300},";

    @TempDir
    Path folder;

    /** Sends requests through a proxy until it has reached the given verdict. */
    private static void provoke(ProxyFleet fleet, int proxy, String verdict) throws Exception {
        Program.await(30, () -> fleet.verdicts(proxy).toString(), () -> {
            assertEquals(200, fleet.look(proxy), "the other backend must serve the request");
            return fleet.verdicts(proxy).contains(verdict);
        });
    }

    private static void awaitAll(ProxyFleet fleet, List<Integer> who, String verdict, boolean held)
            throws Exception {
        Program.await(30, () -> who.stream().map(fleet::verdicts).toList().toString(),
                () -> who.stream().allMatch(i -> fleet.verdicts(i).contains(verdict) == held));
    }

    @Test
    void aVerdictReachesAllAtHalfLossButNoPartitionUntilItHealsAndEndsEverywhere() throws Exception {
        try (ProxyFleet fleet = new ProxyFleet(5, folder, MEMBERSHIP + "\"shared\":{},", 1_000_000)) {
            fleet.backend("well", 0);
            fleet.list("gone", 2, 0);  // nothing listens on this port
            fleet.start();
            Program.await(30, () -> "not all members are alive", () -> IntStream.range(0, 5)
                    .allMatch(i -> fleet.alive(i) == 5));
            fleet.relay.loss(0.5);
            provoke(fleet, 0, "gone demoted");
            awaitAll(fleet, List.of(1, 2, 3, 4), "gone demoted", true);
            fleet.relay.loss(0);
            awaitAll(fleet, List.of(0, 1, 2, 3, 4), "gone demoted", false);

            fleet.relay.partition(0, 0, 0, 1, 1);
            provoke(fleet, 0, "gone rests");
            awaitAll(fleet, List.of(1, 2), "gone rests", true);
            assertEquals(Set.of(), fleet.verdicts(3), "the verdict must not cross the partition");
            assertEquals(Set.of(), fleet.verdicts(4), "the verdict must not cross the partition");
            fleet.relay.heal();
            awaitAll(fleet, List.of(3, 4), "gone rests", true);
            awaitAll(fleet, List.of(0, 1, 2, 3, 4), "gone rests", false);
        }
    }

    @Test
    void allTogetherKeepAColdServersBudgetThroughAPartitionAKillAndARestart() throws Exception {
        int budget = 50;
        int windowMs = 1_000;
        try (ProxyFleet fleet = new ProxyFleet(10, folder, MEMBERSHIP + "\"shared\":{\"cold\":{\"requests\":"
                + budget + ",\"window_ms\":" + windowMs + "}},", 600_000_000)) {
            fleet.backend("warm", 0);
            fleet.start();
            AtomicBoolean over = new AtomicBoolean();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                int proxy = i;
                Thread caller = new Thread(() -> {
                    while (!over.get()) {
                        fleet.look(proxy);
                    }
                });
                caller.setDaemon(true);
                caller.start();
                callers.add(caller);
            }
            fleet.backend("cold", WallClock.unixMs());
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivals.get("cold").size() > 60);
            fleet.relay.partition(1, 0, 0, 0, 0, 0, 0, 0, 0, 0);
            fleet.relay.loss(0.3);
            fleet.proxies.get(9).kill();
            int before = fleet.arrivals.get("cold").size();
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivals.get("cold").size() > before + 60);
            fleet.start(9);
            int again = fleet.arrivals.get("cold").size();
            Program.await(30, () -> "too few requests arrive at the cold server",
                    () -> fleet.arrivals.get("cold").size() > again + 60);
            over.set(true);
            for (Thread caller : callers) {
                caller.join(15_000);
            }
            // On a busy machine requests may arrive a little closer together than they were sent, so the
            // arrivals are counted in a slightly shorter window.
            List<Long> cold = fleet.arrivals.get("cold").stream().sorted().toList();
            int most = SharedExperiment.most(cold, windowMs - 50);
            assertTrue(most <= budget, most + " requests in a window");
            assertTrue(fleet.arrivals.get("warm").size() > fleet.arrivals.get("cold").size());
        }
    }
}
