package larkworks.proxy;

/**
 * The client that waits for a request's final answer. Exactly one of the methods that take a
 * {@link DeliveryListener} is called, and only once.
 */
interface RequestClient {
    /**
     * Returns whether the client is still connected, after reading all bytes that the system has received
     * from it by now.
     */
    boolean isConnected();

    /** Returns whether the client's connection is open, judged by the bytes read so far. */
    default boolean isOpen() {
        return true;
    }

    /** Sends a whole answer with status 200. */
    void sendAnswer(byte[] body, String contentType, DeliveryListener delivery);

    /**
     * Starts a large answer whose body follows in parts.
     *
     * @param length the length of the body in bytes; negative if the backend did not declare it
     * @return the sink that takes the body
     */
    BackendPool.AnswerSink startStream(BackendPool.Exchange exchange, String contentType, long length,
            DeliveryListener delivery);

    /**
     * Refuses the request: it may safely be sent again.
     *
     * @param retryAfterUs when the client should try again; 0 for at any time
     */
    void sendRefusal(long retryAfterUs, DeliveryListener delivery);

    /** Answers the request as failed. */
    void sendFailure(DeliveryListener delivery);
}
