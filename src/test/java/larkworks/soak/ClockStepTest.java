package larkworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A server joins and is cold for some seconds, at a proxy whose wall clock is wrong or steps. */
@Timeout(120)
class ClockStepTest {

    private static final int JOINS_MS = 1_000;
    private static final int SECONDS = 9;
    private static final int SERVERS = 3;
    private static final int PER_SECOND = 150;

    @TempDir
    Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"clock=3600000", "clock=-3600000", "clock=1000", "clock=-1000",
        "clock=3600000,2500-100000", "clock=-3600000,2500-100000"})
    void aColdServerIsSentWhatItsAgeAllowsAndThenItsPart(String clock) throws Exception {
        SoakSettings settings = new SoakSettings(3, 1, SERVERS, SECONDS, PER_SECOND,
                SoakClient.Habits.PLAIN, true, 0.05, 0);
        try (Soak soak = new Soak(settings, folder)) {
            Soak.Result result = soak.run(clock,
                    List.of(new Trouble(Trouble.Kind.SERVER_JOIN, 0, JOINS_MS, 0, "")));
            assertEquals(List.of(), result.broken(), result.toString());
            History.ColdStart joined = soak.history.coldStarts.get(0);
            Map<String, Long> warm = soak.attemptsSince(joined.startedUs() + SoakSettings.COLD_US);
            long all = warm.values().stream().mapToLong(n -> n).sum();
            assertTrue(warm.getOrDefault(joined.server(), 0L) > all / (SERVERS + 1) / 2, warm.toString());
        }
    }
}
