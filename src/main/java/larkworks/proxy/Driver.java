package larkworks.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import larkworks.Balancer;
import larkworks.Balancer.Actions;
import larkworks.Balancer.Effect;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.Balancer.Settings;
import larkworks.Balancer.Verdict;
import larkworks.Logic;
import larkworks.platform.Addresses;
import larkworks.proxy.Invariants.Rule;
import larkworks.shared.SharedState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the proxy's sockets to the decision module: passes network events to the module and carries out
 * the actions that the module calls. It takes no routing decision itself; it only applies limits that the
 * protocol dictates. The module must not be called from within its own actions, so events that occur during
 * such a call wait in an {@link EventQueue} until it has ended.
 */
final class Driver {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    private static final Logger SHARED = LoggerFactory.getLogger("shared");
    private static final Logger DECISIONS = LoggerFactory.getLogger("decisions");
    /** A request that still has no answer this long before its deadline is answered as failed. */
    private static final long DEADLINE_MARGIN_US = 20_000;
    /** An answer later than this after its deadline violates {@link Rule#ANSWERED_IN_TIME}. */
    private static final long ANSWER_SLACK_US = 500_000;
    /** The process may be paused for up to this long between reading its clock and writing to a socket. */
    private static final long MAX_PROCESS_PAUSE_US = 150_000;
    /**
     * No attempt starts in this last part of a drain's grace period. The period counts from the notice of the
     * drain, which the proxy may read some time after it was sent.
     */
    private static final long DRAIN_GRACE_MARGIN_US = 100_000;

    /**
     * An answer of unknown length is buffered for its class's aim divided by this number, in case it is small
     * enough to be sent as a whole.
     */
    private static final int BUFFERING_AIM_DIVISOR = 10;

    /** A backend as listed most recently by discovery. */
    private static final class Backend {
        InetSocketAddress address;
        ServerStatus status;
        /** The entry from the most recent list that contained the backend. */
        Listing.Entry lastEntry;
        /** The server as passed to the modules, kept for later modules; null unless it is listed as up. */
        Server upServer;
        /**
         * The start of the drain's grace period: the earliest time at which the platform may assume that this
         * proxy knows that the backend is draining or gone.
         */
        long downSinceUs;
    }

    /** The settings that apply to new requests. */
    private Settings settings;
    private final Clock clock;
    private final EventLoop loop;
    private final BackendPool pool;
    /** The ejected servers, each with the time at which its ejection ends. */
    private final Map<String, Long> ejectedUntilUs = new HashMap<>();
    /** The module that takes new requests. */
    private DecisionModule newestModule;
    /** The newest module and the earlier ones that still have pending requests, oldest first. */
    private final List<DecisionModule> modules = new ArrayList<>();
    private long seed;
    /** The number of requests answered under the newest settings. */
    private long requestsAnswered;
    /** The number of those requests that were refused or failed. */
    private long requestsFailed;
    private final Map<String, Backend> backends = new HashMap<>();
    /** All backends that were ever listed or in maintenance. */
    private final Set<String> knownBackends = new HashSet<>();
    /** Backends in maintenance: nothing is sent to them, whatever their status in the list. */
    private final Set<String> inMaintenance = new HashSet<>();
    private final PendingRequests requests;
    private final HealthProbes probes;
    /** The requests that a backend may have begun to run and that must not run twice. */
    private StartedRequests startedRequests = StartedRequests.inMemory();
    private final StartTimes startTimes;
    private final Invariants invariants = new Invariants();
    private long lastRequestId;
    /** From this time on the deadlines of new requests are limited to {@link #deadlineLimitUs}. */
    private long deadlineLimitFromUs = Long.MAX_VALUE;
    /** The limit for the deadlines of requests received at {@link #deadlineLimitFromUs} or later. */
    private long deadlineLimitUs = Long.MAX_VALUE;
    /** The latest deadline of all requests received so far. */
    private long latestDeadlineUs;
    /** The events for the modules. */
    private final EventQueue events = new EventQueue();
    /** Action to run when the newest module asks discovery to report changes of the list. */
    private Runnable watchAction = () -> { };
    /** Null if metrics are disabled. */
    private final Meters meters;
    /** Null if no state is shared with other proxies. */
    private SharedState shared;

    Driver(Config config, Clock clock, EventLoop loop, BackendPool pool) {
        this(config, clock, loop, pool, null);
    }

    Driver(Config config, Clock clock, EventLoop loop, BackendPool pool, Meters meters) {
        this.meters = meters;
        this.settings = config.settings();
        this.startTimes = new StartTimes(settings.rules().coldUs());
        this.clock = clock;
        this.requests = new PendingRequests(clock);
        this.loop = loop;
        this.pool = pool;
        this.probes = new HealthProbes(clock, loop, pool, config.hasLoadReports());
        this.seed = config.seed();
        this.newestModule = new DecisionModule();
        modules.add(newestModule);
    }

