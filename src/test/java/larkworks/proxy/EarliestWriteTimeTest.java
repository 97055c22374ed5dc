package larkworks.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When a client can have written its body's last byte, as seen by a proxy that reads late. */
class EarliestWriteTimeTest {

    private static final int MEGABYTE = 1 << 20;

    @Test
    void isTheArrivalWhileAllIsRead() {
        EarliestWriteTime time = new EarliestWriteTime(-1);
        assertEquals(7, time.lastByteUs(9, 1_000, 7));
        time.fellBehind(10, 1_000);
        time.caughtUp();
        assertEquals(20, time.lastByteUs(21, 2_000, 20));
    }

    @Test
    void isTheBeginningOfThePauseWhileBytesMayBeUnread() {
        EarliestWriteTime time = new EarliestWriteTime(-1);
        time.fellBehind(10, 1_000);
        time.fellBehind(50, 500_000);
        assertEquals(10, time.lastByteUs(60, 900_000, 60));
    }

    @Test
    void movesOnWithMoreBytesThanTheBuffersHold() {
        EarliestWriteTime time = new EarliestWriteTime(-1);
        time.fellBehind(10, 0);
        assertEquals(10, time.lastByteUs(100, 5 * MEGABYTE, 100));
        assertEquals(10, time.lastByteUs(150, 9 * MEGABYTE, 150));
        assertEquals(100, time.lastByteUs(200, 10 * MEGABYTE, 200));
    }

    @Test
    void isNotYetWhileMoreIsToComeThanTheBuffersHold() {
        EarliestWriteTime time = new EarliestWriteTime(20 * MEGABYTE);
        time.fellBehind(10, MEGABYTE);
        assertEquals(EarliestWriteTime.NOT_YET, time.lastByteUs(100, 2 * MEGABYTE, 100));
    }
}
