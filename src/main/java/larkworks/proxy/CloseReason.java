package larkworks.proxy;

/** Why the proxy ended a client's connection. */
enum CloseReason {
    /** Its last answer was given: the client, or the process's end, asked for no more. */
    LAST_ANSWER,
    /** The process ends, and no request was on it. */
    UNUSED_AT_END,
    /** Descriptors or room for bodies ran short. */
    EVICTED,
    /** Nothing, or only half a request, came in its time. */
    REQUEST_LATE,
    /** A body came too slowly, or nobody took it. */
    BODY_LATE,
    /** The client took nothing of a large answer. */
    ANSWER_STALLED,
    /** A large answer ended before it was whole. */
    ANSWER_BROKEN,
    /** More requests came at once than are held. */
    TOO_MUCH_AHEAD,
    /** A request broke off in a way that no answer fits. */
    REQUEST_BROKEN,
    /** The connection failed. */
    FAILED
}
