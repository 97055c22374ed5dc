package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A proxy whose discovery is several services, perhaps replicas of one (issue 21). */
@Timeout(60)
class FailOverTest {

    private static final String WHOLE = "GET /registry/instances HTTP/1.1";
    private static final String EPOCH = "X-Registry-Epoch: one";

    @TempDir
    Path folder;

    private static void assertWatches(long index, StubServer.Message call) {
        assertTrue(call.line().startsWith("GET /registry/instances?index=" + index + "&wait="), call.line());
    }

    @Test
    void aWatchGoesOnAtAnotherReplicaFromTheVersionHeld() throws Exception {
        try (StubServer second = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(second);
            bench.start(folder);
            StubServer.Message call = bench.discovery.next();
            assertWatches(1, call);
            call.reply(200, bench.fullList(7), EPOCH);
            call = bench.discovery.next();
            assertWatches(7, call);
            call.reset();
            call = second.next();
            assertWatches(7, call);
            call.reply(200, TestBench.listJson(9, false, bench.entry(0, "terminating")), EPOCH);
            assertWatches(9, second.next());
        }
    }

    @Test
    void theWholeListIsWantedOnceAllReplicasRefuseTheVersionHeld() throws Exception {
        try (StubServer second = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(second);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH);
            bench.discovery.next().reply(503, "{}");
            StubServer.Message call = second.next();
            assertWatches(7, call);
            call.reset();  // no word on the version
            call = bench.discovery.next();
            assertWatches(7, call);
            call.reply(503, "{}");
            assertEquals(WHOLE, second.next().line());
        }
    }

    @Test
    void servicesThatTellNoEpochAreAskedForTheWholeList() throws Exception {
        try (StubServer second = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(second);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7));
            bench.discovery.next().reset();
            assertEquals(WHOLE, second.next().line());
        }
    }

    @Test
    void aReplicaThatHearsNoLeaderIsLeftForAnother() throws Exception {
        try (StubServer second = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(second);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH, "X-Registry-Stale: true");
            StubServer.Message call = second.next();
            assertWatches(7, call);
            assertEquals(0, bench.discovery.pendingMessages(), "no watch there fell silent first");
            call.reply(200, TestBench.listJson(8, false, bench.entry(0, "terminating")), EPOCH);
            assertWatches(8, second.next());
        }
    }

    @Test
    void changesOfAnotherEpochAreNotTaken() throws Exception {
        try (StubServer second = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(second);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH);
            bench.discovery.next().reset();
            second.next().reply(200, TestBench.listJson(9, false), "X-Registry-Epoch: two");
            assertEquals(WHOLE, bench.discovery.next().line());
        }
    }
}
