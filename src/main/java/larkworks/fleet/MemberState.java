package larkworks.fleet;

/**
 * What a process holds of a member; SWIM's states with memberlist's {@code left}.
 *
 * <p>The order is the merge order at one incarnation: a later state wins over an earlier one.
 */
public enum MemberState {
    ALIVE, SUSPECT, DEAD, LEFT;

    private static final MemberState[] ALL = values();

    /** The state of a wire code; null for a code that names none. */
    static MemberState ofCode(int code) {
        return code >= 0 && code < ALL.length ? ALL[code] : null;
    }

    /** Whether the member is still probed in the regular round. */
    boolean probed() {
        return this == ALIVE || this == SUSPECT;
    }
}
