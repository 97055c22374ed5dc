package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * How a command ended at the state machine.
 *
 * @param index the list's version after it
 * @param status 0 where it is in force, else the HTTP status that says why not
 * @param error why it was not granted; null where it is in force
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record Outcome(long index, int status, String error) {

    static Outcome of(long index) {
        return new Outcome(index, 0, null);
    }

    static Outcome refused(long index, Refusal why) {
        return new Outcome(index, why.status(), why.getMessage());
    }

    /** The refusal; null where the command is in force. */
    Refusal refusal() {
        return status == 0 ? null : new Refusal(status, error);
    }
}
