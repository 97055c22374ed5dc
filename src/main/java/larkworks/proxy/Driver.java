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
 * Translates between sockets and the decision module: events in, actions out. It decides nothing but what the
 * protocol leaves no choice in. The module must not be called from within its own actions, so whatever
 * happens while it decides is told to it afterwards.
 */
final class Driver {

    private static final Logger LOG = LoggerFactory.getLogger("proxy");
    private static final Logger SHARED = LoggerFactory.getLogger("shared");
    private static final Logger DECISIONS = LoggerFactory.getLogger("decisions");
    /** If nothing else was in time, a request is answered as failed so long before its client gives up. */
    private static final long GUARD_US = 20_000;
    /** An answer so long after its time is late; later still it is lost. */
    private static final long ANSWER_SLACK_US = 500_000;
    /** The process may be held up for so long between reading its clock and writing. */
    private static final long HELD_UP_US = 150_000;
    /** Nothing is begun in this last part of a drain's grace: word of it was read later than told. */
    private static final long GRACE_MARGIN_US = 100_000;

    /** An answer of unknown length is held for this part of its aim, to see whether it is a large one. */
    private static final int HOLD_PART = 10;

    /** Told once that an answer's last byte was written to its client's connection, or never will be. */
    @FunctionalInterface
    interface Delivery {
        void ended(boolean written);
    }

    /** Where a request's final answer goes; exactly one of the methods is called, once. */
    interface Client {
        /** Whether the client is still there, by all that has come from it by now. */
        boolean connected();

        /** Whether its connection is open, by what was read of it so far. */
        default boolean open() {
            return true;
        }

        void served(byte[] body, String type, Delivery delivery);

        /** The answer is a large one and comes in parts; its length is negative where it is not told. */
        BackendPool.Sink begins(BackendPool.Exchange from, String type, long length, Delivery delivery);

        void refused(long retryAfterUs, Delivery delivery);

        void failed(Delivery delivery);
    }

    /**
     * A request as it came.
     *
     * @param idempotencyKey null where it carries none
     * @param body all of it; null where it is an upload
     * @param upload a body too large to be held; null where there is none
     * @param type the content type, or null
     * @param takenAtUs when its last byte came
     */
    record Inbound(String callId, HttpMethod method, String uri, String idempotencyKey, byte[] body,
            Upload upload, String type, int requestClass, int tenant, long timeLeftUs, long workUs,
            boolean again, long takenAtUs) {

        /** The same request with its body, once that has come or begins to be passed on. */
        Inbound with(byte[] whole, Upload passing, long atUs) {
            return new Inbound(callId, method, uri, idempotencyKey, whole, passing, type, requestClass,
                    tenant, timeLeftUs, workUs, again, atUs);
        }
    }

    /** A backend as discovery last listed it. */
    private static final class Backend {
        InetSocketAddress address;
        ServerStatus status;
        /** Its line as it was last told. */
        Listing.Entry told;
        /** Its line of the list, for a module that comes later; null for one not listed as up. */
        Server listed;
        /** When this proxy was told that it drains or is gone. */
        long downSinceUs;
    }

    /** What is in force for new requests. */
    private Settings settings;
    private final Clock clock;
    private final EventLoop loop;
    private final BackendPool pool;
    /** Until when servers rest, by the module's word. */
    private final Map<String, Long> resting = new HashMap<>();
    /** The module that takes new requests, and those before it that still hold some, oldest first. */
    private Deciding newest;
    private final List<Deciding> modules = new ArrayList<>();
    private long seed;
    /** Requests that have ended, and those of them not served, since the newest settings. */
    private long requestsEnded;
    private long requestsFailed;
    private final Map<String, Backend> backends = new HashMap<>();
    /** All backends that were ever listed or called out. */
    private final Set<String> known = new HashSet<>();
    /** Backends that the operators called out: nothing goes to them, whatever lists say. */
    private final Set<String> out = new HashSet<>();
    private final PendingRequests requests;
    private final HealthProbes probes;
    private final StartTimes starts;
    private final Invariants invariants = new Invariants();
    private long lastId;
    /** Requests that come from then on must have their answer by then, whatever time their clients give. */
    private long boundFromUs = Long.MAX_VALUE;
    private long answerByUs = Long.MAX_VALUE;
    /** The latest time at which a request held so far is due. */
    private long lastDueUs;
    private boolean deciding;
    private Runnable watch = () -> { };
    /** Null where no metrics are kept. */
    private final Meters meters;
    /** Null where nothing is shared with other proxies. */
    private SharedState shared;

