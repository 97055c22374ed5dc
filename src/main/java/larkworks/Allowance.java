package larkworks;

/** So many calls, until a time; of a budget that all copies share. */
final class Allowance {
    private long left;
    private final long untilUs;

    Allowance(long left, long untilUs) {
        this.left = left;
        this.untilUs = untilUs;
    }

    boolean any(long nowUs) {
        return left > 0 && nowUs < untilUs;
    }

    boolean take(long nowUs) {
        return any(nowUs) && left-- > 0;
    }
}
