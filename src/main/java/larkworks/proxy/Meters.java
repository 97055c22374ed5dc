package larkworks.proxy;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.RequestClass;
import larkworks.transport.SystemError;

/**
 * The proxy's metrics, based on Micrometer. Timers report the 50th, 90th and 99th percentiles from
 * HdrHistogram. Values are recorded on the proxy's loop; {@link #scrape} renders on a separate thread, so
 * that neither waits for the other. An instance exists only if the configuration enables metrics.
 *
 * <p>Names: {@code larkworks_requests_seconds{class,result}}, {@code larkworks_attempts_seconds{backend,
 * outcome}}, {@code larkworks_retries_total}, {@code larkworks_lists_total{kind}},
 * {@code larkworks_discovery_failures_total}, {@code larkworks_invariant_violations_total{rule}},
 * {@code larkworks_accept_failures_total{error}}, and gauges.
 */
final class Meters implements AutoCloseable {

    /** How a request was answered; GONE if its client closed the connection before the answer. */
    enum Result { SERVED, REFUSED, FAILED, GONE }

    private static final double[] PERCENTILES = {0.5, 0.9, 0.99};
    /** Two significant digits would need ten times the memory of one, for each backend. */
    private static final int PERCENTILE_DIGITS = 1;
    private static final Duration MAX_DURATION = Duration.ofSeconds(60);

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final ExecutorService renderer = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "metrics");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Map<Result, Timer>> requestTimers;
    private final Map<String, Map<Outcome, Timer>> attemptTimers = new HashMap<>();
    private final Counter retries;
    private final Counter fullLists;
    private final Counter listChanges;
    private final Counter discoveryFailures;

    Meters(List<RequestClass> classes) {
        requestTimers = classes.stream().map(requestClass -> {
            Map<Result, Timer> timers = new EnumMap<>(Result.class);
            for (Result result : Result.values()) {
                timers.put(result, timer("larkworks.requests", Tags.of("class", requestClass.name(), "result",
                        tagValue(result))));
            }
            return timers;
        }).toList();
        retries = registry.counter("larkworks.retries");
        fullLists = registry.counter("larkworks.lists", "kind", "whole");
        listChanges = registry.counter("larkworks.lists", "kind", "changes");
        discoveryFailures = registry.counter("larkworks.discovery.failures");
    }

    private Timer timer(String name, Tags tags) {
        return Timer.builder(name).tags(tags).publishPercentiles(PERCENTILES)
                .percentilePrecision(PERCENTILE_DIGITS).maximumExpectedValue(MAX_DURATION).register(registry);
    }

    private static String tagValue(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /** Records that a request was answered or that its client has gone. */
    void requestAnswered(int requestClass, Result result, long tookUs) {
        requestTimers.get(requestClass).get(result).record(tookUs, TimeUnit.MICROSECONDS);
    }

    /** Records the end of an attempt; {@code number} counts a request's attempts from 0. */
    void attemptEnded(String backend, int number, Outcome outcome, long tookUs) {
        if (number > 0) {
            retries.increment();
        }
        attemptTimers.computeIfAbsent(backend, b -> new EnumMap<>(Outcome.class))
                .computeIfAbsent(outcome, o -> timer("larkworks.attempts",
                        Tags.of("backend", backend, "outcome", tagValue(o))))
                .record(tookUs, TimeUnit.MICROSECONDS);
    }

    /**
     * Records that a list was received. Removes the meters of backends that are no longer listed, as their
     * number would otherwise grow without limit.
     */
    void listReceived(boolean isFullList, Set<String> listedBackends) {
        (isFullList ? fullLists : listChanges).increment();
        attemptTimers.entrySet().removeIf(backend -> {
            boolean removed = !listedBackends.contains(backend.getKey());
            if (removed) {
                backend.getValue().values().forEach(registry::remove);
            }
            return removed;
        });
    }

    /** Records that a call to discovery failed. */
    void discoveryFailed() {
        discoveryFailures.increment();
    }

    /** Records the violation of an invariant. */
    void invariantViolated(Invariants.Rule rule) {
        registry.counter("larkworks.invariant.violations", "rule", tagValue(rule)).increment();
    }

    /** Records that a connection could not be accepted. */
    void acceptFailed(SystemError error) {
        registry.counter("larkworks.accept.failures", "error", tagValue(error)).increment();
    }

    /**
     * Registers a gauge whose value is read at each scrape. It is read on another thread, so the value must
     * be safe to read from there.
     */
    <T> void registerGauge(String name, T source, ToDoubleFunction<T> value, String... tags) {
        Gauge.builder(name, source, value).tags(tags).strongReference(true).register(registry);
    }

    /**
     * Renders all meters in the Prometheus text format 0.0.4, and passes the text to {@code textConsumer} on
     * the rendering thread.
     */
    void scrape(Consumer<String> textConsumer) {
        renderer.execute(() -> textConsumer.accept(registry.scrape()));
    }

    @Override
    public void close() {
        renderer.shutdown();
        registry.close();
    }
}