    Driver(Config config, Clock clock, EventLoop loop, BackendPool pool) {
        this(config, clock, loop, pool, null);
    }

    Driver(Config config, Clock clock, EventLoop loop, BackendPool pool, Meters meters) {
        this.meters = meters;
        this.settings = config.settings();
        this.starts = new StartTimes(settings.rules().coldUs());
        this.clock = clock;
        this.requests = new PendingRequests(clock);
        this.loop = loop;
        this.pool = pool;
        this.probes = new HealthProbes(clock, loop, pool, config.hasLoadReports());
        this.seed = config.seed();
        this.newest = new Deciding();
        modules.add(newest);
    }

    /** One decision module, and what it may do. */
    final class Deciding implements Actions {
        final Balancer balancer = new Logic(settings, seed, this);
        int requests;

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
            // Never at once: a time already past would keep the loop turning in place.
            long delayUs = Math.max(settings.tickUs(), atUs - clock.nowUs());
            loop.schedule(() -> enter(() -> balancer.timer(Math.max(atUs, clock.nowUs()))), delayUs,
                    TimeUnit.MICROSECONDS);
        }

        @Override
        public void watchServers() {
            if (this == newest) {
                loop.execute(watch);
            }
        }

        @Override
        public void reportVerdict(String server, Verdict verdict, long untilUs) {
            if (verdict == Verdict.RESTS) {
                resting.put(server, untilUs);
            }
            if (shared != null) {
                SHARED.atDebug().addKeyValue("server", server).addKeyValue("verdict", verdict)
                        .addKeyValue("until_ms", untilUs / 1000).log("own verdict");
                shared.held(server, verdict, untilUs <= clock.nowUs() ? 0 : untilUs / 1000);
            }
        }

        @Override
        public void reportServerBudgetUse(String server, boolean spent) {
            if (spent) {
                shared.serverSpent(server);
            } else {
                shared.serverWanting(server);
            }
        }

