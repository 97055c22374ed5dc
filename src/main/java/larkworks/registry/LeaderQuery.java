package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import larkworks.rollout.Report;

/** What a replica passes on to the leader and what leaves no trace in the log. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = LeaderQuery.Beat.class, name = "beat"),
    @JsonSubTypes.Type(value = LeaderQuery.Reported.class, name = "reported"),
    @JsonSubTypes.Type(value = LeaderQuery.Standing.class, name = "standing"),
})
sealed interface LeaderQuery {

    /** A heartbeat; the reply's value says whether it must go through the log, as the lease has ended. */
    record Beat(String name) implements LeaderQuery { }

    /** A proxy's report on a rollout; the reply's value is what the proxy should run. */
    record Reported(String proxy, Report report) implements LeaderQuery { }

    /** The rollout as it stands; the reply's value has its state and the proxies' reports. */
    record Standing() implements LeaderQuery { }

    /**
     * The leader's word.
     *
     * @param status 0 where it has granted the query, else the HTTP status that says why not
     * @param error why not; null where it was granted
     * @param value the answer
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    record Reply(int status, String error, JsonNode value) {

        static Reply of(Object value) {
            return new Reply(0, null, Words.tree(value));
        }

        static Reply refused(Refusal why) {
            return new Reply(why.status(), why.getMessage(), null);
        }

        /** The refusal; null where the query was granted. */
        Refusal refusal() {
            return status == 0 ? null : new Refusal(status, error);
        }
    }
}
