package larkworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One of many proxies, whose own traffic stays the same while the fleet and its servers grow. */
@Timeout(120)
class ConnectionReuseTest {

    private static final int SECONDS = 6;
    private static final int PER_SECOND = 90;
    private static final int SERVERS = 30;
    private static final int TIMES = 16;
    private static final int SERVERS_A_PROXY = 5;
    private static final double GROWTH = 2.5;
    private static final int GROWTH_FREE = 40;

    @TempDir
    Path folder;

    private long connections(int servers, double probePrice) throws Exception {
        SoakSettings settings = new SoakSettings(5, 1, servers, SECONDS, PER_SECOND,
                SoakClient.Habits.PLAIN, true, probePrice, 0, servers / SERVERS_A_PROXY);
        Path own = Files.createDirectories(folder.resolve("of-" + servers));
        try (Soak soak = new Soak(settings, own)) {
            Soak.Result result = soak.run("", List.of());
            assertEquals(List.of(), result.broken(), result.toString());
            return result.connections();
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.002, 0.01, 0.05})
    void connectionsDoNotGrowWithTheFleet(double probePrice) throws Exception {
        long usual = connections(SERVERS, probePrice);
        long large = connections(TIMES * SERVERS, probePrice);
        assertTrue(large <= GROWTH * usual + GROWTH_FREE, large + " connections, " + usual + " before");
    }
}
