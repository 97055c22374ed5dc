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
 * Asks backends how they are, at the module's word, and tells it what came back. Each probe is told once, by
 * {@link #PROBE_US} at the latest. For the proxy's loop only.
 */
final class HealthProbes {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    /** A probe without an answer by then has failed; a live backend answers at once, beside its queue. */
    private static final long PROBE_US = 50_000;

    /** Hears how a probe ended. */
    interface Listener {

        /**
         * The probe has ended.
         *
         * @param tookUs since it was asked for
         * @param report what the backend told of its load; null where it told nothing
         */
        void probed(String server, Outcome outcome, long tookUs, LoadReport report);
    }

    /** A probe that is out. */
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
    private final boolean loadReports;
    private final Set<Probe> out = new HashSet<>();

    /** Probes over the pool's connections; {@code loadReports} says whether answers tell the load. */
    HealthProbes(Clock clock, EventLoop loop, BackendPool pool, boolean loadReports) {
        this.clock = clock;
        this.loop = loop;
        this.pool = pool;
        this.loadReports = loadReports;
    }

    /** A probe that is not sent: the backend may not be asked. */
    void skip(String server, Listener listener) {
        listener.probed(server, Outcome.NOT_SENT, 0, null);
    }

    /**
     * Sends a probe.
     *
     * @param barred asked just before the first byte goes out, which may be some time later: whether the
     *         backend may no longer be asked
     */
    void send(String server, InetSocketAddress address, BooleanSupplier barred, Listener listener) {
        Probe probe = new Probe(server, listener, clock.nowUs());
        out.add(probe);
        probe.timeout = loop.schedule(() -> timedOut(probe), PROBE_US, TimeUnit.MICROSECONDS);
        try {
            probe.exchange = pool.begin(address, () -> barred.getAsBoolean() ? null : message(address),
                    answer -> ended(probe, answer));
        } catch (RuntimeException e) {
            LOG.atError().addKeyValue("backend", server).setCause(e).log("probe not begun");
            ended(probe, AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    /** Ends what is on its way to a backend and has not begun; told once what goes on now is over. */
    void endConnecting(String server) {
        List<Probe> connecting = out.stream()
                .filter(probe -> probe.server.equals(server) && !probe.exchange.begun()).toList();
        for (Probe probe : connecting) {
            probe.exchange.abandon();
            loop.execute(() -> ended(probe, AttemptResult.of(Outcome.NOT_SENT)));
        }
    }

    private void timedOut(Probe probe) {
        probe.exchange.abandon();
        ended(probe, AttemptResult.of(Outcome.TIMEOUT));
    }

    private FullHttpRequest message(InetSocketAddress address) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                loadReports ? "/stats" : "/health/live", Unpooled.EMPTY_BUFFER);
        message.headers().set(HttpHeaderNames.HOST, Addresses.text(address));
        return message;
    }

    private void ended(Probe probe, AttemptResult answer) {
        if (!out.remove(probe)) {
            return;
        }
        probe.timeout.cancel(false);
        probe.listener.probed(probe.server, answer.outcome(), clock.nowUs() - probe.sentAtUs, report(answer));
    }

    private LoadReport report(AttemptResult answer) {
        if (answer.report() != null || !loadReports) {
            return answer.report();
        }
        return BackendPool.report(BackendPool.text(answer.body()));
    }
}
