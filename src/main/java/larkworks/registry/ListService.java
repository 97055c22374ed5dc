package larkworks.registry;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import larkworks.platform.SteadyClock;
import larkworks.rollout.Report;
import larkworks.rollout.RolloutState;
import larkworks.rollout.Rollouts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The service on its event loop: grants writes, has them stored, publishes what is on disk to the watches
 * that wait, and ends leases. Everything here runs on that loop.
 */
final class ListService implements ListCalls, Store.Owner {

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    /** How often leases are looked at, and how soon an end that could not be stored is tried again. */
    private static final long LEASE_LOOK_MS = 100;
    private static final long LEASE_AGAIN_MS = 1_000;
    /** Pauses before a broken store is recovered: the first, and the longest as they double. */
    private static final long FIRST_RECOVERY_MS = 50;
    private static final long MOST_RECOVERY_MS = 2_000;

    private final EventLoop loop;
    private final Store store;
    private final Catalog catalog;
    private final Registrar registrar;
    private final Leases leases = new Leases();
    private final Admission admission;
    private final Rollouts rollouts = new Rollouts(SteadyClock.nowMs());
    private final Watches watches;
    private ScheduledFuture<?> looking;
    private long era;
    /** The pause before the next recovery of the store; 0 while none is due. */
    private long recoveryMs;
    /** Steps of admission on their way to disk: the next are judged by what these make of the list. */
    private int admitting;

    ListService(EventLoop loop, Store store, Admission.Settings admitting) {
        admission = new Admission(admitting);
        this.loop = loop;
        this.store = store;
        catalog = store.catalog();
        registrar = new Registrar(catalog, admission);
        watches = new Watches(loop, () -> catalog, admission);
    }

