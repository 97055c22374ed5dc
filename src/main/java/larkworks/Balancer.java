package larkworks;

import java.util.Collection;
import java.util.List;

/**
 * The interface of the decision module. The methods here are the events that its caller reports;
 * {@link Actions} are the operations that the module asks its caller for.
 *
 * <p>One instance serves one proxy, for the calls to one tier. It keeps no clock: each method takes the
 * current time in microseconds, from a monotonic clock with any origin. All durations are in microseconds.
 * An instance is not safe for concurrent use; instances share no state.
 *
 * <p>The first event is {@link #serversChanged} with {@link ListKind#REMEMBERED}. Actions are called only
 * from within one of the methods here, and take effect at the time given to that method. Events for a
 * request or a server that is not known any more are ignored, and so are further outcomes of an attempt
 * after the first.
 */
public interface Balancer {

    /** Whether a request may run more than once. */
    enum Effect {
        /** Safe to repeat. */
        SAFE,
        /** Carries an idempotency key, by which a group of servers drops repeats for a limited time. */
        KEYED,
        /** Must never run twice. */
        UNSAFE
    }

    /** The servers that share their record of idempotency keys, and so drop each other's repeats. */
    enum DedupGroup {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell, which is a few servers of one zone. */
        CELL
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        /** The server served the request. */
        OK(false),
        /** The server answered with an error; the request may have run. */
        ERROR(false),
        /** The server rejected the request without running it: its queue is full, or it is draining. */
        FULL(true),
        /** No answer arrived before the timeout; the request may have run or may still be running. */
        TIMEOUT(false),
        /** No connection was made: the server is down, unreachable, or at its limit of connections. */
        CONNECT_FAILED(true),
        /** The connection broke while the attempt was in flight; the request may have run. */
        RESET(false),
        /** This proxy cancelled the attempt; the request may have run. */
        CANCELLED(false),
        /** The attempt was never sent: the request had ended, or had no time or no attempts left. */
        NOT_SENT(true);

        /** True where the outcome proves that the request never ran. */
        public final boolean provesNotRun;

        Outcome(boolean provesNotRun) {
            this.provesNotRun = provesNotRun;
        }
    }

    /** A copy's verdict on a failing server, which copies share with each other. */
    enum Verdict {
        /** A connection to the server failed or broke: it is chosen only if all other servers are busy. */
        DEMOTED,
        /** The server is ejected: it gets no calls for a while. */
        RESTS
    }

    /** The status of a server in discovery. */
    enum ServerStatus {
        /** The server runs and takes requests. */
        UP,
        /** The server finishes the requests that it has and takes no new ones. */
        DRAINING,
        /** The server was removed. */
        GONE
    }

    /**
     * The kind of a list of servers: changes to the current list, the full list, or the list that was stored
     * before this process restarted.
     */
    enum ListKind { CHANGES, WHOLE, REMEMBERED }

    /**
     * A class of requests. No component has a default.
     *
     * @param name for display; it has no effect on decisions
     * @param aimUs the latency that the class aims at; an answer after that time is worth only
     *     {@code lateWorth} of the full worth; must be above 0
     * @param deadlineUs how long a client waits for an answer over all its tries; at least {@code aimUs}
     * @param worth the worth of one answered request, per request or per unit of work; not negative
     * @param lateWorth the part of the worth that an answer after the aim has, 0 to 1
     * @param effect whether a request may run more than once
     * @param group the servers that drop repeats of a keyed request; unused for other effects
     * @param dedupWindowUs how long repeats of a keyed request are dropped, from its first send
     */
    record RequestClass(String name, long aimUs, long deadlineUs, double worth, double lateWorth,
            Effect effect, DedupGroup group, long dedupWindowUs) { }

    /**
     * A tenant.
     *
     * @param name for display; it has no effect on decisions
     * @param quotaPerSecond its quota, in requests per second over all proxies; 0 for unlimited
     */
    record Tenant(String name, double quotaPerSecond) { }

