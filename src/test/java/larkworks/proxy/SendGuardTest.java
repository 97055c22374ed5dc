package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.atomic.AtomicReference;
import larkworks.Balancer.DedupGroup;
import larkworks.Balancer.Effect;
import larkworks.Balancer.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The last decision before an attempt's first byte, on its own. */
@Timeout(60)
class SendGuardTest {

    private static final RequestClass SAFE_CLASS =
            new RequestClass("look", 1_000_000, 2_000_000, 1, 0, Effect.SAFE, DedupGroup.ALL, 0);
    private static final long LEFT_MS = 1_000;

    private static SendGuard.Decision decide(Upload upload) {
        InboundRequest inbound = new InboundRequest("r", HttpMethod.POST, "/look", null, null, upload, null,
                0, 0, 2_000_000, 0, false, 0);
        PendingRequest request = new PendingRequest("1", inbound, new RecordingClient(), 0, 2_000_000, null);
        UpstreamAttempt attempt = new UpstreamAttempt(request, 0, "b0", 0, null);
        request.attempts.add(attempt);
        return SendGuard.decide(attempt, SAFE_CLASS, false, LEFT_MS, 0);
    }

    /**
     * Guards against a request that reaches a backend without the beginning of its body, whatever began the
     * attempt.
     */
    @Test
    void holdsBackAttemptWhoseBodyCannotBeSentFromItsBeginning() {
        Upload upload = new Upload(new EmbeddedChannel(), new WriteBufferShares(), -1,
                Unpooled.buffer().writeZero(BackendPool.MAX_BUFFERED_BODY_BYTES + 1), () -> { });
        assertEquals(SendGuard.Decision.SEND, decide(upload));
        EmbeddedChannel backend = new EmbeddedChannel();
        upload.attach(backend, written -> { });
        upload.detach(backend);
        assertEquals(SendGuard.Decision.BODY_RELEASED, decide(upload));

        AtomicReference<ChannelFuture> written = new AtomicReference<>();
        EmbeddedChannel nextBackend = new EmbeddedChannel();
        upload.attach(nextBackend, written::set);
        assertFalse(written.get().isSuccess());
        assertNull(nextBackend.readOutbound(), "a part of the body was sent without its beginning");
        backend.releaseOutbound();
    }

    /** Guards against an attempt for a request that ended as its client was read for the last time. */
    @Test
    void holdsBackAttemptWhoseRequestEndsWhileItsClientIsRead() {
        PendingRequest[] request = new PendingRequest[1];
        RecordingClient client = new RecordingClient() {
            @Override
            public boolean isConnected() {
                request[0].recordAnswer(Meters.Result.GONE, 0);
                return true;
            }
        };
        InboundRequest inbound = new InboundRequest("r", HttpMethod.POST, "/look", null, new byte[0], null,
                null, 0, 0, 2_000_000, 0, false, 0);
        request[0] = new PendingRequest("1", inbound, client, 0, 2_000_000, null);
        UpstreamAttempt attempt = new UpstreamAttempt(request[0], 0, "b0", 0, null);
        request[0].attempts.add(attempt);
        assertEquals(SendGuard.Decision.ANSWERED,
                SendGuard.decide(attempt, SAFE_CLASS, false, LEFT_MS, 0));
    }
}
