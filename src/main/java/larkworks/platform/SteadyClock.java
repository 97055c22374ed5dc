package larkworks.platform;

/**
 * Milliseconds and microseconds that never step: the wall clock's time at this process's start, and from then
 * on the monotonic clock's span. For everything that is measured; two processes' readings may differ by any
 * amount, as either may have started while its wall clock was wrong.
 */
public final class SteadyClock {

    private static final long OFFSET_US = WallClock.unixMs() * 1000 - System.nanoTime() / 1000;

    private SteadyClock() { }

    /** Microseconds. */
    public static long nowUs() {
        return OFFSET_US + System.nanoTime() / 1000;
    }

    /** Milliseconds. */
    public static long nowMs() {
        return nowUs() / 1000;
    }
}
