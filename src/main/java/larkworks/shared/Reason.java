package larkworks.shared;

import larkworks.Balancer.Verdict;

/** Why a server is held back, as the wire counts the reasons; the order must not change. */
enum Reason {
    DEMOTED(Verdict.DEMOTED), RESTS(Verdict.RESTS);

    private static final Reason[] ALL = values();

    private final Verdict verdict;

    Reason(Verdict verdict) {
        this.verdict = verdict;
    }

    Verdict verdict() {
        return verdict;
    }

    static Reason of(Verdict verdict) {
        return verdict == Verdict.DEMOTED ? DEMOTED : RESTS;
    }

    /** The reason of a wire code; null for a code that names none. */
    static Reason ofCode(int code) {
        return code >= 0 && code < ALL.length ? ALL[code] : null;
    }
}
