package larkworks.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All requests that were taken and have not ended, by id. This is the one place where a request ends, so that
 * what any owner forgot shows here: as a request without an answer past its deadline ({@link #overdue}), or
 * as one that is left when the process ends ({@link #logAll}). For the proxy's loop only.
 */
final class PendingRequests {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");

    private final Map<String, PendingRequest> byId = new HashMap<>();
    private final Clock clock;

    PendingRequests(Clock clock) {
        this.clock = clock;
    }

    void add(PendingRequest request) {
        byId.put(request.id, request);
    }

    /** The request with this id; null where there is none, or it has ended. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    Collection<PendingRequest> all() {
        return byId.values();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Ends the request if nothing of it is left; returns whether it ended with this call. */
    boolean endIfDone(PendingRequest request) {
        if (!request.ended() || byId.remove(request.id) == null) {
            return false;
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", request.inbound.callId())
                    .addKeyValue("state", request.state(clock.nowUs())).log("request ended");
        }
        return true;
    }

    /** Requests whose clients wait for an answer past their deadline: there must never be any. */
    List<PendingRequest> overdue() {
        long now = clock.nowUs();
        return byId.values().stream().filter(request -> request.overdue(now)).toList();
    }

    /** Writes each one that is left to the log, at level debug. */
    void logAll(String why) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        long now = clock.nowUs();
        byId.values().forEach(request -> LOG.atDebug().addKeyValue("request", request.inbound.callId())
                .addKeyValue("why", why).addKeyValue("state", request.state(now)).log("request pending"));
    }
}
