package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larkworks.proxy.DiscoveryWaits.Purpose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a call which is not answered ends early enough for another one to learn of changes in time. */
class DiscoveryWaitsTest {

    private static final long DELIVERY_LIMIT_MS = 6_000;

    @ParameterizedTest
    @EnumSource
    void timesOutAnUnansweredCallBeforeChangesCountAsDelivered(Purpose purpose) {
        assertTrue(DiscoveryWaits.firstByteTimeoutMs(purpose, false) < DELIVERY_LIMIT_MS);
        assertTrue(DiscoveryWaits.firstByteTimeoutMs(purpose, true) < DELIVERY_LIMIT_MS);
    }

    @ParameterizedTest
    @EnumSource
    void timesOutAnAnswerThatStallsAtItsLatestBeginningBeforeChangesCountAsDelivered(Purpose purpose) {
        long latestBeginningMs = DiscoveryWaits.firstByteTimeoutMs(purpose, false);
        assertTrue(latestBeginningMs + DiscoveryWaits.nextBytesTimeoutMs(0, 100) < DELIVERY_LIMIT_MS);
    }

    @Test
    void waitsForALargeAnswerAtAGoodRateButNotForOneThatTrickles() {
        assertTrue(DiscoveryWaits.nextBytesTimeoutMs(10_000, 500_000) > 0);
        assertEquals(0, DiscoveryWaits.nextBytesTimeoutMs(10_000, 25));
    }
}
