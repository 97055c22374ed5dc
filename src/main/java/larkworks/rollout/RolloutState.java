package larkworks.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * A rollout as it stands; what the list service keeps.
 *
 * @param version that it brings: the index at which it was published
 * @param plan as published
 * @param phase whether it goes on
 * @param wave that is under way, from 0; the number of waves once it is done
 * @param sinceMs Unix time in ms at which the wave began
 * @param reason of the last stop or pause, for people; "" for none
 * @param baseVersion what all run who are in no wave yet; 0 is their own files alone
 * @param basePatch to their files for that; null for none
 */
public record RolloutState(long version, Plan plan, Phase phase, int wave, long sinceMs, String reason,
        long baseVersion, JsonNode basePatch) {

    /** A patch of null in JSON is none. */
    public RolloutState {
        basePatch = basePatch == null || basePatch.isNull() ? null : basePatch;
    }

    /** Whether a rollout goes on. */
    public enum Phase {
        /** Waves follow each other. */
        @JsonProperty("running") RUNNING("running"),
        /** Waves that began keep the version, none begins. */
        @JsonProperty("paused") PAUSED("paused"),
        /** All run the version; it is the base of the next. */
        @JsonProperty("done") DONE("done"),
        /** All run the base again. */
        @JsonProperty("rolled_back") ROLLED_BACK("rolled_back");

        private final String wire;

        Phase(String wire) {
            this.wire = wire;
        }

        /** Its word on the wire. */
        public String wire() {
            return wire;
        }

        /** Whether another rollout may be published. */
        boolean over() {
            return this == DONE || this == ROLLED_BACK;
        }
    }

    RolloutState at(Phase next, int nextWave, long nowMs, String why) {
        return new RolloutState(version, plan, next, nextWave, nowMs, why, baseVersion, basePatch);
    }
}
