package larkworks.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * How long a suspected member has before it is declared dead (Lifeguard, Dadgar et al. 2018, section
 * IV.B): from {@code maxUs} at the start down to {@code minUs} as independent confirmations come, by the
 * log of their count over the log of those expected.
 */
final class Suspicion {

    private long startUs;
    private final long minUs;
    private final long maxUs;
    private final int expected;
    private final Set<Integer> confirmers = new HashSet<>();

    /**
     * @param suspecter the first member to suspect; it is no confirmation of itself
     * @param expected confirmations that bring the time-out down to {@code minUs}; 0 means at once
     */
    Suspicion(long startUs, long minUs, long maxUs, int expected, int suspecter) {
        this.startUs = startUs;
        this.minUs = minUs;
        this.maxUs = Math.max(minUs, maxUs);
        this.expected = expected;
        confirmers.add(suspecter);
    }

    /** Counts a suspicion by another member; true where it was new. */
    boolean confirm(int member) {
        return confirmers.size() <= expected && confirmers.add(member);
    }

    /** Gives the member as much more time, in which this process itself stood still. */
    void extend(long byUs) {
        startUs += byUs;
    }

    /** When the member is to be declared dead, on the caller's clock. */
    long deadlineUs() {
        int confirmations = confirmers.size() - 1;
        if (expected <= 0 || confirmations >= expected) {
            return startUs + minUs;
        }
        double fraction = Math.log(confirmations + 1.0) / Math.log(expected + 1.0);
        return startUs + Math.max(minUs, (long) (maxUs - fraction * (maxUs - minUs)));
    }
}