    /** A decision module together with the actions that it may call. */
    final class DecisionModule implements Actions {
        final Balancer balancer = new Logic(settings, seed, this);
        int pendingRequests;

        @Override
        public void send(String request, String server, long timeoutUs) {
            Driver.this.send(request, server, timeoutUs);
        }

        @Override
        public void refuse(String request, long retryAfterUs) {
            Driver.this.refuse(request, retryAfterUs);
        }

        @Override
        public void fail(String request) {
            Driver.this.fail(request);
        }

        @Override
        public void cancel(String request, int attempt) {
            Driver.this.cancel(request, attempt);
        }

        @Override
        public void probe(String server) {
            Driver.this.probe(server, this);
        }

        @Override
        public void wakeAt(long atUs) {
            // The timer runs at least one tick later, so that times in the past do not make the loop spin.
            long delayUs = Math.max(settings.tickUs(), atUs - clock.nowUs());
            loop.schedule(() -> events.run(() -> balancer.timer(Math.max(atUs, clock.nowUs()))), delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void watchServers() {
            if (this == newestModule) {
                loop.execute(watchAction);
            }
        }

        @Override
        public void reportVerdict(String server, Verdict verdict, long untilUs) {
            if (verdict == Verdict.RESTS) {
                ejectedUntilUs.put(server, untilUs);
            }
            if (shared != null) {
                SHARED.atDebug().addKeyValue("server", server).addKeyValue("verdict", verdict)
                        .addKeyValue("until_ms", untilUs / 1000).log("own verdict");
                shared.held(server, verdict, untilUs <= clock.nowUs() ? 0 : untilUs / 1000);
            }
        }

        @Override
        public void reportServerBudgetUse(String server, boolean granted) {
            if (granted) {
                shared.serverSpent(server);
            } else {
                shared.serverWanting(server);
            }
        }

        @Override
        public void reportClassBudgetUse(int requestClass, boolean granted) {
            String name = settings.classes().get(requestClass).name();
            if (granted) {
                shared.classSpent(name);
            } else {
                shared.classWanting(name);
            }
        }

        @Override
        public void log(String text) {
            DECISIONS.info(text);
        }
    }

    /** Passes an event to the newest module and to all earlier ones that still have pending requests. */
    private void forEachModule(Consumer<Balancer> event) {
        for (DecisionModule module : List.copyOf(modules)) {
            event.accept(module.balancer);
        }
    }

    /**
     * Creates a module with these settings for all new requests; pending requests stay with their modules.
     * The settings must have the same classes and tenants, in the same order, as the current ones.
     */
    void applySettings(Settings newSettings) {
        events.run(() -> {
            settings = newSettings;
            requestsAnswered = 0;
            requestsFailed = 0;
            seed++;
            newestModule = new DecisionModule();
            modules.removeIf(module -> module.pendingRequests == 0);
            modules.add(newestModule);
            List<Server> servers = backends.values().stream().filter(backend -> backend.upServer != null)
                    .map(backend -> backend.upServer).toList();
            newestModule.balancer.serversChanged(clock.nowUs(), ListKind.REMEMBERED, servers);
            inMaintenance.forEach(
                    server -> newestModule.balancer.maintenanceChanged(clock.nowUs(), server, true));
            if (shared != null) {
                loop.execute(shared::renew);
            }
        });
    }

    /** Returns the servers that are ejected at present. */
    List<String> ejectedServers() {
        long nowUs = clock.nowUs();
        ejectedUntilUs.values().removeIf(endUs -> endUs <= nowUs);
        return List.copyOf(ejectedUntilUs.keySet());
    }

    /** Returns the number of requests answered under the newest settings. */
    long requestsAnswered() {
        return requestsAnswered;
    }

    /**
     * Returns how many of the requests answered under the newest settings were refused or failed. Requests
     * whose clients had gone are not counted.
     */
    long requestsFailed() {
        return requestsFailed;
    }

    /** Sets the action to run when the module asks discovery to report changes of the list. */
    void onWatchRequested(Runnable action) {
        watchAction = action;
    }

    /**
     * Starts to share the module's verdicts and budget use with other proxies, and to pass theirs to the
     * module.
     */
    void shareState(SharedState state) {
        shared = state;
        loop.execute(state::start);
    }

    /** Passes the state received from other proxies to the decision module. */
    final class PeerStateListener implements SharedState.Module {
        @Override
        public void verdict(String server, Verdict verdict, long untilMs) {
            SHARED.atDebug().addKeyValue("server", server).addKeyValue("verdict", verdict)
                    .addKeyValue("until_ms", untilMs).log("a peer's verdict");
            events.run(() -> forEachModule(
                    balancer -> balancer.peerVerdict(clock.nowUs(), server, verdict, untilMs * 1000)));
        }

        @Override
        public void serverBudget(String server, long left, long untilMs) {
            // Only the newest module gets the tokens: two modules with the same ones would spend them twice.
            events.run(() -> newestModule.balancer.serverBudgetChanged(clock.nowUs(), server, left,
                    untilMs * 1000));
        }

        @Override
        public void classBudget(String name, long left, long untilMs) {
            events.run(() -> newestModule.balancer.classBudgetChanged(clock.nowUs(), classIndex(name), left,
                    untilMs * 1000));
        }

        @Override
        public void affinity(String name, Collection<String> servers) {
            events.run(() -> newestModule.balancer.affinityChanged(clock.nowUs(), classIndex(name), servers));
        }
    }

    /** Receives the results of attempts. */
    private final UpstreamAttempt.Listener attemptListener = new UpstreamAttempt.Listener() {
        @Override
        public BackendPool.AnswerSink streamStarted(UpstreamAttempt attempt, BackendPool.Exchange exchange,
                String contentType, long length) {
            return Driver.this.streamStarted(attempt, exchange, contentType, length);
        }

        @Override
        public long maxBufferingUs(UpstreamAttempt attempt) {
            return settings.classes().get(attempt.request.inbound.requestClass()).aimUs()
                    / BUFFERING_AIM_DIVISOR;
        }

        @Override
        public void attemptEnded(UpstreamAttempt attempt, AttemptResult result) {
            Driver.this.attemptEnded(attempt, result);
        }
    };

    /** Recognizes from now on also the requests that other processes of this proxy have sent. */
    void shareStartedRequests(StartedRequests shared) {
        startedRequests.copyTo(shared);
        startedRequests = shared;
    }

    private int classIndex(String name) {
        return settings.classes().stream().map(RequestClass::name).toList().indexOf(name);
    }

    Clock clock() {
        return clock;
    }

    /** Returns the invariants that are checked at run time. */
    Invariants invariants() {
        return invariants;
    }

    /** Returns whether every request received so far has ended. */
    boolean isIdle() {
        return requests.isEmpty();
    }

    /** Returns the requests past their deadlines whose clients still wait; there must never be any. */
    List<PendingRequest> requestsPastDeadline() {
        return requests.pastDeadline();
    }

    /** Logs all requests that have not ended, at level debug. */
    void logPending(String reason) {
        requests.logAll(reason);
    }

    /** Returns whether at least one backend is listed as up and not in maintenance. */
    boolean canServe() {
        return backends.entrySet().stream()
                .anyMatch(entry -> entry.getValue().status == ServerStatus.UP
                        && !inMaintenance.contains(entry.getKey()));
    }

    /** Returns whether the backend was ever listed or in maintenance. */
    boolean isKnown(String backend) {
        return knownBackends.contains(backend);
    }

    /** Returns the backends in maintenance. */
    Set<String> backendsInMaintenance() {
        return Set.copyOf(inMaintenance);
    }

    // ---- events

    /**
     * Applies a list of backends, or changes to it, received from discovery. Times are by the driver's clock.
     *
     * @param notifiedAtUs the earliest time at which the platform may assume that this proxy knows the
     *     changes; may lie before their arrival, for example if calls to discovery have failed
     * @param previousListCurrentUs when the previous list was last known to be current;
     *     {@link Long#MIN_VALUE} if it never was
     */
    void listChanged(ListKind kind, List<Listing.Entry> entries, long notifiedAtUs,
            long previousListCurrentUs) {
        if (shared != null) {
            // First, because the module needs the budget of a cold server before it sees the server.
            shared.listed(kind == ListKind.CHANGES, entries.stream().map(Listing.Entry::server).toList());
        }
        events.run(() -> {
            long nowUs = clock.nowUs();
            // A full list is reduced to its differences from the previous one, to save work in the modules.
            ListKind appliedKind = kind == ListKind.REMEMBERED ? kind : ListKind.CHANGES;
            List<Listing.Entry> differing = kind == ListKind.WHOLE ? differences(entries) : entries;
            List<Server> movedServers = new ArrayList<>();
            List<Server> servers = new ArrayList<>(startTimes.toLocalClock(nowUs, kind,
                    differing.stream().map(Listing.Entry::server).toList(), previousListCurrentUs,
                    movedServers));
            List<String> goneServers = new ArrayList<>();
            for (int i = 0; i < differing.size(); i++) {
                Server server = servers.get(i);
                knownBackends.add(server.id());
                Backend backend = backends.computeIfAbsent(server.id(), id -> new Backend());
                backend.lastEntry = differing.get(i);
                backend.address = backend.lastEntry.address() == null ? backend.address
                        : backend.lastEntry.address();
                backend.upServer = server.status() == ServerStatus.UP ? server : null;
                updateStatus(notifiedAtUs, backend, server.status());
                if (server.status() == ServerStatus.GONE) {
                    goneServers.add(server.id());
                }
            }
            for (Server movedServer : movedServers) {
                Backend backend = backends.get(movedServer.id());
                if (appliedKind == ListKind.CHANGES && backend != null && backend.upServer != null) {
                    backend.upServer = movedServer;
                    servers.add(movedServer);
                }
            }
            forEachModule(balancer -> balancer.serversChanged(nowUs, appliedKind, servers));
            goneServers.forEach(this::cancelUnsent);
            goneServers.forEach(backends::remove);
            ejectedUntilUs.keySet().retainAll(backends.keySet());
            if (shared != null) {
                loop.execute(shared::known);
            }
            if (meters != null) {
                meters.listReceived(kind == ListKind.WHOLE, backends.keySet());
            }
            updateUnpooledAddresses();
        });
    }

    /**
     * Returns the entries of a full list that differ from the known backends, and an entry with status GONE
     * for each known backend that the list does not contain.
     */
    private List<Listing.Entry> differences(List<Listing.Entry> fullList) {
        List<Listing.Entry> differing = new ArrayList<>();
        Set<String> listedIds = new HashSet<>();
        for (Listing.Entry entry : fullList) {
            listedIds.add(entry.server().id());
            Backend backend = backends.get(entry.server().id());
            if (backend == null || !entry.equals(backend.lastEntry)) {
                differing.add(entry);
            }
        }
        backends.forEach((id, backend) -> {
            if (!listedIds.contains(id)) {
                differing.add(backend.lastEntry.asGone());
            }
        });
        return differing;
    }

    /** Puts a backend into maintenance or ends its maintenance, at the operator's command. */
    void setMaintenance(String server, boolean enabled) {
        if (!(enabled ? inMaintenance.add(server) : inMaintenance.remove(server))) {
            return;
        }
        knownBackends.add(server);
        updateUnpooledAddresses();
        if (enabled) {
            cancelUnsent(server);
        }
        events.run(() -> forEachModule(
                balancer -> balancer.maintenanceChanged(clock.nowUs(), server, enabled)));
    }

    /** Cancels an attempt and reports its outcome to the module in a later task of the event loop. */
    private void cancelAndReport(UpstreamAttempt attempt, Outcome outcome) {
        attempt.cancelExchange();
        loop.execute(() -> attemptEnded(attempt, AttemptResult.of(outcome)));
    }

    /** Tells the pool to keep no connections to backends in maintenance. */
    private void updateUnpooledAddresses() {
        pool.setUnpooledAddresses(inMaintenance.stream().map(backends::get)
                .filter(backend -> backend != null && backend.address != null).map(backend -> backend.address)
                .collect(Collectors.toSet()));
    }

    /** Cancels the attempts and probes for a backend of which no byte has been sent yet. */
    private void cancelUnsent(String server) {
        List<UpstreamAttempt> unsent = requests.all().stream()
                .flatMap(pending -> pending.attempts.stream())
                .filter(attempt -> !attempt.ended && attempt.server.equals(server) && !attempt.hasStarted())
                .toList();
        unsent.forEach(attempt -> cancelAndReport(attempt, Outcome.NOT_SENT));
        probes.cancelUnsent(server);
    }

    private static void updateStatus(long notifiedAtUs, Backend backend, ServerStatus status) {
        if (status != ServerStatus.UP && (backend.status == null || backend.status == ServerStatus.UP)) {
            backend.downSinceUs = notifiedAtUs;
        }
        backend.status = status;
    }

    void discoveryFailed() {
        if (meters != null) {
            meters.discoveryFailed();
        }
        events.run(() -> newestModule.balancer.discoveryFailed(clock.nowUs()));
    }

    /** Accepts a request from a client and passes it to the newest module. */
    PendingRequest submit(InboundRequest inbound, RequestClient client) {
        long nowUs = clock.nowUs();
        long deadlineUs = deadlineUs(inbound.receivedAtUs(), inbound);
        PendingRequest pending = new PendingRequest(Long.toString(++lastRequestId), inbound, client, nowUs,
                deadlineUs, newestModule);
        requests.add(pending);
        pending.module.pendingRequests++;
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", inbound.callId())
                    .addKeyValue("read_us_ago", nowUs - inbound.receivedAtUs())
                    .addKeyValue("left_ms", (deadlineUs - nowUs) / 1000).log("request taken");
        }
        if (inbound.upload() == null) {
            startFailureTimer(pending, nowUs);
        } else {
            inbound.upload().onNotRepeatable(() -> events.run(
                    () -> pending.module.balancer.bodyDiscarded(clock.nowUs(), pending.id)));
        }
        events.run(() -> {
            if (mayHaveRunBefore(pending)) {
                failRepeated(pending);
                removeIfEnded(pending);
                return;
            }
            try {
                pending.module.balancer.request(clock.nowUs(), new Request(pending.id, inbound.requestClass(),
                        inbound.tenant(), Math.max(0, deadlineUs - clock.nowUs()), inbound.workUs(),
                        inbound.clientRetry(), pending.isUploading()));
            } catch (RuntimeException e) {
                failAfterException(pending, e);
            }
        });
        return pending;
    }

