package larkworks.proxy;

import java.util.concurrent.Future;
import larkworks.Balancer.Outcome;

/**
 * An attempt to have a request served by a backend; it passes the result to its listener. To be used on the
 * proxy's event loop only. Times are in microseconds by the driver's clock.
 */
final class UpstreamAttempt implements BackendPool.Receiver {

    /** Handles the results of attempts. */
    interface Listener {

        /** Called when a large answer starts; see {@link BackendPool.Receiver#streamStarted}. */
        BackendPool.AnswerSink streamStarted(UpstreamAttempt attempt, BackendPool.Exchange exchange,
                String contentType, long length);

        /**
         * Returns for how long an answer of unknown length is buffered; see
         * {@link BackendPool.Receiver#maxBufferingUs}.
         */
        long maxBufferingUs(UpstreamAttempt attempt);

        /** Called when the attempt's exchange has ended. */
        void attemptEnded(UpstreamAttempt attempt, AttemptResult result);
    }

    final PendingRequest request;
    /** The position of this attempt among those of its request, from 0. */
    final int number;
    final String server;
    final long sentAtUs;
    private final Listener listener;
    /** When the attempt times out; {@link Long#MAX_VALUE} until the request's upload is complete. */
    long timeoutAtUs;
    /** The exchange with the backend; null until it is started and if it could not be started. */
    BackendPool.Exchange exchange;
    Future<?> timeout;
    boolean ended;
    /** The outcome of the attempt; null until it has ended. */
    private Outcome outcome;

    UpstreamAttempt(PendingRequest request, int number, String server, long sentAtUs, Listener listener) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.listener = listener;
    }

    /** Returns whether a byte of the request may have been sent to the backend. */
    boolean hasStarted() {
        return exchange != null && exchange.hasStarted();
    }

    /** Records the end of the attempt and its outcome. */
    void markEnded(Outcome result) {
        ended = true;
        outcome = result;
    }

    /** Returns whether the backend may have run the request or may still run it. */
    boolean mayHaveRun() {
        return hasStarted() && (outcome == null || !outcome.provesNotRun);
    }

    /** Cancels the exchange with the backend. The caller must still report the attempt's end. */
    void cancelExchange() {
        if (exchange != null) {
            exchange.cancel();
        }
    }

    /** Returns the attempt's progress or outcome as one word, for the log. */
    String state() {
        return ended ? String.valueOf(outcome) : hasStarted() ? "sent" : "connecting";
    }

    @Override
    public BackendPool.AnswerSink streamStarted(BackendPool.Exchange exchange, String contentType,
            long length) {
        return listener.streamStarted(this, exchange, contentType, length);
    }

    @Override
    public long maxBufferingUs() {
        return listener.maxBufferingUs(this);
    }

    @Override
    public void exchangeEnded(AttemptResult result) {
        listener.attemptEnded(this, result);
    }
}
