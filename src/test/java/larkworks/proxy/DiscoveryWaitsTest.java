package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larkworks.proxy.DiscoveryWaits.Purpose;
import org.junit.jupiter.api.Test;

/** Tests that the first timeout of a call is short, and that repeated timeouts extend the next ones. */
class DiscoveryWaitsTest {

    private static final long DELIVERY_LIMIT_MS = 6_000;

    @Test
    void timesOutTheFirstUnansweredCallBeforeChangesCountAsDelivered() {
        DiscoveryWaits waits = new DiscoveryWaits();
        assertTrue(waits.firstByteTimeoutMs(Purpose.WATCH, false) < DELIVERY_LIMIT_MS);
        waits.callTimedOut();
        assertTrue(waits.firstByteTimeoutMs(Purpose.CATCH_UP, false) < DELIVERY_LIMIT_MS);
    }

    @Test
    void extendsTimeoutsForASlowDiscoveryAndShrinksThemAfterQuickAnswers() {
        DiscoveryWaits waits = new DiscoveryWaits();
        long initialTimeoutMs = waits.firstByteTimeoutMs(Purpose.CATCH_UP, true);
        waits.callTimedOut();
        assertEquals(initialTimeoutMs, waits.firstByteTimeoutMs(Purpose.CATCH_UP, true));
        for (int i = 0; i < 3; i++) {
            waits.callTimedOut();
            assertTrue(waits.firstByteTimeoutMs(Purpose.CATCH_UP, true) >= 2 * initialTimeoutMs - 1);
        }
        long extendedTimeoutMs = waits.firstByteTimeoutMs(Purpose.WATCH, false);
        waits.callAnswered(extendedTimeoutMs);
        assertEquals(extendedTimeoutMs, waits.firstByteTimeoutMs(Purpose.WATCH, false),
                "an answer as slow as the timeout must not shorten it");
        for (int i = 0; i < 10; i++) {
            waits.callAnswered(1);
        }
        assertEquals(initialTimeoutMs, waits.firstByteTimeoutMs(Purpose.CATCH_UP, true));
    }

    @Test
    void waitsForALargeAnswerAtAGoodRateButNotForOneThatTrickles() {
        DiscoveryWaits waits = new DiscoveryWaits();
        assertTrue(waits.nextBytesTimeoutMs(10_000, 500_000) > 0);
        assertEquals(0, waits.nextBytesTimeoutMs(10_000, 25));
    }
}