    /**
     * Returns whether a backend may have run the request when its client sent it before, and running it again
     * is not safe.
     */
    private boolean mayHaveRunBefore(PendingRequest pending) {
        RequestClass requestClass = settings.classes().get(pending.inbound.requestClass());
        if (requestClass.effect() == Effect.SAFE || pending.isStarted) {
            return false;
        }
        long ageNs = startedRequests.ageNs(pending.inbound.callId(), System.nanoTime());
        return ageNs != StartedRequests.NOT_STARTED && (requestClass.effect() == Effect.UNSAFE
                || ageNs >= TimeUnit.MICROSECONDS.toNanos(requestClass.dedupWindowUs()));
    }

    /** Records that a backend may run the request from now on; returns false if it may have run before. */
    private boolean markStarted(PendingRequest pending, RequestClass requestClass) {
        if (requestClass.effect() == Effect.SAFE || pending.isStarted) {
            return true;
        }
        pending.isStarted = startedRequests.add(pending.inbound.callId(), System.nanoTime());
        return pending.isStarted || !mayHaveRunBefore(pending);
    }

    /** Answers a request as failed, as its outcome when its client sent it before is unknown. */
    private void failRepeated(PendingRequest pending) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                    .log("request may have run before");
        }
        fail(pending.id);
    }

    /**
     * Limits deadlines ahead of a shutdown, in which the process may be killed at any time after
     * {@code maxDeadlineUs}: the deadline of a request received at {@code fromUs} or later is at most
     * {@code maxDeadlineUs}.
     */
    void limitDeadlines(long fromUs, long maxDeadlineUs) {
        deadlineLimitFromUs = fromUs;
        deadlineLimitUs = maxDeadlineUs;
        latestDeadlineUs = Math.max(latestDeadlineUs, maxDeadlineUs);
    }

    /**
     * Returns the latest deadline of all requests received so far. By then each is answered, except for those
     * whose large bodies are still being transferred.
     */
    long latestDeadlineUs() {
        return latestDeadlineUs;
    }

    /** Returns the deadline of a request whose last byte was received at {@code receivedAtUs}. */
    private long deadlineUs(long receivedAtUs, InboundRequest inbound) {
        long deadlineUs = receivedAtUs + inbound.timeLeftUs();
        if (clock.nowUs() >= deadlineLimitFromUs) {
            deadlineUs = Math.min(deadlineUs, deadlineLimitUs);
        }
        latestDeadlineUs = Math.max(latestDeadlineUs, deadlineUs);
        return deadlineUs;
    }

    /** Starts the timer that fails the request shortly before its deadline, if it has no answer by then. */
    private void startFailureTimer(PendingRequest pending, long nowUs) {
        pending.failureTimer = loop.schedule(() -> failBeforeDeadline(pending),
                Math.max(0, pending.deadlineUs - DEADLINE_MARGIN_US - nowUs), TimeUnit.MICROSECONDS);
    }

    /**
     * Handles the last byte of an upload: the request's deadline and time-outs are known from now on.
     *
     * @param writtenUs the earliest time at which the client can have written it
     */
    void uploadCompleted(PendingRequest pending, long writtenUs) {
        if (pending.isAnswered() || !pending.isUploading()) {
            return;
        }
        long nowUs = clock.nowUs();
        pending.uploadCompletedUs = nowUs;
        pending.deadlineUs = deadlineUs(writtenUs, pending.inbound);
        startFailureTimer(pending, nowUs);
        pending.attempts.stream().filter(attempt -> !attempt.ended)
                .forEach(attempt -> scheduleTimeout(attempt, nowUs, pending.deadlineUs));
        events.run(() -> pending.module.balancer.uploadCompleted(clock.nowUs(), pending.id));
    }

    /**
     * Returns how much time is left until the request of an upload must be answered.
     *
     * @param writtenUs the earliest time at which the client can have written the upload's last byte
     */
    long uploadTimeLeftUs(PendingRequest pending, long writtenUs) {
        return deadlineUs(writtenUs, pending.inbound) - DEADLINE_MARGIN_US - clock.nowUs();
    }

    /** Answers the request of an upload as failed, as no backend took the body in time. */
    void failUpload(PendingRequest pending) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                    .addKeyValue("state", pending.describe(clock.nowUs()))
                    .log("no backend took the upload in time");
        }
        failBeforeDeadline(pending);
    }

    /** Schedules the time-out of an attempt. */
    private void scheduleTimeout(UpstreamAttempt attempt, long nowUs, long timeoutAtUs) {
        attempt.timeoutAtUs = timeoutAtUs;
        attempt.timeout = loop.schedule(() -> timedOut(attempt), timeoutAtUs - nowUs, TimeUnit.MICROSECONDS);
    }

    /** Handles the close of the client's connection. */
    void clientGone(PendingRequest pending) {
        if (pending.answeringAttempt != null && !pending.answeringAttempt.ended) {
            pending.answeringAttempt.cancelExchange();
            attemptEnded(pending.answeringAttempt, AttemptResult.of(Outcome.CANCELLED));
        } else if (!pending.isAnswered()) {
            recordResult(pending, Meters.Result.GONE);
            events.run(() -> pending.module.balancer.clientGone(clock.nowUs(), pending.id));
            removeIfEnded(pending);
        }
    }

    /**
     * Answers a request as failed because no answer was given shortly before its deadline. The outcomes of
     * its attempts are still passed to the module.
     */
    private void failBeforeDeadline(PendingRequest pending) {
        if (!pending.isAnswered()) {
            boolean noAttemptPending = pending.openAttempts == 0;
            recordResult(pending, Meters.Result.FAILED);
            pending.client.sendFailure(delivery(pending));
            if (noAttemptPending) {
                // Otherwise the module might still send it, and would wait forever for that attempt's end.
                events.run(() -> pending.module.balancer.clientGone(clock.nowUs(), pending.id));
            }
        }
    }

    /**
     * Starts to forward a large answer to the client. From now on only the end of this answer, or of the
     * client's connection, ends the request.
     *
     * @return the sink for the answer's body; null if the request has been answered already
     */
    private BackendPool.AnswerSink streamStarted(UpstreamAttempt attempt, BackendPool.Exchange exchange,
            String contentType, long length) {
        PendingRequest pending = attempt.request;
        if (attempt.ended || pending.isAnswered()) {
            attemptEnded(attempt, AttemptResult.of(Outcome.CANCELLED));
            return null;
        }
        pending.answeringAttempt = attempt;
        recordResult(pending, Meters.Result.SERVED);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        long nowUs = clock.nowUs();
        events.run(() -> pending.module.balancer.streamStarted(nowUs, pending.id, attempt.number,
                attempt.server, nowUs - fullySentAtUs(attempt)));
        return pending.client.startStream(exchange, contentType, length, delivery(pending));
    }

    /** Returns when the server could start to process the attempt: when the request's last byte was sent. */
    private static long fullySentAtUs(UpstreamAttempt attempt) {
        return attempt.request.isUploading() ? attempt.sentAtUs
                : Math.max(attempt.sentAtUs, attempt.request.uploadCompletedUs);
    }

    private void attemptEnded(UpstreamAttempt attempt, AttemptResult result) {
        if (attempt.ended) {
            return;
        }
        attempt.markEnded(result.outcome());
        PendingRequest pending = attempt.request;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (meters != null) {
            meters.attemptEnded(attempt.server, attempt.number, result.outcome(),
                    Math.max(0, clock.nowUs() - attempt.sentAtUs));
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                    .addKeyValue("attempt", attempt.number).addKeyValue("backend", attempt.server)
                    .addKeyValue("outcome", result.outcome()).log("attempt ended");
        }
        events.run(() -> {
            pending.openAttempts--;
            if (result.outcome() == Outcome.OK && !pending.isAnswered()) {
                recordResult(pending, Meters.Result.SERVED);
                pending.client.sendAnswer(result.body(), result.contentType(), delivery(pending));
            }
            long nowUs = clock.nowUs();
            try {
                if (result.invalidRequest()) {
                    failMalformed(nowUs, pending);
                }
                pending.module.balancer.outcome(nowUs, pending.id, attempt.number, attempt.server,
                        result.invalidRequest() ? Outcome.CANCELLED : result.outcome(),
                        nowUs - fullySentAtUs(attempt), pending.isAnswered(), result.report());
            } catch (RuntimeException e) {
                failAfterException(pending, e);
            }
            removeIfEnded(pending);
        });
    }

    /**
     * Fails a request that the backend rejected as malformed. The rejection is not counted as a failure of
     * the backend, and the request is not retried.
     */
    private void failMalformed(long nowUs, PendingRequest pending) {
        if (!pending.isAnswered()) {
            recordResult(pending, Meters.Result.FAILED);
            pending.client.sendFailure(delivery(pending));
            pending.module.balancer.clientGone(nowUs, pending.id);
        }
    }

    /** Fails a request for which the module threw an exception. */
    private void failAfterException(PendingRequest pending, RuntimeException e) {
        LOG.atError().addKeyValue("request", pending.inbound.callId()).setCause(e).log("request failed");
        fail(pending.id);
    }

    /**
     * Records that a request is answered or that its client has gone. The caller writes the answer to the
     * client's connection.
     */
    private void recordResult(PendingRequest pending, Meters.Result result) {
        long nowUs = clock.nowUs();
        invariants.check(result == Meters.Result.GONE || pending.isUploading()
                || nowUs <= Math.max(pending.deadlineUs, pending.dispatchedUs) + ANSWER_SLACK_US,
                Rule.ANSWERED_IN_TIME,
                pending.inbound.callId(), () -> pending.describe(nowUs));
        pending.recordAnswer(result, nowUs);
        if (pending.module == newestModule && result != Meters.Result.GONE) {
            requestsAnswered++;
            requestsFailed += result == Meters.Result.SERVED ? 0 : 1;
        }
        if (meters != null) {
            meters.requestAnswered(pending.inbound.requestClass(), result,
                    Math.max(0, clock.nowUs() - pending.inbound.receivedAtUs()));
        }
        if (pending.failureTimer != null) {
            pending.failureTimer.cancel(false);
        }
        if (pending.isUploading()) {
            // The upload will never be complete, and its attempts have no time-out that would end them.
            pending.attempts.stream()
                    .filter(attempt -> !attempt.ended && attempt != pending.answeringAttempt)
                    .forEach(attempt -> cancelAndReport(attempt, Outcome.CANCELLED));
        }
    }

    /** Returns the listener that ends the request once its answer is written or can't be written any more. */
    private DeliveryListener delivery(PendingRequest pending) {
        return written -> {
            if (!written && LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", pending.inbound.callId()).log("answer not written");
            }
            pending.markDelivered();
            removeIfEnded(pending);
        };
    }

    /** Removes the request once it has ended, and its module if that was an earlier one's last request. */
    private void removeIfEnded(PendingRequest pending) {
        if (!requests.removeIfEnded(pending)) {
            return;
        }
        if (pending.isStarted && pending.attempts.stream().noneMatch(UpstreamAttempt::mayHaveRun)) {
            startedRequests.remove(pending.inbound.callId(), System.nanoTime());
        }
        if (--pending.module.pendingRequests == 0 && pending.module != newestModule) {
            modules.remove(pending.module);
        }
    }

    // ---- actions

    private void send(String request, String server, long timeoutUs) {
        PendingRequest pending = requests.get(request);
        if (pending == null) {
            return;
        }
        long nowUs = clock.nowUs();
        UpstreamAttempt attempt = new UpstreamAttempt(pending, pending.attempts.size(), server, nowUs,
                attemptListener);
        pending.attempts.add(attempt);
        pending.openAttempts++;
        long timeoutAtUs = timeoutUs > 0 ? Math.min(pending.deadlineUs, nowUs + timeoutUs)
                : pending.deadlineUs;
        Backend backend = backends.get(server);
        if (backend == null || inMaintenance.contains(server) || pending.isAnswered()
                || timeoutAtUs <= nowUs && !pending.isUploading()
                || pending.attempts.size() > settings.limits().maxAttempts()) {
            attemptEnded(attempt, AttemptResult.of(Outcome.NOT_SENT));
            return;
        }
        if (pending.isUploading()) {
            attempt.timeoutAtUs = Long.MAX_VALUE;
        } else {
            scheduleTimeout(attempt, nowUs, timeoutAtUs);
        }
        try {
            attempt.exchange = pool.startExchange(backend.address, () -> buildRequest(attempt, backend),
                    attempt);
        } catch (RuntimeException e) {
            // If rethrown, the exception would interrupt the module in the middle of its event, and the
            // attempt would never end.
            LOG.atError().addKeyValue("request", pending.inbound.callId()).addKeyValue("backend", server)
                    .setCause(e).log("attempt not begun");
            attemptEnded(attempt, AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    private void timedOut(UpstreamAttempt attempt) {
        if (!attempt.ended) {
            attempt.cancelExchange();
            // While the connection is being established, no byte of the request can have been sent.
            attemptEnded(attempt,
                    AttemptResult.of(attempt.hasStarted() ? Outcome.TIMEOUT : Outcome.NOT_SENT));
        }
    }

    /**
     * Returns the request as sent to a backend, or null if it must not be sent. Called just before the first
     * byte is written: while the connection was being established, the request may have ended or the backend
     * may have started to drain.
     */
    private HttpRequest buildRequest(UpstreamAttempt attempt, Backend backend) {
        long nowUs = clock.nowUs();
        InboundRequest inbound = attempt.request.inbound;
        long leftMs = attempt.request.isUploading() ? inbound.timeLeftUs() / 1000
                : (attempt.timeoutAtUs - nowUs) / 1000;
        RequestClass requestClass = settings.classes().get(inbound.requestClass());
        SendGuard.Decision decision = SendGuard.decide(attempt, requestClass,
                isExcluded(attempt.server, backend), leftMs, nowUs);
        if (decision != SendGuard.Decision.SEND) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", inbound.callId()).addKeyValue("attempt", attempt.number)
                        .addKeyValue("backend", attempt.server).addKeyValue("verdict", decision)
                        .log("attempt held back");
            }
            return null;
        }
        if (!markStarted(attempt.request, requestClass)) {
            events.run(() -> failRepeated(attempt.request));
            return null;
        }
        checkSendInvariants(attempt, backend, requestClass, leftMs);
        HttpRequest message = inbound.upload() == null
                ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, inbound.method(), inbound.uri(),
                        Unpooled.wrappedBuffer(inbound.body()))
                : new Upload.RequestHead(HttpVersion.HTTP_1_1, inbound.method(), inbound.uri(),
                        inbound.upload());
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, Addresses.text(backend.address));
        headers.set("X-Call-Id", inbound.callId());
        headers.set("X-Call-Class", settings.classes().get(inbound.requestClass()).name());
        headers.set("X-Budget-Ms", leftMs);
        if (inbound.idempotencyKey() != null) {
            headers.set("Idempotency-Key", inbound.idempotencyKey());
        }
        if (inbound.contentType() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, inbound.contentType());
        }
        if (inbound.upload() != null) {
            inbound.upload().setLengthHeader(headers);
        } else if (inbound.body().length > 0 || !inbound.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, inbound.body().length);
        }
        return message;
    }

    /** Checks the invariants of an attempt just before its first byte is written. */
    private void checkSendInvariants(UpstreamAttempt attempt, Backend backend, RequestClass requestClass,
            long leftMs) {
        PendingRequest pending = attempt.request;
        long nowUs = clock.nowUs();
        String id = pending.inbound.callId();
        Supplier<String> state = () -> pending.describe(nowUs);
        invariants.check(!pending.isAnswered() && pending.client.isOpen(), Rule.ATTEMPT_FOR_WAITING_CLIENT,
                id, state);
        invariants.check(backend.status == ServerStatus.UP
                || nowUs <= backend.downSinceUs + settings.rules().drainGraceUs(),
                Rule.ATTEMPT_WITHIN_GRACE, id, state);
        invariants.check(SendGuard.isSafeToRepeat(attempt, requestClass, nowUs - MAX_PROCESS_PAUSE_US),
                Rule.REPEATED_SAFELY, id, state);
        invariants.check(
                pending.isUploading() || leftMs * 1000 <= pending.deadlineUs - nowUs + MAX_PROCESS_PAUSE_US,
                Rule.DEADLINE_PASSED_ON, id, state);
    }

    /**
     * Returns whether no attempt may start at a backend, because the backend is in maintenance or its drain's
     * grace period is over or about to be.
     */
    private boolean isExcluded(String server, Backend backend) {
        return inMaintenance.contains(server) || backend.status != ServerStatus.UP && clock.nowUs()
                >= backend.downSinceUs + settings.rules().drainGraceUs() - DRAIN_GRACE_MARGIN_US;
    }

    private void refuse(String request, long retryAfterUs) {
        PendingRequest pending = requests.get(request);
        if (pending != null && !pending.isAnswered()) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                        .addKeyValue("state", pending.describe(clock.nowUs())).log("request refused");
            }
            recordResult(pending, Meters.Result.REFUSED);
            pending.client.sendRefusal(retryAfterUs, delivery(pending));
        }
    }

    private void fail(String request) {
        PendingRequest pending = requests.get(request);
        if (pending != null && !pending.isAnswered()) {
            recordResult(pending, Meters.Result.FAILED);
            pending.client.sendFailure(delivery(pending));
        }
    }

    private void cancel(String request, int number) {
        PendingRequest pending = requests.get(request);
        if (pending == null || number >= pending.attempts.size() || pending.attempts.get(number).ended) {
            return;
        }
        UpstreamAttempt attempt = pending.attempts.get(number);
        attempt.cancelExchange();
        attemptEnded(attempt, AttemptResult.of(Outcome.CANCELLED));
    }

    private void probe(String server, DecisionModule module) {
        HealthProbes.Listener listener = (probedServer, outcome, tookUs, report) -> events.run(
                () -> module.balancer.probeResult(clock.nowUs(), probedServer, outcome, tookUs, report));
        Backend backend = backends.get(server);
        if (backend == null || inMaintenance.contains(server)) {
            probes.reportNotSent(server, listener);
        } else {
            probes.send(server, backend.address, () -> isExcluded(server, backend), listener);
        }
    }
}
