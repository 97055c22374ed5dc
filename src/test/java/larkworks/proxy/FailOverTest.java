package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests failover of a proxy between several discovery services, also replicas of one (issue 21). */
@Timeout(60)
class FailOverTest {

    private static final String FULL_LIST_REQUEST = "GET /registry/instances HTTP/1.1";
    private static final String EPOCH_HEADER = "X-Registry-Epoch: one";

    @TempDir
    Path folder;

    private static void assertWatches(long index, StubServer.Message call) {
        assertTrue(call.line().startsWith("GET /registry/instances?index=" + index + "&wait="), call.line());
    }

    @Test
    void aWatchContinuesAtAnotherReplicaFromTheLastIndex() throws Exception {
        try (StubServer secondReplica = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(secondReplica);
            bench.start(folder);
            StubServer.Message call = bench.discovery.next();
            assertWatches(1, call);
            call.reply(200, bench.fullList(7), EPOCH_HEADER);
            call = bench.discovery.next();
            assertWatches(7, call);
            call.resetConnection();
            call = secondReplica.next();
            assertWatches(7, call);
            call.reply(200, TestBench.listJson(9, false, bench.entry(0, "terminating")), EPOCH_HEADER);
            assertWatches(9, secondReplica.next());
        }
    }

    @Test
    void theFullListIsRequestedOnceAllReplicasRejectTheIndex() throws Exception {
        try (StubServer secondReplica = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(secondReplica);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH_HEADER);
            bench.discovery.next().reply(503, "{}");
            StubServer.Message call = secondReplica.next();
            assertWatches(7, call);
            call.resetConnection();  // a reset does not say whether the index is known
            call = bench.discovery.next();
            assertWatches(7, call);
            call.reply(503, "{}");
            assertEquals(FULL_LIST_REQUEST, secondReplica.next().line());
        }
    }

    @Test
    void theFullListIsRequestedFromServicesWithoutAnEpoch() throws Exception {
        try (StubServer secondReplica = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(secondReplica);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7));
            bench.discovery.next().resetConnection();
            assertEquals(FULL_LIST_REQUEST, secondReplica.next().line());
        }
    }

    @Test
    void aStaleReplicaIsAbandonedForAnother() throws Exception {
        try (StubServer secondReplica = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(secondReplica);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH_HEADER, "X-Registry-Stale: true");
            StubServer.Message call = secondReplica.next();
            assertWatches(7, call);
            assertEquals(0, bench.discovery.pendingMessages(), "the stale replica must not receive a watch");
            call.reply(200, TestBench.listJson(8, false, bench.entry(0, "terminating")), EPOCH_HEADER);
            assertWatches(8, secondReplica.next());
        }
    }

    @Test
    void changesOfAnotherEpochAreIgnored() throws Exception {
        try (StubServer secondReplica = new StubServer(); TestBench bench = new TestBench(1)) {
            bench.otherDiscoveries = List.of(secondReplica);
            bench.start(folder);
            bench.discovery.next().reply(200, bench.fullList(7), EPOCH_HEADER);
            bench.discovery.next().resetConnection();
            secondReplica.next().reply(200, TestBench.listJson(9, false), "X-Registry-Epoch: two");
            assertEquals(FULL_LIST_REQUEST, bench.discovery.next().line());
        }
    }
}
