package larkworks.proxy;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as received from a client.
 *
 * @param idempotencyKey null if the request carries none
 * @param body the complete body; null if the body is an upload
 * @param upload a body that is too large to be buffered; null if there is none
 * @param contentType the content type, or null
 * @param timeLeftUs how long the client waits for the answer, from the request's last byte
 * @param workUs the expected work on a standard core; 0 if unknown
 * @param clientRetry whether the client marked the request as a retry
 * @param receivedAtUs when the request's last byte was received
 */
record InboundRequest(String callId, HttpMethod method, String uri, String idempotencyKey, byte[] body,
        Upload upload, String contentType, int requestClass, int tenant, long timeLeftUs, long workUs,
        boolean clientRetry, long receivedAtUs) {

    /**
     * Returns the same request with its body: complete, or as an upload that is forwarded from now on.
     */
    InboundRequest withBody(byte[] completeBody, Upload forwardedUpload, long bodyReceivedAtUs) {
        return new InboundRequest(callId, method, uri, idempotencyKey, completeBody, forwardedUpload,
                contentType, requestClass, tenant, timeLeftUs, workUs, clientRetry, bodyReceivedAtUs);
    }
}
