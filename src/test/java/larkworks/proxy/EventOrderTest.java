package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The decision module gets the events of a request in the order in which they occurred. */
@Timeout(120)
class EventOrderTest {

    private static final int BACKENDS = 2;
    /** More than the proxy keeps once a backend has been sent it. */
    private static final int LARGE_BODY_BYTES = BackendPool.MAX_BUFFERED_BODY_BYTES + 1;
    /** The positions of the classes {@code look} and {@code act} in the bench's settings. */
    private static final int LOOK = 0;
    private static final int ACT = 2;

    @TempDir
    Path folder;

    private final RecordingClient client = new RecordingClient();
    private final FailingChannels channels = new FailingChannels();
    private DriverHarness harness;

    @BeforeEach
    void createDriver() throws Exception {
        harness = new DriverHarness(folder, BACKENDS, channels);
        harness.listBackends();
    }

    @AfterEach
    void close() throws Exception {
        harness.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return harness.onLoop(task);
    }

    private PendingRequest submit(String id, int requestClass, Upload upload, RecordingClient sender) {
        return harness.driver.submit(new InboundRequest(id, upload == null ? HttpMethod.GET : HttpMethod.POST,
                "/" + id, null, upload == null ? new byte[0] : null, upload, null, requestClass, 0,
                20_000_000, 0, false, harness.clock.nowUs()), sender);
    }

    /** Has every backend serve one request, so that an idle connection to each is pooled. */
    private void poolConnections() throws Exception {
        RecordingClient reader = new RecordingClient();
        for (int i = 0; i < BACKENDS; i++) {
            String id = "look" + i;
            onLoop(() -> submit(id, LOOK, null, reader));
        }
        for (StubServer backend : harness.bench.backends) {
            backend.next().reply(200, "");
        }
        while (onLoop(() -> reader.answers().size()) < BACKENDS) {
            Thread.sleep(1);
        }
        BackendPoolTest.awaitReuseDelay();
    }

    /**
     * Guards against a retry that sends a large body without its beginning: the end of the first attempt
     * reached the module ahead of the event that the beginning was no longer buffered.
     */
    @Test
    void failedAttemptIsNotRetriedOnceBeginningOfItsBodyIsReleased() throws Exception {
        poolConnections();
        PendingRequest request = onLoop(() -> {
            Upload upload = new Upload(new EmbeddedChannel(), new WriteBufferShares(),
                    2 * LARGE_BODY_BYTES, Unpooled.buffer().writeZero(LARGE_BODY_BYTES), () -> { });
            PendingRequest submitted = submit("post", ACT, upload, client);
            channels.failNextWrite();
            upload.addPart(Unpooled.buffer().writeZero(1));
            upload.flush();
            return submitted;
        });
        // By then the loop has run all tasks that were submitted before.
        onLoop(() -> null);
        assertEquals(1, onLoop(request.attempts::size), "attempts of a body whose beginning is released");
        assertEquals(List.of("refused"), onLoop(() -> List.copyOf(client.answers())));
        assertTrue(onLoop(() -> request.attempts.get(0).ended));
    }
}
