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
    private final long probes;

    /**
     * @param windowUs who is held alive counts as reached if heard within this time
     * @param freshUs who is suspected does if heard within this one
     * @param intervalUs one other member is probed in each such period, so that in a larger fleet than the
     *     window has periods no more than that many can be expected to be heard
     */
    PartitionWatch(MemberTable table, int self, long windowUs, long freshUs, long intervalUs) {
        this.table = table;
        this.self = self;
        this.windowUs = windowUs;
        this.freshUs = freshUs;
        this.probes = windowUs / intervalUs;
    }

    /**
     * Whether fewer than half of the members last seen alive are reached: by the whole fleet's word of who is
     * dead, or by this process's own ears, of as many as it probes in the window.
     */
    boolean minority(long nowUs) {
        int reached = 1;
        int present = 1;
        int base = 1;
        for (int i = 0; i < table.size(); i++) {
            if (i != self) {
                long silentUs = nowUs - table.heardUs(i);
                reached += switch (table.state(i)) {
                    case ALIVE -> silentUs <= windowUs ? 1 : 0;
                    case SUSPECT -> silentUs <= freshUs ? 1 : 0;
                    case DEAD, LEFT -> 0;
                };
                present += switch (table.state(i)) {
                    case ALIVE -> 1;
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
        return present * 2 < base || reached * 2 < Math.min(base, probes);
    }
}
