package larkworks.scale;

import java.util.Arrays;
import larkworks.fleet.MemberState;

/**
 * What each member holds of each other beside the truth: how many of the pairs are wrong is kept up to date
 * at each change, so that the moment at which all agree is seen at once.
 */
final class Views {

    private static final byte ALIVE = (byte) MemberState.ALIVE.ordinal();
    private static final byte DEAD = (byte) MemberState.DEAD.ordinal();

    private final byte[][] held;
    private final boolean[] up;
    private long wrong;

    Views(int size) {
        held = new byte[size][size];
        up = new boolean[size];
        Arrays.fill(up, true);
    }

    /** Pairs in which a member that is up holds something else than the truth of another. */
    long wrong() {
        return wrong;
    }

    boolean up(int member) {
        return up[member];
    }

    /** A member's view of another changed. */
    void hold(int observer, int about, MemberState state) {
        wrong -= wrong(observer, about);
        held[observer][about] = (byte) state.ordinal();
        wrong += wrong(observer, about);
    }

    /** A member starts, and holds all others alive, or is gone. */
    void set(int member, boolean nowUp) {
        wrong -= wrongOf(member);
        up[member] = nowUp;
        if (nowUp) {
            Arrays.fill(held[member], ALIVE);
        }
        wrong += wrongOf(member);
    }

    private long wrongOf(int member) {
        long count = 0;
        for (int i = 0; i < up.length; i++) {
            count += wrong(i, member) + wrong(member, i);
        }
        return count;
    }

    private int wrong(int observer, int about) {
        if (observer == about || !up[observer]) {
            return 0;
        }
        byte state = held[observer][about];
        return (up[about] ? state == ALIVE : state >= DEAD) ? 0 : 1;
    }
}
