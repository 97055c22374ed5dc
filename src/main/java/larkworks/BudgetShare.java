package larkworks;

/** So many calls, until a time; of a budget that all copies share. */
final class BudgetShare {
    private long left;
    private final long untilUs;

    BudgetShare(long left, long untilUs) {
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
