package larkworks.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import larkworks.platform.Addresses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends health probes to backends when the decision module asks for them. The result of each probe is
 * reported once, at the latest when {@link #PROBE_TIMEOUT_US} has passed. To be used on the proxy's event
 * loop only.
 */
final class HealthProbes {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /**
     * A probe without an answer after this time has failed. A live backend answers a probe at once, ahead of
     * the requests in its queue.
     */
    private static final long PROBE_TIMEOUT_US = 50_000;

    /** Receives the result of a probe. */
    interface Listener {

        /**
         * Called when a probe has ended.
         *
         * @param tookUs the time since the probe was requested
         * @param report the load reported by the backend; null if it reported none
         */
        void probeEnded(String server, Outcome outcome, long tookUs, LoadReport report);
    }

    /** A probe that has not ended. */
    private static final class Probe {
        final String server;
        final Listener listener;
        final long sentAtUs;
        BackendPool.Exchange exchange;
        Future<?> timeout;

        Probe(String server, Listener listener, long sentAtUs) {
            this.server = server;
            this.listener = listener;
            this.sentAtUs = sentAtUs;
        }
    }

    private final Clock clock;
    private final EventLoop loop;
    private final BackendPool pool;
    private final boolean requestLoadReports;
    private final Set<Probe> pendingProbes = new HashSet<>();

    /**
     * Creates probes that use the pool's connections.
     *
     * @param requestLoadReports whether to ask backends for their load rather than only for their health
     */
    HealthProbes(Clock clock, EventLoop loop, BackendPool pool, boolean requestLoadReports) {
        this.clock = clock;
        this.loop = loop;
        this.pool = pool;
        this.requestLoadReports = requestLoadReports;
    }

    /** Reports a probe as not sent, because nothing may be sent to its backend. */
    void reportNotSent(String server, Listener listener) {
        listener.probeEnded(server, Outcome.NOT_SENT, 0, null);
    }

    /**
     * Sends a probe.
     *
     * @param excluded called just before the first byte is written, which may be some time later; returns
     *     whether nothing may be sent to the backend any more
     */
    void send(String server, InetSocketAddress address, BooleanSupplier excluded, Listener listener) {
        Probe probe = new Probe(server, listener, clock.nowUs());
        pendingProbes.add(probe);
        probe.timeout = loop.schedule(() -> timedOut(probe), PROBE_TIMEOUT_US, TimeUnit.MICROSECONDS);
        try {
            probe.exchange = pool.startExchange(address,
                    () -> excluded.getAsBoolean() ? null : buildRequest(address),
                    result -> finish(probe, result));
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("backend", server).setCause(e).log("failed to start the probe");
            finish(probe, AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    /**
     * Cancels the probes for a backend of which no byte has been sent yet. Their results are reported in a
     * later task of the event loop.
     */
    void cancelUnsent(String server) {
        List<Probe> unsent = pendingProbes.stream()
                .filter(probe -> probe.server.equals(server) && !probe.exchange.hasStarted()).toList();
        for (Probe probe : unsent) {
            probe.exchange.cancel();
            loop.execute(() -> finish(probe, AttemptResult.of(Outcome.NOT_SENT)));
        }
    }

    private void timedOut(Probe probe) {
        probe.exchange.cancel();
        finish(probe, AttemptResult.of(Outcome.TIMEOUT));
    }

    private FullHttpRequest buildRequest(InetSocketAddress address) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                requestLoadReports ? "/stats" : "/health/live", Unpooled.EMPTY_BUFFER);
        message.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        return message;
    }

    private void finish(Probe probe, AttemptResult result) {
        if (!pendingProbes.remove(probe)) {
            return;
        }
        probe.timeout.cancel(false);
        probe.listener.probeEnded(probe.server, result.outcome(), clock.nowUs() - probe.sentAtUs,
                loadReport(result));
    }

    /**
     * Returns the load from the answer's header or, if that is missing, from its body; null if unknown.
     */
    private LoadReport loadReport(AttemptResult result) {
        if (result.report() != null || !requestLoadReports) {
            return result.report();
        }
        return BackendPool.parseLoadReport(BackendPool.asciiText(result.body()));
    }
}
