package larkworks.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real member processes of our jar behind the UDP fault relay (issue 9's hard cases). */
class MembershipProcessTest {

    /** 500 ms periods; the least suspicion time is 3 s, so a pause of 2 s is no death. */
    private static final String FIGURES =
            "{\"probe_interval_ms\":500,\"probe_timeout_ms\":200,\"suspicion_alpha\":6}";

    @TempDir
    Path folder;

    private static boolean everDead(Fleet fleet, List<Integer> of, List<Integer> by) {
        return fleet.lines.stream().anyMatch(l -> "changed".equals(l.get("message"))
                && "dead".equals(l.get("to"))
                && of.contains(((Number) l.get("about")).intValue())
                && by.contains(((Number) l.get("member")).intValue()));
    }

    @Test
    void killedMemberIsDeadAtEverySurvivorAt20PercentLossWithNoFalseDeath() throws Exception {
        try (Fleet fleet = new Fleet(5, FIGURES, folder)) {
            assertTrue(Fleet.await(10_000, () -> fleet.started() == 5));
            fleet.relay.loss(0.2);
            fleet.relay.duplicates(0.05);
            fleet.relay.delay(1, 20);
            Thread.sleep(3_000);  // a stretch of loss before the kill, for false deaths to show if any
            fleet.kill(4);
            List<Integer> survivors = List.of(0, 1, 2, 3);
            assertTrue(Fleet.await(25_000, () -> fleet.allHold(survivors, 4, "dead")),
                    "4 not dead everywhere");
            assertTrue(!everDead(fleet, survivors, survivors), "a survivor was held dead");
        }
    }

    @Test
    void pausedMemberComesBackWithoutEvictionAndPartitionHeals() throws Exception {
        try (Fleet fleet = new Fleet(5, FIGURES, folder)) {
            List<Integer> all = List.of(0, 1, 2, 3, 4);
            assertTrue(Fleet.await(10_000, () -> fleet.started() == 5));
            Thread.sleep(1_500);
            fleet.signal(2, "STOP");
            Thread.sleep(2_000);
            fleet.signal(2, "CONT");
            assertTrue(Fleet.await(10_000, () -> fleet.allHold(List.of(0, 1, 3, 4), 2, "alive")));
            assertTrue(!everDead(fleet, all, all), "a paused member was evicted");

            fleet.relay.partition(0, 0, 0, 1, 1);
            assertTrue(Fleet.await(30_000, () -> fleet.allHold(List.of(0, 1, 2), 3, "dead")
                    && fleet.allHold(List.of(3, 4), 0, "dead")), "the halves never parted");
            assertTrue(Fleet.await(5_000, () -> fleet.lines.stream()
                    .anyMatch(l -> "minority".equals(l.get("message"))
                    && ((Number) l.get("member")).intValue() >= 3)), "the smaller half never said minority");
            fleet.relay.heal();
            assertTrue(Fleet.await(30_000, () -> all.stream().allMatch(i ->
                    IntStream.range(0, 5).allMatch(j -> fleet.view(i, j).equals("alive")))), fleet::views);
        }
    }

    @Test
    void restartedMemberIsNewerThanItsOldSelf() throws Exception {
        try (Fleet fleet = new Fleet(3, FIGURES, folder)) {
            assertTrue(Fleet.await(10_000, () -> fleet.started() == 3));
            Thread.sleep(1_100);  // a new incarnation is the wall clock in seconds
            fleet.kill(1);
            assertTrue(Fleet.await(25_000, () -> fleet.allHold(List.of(0, 2), 1, "dead")));
            fleet.start(1);
            assertTrue(Fleet.await(15_000, () -> fleet.allHold(List.of(0, 2), 1, "alive")));
            assertEquals(4, fleet.started());
        }
    }
}
