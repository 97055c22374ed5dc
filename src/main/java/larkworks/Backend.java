package larkworks;

import java.util.Comparator;
import java.util.SplittableRandom;

/** The state that this copy keeps of a server. */
final class Backend {
    /** The order of the servers on the ring, the same at all copies: by a hash of the name, then by name. */
    static final Comparator<Backend> RING = Comparator.comparingLong((Backend s) -> s.ringPlace)
            .thenComparing(s -> s.id);
    /** The least recently assigned server first. */
    static final Comparator<Backend> TURN = Comparator.comparingLong((Backend s) -> s.turnAtUs)
            .thenComparing(RING);

    final String id;
    private final long ringPlace;
    int zone;
    int group;
    /** Its capacity relative to the other servers, by its registration. */
    double size;
    /** The part of the server that belongs to this copy's subset: below 1 where the subset ends within it. */
    double part = 1;
    /** Whether its answers carry load reports, and one plus the calls in flight of the latest report. */
    boolean reports;
    double crowd;
    long startedAtUs;
    /** When the operator ended its maintenance, usually after a restart; 0 where there was none. */
    long returnedAtUs;
    /**
     * The latest time at which it may be used, whatever its place in the assignment order: a server that
     * returns from maintenance must soon be seen to work.
     */
    long entryByUs = Long.MAX_VALUE;
    boolean up;
    /** Whether it belongs to this copy's subset. Only {@link AssignmentOrder} changes it. */
    boolean inSubset;
    /** This copy's share of the budget for the server; null where there is no budget. */
    BudgetShare budget;
    int inFlight;
    /**
     * When it was last assigned a call; moved to a later time for a slow server and to an earlier one for a
     * fast server. A server that was never used has a random value below all times. Only
     * {@link AssignmentOrder} changes it.
     */
    long turnAtUs;
    int failures;
    /** The share of errors among its latest answers, and its consecutive ejections for errors. */
    double errors;
    int errorRests;
    /** Attempts that stalled or timed out since its last answer. */
    int silences;
    /** Probes without an answer since the last answered probe. */
    int unanswered;
    /** Until when it is chosen only if all other servers are busy. */
    long demotedUntilUs = Long.MIN_VALUE;
    /** The calls in flight by its answer to a probe, valid until {@link #reportUntilUs}. */
    int reported;
    long reportUntilUs = Long.MIN_VALUE;
    /** Decaying sums of its calls' durations and of the loads they met, and when both were last updated. */
    double tookUs;
    double ahead;
    long callSeenUs = Long.MIN_VALUE;
    /** When the probe in flight was sent; {@code Long.MIN_VALUE} where there is none. */
    long probedAtUs = Long.MIN_VALUE;
    long restUntilUs = Long.MIN_VALUE;
    /** A cold or newly listed server gets no call until this many of its assignment intervals have passed. */
    double entryTurns;
    /** The time from which the intervals before its next call are counted. */
    long entryFromUs;

    Backend(String id) {
        this.id = id;
        this.ringPlace = new SplittableRandom(id.hashCode()).nextLong();
    }

    /** Returns the mean duration of its calls per call in flight; 0 while unknown. */
    double callUs() {
        return ahead > 0 ? tookUs / ahead : 0;
    }
}
