package larkworks.fleet;

/**
 * Tells whether this process is in a minority: it reaches fewer than half of the members it last saw alive.
 * Its view is then stale, and decisions that derive from membership stand still rather than act on it.
 *
 * <p>{@code peers} is fixed, so a dead member is one that should come back, and counts until it does; one
 * that left does not, nor one that was never there. A minority that declares the others dead thus stays one.
 */
final class PartitionWatch {

    private final MemberTable table;
    private final int self;
    private final long windowUs;
    private final long freshUs;

    /**
     * @param windowUs who is held alive counts as reached if heard within this time
     * @param freshUs who is suspected does if heard within this one
     */
    PartitionWatch(MemberTable table, int self, long windowUs, long freshUs) {
        this.table = table;
        this.self = self;
        this.windowUs = windowUs;
        this.freshUs = freshUs;
    }

    /** Whether fewer than half of the members last seen alive are reached. */
    boolean minority(long nowUs) {
        int reached = 1;
        int base = 1;
        for (int i = 0; i < table.size(); i++) {
            if (i != self) {
                long silentUs = nowUs - table.heardUs(i);
                reached += switch (table.state(i)) {
                    case ALIVE -> silentUs <= windowUs ? 1 : 0;
                    case SUSPECT -> silentUs <= freshUs ? 1 : 0;
                    case DEAD, LEFT -> 0;
                };
                base += switch (table.state(i)) {
                    case ALIVE, SUSPECT -> 1;
                    case DEAD -> table.incarnation(i) > 0 ? 1 : 0;
                    case LEFT -> 0;
                };
            }
        }
        return reached * 2 < base;
    }
}
