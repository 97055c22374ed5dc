package larkworks.proxy;

import ch.qos.logback.classic.Level;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import larkworks.Balancer.DedupGroup;
import larkworks.Balancer.Effect;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.RequestClass;
import larkworks.platform.LogSettings;
import larkworks.platform.Logs;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures what logs and metrics cost the proxy's event loop per request: a debug line that is disabled, one
 * that is enabled (built and queued; the queue drops lines if its thread can't keep up), and the timers of a
 * request and an attempt. docs/ROADMAP.md says how to run it; redirect standard error to a file.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PlatformBench {

    private Logger disabledLogger;
    private Logger enabledLogger;
    private Meters meters;

    /** Starts logging at level info, except for the logger named "on", which logs at level debug. */
    @Setup
    public void setUp() {
        Logs.start(new LogSettings(org.slf4j.event.Level.INFO, Map.of("on", org.slf4j.event.Level.DEBUG)),
                Map.of("node", "n1"));
        disabledLogger = LoggerFactory.getLogger("off");
        enabledLogger = LoggerFactory.getLogger("on");
        if (((ch.qos.logback.classic.Logger) disabledLogger).getEffectiveLevel() != Level.INFO) {
            throw new IllegalStateException("the level of logger 'off' must be info");
        }
        meters = new Meters(List.of(new RequestClass("look", 200_000, 1_000_000, 1, 0, Effect.SAFE,
                DedupGroup.ALL, 0)));
    }

    @Benchmark
    public void debugOff() {
        if (disabledLogger.isDebugEnabled()) {
            disabledLogger.atDebug().addKeyValue("request", "9b1f03aa5c7e2d41").log("answered");
        }
    }

    @Benchmark
    public void debugOn() {
        enabledLogger.atDebug().addKeyValue("request", "9b1f03aa5c7e2d41").addKeyValue("attempts", 1)
                .log("answered");
    }

    @Benchmark
    public void timers() {
        meters.requestAnswered(0, Meters.Result.SERVED, 12_345);
        meters.attemptEnded("s-5be2a07c", 0, Outcome.OK, 11_111);
    }
}
