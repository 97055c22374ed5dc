package larkworks.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All requests that the driver has accepted and that have not ended, by id. A request is removed only by
 * {@link #removeIfEnded}, so a leaked request remains here: {@link #pastDeadline} returns it while it has no
 * answer, and {@link #logAll} logs it when the process ends. To be used on the proxy's event loop only.
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

    /** Returns the request with this id; null if there is none or it has ended. */
    PendingRequest get(String id) {
        return byId.get(id);
    }

    Collection<PendingRequest> all() {
        return byId.values();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Removes the request if it has ended; returns whether this call removed it. */
    boolean removeIfEnded(PendingRequest request) {
        if (!request.hasEnded() || byId.remove(request.id) == null) {
            return false;
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", request.inbound.callId())
                    .addKeyValue("state", request.describe(clock.nowUs())).log("request ended");
        }
        return true;
    }

    /** Returns the requests whose clients still wait past their deadlines, of which there must be none. */
    List<PendingRequest> pastDeadline() {
        long now = clock.nowUs();
        return byId.values().stream().filter(request -> request.isPastDeadline(now)).toList();
    }

    /** Logs each pending request at debug level, with the reason for logging them. */
    void logAll(String reason) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        long now = clock.nowUs();
        byId.values().forEach(request -> LOG.atDebug().addKeyValue("request", request.inbound.callId())
                .addKeyValue("why", reason).addKeyValue("state", request.describe(now))
                .log("request pending"));
    }
}
