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

/** A proxy among more than a thousand servers and as many proxies: none is left out, anywhere. */
@Timeout(120)
class LargeFleetTest {

    private static final int SIZE = 1_100;
    /** Listeners behind the servers' addresses, each with as many servers as the others. */
    private static final int LISTENERS = 10;
    private static final int REQUESTS = 30;

    @TempDir
    Path folder;

    private static String address(TestBench bench, int server) {
        return bench.backends.get(server % LISTENERS).address();
    }

    /** Has requests served, one after the other, all of them by this listener; -1 for any. */
    private static void serve(TestBench bench, int listener) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            int by = bench.serveOneRequest();
            assertTrue(listener < 0 || by == listener, "served by " + by);
        }
    }

    @Test
    void servesAmongAThousandServersAndPeersTakesChangesToAllAndDrains() throws Exception {
        try (TestBench bench = new TestBench(LISTENERS)) {
            int admin = TestBench.freePort();
            bench.copies = SIZE;
            bench.extraConfig = LargeFleet.membership(SIZE, 0, TestBench.HOST + ":" + TestBench.freePort());
            bench.environment = Map.of("GW_ADMIN_ADDR", TestBench.HOST + ":" + admin, "TMPDIR",
                    folder.toString());
            CompletableFuture<StubServer.Message> told = CompletableFuture.supplyAsync(() -> {
                try {
                    StubServer.Message asked = bench.discovery.next();
                    asked.reply(200, LargeFleet.list(2, true, SIZE, i -> address(bench, i),
                            i -> "in_service"));
                    return bench.discovery.next();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            bench.start(folder, LargeFleet.list(1, true, SIZE, i -> address(bench, i), i -> "in_service"));
            StubServer.Message watch = told.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(watch.line().contains("?index=2&"), watch.line());
            assertEquals(SIZE, members(admin), "each peer has its row");
            serve(bench, -1);

            // All change at once: but for one listener's, they drain.
            watch.reply(200, LargeFleet.list(3, false, SIZE, i -> address(bench, i),
                    i -> i % LISTENERS == 3 ? "in_service" : "terminating"));
            watch = bench.discovery.next();
            assertTrue(watch.line().contains("?index=3&"), watch.line());
            serve(bench, 3);

            // The whole list leaves out all but another listener's, where those that drained are back.
            watch.reply(200, LargeFleet.list(4, true, SIZE, i -> address(bench, i),
                    i -> i % LISTENERS == 7 ? "in_service" : null));
            watch = bench.discovery.next();
            assertTrue(watch.line().contains("?index=4&"), watch.line());
            serve(bench, 7);

            TestBench.Client client = bench.client().sendLook("in flight");
            StubServer.Message sent = bench.backends.get(7).next();
            CompletableFuture<Void> ended = bench.beginShutdown();
            sent.reply(200, "finished");
            assertEquals("finished", client.answer().text());
            ended.get(StubServer.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private static int members(int admin) throws Exception {
        try (var in = URI.create("http://" + TestBench.HOST + ":" + admin + "/ops/members").toURL()
                .openStream()) {
            return ((List<?>) Json.object(in.readAllBytes()).get("members")).size();
        }
    }
}
