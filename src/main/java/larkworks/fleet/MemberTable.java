package larkworks.fleet;

import java.util.ArrayList;
import java.util.List;

/** What one process holds of every member: state, incarnation, last heard. Its own row is itself. */
public final class MemberTable {

    /**
     * A member as the table holds it.
     *
     * @param id position in {@code peers}
     * @param state what is held
     * @param incarnation the incarnation it is held at
     * @param lastHeardUs when a datagram of its own came last, caller's clock; the start for none
     */
    public record Row(int id, MemberState state, long incarnation, long lastHeardUs) { }

    private final MemberState[] states;
    private final long[] incarnations;
    private final long[] heardUs;

    MemberTable(int size, long nowUs) {
        states = new MemberState[size];
        incarnations = new long[size];
        heardUs = new long[size];
        java.util.Arrays.fill(states, MemberState.ALIVE);
        java.util.Arrays.fill(heardUs, nowUs);
    }

    int size() {
        return states.length;
    }

    MemberState state(int id) {
        return states[id];
    }

    long incarnation(int id) {
        return incarnations[id];
    }

    long heardUs(int id) {
        return heardUs[id];
    }

    void heard(int id, long nowUs) {
        heardUs[id] = Math.max(heardUs[id], nowUs);
    }

    /** Counts a time in which this process stood still as if it had not been. */
    void extend(long byUs, long nowUs) {
        for (int i = 0; i < heardUs.length; i++) {
            heardUs[i] = Math.min(nowUs, heardUs[i] + byUs);
        }
    }

    void set(int id, MemberState state, long incarnation) {
        states[id] = state;
        incarnations[id] = incarnation;
    }

    List<Row> rows() {
        List<Row> rows = new ArrayList<>(states.length);
        for (int i = 0; i < states.length; i++) {
            rows.add(new Row(i, states[i], incarnations[i], heardUs[i]));
        }
        return rows;
    }
}
