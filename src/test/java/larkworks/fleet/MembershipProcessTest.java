package larkworks.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
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
            assertTrue(fleet.exchange(100));  // a stretch of loss, for false deaths to show if any
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
            assertTrue(fleet.exchange(30));
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

    @Test
    void garbageAndOneWayLossKillNobodyAndAThirdLostAtHalfLossIsSeen() throws Exception {
        try (Fleet fleet = new Fleet(6, FIGURES, folder)) {
            List<Integer> all = IntStream.range(0, 6).boxed().toList();
            assertTrue(Fleet.await(10_000, () -> fleet.started() == 6));
            fleet.relay.deafen(0, 1);
            flood(fleet.relay.back(2));
            assertTrue(fleet.exchange(300));
            assertTrue(Fleet.await(5_000, () -> fleet.lines.stream()
                    .anyMatch(l -> "dropped".equals(l.get("message")) && l.get("member").equals(2))));
            assertTrue(!everDead(fleet, all, all), "one-way loss or garbage killed a member");

            fleet.relay.heal();
            fleet.relay.loss(0.5);
            fleet.relay.duplicates(0.3);
            fleet.relay.delay(1, 60);
            fleet.kill(4);
            fleet.kill(5);
            List<Integer> survivors = List.of(0, 1, 2, 3);
            assertTrue(Fleet.await(60_000, () -> fleet.allHold(survivors, 4, "dead")
                    && fleet.allHold(survivors, 5, "dead")), fleet::views);
            fleet.relay.loss(0);
            assertTrue(Fleet.await(30_000, () -> survivors.stream()
                    .allMatch(i -> fleet.allHold(survivors, i, "alive"))), fleet::views);

            fleet.signal(0, "TERM");
            assertTrue(Fleet.await(10_000, () -> fleet.allHold(List.of(1, 2, 3), 0, "left")), fleet::views);
        }
    }

    /** Random bytes of all lengths, and well-formed messages, from an address that is no member's. */
    private static void flood(InetSocketAddress at) throws IOException {
        Random random = new Random(5);
        byte[] killing = PeerCodec.encode(new Message(Message.Type.PING, 0, 1, 2,
                List.of(new Update(1, MemberState.DEAD, 0xFFFF_FFFFL, 0))));
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i < 5_000; i++) {
                byte[] bytes = i % 2 == 0 ? killing : new byte[random.nextInt(1_200)];
                if (i % 2 != 0) {
                    random.nextBytes(bytes);
                }
                socket.send(new DatagramPacket(bytes, bytes.length, at));
            }
        }
    }
}
