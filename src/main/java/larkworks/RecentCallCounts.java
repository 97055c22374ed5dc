package larkworks;

/** Calls of late that came to an end, or were turned away, and those of them served in time. */
final class RecentCallCounts {
    private final double fadeUs;
    private long atUs;
    private double tried;
    private double served;

    /** What is {@code fadeUs} old counts for about a third of what is new. */
    RecentCallCounts(double fadeUs) {
        this.fadeUs = fadeUs;
    }

    /** Lets what was counted fade; to be called before reading, as in a jam nothing else may be counted. */
    void age(long nowUs) {
        double kept = Math.exp(Math.min(0, atUs - nowUs) / fadeUs);
        atUs = nowUs;
        tried *= kept;
        served *= kept;
    }

    /** Counts a call, once. */
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
