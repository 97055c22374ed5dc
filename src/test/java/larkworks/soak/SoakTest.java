package larkworks.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A short soak: ten real processes under overlapping troubles; longer ones are run by {@link Soak#main}. */
@Timeout(180)
class SoakTest {

    private static final int PROXIES = 10;
    private static final int SECONDS = 8;
    private static final int TROUBLES = 24;
    /** What is served all the same; some clients give a request too little time for any server. */
    private static final double SERVED = 0.85;

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"2,6", "3,6", "4,480", "5,3200"})
    void keepsEveryRuleUnderTroublesThatOverlap(long seed, int servers) throws Exception {
        play(Soak.drawn(seed, PROXIES, servers, SECONDS, TROUBLES));
    }

    @ParameterizedTest
    @CsvSource({"6,6", "7,6"})
    void keepsEveryRuleWithLargeBodiesAndIdsThatComeAgain(long seed, int servers) throws Exception {
        play(Soak.drawn(seed, PROXIES, servers, SECONDS, TROUBLES).withHabits(SoakClient.Habits.LARGE));
    }

    private void play(SoakSettings settings) throws Exception {
        try (Soak soak = new Soak(settings, folder)) {
            Soak.Result result = soak.run();
            assertEquals(List.of(), result.broken(), result.toString());
            assertTrue(result.servedShare() > SERVED, result.toString());
        }
    }
}
