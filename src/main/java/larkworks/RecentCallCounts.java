package larkworks;

/**
 * Counts the recent calls that ended or were refused, and those of them that were served in time. The counts
 * decay exponentially.
 */
final class RecentCallCounts {
    private final double decayTimeUs;
    private long decayedAtUs;
    private double total;
    private double servedInTime;

    /** Creates empty counts. A call counted {@code decayTimeUs} ago weighs 1/e of one counted now. */
    RecentCallCounts(double decayTimeUs) {
        this.decayTimeUs = decayTimeUs;
    }

    /**
     * Decays the counts up to the given time. To be called before the counts are read: under congestion it
     * may be long since the last call was counted, and counting alone would not decay them.
     */
    void decayTo(long nowUs) {
        double remainingShare = Math.exp(Math.min(0, decayedAtUs - nowUs) / decayTimeUs);
        decayedAtUs = nowUs;
        total *= remainingShare;
        servedInTime *= remainingShare;
    }

    /** Counts an ended call, unless it was counted before. */
    void countEnded(long nowUs, Call call, boolean isInTime) {
        decayTo(nowUs);
        total += call.isCounted ? 0 : 1;
        servedInTime += call.isCounted || !isInTime ? 0 : 1;
        call.isCounted = true;
    }

    /** Counts a call if it was refused. */
    void countRefused(boolean isRefused) {
        total += isRefused ? 1 : 0;
    }

    double total() {
        return total;
    }

    double servedInTime() {
        return servedInTime;
    }
}