    /**
     * The operations that the deployment allows.
     *
     * @param maxAttempts maximum number of attempts for one request, at least 1
     * @param canCancel whether attempts may be cancelled
     * @param canProbe whether servers may be asked for their load
     * @param canHedge whether two attempts of a request may be in flight together
     * @param maxRetryAfterUs the longest retry-after delay that clients respect; 0 where they ignore it
     */
    record Limits(int maxAttempts, boolean canCancel, boolean canProbe, boolean canHedge,
            long maxRetryAfterUs) { }

    /**
     * The limits for draining servers, for queries to discovery and for cold servers (slow start).
     *
     * @param drainGraceUs how long attempts may still be sent to a server after discovery reported that it
     *     drains or is gone
     * @param maxDiscoveryIntervalUs longest time without a query to discovery where queries are required;
     *     0 where they are not
     * @param coldFrom the share of its full capacity that a server has when it starts, above 0, at most 1
     * @param coldUs the maximum time until a started server has its full capacity
     * @param tipMultiple the multiple of the load it can serve above which a cold server fails
     */
    record Rules(long drainGraceUs, long maxDiscoveryIntervalUs, double coldFrom, long coldUs,
            double tipMultiple) { }

    /**
     * The settings of one instance.
     *
     * @param classes the classes of requests, at least one; requests name them by position
     * @param tenants the tenants, by position; empty where there are none
     * @param limits the operations that the deployment allows
     * @param rules the limits for draining servers, for queries to discovery and for cold servers
     * @param probePrice the cost of one probe per request, as a part of the worth of all requests;
     *     not negative
     * @param crossZonePrice the cost of one attempt per request to another zone, as a part of the worth of
     *     all requests; not negative
     * @param zone the zone this instance is in
     * @param copy the number of this instance among {@code copies}, from 0
     * @param copies the number of instances that send to the same tier, including this one; at least 1
     * @param tier the tier this instance sends to, from 0
     * @param tiers the number of tiers
     * @param watchesDiscovery true where discovery reports changes only on request
     * @param overQuotaWorth the part of the worth of a request that remains beyond its tenant's quota, 0 to 1
     * @param tickUs the minimum time between two events of this instance
     */
    record Settings(List<RequestClass> classes, List<Tenant> tenants, Limits limits, Rules rules,
            double probePrice, double crossZonePrice, int zone, int copy, int copies, int tier, int tiers,
            boolean watchesDiscovery, double overQuotaWorth, long tickUs) { }

    /**
     * One entry of a list of servers.
     *
     * @param id the server's name: an opaque string, which stays the same when its process restarts
     * @param startedAtUs when its process last started; 0 if that was long ago
     * @param zone the zone it is in
     * @param status whether it may be sent new requests
     * @param group the cell whose servers share their record of idempotency keys with it
     * @param weight its capacity relative to the other servers, above 0; 1 for all where unknown
     */
    record Server(String id, long startedAtUs, int zone, int group, double weight, ServerStatus status) { }

    /**
     * A request that the proxy accepted from a client.
     *
     * @param id a unique id; each further try of the same client has an id of its own
     * @param requestClass its class, by position in the settings
     * @param tenant its tenant, by position in the settings; 0 where there are none
     * @param timeLeftUs the time until the client gives up this try
     * @param workUs the expected work on a standard core; 0 where unknown
     * @param isClientRetry true where the client marked the request as a further try
     * @param isUploading true while its body is still being received; its time begins with
     *     {@link Balancer#uploadCompleted}
     */
    record Request(String id, int requestClass, int tenant, long timeLeftUs, long workUs,
            boolean isClientRetry, boolean isUploading) {

        /** Creates a request whose body has been received in full. */
        public Request(String id, int requestClass, int tenant, long timeLeftUs, long workUs,
                boolean isClientRetry) {
            this(id, requestClass, tenant, timeLeftUs, workUs, isClientRetry, false);
        }
    }

    /**
     * A server's report of its own load; a figure that it does not report is -1.
     *
     * @param inFlight the requests in flight at the server
     * @param queue the requests among them that wait in its queue
     * @param utilisation the part of its capacity in use, 0 to 1
     */
    record LoadReport(double inFlight, double queue, double utilisation) { }

