package larkworks.proxy;

/**
 * A lower bound of the time at which a client can have written the last byte of its body. While the client is
 * not read, as no backend takes more of the body, all that is left of it may be in the systems' buffers.
 * Times are in microseconds by the driver's clock.
 */
final class EarliestWriteTime {

    /** Returned while the client can't have written its last byte. */
    static final long NOT_YET = Long.MAX_VALUE;
    /** More bytes than the buffers of both systems hold between a client's write and the proxy's read. */
    private static final long MAX_IN_TRANSIT_BYTES = 5 << 20;

    /** The length of the body; negative if it is not known. */
    private final long length;
    /** Whether more of the body may be in the systems' buffers than was read. */
    private boolean behind;
    /** When the bound's byte count was reached; the last byte was not written before. */
    private long boundUs;
    private long nextBoundUs;
    /** Number of bytes received at {@link #nextBoundUs}. */
    private long nextBoundBytes;

    EarliestWriteTime(long length) {
        this.length = length;
    }

    /** Notes that the client is not read any more; has no effect if reading was behind already. */
    void fellBehind(long nowUs, long receivedBytes) {
        if (!behind) {
            behind = true;
            boundUs = nowUs;
            nextBoundUs = nowUs;
            nextBoundBytes = receivedBytes;
        }
    }

    /** Notes that all that the client had written was read. */
    void caughtUp() {
        behind = false;
    }

    /**
     * Returns the earliest time at which the last byte can have been written.
     *
     * @param arrivalUs when the bytes received last arrived, if reading is not behind
     */
    long lastByteUs(long nowUs, long receivedBytes, long arrivalUs) {
        if (length - receivedBytes > MAX_IN_TRANSIT_BYTES) {
            return NOT_YET;
        }
        if (!behind) {
            return arrivalUs;
        }
        // When the count was at the next bound, a byte so far behind it was not written yet.
        if (receivedBytes - nextBoundBytes >= MAX_IN_TRANSIT_BYTES) {
            boundUs = nextBoundUs;
            nextBoundUs = nowUs;
            nextBoundBytes = receivedBytes;
        }
        return boundUs;
    }

    /** Returns whether more of the body may have been written than was read. */
    boolean isBehind() {
        return behind;
    }
}
