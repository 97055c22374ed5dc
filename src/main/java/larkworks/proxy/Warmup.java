package larkworks.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;

/**
 * Sends requests through the proxy before it serves clients, so that class loading does not delay the first
 * requests of clients. It uses a driver and a decision module of its own, whose only backend is this proxy's
 * listener.
 */
final class Warmup implements RequestClient {

    private static final int REQUEST_COUNT = 20;
    /** Maximum duration of the warm-up; the start goes on after it in any case. */
    private static final long MAX_DURATION_MS = 500;

    private final Clock clock = new Clock();
    private final EventLoop loop;
    private final BackendPool pool;
    private final Driver driver;
    private final Runnable onFinished;
    private int remainingRequests = REQUEST_COUNT;

    private Warmup(Config config, EventLoop loop, Sockets sockets, Runnable onFinished) {
        this.loop = loop;
        this.onFinished = onFinished;
        this.pool = new BackendPool(loop, sockets, config.connectTimeoutUs(), config.keepAliveUs());
        this.driver = new Driver(config, clock, loop, pool);
    }

    /** Starts the warm-up; {@code onFinished} runs once at its end, on the loop. */
    static void run(Config config, EventLoop loop, Sockets sockets, InetSocketAddress listener,
            Runnable onFinished) {
        Warmup warmup = new Warmup(config, loop, sockets, onFinished);
        warmup.driver.listChanged(ListKind.REMEMBERED, List.of(new Listing.Entry(
                new Server("self", 0, 0, 0, 1, ServerStatus.UP), listener)), warmup.clock.nowUs(),
                Long.MIN_VALUE);
        loop.schedule(() -> warmup.finish(), MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        warmup.sendNext();
    }

    private void sendNext() {
        if (--remainingRequests == 0) {
            finish();
        } else if (remainingRequests > 0) {
            driver.submit(new InboundRequest("warm-up", HttpMethod.GET, "/health/live", null, new byte[0],
                    null, null, 0, 0, MAX_DURATION_MS * 1000, 0, false, clock.nowUs()), this);
        }
    }

    private void finish() {
        if (remainingRequests >= 0) {
            remainingRequests = -1;
            while (pool.evictLongestIdle()) {
                // evictLongestIdle closes one idle connection per call.
            }
            onFinished.run();
        }
    }

    @Override
    public boolean isConnected() {
        return true;
    }

    @Override
    public void sendAnswer(byte[] body, String type, DeliveryListener delivery) {
        delivery.ended(true);
        loop.execute(this::sendNext);
    }

    @Override
    public BackendPool.AnswerSink startStream(BackendPool.Exchange from, String type, long length,
            DeliveryListener delivery) {
        throw new IllegalStateException("warm-up answer of " + length + " bytes: a small one is expected");
    }

    @Override
    public void sendRefusal(long retryAfterUs, DeliveryListener delivery) {
        delivery.ended(true);
        loop.execute(this::sendNext);
    }

    @Override
    public void sendFailure(DeliveryListener delivery) {
        delivery.ended(true);
        loop.execute(this::sendNext);
    }
}
