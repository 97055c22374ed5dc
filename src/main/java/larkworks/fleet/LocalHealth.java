package larkworks.fleet;

/**
 * Lifeguard's local health multiplier (Dadgar et al. 2018, section IV.A; memberlist's {@code awareness}):
 * a process that misses what healthy ones would answer doubts itself first, and probes more slowly, before
 * it doubts others.
 */
final class LocalHealth {

    private final int most;
    private int score;

    /** @param most the highest score, at which times are {@code most + 1} times as long; 0 turns it off */
    LocalHealth(int most) {
        this.most = most;
    }

    /** A probe was answered in time. */
    void good() {
        score = Math.max(0, score - 1);
    }

    /** So many signs that this process is slow: failed probes, nacks that never came, own refutations. */
    void bad(int signs) {
        score = Math.min(most, score + signs);
    }

    /** 0 when all is well. */
    int score() {
        return score;
    }

    /** A time-out or period, in the unit it is given in, made longer by the score. */
    long scale(long time) {
        return time * (score + 1);
    }
}
