package larkworks;

import java.util.ArrayList;
import java.util.List;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;

/** A request as this copy holds it, from its arrival until the outcome of its last attempt. */
final class Call {
    final Request request;
    final RequestClass requestClass;
    /** When an answer loses all its worth, or the client stops waiting for it. */
    long usefulUntilUs;
    /** Its expected work as a multiple of the mean; 1 where unknown. */
    final double relativeWork;
    /** When the client gives up. */
    long deadlineUs;
    /** Whether the body is still being received; the call's time limits start after that. */
    boolean isUploading;
    /** Whether part of the body was discarded, so that no further attempt can be sent. */
    boolean isBodyDiscarded;
    final List<Attempt> attempts = new ArrayList<>(2);
    int attemptsInFlight;
    boolean hasEnded;
    /** Whether {@link RecentCallCounts} counted the call already, or must not count it. */
    boolean isCounted;
    boolean isBeyondQuota;
    /** Whether the call waited for a server; such a call is sent only if an answer in time is likely. */
    boolean wasQueued;
    int probeRounds;
    /** Until when the call waits for the answers to its probes. */
    long waitsForProbesUntilUs = Long.MIN_VALUE;

    Call(Request request, RequestClass requestClass, long nowUs, long usefulUntilUs, double relativeWork) {
        this.request = request;
        this.requestClass = requestClass;
        this.usefulUntilUs = usefulUntilUs;
        this.relativeWork = relativeWork;
        this.deadlineUs = nowUs + request.timeLeftUs();
        this.isUploading = request.isUploading();
    }

    /**
     * Returns the time left for an answer to be useful. While the body is being received that is the full
     * time, unless the upload lasts past the deadline.
     */
    long timeLeftUs(long nowUs) {
        long startUs = deadlineUs - request.timeLeftUs();
        return usefulUntilUs - (isUploading && nowUs < deadlineUs ? startUs : nowUs);
    }

    /** Starts the call's time limits from now, as its body has been received in full. */
    void uploadCompleted(long nowUs) {
        isUploading = false;
        usefulUntilUs += nowUs + request.timeLeftUs() - deadlineUs;
        deadlineUs = nowUs + request.timeLeftUs();
    }

    /**
     * Ends the call because its client disconnected. If an answer would still have been useful, the call is
     * not counted: the servers might have answered in time.
     */
    void clientLeft(long nowUs) {
        hasEnded = true;
        isCounted |= nowUs < usefulUntilUs;
    }
}
