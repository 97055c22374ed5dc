package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A keyed request's repeat waits for its connection while the key's window passes. */
@Timeout(60)
class RepeatWindowTest {

    private static final long WINDOW_US = 600_000;

    @TempDir
    Path folder;

    @Test
    void aRepeatWhoseConnectionComesUpAfterItsKeysWindowIsNotSent() throws Exception {
        try (TestBench bench = new TestBench(1); FullBacklogServer late = new FullBacklogServer()) {
            bench.dedupWindowUs = WINDOW_US;
            // By the configuration's seed the first of the list gets the first request.
            bench.start(folder, TestBench.listJson(1, true, bench.entry(0, "in_service"),
                    TestBench.entry("late", late.address(), "in_service")));
            TestBench.Client client = bench.client().sendPost("pay", "r1", "x", "Idempotency-Key: k1\r\n");
            StubServer.Message first = bench.backends.get(0).next();
            first.reset();
            // The system tries the connection again after a second.
            Thread.sleep(WINDOW_US / 1000);
            Socket connection = late.accept();
            assertTrue(FullBacklogServer.hasReceivedNothing(connection), "a byte came after the window");
            assertEquals(503, client.status());
        }
    }
}
