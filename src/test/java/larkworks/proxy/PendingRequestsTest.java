package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Each accepted request completes exactly once: when its answer is written and none of its attempts runs. */
@Timeout(120)
class PendingRequestsTest {

    @TempDir
    Path folder;

    private final RecordingClient client = new RecordingClient();
    private DriverHarness harness;
    private Driver driver;

    @BeforeEach
    void createDriver() throws Exception {
        harness = new DriverHarness(folder, 1);
        driver = harness.driver;
    }

    @AfterEach
    void close() throws Exception {
        harness.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return harness.onLoop(task);
    }

    private StubServer.Message nextRequest() throws InterruptedException {
        return harness.bench.backends.get(0).next();
    }

    private PendingRequest accept(long timeLeftUs) throws Exception {
        return onLoop(() -> driver.submit(new InboundRequest("r1", HttpMethod.GET, "/look", null,
                new byte[0], null, null, 0, 0, timeLeftUs, 0, false, harness.clock.nowUs()), client));
    }

    private void awaitAnswer() throws Exception {
        long timeoutAtNs = System.nanoTime() + StubServer.TIMEOUT_S * 1_000_000_000L;
        while (onLoop(client.answers()::isEmpty)) {
            assertTrue(System.nanoTime() < timeoutAtNs, "the driver gave no answer");
            Thread.sleep(1);
        }
    }

    @Test
    void requestCompletesOnlyOnceItsAnswerIsWritten() throws Exception {
        harness.listBackends();
        accept(20_000_000);
        nextRequest().reply(200, "whole");
        awaitAnswer();
        assertEquals(List.of("served"), onLoop(() -> List.copyOf(client.answers())));
        assertEquals(false, onLoop(driver::isIdle), "the request completed before its answer was written");
        onLoop(() -> {
            client.deliveries().get(0).ended(true);
            return null;
        });
        assertTrue(onLoop(driver::isIdle));
    }

    @Test
    void requestCompletesIfItsAttemptCannotBegin() throws Exception {
        harness.listBackendWithoutAddress();
        accept(300_000);
        awaitAnswer();
        onLoop(() -> {
            client.deliveries().get(0).ended(true);
            return null;
        });
        assertEquals(1, onLoop(client.answers()::size));
        assertTrue(onLoop(driver::isIdle), "the request is still pending for an attempt that never began");
        assertEquals(0, onLoop(harness.sockets::openCount), "a socket that was never opened is counted");
    }

    @Test
    void unansweredRequestIsPastDeadlineOnceItHasPassed() throws Exception {
        harness.listBackends();
        PendingRequest pending = accept(20_000_000);
        nextRequest();
        assertEquals(false, pending.isPastDeadline(pending.deadlineUs));
        assertTrue(pending.isPastDeadline(pending.deadlineUs + 1));
        onLoop(() -> {
            driver.clientGone(pending);
            return null;
        });
        assertEquals(false, pending.isPastDeadline(pending.deadlineUs + 1),
                "a request whose client disconnected counts as past its deadline");
    }

    @Test
    void requestIsAnsweredBeforeItsDeadlineIfBackendIsSilent() throws Exception {
        harness.listBackends();
        PendingRequest pending = accept(300_000);
        nextRequest();
        awaitAnswer();
        assertTrue(onLoop(() -> driver.requestsPastDeadline().isEmpty()));
        assertEquals(List.of("failed"), onLoop(() -> List.copyOf(client.answers())));
        assertTrue(onLoop(pending::isAnswered));
    }
}
