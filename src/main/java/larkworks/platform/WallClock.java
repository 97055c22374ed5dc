package larkworks.platform;

/**
 * The system's wall clock, which may step at any time. The only place that reads it: for what people read,
 * and once at the start for a monotonic clock's epoch. Checkstyle refuses other uses.
 */
public final class WallClock {

    private WallClock() { }

    /** Unix time in milliseconds, as the system has it now. */
    public static long unixMs() {
        return System.currentTimeMillis();
    }
}
