package larkworks.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
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
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import larkworks.Balancer;
import larkworks.Balancer.Actions;
import larkworks.Balancer.ListKind;
import larkworks.Balancer.LoadReport;
import larkworks.Balancer.Outcome;
import larkworks.Balancer.Request;
import larkworks.Balancer.RequestClass;
import larkworks.Balancer.Server;
import larkworks.Balancer.ServerStatus;
import larkworks.Balancer.Settings;
import larkworks.Balancer.Verdict;
import larkworks.Logic;
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
    /** Nothing is begun in this last part of a drain's grace: word of it was read later than told. */
    private static final long GRACE_MARGIN_US = 100_000;
    /** A probe without an answer by then has failed; a live backend answers at once, beside its queue. */
    private static final long PROBE_US = 50_000;

    /** An answer of unknown length is held for this part of its aim, to see whether it is a large one. */
    private static final int HOLD_PART = 10;

    /** Where a request's final answer goes; exactly one of the methods is called, once. */
    interface Client {
        /** Whether the client is still there, by all that has come from it by now. */
        boolean connected();

        void served(byte[] body, String type);

        /** The answer is a large one and comes in parts; its length is negative where it is not told. */
        BackendPool.Sink begins(BackendPool.Exchange from, String type, long length);

        void refused(long retryAfterUs);

        void failed();
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
        /** Its line of the list, for a module that comes later; null for one not listed as up. */
        Server listed;
        /** When this proxy was told that it drains or is gone. */
        long downSinceUs;
    }

    /** A request from its arrival until its answer is given and its last attempt has ended. */
    static final class Held {
        private final String id;
        private final Inbound inbound;
        private final Client client;
        /** The module that decides on it, to its end. */
        private final Deciding module;
        private long deadlineUs;
        /** When the last byte came of a body that was an upload; the greatest value until then. */
        private long uploadedUs;
        /** The attempt whose answer is being handed on, or null. */
        private Try answering;
        private final List<Try> tries = new ArrayList<>(2);
        private int out;
        private boolean over;
        private Future<?> guard;

        private Held(String id, Inbound inbound, Client client, long deadlineUs, Deciding module) {
            this.module = module;
            this.id = id;
            this.inbound = inbound;
            this.client = client;
            this.deadlineUs = deadlineUs;
            this.uploadedUs = inbound.upload() == null ? 0 : Long.MAX_VALUE;
        }

        private boolean uploading() {
            return uploadedUs == Long.MAX_VALUE;
        }
    }

    /** An attempt, which hears what comes of it. */
    private final class Try implements BackendPool.Receiver {
        final Held held;
        final int number;
        final String server;
        final long sentAtUs;
        long untilUs;
        BackendPool.Exchange exchange;
        Future<?> timeout;
        boolean ended;

        Try(Held held, int number, String server, long sentAtUs) {
            this.held = held;
            this.number = number;
            this.server = server;
            this.sentAtUs = sentAtUs;
        }

        @Override
        public BackendPool.Sink began(BackendPool.Exchange from, String type, long length) {
            return answerBegan(this, from, type, length);
        }

        @Override
        public long holdUs() {
            return settings.classes().get(held.inbound.requestClass()).aimUs() / HOLD_PART;
        }

        @Override
        public void ended(Answer answer) {
            Driver.this.ended(this, answer);
        }
    }

    /** What is in force for new requests. */
    private Settings settings;
    private final boolean loadReports;
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
    private final Map<String, Held> requests = new HashMap<>();
    /** Probes without an answer yet. */
    private final Set<Probe> probes = new HashSet<>();
    private long lastId;
    /** By then requests that come now must have their answer, whatever time their clients give. */
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
        this.loadReports = config.loadReports();
        this.clock = clock;
        this.loop = loop;
        this.pool = pool;
        this.seed = config.seed();
        this.newest = new Deciding();
        modules.add(newest);
    }

    /** One decision module, and what it may do. */
    private final class Deciding implements Actions {
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
        public void verdict(String server, Verdict verdict, long untilUs) {
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
        public void serverBudget(String server, boolean spent) {
            if (spent) {
                shared.serverSpent(server);
            } else {
                shared.serverWanting(server);
            }
        }

        @Override
        public void classBudget(int requestClass, boolean spent) {
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
            out.forEach(server -> newest.balancer.maintenance(clock.nowUs(), server, true));
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
            enter(() -> newest.balancer.serverBudget(clock.nowUs(), server, left, untilMs * 1000));
        }

        @Override
        public void classBudget(String name, long left, long untilMs) {
            enter(() -> newest.balancer.classBudget(clock.nowUs(), classNumber(name), left,
                    untilMs * 1000));
        }

        @Override
        public void affinity(String name, Collection<String> servers) {
            enter(() -> newest.balancer.affinity(clock.nowUs(), classNumber(name), servers));
        }
    }

    private int classNumber(String name) {
        return settings.classes().stream().map(RequestClass::name).toList().indexOf(name);
    }

    Clock clock() {
        return clock;
    }

    boolean isIdle() {
        return requests.isEmpty();
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
     */
    void listChanged(ListKind kind, List<Listing.Entry> entries, long toldUs) {
        if (shared != null) {
            // Before the module sees a cold server, it must know what it may send there.
            shared.listed(kind == ListKind.CHANGES, entries.stream().map(Listing.Entry::server).toList());
        }
        enter(() -> {
            long now = clock.nowUs();
            List<Server> servers = new ArrayList<>(entries.size());
            Set<String> listed = new HashSet<>();
            for (Listing.Entry entry : entries) {
                servers.add(entry.server());
                listed.add(entry.server().id());
                known.add(entry.server().id());
                Backend b = backends.computeIfAbsent(entry.server().id(), id -> new Backend());
                b.address = entry.address() == null ? b.address : entry.address();
                b.listed = entry.server().status() == ServerStatus.UP ? entry.server() : null;
                down(toldUs, b, entry.server().status());
            }
            if (kind == ListKind.WHOLE) {
                backends.forEach((id, b) -> {
                    if (!listed.contains(id)) {
                        b.listed = null;
                        down(toldUs, b, ServerStatus.GONE);
                    }
                });
            }
            all(balancer -> balancer.serversChanged(now, kind, servers));
            // Attempts that are still connecting keep their backend, and so the time it went down.
            backends.values().removeIf(b -> b.status == ServerStatus.GONE);
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
        enter(() -> all(balancer -> balancer.maintenance(clock.nowUs(), server, leave)));
    }

    /** Ends an attempt that is out; the module hears of it once what goes on now is over. */
    private void callOff(Try attempt, Outcome outcome) {
        attempt.exchange.abandon();
        loop.execute(() -> ended(attempt, Answer.of(outcome)));
    }

    private void retire() {
        pool.retire(out.stream().map(backends::get).filter(b -> b != null && b.address != null)
                .map(b -> b.address).collect(Collectors.toSet()));
    }

    /** Ends what is on its way to a backend and has not begun. */
    private void endConnecting(String server) {
        List<Try> tries = requests.values().stream().flatMap(held -> held.tries.stream())
                .filter(t -> !t.ended && t.server.equals(server) && !t.exchange.begun()).toList();
        tries.forEach(attempt -> callOff(attempt, Outcome.NOT_SENT));
        List<Probe> asking = probes.stream()
                .filter(p -> p.server.equals(server) && !p.exchange.begun()).toList();
        for (Probe probe : asking) {
            probe.exchange.abandon();
            loop.execute(() -> probed(probe, Answer.of(Outcome.NOT_SENT)));
        }
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
    Held request(Inbound inbound, Client client) {
        long now = clock.nowUs();
        long deadlineUs = dueUs(inbound.takenAtUs(), inbound);
        Held held = new Held(Long.toString(++lastId), inbound, client, deadlineUs, newest);
        requests.put(held.id, held);
        held.module.requests++;
        if (inbound.upload() == null) {
            armGuard(held, now);
        } else {
            inbound.upload().onSpent(() -> enter(
                    () -> held.module.balancer.bodySpent(clock.nowUs(), held.id)));
        }
        enter(() -> {
            try {
                held.module.balancer.request(clock.nowUs(), new Request(held.id, inbound.requestClass(),
                        inbound.tenant(), Math.max(0, deadlineUs - clock.nowUs()), inbound.workUs(),
                        inbound.again(), held.uploading()));
            } catch (RuntimeException e) {
                fault(held, e);
            }
        });
        return held;
    }

    /** From now on the process may be ended at that time: requests that come have an answer by then. */
    void answerBy(long atUs) {
        answerByUs = atUs;
        lastDueUs = Math.max(lastDueUs, atUs);
    }

    /** By then every request taken so far is answered, large bodies on their way apart. */
    long lastDueUs() {
        return lastDueUs;
    }

    /** When a request is due whose last byte came at that time. */
    private long dueUs(long takenAtUs, Inbound inbound) {
        long dueUs = Math.min(takenAtUs + inbound.timeLeftUs(), answerByUs);
        lastDueUs = Math.max(lastDueUs, dueUs);
        return dueUs;
    }

    private void armGuard(Held held, long now) {
        held.guard = loop.schedule(() -> guard(held), Math.max(0, held.deadlineUs - GUARD_US - now),
                TimeUnit.MICROSECONDS);
    }

    /** The last byte of an upload has come: from now on the request's time runs. */
    void uploaded(Held held) {
        if (held.over || !held.uploading()) {
            return;
        }
        long now = clock.nowUs();
        held.uploadedUs = now;
        held.deadlineUs = dueUs(now, held.inbound);
        armGuard(held, now);
        held.tries.stream().filter(attempt -> !attempt.ended).forEach(attempt -> limit(attempt, now,
                held.deadlineUs));
        enter(() -> held.module.balancer.uploaded(clock.nowUs(), held.id));
    }

    private void limit(Try attempt, long now, long untilUs) {
        attempt.untilUs = untilUs;
        attempt.timeout = loop.schedule(() -> timedOut(attempt), untilUs - now, TimeUnit.MICROSECONDS);
    }

    /** The client has closed its connection. */
    void clientGone(Held held) {
        if (held.answering != null && !held.answering.ended) {
            held.answering.exchange.abandon();
            ended(held.answering, Answer.of(Outcome.CANCELLED));
        } else if (!held.over) {
            over(held, Meters.Result.GONE);
            enter(() -> held.module.balancer.clientGone(clock.nowUs(), held.id));
            forget(held);
        }
    }

    /** All else is late: the client is answered while it waits; what comes later only informs the module. */
    private void guard(Held held) {
        if (!held.over) {
            boolean waits = held.out == 0;
            over(held, Meters.Result.FAILED);
            held.client.failed();
            forget(held);
            if (waits) {
                // Else the module might yet send it, and would wait for that attempt's end for ever.
                enter(() -> held.module.balancer.clientGone(clock.nowUs(), held.id));
            }
        }
    }

    /** A large answer begins: the client has it from here on, and nothing else ends the request any more. */
    private BackendPool.Sink answerBegan(Try attempt, BackendPool.Exchange from, String type, long length) {
        Held held = attempt.held;
        if (attempt.ended || held.over) {
            ended(attempt, Answer.of(Outcome.CANCELLED));
            return null;
        }
        held.answering = attempt;
        over(held, Meters.Result.SERVED);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        long now = clock.nowUs();
        enter(() -> held.module.balancer.streamStarted(now, held.id, attempt.number, attempt.server,
                now - begunAtUs(attempt)));
        return held.client.begins(from, type, length);
    }

    /** When the server could begin: with the last byte of the request. */
    private static long begunAtUs(Try attempt) {
        return attempt.held.uploading() ? attempt.sentAtUs
                : Math.max(attempt.sentAtUs, attempt.held.uploadedUs);
    }

    private void ended(Try attempt, Answer answer) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        Held held = attempt.held;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (meters != null) {
            meters.attempted(attempt.server, attempt.number, answer.outcome(),
                    Math.max(0, clock.nowUs() - attempt.sentAtUs));
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", held.inbound.callId())
                    .addKeyValue("attempt", attempt.number).addKeyValue("backend", attempt.server)
                    .addKeyValue("outcome", answer.outcome()).log("attempt ended");
        }
        enter(() -> {
            held.out--;
            if (answer.outcome() == Outcome.OK && !held.over) {
                over(held, Meters.Result.SERVED);
                held.client.served(answer.body(), answer.type());
            }
            long now = clock.nowUs();
            try {
                if (answer.improper()) {
                    withdraw(now, held);
                }
                held.module.balancer.outcome(now, held.id, attempt.number, attempt.server,
                        answer.improper() ? Outcome.CANCELLED : answer.outcome(), now - begunAtUs(attempt),
                        held.over, answer.report());
            } catch (RuntimeException e) {
                fault(held, e);
            }
            forget(held);
        });
    }

    /** What no client sent is failed; it speaks neither against the backend nor for another attempt. */
    private void withdraw(long now, Held held) {
        if (!held.over) {
            over(held, Meters.Result.FAILED);
            held.client.failed();
            held.module.balancer.clientGone(now, held.id);
        }
    }

    private void fault(Held held, RuntimeException e) {
        LOG.atError().addKeyValue("request", held.inbound.callId()).setCause(e).log("request failed");
        fail(held.id);
    }

    private void over(Held held, Meters.Result result) {
        held.over = true;
        if (held.module == newest && result != Meters.Result.GONE) {
            requestsEnded++;
            requestsFailed += result == Meters.Result.SERVED ? 0 : 1;
        }
        if (meters != null) {
            meters.answered(held.inbound.requestClass(), result,
                    Math.max(0, clock.nowUs() - held.inbound.takenAtUs()));
        }
        if (LOG.isDebugEnabled()) {
            LOG.atDebug().addKeyValue("request", held.inbound.callId()).addKeyValue("result", result)
                    .addKeyValue("attempts", held.tries.size()).log("answered");
        }
        if (held.guard != null) {
            held.guard.cancel(false);
        }
        if (held.uploading()) {
            // No time-out runs on what will never be whole.
            held.tries.stream().filter(t -> !t.ended && t != held.answering)
                    .forEach(attempt -> callOff(attempt, Outcome.CANCELLED));
        }
    }

    private void forget(Held held) {
        if (held.over && held.out == 0 && requests.remove(held.id) != null && --held.module.requests == 0
                && held.module != newest) {
            modules.remove(held.module);
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
        Held held = requests.get(request);
        if (held == null) {
            return;
        }
        long now = clock.nowUs();
        Try attempt = new Try(held, held.tries.size(), server, now);
        held.tries.add(attempt);
        held.out++;
        long untilUs = timeoutUs > 0 ? Math.min(held.deadlineUs, now + timeoutUs) : held.deadlineUs;
        Backend backend = backends.get(server);
        if (backend == null || out.contains(server) || held.over || untilUs <= now && !held.uploading()
                || held.tries.size() > settings.limits().maxAttempts()) {
            ended(attempt, Answer.of(Outcome.NOT_SENT));
            return;
        }
        if (held.uploading()) {
            attempt.untilUs = Long.MAX_VALUE;
        } else {
            limit(attempt, now, untilUs);
        }
        attempt.exchange = pool.begin(backend.address, () -> message(attempt, backend), attempt);
    }

    private void timedOut(Try attempt) {
        if (!attempt.ended) {
            attempt.exchange.abandon();
            // Still connecting, so no byte of it has left.
            ended(attempt, Answer.of(attempt.exchange.begun() ? Outcome.TIMEOUT : Outcome.NOT_SENT));
        }
    }

    /**
     * The request for a backend, at the moment its first byte may go out: the connect took time, in which the
     * request may have ended or the backend may have been told to drain. Null where it must not go out.
     */
    private HttpRequest message(Try attempt, Backend backend) {
        long now = clock.nowUs();
        Inbound in = attempt.held.inbound;
        long leftMs = attempt.held.uploading() ? in.timeLeftUs() / 1000 : (attempt.untilUs - now) / 1000;
        if (attempt.ended || attempt.held.over || barred(attempt.server, backend) || leftMs <= 0
                || !attempt.held.client.connected()) {
            return null;
        }
        HttpRequest message = in.upload() == null
                ? new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, in.method(), in.uri(),
                        Unpooled.wrappedBuffer(in.body()))
                : new Upload.Head(HttpVersion.HTTP_1_1, in.method(), in.uri(), in.upload());
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, host(backend.address));
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
            in.upload().describe(headers);
        } else if (in.body().length > 0 || !in.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, in.body().length);
        }
        return message;
    }

    /** Whether nothing may begin at a backend: it was called out, or drains for most of its grace. */
    private boolean barred(String server, Backend backend) {
        return out.contains(server) || backend.status != ServerStatus.UP && clock.nowUs()
                >= backend.downSinceUs + settings.rules().drainGraceUs() - GRACE_MARGIN_US;
    }

    private static String host(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    private void refuse(String request, long retryAfterUs) {
        Held held = requests.get(request);
        if (held != null && !held.over) {
            over(held, Meters.Result.REFUSED);
            held.client.refused(retryAfterUs);
            forget(held);
        }
    }

    private void fail(String request) {
        Held held = requests.get(request);
        if (held != null && !held.over) {
            over(held, Meters.Result.FAILED);
            held.client.failed();
            forget(held);
        }
    }

    private void cancel(String request, int number) {
        Held held = requests.get(request);
        if (held == null || number >= held.tries.size() || held.tries.get(number).ended) {
            return;
        }
        Try attempt = held.tries.get(number);
        if (attempt.exchange != null) {
            attempt.exchange.abandon();
        }
        ended(attempt, Answer.of(Outcome.CANCELLED));
    }

    private void probe(String server, Deciding module) {
        Backend backend = backends.get(server);
        Probe probe = new Probe(server, module, clock.nowUs());
        probes.add(probe);
        if (backend == null || out.contains(server)) {
            probed(probe, Answer.of(Outcome.NOT_SENT));
            return;
        }
        probe.timeout = loop.schedule(() -> {
            probe.exchange.abandon();
            probed(probe, Answer.of(Outcome.TIMEOUT));
        }, PROBE_US, TimeUnit.MICROSECONDS);
        probe.exchange = pool.begin(backend.address, () -> {
            if (barred(server, backend)) {
                return null;
            }
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    loadReports ? "/stats" : "/health/live", Unpooled.EMPTY_BUFFER);
            message.headers().set(HttpHeaderNames.HOST, host(backend.address));
            return message;
        }, answer -> probed(probe, answer));
    }

    /** A probe that is out. */
    private static final class Probe {
        final String server;
        final Deciding module;
        final long sentAtUs;
        BackendPool.Exchange exchange;
        Future<?> timeout;

        Probe(String server, Deciding module, long sentAtUs) {
            this.server = server;
            this.module = module;
            this.sentAtUs = sentAtUs;
        }
    }

    private void probed(Probe probe, Answer answer) {
        if (!probes.remove(probe)) {
            return;
        }
        if (probe.timeout != null) {
            probe.timeout.cancel(false);
        }
        enter(() -> {
            long now = clock.nowUs();
            LoadReport report = answer.report() != null ? answer.report()
                    : loadReports ? BackendPool.report(BackendPool.text(answer.body())) : null;
            probe.module.balancer.probeResult(now, probe.server, answer.outcome(), now - probe.sentAtUs,
                    report);
        });
    }
}
