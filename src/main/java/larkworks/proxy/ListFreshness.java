package larkworks.proxy;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks how far the list of backends may be trusted. Requests are served from the list in every state: an
 * old list is the best available, and backends that have gone since show as failed connections. For use on
 * the proxy's loop only, except {@link #state}.
 */
final class ListFreshness {

    /** How far the list in force may be trusted. */
    enum State {
        /** The last call to discovery was answered, or the first one has not failed yet. */
        FRESH,
        /** A call to discovery has failed since the last answer. */
        BEHIND,
        /** Calls have failed for {@link #DELIVERED_AFTER_US}: this proxy may lack changes it should know. */
        STALE
    }

    private static final Logger LOG = LoggerFactory.getLogger("discovery");
    /**
     * The platform regards a change as delivered to the proxy this long after discovery received it, even
     * if no call has fetched it.
     */
    private static final long DELIVERED_AFTER_US = 6_000_000;

    private volatile State state = State.FRESH;
    private long behindSinceUs;
    private int failures;

    /** Returns the current state. */
    State state() {
        return state;
    }

    /** Records a failed call to discovery. */
    void callFailed(long nowUs, String reason) {
        failures++;
        if (state == State.FRESH) {
            behindSinceUs = nowUs;
            changeState(State.BEHIND, nowUs, reason);
        } else if (state == State.BEHIND && nowUs - behindSinceUs >= DELIVERED_AFTER_US) {
            changeState(State.STALE, nowUs, reason);
        }
    }

    /** Records an answered call to discovery. */
    void callAnswered(long nowUs) {
        if (state != State.FRESH) {
            changeState(State.FRESH, nowUs, "answered");
        }
        failures = 0;
    }

    private void changeState(State newState, long nowUs, String reason) {
        boolean isWarning = newState == State.STALE || state == State.STALE;
        state = newState;
        (isWarning ? LOG.atWarn() : LOG.atDebug())
                .addKeyValue("state", newState.name().toLowerCase(Locale.ROOT)).addKeyValue("why", reason)
                .addKeyValue("failures", failures)
                .addKeyValue("behind_ms", (nowUs - behindSinceUs) / 1000).log("list of backends");
    }
}
