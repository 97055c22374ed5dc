package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A proxy becomes ready in time, whatever becomes of its first call to discovery (issue 20, step 4). */
@Timeout(120)
class ReadinessTest {

    /** Between two bytes of an answer: well below the pause after which it would be given up. */
    private static final long DRIP_MS = 100;

    @TempDir
    Path folder;

    private static void awaitReady(TestBench bench) throws Exception {
        TestBench.Client client = bench.client();
        Program.await((int) StubServer.TIMEOUT_S, () -> "never ready", () -> {
            try {
                return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** What is known from before serves; the call that never ends is given up and made anew. */
    @Test
    void isReadyWhereDiscoveryHangsForEverAndKeepsAskingIt() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            awaitReady(bench);
            assertEquals(0, bench.serveOneRequest());
            for (int call = 0; call < 3; call++) {
                String line = bench.discovery.next().line();
                assertTrue(line.startsWith("GET /registry/instances?index=1&"), line);
            }
        }
    }

    /** An answer may go on for 4 s once it has begun; what is left of it counts when it comes. */
    @Test
    void isReadyWhileTheFirstListStillComesAndTakesItThen() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            String list = TestBench.listJson(7, true, bench.entry(1, "in_service"));
            String known = TestBench.listJson(1, true, bench.entry(0, "in_service"));
            bench.start(folder, known);
            StubServer.Message asked = bench.discovery.next();
            asked.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            int[] sent = {0};
            Thread drip = new Thread(() -> {
                while (!Thread.currentThread().isInterrupted()) {
                    asked.sendRaw(list.substring(sent[0], ++sent[0]));
                    try {
                        Thread.sleep(DRIP_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            drip.setDaemon(true);
            drip.start();
            awaitReady(bench);
            drip.interrupt();
            drip.join(TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_S));
            assertTrue(asked.connectionEnded().getCount() > 0, "ready only once the answer was given up");
            asked.sendRaw(list.substring(sent[0]));
            // Given up, it would ask for the whole list anew.
            assertTrue(bench.discovery.next().line().contains("?index=7&"), "the list that came is not held");
            assertEquals(1, bench.serveOneRequest(), "by the list that came");
        }
    }
}
