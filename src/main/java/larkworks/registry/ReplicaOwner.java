package larkworks.registry;

import java.util.List;

/** Who holds what the replicas agree on; called by the consensus engine, on the owner's event loop. */
interface ReplicaOwner {

    /** Applies the commands of one log entry; see {@link ListStateMachine#apply}. */
    List<Outcome> apply(List<Command> commands, long nowMs, long term);

    /** Answers what can be asked of the leader alone. */
    List<LeaderQuery.Reply> query(List<LeaderQuery> queries);

    /** All that was applied up to here. */
    ListStateMachine.Image image();

    /** Takes up a snapshot in place of all that is held. */
    void restore(ListStateMachine.Image image);

    /** This replica leads from now on, all entries of earlier terms being applied. */
    void lead(long term);

    /** This replica does not lead any more. */
    void follow();

    /** Its log can't be written, and won't be until a new start. */
    void logFailed(Throwable why);
}
