package larkworks.registry;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a backend takes calls; PROTOCOL, "Discovery". */
public enum Status {
    /** It takes calls. */
    @JsonProperty("in_service") IN_SERVICE("in_service"),
    /** It finishes what it has and wants nothing new. */
    @JsonProperty("terminating") TERMINATING("terminating"),
    /** It is gone; only among changes, never in a whole list. */
    @JsonProperty("terminated") TERMINATED("terminated");

    private final String wire;

    Status(String wire) {
        this.wire = wire;
    }

    /** Its word on the wire. */
    public String wire() {
        return wire;
    }
}