    /** The operations that the module asks its caller for. Ids are those that the caller passed in. */
    interface Actions {
        /** Sends an attempt. The attempts of a request are numbered from 0 in the order of these calls. */
        void send(String request, String server, long timeoutUs);

        /** Ends a request as refused: the client may safely try again, after {@code retryAfterUs}. */
        void refuse(String request, long retryAfterUs);

        /** Ends a request as failed: it may have run, or a further try would be of no use. */
        void fail(String request);

        /** Cancels an attempt that is in flight. */
        void cancel(String request, int attempt);

        /** Asks a server for its load. */
        void probe(String server);

        /** Asks for a {@link Balancer#timer} call at or after the given time. */
        void wakeAt(long atUs);

        /** Asks discovery to report changes from now on. */
        void watchServers();

        /** Reports this copy's verdict on a server until {@code untilUs}; a time in the past withdraws it. */
        default void reportVerdict(String server, Verdict verdict, long untilUs) { }

        /** Reports that a call to a server with a budget was sent, or skipped as the budget was used up. */
        default void reportServerBudgetUse(String server, boolean granted) { }

        /** Reports that a request of a class with a budget was accepted, or refused for lack of budget. */
        default void reportClassBudgetUse(int requestClass, boolean granted) { }

        /** Writes a line to the operator's log. */
        void log(String text);
    }

    /** Reports the list of servers, or changes to it. This is the first event after construction. */
    void serversChanged(long nowUs, ListKind kind, List<Server> servers);

    /**
     * Reports that the operator put a server into maintenance, or ended its maintenance. A server in
     * maintenance gets no calls whatever its status in the list, even if it is listed only later. A
     * repeated command has no effect.
     */
    void maintenanceChanged(long nowUs, String server, boolean inMaintenance);

    /** Reports another copy's verdict on a server until {@code untilUs}; a time in the past withdraws it. */
    void peerVerdict(long nowUs, String server, Verdict verdict, long untilUs);

    /**
     * Sets the number of calls that this copy may send to a server until {@code untilUs}. After that the
     * copy may send none until the next such event. An {@code untilUs} of 0 removes the budget. The event
     * may come before the server is listed.
     */
    void serverBudgetChanged(long nowUs, String server, long tokens, long untilUs);

    /**
     * Sets the number of requests of a class that this copy may accept until {@code untilUs}. After that the
     * copy may accept none until the next such event.
     */
    void classBudgetChanged(long nowUs, int requestClass, long tokens, long untilUs);

    /**
     * Sets the servers that requests of a class prefer. A preferred server is chosen while this copy has no
     * call in flight there.
     */
    void affinityChanged(long nowUs, int requestClass, Collection<String> servers);

    /** Reports that a query to discovery failed or its watch broke; the current list stays in force. */
    void discoveryFailed(long nowUs);

    /** Reports a new request, which must get exactly one final answer. */
    void request(long nowUs, Request request);

    /**
     * Reports that the last byte of a request's body was received. The request's time begins now, and so does
     * the work of a server to which it was already sent.
     */
    void uploadCompleted(long nowUs, String request);

    /** Reports that the start of a request's body was discarded, so that no further attempt can be sent. */
    void bodyDiscarded(long nowUs, String request);

    /**
     * Reports that an attempt ended.
     *
     * @param elapsedUs the time since the attempt was sent in full
     * @param requestEnded true where the request ended with this outcome or before it
     * @param report the load report that came with the answer, or null
     */
    void outcome(long nowUs, String request, int attempt, String server, Outcome outcome, long elapsedUs,
            boolean requestEnded, LoadReport report);

    /**
     * Reports that a streamed answer began. From now on the answer is passed to the client, and no timeout
     * applies to the attempt. Its outcome is reported once the answer has ended or broken off.
     */
    void streamStarted(long nowUs, String request, int attempt, String server, long elapsedUs);

    /** Reports that the client closed its connection, which ends the request. */
    void clientGone(long nowUs, String request);

    /** Reports that a probe ended; {@code report} is null where the server sent no load report. */
    void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report);

    /** Reports that a time requested with {@link Actions#wakeAt} has come. */
    void timer(long nowUs);
}
