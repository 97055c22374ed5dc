package larkworks;

import java.util.Comparator;
import java.util.SplittableRandom;

/** The state that this copy keeps of a server. */
final class Backend {
    /** The order of the servers on the ring, the same at all copies: by a hash of the name, then by name. */
    static final Comparator<Backend> RING_ORDER = Comparator.comparingLong((Backend s) -> s.ringPosition)
            .thenComparing(s -> s.id);
    /** The least recently assigned server first. */
    static final Comparator<Backend> ASSIGNMENT_ORDER =
            Comparator.comparingLong((Backend s) -> s.assignedAtUs).thenComparing(RING_ORDER);

    final String id;
    private final long ringPosition;
    int zone;
    int group;
    /** Its capacity relative to the other servers, by its registration. */
    double weight;
    /** The part of the server that belongs to this copy's subset: below 1 where the subset ends within it. */
    double subsetShare = 1;
    /** Whether its answers carry load reports. */
    boolean reportsLoad;
    /** The number of calls in flight that it reported with its latest answer, plus one. */
    double answerLoad;
    long startedAtUs;
    /** When the operator ended its maintenance, usually after a restart; 0 if it was never in maintenance. */
    long maintenanceEndedAtUs;
    /**
     * From this time it may be used even if {@link #waitIntervals} have not passed: a server that returns
     * from maintenance must soon prove that it works.
     */
    long firstUseByUs = Long.MAX_VALUE;
    boolean isUp;
    /** Whether it belongs to this copy's subset. Only {@link AssignmentOrder} changes it. */
    boolean isInSubset;
    /** This copy's share of the budget for the server; null where there is no budget. */
    BudgetShare budget;
    /** This copy's attempts in flight there. */
    int attemptsInFlight;
    /**
     * When it was last assigned a call; a later time for a slow server, and an earlier time for a fast
     * server. A server that was never used has a random value below all times. Only
     * {@link AssignmentOrder} changes it.
     */
    long assignedAtUs;
    int connectionFailures;
    /** The share of errors among its latest answers, and its consecutive ejections for errors. */
    double errorShare;
    int errorEjections;
    /** Attempts that stalled or timed out since its last answer. */
    int unansweredCalls;
    /** Probes without an answer since the last answered probe. */
    int unansweredProbes;
    /** Until when it is chosen only if all other servers are busy. */
    long demotedUntilUs = Long.MIN_VALUE;
    /** The calls in flight that it reported to a probe, or a high number after it rejected a call as full. */
    int reportedLoad;
    /** Until when {@link #reportedLoad} is valid. */
    long reportedLoadUntilUs = Long.MIN_VALUE;
    /** Decaying sums of its calls' durations and of its loads at those calls, and when both were updated. */
    double durationSumUs;
    double loadSum;
    long lastMeasuredAtUs = Long.MIN_VALUE;
    /** When the probe in flight was sent; {@code Long.MIN_VALUE} where there is none. */
    long probeSentAtUs = Long.MIN_VALUE;
    long ejectedUntilUs = Long.MIN_VALUE;
    /** A cold or newly listed server gets no call until this many assignment intervals have passed. */
    double waitIntervals;
    /** The time from which {@link #waitIntervals} are counted. */
    long waitFromUs;

    Backend(String id) {
        this.id = id;
        this.ringPosition = new SplittableRandom(id.hashCode()).nextLong();
    }

    /** Returns the mean duration of its calls per call in flight; 0 while unknown. */
    double meanCallUs() {
        return loadSum > 0 ? durationSumUs / loadSum : 0;
    }
}
