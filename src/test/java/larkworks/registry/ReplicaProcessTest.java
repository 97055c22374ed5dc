package larkworks.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
    private static final String SHORT_LOG = "snapshot_entries = 100\n";

    @TempDir
    Path folder;

    @Test
    void aLeaderKilledUnderWritesLosesNothingAcknowledgedAndAllComeBack() throws Exception {
        try (Replicas replicas = new Replicas(folder, 3, SHORT_LOG)) {
            String leader = replicas.awaitLeader(replicas.ids());
            String epoch = replicas.awaitSame(replicas.ids()).header(RegistryServer.EPOCH);
            WriteHistory history = new WriteHistory(replicas, 6);
            HoppingWatch watch = new HoppingWatch(replicas);
            history.awaitMore(300);
            replicas.kill(leader);
            history.awaitMore(300);
            assertNotEquals(leader, replicas.awaitLeader(replicas.others(leader)));
            replicas.start(leader, "");
            history.awaitMore(100);
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
            for (int i = 0; i < 200; i++) {
                assertEquals(200, replicas.caller(other).register("m" + i, "10.0.0.2:" + (1_000 + i), "")
                        .status());
            }
            Program.await(10, () -> replicas.status(cut).toString(),
                    () -> Boolean.TRUE.equals(replicas.status(cut).get("stale")));
            Caller.Answer late = replicas.caller(cut).register("late", "10.0.0.1:3", "");
            assertEquals(503, late.status());
            assertTrue(late.error().startsWith("no quorum of replicas: no word of a leader for"),
                    late.error());
            Caller.Answer stale = replicas.caller(cut).list("");
            assertEquals(before.body(), stale.body());
            assertEquals("true", stale.header(ReplicaService.STALE));
            assertTrue(Long.parseLong(stale.header(ReplicaService.AGE)) > 1_000);
            Caller.Answer behind = replicas.caller(cut).list("?index=" + (before.index() + 200));
            assertEquals(503, behind.status(), "it can't know of what the caller has seen elsewhere");
            assertTrue(behind.error().contains("behind"), behind.error());

            replicas.heal();
            Caller.Answer after = replicas.awaitSame(replicas.ids());
            assertTrue(after.endpoints().contains("m199 in_service"));
            assertFalse(after.endpoints().contains("late in_service"));
            assertEquals(before.header(RegistryServer.EPOCH), after.header(RegistryServer.EPOCH));
            Caller.Answer changes = replicas.caller(cut).list("?index=" + before.index());
            assertEquals(Boolean.FALSE, changes.body().get("snapshot"));
        }
    }
}
