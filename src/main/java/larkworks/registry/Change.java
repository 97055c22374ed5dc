package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonInclude;
import larkworks.rollout.RolloutState;

/**
 * One change, and one record of the log: of an instance, or of the rollout.
 *
 * @param index the version that it makes
 * @param instance the instance as it is from then on; null where it is the rollout that changed
 * @param rollout the rollout as it is from then on; null where it is an instance that changed
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Change(long index, Instance instance, RolloutState rollout) {

    /** A change of an instance. */
    public Change(long index, Instance instance) {
        this(index, instance, null);
    }
}
