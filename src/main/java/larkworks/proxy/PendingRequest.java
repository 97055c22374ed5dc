package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import larkworks.proxy.Meters.Result;

/**
 * A request that the driver has accepted and that has not ended. It ends once no answer remains to be written
 * to the client (it was written, can't be written, or the client has gone) and all attempts have ended;
 * {@link PendingRequests} then removes it. To be used on the proxy's event loop only. Times are in
 * microseconds by the driver's clock.
 */
final class PendingRequest {

    /** The id under which the decision module knows the request, assigned by the driver. */
    final String id;
    final InboundRequest inbound;
    final RequestClient client;
    /** The decision module that handles this request until it ends. */
    final Driver.DecisionModule module;
    final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    /** When the driver received the request, which may be some time after it arrived at the proxy. */
    final long dispatchedUs;
    /** Time by which the client must have its answer; set anew once an upload's last byte has arrived. */
    long deadlineUs;
    /** When an upload's last byte arrived, {@link Long#MAX_VALUE} until then; 0 if there is no upload. */
    long uploadCompletedUs;
    /** The attempt whose answer is being passed on to the client, or null. */
    UpstreamAttempt answeringAttempt;
    /** Number of attempts that have not ended. */
    int openAttempts;
    /** Whether this request's id has been added to the {@link StartedRequests}. */
    boolean isStarted;
    /** Timer that answers the request as failed shortly before its deadline; null if not started. */
    Future<?> failureTimer;
    /** How the request was answered; null until then. */
    private Result result;
    private long answeredUs;
    /** Whether the answer was written, can't be written, or is not needed as the client has gone. */
    private boolean delivered;

    PendingRequest(String id, InboundRequest inbound, RequestClient client, long dispatchedUs,
            long deadlineUs, Driver.DecisionModule module) {
        this.dispatchedUs = dispatchedUs;
        this.id = id;
        this.inbound = inbound;
        this.client = client;
        this.deadlineUs = deadlineUs;
        this.module = module;
        this.uploadCompletedUs = inbound.upload() == null ? 0 : Long.MAX_VALUE;
    }

    /** Returns whether the body is an upload whose last byte has not arrived. */
    boolean isUploading() {
        return uploadCompletedUs == Long.MAX_VALUE;
    }

    /** Returns whether the request has been answered, even if not written yet, or its client has gone. */
    boolean isAnswered() {
        return result != null;
    }

    /** Records how the request was answered; for {@link Result#GONE} no answer is to be written. */
    void recordAnswer(Result newResult, long nowUs) {
        if (result != null) {
            throw new IllegalStateException("request " + id + " answered twice");
        }
        result = newResult;
        answeredUs = nowUs;
        delivered = newResult == Result.GONE;
    }

    /** Records that the answer's last byte was written to the client's connection or can't be written. */
    void markDelivered() {
        delivered = true;
    }

    /** Returns whether all attempts have ended and no answer remains to be written to the client. */
    boolean hasEnded() {
        return delivered && openAttempts == 0;
    }

    /** Returns whether the client still waits for an answer although the deadline has passed. */
    boolean isPastDeadline(long nowUs) {
        return result == null && !isUploading() && nowUs > deadlineUs;
    }

    /** Describes the request for the log: its age, time left, attempts and answer, timed from its arrival. */
    String describe(long nowUs) {
        StringBuilder text = new StringBuilder("age=").append(sinceArrivalMs(nowUs)).append("ms left=")
                .append((deadlineUs - nowUs) / 1000).append("ms");
        for (UpstreamAttempt attempt : attempts) {
            text.append(" attempt").append(attempt.number).append('=').append(attempt.server).append('@')
                    .append(sinceArrivalMs(attempt.sentAtUs)).append("ms/").append(attempt.state());
        }
        text.append(" answer=");
        if (result == null) {
            text.append("none");
        } else {
            text.append(result).append('@').append(sinceArrivalMs(answeredUs)).append("ms");
        }
        return text.append(delivered ? " delivered" : " undelivered").toString();
    }

    private long sinceArrivalMs(long atUs) {
        return (atUs - inbound.receivedAtUs()) / 1000;
    }
}
