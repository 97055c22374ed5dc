package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larkworks.proxy.DiscoveryWaits.Purpose;
import org.junit.jupiter.api.Test;

/** A silence is noticed in time at first, and a slow discovery is given more time at each further one. */
class DiscoveryWaitsTest {

    private static final long TOLD_MS = 6_000;

    @Test
    void noticesTheFirstSilenceWithinTheTimeAfterWhichChangesCountAsTold() {
        DiscoveryWaits waits = new DiscoveryWaits();
        assertTrue(waits.firstByteTimeoutMs(Purpose.WATCH, false) < TOLD_MS);
        waits.callTimedOut();
        assertTrue(waits.firstByteTimeoutMs(Purpose.CATCH_UP, false) < TOLD_MS);
    }

    @Test
    void givesASlowDiscoveryEverMoreTimeAndTakesItBackWhenItIsQuick() {
        DiscoveryWaits waits = new DiscoveryWaits();
        long before = waits.firstByteTimeoutMs(Purpose.CATCH_UP, true);
        waits.callTimedOut();
        assertEquals(before, waits.firstByteTimeoutMs(Purpose.CATCH_UP, true));
        for (int i = 0; i < 3; i++) {
            waits.callTimedOut();
            assertTrue(waits.firstByteTimeoutMs(Purpose.CATCH_UP, true) >= 2 * before - 1);
        }
        long patient = waits.firstByteTimeoutMs(Purpose.WATCH, false);
        waits.callAnswered(patient);
        assertEquals(patient, waits.firstByteTimeoutMs(Purpose.WATCH, false), "an answer took as long");
        for (int i = 0; i < 10; i++) {
            waits.callAnswered(1);
        }
        assertEquals(before, waits.firstByteTimeoutMs(Purpose.CATCH_UP, true));
    }

    @Test
    void waitsForALargeAnswerThatGoesOnAndNotForOneThatDrips() {
        DiscoveryWaits waits = new DiscoveryWaits();
        assertTrue(waits.nextBytesTimeoutMs(10_000, 500_000) > 0);
        assertEquals(0, waits.nextBytesTimeoutMs(10_000, 25));
    }
}
