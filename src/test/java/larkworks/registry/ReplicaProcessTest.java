package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A list service of three replicas as processes: killed, cut off, started anew (issue 21). */
@Timeout(180)
class ReplicaProcessTest {

    /** So few that logs are compacted, and a replica that comes back needs the leader's snapshot. */
    private static final String SHORT_LOG = "snapshot_entries = 100\nsegment_bytes = 8192\n";

    /** The leader may apply as many entries between its last word on that and its end. */
    private static final long KILLED_LATER = 100;

    @TempDir
    Path folder;

    @Test
    void aLeaderKilledUnderWritesLosesNothingAcknowledgedAndAllComeBack() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, SHORT_LOG)) {
            String leader = replicas.awaitLeader(replicas.ids());
            String epoch = replicas.awaitSame(replicas.ids()).header(RegistryServer.EPOCH);
            WriteHistory history = new WriteHistory(replicas, 6);
            HoppingWatch watch = new HoppingWatch(replicas);
            history.awaitMore(150);
            long applied = ((Number) replicas.status(leader).get("applied")).longValue();
            replicas.kill(leader);
            history.awaitMore(150);
            assertNotEquals(leader, replicas.awaitLeader(replicas.others(leader)));
            // What it misses first is in no log any more.
            Program.await(30, () -> replicas.others(leader).stream().map(replicas::logStart).toList()
                    + " after " + applied, () -> replicas.others(leader).stream()
                    .allMatch(id -> replicas.logStart(id) > applied + KILLED_LATER));
            replicas.start(leader, "");
            replicas.program(leader).awaitLogLine("snapshot of the leader taken up");
            history.awaitMore(60);
            history.end();
            Caller.Answer list = replicas.awaitSame(replicas.ids());
            history.check(list);
            watch.await(list.index());
            watch.check(list);

            for (String id : replicas.ids()) {
                replicas.kill(id);
            }
            for (String id : replicas.ids()) {
                replicas.start(id, "");
            }
            Caller.Answer after = replicas.awaitSame(replicas.ids());
            assertEquals(list.body(), after.body());
            assertEquals(epoch, after.header(RegistryServer.EPOCH));
            assertEquals(list.index() + 1, replicas.caller("a").register("next", "10.9.9.9:9", "").index());
        }
    }

    @Test
    void aLeaderWhoseDiskIsFullMakesWayAndComesBackWhole() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, "")) {
            String full = replicas.awaitLeader(replicas.ids());
            Caller.Answer before = replicas.awaitSame(replicas.ids());
            replicas.limitFiles(full, 1_000);
            WriteHistory history = new WriteHistory(replicas, 3);
            String next = replicas.awaitLeader(replicas.others(full));
            replicas.program(full).awaitLogLine("the log can't be written: no part is taken any more");
            history.awaitMore(100);
            Caller.Answer refused = replicas.caller(full).register("n", "10.9.9.9:1", "");
            assertEquals(503, refused.status());
            assertTrue(refused.error().startsWith("this replica's log can't be written (File too large)"),
                    refused.error());
            assertEquals("true", replicas.caller(full).list("").header(ReplicaService.STALE));
            replicas.kill(full);
            replicas.start(full, "");
            history.end();
            Caller.Answer after = replicas.awaitSame(replicas.ids());
            history.check(after);
            assertEquals(before.header(RegistryServer.EPOCH), after.header(RegistryServer.EPOCH));
            assertNotEquals(full, next);
        }
    }

    /**
     * An entry it never acknowledged, cut off behind its length, in its body and in its checksum; with zeros
     * behind, as in a preallocated file, or nothing.
     */
    @Test
    void aReplicaWhoseLastLogEntryIsTornStartsAndCatchesUp() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, "")) {
            String torn = replicas.others(replicas.awaitLeader(replicas.ids())).get(0);
            for (int round = 0; round < 6; round++) {
                register(replicas.caller(torn), round);
                replicas.awaitSame(replicas.ids());
                replicas.kill(torn);
                OpenSegment segment = OpenSegment.under(replicas.data(torn));
                int length = segment.end() - segment.last();
                segment.writePart(List.of(1, length / 2, length - 2).get(round / 2), round % 2 == 0);
                register(replicas.caller(replicas.others(torn).get(0)), 10 + round);
                replicas.start(torn, "");
                replicas.program(torn).awaitLogLine("torn entry cut from the end of the log");
                Caller.Answer after = replicas.awaitSame(replicas.ids());
                assertTrue(after.endpoints().containsAll(List.of("n" + round + " in_service",
                        "n" + (10 + round) + " in_service")), () -> after.endpoints().toString());
            }
        }
    }

    private static void register(Caller caller, int number) throws IOException, InterruptedException {
        Caller.Answer answer = caller.register("n" + number, "10.0.0.1:" + (1 + number), "");
        assertEquals(200, answer.status(), answer::error);
    }

    @Test
    void aReplicaWhoseLogIsDamagedInTheMiddleDoesNotStartAndNamesTheFile() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, "")) {
            String hurt = replicas.others(replicas.awaitLeader(replicas.ids())).get(0);
            for (int i = 0; i < 5; i++) {
                register(replicas.caller(hurt), i);
            }
            replicas.awaitSame(replicas.ids());
            replicas.kill(hurt);
            OpenSegment segment = OpenSegment.under(replicas.data(hurt));
            segment.change((OpenSegment.HEADER + segment.last()) / 2);
            byte[] left = Files.readAllBytes(segment.file());
            replicas.launch(hurt, "");
            Program refused = replicas.program(hurt);
            Program.await(30, refused.lines::toString, () -> !refused.process.isAlive()
                    && refused.lines.toString().contains(segment.file() + ": damaged at byte "));
            assertNotEquals(0, refused.process.exitValue());
            assertArrayEquals(left, Files.readAllBytes(segment.file()), "left for the operator");
        }
    }

    @Test
    void leasesOutliveTheLeaderByTheirFullTimeAndEndThroughTheLog() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, "")) {
            String leader = replicas.awaitLeader(replicas.ids());
            String follower = replicas.others(leader).get(0);
            Caller caller = replicas.caller(follower);
            assertEquals(200, caller.register("silent", "10.0.0.1:1", ",\"ttl_ms\":1500").status());
            assertEquals(200, caller.register("beating", "10.0.0.1:2", ",\"ttl_ms\":1500").status());
            replicas.kill(leader);
            String next = replicas.awaitLeader(replicas.others(leader));
            long ledMs = ((Number) replicas.program(next).awaitLogLine("leads").get("ts")).longValue();
            Program.await(30, () -> replicas.status(follower).toString(), () -> {
                beat(caller);
                return endpoints(caller).contains("silent terminating");
            });
            long endedMs =
                    ((Number) replicas.program(next).awaitLogLine("leases ended").get("ts")).longValue();
            assertTrue(endedMs - ledMs >= 1_500, "ended " + (endedMs - ledMs) + " ms after the election");
            assertTrue(endpoints(caller).contains("beating in_service"));
            assertEquals(200, caller.call("PUT", "/registry/v1/instances/silent/heartbeat", "").status());
            Program.await(10, () -> replicas.status(follower).toString(),
                    () -> endpoints(caller).contains("silent in_service"));
            Program.await(30, () -> replicas.status(follower).toString(), () -> {
                beat(caller);
                return endpoints(caller).equals(List.of("beating in_service"));
            });
            assertEquals(List.of("beating in_service"),
                    replicas.awaitSame(replicas.others(leader)).endpoints());
        }
    }

    @Test
    void aReplicaIsReplacedByANewOneWhileWritesGoOn() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, SHORT_LOG)) {
            String old = replicas.awaitLeader(replicas.ids());
            List<String> kept = replicas.others(old);
            WriteHistory history = new WriteHistory(replicas, 3);
            history.awaitMore(120);
            replicas.join("d");
            Caller caller = replicas.caller(kept.get(0));
            Caller.Answer both = caller.call("PUT", "/registry/v1/replicas",
                    replicas.replicas(List.of(kept.get(0), "d")));
            assertEquals(409, both.status(), "two go, and one comes");
            assertTrue(both.error().startsWith("one replica at a time"), both.error());
            List<String> after = List.of(kept.get(0), kept.get(1), "d");
            Caller.Answer changed = caller.call("PUT", "/registry/v1/replicas", replicas.replicas(after));
            assertEquals(200, changed.status(), changed.error());
            replicas.kill(old);
            replicas.awaitLeader(after);
            // The new one counts: with it, one of the first may be missed.
            replicas.kill(kept.get(1));
            history.awaitMore(50);
            history.end();
            replicas.kill("d");
            replicas.start("d", "");
            Caller.Answer list = replicas.awaitSame(List.of(kept.get(0), "d"));
            history.check(list);
            assertEquals(after.stream().sorted().toList(), replicas.status("d").get("replicas"));
        }
    }

    private static void beat(Caller caller) {
        try {
            caller.call("PUT", "/registry/v1/instances/beating/heartbeat", "");
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<String> endpoints(Caller caller) {
        try {
            return caller.list("").endpoints();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aLeaderCutOffRefusesWritesServesStaleReadsAndCatchesUpOnceHealed() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, SHORT_LOG + "stale_ms = 1000\n")) {
            String cut = replicas.awaitLeader(replicas.ids());
            List<String> majority = replicas.others(cut);
            replicas.caller(cut).register("before", "10.0.0.1:1", "");
            Caller.Answer before = replicas.awaitSame(replicas.ids());
            replicas.cut(cut);
            // Taken at once, perhaps before anything is missed; it must not be acknowledged.
            Caller.Answer early = replicas.caller(cut).register("early", "10.0.0.1:2", "");
            assertEquals(503, early.status());
            assertTrue(early.error().startsWith("no quorum of replicas"), early.error());
            String other = replicas.awaitLeader(majority);
            for (int i = 0; i < 100; i++) {
                assertEquals(200, replicas.caller(other).register("m" + i, "10.0.0.2:" + (1_000 + i), "")
                        .status());
            }
            Program.await(10, () -> replicas.status(cut).toString(),
                    () -> Boolean.TRUE.equals(replicas.status(cut).get("stale"))
                            && Boolean.FALSE.equals(replicas.status(cut).get("leads")));
            Caller.Answer late = replicas.caller(cut).register("late", "10.0.0.1:3", "");
            assertEquals(503, late.status());
            assertTrue(late.error().startsWith("no quorum of replicas: no word of a leader for"),
                    late.error());
            Caller.Answer stale = replicas.caller(cut).list("");
            assertEquals(before.body(), stale.body());
            assertEquals("true", stale.header(ReplicaService.STALE));
            assertTrue(Long.parseLong(stale.header(ReplicaService.AGE)) > 1_000);
            Caller.Answer behind = replicas.caller(cut).list("?index=" + (before.index() + 100));
            assertEquals(503, behind.status(), "it can't know of what the caller has seen elsewhere");
            assertTrue(behind.error().contains("behind"), behind.error());

            replicas.heal();
            Caller.Answer after = replicas.awaitSame(replicas.ids());
            assertTrue(after.endpoints().contains("m99 in_service"));
            assertFalse(after.endpoints().contains("late in_service"));
            assertEquals(before.header(RegistryServer.EPOCH), after.header(RegistryServer.EPOCH));
            Caller.Answer changes = replicas.caller(cut).list("?index=" + before.index());
            assertEquals(Boolean.FALSE, changes.body().get("snapshot"));
        }
    }
}
