package larkworks.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The paired run of the request path: all calls come back on both ways. */
class PathRunTest {

    @Test
    void callsByTheProxyAndPastItAreAllAnswered() throws Exception {
        PathScenario scenario = new PathScenario(List.of(), 3, 3, 1, 0.5, 1, List.of("-XX:+UseSerialGC"));
        try (PathRun run = new PathRun(scenario, 1)) {
            PathResult result = run.run(50);
            assertEquals(0, result.failed(), result + " " + run.describeFailures());
            assertTrue(result.directMs().count() > 10, result.toString());
            assertTrue(result.proxiedMs().count() > 10, result.toString());
            // The hollow backend's own time is in both.
            assertTrue(result.directMs().median() >= 1, result.toString());
        }
    }
}