    /** Begins; every lease has its full time, as heartbeats could not come while the service was down. */
    void start() {
        store.start(loop, this);
        long now = nowMs();
        catalog.live().forEach(instance -> leases.renew(instance, now));
        looking = loop.scheduleAtFixedRate(() -> {
            endLeases();
            rollOut();
            admit();
        }, LEASE_LOOK_MS, LEASE_LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends; watches are answered with what is known, as if their time had passed. */
    void stop() {
        looking.cancel(false);
        watches.stop();
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public Watches lists() {
        return watches;
    }

    @Override
    public void describe(HttpHeaders headers) {
        headers.set(RegistryServer.EPOCH, store.identity());
    }

    @Override
    public void checkReadable() {
        // What was read at the start is the list.
    }

    @Override
    public Refusal ahead(long from, boolean waited) {
        return new Refusal(400, "index " + from + " is newer than " + catalog.index());
    }

    @Override
    public void write(Command command, Answer<Long> answer) throws Refusal {
        List<Change> changes = command.grant(registrar, SteadyClock.nowMs());
        // The last one's fate is the fate of all before it: what is built on a failed change fails too.
        for (int i = 0; i + 1 < changes.size(); i++) {
            store.submit(new Store.Ticket(changes.get(i), failure -> { }, era));
        }
        Change last = changes.isEmpty() ? null : changes.get(changes.size() - 1);
        store.submit(new Store.Ticket(last, done(answer), era));
    }

    private Consumer<IOException> done(Answer<Long> answer) {
        return failure -> answer.ended(catalog.index(), failure);
    }

    /** The usual one needs no disk. */
    @Override
    public void heartbeat(String name, Answer<Long> answer) throws Refusal {
        Change change = registrar.heartbeat(name);
        Instance held = catalog.get(name);
        if (held != null) {
            leases.renew(held, nowMs());
        }
        if (change == null) {
            answer.ended(catalog.index(), null);
        } else {
            store.submit(new Store.Ticket(change, done(answer), era));
        }
    }

    @Override
    public void setReplicas(Map<String, String> addresses, Answer<Long> answer) throws Refusal {
        throw new Refusal(404, "this list service has no replicas");
    }

    @Override
    public Map<String, Object> figures() {
        List<Instance> live = catalog.live();
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("index", catalog.index());
        figures.put("compacted", catalog.compacted());
        figures.put("epoch", store.identity());
        figures.put("instances", catalog.size());
        figures.put("leases", leases.size());
        figures.put("watches", watches.size());
        figures.put("waiting", live.stream().filter(i -> i.ramp() == Admission.WAITS).count());
        figures.put("ramping", live.stream().filter(i -> i.ramp() > 0).count());
        figures.put("stopped", live.stream().filter(i -> i.ramp() == Admission.STOPPED).count());
        figures.put("log_bytes", store.logBytes());
        figures.put("fsyncs", store.syncs());
        figures.put("writable", !store.isBroken());
        return figures;
    }

    @Override
    public void durable(List<Store.Ticket> tickets) {
        boolean changed = false;
        long now = nowMs();
        for (Store.Ticket ticket : tickets) {
            if (ticket.change() != null) {
                changed = true;
                catalog.apply(ticket.change());
                registrar.published(ticket.change());
                if (ticket.change().instance() != null) {
                    leases.renew(ticket.change().instance(), now);
                }
            }
        }
        if (changed) {
            watches.publish();
        }
        tickets.forEach(ticket -> ticket.answer().accept(null));
        if (store.snapshotDue()) {
            store.save(catalog.image());
        }
    }

    @Override
    public void failed(List<Store.Ticket> tickets, IOException why, long now) {
        if (now > era) {
            era = now;
            registrar.failed();
            LOG.atError().addKeyValue("why", why.getMessage()).addKeyValue("calls", tickets.size())
                    .addKeyValue("writable", !store.isBroken()).log("changes could not be stored");
        }
        tickets.forEach(ticket -> ticket.answer().accept(why));
        if (store.isBroken() && recoveryMs == 0) {
            recoveryMs = FIRST_RECOVERY_MS;
            recover();
        }
    }

    /** What was acknowledged is what the catalog holds, as every ticket's fate comes here in its order. */
    private void recover() {
        loop.schedule(() -> store.recover(catalog.image()), recoveryMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void recovered(IOException failure) {
        if (failure == null) {
            recoveryMs = 0;
            LOG.atInfo().addKeyValue("index", catalog.index()).log("writes go on");
            return;
        }
        LOG.atWarn().addKeyValue("why", failure.toString()).addKeyValue("next_ms", recoveryMs)
                .log("the store can't be recovered yet");
        recoveryMs = Math.min(MOST_RECOVERY_MS, 2 * recoveryMs);
        recover();
    }

    /** The proxy is told only what is on disk. */
    @Override
    public void report(String proxy, Report report, Answer<byte[]> answer) {
        long now = SteadyClock.nowMs();
        rollouts.report(proxy, report, now);
        answer.ended(Words.bytes(rollouts.target(catalog.rollout(), proxy, now)), null);
    }

    @Override
    public void rollout(Answer<byte[]> answer) {
        Map<String, Object> rollout = new LinkedHashMap<>();
        rollout.put("state", catalog.rollout());
        rollout.put("reports", rollouts.reports());
        answer.ended(Words.bytes(rollout), null);
    }

    private void admit() {
        if (!admission.on() || store.isBroken() || admitting > 0) {
            return;
        }
        ramp(admission.step(catalog.live(), rollouts.resting(SteadyClock.nowMs()),
                SteadyClock.nowMs()));
    }

    @Override
    public void resumeAdmission(Answer<Long> answer) {
        ramp(Admission.resumed(catalog.live()));
        store.submit(new Store.Ticket(null, done(answer), era));
    }

    private void ramp(List<Instance> changes) {
        for (Instance next : changes) {
            Change change = registrar.ramp(catalog.get(next.name()), next.ramp());
            if (change != null) {
                LOG.atInfo().addKeyValue("instance", next.name()).addKeyValue("ramp", next.ramp())
                        .log("admission");
                admitting++;
                store.submit(new Store.Ticket(change, failure -> admitting--, era));
            }
        }
    }

    private void rollOut() {
        RolloutState now = registrar.rollout();
        // One step at a time: the next is judged by what the proxies were told of this one.
        if (now == null || now != catalog.rollout() || store.isBroken()) {
            return;
        }
        RolloutState next = rollouts.step(now, SteadyClock.nowMs());
        if (next != now) {
            LOG.atInfo().addKeyValue("rollout", next.plan().name()).addKeyValue("version", next.version())
                    .addKeyValue("phase", next.phase().wire()).addKeyValue("wave", next.wave())
                    .addKeyValue("why", next.reason()).log("rollout");
            store.submit(new Store.Ticket(registrar.rollOut(next), failure -> { }, era));
        }
    }

    private void endLeases() {
        long now = nowMs();
        for (String name : leases.due(now, now + LEASE_AGAIN_MS)) {
            if (store.isBroken()) {
                return;
            }
            Change change = registrar.expire(name);
            if (change != null) {
                LOG.atInfo().addKeyValue("instance", name)
                        .addKeyValue("status", change.instance().status().wire()).log("lease ended");
                store.submit(new Store.Ticket(change, failure -> { }, era));
            }
        }
    }
}
