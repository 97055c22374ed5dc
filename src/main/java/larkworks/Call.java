package larkworks;

import java.util.ArrayList;
import java.util.List;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;

/** A request as this copy holds it, from its arrival until the outcome of its last attempt. */
final class Call {
    final Request request;
    final RequestClass kind;
    /** When an answer loses all its worth, or the client stops waiting for it. */
    long endAtUs;
    /** Its expected work as a multiple of the mean; 1 where unknown. */
    final double size;
    /** When the client gives up. */
    long deadlineUs;
    /** Whether the body is still being received; the time of the call begins after that. */
    boolean uploading;
    /** Whether part of the body was discarded, so that no further attempt can be sent. */
    boolean spent;
    final List<Attempt> attempts = new ArrayList<>(2);
    int out;
    boolean ended;
    /** Whether the call was already counted as served in time or not, or must not be counted. */
    boolean tallied;
    boolean beyondShare;
    /** Whether the call was queued for a server; it is then sent only if it is likely to be in time. */
    boolean held;
    int probeRounds;
    /** Until when the call waits for the answers to its probes. */
    long probeUntilUs = Long.MIN_VALUE;

    Call(Request request, RequestClass kind, long nowUs, long endAtUs, double size) {
        this.request = request;
        this.kind = kind;
        this.endAtUs = endAtUs;
        this.size = size;
        this.deadlineUs = nowUs + request.timeLeftUs();
        this.uploading = request.isUploading();
    }

    /**
     * Returns the time left for an answer to be useful. While the body is being received that is the full
     * time, unless the upload lasts past the deadline.
     */
    long leftUs(long nowUs) {
        long fromUs = deadlineUs - request.timeLeftUs();
        return endAtUs - (uploading && nowUs < deadlineUs ? fromUs : nowUs);
    }

    /** Starts the time of the call, as its body has been received in full. */
    void uploaded(long nowUs) {
        uploading = false;
        endAtUs += nowUs + request.timeLeftUs() - deadlineUs;
        deadlineUs = nowUs + request.timeLeftUs();
    }

    /**
     * Ends the call as its client has gone. Where that happens before an answer lost its worth, the call is
     * not counted: the servers might still have answered in time.
     */
    void clientLeft(long nowUs) {
        ended = true;
        tallied |= nowUs < endAtUs;
    }
}
