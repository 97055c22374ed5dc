package larkworks.scale;

import java.util.List;
import larkworks.platform.Section;

/**
 * A real proxy between a client and hollow backends that answer, paired with calls past it.
 *
 * @param callsPerS of each of the two ways, one after the other
 * @param servers backends that answer
 * @param copies proxies that the module is told there are
 * @param answerMs a backend's time for an answer
 * @param warmS before anything is measured
 * @param seconds measured
 * @param jvm the proxy's JVM's flags
 */
public record PathScenario(List<Integer> callsPerS, int servers, int copies, double answerMs, double warmS,
        double seconds, List<String> jvm) {

    /** As {@code run} of {@code deploy/balancer.toml}, but for its archive of classes. */
    private static final String RUN = "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -XX:-UsePerfData -Xms20m "
            + "-Xmx32m "
            + "-XX:MaxDirectMemorySize=16m -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=16m -Xss256k "
            + "-Dio.netty.eventLoopThreads=1 -Dio.netty.allocator.type=unpooled";

    /** Reads the {@code path} table; what is wrong is noted in it. */
    static PathScenario of(Section path) {
        return new PathScenario(
                path.wholes("calls_per_s", null, 1, 20_000).stream().map(Long::intValue).toList(),
                (int) path.whole("servers", 7L, 1, 250), (int) path.whole("copies", 7L, 1, 65_534),
                path.number("answer_ms", 2.0, 0, 1_000), path.number("warm_s", 10.0, 0, 600),
                path.number("seconds", 30.0, 1, 3_600), List.of(path.text("jvm", RUN).split(" ")));
    }
}
