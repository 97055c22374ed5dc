package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import larkworks.Program;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a proxy is ready in time even if its first call to discovery hangs or is slow (issue 20). */
@Timeout(120)
class ReadinessTest {

    /** Pause after each byte of an answer, well below the 1 s after which a stalled answer times out. */
    private static final long BYTE_INTERVAL_MS = 100;

    @TempDir
    Path folder;

    private static void awaitReady(TestBench bench) throws Exception {
        TestBench.Client client = bench.client();
        Program.await((int) StubServer.TIMEOUT_S, () -> "the proxy did not become ready", () -> {
            try {
                return client.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200;
            } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** The proxy serves by the list in its configuration; a call that hangs times out and is repeated. */
    @Test
    void isReadyThoughDiscoveryHangsAndKeepsCallingIt() throws Exception {
        try (TestBench bench = new TestBench(1).start(folder)) {
            awaitReady(bench);
            assertEquals(0, bench.serveOneRequest());
            for (int call = 0; call < 3; call++) {
                String line = bench.discovery.next().line();
                assertTrue(line.startsWith("GET /registry/instances?index=1&"), line);
            }
        }
    }

    /** An answer may take 4 s from its first byte; a list completed after readiness is still applied. */
    @Test
    void isReadyWhileTheFirstListIsIncompleteAndAppliesItLater() throws Exception {
        try (TestBench bench = new TestBench(2)) {
            String list = TestBench.listJson(7, true, bench.entry(1, "in_service"));
            String knownList = TestBench.listJson(1, true, bench.entry(0, "in_service"));
            bench.start(folder, knownList);
            StubServer.Message listCall = bench.discovery.next();
            listCall.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n");
            int[] sentBytes = {0};
            Thread byteSender = new Thread(() -> {
                while (!Thread.currentThread().isInterrupted()) {
                    listCall.sendRaw(list.substring(sentBytes[0], ++sentBytes[0]));
                    try {
                        Thread.sleep(BYTE_INTERVAL_MS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            byteSender.setDaemon(true);
            byteSender.start();
            awaitReady(bench);
            byteSender.interrupt();
            byteSender.join(TimeUnit.SECONDS.toMillis(StubServer.TIMEOUT_S));
            assertTrue(listCall.connectionEnded().getCount() > 0,
                    "the proxy must be ready while it still reads the answer");
            listCall.sendRaw(list.substring(sentBytes[0]));
            // Had the answer timed out, the proxy would not ask for changes after index 7.
            assertTrue(bench.discovery.next().line().contains("?index=7&"),
                    "the received list was not applied");
            assertEquals(1, bench.serveOneRequest(), "must be served by the received list");
        }
    }
}
