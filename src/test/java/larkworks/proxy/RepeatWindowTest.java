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
        try (Bench bench = new Bench(1); Hanging hangingBackend = new Hanging()) {
            bench.dedupWindowUs = DEDUP_WINDOW_US;
            // With the configured seed, the first backend of the list gets the first request.
            bench.start(folder, Bench.list(1, true, bench.entry(0, "in_service"),
                    Bench.entry("late", hangingBackend.address(), "in_service")));
            Bench.Client client = bench.client().post("pay", "r1", "x", "Idempotency-Key: k1\r\n");
            Peer.Message firstAttempt = bench.backends.get(0).next();
            firstAttempt.reset();
            // The operating system retries the connection attempt after one second.
            Thread.sleep(DEDUP_WINDOW_US / 1000);
            Socket retryConnection = hangingBackend.accept();
            assertTrue(Hanging.silent(retryConnection), "the retry must not be sent after the window");
            assertEquals(503, client.status());
        }
    }
}
