package larkworks;

/** The calls that this copy may make until a given time, out of a budget that all copies share. */
final class BudgetShare {
    private long tokens;
    private final long untilUs;

    BudgetShare(long tokens, long untilUs) {
        this.tokens = tokens;
        this.untilUs = untilUs;
    }

    boolean hasTokens(long nowUs) {
        return tokens > 0 && nowUs < untilUs;
    }

    boolean tryTake(long nowUs) {
        return hasTokens(nowUs) && tokens-- > 0;
    }
}
