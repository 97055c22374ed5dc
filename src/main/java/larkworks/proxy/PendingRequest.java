package larkworks.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import larkworks.proxy.Meters.Result;

/**
 * A request from its arrival until it ends: its answer has been given and written to the client's connection,
 * or the client has gone, and its last attempt has ended. {@link PendingRequests} is where it ends. For the
 * proxy's loop only; times are in microseconds by the driver's clock.
 */
final class PendingRequest {

    final String id;
    final Driver.Inbound inbound;
    final Driver.Client client;
    /** The module that decides on it, to its end. */
    final Driver.DecisionModule module;
    final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    /** When it was handed over, which may be some time after it came. */
    final long readUs;
    /** By then its client must have its answer; changes once the last byte of an upload has come. */
    long deadlineUs;
    /** When the last byte came of a body that was an upload; the greatest value until then. */
    long uploadedUs;
    /** The attempt whose answer is being handed on, or null. */
    UpstreamAttempt answering;
    /** Attempts that have not ended. */
    int attemptsOut;
    /** Answers it as failed shortly before its deadline; null where none is armed. */
    Future<?> guard;
    /** How it was answered; null until then. */
    private Result result;
    private long answeredUs;
    private boolean delivered;

    PendingRequest(String id, Driver.Inbound inbound, Driver.Client client, long readUs, long deadlineUs,
            Driver.DecisionModule module) {
        this.readUs = readUs;
        this.id = id;
        this.inbound = inbound;
        this.client = client;
        this.deadlineUs = deadlineUs;
        this.module = module;
        this.uploadedUs = inbound.upload() == null ? 0 : Long.MAX_VALUE;
    }

    /** Whether its body is a large one of which the last byte has not come. */
    boolean uploading() {
        return uploadedUs == Long.MAX_VALUE;
    }

    /** Whether its answer has been given, or its client has gone: nothing more is owed but the writing. */
    boolean answered() {
        return result != null;
    }

    /** Its answer is given; a client that has gone is owed none, so nothing is left to be written. */
    void answer(Result how, long nowUs) {
        if (result != null) {
            throw new IllegalStateException("request " + id + " is answered twice");
        }
        result = how;
        answeredUs = nowUs;
        delivered = how == Result.GONE;
    }

    /** The answer's last byte was written to the client's connection, or never will be. */
    void deliver() {
        delivered = true;
    }

    /** Whether nothing of it is left: no answer owed or being written, no attempt out. */
    boolean ended() {
        return delivered && attemptsOut == 0;
    }

    /** Whether its client still waits for an answer at this time though its deadline has passed. */
    boolean overdue(long nowUs) {
        return result == null && !uploading() && nowUs > deadlineUs;
    }

    /** Its state in words, for the log: what it waits for, and when each step happened, from its arrival. */
    String state(long nowUs) {
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
