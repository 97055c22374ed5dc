package larkworks.fleet;

/**
 * One piece of gossip: what {@code origin} holds of {@code member}.
 *
 * @param member id of the member it is about (its position in {@code peers})
 * @param state the state held
 * @param incarnation the member's incarnation it holds for, 0 to 2^32-1
 * @param origin id of the member that first said it; for a suspicion, the suspecter
 */
public record Update(int member, MemberState state, long incarnation, int origin) {

    /**
     * Whether this update wins over what is held: a higher incarnation, or at the same one a later state.
     * An {@code alive} at the incarnation held never wins, so only a refutation clears a suspicion.
     */
    boolean supersedes(MemberState heldState, long heldIncarnation) {
        return incarnation > heldIncarnation
                || incarnation == heldIncarnation && state.compareTo(heldState) > 0;
    }
}
