package larkworks.proxy;

import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larkworks.proxy.DiscoveryWaits.Purpose;

/** One call to discovery, and what has arrived of its answer. */
final class DiscoveryCall {

    final Purpose purpose;
    /** The version of the list since which changes are asked for; negative to ask for the full list. */
    final long sinceIndex;
    /** When the call began, by the driver's clock. */
    final long startedUs;
    private final long startedNs = System.nanoTime();
    /** The connection that the call uses; null if the system provided none. */
    DiscoveryConnection connection;
    private boolean answerStarted;
    private long answerStartedNs;
    private long answerBytes;
    /** The timer that gives up waiting for more of the answer. */
    private Future<?> timeout;

    DiscoveryCall(Purpose purpose, long sinceIndex, long startedUs) {
        this.purpose = purpose;
        this.sinceIndex = sinceIndex;
        this.startedUs = startedUs;
    }

    boolean asksForFullList() {
        return sinceIndex < 0;
    }

    /** Returns whether bytes of the answer have arrived. */
    boolean hasAnswerStarted() {
        return answerStarted;
    }

    /** Notes that bytes of the answer have arrived. */
    void noteAnswerBytes() {
        if (!answerStarted) {
            answerStarted = true;
            answerStartedNs = System.nanoTime();
        }
    }

    /** Adds to the size of the answer's body. */
    void addBodyBytes(int bytes) {
        answerBytes += bytes;
    }

    /** Returns the size of the answer's body so far. */
    long bodyBytes() {
        return answerBytes;
    }

    /** Returns how long ago the call began. */
    long ageMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    /** Returns how long ago the first bytes of the answer arrived. */
    long answerAgeMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answerStartedNs);
    }

    /** Replaces the timer that gives up waiting for more of the answer. */
    void setTimeout(Future<?> newTimeout) {
        cancelTimeout();
        timeout = newTimeout;
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
