package larkworks.proxy;

import java.util.List;
import larkworks.Balancer.RequestClass;

/**
 * The one place that says whether an attempt may begin, at the moment when its first byte may go out. The
 * module decided on it earlier: since then a connection had to come up, in which time the request may have
 * ended, its client may have left, its key's window may have passed.
 */
final class SendGuard {

    /** Whether an attempt may begin, or why not. */
    enum Verdict { GO, ATTEMPT_ENDED, ANSWERED, SERVER_BARRED, NO_TIME_LEFT, CLIENT_LEFT, MAY_HAVE_RUN }

    private SendGuard() { }

    /**
     * Judges an attempt.
     *
     * @param barred whether nothing may begin at its server any more
     * @param leftMs what it would tell its server
     */
    static Verdict judge(UpstreamAttempt attempt, RequestClass kind, boolean barred, long leftMs,
            long nowUs) {
        if (attempt.ended) {
            return Verdict.ATTEMPT_ENDED;
        }
        if (attempt.request.isAnswered()) {
            return Verdict.ANSWERED;
        }
        if (barred) {
            return Verdict.SERVER_BARRED;
        }
        if (leftMs <= 0) {
            return Verdict.NO_TIME_LEFT;
        }
        if (!repeatsSafely(attempt, kind, nowUs)) {
            return Verdict.MAY_HAVE_RUN;
        }
        return attempt.request.client.connected() ? Verdict.GO : Verdict.CLIENT_LEFT;
    }

    /** Whether the request may be sent once more, after what became of its earlier attempts. */
    static boolean repeatsSafely(UpstreamAttempt attempt, RequestClass kind, long nowUs) {
        List<UpstreamAttempt> earlier = attempt.request.attempts.subList(0, attempt.number);
        return switch (kind.effect()) {
            case SAFE -> true;
            case UNSAFE -> earlier.stream().noneMatch(UpstreamAttempt::mayHaveRun);
            case KEYED -> earlier.stream().filter(UpstreamAttempt::mayHaveRun)
                    .allMatch(first -> nowUs - first.sentAtUs < kind.dedupWindowUs());
        };
    }
}
