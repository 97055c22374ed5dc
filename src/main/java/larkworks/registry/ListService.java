package larkworks.registry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import larkworks.rollout.Report;
import larkworks.rollout.RolloutState;
import larkworks.rollout.Rollouts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The service on its event loop: grants writes, has them stored, publishes what is on disk to the watches
 * that wait, and ends leases. Everything here runs on that loop.
 */
final class ListService implements Store.Owner {

    private static final Logger LOG = LoggerFactory.getLogger("registry");
    /** How often leases are looked at, and how soon an end that could not be stored is tried again. */
    private static final long LEASE_LOOK_MS = 100;
    private static final long LEASE_AGAIN_MS = 1_000;

    /** A call held until the list changes or its time has passed. */
    final class Watch {
        private final long from;
        private final Consumer<ByteBuf> answer;
        private ScheduledFuture<?> end;

        private Watch(long from, Consumer<ByteBuf> answer) {
            this.from = from;
            this.answer = answer;
        }

        /** The caller is gone. */
        void cancel() {
            if (watches.remove(this)) {
                end.cancel(false);
            }
        }

        private void finish(ByteBuf body) {
            end.cancel(false);
            answer.accept(body);
        }
    }

    private final EventLoop loop;
    private final Store store;
    private final Catalog catalog;
    private final Registrar registrar;
    private final Leases leases = new Leases();
    private final Admission admission;
    private final Rollouts rollouts = new Rollouts(System.currentTimeMillis());
    private Set<Watch> watches = new LinkedHashSet<>();
    private ScheduledFuture<?> looking;
    private long era;
    /** Steps of admission on their way to disk: the next are judged by what these make of the list. */
    private int admitting;

    ListService(EventLoop loop, Store store, Admission.Settings admitting) {
        admission = new Admission(admitting);
        this.loop = loop;
        this.store = store;
        catalog = store.catalog();
        registrar = new Registrar(catalog, admission);
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
        Set<Watch> held = watches;
        watches = new LinkedHashSet<>();
        held.forEach(watch -> watch.finish(since(watch.from)));
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** A write that is granted; see {@link Registrar}. */
    interface Grant {
        Change grant(Registrar registrar) throws Refusal;
    }

    /**
     * Makes a write; {@code done} is called once all it rests on is on disk (null), or could not be written.
     *
     * @throws Refusal where it is not granted
     */
    void write(Grant call, Consumer<IOException> done) throws Refusal {
        Change change = call.grant(registrar);
        store.submit(new Store.Ticket(change, done, era));
    }

    /** Takes a heartbeat; the usual one needs no disk. */
    void heartbeat(String name, Consumer<IOException> done) throws Refusal {
        Change change = registrar.heartbeat(name);
        Instance held = catalog.get(name);
        if (held != null) {
            leases.renew(held, nowMs());
        }
        if (change == null) {
            done.accept(null);
        } else {
            store.submit(new Store.Ticket(change, done, era));
        }
    }

    long index() {
        return catalog.index();
    }

    String epoch() {
        return store.identity();
    }

    /** The whole list. */
    ByteBuf whole() {
        return Unpooled.wrappedBuffer(Words.listing(catalog.index(), true, catalog.live().stream()
                .filter(Admission::listed).map(admission::shown).toList()));
    }

    /** What changed since that version, or the whole list where that is no longer known. */
    ByteBuf since(long from) {
        return catalog.knows(from)
                ? Unpooled.wrappedBuffer(Words.listing(catalog.index(), false,
                        catalog.since(from).stream().map(admission::shown).toList()))
                : whole();
    }

    /** Holds a call until there is something newer than {@code from}, for {@code waitMs} at most. */
    Watch watch(long from, long waitMs, Consumer<ByteBuf> answer) {
        Watch watch = new Watch(from, answer);
        watches.add(watch);
        watch.end = loop.schedule(() -> {
            watches.remove(watch);
            watch.answer.accept(since(from));
        }, waitMs, TimeUnit.MILLISECONDS);
        return watch;
    }

    /** Figures for the operator. */
    Map<String, Object> figures() {
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
            publish();
        }
        tickets.forEach(ticket -> ticket.answer().accept(null));
        if (store.snapshotDue()) {
            store.save(catalog.image());
        }
    }

    /** All watches wait for something newer than they have, so each change answers all of them. */
    private void publish() {
        Set<Watch> held = watches;
        watches = new LinkedHashSet<>();
        Map<Long, ByteBuf> bodies = new HashMap<>();
        for (Watch watch : held) {
            ByteBuf body = bodies.computeIfAbsent(watch.from, this::since);
            watch.finish(body.retainedDuplicate());
        }
        bodies.values().forEach(ByteBuf::release);
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
    }

    /** Takes a proxy's report, and says what it should run: only what is on disk. */
    Rollouts.Target reported(String proxy, Report report) {
        rollouts.report(proxy, report, System.currentTimeMillis());
        return rollouts.target(catalog.rollout(), proxy, System.currentTimeMillis());
    }

    /** The rollout as it stands on disk, and what the proxies say. */
    Map<String, Object> rollout() {
        Map<String, Object> rollout = new LinkedHashMap<>();
        rollout.put("state", catalog.rollout());
        rollout.put("reports", rollouts.reports());
        return rollout;
    }

    private void admit() {
        if (!admission.on() || store.isBroken() || admitting > 0) {
            return;
        }
        ramp(admission.step(catalog.live(), rollouts.resting(System.currentTimeMillis()),
                System.currentTimeMillis()));
    }

    /** Lets the servers that were taken out wait anew; {@code done} as with {@link #write}. */
    void resumeAdmission(Consumer<IOException> done) {
        ramp(Admission.resumed(catalog.live()));
        store.submit(new Store.Ticket(null, done, era));
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
        RolloutState next = rollouts.step(now, System.currentTimeMillis());
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
