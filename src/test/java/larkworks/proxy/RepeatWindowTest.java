package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a retry of a request with an idempotency key that is sent after the key's deduplication
 * window has passed, while the retry was waiting for its connection.
 */
@Timeout(60)
class RepeatWindowTest {

    private static final long DEDUP_WINDOW_US = 600_000;

    @TempDir
    Path folder;

    @Test
    void doesNotSendRetryWhoseConnectionIsEstablishedAfterDedupWindow() throws Exception {
        try (TestBench bench = new TestBench(1); FullBacklogServer hangingBackend = new FullBacklogServer()) {
            bench.dedupWindowUs = DEDUP_WINDOW_US;
            // With the configured seed, the first backend of the list gets the first request.
            bench.start(folder, TestBench.listJson(1, true, bench.entry(0, "in_service"),
                    TestBench.entry("late", hangingBackend.address(), "in_service")));
            TestBench.Client client = bench.client().sendPost("pay", "r1", "x", "Idempotency-Key: k1\r\n");
            StubServer.Message firstAttempt = bench.backends.get(0).next();
            firstAttempt.resetConnection();
            // The operating system retries the connection attempt after one second.
            Thread.sleep(DEDUP_WINDOW_US / 1000);
            Socket retryConnection = hangingBackend.accept();
            assertTrue(FullBacklogServer.hasReceivedNothing(retryConnection),
                    "the retry must not be sent after the window");
            assertEquals(503, client.status());
        }
    }
}
