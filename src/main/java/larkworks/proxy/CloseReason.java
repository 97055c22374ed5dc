package larkworks.proxy;

/** Why the proxy closed a client's connection. The constants are written to the log. */
enum CloseReason {
    /**
     * The connection's last answer was written: the client asked to close, the process drains, or a part of
     * the client's input was not read.
     */
    LAST_ANSWER,
    /** The process is ending, and the connection had no request. */
    UNUSED_AT_END,
    /** File descriptors or memory for request bodies ran short. */
    EVICTED,
    /** No complete request head arrived before the timeout. */
    REQUEST_LATE,
    /** A request body arrived below the minimum rate, or no backend took it. */
    BODY_LATE,
    /** A large answer made no progress. */
    ANSWER_STALLED,
    /** A large answer from a backend broke off. */
    ANSWER_BROKEN,
    /** The client sent more requests ahead (pipelining) than the proxy buffers. */
    TOO_MUCH_AHEAD,
    /** A request body became invalid while its answer was already being written. */
    REQUEST_BROKEN,
    /** The connection failed. */
    FAILED
}
