package larkworks.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a watch costs, counted over real sockets with a list service in a process of its own. */
class ListScaleTest {

    private static final Topology TOPOLOGY = new Topology(2, 5, 20);

    private static ListScenario scenario(int changes, int burst, boolean forget, Fault... faults) {
        // Watches that wait a minute: nothing but changes is told in a test's time.
        return new ListScenario(List.of(), 20, TOPOLOGY, 60_000, 600_000, 600_000, forget, 0, 0.2, changes,
                50, burst, 0, null, 64, 60, List.of(faults));
    }

    private static ListResult run(ListScenario scenario, int watchers) throws Exception {
        try (ListRun run = new ListRun(scenario, watchers, 1, line -> { })) {
            return run.run();
        }
    }

    @Test
    void aChangeCostsAWatchTheSameHoweverManyThereAre() throws Exception {
        List<ListResult> results = new ArrayList<>();
        for (int watchers : List.of(10, 40)) {
            ListResult result = run(scenario(20, 40, false), watchers);
            // Each change is heard at once or together with the next; never is it the whole list of 20.
            assertEquals(20, result.changes().toAllMs().count());
            assertEquals(20L * watchers, result.changes().lagMs().count());
            assertTrue(result.changes().bytesEach() < 600, result.toString());
            assertEquals(40, result.burst().toAllMs().count());
            assertTrue(result.burst().bytesEach() < 600, result.toString());
            results.add(result);
        }
        assertEquals(results.get(0).changes().bytesEach(), results.get(1).changes().bytesEach(), 120,
                results.toString());
    }

    @Test
    void noWatchAsksForTheWholeListAfterAnOutageUnlessItForgot() throws Exception {
        Fault outage = new Fault("outage", Fault.Kind.SERVICE_KILL, Topology.Scope.ONE, 0.2, 1, 0);
        ListResult.ListFault kept = run(scenario(0, 0, false, outage), 10).faults().get(0);
        assertTrue(kept.inForceS() > 0, kept.toString());
        assertEquals(0, kept.wholeLists(), kept.toString());
        assertTrue(kept.failures() >= 10, kept.toString());
        ListResult.ListFault forgot = run(scenario(0, 0, true, outage), 10).faults().get(0);
        assertTrue(forgot.wholeLists() >= 10, forgot.toString());
    }
}
