package larkworks.proxy;

import java.util.List;
import larkworks.Balancer.RequestClass;

/**
 * Decides whether an attempt may still be sent, just before its first byte is written. The decision module
 * chose it before the connection was established; in the meantime the request may have ended, its client may
 * have left, the beginning of its body may have been released, or the deduplication window of its idempotency
 * key may have passed.
 */
final class SendGuard {

    /**
     * Whether an attempt may be sent, or the reason why not, as written to the log. SERVER_BARRED: the server
     * is in maintenance, or its drain's grace period is over or about to be. BODY_RELEASED: the body can't be
     * sent from its beginning any more.
     */
    enum Decision {
        SEND, ATTEMPT_ENDED, ANSWERED, BODY_RELEASED, SERVER_BARRED, NO_TIME_LEFT, CLIENT_LEFT, MAY_HAVE_RUN
    }

    private SendGuard() { }

    /**
     * Decides whether an attempt may be sent.
     *
     * @param excluded whether no attempt may start at its server any more
     * @param leftMs the time budget that would be sent to the server, in milliseconds
     */
    static Decision decide(UpstreamAttempt attempt, RequestClass requestClass, boolean excluded, long leftMs,
            long nowUs) {
        Decision ended = decideIfEnded(attempt);
        if (ended != Decision.SEND) {
            return ended;
        }
        // Reads from the client, which may end the request.
        boolean connected = attempt.request.client.isConnected();
        ended = decideIfEnded(attempt);
        if (ended != Decision.SEND) {
            return ended;
        }
        Upload upload = attempt.request.inbound.upload();
        if (upload != null && !upload.isRepeatable()) {
            return Decision.BODY_RELEASED;
        }
        if (excluded) {
            return Decision.SERVER_BARRED;
        }
        if (leftMs <= 0) {
            return Decision.NO_TIME_LEFT;
        }
        if (!isSafeToRepeat(attempt, requestClass, nowUs)) {
            return Decision.MAY_HAVE_RUN;
        }
        return connected ? Decision.SEND : Decision.CLIENT_LEFT;
    }

    private static Decision decideIfEnded(UpstreamAttempt attempt) {
        if (attempt.ended) {
            return Decision.ATTEMPT_ENDED;
        }
        return attempt.request.isAnswered() ? Decision.ANSWERED : Decision.SEND;
    }

    /** Returns whether the request may be sent again, given the outcomes of its earlier attempts. */
    static boolean isSafeToRepeat(UpstreamAttempt attempt, RequestClass requestClass, long nowUs) {
        List<UpstreamAttempt> earlier = attempt.request.attempts.subList(0, attempt.number);
        return switch (requestClass.effect()) {
            case SAFE -> true;
            case UNSAFE -> earlier.stream().noneMatch(UpstreamAttempt::mayHaveRun);
            case KEYED -> earlier.stream().filter(UpstreamAttempt::mayHaveRun)
                    .allMatch(first -> nowUs - first.sentAtUs < requestClass.dedupWindowUs());
        };
    }
}
