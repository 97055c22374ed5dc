package larkworks.proxy;

/**
 * Wait times of calls to discovery, sent to it as {@code wait}, and timeouts of its answers. However many
 * calls have failed before, a new call begins in time to learn of changes within the 6 s after which the
 * platform regards them as delivered to the proxy. A call that has timed out may still be in the queue of a
 * service that handles the calls of many proxies one by one, so one such call is kept beside the new one.
 */
final class DiscoveryWaits {

    /**
     * How long discovery may hold a watch open. The platform regards a change as delivered to the proxy 6 s
     * after discovery received it, even if the watch was dead, and a watch may die right at its start. Within
     * these 6 s the watch must time out, and the pause after a failed call must be over.
     */
    private static final long WATCH_WAIT_MS = 3_250;
    /** A watch times out this long after the end of its wait. */
    private static final long WATCH_TIMEOUT_MARGIN_MS = 1_250;
    /** The wait that the first call at an address asks for; short, as the proxy's start needs the answer. */
    private static final long FIRST_CALL_WAIT_MS = 1;
    /** The wait that the first call after a failed one asks for; short, to show soon if discovery is back. */
    private static final long CATCH_UP_WAIT_MS = 500;
    /** Timeout of the first call at an address, of a call for the full list, and of a connection attempt. */
    static final long FIRST_CALL_TIMEOUT_MS = 2_000;
    /**
     * Timeout of the first call after a failed one. The pause before the call and this timeout together stay
     * well below the 6 s after which the platform regards a change at discovery as delivered to the proxy. So
     * the proxy learns of it in time, whether the answer is slow, as discovery handles calls one by one, or
     * never comes.
     */
    private static final long CATCH_UP_TIMEOUT_MS = 3_500;
    /** How long a call that has timed out is kept beside newer ones. */
    static final long OVERDUE_CALL_TIMEOUT_MS = 30_000;
    /** Timeout between two parts of an answer; short, as the answer may announce a drain. */
    private static final long STALLED_ANSWER_TIMEOUT_MS = 1_000;
    /**
     * Maximum time from an answer's first byte to its last, extended by the time that the bytes received so
     * far take at {@link #MIN_BYTES_PER_MS}.
     */
    private static final long COMPLETE_ANSWER_TIMEOUT_MS = 4_000;
    private static final long MIN_BYTES_PER_MS = 16;

    /** The purpose of a call, which sets its wait and its timeout. */
    enum Purpose {
        /** The first call at an address. */
        FIRST,
        /** The first call after a failed one. */
        CATCH_UP,
        /** A long poll after a successful call. */
        WATCH
    }

    private DiscoveryWaits() { }

    /** Returns how long discovery may delay its answer while there are no changes. */
    static long waitMs(Purpose purpose) {
        return switch (purpose) {
            case FIRST -> FIRST_CALL_WAIT_MS;
            case CATCH_UP -> CATCH_UP_WAIT_MS;
            case WATCH -> WATCH_WAIT_MS;
        };
    }

    /**
     * Returns the timeout of an answer's first byte; {@code isFullList} says whether the call asks for the
     * full list.
     */
    static long firstByteTimeoutMs(Purpose purpose, boolean isFullList) {
        return switch (purpose) {
            case FIRST -> FIRST_CALL_TIMEOUT_MS;
            case CATCH_UP -> CATCH_UP_TIMEOUT_MS;
            case WATCH -> isFullList ? FIRST_CALL_TIMEOUT_MS : WATCH_WAIT_MS + WATCH_TIMEOUT_MARGIN_MS;
        };
    }

    /** Returns the timeout of an answer's next part; {@code bytes} is the size of the answer so far. */
    static long nextBytesTimeoutMs(long sinceFirstByteMs, long bytes) {
        long remainingMs = COMPLETE_ANSWER_TIMEOUT_MS + bytes / MIN_BYTES_PER_MS - sinceFirstByteMs;
        return Math.max(0, Math.min(STALLED_ANSWER_TIMEOUT_MS, remainingMs));
    }
}
