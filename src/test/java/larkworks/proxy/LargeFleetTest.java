package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import larkworks.adapter.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a proxy handles lists of 1,100 servers and 1,100 members without dropping any. */
@Timeout(120)
class LargeFleetTest {

    private static final int FLEET_SIZE = 1_100;
    /** Sockets that serve the servers' addresses; each stands for the same number of servers. */
    private static final int LISTENER_COUNT = 10;
    private static final int REQUESTS_PER_CHECK = 30;

    @TempDir
    Path folder;

    private static String addressOf(TestBench bench, int server) {
        return bench.backends.get(server % LISTENER_COUNT).address();
    }

    /** Sends requests one by one; each must be served, by the given listener or, if that is -1, by any. */
    private static void assertServedBy(TestBench bench, int listener) throws Exception {
        for (int i = 0; i < REQUESTS_PER_CHECK; i++) {
            int servedBy = bench.serveOneRequest();
            assertTrue(listener < 0 || servedBy == listener, "served by " + servedBy);
        }
    }

    @Test
    void appliesChangesAndDrainsWithOver1000ServersAndPeers() throws Exception {
        try (TestBench bench = new TestBench(LISTENER_COUNT)) {
            int adminPort = TestBench.freePort();
            bench.copies = FLEET_SIZE;
            bench.extraConfig = LargeFleet.membership(FLEET_SIZE, 0, TestBench.HOST + ":"
                    + TestBench.freePort());
            bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + adminPort, "TMPDIR",
                    folder.toString());
            CompletableFuture<StubServer.Message> watchCall = CompletableFuture.supplyAsync(() -> {
                try {
                    StubServer.Message firstCall = bench.discovery.next();
                    firstCall.reply(200, LargeFleet.list(2, true, FLEET_SIZE, i -> addressOf(bench, i),
                            i -> "in_service"));
                    return bench.discovery.next();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            bench.start(folder,
                    LargeFleet.list(1, true, FLEET_SIZE, i -> addressOf(bench, i), i -> "in_service"));
            StubServer.Message watch = watchCall.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(watch.line().contains("?index=2&"), watch.line());
            assertEquals(FLEET_SIZE, memberCount(adminPort), "each peer must be among the members");
            assertServedBy(bench, -1);

            // One change covers all servers: those of listener 3 stay in service, all others drain.
            watch.reply(200, LargeFleet.list(3, false, FLEET_SIZE, i -> addressOf(bench, i),
                    i -> i % LISTENER_COUNT == 3 ? "in_service" : "terminating"));
            watch = bench.discovery.next();
            assertTrue(watch.line().contains("?index=3&"), watch.line());
            assertServedBy(bench, 3);

            // A full list contains only the servers of listener 7, which drained and are now in service.
            watch.reply(200, LargeFleet.list(4, true, FLEET_SIZE, i -> addressOf(bench, i),
                    i -> i % LISTENER_COUNT == 7 ? "in_service" : null));
            watch = bench.discovery.next();
            assertTrue(watch.line().contains("?index=4&"), watch.line());
            assertServedBy(bench, 7);

            TestBench.Client client = bench.client().sendLook("in flight");
            StubServer.Message backendRequest = bench.backends.get(7).next();
            CompletableFuture<Void> ended = bench.beginShutdown();
            backendRequest.reply(200, "finished");
            assertEquals("finished", client.answer().text());
            ended.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private static int memberCount(int adminPort) throws Exception {
        try (var in = URI.create("http://" + TestBench.HOST + ":" + adminPort + "/ops/members").toURL()
                .openStream()) {
            return ((List<?>) Json.object(in.readAllBytes()).get("members")).size();
        }
    }
}