        @Override
        public void reportClassBudgetUse(int requestClass, boolean spent) {
            String name = settings.classes().get(requestClass).name();
            if (spent) {
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

    /** Tells all modules that still hold requests. */
    private void all(Consumer<Balancer> event) {
        for (Deciding module : List.copyOf(modules)) {
            event.accept(module.balancer);
        }
    }

    /**
     * From now on new requests are decided on by a new module with these settings; those held stay with
     * theirs. Classes and tenants must be the ones there are, by number.
     */
    void adopt(Settings next) {
        enter(() -> {
            settings = next;
            requestsEnded = 0;
            requestsFailed = 0;
            seed++;
            newest = new Deciding();
            modules.removeIf(module -> module.requests == 0);
            modules.add(newest);
            List<Server> servers = backends.values().stream().filter(b -> b.listed != null)
                    .map(b -> b.listed).toList();
            newest.balancer.serversChanged(clock.nowUs(), ListKind.REMEMBERED, servers);
            out.forEach(server -> newest.balancer.maintenanceChanged(clock.nowUs(), server, true));
            if (shared != null) {
                loop.execute(shared::renew);
            }
        });
    }

    /** Servers that the module rests now. */
    List<String> resting() {
        long now = clock.nowUs();
        resting.values().removeIf(untilUs -> untilUs <= now);
        return List.copyOf(resting.keySet());
    }

    /** Requests that have ended since the newest settings came. */
    long requestsEnded() {
        return requestsEnded;
    }

    /** Those of them that were not served, and whose clients had not gone. */
    long requestsFailed() {
        return requestsFailed;
    }

    /** What to do when the module asks for changes to the list. */
    void onWatch(Runnable action) {
        watch = action;
    }

    /** From now on the module's verdicts and spendings are shared, and others' reach it. */
    void share(SharedState state) {
        shared = state;
        loop.execute(state::start);
    }

    /** What the module is told of what others hold; see {@link SharedState.Module}. */
    final class FromPeers implements SharedState.Module {
        @Override
        public void verdict(String server, Verdict verdict, long untilMs) {
            SHARED.atDebug().addKeyValue("server", server).addKeyValue("verdict", verdict)
                    .addKeyValue("until_ms", untilMs).log("a peer's verdict");
            enter(() -> all(b -> b.peerVerdict(clock.nowUs(), server, verdict, untilMs * 1000)));
        }

        @Override
        public void serverBudget(String server, long left, long untilMs) {
            // The newest alone: two modules with the same tokens would spend them twice.
            enter(() -> newest.balancer.serverBudgetChanged(clock.nowUs(), server, left, untilMs * 1000));
        }

        @Override
        public void classBudget(String name, long left, long untilMs) {
            enter(() -> newest.balancer.classBudgetChanged(clock.nowUs(), classNumber(name), left,
                    untilMs * 1000));
        }

        @Override
        public void affinity(String name, Collection<String> servers) {
            enter(() -> newest.balancer.affinityChanged(clock.nowUs(), classNumber(name), servers));
        }
    }

    /** What comes of attempts. */
    private final UpstreamAttempt.Listener attempts = new UpstreamAttempt.Listener() {
        @Override
        public BackendPool.Sink answerBegan(UpstreamAttempt attempt, BackendPool.Exchange from, String type,
                long length) {
            return Driver.this.answerBegan(attempt, from, type, length);
        }

        @Override
        public long holdUs(UpstreamAttempt attempt) {
            return settings.classes().get(attempt.request.inbound.requestClass()).aimUs() / HOLD_PART;
        }

        @Override
        public void ended(UpstreamAttempt attempt, AttemptResult answer) {
            Driver.this.ended(attempt, answer);
        }
    };

    private int classNumber(String name) {
        return settings.classes().stream().map(RequestClass::name).toList().indexOf(name);
    }

    Clock clock() {
        return clock;
    }

    /** What is checked at run time. */
    Invariants invariants() {
        return invariants;
    }

    /** Whether every request that was taken has ended. */
    boolean isIdle() {
        return requests.isEmpty();
    }

    /** Requests whose clients wait for an answer past their deadline: there must never be any. */
    List<PendingRequest> overdue() {
        return requests.pastDeadline();
    }

    /** Writes what has not ended to the log, at level debug. */
    void logPending(String why) {
        requests.logAll(why);
    }

    /** Whether some backend could be sent a request. */
    boolean canServe() {
        return backends.entrySet().stream()
                .anyMatch(b -> b.getValue().status == ServerStatus.UP && !out.contains(b.getKey()));
    }

    /** Whether the backend was ever listed or called out. */
    boolean knows(String backend) {
        return known.contains(backend);
    }

    /** The backends that are called out. */
    Set<String> out() {
        return Set.copyOf(out);
    }

    // ---- events

    /**
     * A list came, or changes of it.
     *
     * @param toldUs since when what it tells may count as told, by the driver's clock
     * @param currentUs when the list held before was known to be current, likewise; the least value where it
     *     never was
     */
    void listChanged(ListKind kind, List<Listing.Entry> entries, long toldUs, long currentUs) {
        if (shared != null) {
            // Before the module sees a cold server, it must know what it may send there.
            shared.listed(kind == ListKind.CHANGES, entries.stream().map(Listing.Entry::server).toList());
        }
        enter(() -> {
            long now = clock.nowUs();
            // Also as a whole list only what differs costs anything; the first tells all there is.
            ListKind applied = kind == ListKind.REMEMBERED ? kind : ListKind.CHANGES;
            List<Listing.Entry> differing = kind == ListKind.WHOLE ? difference(entries) : entries;
            List<Server> moved = new ArrayList<>();
            List<Server> servers = new ArrayList<>(starts.toLocalClock(now, kind,
                    differing.stream().map(Listing.Entry::server).toList(), currentUs, moved));
            List<String> gone = new ArrayList<>();
            for (int i = 0; i < differing.size(); i++) {
                Server server = servers.get(i);
                known.add(server.id());
                Backend b = backends.computeIfAbsent(server.id(), id -> new Backend());
                b.told = differing.get(i);
                b.address = b.told.address() == null ? b.address : b.told.address();
                b.listed = server.status() == ServerStatus.UP ? server : null;
                down(toldUs, b, server.status());
                if (server.status() == ServerStatus.GONE) {
                    gone.add(server.id());
                }
            }
            for (Server later : moved) {
                Backend b = backends.get(later.id());
                if (applied == ListKind.CHANGES && b != null && b.listed != null) {
                    b.listed = later;
                    servers.add(later);
                }
            }
            all(balancer -> balancer.serversChanged(now, applied, servers));
            gone.forEach(this::endConnecting);
            gone.forEach(backends::remove);
            resting.keySet().retainAll(backends.keySet());
            if (shared != null) {
                loop.execute(shared::known);
            }
            if (meters != null) {
                meters.listed(kind == ListKind.WHOLE, backends.keySet());
            }
            retire();
        });
    }

    /** What a whole list tells that was not told before; what it does not name is gone. */
    private List<Listing.Entry> difference(List<Listing.Entry> whole) {
        List<Listing.Entry> differing = new ArrayList<>();
        Set<String> named = new HashSet<>();
        for (Listing.Entry entry : whole) {
            named.add(entry.server().id());
            Backend b = backends.get(entry.server().id());
            if (b == null || !entry.equals(b.told)) {
                differing.add(entry);
            }
        }
        backends.forEach((id, b) -> {
            if (!named.contains(id)) {
                differing.add(b.told.asGone());
            }
        });
        return differing;
    }

    /** The operator's call about a backend: from now on it is left out, or may serve again. */
    void maintenance(String server, boolean leave) {
        if (!(leave ? out.add(server) : out.remove(server))) {
            return;
        }
        known.add(server);
        retire();
        if (leave) {
            endConnecting(server);
        }
        enter(() -> all(balancer -> balancer.maintenanceChanged(clock.nowUs(), server, leave)));
    }

    /** Ends an attempt that is out; the module hears of it once what goes on now is over. */
    private void callOff(UpstreamAttempt attempt, Outcome outcome) {
        attempt.abandon();
        loop.execute(() -> ended(attempt, AttemptResult.of(outcome)));
    }

    private void retire() {
        pool.retire(out.stream().map(backends::get).filter(b -> b != null && b.address != null)
                .map(b -> b.address).collect(Collectors.toSet()));
    }

    /** Ends what is on its way to a backend and has not begun. */
    private void endConnecting(String server) {
        List<UpstreamAttempt> connecting = requests.all().stream()
                .flatMap(pending -> pending.attempts.stream())
                .filter(attempt -> !attempt.ended && attempt.server.equals(server) && !attempt.begun())
                .toList();
        connecting.forEach(attempt -> callOff(attempt, Outcome.NOT_SENT));
        probes.endConnecting(server);
    }

    private static void down(long toldUs, Backend b, ServerStatus status) {
        if (status != ServerStatus.UP && (b.status == null || b.status == ServerStatus.UP)) {
            b.downSinceUs = toldUs;
        }
        b.status = status;
    }

    void discoveryFailed() {
        if (meters != null) {
            meters.discoveryFailed();
        }
        enter(() -> newest.balancer.discoveryFailed(clock.nowUs()));
    }

    /** Takes a request over from a client. */
    PendingRequest request(Inbound inbound, Client client) {
        long now = clock.nowUs();
        long deadlineUs = dueUs(inbound.takenAtUs(), inbound);
        PendingRequest pending = new PendingRequest(Long.toString(++lastId), inbound, client, now,
                deadlineUs, newest);
        requests.add(pending);
        pending.module.requests++;
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", inbound.callId())
                    .addKeyValue("read_us_ago", now - inbound.takenAtUs())
                    .addKeyValue("left_ms", (deadlineUs - now) / 1000).log("request taken");
        }
        if (inbound.upload() == null) {
            armGuard(pending, now);
        } else {
            inbound.upload().onNotRepeatable(() -> enter(
                    () -> pending.module.balancer.bodyDiscarded(clock.nowUs(), pending.id)));
        }
        enter(() -> {
            try {
                pending.module.balancer.request(clock.nowUs(), new Request(pending.id, inbound.requestClass(),
                        inbound.tenant(), Math.max(0, deadlineUs - clock.nowUs()), inbound.workUs(),
                        inbound.again(), pending.isUploading()));
            } catch (RuntimeException e) {
                fault(pending, e);
            }
        });
        return pending;
    }

    /** The process may be ended at that time: requests that come from then on have an answer by it. */
    void answerBy(long fromUs, long atUs) {
        boundFromUs = fromUs;
        answerByUs = atUs;
        lastDueUs = Math.max(lastDueUs, atUs);
    }

    /** By then every request taken so far is answered, large bodies on their way apart. */
    long lastDueUs() {
        return lastDueUs;
    }

    /** When a request is due whose last byte came at that time. */
    private long dueUs(long takenAtUs, Inbound inbound) {
        long dueUs = takenAtUs + inbound.timeLeftUs();
        if (clock.nowUs() >= boundFromUs) {
            dueUs = Math.min(dueUs, answerByUs);
        }
        lastDueUs = Math.max(lastDueUs, dueUs);
        return dueUs;
    }

    private void armGuard(PendingRequest pending, long now) {
        pending.failureTimer = loop.schedule(() -> guard(pending),
                Math.max(0, pending.deadlineUs - GUARD_US - now), TimeUnit.MICROSECONDS);
    }

    /** The last byte of an upload has come: from now on the request's time runs. */
    void uploaded(PendingRequest pending) {
        if (pending.isAnswered() || !pending.isUploading()) {
            return;
        }
        long now = clock.nowUs();
        pending.uploadCompletedUs = now;
        pending.deadlineUs = dueUs(now, pending.inbound);
        armGuard(pending, now);
        pending.attempts.stream().filter(attempt -> !attempt.ended).forEach(attempt -> limit(attempt, now,
                pending.deadlineUs));
        enter(() -> pending.module.balancer.uploadCompleted(clock.nowUs(), pending.id));
    }

    private void limit(UpstreamAttempt attempt, long now, long untilUs) {
        attempt.untilUs = untilUs;
        attempt.timeout = loop.schedule(() -> timedOut(attempt), untilUs - now, TimeUnit.MICROSECONDS);
    }

    /** The client has closed its connection. */
    void clientGone(PendingRequest pending) {
        if (pending.answeringAttempt != null && !pending.answeringAttempt.ended) {
            pending.answeringAttempt.abandon();
            ended(pending.answeringAttempt, AttemptResult.of(Outcome.CANCELLED));
        } else if (!pending.isAnswered()) {
            finish(pending, Meters.Result.GONE);
            enter(() -> pending.module.balancer.clientGone(clock.nowUs(), pending.id));
            endIfDone(pending);
        }
    }

    /** All else is late: the client is answered while it waits; what comes later only informs the module. */
    private void guard(PendingRequest pending) {
        if (!pending.isAnswered()) {
            boolean waits = pending.openAttempts == 0;
            finish(pending, Meters.Result.FAILED);
            pending.client.failed(delivery(pending));
            if (waits) {
                // Else the module might yet send it, and would wait for that attempt's end for ever.
                enter(() -> pending.module.balancer.clientGone(clock.nowUs(), pending.id));
            }
        }
    }

    /** A large answer begins: the client has it from here on, and nothing else ends the request any more. */
    private BackendPool.Sink answerBegan(UpstreamAttempt attempt, BackendPool.Exchange from, String type,
            long length) {
        PendingRequest pending = attempt.request;
        if (attempt.ended || pending.isAnswered()) {
            ended(attempt, AttemptResult.of(Outcome.CANCELLED));
            return null;
        }
        pending.answeringAttempt = attempt;
        finish(pending, Meters.Result.SERVED);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        long now = clock.nowUs();
        enter(() -> pending.module.balancer.streamStarted(now, pending.id, attempt.number, attempt.server,
                now - begunAtUs(attempt)));
        return pending.client.begins(from, type, length, delivery(pending));
    }

    /** When the server could begin: with the last byte of the request. */
    private static long begunAtUs(UpstreamAttempt attempt) {
        return attempt.request.isUploading() ? attempt.sentAtUs
                : Math.max(attempt.sentAtUs, attempt.request.uploadCompletedUs);
    }

    private void ended(UpstreamAttempt attempt, AttemptResult answer) {
        if (attempt.ended) {
            return;
        }
        attempt.end(answer.outcome());
        PendingRequest pending = attempt.request;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (meters != null) {
            meters.attempted(attempt.server, attempt.number, answer.outcome(),
                    Math.max(0, clock.nowUs() - attempt.sentAtUs));
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                    .addKeyValue("attempt", attempt.number).addKeyValue("backend", attempt.server)
                    .addKeyValue("outcome", answer.outcome()).log("attempt ended");
        }
        enter(() -> {
            pending.openAttempts--;
            if (answer.outcome() == Outcome.OK && !pending.isAnswered()) {
                finish(pending, Meters.Result.SERVED);
                pending.client.served(answer.body(), answer.contentType(), delivery(pending));
            }
            long now = clock.nowUs();
            try {
                if (answer.invalidRequest()) {
                    withdraw(now, pending);
                }
                pending.module.balancer.outcome(now, pending.id, attempt.number, attempt.server,
                        answer.invalidRequest() ? Outcome.CANCELLED : answer.outcome(),
                        now - begunAtUs(attempt), pending.isAnswered(), answer.report());
            } catch (RuntimeException e) {
                fault(pending, e);
            }
            endIfDone(pending);
        });
    }

    /** What no client sent is failed; it speaks neither against the backend nor for another attempt. */
    private void withdraw(long now, PendingRequest pending) {
        if (!pending.isAnswered()) {
            finish(pending, Meters.Result.FAILED);
            pending.client.failed(delivery(pending));
            pending.module.balancer.clientGone(now, pending.id);
        }
    }

    private void fault(PendingRequest pending, RuntimeException e) {
        LOG.atError().addKeyValue("request", pending.inbound.callId()).setCause(e).log("request failed");
        fail(pending.id);
    }

    /** Its answer is given, or its client has gone; who calls this has the answer written. */
    private void finish(PendingRequest pending, Meters.Result result) {
        long now = clock.nowUs();
        invariants.check(result == Meters.Result.GONE || pending.isUploading()
                || now <= Math.max(pending.deadlineUs, pending.dispatchedUs) + ANSWER_SLACK_US,
                Rule.ANSWERED_IN_TIME,
                pending.inbound.callId(), () -> pending.describe(now));
        pending.recordAnswer(result, now);
        if (pending.module == newest && result != Meters.Result.GONE) {
            requestsEnded++;
            requestsFailed += result == Meters.Result.SERVED ? 0 : 1;
        }
        if (meters != null) {
            meters.answered(pending.inbound.requestClass(), result,
                    Math.max(0, clock.nowUs() - pending.inbound.takenAtUs()));
        }
        if (pending.failureTimer != null) {
            pending.failureTimer.cancel(false);
        }
        if (pending.isUploading()) {
            // No time-out runs on what will never be whole.
            pending.attempts.stream()
                    .filter(attempt -> !attempt.ended && attempt != pending.answeringAttempt)
                    .forEach(attempt -> callOff(attempt, Outcome.CANCELLED));
        }
    }

    /** What is to be told once the answer has left, or can't any more. */
    private Delivery delivery(PendingRequest pending) {
        return written -> {
            if (!written && LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", pending.inbound.callId()).log("answer not written");
            }
            pending.markDelivered();
            endIfDone(pending);
        };
    }

    private void endIfDone(PendingRequest pending) {
        if (requests.removeIfEnded(pending) && --pending.module.requests == 0 && pending.module != newest) {
            modules.remove(pending.module);
        }
    }

    /** Calls the module, or does so as soon as it has finished deciding. */
    private void enter(Runnable event) {
        if (deciding) {
            loop.execute(() -> enter(event));
            return;
        }
        deciding = true;
        try {
            event.run();
        } catch (RuntimeException e) {
            // The process goes on: other requests, and the guards of those concerned, need it.
            LOG.error("an event failed", e);
        } finally {
            deciding = false;
        }
    }

    // ---- actions

    private void send(String request, String server, long timeoutUs) {
        PendingRequest pending = requests.get(request);
        if (pending == null) {
            return;
        }
        long now = clock.nowUs();
        UpstreamAttempt attempt = new UpstreamAttempt(pending, pending.attempts.size(), server, now,
                attempts);
        pending.attempts.add(attempt);
        pending.openAttempts++;
        long untilUs = timeoutUs > 0 ? Math.min(pending.deadlineUs, now + timeoutUs) : pending.deadlineUs;
        Backend backend = backends.get(server);
        if (backend == null || out.contains(server) || pending.isAnswered()
                || untilUs <= now && !pending.isUploading()
                || pending.attempts.size() > settings.limits().maxAttempts()) {
            ended(attempt, AttemptResult.of(Outcome.NOT_SENT));
            return;
        }
        if (pending.isUploading()) {
            attempt.untilUs = Long.MAX_VALUE;
        } else {
            limit(attempt, now, untilUs);
        }
        try {
            attempt.exchange = pool.begin(backend.address, () -> message(attempt, backend), attempt);
        } catch (RuntimeException e) {
            // Thrown on, it would end the module's turn half-way, and this attempt never.
            LOG.atError().addKeyValue("request", pending.inbound.callId()).addKeyValue("backend", server)
                    .setCause(e).log("attempt not begun");
            ended(attempt, AttemptResult.of(Outcome.NOT_SENT));
        }
    }

    private void timedOut(UpstreamAttempt attempt) {
        if (!attempt.ended) {
            attempt.abandon();
            // Still connecting, so no byte of it has left.
            ended(attempt, AttemptResult.of(attempt.begun() ? Outcome.TIMEOUT : Outcome.NOT_SENT));
        }
    }

    /**
     * The request for a backend, at the moment its first byte may go out: the connect took time, in which the
     * request may have ended or the backend may have been told to drain. Null where it must not go out.
     */
    private HttpRequest message(UpstreamAttempt attempt, Backend backend) {
        long now = clock.nowUs();
        Inbound in = attempt.request.inbound;
        long leftMs = attempt.request.isUploading() ? in.timeLeftUs() / 1000 : (attempt.untilUs - now) / 1000;
        RequestClass kind = settings.classes().get(in.requestClass());
        SendGuard.Verdict verdict = SendGuard.judge(attempt, kind, barred(attempt.server, backend), leftMs,
                now);
        if (verdict != SendGuard.Verdict.GO) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", in.callId()).addKeyValue("attempt", attempt.number)
                        .addKeyValue("backend", attempt.server).addKeyValue("verdict", verdict)
                        .log("attempt held back");
            }
            return null;
        }
        checkBeginning(attempt, backend, kind, leftMs);
        HttpRequest message = in.upload() == null
                ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, in.method(), in.uri(),
                        Unpooled.wrappedBuffer(in.body()))
                : new Upload.RequestHead(HttpVersion.HTTP_1_1, in.method(), in.uri(), in.upload());
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, Addresses.text(backend.address));
        headers.set("X-Call-Id", in.callId());
        headers.set("X-Call-Class", settings.classes().get(in.requestClass()).name());
        headers.set("X-Budget-Ms", leftMs);
        if (in.idempotencyKey() != null) {
            headers.set("Idempotency-Key", in.idempotencyKey());
        }
        if (in.type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, in.type());
        }
        if (in.upload() != null) {
            in.upload().setLengthHeader(headers);
        } else if (in.body().length > 0 || !in.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, in.body().length);
        }
        return message;
    }

    /** What must hold for each attempt that begins, by all that is known at its first byte. */
    private void checkBeginning(UpstreamAttempt attempt, Backend backend, RequestClass kind, long leftMs) {
        PendingRequest pending = attempt.request;
        long now = clock.nowUs();
        String id = pending.inbound.callId();
        Supplier<String> state = () -> pending.describe(now);
        invariants.check(!pending.isAnswered() && pending.client.open(), Rule.ATTEMPT_FOR_WAITING_CLIENT, id,
                state);
        invariants.check(backend.status == ServerStatus.UP
                || now <= backend.downSinceUs + settings.rules().drainGraceUs(),
                Rule.ATTEMPT_WITHIN_GRACE, id, state);
        invariants.check(SendGuard.repeatsSafely(attempt, kind, now - HELD_UP_US), Rule.REPEATED_SAFELY, id,
                state);
        invariants.check(pending.isUploading() || leftMs * 1000 <= pending.deadlineUs - now + HELD_UP_US,
                Rule.DEADLINE_PASSED_ON, id, state);
    }

    /** Whether nothing may begin at a backend: it was called out, or drains for most of its grace. */
    private boolean barred(String server, Backend backend) {
        return out.contains(server) || backend.status != ServerStatus.UP && clock.nowUs()
                >= backend.downSinceUs + settings.rules().drainGraceUs() - GRACE_MARGIN_US;
    }

    private void refuse(String request, long retryAfterUs) {
        PendingRequest pending = requests.get(request);
        if (pending != null && !pending.isAnswered()) {
            if (LOG.isDebugEnabled()) {
                LOG.atDebug().addKeyValue("request", pending.inbound.callId())
                        .addKeyValue("state", pending.describe(clock.nowUs())).log("request refused");
            }
            finish(pending, Meters.Result.REFUSED);
            pending.client.refused(retryAfterUs, delivery(pending));
        }
    }

    private void fail(String request) {
        PendingRequest pending = requests.get(request);
        if (pending != null && !pending.isAnswered()) {
            finish(pending, Meters.Result.FAILED);
            pending.client.failed(delivery(pending));
        }
    }

    private void cancel(String request, int number) {
        PendingRequest pending = requests.get(request);
        if (pending == null || number >= pending.attempts.size() || pending.attempts.get(number).ended) {
            return;
        }
        UpstreamAttempt attempt = pending.attempts.get(number);
        attempt.abandon();
        ended(attempt, AttemptResult.of(Outcome.CANCELLED));
    }

    private void probe(String server, Deciding module) {
        HealthProbes.Listener told = (asked, outcome, tookUs, report) -> enter(
                () -> module.balancer.probeResult(clock.nowUs(), asked, outcome, tookUs, report));
        Backend backend = backends.get(server);
        if (backend == null || out.contains(server)) {
            probes.skip(server, told);
        } else {
            probes.send(server, backend.address, () -> barred(server, backend), told);
        }
    }
}
