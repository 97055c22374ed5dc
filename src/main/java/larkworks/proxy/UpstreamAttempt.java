package larkworks.proxy;

import java.util.concurrent.Future;
import larkworks.Balancer.Outcome;

/**
 * One sending of a request to a backend, which hears what comes of it. For the proxy's loop only; times are
 * in microseconds by the driver's clock.
 */
final class UpstreamAttempt implements BackendPool.Receiver {

    /** Who decides on what comes of an attempt. */
    interface Listener {

        /** A large answer begins; see {@link BackendPool.Receiver#began}. */
        BackendPool.Sink answerBegan(UpstreamAttempt attempt, BackendPool.Exchange from, String type,
                long length);

        /** For so long an answer of unknown length is held; see {@link BackendPool.Receiver#holdUs}. */
        long holdUs(UpstreamAttempt attempt);

        void ended(UpstreamAttempt attempt, AttemptResult answer);
    }

    final PendingRequest request;
    /** Counts the attempts of its request, from 0. */
    final int number;
    final String server;
    final long sentAtUs;
    private final Listener listener;
    /** When it is given up; the greatest value while its request's upload lasts. */
    long untilUs;
    /** Null until it has begun, and where it could not begin. */
    BackendPool.Exchange exchange;
    Future<?> timeout;
    boolean ended;
    /** How it ended; null while it is out. */
    private Outcome outcome;

    UpstreamAttempt(PendingRequest request, int number, String server, long sentAtUs, Listener listener) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAtUs = sentAtUs;
        this.listener = listener;
    }

    /** Whether a byte of the request may have left for the backend. */
    boolean begun() {
        return exchange != null && exchange.begun();
    }

    /** Notes how it ended. */
    void end(Outcome how) {
        ended = true;
        outcome = how;
    }

    /** Whether its server may have run the request, or may yet. */
    boolean mayHaveRun() {
        return begun() && (outcome == null || !outcome.provesNotRun);
    }

    /** Closes what it holds; its end must still be told by who calls this. */
    void abandon() {
        if (exchange != null) {
            exchange.abandon();
        }
    }

    /** How far it has come, in a word for the log. */
    String state() {
        return ended ? String.valueOf(outcome) : begun() ? "sent" : "connecting";
    }

    @Override
    public BackendPool.Sink began(BackendPool.Exchange from, String type, long length) {
        return listener.answerBegan(this, from, type, length);
    }

    @Override
    public long holdUs() {
        return listener.holdUs(this);
    }

    @Override
    public void ended(AttemptResult answer) {
        listener.ended(this, answer);
    }
}
