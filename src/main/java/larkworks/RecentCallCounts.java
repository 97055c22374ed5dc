package larkworks;

/**
 * Counts the recent calls that ended or were refused, and those of them that were served in time. The counts
 * decay exponentially.
 */
final class RecentCallCounts {
    private final double fadeUs;
    private long atUs;
    private double tried;
    private double served;

    /** A call counted {@code fadeUs} ago weighs about a third (1/e) of one counted now. */
    RecentCallCounts(double fadeUs) {
        this.fadeUs = fadeUs;
    }

    /**
     * Decays the counts up to the given time. To be called before the counts are read: under congestion no
     * call may be counted, so that counting alone would not decay them.
     */
    void age(long nowUs) {
        double kept = Math.exp(Math.min(0, atUs - nowUs) / fadeUs);
        atUs = nowUs;
        tried *= kept;
        served *= kept;
    }

    /** Counts an ended call, unless it was counted before. */
    void count(long nowUs, Call call, boolean inTime) {
        age(nowUs);
        tried += call.tallied ? 0 : 1;
        served += call.tallied || !inTime ? 0 : 1;
        call.tallied = true;
    }

    void countRefused(boolean refused) {
        tried += refused ? 1 : 0;
    }

    double tried() {
        return tried;
    }

    double served() {
        return served;
    }
}
